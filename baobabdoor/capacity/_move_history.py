"""History of moves: measures their duration and finds VMs that moved lately."""

from collections.abc import Iterable
import statistics

import attrs

from baobabdoor import ownership
from baobabdoor.capacity import _interface

# Number of latest moves whose durations are kept.
MAX_DURATIONS = 16


@attrs.frozen
class PastMove:
    """The latest planned move of a VM.

    Attributes:
        from_pool: Pool that it left.
        to_pool: Pool that it joins.
        started_s: When the move was planned, in monotonic seconds.
        joined: Whether the VM has been seen in service in `to_pool`.
    """

    from_pool: str
    to_pool: str
    started_s: float
    joined: bool = False


class MoveHistory:
    """Records the latest move of each VM and the duration of moves.

    Attributes:
        moves_: Latest move of each VM.
        durations_s_: Durations of the latest moves, from the plan until the VM
            is in service.
    """

    def __init__(self):
        self.moves_: dict[str, PastMove] = {}
        self.durations_s_: list[float] = []

    def record(self, moves: Iterable[_interface.Move], now_s: float) -> None:
        """Records moves that were planned now."""
        for move in moves:
            self.moves_[move.vm_id] = PastMove(
                move.from_pool, move.to_pool, now_s
            )

    def observe(self, snapshot: ownership.FleetSnapshot, now_s: float) -> None:
        """Records which moves have completed."""
        for vm_id, move in self.moves_.items():
            vm = snapshot.vms.get(vm_id)
            if vm is None or move.joined or vm.pool != move.to_pool:
                continue
            if vm.phase is ownership.Phase.SERVING:
                self.moves_[vm_id] = attrs.evolve(move, joined=True)
                self.durations_s_.append(now_s - move.started_s)
                del self.durations_s_[:-MAX_DURATIONS]

    def median_move_s(self, default_s: float) -> float:
        """Returns the median duration of a move in seconds."""
        if not self.durations_s_:
            return default_s
        return statistics.median(self.durations_s_)

    def recently_left(
        self, pool: str, cooldown_s: float, now_s: float
    ) -> frozenset[str]:
        """Returns the VMs that left a pool less than `cooldown_s` ago."""
        return frozenset(
            vm_id
            for vm_id, move in self.moves_.items()
            if move.from_pool == pool and now_s - move.started_s < cooldown_s
        )

    def expire(self, now_s: float, cooldown_s: float) -> None:
        """Removes moves that were planned at least `cooldown_s` ago."""
        self.moves_ = {
            vm_id: move
            for vm_id, move in self.moves_.items()
            if now_s - move.started_s < cooldown_s
        }

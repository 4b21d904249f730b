"""Which VM moved when: how long moves take, and none moves back too soon."""

from collections.abc import Iterable
import statistics

import attrs

from baobabdoor import ownership
from baobabdoor.capacity import _interface

# Moves whose times are kept.
MEMORY = 16


@attrs.frozen
class PastMove:
    """The latest planned move of a VM.

    Attributes:
        from_pool: Pool that it left.
        to_pool: Pool that it was to join.
        started_s: When the move was planned, in monotonic seconds.
        joined: Whether the VM was seen serving in the other pool.
    """

    from_pool: str
    to_pool: str
    started_s: float
    joined: bool = False


class MoveHistory:
    """Remembers the latest move of each VM and how long moves took.

    Attributes:
        moves_: Latest move by VM.
        durations_s_: Times of the latest moves, from plan to service.
    """

    def __init__(self):
        self.moves_: dict[str, PastMove] = {}
        self.durations_s_: list[float] = []

    def note(self, moves: Iterable[_interface.Move], now_s: float) -> None:
        """Remembers moves planned now."""
        for move in moves:
            self.moves_[move.vm_id] = PastMove(
                move.from_pool, move.to_pool, now_s
            )

    def observe(self, snapshot: ownership.FleetSnapshot, now_s: float) -> None:
        """Notes which moves are done."""
        for vm_id, move in self.moves_.items():
            vm = snapshot.vms.get(vm_id)
            if vm is None or move.joined or vm.pool != move.to_pool:
                continue
            if vm.phase is ownership.Phase.SERVING:
                self.moves_[vm_id] = attrs.evolve(move, joined=True)
                self.durations_s_.append(now_s - move.started_s)
                del self.durations_s_[:-MEMORY]

    def move_s(self, default_s: float) -> float:
        """Returns the usual time of a move in seconds."""
        if not self.durations_s_:
            return default_s
        return statistics.median(self.durations_s_)

    def barred(
        self, to_pool: str, turn_s: float, now_s: float
    ) -> frozenset[str]:
        """Returns the VMs that left a pool less than a turn ago."""
        return frozenset(
            vm_id
            for vm_id, move in self.moves_.items()
            if move.from_pool == to_pool and now_s - move.started_s < turn_s
        )

    def expire(self, now_s: float, turn_s: float) -> None:
        """Forgets moves that are too old to matter."""
        self.moves_ = {
            vm_id: move
            for vm_id, move in self.moves_.items()
            if now_s - move.started_s < turn_s
        }

"""Boots of VMs that take no new work."""

from collections.abc import Iterable
from collections.abc import Mapping

from baobabdoor import fleet_api
from baobabdoor import membership

# An answer with `Connection: close` and 503 tells that a backend server is
# draining; the mark ends by itself in case the VM returns with the same boot.
OWN_MARK_S = 10.0
# A peer repeats a mark while it lasts, at least each exchange.
PEER_MARK_S = 4.0


class LeavingMarks:
    """Collects leaving marks from the list, own answers and peers.

    Only marks of own origin are passed on, so that entries do not keep a mark
    alive by repeating each other.
    """

    def __init__(self):
        self.listed_: dict[str, str] = {}
        self.own_: dict[str, tuple[str, float]] = {}
        self.heard_: dict[str, tuple[str, float]] = {}

    def observe_list(self, listed: Mapping[str, fleet_api.VmRecord]) -> None:
        """Notes the VMs that the platform lists as leaving or terminated."""
        self.listed_ = {
            vm_id: record.boot_id
            for vm_id, record in listed.items()
            if record.state is not fleet_api.VmListState.LIVE
        }

    def observe_answer(self, vm_id: str, boot_id: str, now_s: float) -> None:
        """Notes that a backend server has said that it is leaving."""
        if len(self.own_) < membership.MAX_MARKS or vm_id in self.own_:
            self.own_[vm_id] = (boot_id, now_s + OWN_MARK_S)

    def observe_peer(
        self, marks: Iterable[membership.LeavingMark], now_s: float
    ) -> None:
        """Notes the marks of a peer."""
        for mark in marks:
            if len(self.heard_) < 4 * membership.MAX_MARKS:
                self.heard_[mark.vm_id] = (mark.boot_id, now_s + PEER_MARK_S)

    def clear(self, vm_id: str) -> None:
        """Drops the marks of a VM that has come back into service."""
        self.own_.pop(vm_id, None)
        self.heard_.pop(vm_id, None)

    def expire(self, now_s: float) -> None:
        """Drops marks that have ended."""
        for marks in (self.own_, self.heard_):
            for vm_id, (_, until_s) in list(marks.items()):
                if until_s <= now_s:
                    del marks[vm_id]

    def is_marked(self, vm_id: str, boot_id: str, now_s: float) -> bool:
        """Returns whether a boot takes no new work."""
        if self.listed_.get(vm_id) == boot_id:
            return True
        for marks in (self.own_, self.heard_):
            marked_boot_id, until_s = marks.get(vm_id, ("", 0.0))
            if marked_boot_id == boot_id and now_s < until_s:
                return True
        return False

    def to_share(self) -> tuple[membership.LeavingMark, ...]:
        """Returns the marks of own origin, at most as many as a message has."""
        boots = {vm_id: boot_id for vm_id, (boot_id, _) in self.own_.items()}
        boots.update(self.listed_)
        marks = [
            membership.LeavingMark(vm_id=vm_id, boot_id=boot_id)
            for vm_id, boot_id in sorted(boots.items())
        ]
        return tuple(marks[: membership.MAX_MARKS])

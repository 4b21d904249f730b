"""Tracking of VMs that are about to leave service."""

from collections.abc import Iterable
from collections.abc import Mapping

from baobabdoor import fleet_api
from baobabdoor import membership

# A 503 response with `Connection: close` means that a backend server is
# draining. The notice expires in case the VM returns with the same boot.
OWN_NOTICE_TTL_S = 10.0
# A peer repeats a notice at least in every exchange while the notice is valid.
PEER_NOTICE_TTL_S = 4.0


class LeavingVms:
    """Tracks the boots of VMs that are about to leave service.

    The sources are the platform's VM list, responses of backend servers, and
    notices of peers. Only the first two are shared with peers, so that entries
    do not keep a notice alive by repeating each other.
    """

    def __init__(self):
        self.listed_boots_: dict[str, str] = {}
        self.own_notices_: dict[str, tuple[str, float]] = {}
        self.peer_notices_: dict[str, tuple[str, float]] = {}

    def observe_list(self, listed: Mapping[str, fleet_api.VmRecord]) -> None:
        """Records the VMs that the platform lists as leaving or terminated."""
        self.listed_boots_ = {
            vm_id: record.boot_id
            for vm_id, record in listed.items()
            if record.state is not fleet_api.VmListState.LIVE
        }

    def observe_response(self, vm_id: str, boot_id: str, now_s: float) -> None:
        """Records that a response announced that a backend server leaves."""
        if (
            len(self.own_notices_) < membership.MAX_LEAVING_NOTICES
            or vm_id in self.own_notices_
        ):
            self.own_notices_[vm_id] = (boot_id, now_s + OWN_NOTICE_TTL_S)

    def observe_peer(
        self, notices: Iterable[membership.LeavingNotice], now_s: float
    ) -> None:
        """Records the notices of a peer."""
        for notice in notices:
            if len(self.peer_notices_) < 4 * membership.MAX_LEAVING_NOTICES:
                self.peer_notices_[notice.vm_id] = (
                    notice.boot_id,
                    now_s + PEER_NOTICE_TTL_S,
                )

    def clear(self, vm_id: str) -> None:
        """Removes the notices of a VM that is back in service."""
        self.own_notices_.pop(vm_id, None)
        self.peer_notices_.pop(vm_id, None)

    def expire(self, now_s: float) -> None:
        """Removes expired notices."""
        for notices in (self.own_notices_, self.peer_notices_):
            for vm_id, (_, expires_s) in list(notices.items()):
                if expires_s <= now_s:
                    del notices[vm_id]

    def is_leaving(self, vm_id: str, boot_id: str, now_s: float) -> bool:
        """Returns whether a boot of a VM must get no new requests."""
        if self.listed_boots_.get(vm_id) == boot_id:
            return True
        for notices in (self.own_notices_, self.peer_notices_):
            leaving_boot_id, expires_s = notices.get(vm_id, ("", 0.0))
            if leaving_boot_id == boot_id and now_s < expires_s:
                return True
        return False

    def shared_notices(self) -> tuple[membership.LeavingNotice, ...]:
        """Returns the notices to send to peers, at most one message's worth."""
        boots = {
            vm_id: boot_id for vm_id, (boot_id, _) in self.own_notices_.items()
        }
        boots.update(self.listed_boots_)
        notices = [
            membership.LeavingNotice(vm_id=vm_id, boot_id=boot_id)
            for vm_id, boot_id in sorted(boots.items())
        ]
        return tuple(notices[: membership.MAX_LEAVING_NOTICES])

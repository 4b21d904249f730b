"""The VMs as the request path uses them."""

from collections.abc import Callable
from collections.abc import Sequence

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor.control import _leaving_vms
from baobabdoor.control import _member

STEP = "control.permit"


class FleetView:
    """Says which workers serve a pool and whether one may be sent to now.

    Args:
        member: This entry's views and leases.
        leaving_vms: VMs that are about to leave service.
        timers: Timer service.
    """

    def __init__(
        self,
        member: _member.Member,
        leaving_vms: _leaving_vms.LeavingVms,
        timers: base.TimerService,
    ):
        self.member = member
        self.leaving_vms = leaving_vms
        self.timers = timers
        self.neighbours_: Sequence[str] = ()
        self.serving_: dict[str, dict[str, list[ownership.VmState]]] | None = (
            None
        )
        self.subscribers_: list[Callable[[], None]] = []
        member.subscribe(self._invalidate)
        member.on_vm_returned = leaving_vms.clear

    def workers(self, pool: str) -> list[ownership.VmState]:
        """Returns the VMs serving in a pool, own zone first.

        VMs of other zones are included while their zone's lease is held.
        """
        now_s = self.timers.now_s()
        if self.serving_ is None:
            self.serving_ = self._group_serving()
        found = []
        for zone in self._zone_order():
            members = self.serving_.get(zone, {}).get(pool)
            if members and self.member.check_access(zone, now_s) is None:
                found.extend(members)
        return found

    def permit(
        self, vm_id: str, now_s: float, pool: str = ""
    ) -> base.Refusal | None:
        """Checks in the step that sends whether a VM may be sent to.

        Args:
            vm_id: VM that was chosen.
            now_s: Monotonic time in seconds.
            pool: Pool of the request; a VM may have moved to another pool
                since it was chosen. Default: any.

        Returns:
            None if sending is allowed, otherwise why not.
        """
        found = self.member.views.find(vm_id)
        if found is None:
            return base.Refusal(base.Reason.NOT_FOUND, STEP, vm_id)
        zone, row = found
        if row.phase is not ownership.Phase.SERVING:
            detail = f"the VM is {row.phase.value}"
            return base.Refusal(base.Reason.STALE_VIEW, STEP, vm_id, detail)
        if pool and row.pool != pool:
            detail = f"the VM is in {row.pool}"
            return base.Refusal(base.Reason.STALE_VIEW, STEP, vm_id, detail)
        if self.leaving_vms.is_leaving(vm_id, row.boot_id, now_s):
            return base.Refusal(base.Reason.DRAINING, STEP, vm_id)
        return self.member.check_access(zone, now_s)

    def observe_leaving(self, vm_id: str) -> None:
        """Notes that a backend server answered that it is leaving."""
        found = self.member.views.find(vm_id)
        if found is not None:
            boot_id = found[1].boot_id
            self.leaving_vms.observe_response(
                vm_id, boot_id, self.timers.now_s()
            )
            self._invalidate()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after every change."""
        self.subscribers_.append(callback)

    def set_neighbours(self, neighbours: Sequence[str]) -> None:
        """Sets the other zones in the order in which requests go there."""
        self.neighbours_ = tuple(neighbours)

    def _zone_order(self) -> list[str]:
        home_zone = self.member.home_zone
        order = [home_zone, *self.neighbours_]
        rest = sorted(set(self.member.views.held_) - set(order))
        return order + rest

    def _group_serving(self) -> dict[str, dict[str, list[ownership.VmState]]]:
        now_s = self.timers.now_s()
        serving: dict[str, dict[str, list[ownership.VmState]]] = {}
        for zone, view in self.member.views.held_.items():
            pools = serving.setdefault(zone, {})
            for vm_id, row in sorted(view.rows.items()):
                if row.phase is not ownership.Phase.SERVING:
                    continue
                if self.leaving_vms.is_leaving(vm_id, row.boot_id, now_s):
                    continue
                state = ownership.vm_state(vm_id, zone, row)
                pools.setdefault(row.pool, []).append(state)
        return serving

    def _invalidate(self) -> None:
        self.serving_ = None
        for callback in self.subscribers_:
            callback()

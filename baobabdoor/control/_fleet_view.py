"""View of the VMs for the request path."""

from collections.abc import Callable
from collections.abc import Sequence

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor.control import _leaving_vms
from baobabdoor.control import _member

STEP = "control.permit"


class FleetView:
    """Returns the workers of each pool and checks whether one may be used now.

    Args:
        member: Views and leases of this entry.
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
        """Returns the serving VMs of a pool, those of the home zone first.

        VMs of another zone are included while its lease is held.
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
        """Checks whether a request may be sent to a VM now.

        Must be called in the same step of the event loop as the send.

        Args:
            vm_id: VM that was selected.
            now_s: Monotonic time in seconds.
            pool: Pool of the request; the VM may have moved to another pool
                since it was selected. Default: any pool.

        Returns:
            None if the send is allowed, otherwise why it is not.
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
        """Records that a response announced that a backend server leaves."""
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
        """Sets the other zones in order of preference."""
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

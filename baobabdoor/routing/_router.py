"""Selection of a backend server for a request to a pool."""

from collections.abc import Collection
import random
from typing import Protocol

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import slots
from baobabdoor.routing import _health

STEP = "routing.choose"
# Only the entries of a worker's zone share its slots by a slot policy. Each
# entry of another zone uses at most this many slots of a worker at once.
CROSS_ZONE_SLOTS = 1


class FleetView(Protocol):
    """The subset of `control.FleetView` that routing uses."""

    def workers(self, pool: str) -> list[ownership.VmState]:
        """Returns a pool's workers in service, this entry's zone first."""

    def permit(
        self, vm_id: str, now_s: float, pool: str = ""
    ) -> base.Refusal | None:
        """Returns a refusal if this entry must not send to the VM now."""

    def observe_leaving(self, vm_id: str) -> None:
        """Records that a backend server responded that it is leaving."""


class Router:
    """Selects backend servers and counts the requests in progress on each.

    Args:
        view: Workers of each pool.
        slot_policy: Slots of the workers in the entry's zone.
        zone: The entry's availability zone.
        seed: Seed of the random number generator.
    """

    def __init__(
        self,
        view: FleetView,
        slot_policy: slots.SlotPolicy,
        zone: str,
        seed: int,
    ):
        self.view = view
        self.slot_policy = slot_policy
        self.zone = zone
        self.seed = seed
        self.health_: dict[str, _health.Health] = {}
        self.own_zone_flags_: dict[str, list[bool]] = {}
        self.random_ = random.Random(seed)

    def health(self, vm: ownership.VmState) -> _health.Health:
        """Returns the health of the VM's current boot."""
        health = self.health_.get(vm.vm_id)
        if health is None or health.boot_id != vm.boot_id:
            outstanding = 0 if health is None else health.outstanding
            health = _health.Health(vm.boot_id, outstanding=outstanding)
            self.health_[vm.vm_id] = health
        return health

    def free(self, vm: ownership.VmState, now_s: float) -> int:
        """Returns how many more requests may be sent to a VM now."""
        if vm.leaving or not vm.reachable:
            return 0
        health = self.health(vm)
        if vm.availability_zone == self.zone:
            available = self.slot_policy.available(vm.vm_id, now_s)
        else:
            available = CROSS_ZONE_SLOTS - health.outstanding
        if available <= 0:
            return 0
        limit = health.limit(available + health.outstanding, now_s)
        free = min(available, limit - health.outstanding)
        if free <= 0 or self.view.permit(vm.vm_id, now_s) is not None:
            return 0
        return free

    def free_slots(self, pool: str, limit: int, now_s: float) -> int:
        """Returns the free slots of a pool in the first zone that has any.

        Args:
            pool: Name of the pool.
            limit: Count at which counting stops, to bound the cost in large
                pools.
            now_s: Monotonic time in seconds.
        """
        total = 0
        zone = None
        for vm in self.view.workers(pool):
            if total and vm.availability_zone != zone:
                break
            zone = vm.availability_zone
            total += self.free(vm, now_s)
            if total >= limit:
                break
        return total

    def acquire(
        self, pool: str, now_s: float, excluded: Collection[str] = ()
    ) -> ownership.VmState | base.Refusal:
        """Selects a backend server and acquires one of its slots.

        Args:
            pool: Name of the pool.
            now_s: Monotonic time in seconds.
            excluded: VMs on which this request has failed. Default: none.
        """
        workers = self.view.workers(pool)
        start = 0
        while start < len(workers):
            end = _zone_end(workers, start)
            vm = self._acquire_in_zone(workers[start:end], now_s, excluded)
            if vm is not None:
                return vm
            start = end
        return base.Refusal(base.Reason.NO_CAPACITY, STEP, detail=pool)

    def release(self, vm_id: str, now_s: float) -> None:
        """Releases a slot that `acquire` acquired."""
        self.health_[vm_id].outstanding -= 1
        # A VM never changes its zone, so all flags of a VM are equal.
        if self.own_zone_flags_[vm_id].pop():
            self.slot_policy.release(vm_id, now_s)

    def observe(
        self, vm: ownership.VmState, success: bool, now_s: float
    ) -> bool:
        """Records the result of a request; returns whether it ejects the VM."""
        health = self.health(vm)
        if success:
            health.observe_success(now_s)
            return False
        return health.observe_failure(now_s)

    def observe_leaving(self, vm: ownership.VmState, now_s: float) -> None:
        """Records that a backend server responded that it is leaving."""
        self.health(vm).observe_leaving(now_s)

    def remove_unlisted(self, vm_ids: Collection[str]) -> None:
        """Removes the state of unlisted VMs without requests in progress."""
        for vm_id, health in list(self.health_.items()):
            if vm_id not in vm_ids and not health.outstanding:
                del self.health_[vm_id]
                self.own_zone_flags_.pop(vm_id, None)

    def _acquire_in_zone(
        self,
        workers: list[ownership.VmState],
        now_s: float,
        excluded: Collection[str],
    ) -> ownership.VmState | None:
        # Power of two choices, then all workers if neither choice has a slot.
        # Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
        # Balancing", 2001.
        for group in (self._sample_two(workers), workers):
            usable = self._usable(group, now_s, excluded)
            while usable:
                vm = min(usable[:2], key=self._outstanding)
                if self._acquire_slot(vm, now_s):
                    return vm
                usable.remove(vm)
        return None

    def _sample_two(
        self, workers: list[ownership.VmState]
    ) -> list[ownership.VmState]:
        count = len(workers)
        if count <= 2:
            return workers
        first = int(self.random_.random() * count)
        second = int(self.random_.random() * (count - 1))
        return [workers[first], workers[second + (second >= first)]]

    def _usable(
        self,
        workers: list[ownership.VmState],
        now_s: float,
        excluded: Collection[str],
    ) -> list[ownership.VmState]:
        return [
            vm
            for vm in workers
            if vm.vm_id not in excluded and self._may_send(vm, now_s)
        ]

    def _may_send(self, vm: ownership.VmState, now_s: float) -> bool:
        if vm.availability_zone != self.zone or self.health(vm).limited(now_s):
            return self.free(vm, now_s) > 0
        # The slot policy is consulted only once, by `_acquire_slot`.
        return (
            vm.reachable
            and not vm.leaving
            and self.view.permit(vm.vm_id, now_s) is None
        )

    def _outstanding(self, vm: ownership.VmState) -> int:
        return self.health_[vm.vm_id].outstanding

    def _acquire_slot(self, vm: ownership.VmState, now_s: float) -> bool:
        own = vm.availability_zone == self.zone
        if own and self.slot_policy.acquire(vm.vm_id, now_s) is not None:
            return False
        self.health(vm).outstanding += 1
        self.own_zone_flags_.setdefault(vm.vm_id, []).append(own)
        return True


def _zone_end(workers: list[ownership.VmState], start: int) -> int:
    zone = workers[start].availability_zone
    end = start + 1
    while end < len(workers) and workers[end].availability_zone == zone:
        end += 1
    return end

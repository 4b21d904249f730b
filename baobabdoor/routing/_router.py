"""Choice of a backend server for a request of a pool."""

from collections.abc import Collection
import random
from typing import Protocol

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import slots
from baobabdoor.routing import _health

STEP = "routing.choose"
# Slots are shared between the entries of the worker's own zone only, so each
# entry of another zone takes at most this many of a worker at once.
FOREIGN_SLOTS = 1


class FleetView(Protocol):
    """The part of `control.FleetView` that routing uses."""

    def workers(self, pool: str) -> list[ownership.VmState]:
        """Returns the workers that serve a pool, own zone first."""

    def permit(
        self, vm_id: str, now_s: float, pool: str = ""
    ) -> base.Refusal | None:
        """Returns a refusal if this entry may not send to the VM now."""

    def observe_leaving(self, vm_id: str) -> None:
        """Notes that a backend server answered that it is leaving."""


class Router:
    """Chooses backend servers, and counts requests in progress on each.

    Args:
        view: Workers of each pool.
        slot_policy: Slots of the own zone's workers.
        zone: The entry's own availability zone.
        seed: Seed of the two random choices.
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
        self.acquired_: dict[str, list[bool]] = {}
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
        """Returns how many more requests may go to a VM now."""
        if vm.leaving or not vm.reachable:
            return 0
        health = self.health(vm)
        if vm.availability_zone == self.zone:
            available = self.slot_policy.available(vm.vm_id, now_s)
        else:
            available = FOREIGN_SLOTS - health.outstanding
        if available <= 0:
            return 0
        limit = health.limit(available + health.outstanding, now_s)
        free = min(available, limit - health.outstanding)
        if free <= 0 or self.view.permit(vm.vm_id, now_s) is not None:
            return 0
        return free

    def free_slots(self, pool: str, wanted: int, now_s: float) -> int:
        """Returns the free slots of a pool; another zone's if there are none.

        Args:
            pool: Name of the pool.
            wanted: Counting stops at this many, to keep large pools cheap.
            now_s: Monotonic time in seconds.
        """
        total = 0
        zone = None
        for vm in self.view.workers(pool):
            if total and vm.availability_zone != zone:
                break
            zone = vm.availability_zone
            total += self.free(vm, now_s)
            if total >= wanted:
                break
        return total

    def admit(
        self, pool: str, now_s: float, excluded: Collection[str] = ()
    ) -> ownership.VmState | base.Refusal:
        """Chooses a backend server and takes one of its slots.

        Args:
            pool: Name of the pool.
            now_s: Monotonic time in seconds.
            excluded: VMs that this request has failed on. Default: none.
        """
        workers = self.view.workers(pool)
        start = 0
        while start < len(workers):
            end = _zone_end(workers, start)
            vm = self._admit_in_zone(workers[start:end], now_s, excluded)
            if vm is not None:
                return vm
            start = end
        return base.Refusal(base.Reason.NO_CAPACITY, STEP, detail=pool)

    def release(self, vm_id: str, now_s: float) -> None:
        """Gives back the slot that `admit` took."""
        self.health_[vm_id].outstanding -= 1
        # A VM keeps its zone, so the flags of a VM are all the same.
        if self.acquired_[vm_id].pop():
            self.slot_policy.release(vm_id, now_s)

    def observe(
        self, vm: ownership.VmState, success: bool, now_s: float
    ) -> bool:
        """Notes the result of a request; returns whether it ejects the VM."""
        health = self.health(vm)
        if success:
            health.observe_success(now_s)
            return False
        return health.observe_failure(now_s)

    def observe_leaving(self, vm: ownership.VmState, now_s: float) -> None:
        """Notes that a backend server has said that it is leaving."""
        self.health(vm).observe_leaving(now_s)

    def retain(self, vm_ids: Collection[str]) -> None:
        """Forgets VMs that are neither listed nor have work in progress."""
        for vm_id, health in list(self.health_.items()):
            if vm_id not in vm_ids and not health.outstanding:
                del self.health_[vm_id]
                self.acquired_.pop(vm_id, None)

    def _admit_in_zone(
        self,
        workers: list[ownership.VmState],
        now_s: float,
        excluded: Collection[str],
    ) -> ownership.VmState | None:
        # Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
        # Balancing", 2001.
        for group in (self._two(workers), workers):
            usable = self._usable(group, now_s, excluded)
            while usable:
                vm = min(usable[:2], key=self._outstanding)
                if self._acquire(vm, now_s):
                    return vm
                usable.remove(vm)
        return None

    def _two(self, workers: list[ownership.VmState]) -> list[ownership.VmState]:
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
            if vm.vm_id not in excluded and self._may_admit(vm, now_s)
        ]

    def _may_admit(self, vm: ownership.VmState, now_s: float) -> bool:
        if vm.availability_zone != self.zone or self.health(vm).limited(now_s):
            return self.free(vm, now_s) > 0
        # The slot policy is asked once, by `acquire`.
        return (
            vm.reachable
            and not vm.leaving
            and self.view.permit(vm.vm_id, now_s) is None
        )

    def _outstanding(self, vm: ownership.VmState) -> int:
        return self.health_[vm.vm_id].outstanding

    def _acquire(self, vm: ownership.VmState, now_s: float) -> bool:
        own = vm.availability_zone == self.zone
        if own and self.slot_policy.acquire(vm.vm_id, now_s) is not None:
            return False
        self.health(vm).outstanding += 1
        self.acquired_.setdefault(vm.vm_id, []).append(own)
        return True


def _zone_end(workers: list[ownership.VmState], start: int) -> int:
    zone = workers[start].availability_zone
    end = start + 1
    while end < len(workers) and workers[end].availability_zone == zone:
        end += 1
    return end

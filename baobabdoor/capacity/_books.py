"""What one planning step knows of the pools and what it may still move."""

from collections.abc import Iterable

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _pool_book
from baobabdoor.capacity import _zone_cover


class FleetBook:
    """All pools in one planning step; collects the step's moves.

    Args:
        snapshot: All VMs with their pools and phases.
        deployment: Settings in force.
        preset: Preset in force.
    """

    def __init__(
        self,
        snapshot: ownership.FleetSnapshot,
        deployment: settings.Deployment,
        preset: settings.Preset,
    ):
        self.snapshot = snapshot
        self.deployment = deployment
        self.preset = preset
        self.moves_: list[_interface.Move] = []
        self.cover_: _zone_cover.ZoneCover | None = None
        members = maintenance.members_by_pool(snapshot.vms.values())
        self.pools_ = {
            name: _pool_book.PoolBook(name, members.get(name, []), promise)
            for name, promise in preset.pools.items()
        }
        for vm in snapshot.vms.values():
            if vm.target_pool in ("", vm.pool):
                continue
            if vm.target_pool in self.pools_ and _arrives(vm):
                self.pools_[vm.target_pool].join(vm)

    @property
    def spare(self) -> _pool_book.PoolBook:
        """The pool that lends VMs to the others."""
        return self.pools_[self.deployment.spare_pool]

    @property
    def applications(self) -> list[_pool_book.PoolBook]:
        """All pools but the spare one."""
        spare = self.deployment.spare_pool
        return [book for book in self.pools_.values() if book.name != spare]

    def rolling_out(self) -> maintenance.RollOut | None:
        """Returns the roll-out of the present period; None if it is stopped.

        Planners get no wall clock here; the newest time in the rows is close
        to it while VMs are moved or maintained.
        """
        newest_ms = max(
            (
                max(vm.phase_since_ms, vm.last_maintained_ms)
                for vm in self.snapshot.vms.values()
            ),
            default=0,
        )
        if maintenance.is_stopped(
            self.snapshot, self.deployment, self.preset, newest_ms
        ):
            return None
        return maintenance.RollOut.at(self.preset.maintenance, newest_ms)

    def lendable(self, keep_buffer: bool = True) -> int:
        """Returns how many VMs the spare pool may give away now.

        Args:
            keep_buffer: Whether to leave the buffer for the loss of a failure
                domain in the spare pool. Default: True.
        """
        spare = self.spare
        kept = spare.promise.min_workers
        if keep_buffer:
            kept += self.preset.buffer_workers
        return max(0, min(spare.allowance_, spare.serving - kept))

    def move(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        count: int,
        reason: str,
        barred: frozenset[str] | set[str] = frozenset(),
        keep_cover: bool = True,
    ) -> int:
        """Plans up to `count` moves and returns how many were possible.

        Args:
            source: Pool that gives VMs away.
            target: Pool that gets them.
            count: Number of VMs wanted.
            reason: Why, for the time line.
            barred: VMs that must stay. Default: none.
            keep_cover: Whether the loss of any zone must stay covered by the
                spare pool. Default: True.
        """
        count = min(count, source.allowance_, target.room)
        if count <= 0:
            return 0
        cover = self._cover()
        # A VM with an intent belongs to an operation already.
        candidates = _Candidates(
            vm
            for vm in source.serving_.values()
            if not vm.intent and vm.vm_id not in barred
        )
        moved = 0
        while moved < count and candidates:
            vm = candidates.take(source, target)
            zone = vm.availability_zone
            if not cover.count(source, target, zone, not keep_cover):
                candidates.drop(zone)
                continue
            source.leave(vm)
            target.join(vm)
            self.moves_.append(
                _interface.Move(vm.vm_id, source.name, target.name, reason)
            )
            moved += 1
        return moved

    def _cover(self) -> _zone_cover.ZoneCover:
        """Returns the cover, made at the first move since it takes a while."""
        if self.cover_ is None:
            self.cover_ = _zone_cover.ZoneCover(
                self.pools_.values(), self.spare
            )
        return self.cover_


class _Candidates:
    """VMs that may move, by zone and rack.

    Args:
        vms: The VMs.
    """

    def __init__(self, vms: Iterable[ownership.VmState]):
        self.zones_: dict[str, dict[str, list[ownership.VmState]]] = {}
        for vm in sorted(vms, key=_vm_id, reverse=True):
            racks = self.zones_.setdefault(vm.availability_zone, {})
            racks.setdefault(vm.rack, []).append(vm)

    def __bool__(self) -> bool:
        return bool(self.zones_)

    def drop(self, zone: str) -> None:
        """Removes the VMs of a zone."""
        self.zones_.pop(zone, None)

    def take(
        self, source: _pool_book.PoolBook, target: _pool_book.PoolBook
    ) -> ownership.VmState:
        """Removes the VM that keeps both pools best spread."""
        zone = min(
            self.zones_,
            key=lambda name: (target.zones_[name] - source.zones_[name], name),
        )
        racks = self.zones_[zone]
        rack = min(
            racks,
            key=lambda name: (target.racks_[name] - source.racks_[name], name),
        )
        vm = racks[rack].pop()
        if not racks[rack]:
            del racks[rack]
        if not racks:
            del self.zones_[zone]
        return vm


def _arrives(vm: ownership.VmState) -> bool:
    return vm.phase is not ownership.Phase.FAILED and vm.reachable


def _vm_id(vm: ownership.VmState) -> str:
    return vm.vm_id

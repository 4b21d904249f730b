"""What a VM's row, the entry rows and the VM list ask for next."""

import enum

import attrs

from baobabdoor import fleet_api
from baobabdoor.ownership import _fleet
from baobabdoor.ownership import _rows
from baobabdoor.ownership import _steps
from baobabdoor.ownership import _table

LIVE = fleet_api.VmListState.LIVE
TERMINATED = fleet_api.VmListState.TERMINATED
# A reboot that takes this many times its expected time counts as failed; the
# expected time is a declared value and often too low.
FAILED_REBOOT_FACTOR = 4.0


class OperationKind(enum.Enum):
    """What the platform is asked to do with a VM."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


@attrs.frozen
class Operation:
    """A VM operation; it may be repeated, and has no effect on another boot.

    Attributes:
        kind: What to do.
        vm_id: VM concerned.
        boot_id: Boot that it is meant for.
    """

    kind: OperationKind
    vm_id: str
    boot_id: str


def next_action(
    table: _table.FleetTable, vm_id: str, reboot_s: float, wall_ms: int
) -> _steps.Step | Operation | None:
    """Returns the next transaction or operation for a VM; None to wait.

    Args:
        table: Rows and list as read; the entry rows after the VM rows.
        vm_id: VM concerned.
        reboot_s: Expected time of a reboot in seconds.
        wall_ms: Wall-clock time in milliseconds.
    """
    stored = table.vms[vm_id]
    from_list = _follow_list(table, vm_id, wall_ms)
    if from_list is not None:
        return from_list
    phase = stored.row.phase
    if phase is _fleet.Phase.LEAVING and all_acknowledged(table, vm_id):
        return _steps.change_vm(
            table,
            vm_id,
            "ownership.draining",
            wall_ms,
            phase=_fleet.Phase.DRAINING,
        )
    if phase is _fleet.Phase.REBOOTING:
        return _continue_reboot(table, vm_id, reboot_s, wall_ms)
    if phase is _fleet.Phase.FAILED:
        return _follow_failed(table, vm_id, wall_ms)
    kinds = {
        _fleet.Phase.DRAINING: OperationKind.DRAIN,
        _fleet.Phase.JOINING: OperationKind.UNDRAIN,
    }
    if phase in kinds:
        return Operation(kinds[phase], vm_id, stored.row.boot_id)
    return _undo_late_drain(table, vm_id)


def after_operation(
    table: _table.FleetTable,
    operation: Operation,
    record: fleet_api.VmRecord,
    wall_ms: int,
) -> _steps.Step | None:
    """Returns the transaction that follows the answer to an operation."""
    row = table.vms[operation.vm_id].row
    if record.boot_id != row.boot_id or record.state is TERMINATED:
        return None
    if operation.kind is OperationKind.DRAIN and record.idle:
        return _after_drain(table, operation.vm_id, wall_ms)
    is_joining = row.phase is _fleet.Phase.JOINING
    if operation.kind is OperationKind.UNDRAIN and is_joining:
        return _steps.change_vm(
            table,
            operation.vm_id,
            "ownership.serving",
            wall_ms,
            phase=_fleet.Phase.SERVING,
            pool=row.target_pool or row.pool,
            target_pool="",
            intent="",
        )
    return None


def all_acknowledged(table: _table.FleetTable, vm_id: str) -> bool:
    """Returns whether every entry of the VM's zone has stopped sending to it.

    An entry whose row is malformed counts as not acknowledged.
    """
    stored = table.vms[vm_id]
    zone = stored.availability_zone
    for entry_id, entry in table.entries.items():
        if entry_id in table.gone:
            continue
        if entry is None:
            return False
        if entry.availability_zone != zone:
            continue
        if entry.views.get(zone, 0) < stored.row.view:
            return False
    return True


def _follow_list(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _steps.Step | None:
    """Follows a VM that failed or that came back with another boot."""
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if record is None:
        return None
    if record.boot_id != row.boot_id:
        is_older = record.boot_id in row.previous_boots
        if is_older or record.state is not LIVE:
            return None
        return _replace_boot(table, vm_id, record, wall_ms)
    expected = (_fleet.Phase.REBOOTING, _fleet.Phase.FAILED)
    if record.state is TERMINATED and row.phase not in expected:
        return _steps.change_vm(
            table,
            vm_id,
            "ownership.failed",
            wall_ms,
            phase=_fleet.Phase.FAILED,
            target_pool="",
        )
    return None


def _replace_boot(
    table: _table.FleetTable,
    vm_id: str,
    record: fleet_api.VmRecord,
    wall_ms: int,
) -> _steps.Step:
    row = table.vms[vm_id].row
    boots = [*row.previous_boots, row.boot_id][-_rows.MAX_PREVIOUS_BOOTS :]
    changes = {
        "boot_id": record.boot_id,
        "address": record.address,
        "rack": record.rack,
        "previous_boots": boots,
    }
    if row.phase is _fleet.Phase.REBOOTING:
        changes["last_maintained_ms"] = wall_ms
    if row.phase in (_fleet.Phase.REBOOTING, _fleet.Phase.FAILED):
        changes["phase"] = _fleet.Phase.JOINING
    return _steps.change_vm(
        table, vm_id, "ownership.booted", wall_ms, **changes
    )


def _continue_reboot(
    table: _table.FleetTable, vm_id: str, reboot_s: float, wall_ms: int
) -> _steps.Step | Operation:
    row = table.vms[vm_id].row
    waited_s = (wall_ms - row.phase_since_ms) / 1000
    if waited_s <= reboot_s * FAILED_REBOOT_FACTOR:
        return Operation(OperationKind.REBOOT, vm_id, row.boot_id)
    return _steps.change_vm(
        table,
        vm_id,
        "ownership.reboot-failed",
        wall_ms,
        phase=_fleet.Phase.FAILED,
    )


def _follow_failed(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _steps.Step | Operation | None:
    """Repeats a reboot whose request was lost, or forgets the VM.

    It is forgotten only once every entry of its zone knows that it failed,
    because a VM with the same id may return in another pool.
    """
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if record is not None and record.state is not TERMINATED:
        if row.target_pool and not row.is_move:
            return Operation(OperationKind.REBOOT, vm_id, row.boot_id)
        return None
    failed_s = (wall_ms - row.phase_since_ms) / 1000
    is_final = failed_s >= table.forget_failed_s and bool(table.listed)
    if is_final and all_acknowledged(table, vm_id):
        return _steps.delete_vm(table, vm_id)
    return None


def _after_drain(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _steps.Step | None:
    row = table.vms[vm_id].row
    if row.phase is not _fleet.Phase.DRAINING:
        return None
    joins = row.is_move
    return _steps.change_vm(
        table,
        vm_id,
        "ownership.joining" if joins else "ownership.rebooting",
        wall_ms,
        phase=_fleet.Phase.JOINING if joins else _fleet.Phase.REBOOTING,
    )


def _undo_late_drain(table: _table.FleetTable, vm_id: str) -> Operation | None:
    """Undrains a serving VM on which a delayed drain call took effect."""
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if row.phase is not _fleet.Phase.SERVING or record is None:
        return None
    if record.boot_id != row.boot_id or not record.idle:
        return None
    if record.state is not LIVE:
        return None
    return Operation(OperationKind.UNDRAIN, vm_id, row.boot_id)

"""Reconciles VM rows with the VM list and drives planned operations."""

import enum

import attrs

from baobabdoor import fleet_api
from baobabdoor.ownership import _fleet
from baobabdoor.ownership import _rows
from baobabdoor.ownership import _table
from baobabdoor.ownership import _transactions

LIVE = fleet_api.VmListState.LIVE
TERMINATED = fleet_api.VmListState.TERMINATED
# A reboot that exceeds its expected time by this factor counts as failed. The
# expected time is a configured value and often too low.
FAILED_REBOOT_FACTOR = 4.0


class OperationKind(enum.Enum):
    """Kind of a VM operation of the platform."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


@attrs.frozen
class Operation:
    """An idempotent VM operation, without effect on other boots of the VM.

    Attributes:
        kind: Kind of the operation.
        vm_id: Identifier of the VM.
        boot_id: Boot to which the operation applies.
    """

    kind: OperationKind
    vm_id: str
    boot_id: str


def next_action(
    table: _table.FleetTable, vm_id: str, reboot_s: float, wall_ms: int
) -> _transactions.Transaction | Operation | None:
    """Returns the next transaction or operation for a VM; None to wait.

    Args:
        table: Rows and VM list; the entry rows must have been read after the
            VM rows.
        vm_id: Identifier of the VM.
        reboot_s: Expected duration of a reboot in seconds.
        wall_ms: Wall-clock time in milliseconds.
    """
    stored = table.vms[vm_id]
    transaction = _reconcile_with_list(table, vm_id, wall_ms)
    if transaction is not None:
        return transaction
    phase = stored.row.phase
    if phase is _fleet.Phase.LEAVING and all_acknowledged(table, vm_id):
        return _transactions.change_vm(
            table,
            vm_id,
            "ownership.draining",
            wall_ms,
            phase=_fleet.Phase.DRAINING,
        )
    if phase is _fleet.Phase.REBOOTING:
        return _continue_reboot(table, vm_id, reboot_s, wall_ms)
    if phase is _fleet.Phase.FAILED:
        return _handle_failed_vm(table, vm_id, wall_ms)
    kinds = {
        _fleet.Phase.DRAINING: OperationKind.DRAIN,
        _fleet.Phase.JOINING: OperationKind.UNDRAIN,
    }
    if phase in kinds:
        return Operation(kinds[phase], vm_id, stored.row.boot_id)
    return _undo_late_drain(table, vm_id)


def handle_operation_result(
    table: _table.FleetTable,
    operation: Operation,
    record: fleet_api.VmRecord,
    wall_ms: int,
) -> _transactions.Transaction | None:
    """Returns the transaction that follows a successful operation, or None."""
    row = table.vms[operation.vm_id].row
    if record.boot_id != row.boot_id or record.state is TERMINATED:
        return None
    if operation.kind is OperationKind.DRAIN and record.idle:
        return _after_drain(table, operation.vm_id, wall_ms)
    is_joining = row.phase is _fleet.Phase.JOINING
    if operation.kind is OperationKind.UNDRAIN and is_joining:
        return _transactions.change_vm(
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
    """Returns whether all entries of the zone acknowledged the VM's view.

    An acknowledgement means that the entry no longer sends requests to a VM
    that the view has taken out of service. An entry whose row is malformed
    counts as not acknowledged.
    """
    stored = table.vms[vm_id]
    zone = stored.availability_zone
    for entry_id, entry in table.entries.items():
        if entry_id in table.expired_entries:
            continue
        if entry is None:
            return False
        if entry.availability_zone != zone:
            continue
        if entry.views.get(zone, 0) < stored.row.view:
            return False
    return True


def _reconcile_with_list(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _transactions.Transaction | None:
    """Handles a VM that the list shows as failed or rebooted."""
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if record is None:
        return None
    if record.boot_id != row.boot_id:
        is_outdated = record.boot_id in row.previous_boots
        if is_outdated or record.state is not LIVE:
            return None
        return _record_new_boot(table, vm_id, record, wall_ms)
    down_phases = (_fleet.Phase.REBOOTING, _fleet.Phase.FAILED)
    if record.state is TERMINATED and row.phase not in down_phases:
        return _transactions.change_vm(
            table,
            vm_id,
            "ownership.failed",
            wall_ms,
            phase=_fleet.Phase.FAILED,
            target_pool="",
        )
    return None


def _record_new_boot(
    table: _table.FleetTable,
    vm_id: str,
    record: fleet_api.VmRecord,
    wall_ms: int,
) -> _transactions.Transaction:
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
    return _transactions.change_vm(
        table, vm_id, "ownership.booted", wall_ms, **changes
    )


def _continue_reboot(
    table: _table.FleetTable, vm_id: str, reboot_s: float, wall_ms: int
) -> _transactions.Transaction | Operation:
    row = table.vms[vm_id].row
    elapsed_s = (wall_ms - row.phase_since_ms) / 1000
    if elapsed_s <= reboot_s * FAILED_REBOOT_FACTOR:
        return Operation(OperationKind.REBOOT, vm_id, row.boot_id)
    return _transactions.change_vm(
        table,
        vm_id,
        "ownership.reboot-failed",
        wall_ms,
        phase=_fleet.Phase.FAILED,
    )


def _handle_failed_vm(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _transactions.Transaction | Operation | None:
    """Repeats a reboot whose request was lost, or deletes the VM's row.

    The row is deleted only after all entries of the zone have acknowledged the
    failure, because a VM with the same identifier may return in another pool.
    """
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if record is not None and record.state is not TERMINATED:
        if row.target_pool and not row.is_move:
            return Operation(OperationKind.REBOOT, vm_id, row.boot_id)
        return None
    failed_s = (wall_ms - row.phase_since_ms) / 1000
    is_expired = failed_s >= table.forget_failed_s and bool(table.listed)
    if is_expired and all_acknowledged(table, vm_id):
        return _transactions.delete_vm(table, vm_id)
    return None


def _after_drain(
    table: _table.FleetTable, vm_id: str, wall_ms: int
) -> _transactions.Transaction | None:
    row = table.vms[vm_id].row
    if row.phase is not _fleet.Phase.DRAINING:
        return None
    is_move = row.is_move
    return _transactions.change_vm(
        table,
        vm_id,
        "ownership.joining" if is_move else "ownership.rebooting",
        wall_ms,
        phase=_fleet.Phase.JOINING if is_move else _fleet.Phase.REBOOTING,
    )


def _undo_late_drain(table: _table.FleetTable, vm_id: str) -> Operation | None:
    """Undrains a serving VM that a delayed drain call has drained."""
    row = table.vms[vm_id].row
    record = table.listed.get(vm_id)
    if row.phase is not _fleet.Phase.SERVING or record is None:
        return None
    if record.boot_id != row.boot_id or not record.idle:
        return None
    if record.state is not LIVE:
        return None
    return Operation(OperationKind.UNDRAIN, vm_id, row.boot_id)

"""Conditional transactions that create, change and delete VM rows."""

from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import settings
from baobabdoor.ownership import _fleet
from baobabdoor.ownership import _rows
from baobabdoor.ownership import _table

STEP = "ownership.start"


@attrs.frozen
class Transaction:
    """A transaction that changes the rows of one zone.

    Attributes:
        kind: Kind of the timeline event.
        vm_id: Identifier of the VM; the first one if several are created.
        transaction_id: Identifier that is stored in the written rows.
        conditions: Versions of the control, VM, view and budget rows read.
        writes: New rows.
        intent: Identifier of the planned operation; empty if none.
    """

    kind: str
    vm_id: str
    transaction_id: str
    conditions: tuple[fleet_api.Condition, ...]
    writes: tuple[fleet_api.Write, ...]
    intent: str = ""


def create_vms(
    table: _table.FleetTable,
    availability_zone: str,
    records: Sequence[fleet_api.VmRecord],
    versions: dict[str, int],
    wall_ms: int,
) -> Transaction:
    """Creates the rows of VMs that the platform lists.

    Args:
        table: Rows as last read.
        availability_zone: Zone of all `records`.
        records: Live VMs without a row.
        versions: Version by key of the absent rows; not 0 for a deleted row.
        wall_ms: Wall-clock time in milliseconds.
    """
    view = table.views.get(availability_zone, 0)
    transaction_id = f"{table.epoch}.{availability_zone}.{view + 1}"
    conditions = [
        _control_condition(table),
        fleet_api.Condition(_rows.view_key(availability_zone), view),
    ]
    writes = [_view_write(availability_zone, view + 1)]
    for record in records:
        key = _rows.vm_key(availability_zone, record.vm_id)
        row = _rows.VmRow(
            pool=record.pool_hint,
            phase=_fleet.Phase.SERVING,
            boot_id=record.boot_id,
            rack=record.rack,
            address=record.address,
            transaction=transaction_id,
            view=view + 1,
            phase_since_ms=wall_ms,
        )
        conditions.append(fleet_api.Condition(key, versions[key]))
        writes.append(fleet_api.Write(key, _rows.to_json(row)))
    return Transaction(
        "ownership.created",
        records[0].vm_id,
        transaction_id,
        tuple(conditions),
        tuple(writes),
    )


def change_vm(
    table: _table.FleetTable,
    vm_id: str,
    kind: str,
    wall_ms: int,
    **changes: object,
) -> Transaction:
    """Changes a VM's row and increments the version of the zone's view.

    If the intent changes, the budget row of the VM's former pool is charged or
    released in the same transaction.

    Args:
        table: Rows as last read.
        vm_id: Identifier of the VM.
        kind: Kind of the timeline event.
        wall_ms: Wall-clock time in milliseconds.
        **changes: New values of VM row attributes.
    """
    stored = table.vms[vm_id]
    zone = stored.availability_zone
    view = table.views.get(zone, 0)
    transaction_id = f"{table.epoch}.{zone}.{view + 1}"
    if changes.get("phase", stored.row.phase) is not stored.row.phase:
        changes["phase_since_ms"] = wall_ms
    row = attrs.evolve(
        stored.row, transaction=transaction_id, view=view + 1, **changes
    )
    key = _rows.vm_key(zone, vm_id)
    conditions = [
        _control_condition(table),
        fleet_api.Condition(key, stored.version),
        fleet_api.Condition(_rows.view_key(zone), view),
    ]
    writes = [
        fleet_api.Write(key, _rows.to_json(row)),
        _view_write(zone, view + 1),
    ]
    if row.intent != stored.row.intent:
        pool = stored.row.pool
        conditions.append(_budget_condition(table, pool))
        writes.append(_budget_write(table, pool, vm_id, row.intent))
    return Transaction(
        kind,
        vm_id,
        transaction_id,
        tuple(conditions),
        tuple(writes),
        row.intent or stored.row.intent,
    )


def delete_vm(table: _table.FleetTable, vm_id: str) -> Transaction:
    """Deletes the row and the budget charge of a VM that will not return."""
    stored = table.vms[vm_id]
    zone = stored.availability_zone
    view = table.views.get(zone, 0)
    key = _rows.vm_key(zone, vm_id)
    conditions = [
        _control_condition(table),
        fleet_api.Condition(key, stored.version),
        fleet_api.Condition(_rows.view_key(zone), view),
    ]
    writes = [fleet_api.Write(key, None), _view_write(zone, view + 1)]
    if stored.row.intent:
        pool = stored.row.pool
        conditions.append(_budget_condition(table, pool))
        writes.append(_budget_write(table, pool, vm_id, ""))
    return Transaction(
        "ownership.deleted",
        vm_id,
        f"{table.epoch}.{zone}.{view + 1}",
        tuple(conditions),
        tuple(writes),
        stored.row.intent,
    )


def start_operation(
    table: _table.FleetTable,
    vm_id: str,
    target_pool: str,
    preset: settings.Preset,
    wall_ms: int,
) -> Transaction | base.Refusal:
    """Takes a VM out of service, for a move or for maintenance.

    Args:
        table: Rows as last read.
        vm_id: Identifier of the VM.
        target_pool: Pool to move to; the VM's own pool for maintenance.
        preset: Preset in force.
        wall_ms: Wall-clock time in milliseconds.

    Returns:
        The transaction, or a refusal if the operation must not start now.
    """
    refusal = check_start(table, vm_id, target_pool, preset)
    if refusal is not None:
        return refusal
    stored = table.vms[vm_id]
    view = table.views.get(stored.availability_zone, 0) + 1
    is_move = target_pool != stored.row.pool
    verb = "move" if is_move else "maintain"
    return change_vm(
        table,
        vm_id,
        f"ownership.{verb}-started",
        wall_ms,
        phase=_fleet.Phase.LEAVING,
        target_pool=target_pool,
        intent=f"{verb}.{vm_id}.{table.epoch}.{view}",
    )


def check_start(
    table: _table.FleetTable,
    vm_id: str,
    target_pool: str,
    preset: settings.Preset,
) -> base.Refusal | None:
    """Returns a refusal if a VM must not be taken out of service now, or None.

    Refuses an unknown VM or pool, a VM that is not in service, a pool that
    would fall below its promise or exceed its budget, and a full target pool.
    """
    stored = table.vms.get(vm_id)
    if stored is None:
        return base.Refusal(base.Reason.NOT_FOUND, STEP, vm_id)
    snapshot = table.snapshot()
    pool = stored.row.pool
    promise = preset.pools.get(pool)
    target = preset.pools.get(target_pool)
    if promise is None or target is None:
        detail = f"no promise for {pool!r} or {target_pool!r}"
        return base.Refusal(base.Reason.UNKNOWN_POOL, STEP, vm_id, detail)
    if not snapshot.vms[vm_id].in_service or stored.row.intent:
        detail = f"the VM is {stored.row.phase.value}"
        return base.Refusal(base.Reason.CONFLICT, STEP, vm_id, detail)
    if snapshot.in_service(pool) - 1 < promise.min_workers:
        detail = f"{pool} keeps {promise.min_workers} VMs in service"
        return base.Refusal(base.Reason.NO_CAPACITY, STEP, vm_id, detail)
    out = out_of_service(table, pool)
    if len(out | {vm_id}) > promise.availability_budget:
        detail = f"{len(out)} of {promise.availability_budget} VMs are out"
        return base.Refusal(base.Reason.BUDGET_EXHAUSTED, STEP, vm_id, detail)
    if target_pool != pool and (
        planned_size(table, target_pool) >= target.max_workers
    ):
        detail = f"{target_pool} takes at most {target.max_workers} VMs"
        return base.Refusal(base.Reason.QUOTA_EXCEEDED, STEP, vm_id, detail)
    return None


def out_of_service(table: _table.FleetTable, pool: str) -> set[str]:
    """Returns the VMs of a pool that are out of service for any reason.

    Includes all VMs charged in the budget row, whatever their VM rows contain.
    """
    snapshot = table.snapshot()
    out = {vm.vm_id for vm in snapshot.of_pool(pool) if not vm.in_service}
    budget = table.budgets.get(pool, _table.StoredBudget())
    return out | set(budget.row.charges)


def planned_size(table: _table.FleetTable, pool: str) -> int:
    """Returns the size of a pool after all moves in progress."""
    rows = [stored.row for stored in table.vms.values()]
    return sum((row.target_pool or row.pool) == pool for row in rows)


def apply_transaction(
    table: _table.FleetTable,
    transaction: Transaction,
    versions: dict[str, int],
) -> None:
    """Applies a committed transaction to the rows already read."""
    table.observe_rows(
        fleet_api.Row(write.key, versions[write.key], write.value)
        for write in transaction.writes
    )


def _control_condition(table: _table.FleetTable) -> fleet_api.Condition:
    return fleet_api.Condition(_rows.control_key(table.region), table.epoch)


def _budget_condition(
    table: _table.FleetTable, pool: str
) -> fleet_api.Condition:
    version = table.budgets.get(pool, _table.StoredBudget()).version
    return fleet_api.Condition(_rows.budget_key(pool), version)


def _budget_write(
    table: _table.FleetTable, pool: str, vm_id: str, intent: str
) -> fleet_api.Write:
    budget = table.budgets.get(pool, _table.StoredBudget())
    charges = dict(budget.row.charges)
    charges.pop(vm_id, None)
    if intent:
        charges[vm_id] = intent
    row = _rows.BudgetRow(charges)
    return fleet_api.Write(_rows.budget_key(pool), _rows.to_json(row))


def _view_write(availability_zone: str, version: int) -> fleet_api.Write:
    return fleet_api.Write(
        _rows.view_key(availability_zone), {"version": version}
    )

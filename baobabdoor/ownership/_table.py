"""The controller's copy of a region's rows and of the VM list."""

from collections.abc import Iterable

import attrs

from baobabdoor import fleet_api
from baobabdoor.ownership import _fleet
from baobabdoor.ownership import _rows

# The row of a VM that stays failed for this time is deleted, so that the VM no
# longer occupies the budget of its pool. Its identifier may return as a new VM.
FORGET_FAILED_S = 3600.0


@attrs.frozen
class StoredVm:
    """A VM row with its zone and version."""

    availability_zone: str
    row: _rows.VmRow
    version: int


@attrs.frozen
class StoredBudget:
    """A budget row with its version."""

    row: _rows.BudgetRow = attrs.field(factory=_rows.BudgetRow)
    version: int = 0


@attrs.define
class FleetTable:
    """Rows and VM list from which VM operations are decided.

    Attributes:
        region: Region of the rows.
        epoch: Version of the control row when the rows were read.
        vms: VM rows by VM.
        views: Version of the view row by zone.
        budgets: Budget rows by pool.
        entries: Entry rows by entry; None for a malformed row.
        listed: The platform's VM list by VM.
        expired_entries: Entries whose acknowledgement is no longer required,
            see `ExpiredEntries`.
        forget_failed_s: Time after which the row of a failed VM is deleted, in
            seconds.
    """

    region: str
    epoch: int = 0
    vms: dict[str, StoredVm] = attrs.field(factory=dict)
    views: dict[str, int] = attrs.field(factory=dict)
    budgets: dict[str, StoredBudget] = attrs.field(factory=dict)
    entries: dict[str, _rows.EntryRow | None] = attrs.field(factory=dict)
    listed: dict[str, fleet_api.VmRecord] = attrs.field(factory=dict)
    expired_entries: frozenset[str] = frozenset()
    forget_failed_s: float = FORGET_FAILED_S

    def observe_rows(self, rows: Iterable[fleet_api.Row]) -> None:
        """Updates the table from rows of any kind.

        Malformed VM and budget rows are ignored. A VM whose row is malformed
        gets no operation. A pool whose budget row is malformed cannot be
        charged, because its version is unknown.
        """
        for row in rows:
            kind, _, name = row.key.partition("/")
            if kind == "vm":
                self._observe_vm(row, name)
            elif kind == "view":
                self.views[name] = row.version
            elif kind == "budget":
                budget = _rows.from_json(row.value, _rows.BudgetRow)
                if budget is not None:
                    self.budgets[name] = StoredBudget(budget, row.version)
            elif kind == "entry":
                self.entries[name] = _rows.from_json(row.value, _rows.EntryRow)

    def _observe_vm(self, row: fleet_api.Row, name: str) -> None:
        zone, _, vm_id = name.partition("/")
        if row.value is None:
            self.vms.pop(vm_id, None)
            return
        vm_row = _rows.from_json(row.value, _rows.VmRow)
        if vm_row is not None:
            self.vms[vm_id] = StoredVm(zone, vm_row, row.version)

    def snapshot(self) -> _fleet.FleetSnapshot:
        """Returns the state of all VMs for planners."""
        vms = {
            vm_id: vm_state(
                vm_id,
                stored.availability_zone,
                stored.row,
                self.listed.get(vm_id),
                stored.version,
            )
            for vm_id, stored in self.vms.items()
        }
        return _fleet.FleetSnapshot(vms)


def vm_state(
    vm_id: str,
    availability_zone: str,
    row: _rows.VmRow,
    record: fleet_api.VmRecord | None = None,
    version: int = 0,
) -> _fleet.VmState:
    """Combines a VM row with the platform's record of the same boot."""
    same_boot = record is not None and record.boot_id == row.boot_id
    state = record.state if same_boot else fleet_api.VmListState.LIVE
    return _fleet.VmState(
        vm_id=vm_id,
        availability_zone=availability_zone,
        rack=row.rack,
        address=row.address,
        pool=row.pool,
        phase=row.phase,
        boot_id=row.boot_id,
        version=version,
        target_pool=row.target_pool,
        intent=row.intent,
        last_maintained_ms=row.last_maintained_ms,
        phase_since_ms=row.phase_since_ms,
        reachable=state is not fleet_api.VmListState.TERMINATED,
        leaving=state is fleet_api.VmListState.LEAVING,
    )

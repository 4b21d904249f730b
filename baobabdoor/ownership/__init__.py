"""Which pool a VM belongs to, and the moves between pools."""

from baobabdoor.ownership._fleet import FleetSnapshot
from baobabdoor.ownership._fleet import Phase
from baobabdoor.ownership._fleet import VmState
from baobabdoor.ownership._progress import Operation
from baobabdoor.ownership._progress import OperationKind
from baobabdoor.ownership._progress import after_operation
from baobabdoor.ownership._progress import all_acknowledged
from baobabdoor.ownership._progress import next_action
from baobabdoor.ownership._registration import GoneEntries
from baobabdoor.ownership._registration import check_registration
from baobabdoor.ownership._registration import is_terminated
from baobabdoor.ownership._rows import BUDGET_PREFIX
from baobabdoor.ownership._rows import ENTRY_PREFIX
from baobabdoor.ownership._rows import VIEW_PREFIX
from baobabdoor.ownership._rows import VM_PREFIX
from baobabdoor.ownership._rows import BudgetRow
from baobabdoor.ownership._rows import EntryRow
from baobabdoor.ownership._rows import VmRow
from baobabdoor.ownership._rows import budget_key
from baobabdoor.ownership._rows import control_beat_key
from baobabdoor.ownership._rows import control_key
from baobabdoor.ownership._rows import entry_key
from baobabdoor.ownership._rows import from_json
from baobabdoor.ownership._rows import to_json
from baobabdoor.ownership._rows import view_key
from baobabdoor.ownership._rows import vm_key
from baobabdoor.ownership._steps import Step
from baobabdoor.ownership._steps import apply_step
from baobabdoor.ownership._steps import change_vm
from baobabdoor.ownership._steps import check_start
from baobabdoor.ownership._steps import create_vms
from baobabdoor.ownership._steps import out_of_service
from baobabdoor.ownership._steps import start_operation
from baobabdoor.ownership._table import FORGET_FAILED_S
from baobabdoor.ownership._table import FleetTable
from baobabdoor.ownership._table import StoredBudget
from baobabdoor.ownership._table import StoredVm
from baobabdoor.ownership._table import vm_state
from baobabdoor.ownership._views import ZoneView
from baobabdoor.ownership._views import ZoneViews

__all__ = [
    "BUDGET_PREFIX",
    "BudgetRow",
    "ENTRY_PREFIX",
    "EntryRow",
    "FORGET_FAILED_S",
    "FleetSnapshot",
    "FleetTable",
    "GoneEntries",
    "Operation",
    "OperationKind",
    "Phase",
    "Step",
    "StoredBudget",
    "StoredVm",
    "VIEW_PREFIX",
    "VM_PREFIX",
    "VmRow",
    "VmState",
    "ZoneView",
    "ZoneViews",
    "after_operation",
    "all_acknowledged",
    "apply_step",
    "budget_key",
    "change_vm",
    "check_registration",
    "check_start",
    "control_beat_key",
    "control_key",
    "create_vms",
    "entry_key",
    "from_json",
    "is_terminated",
    "next_action",
    "out_of_service",
    "start_operation",
    "to_json",
    "view_key",
    "vm_key",
    "vm_state",
]

"""Assignment of VMs to pools, and the transactions that change it."""

from baobabdoor.ownership._fleet import FleetSnapshot
from baobabdoor.ownership._fleet import Phase
from baobabdoor.ownership._fleet import VmState
from baobabdoor.ownership._reconciliation import Operation
from baobabdoor.ownership._reconciliation import OperationKind
from baobabdoor.ownership._reconciliation import all_acknowledged
from baobabdoor.ownership._reconciliation import handle_operation_result
from baobabdoor.ownership._reconciliation import next_action
from baobabdoor.ownership._registration import ExpiredEntries
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
from baobabdoor.ownership._rows import control_heartbeat_key
from baobabdoor.ownership._rows import control_key
from baobabdoor.ownership._rows import entry_key
from baobabdoor.ownership._rows import from_json
from baobabdoor.ownership._rows import to_json
from baobabdoor.ownership._rows import view_key
from baobabdoor.ownership._rows import vm_key
from baobabdoor.ownership._table import FORGET_FAILED_S
from baobabdoor.ownership._table import FleetTable
from baobabdoor.ownership._table import StoredBudget
from baobabdoor.ownership._table import StoredVm
from baobabdoor.ownership._table import vm_state
from baobabdoor.ownership._transactions import Transaction
from baobabdoor.ownership._transactions import apply_transaction
from baobabdoor.ownership._transactions import change_vm
from baobabdoor.ownership._transactions import check_start
from baobabdoor.ownership._transactions import create_vms
from baobabdoor.ownership._transactions import out_of_service
from baobabdoor.ownership._transactions import start_operation
from baobabdoor.ownership._views import ZoneView
from baobabdoor.ownership._views import ZoneViews

__all__ = [
    "BUDGET_PREFIX",
    "BudgetRow",
    "ENTRY_PREFIX",
    "EntryRow",
    "ExpiredEntries",
    "FORGET_FAILED_S",
    "FleetSnapshot",
    "FleetTable",
    "Operation",
    "OperationKind",
    "Phase",
    "StoredBudget",
    "StoredVm",
    "Transaction",
    "VIEW_PREFIX",
    "VM_PREFIX",
    "VmRow",
    "VmState",
    "ZoneView",
    "ZoneViews",
    "all_acknowledged",
    "apply_transaction",
    "budget_key",
    "change_vm",
    "check_registration",
    "check_start",
    "control_heartbeat_key",
    "control_key",
    "create_vms",
    "entry_key",
    "from_json",
    "handle_operation_result",
    "is_terminated",
    "next_action",
    "out_of_service",
    "start_operation",
    "to_json",
    "view_key",
    "vm_key",
    "vm_state",
]

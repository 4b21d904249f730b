"""Interface, data types and HTTP client of the platform API."""

from baobabdoor.fleet_api._http import HttpPlatform
from baobabdoor.fleet_api._http import NumericResolver
from baobabdoor.fleet_api._interface import Platform
from baobabdoor.fleet_api._types import AlreadyStarted
from baobabdoor.fleet_api._types import Committed
from baobabdoor.fleet_api._types import Condition
from baobabdoor.fleet_api._types import Conflict
from baobabdoor.fleet_api._types import Row
from baobabdoor.fleet_api._types import TaskRecord
from baobabdoor.fleet_api._types import TaskSpec
from baobabdoor.fleet_api._types import TaskState
from baobabdoor.fleet_api._types import TaskUsage
from baobabdoor.fleet_api._types import TransactionResult
from baobabdoor.fleet_api._types import Unknown
from baobabdoor.fleet_api._types import VmListChanges
from baobabdoor.fleet_api._types import VmListState
from baobabdoor.fleet_api._types import VmRecord
from baobabdoor.fleet_api._types import Write
from baobabdoor.fleet_api._wire import OPERATIONS
from baobabdoor.fleet_api._wire import MalformedMessageError
from baobabdoor.fleet_api._wire import Operation
from baobabdoor.fleet_api._wire import decode_arguments
from baobabdoor.fleet_api._wire import encode_result

__all__ = [
    "AlreadyStarted",
    "Committed",
    "Condition",
    "Conflict",
    "HttpPlatform",
    "MalformedMessageError",
    "OPERATIONS",
    "NumericResolver",
    "Operation",
    "Platform",
    "Row",
    "TaskRecord",
    "TaskSpec",
    "TaskState",
    "TaskUsage",
    "TransactionResult",
    "Unknown",
    "VmListChanges",
    "VmListState",
    "VmRecord",
    "Write",
    "decode_arguments",
    "encode_result",
]

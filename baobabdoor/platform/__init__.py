"""The platform's service as the rest of the system sees it."""

from baobabdoor.platform._http import HttpPlatform
from baobabdoor.platform._http import NumericResolver
from baobabdoor.platform._interface import Platform
from baobabdoor.platform._types import AlreadyStarted
from baobabdoor.platform._types import Committed
from baobabdoor.platform._types import Condition
from baobabdoor.platform._types import Conflict
from baobabdoor.platform._types import Row
from baobabdoor.platform._types import TaskRecord
from baobabdoor.platform._types import TaskSpec
from baobabdoor.platform._types import TaskState
from baobabdoor.platform._types import TaskUsage
from baobabdoor.platform._types import TransactionResult
from baobabdoor.platform._types import Unknown
from baobabdoor.platform._types import VmListChanges
from baobabdoor.platform._types import VmListState
from baobabdoor.platform._types import VmRecord
from baobabdoor.platform._types import Write
from baobabdoor.platform._wire import OPERATIONS
from baobabdoor.platform._wire import MalformedMessageError
from baobabdoor.platform._wire import Operation
from baobabdoor.platform._wire import decode_arguments
from baobabdoor.platform._wire import encode_result

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

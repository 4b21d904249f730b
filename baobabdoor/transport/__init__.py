"""HTTP between processes over persistent connections."""

from baobabdoor.transport._adaptive_timeout import AdaptiveTimeout
from baobabdoor.transport._application import ApplicationHandler
from baobabdoor.transport._client import Client
from baobabdoor.transport._client import Response
from baobabdoor.transport._client import parse_address
from baobabdoor.transport._closures import Closures
from baobabdoor.transport._connections import RECEIVE_BUFFER_BYTES
from baobabdoor.transport._connections import Listener
from baobabdoor.transport._connections import Stream
from baobabdoor.transport._drain import OpenRequest
from baobabdoor.transport._memory_budget import Bounds
from baobabdoor.transport._memory_budget import MemoryBudget
from baobabdoor.transport._memory_budget import MemoryPool
from baobabdoor.transport._memory_budget import Phase
from baobabdoor.transport._memory_budget import ProcessBounds
from baobabdoor.transport._memory_budget import divide
from baobabdoor.transport._server import Server
from baobabdoor.transport._types import AUTHENTICATED
from baobabdoor.transport._types import HeaderCheck
from baobabdoor.transport._types import Reply
from baobabdoor.transport._types import Request
from baobabdoor.transport._types import RequestLimits
from baobabdoor.transport._types import exceeds

__all__ = [
    "AUTHENTICATED",
    "RECEIVE_BUFFER_BYTES",
    "AdaptiveTimeout",
    "ApplicationHandler",
    "Bounds",
    "Client",
    "Closures",
    "HeaderCheck",
    "Listener",
    "MemoryBudget",
    "MemoryPool",
    "OpenRequest",
    "Phase",
    "ProcessBounds",
    "Reply",
    "Request",
    "RequestLimits",
    "Response",
    "Server",
    "Stream",
    "divide",
    "exceeds",
    "parse_address",
]

"""HTTP between processes over persistent connections."""

from baobabdoor.transport._adaptive_timeout import AdaptiveTimeout
from baobabdoor.transport._client import Client
from baobabdoor.transport._client import Response
from baobabdoor.transport._client import parse_address
from baobabdoor.transport._server import Reply
from baobabdoor.transport._server import Request
from baobabdoor.transport._server import Server

__all__ = [
    "AdaptiveTimeout",
    "Client",
    "Reply",
    "Request",
    "Response",
    "Server",
    "parse_address",
]

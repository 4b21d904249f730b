"""HTTP between processes over kept connections."""

from baobabdoor.transport._client import Client
from baobabdoor.transport._client import Response
from baobabdoor.transport._latency import Latency
from baobabdoor.transport._server import Reply
from baobabdoor.transport._server import Request
from baobabdoor.transport._server import Server

__all__ = ["Client", "Latency", "Reply", "Request", "Response", "Server"]

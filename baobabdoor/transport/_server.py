"""HTTP/1.1 server that passes complete requests to a handler coroutine."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from baobabdoor import observability

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 65_536
# Connections that are idle for this time are closed.
IDLE_TIMEOUT_S = 60.0
LOG = observability.get_logger("transport")

PHRASES = httputil.responses


@attrs.frozen
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        host: `Host` header without port, in lower case.
        headers: All headers.
        body: Body in bytes.
    """

    method: str
    path: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes


@attrs.frozen
class Reply:
    """A response to a request.

    Attributes:
        status: HTTP status.
        body: Body in bytes.
        headers: Further header lines, each ended by CRLF.
        content_type: Media type of the body.
    """

    status: int
    body: bytes = b""
    headers: str = ""
    content_type: str = "application/json"


class Server:
    """HTTP server on one address.

    Args:
        address: `ip:port` to listen on.
        handler: Coroutine function that returns the reply to a request.
    """

    def __init__(
        self, address: str, handler: Callable[[Request], Awaitable[Reply]]
    ):
        self.address = address
        self.handler = handler
        self.closing = False
        self.in_progress = 0
        self.server_: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Binds the address and accepts connections."""
        host, _, port = self.address.rpartition(":")
        self.server_ = httpserver.HTTPServer(
            self._accept,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.server_.add_sockets(
            netutil.bind_sockets(int(port), host, backlog=512)
        )

    def stop(self) -> None:
        """Stops accepting connections; requests on open ones still complete."""
        self.closing = True
        if self.server_ is not None:
            self.server_.stop()

    def _accept(self, request: httputil.HTTPServerRequest) -> None:
        asyncio.ensure_future(self._answer(request))

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        self.in_progress += 1
        try:
            reply = await self.handler(
                Request(
                    request.method,
                    request.path,
                    request.host.partition(":")[0].lower(),
                    request.headers,
                    request.body,
                )
            )
        except Exception as error:
            LOG.exception("request_failed", path=request.path, error=str(error))
            reply = Reply(500)
        finally:
            self.in_progress -= 1
        self._write(request, reply)

    def _write(self, request, reply: Reply) -> None:
        connection = request.connection
        if connection.stream is None or connection.stream.closed():
            return
        close = "Connection: close\r\n" if self.closing else ""
        head = (
            f"HTTP/1.1 {reply.status} {PHRASES.get(reply.status, 'Unknown')}"
            f"\r\nContent-Type: {reply.content_type}\r\n{reply.headers}{close}"
            f"Content-Length: {len(reply.body)}\r\n\r\n"
        )
        connection.write(head.encode("latin-1") + reply.body)
        connection.finish()

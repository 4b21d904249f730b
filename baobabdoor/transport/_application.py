"""Serves the handlers of a tornado application by a `Server`."""

import asyncio
from collections.abc import Callable
from typing import Any

from tornado import httputil

from baobabdoor.transport import _types

# Headers that the server sets itself, and those that nobody uses.
OMITTED_HEADERS = frozenset(
    ("Connection", "Content-Length", "Content-Type", "Date", "Etag", "Server")
)


class ResponseRecorder(httputil.HTTPConnection):
    """Receives the response of a handler, which writes to a connection."""

    def __init__(self):
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.reply = asyncio.get_running_loop().create_future()

    def set_close_callback(self, callback: Callable | None) -> None:
        """Ignores the callback: a request is handled to its end."""

    def write_headers(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future:
        """Records status, headers and the first part of the body."""
        self.status = start_line.code
        self.headers = headers
        return self.write(chunk or b"")

    def write(self, chunk: bytes) -> asyncio.Future:
        """Records a part of the body."""
        self.chunks.append(chunk)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def finish(self) -> None:
        """Completes the reply."""
        if self.reply.done():
            return
        lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in self.headers.get_all()
            if name not in OMITTED_HEADERS
        )
        self.reply.set_result(
            _types.Reply(
                self.status,
                b"".join(self.chunks),
                lines,
                self.headers.get("Content-Type", "text/plain"),
            )
        )


class ApplicationHandler:
    """Passes complete requests to the handlers of an application.

    Args:
        application: A `tornado.web.Application`. Its handlers get no query,
            no forms and no address of the client.
    """

    def __init__(self, application: Any):
        self.application = application

    async def serve(self, request: _types.Request) -> _types.Reply:
        """Returns the reply of the handler for the request's path."""
        recorder = ResponseRecorder()
        delegate = self.application.start_request(None, recorder)
        headers = request.headers.copy()
        # Otherwise forms are parsed, whose arguments take many times the size
        # of the body.
        headers.pop("Content-Type", None)
        delegate.headers_received(
            httputil.RequestStartLine(request.method, request.path, "HTTP/1.1"),
            headers,
        )
        if request.body:
            delegate.data_received(request.body)
        delegate.finish()
        return await recorder.reply

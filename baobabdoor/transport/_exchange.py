"""One request of a connection, from its header to its reply."""

import asyncio
from collections.abc import Coroutine
import io
from typing import Any

from tornado import http1connection
from tornado import httputil

from baobabdoor.transport import _connections
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _types

# Methods whose handlers use no body.
BODILESS_METHODS = ("GET", "HEAD", "DELETE")
OVERLOADED = _types.Reply(503, headers=_types.RETRY_AFTER_HEADER)


class Exchange(httputil.HTTPMessageDelegate):
    """Reads a request into one buffer and passes it to the server.

    Args:
        server: Provides limits, the budget and the handler.
        stream: The connection.
        http: Tornado's side of the request.
    """

    def __init__(
        self,
        server,
        stream: _connections.Stream,
        http: http1connection.HTTP1Connection,
    ):
        self.server = server
        self.stream = stream
        self.http = http
        self.request_: _types.Request | None = None
        self.early_reply_: _types.Reply | None = None
        self.buffer_ = io.BytesIO()

    def headers_received(self, start_line, headers):
        """Decides whether the body is read."""
        request = httputil.HTTPServerRequest(
            connection=self.http, start_line=start_line, headers=headers
        )
        self.request_ = _types.Request(
            request.method,
            request.path,
            request.host.partition(":")[0].lower(),
            headers,
            b"",
        )
        self.server.listener.observe_header(self.stream)
        if self.server.drain.refusal is not None:
            self.refuse(self.server.drain.refusal, "stop")
            return None
        refusal, reason = self._check(headers)
        if refusal is not None:
            self.refuse(refusal, reason)
            return None
        has_body = _announces_body(headers)
        if has_body and self.request_.method in BODILESS_METHODS:
            return self._answer_without_body()
        if has_body:
            self._enter(_memory_budget.Phase.BODY)
        return None

    def _check(self, headers) -> tuple[_types.Reply | None, str]:
        """Returns the reply to a request whose body is not to be read."""
        length = headers.get("Content-Length", "")
        # Other values are refused by `http1connection`.
        is_number = length.isascii() and length.isdigit()
        if is_number and _types.exceeds(length, self.server.limits.body_bytes):
            return _types.Reply(413), "body-size"
        reply = self.server.check_header(self.request_)
        if reply is _types.AUTHENTICATED:
            self.server.budget.trust(self.stream)
            return None, ""
        if reply is None:
            return None, ""
        if _announces_body(headers) or "Expect" in headers:
            return reply, "unused-body"
        self.early_reply_ = reply
        return None, ""

    def data_received(self, chunk: bytes) -> None:
        """Adds bytes to the body."""
        if self.stream.closed():
            return
        size = self.buffer_.tell() + len(chunk)
        if size > self.server.limits.body_bytes:
            self.refuse(_types.Reply(413), "body-size")
            return
        self.buffer_.write(chunk)
        if not self.server.listener.observe_body(self.stream, len(chunk)):
            self.refuse(OVERLOADED, "memory")

    def finish(self) -> None:
        """Handles the complete request, unless its client has reset it."""
        if self.stream.closed():
            return
        if self.stream.was_reset():
            # An overloaded server would spend its time on requests whose
            # clients have timed out.
            self.server.listener.close(self.stream, "reset")
            return
        if self.early_reply_ is not None:
            held_bytes = self.server.listener.start_handling(self.stream)
            self.server.budget.end_handling(held_bytes)
            self.write(self.early_reply_)
            return
        # Without a copy, unlike the bytes of a `bytearray`.
        body, self.buffer_ = self.buffer_.getvalue(), io.BytesIO()
        answer = self.server.answer(self.stream, self.request_, body)
        asyncio.ensure_future(self._write_when_known(answer))

    def on_connection_close(self) -> None:
        """Discards the body."""
        self.buffer_ = io.BytesIO()

    async def _write_when_known(
        self, answer: Coroutine[Any, Any, _types.Reply]
    ) -> None:
        self.write(await answer)

    async def _answer_without_body(self) -> None:
        """Answers before the body is read, and closes the connection."""
        reply = await self.server.answer(self.stream, self.request_, b"")
        self.refuse(reply, "unused-body")

    def _enter(self, phase: _memory_budget.Phase) -> None:
        self.server.budget.enter(
            self.stream, phase, self.server.listener.now_s()
        )

    def write(self, reply: _types.Reply) -> None:
        """Sends the reply to a complete request."""
        if self.http.stream is None or self.stream.closed():
            return
        self._enter(_memory_budget.Phase.WRITING)
        if self.server.drain.started:
            self._write_last(reply)
            return
        self.http.write(_types.encode_reply(reply, closing=False))
        self.http.finish()

    def _write_last(self, reply: _types.Reply) -> None:
        """Sends a reply and closes the connection once it is flushed."""
        flushed = self.stream.write(_types.encode_reply(reply, closing=True))
        if flushed.done():
            self._close()
        else:
            flushed.add_done_callback(lambda _: self._close())

    def _close(self) -> None:
        """Closes the connection so that its client gets the reply."""
        if self.stream.closed():
            return
        self.stream.lingers = True
        self.server.budget.close(self.stream)
        self.stream.close()
        # It may hold a further request.
        self.stream.discard()

    def refuse(self, reply: _types.Reply, reason: str) -> None:
        """Sends a reply and closes the connection, whose body is not read."""
        if self.stream.closed() or self.stream.lingers:
            return
        self.server.closures.observe(reason)
        self.buffer_ = io.BytesIO()
        self.stream.lingers = True
        self.stream.unfinished = True
        self._enter(_memory_budget.Phase.WRITING)
        self.server.listener.discard_body(self.stream)
        # Closes the stream once the reply is flushed, since the request has
        # not been read, and discards the rest of the body until then.
        self.http.write(_types.encode_reply(reply, closing=True))
        self.http.finish()
        if self.stream.closed():
            self.server.budget.close(self.stream)
            # It may hold a further request.
            self.stream.discard()


def _announces_body(headers: httputil.HTTPHeaders) -> bool:
    return (
        "Transfer-Encoding" in headers
        or headers.get("Content-Length", "0").strip("0") != ""
    )

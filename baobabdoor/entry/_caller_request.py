"""One request on a caller's connection: its body, its answer, its limits."""

from collections.abc import Callable
import http
from typing import Any

import attrs
from tornado import httputil

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.entry import _work

# Time for the whole body. A slower one would hold memory for too long.
BODY_TIMEOUT_S = 10.0
# Time to take a written answer; then the connection is closed.
ANSWER_TIMEOUT_S = 30.0
# A refused body up to this size is read and dropped, so that the caller can
# read the answer: closing with unread data resets the connection.
MAX_DROPPED_BYTES = 262_144
STEP = "entry.read"


@attrs.frozen
class PlainAnswer:
    """An answer of the entry itself, not of a backend server.

    Attributes:
        status: HTTP status.
        body: Body.
        content_type: Type of the body. Default: JSON.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


class CallerRequest(httputil.HTTPMessageDelegate):
    """One request on a caller's connection.

    Args:
        server: The caller server.
        connection: The connection that the request came on.
    """

    __slots__ = (
        "server",
        "connection",
        "work",
        "chunks",
        "length",
        "body_whole",
        "answered",
        "finished",
        "gone",
        "limit_s",
        "local",
        "start_line",
        "headers",
    )

    def __init__(self, server: Any, connection: httputil.HTTPConnection):
        self.server = server
        self.connection = connection
        self.work: _work.Work | None = None
        self.chunks: list[bytes] = []
        self.length = 0
        self.body_whole = False
        self.answered = False
        self.finished = False
        self.gone = False
        self.limit_s = float("inf")
        self.local: Callable | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Queues or refuses the request before its body is read."""
        self.start_line = start_line
        self.headers = headers
        server = self.server
        server.open_.add(self)
        now_s = server.timers.now_s()
        self.limit_s = now_s + BODY_TIMEOUT_S
        failure = server.accept(self, now_s)
        if failure is not None:
            server.refused_ += 1
            self.answer(failure)
            if "Expect" in headers:
                # The caller has not sent the body yet and need not.
                self._finish_connection()

    def data_received(self, chunk: bytes) -> None:
        """Keeps a part of the body, or drops it after a refusal."""
        self.length += len(chunk)
        if self.answered:
            if self.length > MAX_DROPPED_BYTES:
                self._finish_connection()
            return
        refusal = self.server.reserve(len(chunk), self.length)
        if refusal is not None:
            self.refuse(refusal)
            return
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Passes the whole body on."""
        self.body_whole = True
        self.limit_s = float("inf")
        if self.answered:
            self._finish_connection()
            return
        self.connection.set_close_callback(self.on_connection_close)
        self.server.body_arrived(self, self._take_body())

    def on_connection_close(self) -> None:
        """Drops the request of a caller that is gone."""
        self.gone = True
        if self.work is not None:
            self.server.path.cancel(self.work)
        self.forget()

    def answer(self, result: _work.Result) -> None:
        """Writes the result of the request."""
        if result:
            self._write_reply(result)
        else:
            self._write_failure(result)

    def refuse(self, refusal: base.Refusal) -> None:
        """Answers that the request was not run."""
        failure = requests.Failure(requests.Outcome.NOT_RUN, refusal)
        if self.work is not None:
            # Ends the request wherever it is; the answer comes back here.
            self.server.path.end(self.work, failure)
        else:
            self._write_failure(failure)

    def answer_plain(self, answer: PlainAnswer) -> None:
        """Writes an answer of the entry itself."""
        headers = httputil.HTTPHeaders()
        headers["Content-Type"] = answer.content_type
        phrase = http.HTTPStatus(answer.status).phrase
        self._write(answer.status, phrase, headers, answer.body)

    def expire(self, now_s: float) -> None:
        """Ends the request if its body or its answer takes too long."""
        if now_s < self.limit_s:
            return
        if self.answered or self.gone:
            self.connection.close()
            self.forget()
            return
        detail = f"the body was not complete after {BODY_TIMEOUT_S:g} s"
        self.refuse(base.Refusal(base.Reason.TIMEOUT, STEP, detail=detail))
        self._finish_connection()

    def _take_body(self) -> bytes:
        if not self.chunks:
            return b""
        body = b"".join(self.chunks)
        self.chunks = [body]
        return body

    def _write_reply(self, reply: requests.Reply) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in reply.headers:
            headers.add(name, value)
        headers[requests.OUTCOME_HEADER] = reply.outcome.value
        self._write(reply.status, reply.reason, headers, reply.body)

    def _write_failure(self, failure: requests.Failure) -> None:
        headers = httputil.HTTPHeaders()
        headers["Content-Type"] = "application/json"
        headers[requests.OUTCOME_HEADER] = failure.outcome.value
        if failure.retry_after_s:
            headers["Retry-After"] = str(failure.retry_after_s)
        phrase = http.HTTPStatus(failure.status).phrase
        self._write(failure.status, phrase, headers, failure.body())

    def _write(
        self,
        status: int,
        phrase: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        if self.answered or self.gone:
            return
        self.answered = True
        self.limit_s = self.server.timers.now_s() + ANSWER_TIMEOUT_S
        if self.start_line.method == "HEAD":
            body = b""
        elif status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        if self.server.draining or not self.body_whole and self._long_body():
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
        self.connection.write_headers(start_line, headers, body)
        if self.body_whole:
            self._finish_connection()

    def _long_body(self) -> bool:
        length = self.headers.get("Content-Length", "")
        return not length.isdigit() or int(length) > MAX_DROPPED_BYTES

    def _finish_connection(self) -> None:
        if self.finished:
            return
        self.finished = True
        stream = self.connection.stream
        self.connection.finish()
        if stream.closed() or not stream.writing():
            self.forget()

    def forget(self) -> None:
        """Gives back the memory of a request that has ended."""
        if self in self.server.open_:
            self.server.open_.discard(self)
            self.server.unreserve(sum(map(len, self.chunks)))
            self.chunks = []

"""One request on a caller's connection: its body, its answer, its limits."""

from collections.abc import Callable
import functools
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
# Time without the headers of a request. Balancers that keep connections close
# them earlier. Checked here because a timer of the library for each request
# costs a tenth of forwarding it.
IDLE_S = 75.0
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
        "answer_bytes",
        "unread",
        "body_whole",
        "answered",
        "finished",
        "gone",
        "limit_s",
        "local",
        "start_line",
        "headers",
        "idle_limit_s",
        "held",
    )

    def __init__(self, server: Any, connection: httputil.HTTPConnection):
        self.server = server
        self.connection = connection
        self.work: _work.Work | None = None
        self.chunks: list[bytes] = []
        self.length = 0
        self.answer_bytes = 0
        self.unread = 0
        self.body_whole = False
        self.answered = False
        self.finished = False
        self.gone = False
        self.held = False
        self.limit_s = float("inf")
        self.local: Callable | None = None
        self.start_line: httputil.RequestStartLine | None = None
        self.idle_limit_s = server.timers.now_s() + IDLE_S

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
            delay_s = server.hold_s_
            if delay_s > 0 and "Expect" not in headers:
                self.held = True
                server.timers.call_later(
                    delay_s, functools.partial(self._answer_held, failure)
                )
                return
            self.answer(failure)
            if not _clear_length(headers):
                self._end_connection()
            elif "Expect" in headers:
                # The caller has not sent the body yet and need not.
                self._finish_connection()

    def data_received(self, chunk: bytes) -> None:
        """Keeps a part of the body, or drops it after a refusal."""
        self.length += len(chunk)
        if self.answered or self.finished or self.held:
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
        if self.held:
            self.connection.set_close_callback(self.on_connection_close)
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

    def _answer_held(self, failure: requests.Failure) -> None:
        """Writes a refusal that was held back."""
        if not self.answered and not self.gone:
            self.answer(failure)

    def answer_plain(self, answer: PlainAnswer) -> None:
        """Writes an answer of the entry itself."""
        headers = [("Content-Type", answer.content_type)]
        self._write(answer.status, _phrase(answer.status), headers, answer.body)

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

    def _write_reply(self, reply: requests.Response) -> None:
        headers = [
            pair for pair in reply.headers if pair[0] != "Content-Length"
        ]
        headers.append((requests.OUTCOME_HEADER, reply.outcome.value))
        if self.start_line.method == "HEAD" or reply.status == 304:
            # The length is that of a body which is not sent.
            headers = [*reply.headers, headers[-1]]
        self._write(reply.status, reply.reason, headers, reply.body)

    def _write_failure(self, failure: requests.Failure) -> None:
        status, headers, body = _failure_parts(failure)
        self._write(status, _phrase(status), list(headers), body)

    def _write(
        self,
        status: int,
        phrase: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        if self.answered or self.gone:
            return
        self.answered = True
        self.limit_s = self.server.timers.now_s() + ANSWER_TIMEOUT_S
        if self.start_line.method == "HEAD":
            body = b""
        elif status not in (204, 304):
            headers.append(("Content-Length", str(len(body))))
        closing = self._closing()
        if closing:
            headers.append(("Connection", "close"))
        elif self.start_line.version == "HTTP/1.0":
            headers.append(("Connection", "keep-alive"))
        lines = [f"HTTP/1.1 {status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("\r\n")
        # A head encoded here costs a third of one checked again; the parser
        # of the backend server's answer has checked its headers.
        head = "\r\n".join(lines).encode("latin-1")
        self.answer_bytes = len(body)
        self.connection.write(head + body)
        if self.body_whole:
            self._finish_connection()

    def _closing(self) -> bool:
        if self.server.draining or (not self.body_whole and self._long_body()):
            return True
        asked = self.headers.get("Connection", "").lower()
        if self.start_line.version == "HTTP/1.0":
            return asked != "keep-alive"
        return asked == "close"

    def _long_body(self) -> bool:
        if "Transfer-Encoding" in self.headers:
            return True
        length = self.headers.get("Content-Length", "0")
        return not length.isdigit() or int(length) > MAX_DROPPED_BYTES

    def _finish_connection(self) -> None:
        if self.finished:
            return
        self.finished = True
        stream = self.connection.stream
        self.connection.finish()
        if stream.closed() or not stream.writing():
            self.forget()
        else:
            self.unread = self.answer_bytes
            self.server.unread_ += self.unread

    def _end_connection(self) -> None:
        """Closes the connection once the answer is written.

        The parser would answer a body of unclear length a second time, and a
        caller behind a shared connection could take that for the answer to
        its next request.
        """
        self.finished = True
        stream = self.connection.detach()
        written = stream.write(b"")
        written.add_done_callback(
            lambda done: (done.exception(), stream.close())
        )
        self.forget()

    def forget(self) -> None:
        """Gives back the memory of a request that has ended."""
        if self in self.server.open_:
            self.server.open_.discard(self)
            self.server.unreserve(sum(map(len, self.chunks)))
            self.server.unread_ -= self.unread
            self.unread = 0
            self.chunks = []


# Refusals under load are few different ones, so their form is made once.
@functools.lru_cache(maxsize=256)
def _failure_parts(
    failure: requests.Failure,
) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
    headers = [
        ("Content-Type", "application/json"),
        (requests.OUTCOME_HEADER, failure.outcome.value),
    ]
    if failure.retry_after_s:
        headers.append(("Retry-After", str(failure.retry_after_s)))
    return failure.status, tuple(headers), failure.body()


@functools.cache
def _phrase(status: int) -> str:
    return http.HTTPStatus(status).phrase


def _clear_length(headers: httputil.HTTPHeaders) -> bool:
    """Returns whether a reader can tell where the body ends."""
    lengths = headers.get_list("Content-Length")
    if "Transfer-Encoding" in headers:
        return not lengths
    return not lengths or (len(lengths) == 1 and lengths[0].isdigit())

"""Requests, replies and limits of servers."""

import enum

import attrs
from tornado import httputil

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 65_536
# Connections that are idle for this time are closed.
IDLE_TIMEOUT_S = 60.0
PHRASES = httputil.responses
# Of refusals that a later request may not get, in seconds.
RETRY_AFTER_HEADER = "Retry-After: 1\r\n"


@attrs.frozen
class RequestLimits:
    """Limits of single requests.

    Attributes:
        header_bytes: Maximum size of a request's header.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Time in which a header must be complete.
        idle_timeout_s: Time after which an idle connection is closed.
        body_timeout_s: Time in which a body must be complete. Default: as for
            an idle connection.
        reply_timeout_s: Time in which a reply must be read. Default: as for
            an idle connection.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = IDLE_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    body_timeout_s: float | None = None
    reply_timeout_s: float | None = None


@attrs.frozen
class Request:
    """A complete request, or the header of one whose body is not yet read.

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


class HeaderCheck(enum.Enum):
    """Result of a check of a request's header that needs no reply."""

    AUTHENTICATED = "authenticated"


AUTHENTICATED = HeaderCheck.AUTHENTICATED


def exceeds(length: str, limit: int) -> bool:
    """Returns whether a `Content-Length` exceeds a limit, or is no number.

    It may have more digits than `int` converts.
    """
    if not (length.isascii() and length.isdigit()):
        return True
    digits = length.lstrip("0")
    return len(digits) > len(str(limit)) or int(digits or "0") > limit


def encode_reply(reply: Reply, closing: bool) -> bytes:
    """Returns the bytes of a reply.

    Args:
        reply: The reply.
        closing: Whether the connection is not to be used again.
    """
    close = "Connection: close\r\n" if closing else ""
    head = (
        f"HTTP/1.1 {reply.status} {PHRASES.get(reply.status, 'Unknown')}"
        f"\r\nContent-Type: {reply.content_type}\r\n{reply.headers}{close}"
        f"Content-Length: {len(reply.body)}\r\n\r\n"
    )
    return head.encode("latin-1") + reply.body

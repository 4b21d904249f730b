"""Classification of a request from its headers alone."""

import re
from typing import Protocol

import attrs

from baobabdoor.requests import _header_errors

POOL_HEADER = "Baobabdoor-Pool"
CALLER_HEADER = "Baobabdoor-Caller"
PRIORITY_HEADER = "Priority"
DEADLINE_HEADER = "Baobabdoor-Deadline-Ms"
IDEMPOTENT_HEADER = "Baobabdoor-Idempotent"
KEY_HEADER = "Idempotency-Key"

DEFAULT_URGENCY = 3  # RFC 9218, section 4.1
DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 3_600_000
MAX_NAME_LENGTH = 64
MAX_KEY_LENGTH = 255
MAX_VALUE_LENGTH = 8_192
MAX_HEADERS_LENGTH = 16_384
# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE")
)
USED_HEADERS = frozenset(
    (
        POOL_HEADER,
        CALLER_HEADER,
        PRIORITY_HEADER,
        DEADLINE_HEADER,
        IDEMPOTENT_HEADER,
        KEY_HEADER,
        "Content-Length",
        "Transfer-Encoding",
    )
)
# Value of `body_bytes` for a chunked body, whose length is not declared.
CHUNKED = -1

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
_KEY = re.compile(r"[\x21-\x7e]+")
_DIGITS = re.compile(r"[0-9]{1,18}")
_URGENCY = re.compile(r"(?:^|,)[ \t]*u=([^,;]*)")
_BOOLEANS = {"true": True, "false": False}


HeaderValues = dict[str, list[str]]


class Headers(Protocol):
    """The subset of `tornado.httputil.HTTPHeaders` that is used.

    Names are normalized to the form `Words-With-Hyphens`.
    """

    def get_all(self) -> list[tuple[str, str]]:
        """Returns all pairs of a name and a value."""


@attrs.frozen
class RequestInfo:
    """Information from the headers of a request.

    Attributes:
        pool: Pool that serves the request.
        caller: Name of the caller.
        urgency: RFC 9218 urgency; 0 is the most urgent, 7 the least.
        deadline_s: Monotonic time after which the response is useless.
        idempotent: Whether the request may be run more than once.
        key: Idempotency key; empty if absent.
        body_bytes: Declared length of the body; `CHUNKED` if not declared.
    """

    pool: str
    caller: str
    urgency: int
    deadline_s: float
    idempotent: bool
    key: str
    body_bytes: int


def classify(method: str, headers: Headers, now_s: float) -> RequestInfo:
    """Parses the headers of a request.

    Args:
        method: HTTP method.
        headers: All headers of the request.
        now_s: Monotonic time in seconds at which the headers arrived.

    Raises:
        HeaderError: A header is missing, malformed, duplicated or too long.
    """
    found = _collect(headers)
    return RequestInfo(
        pool=_name(found, POOL_HEADER, "the name of a pool"),
        caller=_name(found, CALLER_HEADER, "the name of the caller"),
        urgency=_urgency(found),
        deadline_s=now_s + _deadline_ms(found) / 1000.0,
        idempotent=_idempotent(method, found),
        key=_key(found),
        body_bytes=_body_bytes(found),
    )


def _collect(headers: Headers) -> HeaderValues:
    """Returns the values of the used headers; checks the lengths of all."""
    total = 0
    found: HeaderValues = {}
    for name, value in headers.get_all():
        length = len(value)
        if length > MAX_VALUE_LENGTH:
            raise _header_errors.OverlongHeaderError(
                name[:MAX_NAME_LENGTH], MAX_VALUE_LENGTH, length
            )
        total += len(name) + length
        if name in USED_HEADERS:
            found.setdefault(name, []).append(value)
    if total > MAX_HEADERS_LENGTH:
        raise _header_errors.OverlongHeaderError(
            "all headers", MAX_HEADERS_LENGTH, total
        )
    return found


def _single(found: HeaderValues, name: str) -> str:
    values = found.get(name)
    if values is None:
        return ""
    if len(values) > 1:
        raise _header_errors.DuplicatedHeaderError(name, len(values))
    return values[0]


def _name(found: HeaderValues, header: str, expected: str) -> str:
    value = _single(found, header)
    if not value:
        raise _header_errors.MissingHeaderError(header, expected)
    if len(value) > MAX_NAME_LENGTH:
        raise _header_errors.OverlongHeaderError(
            header, MAX_NAME_LENGTH, len(value)
        )
    if not _NAME.fullmatch(value):
        raise _header_errors.MalformedHeaderError(header, expected, value)
    return value


def _urgency(found: HeaderValues) -> int:
    # Priority is a structured field, so several lines form one value, in which
    # the last `u` applies (RFC 8941, section 3.2).
    values = found.get(PRIORITY_HEADER)
    if not values:
        return DEFAULT_URGENCY
    urgencies = _URGENCY.findall(",".join(values))
    if not urgencies:
        return DEFAULT_URGENCY
    text = urgencies[-1].strip()
    if len(text) != 1 or text not in "01234567":
        raise _header_errors.MalformedHeaderError(
            PRIORITY_HEADER, "u=0 to u=7", text
        )
    return int(text)


def _deadline_ms(found: HeaderValues) -> int:
    text = _single(found, DEADLINE_HEADER)
    if not text:
        return DEFAULT_DEADLINE_MS
    if not _DIGITS.fullmatch(text):
        raise _header_errors.MalformedHeaderError(
            DEADLINE_HEADER, "milliseconds", text
        )
    return min(int(text), MAX_DEADLINE_MS)


def _idempotent(method: str, found: HeaderValues) -> bool:
    text = _single(found, IDEMPOTENT_HEADER)
    if not text:
        return method in IDEMPOTENT_METHODS
    if text not in _BOOLEANS:
        raise _header_errors.MalformedHeaderError(
            IDEMPOTENT_HEADER, "true or false", text
        )
    return _BOOLEANS[text]


def _key(found: HeaderValues) -> str:
    key = _single(found, KEY_HEADER)
    if not key:
        return ""
    if len(key) > MAX_KEY_LENGTH:
        raise _header_errors.OverlongHeaderError(
            KEY_HEADER, MAX_KEY_LENGTH, len(key)
        )
    if not _KEY.fullmatch(key):
        raise _header_errors.MalformedHeaderError(
            KEY_HEADER, "visible ASCII characters", key
        )
    return key


def _body_bytes(found: HeaderValues) -> int:
    coding = _single(found, "Transfer-Encoding")
    length = _single(found, "Content-Length")
    if coding:
        # With both headers, the backend server could determine another length
        # of the body (request smuggling; RFC 9112, section 6.1).
        if length or coding.lower() != "chunked":
            raise _header_errors.MalformedHeaderError(
                "Transfer-Encoding", "chunked without Content-Length", coding
            )
        return CHUNKED
    if not length:
        return 0
    if not _DIGITS.fullmatch(length):
        raise _header_errors.MalformedHeaderError(
            "Content-Length", "a number of bytes", length
        )
    return int(length)

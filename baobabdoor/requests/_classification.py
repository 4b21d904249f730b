"""Derives what a request asks for from its headers alone."""

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
# Value of `body_bytes` for a chunked body, whose length is not declared.
CHUNKED = -1

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
_KEY = re.compile(r"[\x21-\x7e]+")
_DIGITS = re.compile(r"[0-9]{1,18}")
_URGENCY = re.compile(r"(?:^|,)[ \t]*u=([^,;]*)")
_BOOLEANS = {"true": True, "false": False}


class Headers(Protocol):
    """The part of `tornado.httputil.HTTPHeaders` that is used."""

    def get_list(self, name: str) -> list[str]:
        """Returns all values of a header."""

    def get_all(self) -> list[tuple[str, str]]:
        """Returns all names and values."""


@attrs.frozen
class RequestInfo:
    """What the headers of a request say.

    Attributes:
        pool: Pool that serves the request.
        caller: Name of the caller.
        urgency: RFC 9218 urgency; 0 is the most urgent, 7 the least.
        deadline_s: Monotonic time after which the answer is of no use.
        idempotent: Whether the request may be run more than once.
        key: Idempotency key; empty if there is none.
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
    """Reads the headers of a request.

    Args:
        method: HTTP method.
        headers: All headers of the request.
        now_s: Monotonic time in seconds at which the headers arrived.

    Raises:
        HeaderError: A header is missing, malformed, duplicated or over-long.
    """
    _check_lengths(headers)
    return RequestInfo(
        pool=_name(headers, POOL_HEADER, "the name of a pool"),
        caller=_name(headers, CALLER_HEADER, "the name of the caller"),
        urgency=_urgency(headers),
        deadline_s=now_s + _deadline_ms(headers) / 1000.0,
        idempotent=_idempotent(method, headers),
        key=_key(headers),
        body_bytes=_body_bytes(headers),
    )


def _check_lengths(headers: Headers) -> None:
    total = 0
    for name, value in headers.get_all():
        length = len(value)
        if length > MAX_VALUE_LENGTH:
            raise _header_errors.OverlongHeaderError(
                name[:MAX_NAME_LENGTH], MAX_VALUE_LENGTH, length
            )
        total += len(name) + length
    if total > MAX_HEADERS_LENGTH:
        raise _header_errors.OverlongHeaderError(
            "all headers", MAX_HEADERS_LENGTH, total
        )


def _single(headers: Headers, name: str) -> str:
    values = headers.get_list(name)
    if not values:
        return ""
    if len(values) > 1:
        raise _header_errors.DuplicatedHeaderError(name, len(values))
    return values[0]


def _name(headers: Headers, header: str, expected: str) -> str:
    value = _single(headers, header)
    if not value:
        raise _header_errors.MissingHeaderError(header, expected)
    if len(value) > MAX_NAME_LENGTH:
        raise _header_errors.OverlongHeaderError(
            header, MAX_NAME_LENGTH, len(value)
        )
    if not _NAME.fullmatch(value):
        raise _header_errors.MalformedHeaderError(header, expected, value)
    return value


def _urgency(headers: Headers) -> int:
    # Priority is a structured list, so several lines are one value; the last
    # `u` counts (RFC 8941, section 3.2).
    values = headers.get_list(PRIORITY_HEADER)
    if not values:
        return DEFAULT_URGENCY
    found = _URGENCY.findall(",".join(values))
    if not found:
        return DEFAULT_URGENCY
    text = found[-1].strip()
    if len(text) != 1 or text not in "01234567":
        raise _header_errors.MalformedHeaderError(
            PRIORITY_HEADER, "u=0 to u=7", text
        )
    return int(text)


def _deadline_ms(headers: Headers) -> int:
    text = _single(headers, DEADLINE_HEADER)
    if not text:
        return DEFAULT_DEADLINE_MS
    if not _DIGITS.fullmatch(text):
        raise _header_errors.MalformedHeaderError(
            DEADLINE_HEADER, "milliseconds", text
        )
    return min(int(text), MAX_DEADLINE_MS)


def _idempotent(method: str, headers: Headers) -> bool:
    text = _single(headers, IDEMPOTENT_HEADER)
    if not text:
        return method in IDEMPOTENT_METHODS
    if text not in _BOOLEANS:
        raise _header_errors.MalformedHeaderError(
            IDEMPOTENT_HEADER, "true or false", text
        )
    return _BOOLEANS[text]


def _key(headers: Headers) -> str:
    key = _single(headers, KEY_HEADER)
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


def _body_bytes(headers: Headers) -> int:
    coding = _single(headers, "Transfer-Encoding")
    length = _single(headers, "Content-Length")
    if coding:
        # Two framings could be read differently by the backend server
        # (request smuggling; RFC 9112, section 6.1).
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

"""Errors of request headers, each with the header and the expected value."""

from baobabdoor import base

STEP = "requests.classify"
# Maximum length of the caller's input that a refusal quotes.
MAX_QUOTED = 40


class HeaderError(base.RefusalError):
    """The headers of a request are invalid, so that it is not run.

    Attributes:
        header: Name of the header.
    """

    def __init__(
        self,
        header: str,
        problem: str,
        reason: base.Reason = base.Reason.BAD_REQUEST,
    ):
        detail = f"{header}: {problem}"
        super().__init__(base.Refusal(reason, STEP, detail=detail))
        self.header = header


class MissingHeaderError(HeaderError):
    """A required header is absent or empty."""

    def __init__(self, header: str, expected: str):
        super().__init__(header, f"expected {expected}, found nothing")


class MalformedHeaderError(HeaderError):
    """A header does not have the expected form."""

    def __init__(self, header: str, expected: str, found: str):
        quoted = repr(found[:MAX_QUOTED])
        super().__init__(header, f"expected {expected}, found {quoted}")


class DuplicatedHeaderError(HeaderError):
    """A header that must appear at most once appears several times."""

    def __init__(self, header: str, count: int):
        super().__init__(header, f"expected once, found {count} times")


class OverlongHeaderError(HeaderError):
    """A header, or all headers together, exceed their limit."""

    def __init__(self, header: str, limit: int, found: int):
        problem = f"expected at most {limit} bytes, found {found}"
        super().__init__(header, problem, base.Reason.TOO_LARGE)

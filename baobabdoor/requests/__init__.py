"""What a request asks for, what became of it, and whether to retry it."""

from baobabdoor.requests._classification import CHUNKED
from baobabdoor.requests._classification import RequestInfo
from baobabdoor.requests._classification import classify
from baobabdoor.requests._exchange import Exchange
from baobabdoor.requests._exchange import Progress
from baobabdoor.requests._header_errors import DuplicatedHeaderError
from baobabdoor.requests._header_errors import HeaderError
from baobabdoor.requests._header_errors import MalformedHeaderError
from baobabdoor.requests._header_errors import MissingHeaderError
from baobabdoor.requests._header_errors import OverlongHeaderError
from baobabdoor.requests._outcome import OUTCOME_HEADER
from baobabdoor.requests._outcome import Failure
from baobabdoor.requests._outcome import Outcome
from baobabdoor.requests._outcome import Reply
from baobabdoor.requests._retry_budget import RetryBudget

__all__ = [
    "CHUNKED",
    "OUTCOME_HEADER",
    "DuplicatedHeaderError",
    "Exchange",
    "Failure",
    "HeaderError",
    "MalformedHeaderError",
    "MissingHeaderError",
    "Outcome",
    "OverlongHeaderError",
    "Progress",
    "Reply",
    "RequestInfo",
    "RetryBudget",
    "classify",
]

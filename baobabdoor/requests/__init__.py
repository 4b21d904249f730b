"""Classification, outcome and retries of a request."""

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
from baobabdoor.requests._outcome import Response
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
    "RequestInfo",
    "Response",
    "RetryBudget",
    "classify",
]

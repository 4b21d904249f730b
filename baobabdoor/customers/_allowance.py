"""Counts the jobs of each customer against the rate that it may submit."""

import collections
import math

from baobabdoor.customers import _types

# Maximum number of submissions in memory over which a repeated submission is
# recognized. Callers return within seconds; 20 customers send some hundred jobs
# per second.
MAX_REMEMBERED_JOBS = 20_000


class SubmissionAllowance:
    """Jobs that each customer may submit within a sliding window.

    A customer has `weight` jobs per second of the window and `slack` jobs on
    top. Only jobs within the allowance are counted, so a customer that sends
    too much keeps its rate. A repeated submission keeps the result of the
    first one: a returning excess job takes no place from a new job, which has
    more of its time left.

    Args:
        window_s: Length of the window in seconds.
        slack: Jobs on top of the weight in a window.

    Example:
        >>> allowance = SubmissionAllowance(window_s=5.0, slack=1)
        >>> club = _types.Customer("club", weight=0.2)
        >>> [allowance.observe(club, job, 0.0) for job in ("a", "a", "b", "c")]
        [True, True, True, False]
    """

    def __init__(self, window_s: float, slack: int):
        self.window_s = window_s
        self.slack = slack
        # Times of the counted jobs of each customer, oldest first.
        self.counted_s_: dict[str, collections.deque[float]] = {}
        # Whether each recent job was within the allowance.
        self.results_: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def observe(
        self, customer: _types.Customer, job_id: str, now_s: float
    ) -> bool:
        """Counts a submission; returns whether it is within the allowance."""
        known = self.results_.get(job_id)
        if known is not None:
            return known
        counted_s = self._recent(customer.name, now_s)
        within = len(counted_s) < self.limit(customer)
        if within:
            counted_s.append(now_s)
        self.results_[job_id] = within
        if len(self.results_) > MAX_REMEMBERED_JOBS:
            self.results_.popitem(last=False)
        return within

    def limit(self, customer: _types.Customer) -> int:
        """Returns the jobs that a customer may submit in a window."""
        # The tolerance keeps products such as 0.1 * 3 * 10 from rounding down.
        return math.floor(customer.weight * self.window_s + self.slack + 1e-9)

    def _recent(self, name: str, now_s: float) -> collections.deque[float]:
        counted_s = self.counted_s_.setdefault(name, collections.deque())
        while counted_s and counted_s[0] <= now_s - self.window_s:
            counted_s.popleft()
        return counted_s

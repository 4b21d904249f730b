"""Limits retries to a part of the requests."""

from baobabdoor import base


class RetryBudget:
    """Allows retries up to a ratio of requests plus a small constant rate.

    Retries without a limit multiply the load on backend servers that fail
    because of load. The constant lets an entry with little traffic retry.

    Args:
        ratio: Retries earned by each request. Default: 0.1.
        min_per_s: Retries earned each second without requests. Default: 1.
        burst: Most retries that can be saved up. Default: 20.

    Example:
        >>> budget = RetryBudget(ratio=0.5, min_per_s=0, burst=1)
        >>> for _ in range(2): budget.observe()
        >>> budget.acquire(now_s=0.0), budget.acquire(now_s=0.0)
        (True, False)
    """

    PARAMETER_CONSTRAINTS = {
        "ratio": base.Interval(0, 1),
        "min_per_s": base.Interval(0),
        "burst": base.Interval(1),
    }

    def __init__(
        self, ratio: float = 0.1, min_per_s: float = 1.0, burst: float = 20.0
    ):
        self.ratio = ratio
        self.min_per_s = min_per_s
        self.burst = burst
        self.saved_ = 0.0
        self.refilled_s_: float | None = None

    def observe(self) -> None:
        """Notes one request, retries not counted."""
        self.saved_ = min(self.burst, self.saved_ + self.ratio)

    def acquire(self, now_s: float) -> bool:
        """Takes one retry out of the budget; returns whether it was there."""
        self._refill(now_s)
        # The tolerance absorbs rounding of ten additions of 0.1.
        if self.saved_ < 1.0 - 1e-9:
            return False
        self.saved_ = max(0.0, self.saved_ - 1.0)
        return True

    def _refill(self, now_s: float) -> None:
        if self.refilled_s_ is None:
            base.validate(self)
            self.refilled_s_ = now_s
        earned = (now_s - self.refilled_s_) * self.min_per_s
        self.saved_ = min(self.burst, self.saved_ + earned)
        self.refilled_s_ = now_s

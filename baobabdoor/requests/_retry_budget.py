"""Limits retries to a fraction of the requests."""

from baobabdoor import base


class RetryBudget:
    """Allows retries up to a ratio of requests plus a small constant rate.

    The budget is a token bucket, from which each retry takes one token.
    Unlimited retries multiply the load on backend servers that fail because of
    overload. The constant rate allows an entry with little traffic to retry.

    Args:
        ratio: Tokens added for each request. Default: 0.1.
        min_per_s: Tokens added per second, independent of requests. Default: 1.
        burst: Capacity of the token bucket. Default: 20.

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
        self.tokens_ = 0.0
        self.refilled_s_: float | None = None

    def observe(self) -> None:
        """Records one request; retries are not counted."""
        self.tokens_ = min(self.burst, self.tokens_ + self.ratio)

    def acquire(self, now_s: float) -> bool:
        """Takes one token; returns whether a retry is allowed."""
        self._refill(now_s)
        # The tolerance absorbs the rounding error of ten additions of 0.1.
        if self.tokens_ < 1.0 - 1e-9:
            return False
        self.tokens_ = max(0.0, self.tokens_ - 1.0)
        return True

    def _refill(self, now_s: float) -> None:
        if self.refilled_s_ is None:
            base.validate(self)
            self.refilled_s_ = now_s
        earned = (now_s - self.refilled_s_) * self.min_per_s
        self.tokens_ = min(self.burst, self.tokens_ + earned)
        self.refilled_s_ = now_s

"""Measures and forecasts the rate at which work arrives in a pool."""

import collections
import math

# Longest and shortest window over which the arrival rate is measured, in
# seconds, and the number of arrivals to which the window is shortened: a rate
# that is measured from so many has an error of about a third.
RATE_WINDOW_S = 1.0
MIN_RATE_WINDOW_S = 0.3
MIN_RATE_ARRIVALS = 12
# A rate grows if the number of arrivals in a window exceeds that of the window
# before by this multiple of the standard deviation of their difference.
GROWTH_SIGNIFICANCE = 2.0
# Limit of a forecast, as a multiple of the present rate.
MAX_GROWTH = 2.5
# Jobs over which the mean work of a job is taken: sizes scatter by their mean.
WORK_SAMPLES = 30


class ArrivalRate:
    """Arrivals of one pool in the last two windows.

    Example:
        >>> arrivals = ArrivalRate()
        >>> arrivals.observe(10.0, work=4.0)
        >>> arrivals.cores(10.5)
        4.0
    """

    def __init__(self):
        # Time, work in core-seconds and whether the job was accepted.
        self.arrivals_: collections.deque[tuple[float, float, bool]] = (
            collections.deque()
        )
        self.mean_work_ = 0.0
        self.work_samples_ = 0

    def observe(self, now_s: float, work: float, accepted: bool = True) -> None:
        """Records a job.

        Args:
            now_s: Time of the submission.
            work: Its work in core-seconds.
            accepted: Whether it was accepted.
        """
        self._expire(now_s)
        self.arrivals_.append((now_s, work, accepted))
        self.work_samples_ = min(WORK_SAMPLES, self.work_samples_ + 1)
        self.mean_work_ += (work - self.mean_work_) / self.work_samples_

    def cores(self, now_s: float) -> float:
        """Returns the rate of arriving work, in cores."""
        times = [at_s for at_s, _, _ in self._since(now_s - RATE_WINDOW_S)]
        span_s = RATE_WINDOW_S
        if len(times) > MIN_RATE_ARRIVALS:
            since_s = now_s - times[-MIN_RATE_ARRIVALS]
            span_s = max(MIN_RATE_WINDOW_S, since_s)
        recent = self._since(now_s - span_s)
        return sum(work for _, work, _ in recent) / span_s

    def window(self, now_s: float, window_s: float) -> tuple[int, float]:
        """Returns the number of recent arrivals and their rate in cores.

        The rate is that of jobs times the mean work of a job, which scatters
        less than the work that arrives.
        """
        count = len(self._since(now_s - window_s))
        return count, count * self.mean_work_ / window_s

    def rejected_cores(self, now_s: float) -> float:
        """Returns the rate of rejected work, in cores."""
        recent = self._since(now_s - RATE_WINDOW_S)
        rejected = sum(work for _, work, accepted in recent if not accepted)
        return rejected / RATE_WINDOW_S

    def forecast_cores(self, now_s: float, lead_s: float) -> float:
        """Returns the rate expected after a lead time, in cores.

        A rate that grows significantly is extrapolated linearly; otherwise
        the present rate is expected to stay.

        Args:
            now_s: Current time.
            lead_s: Time until the forecast in seconds.
        """
        rate = self.cores(now_s)
        recent = self._since(now_s - RATE_WINDOW_S)
        earlier = len(self._since(now_s - 2 * RATE_WINDOW_S)) - len(recent)
        growth = len(recent) - earlier
        deviation = math.sqrt(len(recent) + earlier)
        if growth <= GROWTH_SIGNIFICANCE * deviation:
            return rate
        factor = 1 + growth / len(recent) * lead_s / RATE_WINDOW_S
        return rate * min(MAX_GROWTH, factor)

    def _since(self, since_s: float) -> list[tuple[float, float, bool]]:
        return [arrival for arrival in self.arrivals_ if arrival[0] >= since_s]

    def _expire(self, now_s: float) -> None:
        while (
            self.arrivals_ and self.arrivals_[0][0] < now_s - 2 * RATE_WINDOW_S
        ):
            self.arrivals_.popleft()

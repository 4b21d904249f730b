"""Tracks by size which jobs of a queue are served."""

import bisect
import collections

# Shares of a queue's jobs below the larger size classes: the largest tenth and
# the fifth below it are the classes that callers compare.
CLASS_BOUNDS = (0.7, 0.9)
# Number of jobs from which the bounds are taken.
SAMPLE_SIZE = 200
# Number of jobs before any class can fall behind: the largest has two then.
MIN_SAMPLES = 20
# Share of a class's jobs that count in its rate, so that the rate follows a
# load of some hundred jobs within seconds.
GAIN = 0.05
# A class has fallen behind if its rate is below this multiple of the mean. The
# platform requires half.
BEHIND_FACTOR = 0.75


class SizeClasses:
    """Sizes of a queue's jobs and the share of each class that is accepted.

    Example:
        >>> sizes = SizeClasses()
        >>> for number in range(100):
        ...     sizes.observe_size(float(number))
        >>> [sizes.classify(work) for work in (10.0, 80.0, 95.0)]
        [0, 1, 2]
    """

    def __init__(self):
        self.recent_: collections.deque[float] = collections.deque()
        self.sorted_: list[float] = []
        self.sum_ = 0.0
        self.rates_ = [1.0] * (len(CLASS_BOUNDS) + 1)
        self.mean_rate_ = 1.0

    @property
    def mean_work(self) -> float:
        """Mean work of the recent jobs in core-seconds; 0 if there are none."""
        if not self.recent_:
            return 0.0
        # Rounding may leave a sum below zero.
        return max(0.0, self.sum_ / len(self.recent_))

    def observe_size(self, work: float) -> None:
        """Records the work of a job that is submitted for the first time."""
        self.recent_.append(work)
        bisect.insort(self.sorted_, work)
        self.sum_ += work
        if len(self.recent_) > SAMPLE_SIZE:
            oldest = self.recent_.popleft()
            del self.sorted_[bisect.bisect_left(self.sorted_, oldest)]
            self.sum_ -= oldest

    def classify(self, work: float) -> int:
        """Returns the size class of a job; 0 is the smallest."""
        share = bisect.bisect_left(self.sorted_, work) / max(
            1, len(self.sorted_)
        )
        return bisect.bisect_right(CLASS_BOUNDS, share)

    def observe_verdict(self, work: float, timely: bool) -> None:
        """Records whether a job is served in time."""
        size_class = self.classify(work)
        self.rates_[size_class] += GAIN * (timely - self.rates_[size_class])
        self.mean_rate_ += GAIN * (timely - self.mean_rate_)

    def behind(self, size_class: int) -> bool:
        """Returns whether a class is served less than the whole queue."""
        return (
            len(self.recent_) >= MIN_SAMPLES
            and self.rates_[size_class] < BEHIND_FACTOR * self.mean_rate_
        )

    def yields(self, work: float) -> bool:
        """Returns whether a job leaves a reserve to a larger class."""
        size_class = self.classify(work)
        return not self.behind(size_class) and any(
            map(self.behind, range(size_class + 1, len(self.rates_)))
        )

"""Timer service interface and its implementation in virtual time."""

import abc
from collections.abc import Callable
import heapq
import itertools

Callback = Callable[[], None]


class Subscription:
    """Handle of a scheduled one-shot or periodic callback.

    Attributes:
        cancelled: Whether `cancel` was called.
    """

    def __init__(self, callback: Callback):
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Prevents further calls."""
        self.cancelled = True


class TimerService(abc.ABC):
    """Provides clocks and schedules callbacks."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns monotonic time in seconds."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns wall-clock time in milliseconds, for timestamps and logs."""

    @abc.abstractmethod
    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls `callback` once after `delay_s` seconds."""

    def every(self, period_s: float, callback: Callback) -> Subscription:
        """Calls `callback` every `period_s` seconds until cancelled.

        The next call is scheduled before the callback runs, so that an
        exception in one call does not end the periodic timer.
        """
        subscription = Subscription(callback)

        def tick() -> None:
            if subscription.cancelled:
                return
            self.call_later(period_s, tick)
            callback()

        self.call_later(period_s, tick)
        return subscription


class VirtualTimerService(TimerService):
    """Runs timers in virtual time for tests and measurements.

    Args:
        start_s: Initial monotonic time in seconds. Default: 0.
        wall_offset_ms: Added to monotonic time to give the wall clock, in
            milliseconds. Default: 1,700,000,000,000.

    Example:
        >>> timers = VirtualTimerService()
        >>> calls = []
        >>> _ = timers.call_later(2.0, lambda: calls.append(timers.now_s()))
        >>> timers.advance(3.0)
        >>> calls
        [2.0]
    """

    def __init__(
        self, start_s: float = 0.0, wall_offset_ms: int = 1_700_000_000_000
    ):
        self.start_s = start_s
        self.wall_offset_ms = wall_offset_ms
        self.now_s_ = start_s
        self.queue_: list[tuple[float, int, Subscription]] = []
        self.sequence_ = itertools.count()

    def now_s(self) -> float:
        """Returns virtual monotonic time in seconds."""
        return self.now_s_

    def wall_ms(self) -> int:
        """Returns the virtual wall clock in milliseconds."""
        return self.wall_offset_ms + int(self.now_s_ * 1000)

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls `callback` once `advance` has passed `delay_s` seconds."""
        subscription = Subscription(callback)
        due_s = self.now_s_ + max(0.0, delay_s)
        entry = (due_s, next(self.sequence_), subscription)
        heapq.heappush(self.queue_, entry)
        return subscription

    def advance(self, duration_s: float) -> None:
        """Advances virtual time and runs timers in order of due time."""
        end_s = self.now_s_ + duration_s
        while self.queue_ and self.queue_[0][0] <= end_s:
            due_s, _, subscription = heapq.heappop(self.queue_)
            self.now_s_ = max(self.now_s_, due_s)
            if not subscription.cancelled:
                subscription.callback()
        self.now_s_ = end_s

"""Bound on the lease of a worker, whoever has extended it."""

import math

# Bound of the drift of a worker's clock: up to 2% slow according to the
# platform's documentation, rounded up.
CLOCK_DRIFT_FACTOR = 1.025
# Margin of a time that is computed from another process's clock, in seconds.
CLOCK_SLACK_S = 0.1
# Maximum time for which an order with an expiry is under way: the timeout of a
# hold with its wait, and that of a start with the wait for its turn.
ORDER_LIFETIME_S = 2.5


class Lease:
    """Latest end of the lease that an incarnation of a worker may have.

    Orders of this term extend it by a known time on the incarnation's clock.
    Those of earlier terms and those that were computed on the clock of an
    earlier incarnation may have extended it up to the longest lease that a
    worker accepts, at any time before its fencing token excludes them.

    Args:
        max_lease_s: Longest lease that a worker accepts.

    Attributes:
        clock_ms: The incarnation's clock in a report; 0 before the first one.
        clock_at_s: Time of that report.
        extended_s: When an order of this term last extended that of any
            incarnation.
        own_end_s: Time at which the lease has ended as far as orders of this
            term have extended it; negative infinity if none has.
        foreign_end_s: The same for all other orders.
    """

    def __init__(self, max_lease_s: float):
        self.max_lease_s = max_lease_s
        self.clock_ms = 0
        self.clock_at_s = 0.0
        self.extended_s = -math.inf
        self.own_end_s = -math.inf
        self.foreign_end_s = -math.inf

    @property
    def end_s(self) -> float:
        """Time at which the lease has certainly ended."""
        return max(self.own_end_s, self.foreign_end_s)

    @property
    def next_end_s(self) -> float:
        """Time at which that of an unnoticed next incarnation has ended.

        Orders that were under way at the restart may have extended it.
        """
        return self._longest_end_s(self.extended_s + ORDER_LIFETIME_S)

    def observe_clock(self, clock_ms: int, now_s: float) -> None:
        """Records the worker's clock from a report.

        Responses to orders are not used: they do not identify the incarnation
        and may come from the previous one.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at_s = now_s

    def min_clock_ms(self, now_s: float) -> int:
        """Returns the earliest time that the incarnation's clock may show."""
        passed_s = (now_s - self.clock_at_s) / CLOCK_DRIFT_FACTOR
        return self.clock_ms and self.clock_ms + int(passed_s * 1000)

    def extend(self, now_s: float, lease_s: float) -> int:
        """Returns the expiry of an extension on the worker's clock, in ms."""
        until_ms = self.clock_ms + (now_s - self.clock_at_s + lease_s) * 1000
        end_s = (
            self.clock_at_s
            + (until_ms - self.clock_ms) / 1000 * CLOCK_DRIFT_FACTOR
            + CLOCK_SLACK_S
        )
        self.own_end_s = max(self.own_end_s, end_s)
        self.extended_s = now_s
        return int(until_ms)

    def include_other_orders(self, now_s: float) -> None:
        """Records that other orders may have extended it until now."""
        end_s = self._longest_end_s(now_s)
        self.foreign_end_s = max(self.foreign_end_s, end_s)

    def exclude_other_orders(self, now_s: float) -> None:
        """Records that from now on only orders of this term extend it."""
        self.foreign_end_s = self._longest_end_s(now_s)

    def begin_incarnation(self, now_s: float) -> None:
        """Records that a new incarnation, with a new clock, has reported.

        Orders to the one before may still extend its lease.
        """
        self.foreign_end_s = self.next_end_s
        self.include_other_orders(now_s)
        self.clock_ms = 0
        self.own_end_s = -math.inf

    def has_ended(self, now_s: float) -> bool:
        """Returns whether the lease has certainly ended."""
        return now_s > self.end_s

    def _longest_end_s(self, applied_s: float) -> float:
        """Returns the latest end of a lease that was extended until a time."""
        return applied_s + self.max_lease_s * CLOCK_DRIFT_FACTOR + CLOCK_SLACK_S

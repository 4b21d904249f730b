"""Sheds submissions while the leader decides later than they arrive."""

import collections

import attrs

from baobabdoor.overload import _verdict

# Delay of passes that may stand: what verdicts assume of decisions.
TARGET_DELAY_S = _verdict.OVERHEAD_S
# The same from which jobs are rejected that cannot be in time: they cost the
# leader as much as others and are worth little to their callers.
LATE_TARGET_S = 0.1
# Time for which the delay must stand above the target. A burst that is worked
# off within it causes no rejection.
WINDOW_S = 0.25
# Passes whose least delay counts, however long ago they were.
MIN_DELAYS = 2
# Change of the shed share for each window: for each multiple of the target by
# which the delay exceeds it, at most, and below the target.
INCREASE = 0.1
MAX_INCREASE = 0.5
DECREASE = 0.1
MAX_SHARE = 0.95
# How often a submission waits for the event loop before its first run starts:
# to be read, stored, planned and ordered.
TRIPS = 4
# Times after which shed callers return, in seconds, in turn, so that they do
# not come back together.
RETRY_AFTER_S = (1, 2)


@attrs.define
class LoadShedder:
    """Measures the delay of decisions and sheds what cannot be decided.

    Answers a leader that is short of processor time: requests that wait for
    its event loop are all answered late, also those that it then accepts. It
    follows CoDel (Nichols and Jacobson, 2012): only a delay that stands counts.

    Submissions of jobs that were rejected before are shed first, since these
    jobs have lost most of their time; then first ones of all queues alike.

    Attributes:
        share: Share of the submissions that is shed.

    Example:
        >>> shedder = LoadShedder()
        >>> shedder.observe(0.01, 5.0)
        >>> shedder.sheds(repeated=False)
        False
    """

    share: float = 0.0
    delays_: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    adjusted_s_: float = 0.0
    debts_: dict[bool, float] = attrs.field(
        factory=lambda: {False: 0.0, True: 0.0}
    )
    returns_: int = 0

    def observe(self, delay_s: float, now_s: float) -> None:
        """Records by how much a planning pass is late.

        Args:
            delay_s: Time from the request for it to its end, in seconds.
            now_s: Current time.
        """
        delays = self.delays_
        if not delays:
            self.adjusted_s_ = now_s
        delays.append((now_s, max(0.0, delay_s)))
        # One pass alone may have been late for another reason, such as a pause
        # of the whole process.
        while len(delays) > MIN_DELAYS and delays[0][0] < now_s - WINDOW_S:
            delays.popleft()
        if now_s - self.adjusted_s_ < WINDOW_S or len(delays) < MIN_DELAYS:
            return
        self.adjusted_s_ = now_s
        standing = self.delay_s(now_s) / TARGET_DELAY_S
        if standing > 1:
            increase = min(MAX_INCREASE, INCREASE * standing)
            self.share = min(MAX_SHARE, self.share + increase)
        else:
            self.share = max(0.0, self.share - DECREASE)

    def delay_s(self, now_s: float) -> float:
        """Returns the delay of passes that stands, in seconds."""
        delays = self.delays_
        if len(delays) < MIN_DELAYS or delays[-1][0] < now_s - WINDOW_S:
            return 0.0
        return min(delay for _, delay in delays)

    def start_delay_s(self, now_s: float) -> float:
        """Returns the time from a submission to a start that is due to it."""
        return TRIPS * self.delay_s(now_s)

    def sheds_late(self, now_s: float) -> bool:
        """Returns whether to reject jobs that cannot be in time."""
        return self.delay_s(now_s) > LATE_TARGET_S

    def sheds(self, repeated: bool) -> bool:
        """Returns whether to reject a submission without a further look.

        Args:
            repeated: Whether the job was rejected before.
        """
        # All repeated ones are shed before any other.
        share = 2 * self.share - (0.0 if repeated else 1.0)
        self.debts_[repeated] += min(MAX_SHARE, max(0.0, share))
        if self.debts_[repeated] < 1:
            return False
        self.debts_[repeated] -= 1
        return True

    def retry_after_s(self) -> int:
        """Returns the time after which a shed caller may return, in seconds."""
        self.returns_ += 1
        return RETRY_AFTER_S[self.returns_ % len(RETRY_AFTER_S)]

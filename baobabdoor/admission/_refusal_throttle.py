"""Throttling of callers that repeat refused requests."""

# Refusals per second that a caller gets without delay.
FREE_REFUSALS_PER_S = 20.0
# Longest delay of a response. It limits a caller that retries immediately on
# 200 connections to 200 refusals per second, which take 4% of a core.
MAX_DELAY_S = 1.0


class RefusalThrottle:
    """Counts the refusals of one caller or of one lane of callers.

    Without the delay, a caller that immediately repeats refused requests on
    many connections could use up the entry's processor time with refusals.
    """

    def __init__(self):
        self.count_ = 0.0
        self.counted_s_ = 0.0

    def delay_s(self, now_s: float) -> float:
        """Counts one refusal and returns how long to delay its response."""
        elapsed_s = max(0.0, now_s - self.counted_s_)
        self.counted_s_ = now_s
        remaining = self.count_ - elapsed_s * FREE_REFUSALS_PER_S
        # Bounded, so that the throttling ends a second after the flood.
        limit = FREE_REFUSALS_PER_S * (1.0 + MAX_DELAY_S)
        self.count_ = min(limit, max(0.0, remaining) + 1.0)
        excess = self.count_ - FREE_REFUSALS_PER_S
        return max(0.0, excess / FREE_REFUSALS_PER_S)

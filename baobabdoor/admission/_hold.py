"""How long the answer of a refusal is held back."""

# Refusals a second that a caller gets at once; faster ones are held back.
FREE_REFUSALS_PER_S = 20.0
# Longest time that an answer is held. A caller with 200 connections that
# repeats at once is held to 200 refusals a second, 4% of a core.
MAX_HOLD_S = 1.0


class RefusalHold:
    """Counts the refusals of one caller, or of one lane of callers.

    A caller that repeats a refused request at once, on many connections, would
    otherwise take the entry's whole processor time with refusals.
    """

    def __init__(self):
        self.count_ = 0.0
        self.counted_s_ = 0.0

    def delay_s(self, now_s: float) -> float:
        """Counts one refusal and returns how long to hold its answer."""
        elapsed_s = max(0.0, now_s - self.counted_s_)
        self.counted_s_ = now_s
        left = self.count_ - elapsed_s * FREE_REFUSALS_PER_S
        # Held down, so that the hold ends a second after the flood.
        limit = FREE_REFUSALS_PER_S * (1.0 + MAX_HOLD_S)
        self.count_ = min(limit, max(0.0, left) + 1.0)
        excess = self.count_ - FREE_REFUSALS_PER_S
        return max(0.0, excess / FREE_REFUSALS_PER_S)

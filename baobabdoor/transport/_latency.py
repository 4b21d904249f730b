"""Limits of calls that follow how long answers take."""

# Usual weight of the newest answer in the mean.
WEIGHT = 0.05
# An answer that takes so many times the mean is taken to be lost.
FACTOR = 6.0


class Latency:
    """Mean time of answers.

    On a full link all answers are late; a limit that is right for an idle one
    would give all of them up and ask again, which fills the link further.

    Args:
        weight: Weight of the newest answer in the mean. Default: 0.05.
        mean_s: Mean that is assumed before the first answer. Default: 0.

    Example:
        >>> latency = Latency()
        >>> latency.limit_s(0.5, 2.0)
        0.5
    """

    def __init__(self, weight: float = WEIGHT, mean_s: float = 0.0):
        self.weight = weight
        self.mean_s = mean_s

    def observe(self, took_s: float) -> None:
        """Takes in the time of an answer, in seconds."""
        self.mean_s += self.weight * (took_s - self.mean_s)

    def limit_s(self, shortest_s: float, longest_s: float) -> float:
        """Returns the limit of the next call, in seconds."""
        return min(longest_s, max(shortest_s, FACTOR * self.mean_s))

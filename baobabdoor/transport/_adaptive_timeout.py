"""Timeouts that adapt to the observed latency."""

# Default smoothing factor of the moving average of latency.
SMOOTHING = 0.05
# A call that takes this multiple of the mean latency is considered lost.
TIMEOUT_FACTOR = 6.0


class AdaptiveTimeout:
    """Timeout derived from a moving average of latency.

    On a saturated link all answers are late. A timeout suited to an idle link
    would abandon and repeat all calls, which loads the link further.

    Args:
        smoothing: Weight of the newest sample in the mean. Default: 0.05.
        mean_s: Initial mean in seconds. Default: 0.

    Example:
        >>> adaptive_timeout = AdaptiveTimeout()
        >>> adaptive_timeout.timeout_s(0.5, 2.0)
        0.5
    """

    def __init__(self, smoothing: float = SMOOTHING, mean_s: float = 0.0):
        self.smoothing = smoothing
        self.mean_s = mean_s

    def observe(self, took_s: float) -> None:
        """Adds a latency sample in seconds."""
        self.mean_s += self.smoothing * (took_s - self.mean_s)

    def timeout_s(self, min_s: float, max_s: float) -> float:
        """Returns the timeout of the next call in seconds."""
        return min(max_s, max(min_s, TIMEOUT_FACTOR * self.mean_s))

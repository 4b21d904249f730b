"""Prediction of task durations from past runs."""

import math

from baobabdoor.scheduling import _types

# Weight of a caller's estimate against the measured mean of its queue.
# Estimates scatter about twice as much as durations do.
ESTIMATE_WEIGHT = 0.25
# Smoothing factor of the exponentially weighted means.
GAIN = 0.05
# Standard deviation of the logarithms of durations where too few are known: the
# estimate is then wrong by a factor of two or more for a third of the tasks.
DEFAULT_SPREAD = 0.7
# Measurements of a queue before its mean is used; until then the caller's
# estimate is.
MIN_SAMPLES = 5


class DurationModel:
    """Predicts the duration of tasks, by queue.

    Keeps exponentially weighted means of the logarithms of durations and of
    estimates, and the variance of the former. A prediction is the weighted
    geometric mean of the queue's mean duration and the caller's estimate,
    corrected by the queue's mean error.

    Example:
        >>> model = DurationModel()
        >>> model.predict_s("q", _types.StepSpec(1, estimate_ms=2000))
        2.0
    """

    def __init__(self):
        self.queues_: dict[str, list[float]] = {}

    def observe(
        self, queue: str, spec: _types.StepSpec, duration_s: float
    ) -> None:
        """Records the duration of a run that completed."""
        actual = math.log(max(duration_s, 0.01))
        estimate = math.log(max(spec.estimate_ms, 10) / 1000)
        entry = self.queues_.setdefault(queue, [0.0, actual, estimate, 0.0])
        entry[0] += 1
        gain = max(GAIN, 1 / entry[0])
        difference = actual - entry[1]
        entry[3] = (1 - gain) * (entry[3] + gain * difference**2)
        entry[1] += gain * difference
        entry[2] += gain * (estimate - entry[2])

    def predict_s(self, queue: str, spec: _types.StepSpec) -> float:
        """Returns the expected duration of a task in seconds."""
        estimate = math.log(max(spec.estimate_ms, 10) / 1000)
        entry = self.queues_.get(queue)
        if entry is None or entry[0] < MIN_SAMPLES:
            return math.exp(estimate)
        corrected = entry[1] + (estimate - entry[2])
        mixed = (1 - ESTIMATE_WEIGHT) * entry[1] + ESTIMATE_WEIGHT * corrected
        return math.exp(mixed)

    def spread(self, queue: str) -> float:
        """Returns the standard deviation of the logarithms of durations."""
        entry = self.queues_.get(queue)
        if entry is None or entry[0] < MIN_SAMPLES:
            return DEFAULT_SPREAD
        return math.sqrt(entry[3])

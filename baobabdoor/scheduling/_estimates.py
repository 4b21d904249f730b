"""Learned durations of tasks."""

import math

from baobabdoor.scheduling import _types

# Weight of a caller's estimate against what was measured of its queue:
# estimates scatter about twice as much as durations do.
ESTIMATE_WEIGHT = 0.25
# Weight of a new measurement.
GAIN = 0.05
# Measurements before the learned mean is used alone.
MIN_SAMPLES = 5


class DurationModel:
    """Predicts how long a task takes, by queue.

    Mean of the logarithms of durations and of estimates, each exponentially
    weighted; a prediction mixes the queue's mean with the corrected estimate.

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
        """Notes the duration of a run that ended as done."""
        actual = math.log(max(duration_s, 0.01))
        estimate = math.log(max(spec.estimate_ms, 10) / 1000)
        entry = self.queues_.setdefault(queue, [0.0, actual, estimate])
        entry[0] += 1
        gain = max(GAIN, 1 / entry[0])
        entry[1] += gain * (actual - entry[1])
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

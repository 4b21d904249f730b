"""Rates workers by the failures and the lateness of their runs.

The health that a worker reports may be wrong, so only ended runs count.
"""

import attrs

# Time after which an observation has lost half of its weight, in seconds.
HALF_LIFE_S = 8.0
# Multiple of the learned duration from which a run is late, and the further
# multiple at which it counts like a failure. A few tasks of any step take many
# times its mean.
LATE_FACTOR = 1.5
LATE_RANGE = 1.5
# Runs of a sound worker that are assumed before any was observed.
PRIOR_RUNS = 2.0
# Number of levels between a sound worker and one that fails every run. Workers
# of a level are equal, so that small differences do not spread the load.
LEVELS = 4


@attrs.define
class WorkerScore:
    """Weighted observations of the runs of a worker.

    Attributes:
        runs: Number of ended runs.
        faults: Number of failures; a late run counts as up to one.
        observed_s: Time as of which both are weighted.
        level: Level for the current planning pass; 0 for a sound worker.
    """

    runs: float = 0.0
    faults: float = 0.0
    observed_s: float = 0.0
    level: int = 0

    def observe_failure(self, now_s: float) -> None:
        """Records a failed run."""
        self._observe(1.0, now_s)

    def observe_success(
        self, duration_s: float, expected_s: float, now_s: float
    ) -> None:
        """Records a completed run with its learned duration."""
        ratio = duration_s / max(expected_s, 0.1)
        lateness = (ratio - LATE_FACTOR) / LATE_RANGE
        self._observe(min(1.0, max(0.0, lateness)), now_s)

    def _observe(self, fault: float, now_s: float) -> None:
        weight = self._weight(now_s)
        self.runs = self.runs * weight + 1.0
        self.faults = self.faults * weight + fault
        self.observed_s = now_s

    def update_level(self, now_s: float) -> None:
        """Determines the level for a planning pass."""
        if not self.faults:
            self.level = 0
            return
        weight = self._weight(now_s)
        share = self.faults * weight / (self.runs * weight + PRIOR_RUNS)
        self.level = round(LEVELS * share)

    def _weight(self, now_s: float) -> float:
        return 0.5 ** (max(0.0, now_s - self.observed_s) / HALF_LIFE_S)

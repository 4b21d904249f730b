"""Estimates the resources that jobs need from their measured usage."""

import collections

import attrs

from baobabdoor.jobs import _types

# Weight of a measurement below the estimate: usage grows during a run, so the
# estimate decreases slowly. A larger measurement replaces the estimate at once,
# since too low an estimate overloads a worker.
SMOOTHING_FACTOR = 0.1
# Margin of memory estimates: tasks end when their worker runs out of memory.
MEMORY_MARGIN = 1.15
# Maximum number of kinds kept; the least recently observed are evicted.
MAX_KINDS = 4096


@attrs.frozen
class Resources:
    """Resources of a job or a worker.

    Attributes:
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
    """

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Returns whether these resources fit into `available`."""
        tolerance = 1e-9
        return (
            self.cores <= available.cores + tolerance
            and self.memory_gb <= available.memory_gb + tolerance
            and self.accelerators <= available.accelerators + tolerance
        )

    def dominant_share(self, total: "Resources") -> float:
        """Returns the largest share of any resource of `total`."""
        shares = [
            used / whole
            for used, whole in (
                (self.cores, total.cores),
                (self.memory_gb, total.memory_gb),
                (self.accelerators, total.accelerators),
            )
            if whole > 0
        ]
        return max(shares, default=0.0)


def declared_resources(spec: _types.JobSpec) -> Resources:
    """Returns the resources that the submitter declared."""
    return Resources(spec.cores, spec.memory_gb, spec.accelerators)


class ResourceEstimator:
    """Estimates resources by team and kind of job.

    Accelerators are not shared, so their declared number is exact.
    """

    def __init__(self):
        self.estimates_: collections.OrderedDict[tuple[str, str], Resources] = (
            collections.OrderedDict()
        )

    def observe(self, spec: _types.JobSpec, used: Resources) -> None:
        """Updates the estimate with the measured usage of a running job."""
        kind = (spec.team, spec.kind)
        estimate = self.estimates_.get(kind)
        self.estimates_[kind] = _combine(estimate, used) if estimate else used
        self.estimates_.move_to_end(kind)
        if len(self.estimates_) > MAX_KINDS:
            self.estimates_.popitem(last=False)

    def estimate(self, spec: _types.JobSpec) -> Resources:
        """Returns the expected resources of a job."""
        estimate = self.estimates_.get((spec.team, spec.kind))
        if estimate is None:
            return declared_resources(spec)
        return Resources(
            estimate.cores,
            estimate.memory_gb * MEMORY_MARGIN,
            spec.accelerators,
        )


def _combine(estimate: Resources, used: Resources) -> Resources:
    return Resources(
        _smooth(estimate.cores, used.cores),
        _smooth(estimate.memory_gb, used.memory_gb),
        used.accelerators,
    )


def _smooth(estimate: float, used: float) -> float:
    if used >= estimate:
        return used
    return estimate + SMOOTHING_FACTOR * (used - estimate)

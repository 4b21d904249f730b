"""Learns the real sizes of jobs from lagging usage."""

import collections

import attrs

from baobabdoor.jobs import _types

# A new, larger measurement is taken over at once, since too small an estimate
# overloads a worker; a smaller one only slowly, since usage grows during a run.
DECAY = 0.1
# Memory that runs out ends tasks, so its estimate keeps a margin.
MEMORY_MARGIN = 1.15
# Bound on the kinds kept; the oldest are dropped.
MAX_KINDS = 4096


@attrs.frozen
class Size:
    """Resources of a job or a worker.

    Attributes:
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
    """

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def __add__(self, other: "Size") -> "Size":
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Size") -> "Size":
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Size") -> bool:
        """Returns whether this size fits into `room`."""
        tolerance = 1e-9
        return (
            self.cores <= room.cores + tolerance
            and self.memory_gb <= room.memory_gb + tolerance
            and self.accelerators <= room.accelerators + tolerance
        )

    def share_of(self, total: "Size") -> float:
        """Returns the largest share that this size takes of `total`."""
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


def declared_size(spec: _types.JobSpec) -> Size:
    """Returns the size that the submitter declared."""
    return Size(spec.cores, spec.memory_gb, spec.accelerators)


class SizeEstimator:
    """Estimates sizes by team and kind.

    Accelerators are granted whole and are taken as declared.
    """

    def __init__(self):
        self.sizes_: collections.OrderedDict[tuple[str, str], Size] = (
            collections.OrderedDict()
        )

    def observe(self, spec: _types.JobSpec, used: Size) -> None:
        """Takes in the measured use of a running job."""
        kind = (spec.team, spec.kind)
        known = self.sizes_.get(kind)
        self.sizes_[kind] = _blend(known, used) if known else used
        self.sizes_.move_to_end(kind)
        if len(self.sizes_) > MAX_KINDS:
            self.sizes_.popitem(last=False)

    def estimate(self, spec: _types.JobSpec) -> Size:
        """Returns the expected size of a job."""
        known = self.sizes_.get((spec.team, spec.kind))
        if known is None:
            return declared_size(spec)
        return Size(
            known.cores, known.memory_gb * MEMORY_MARGIN, spec.accelerators
        )


def _blend(known: Size, used: Size) -> Size:
    return Size(
        _follow(known.cores, used.cores),
        _follow(known.memory_gb, used.memory_gb),
        used.accelerators,
    )


def _follow(known: float, used: float) -> float:
    if used >= known:
        return used
    return known + DECAY * (used - known)

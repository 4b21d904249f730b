"""Generated demand of pools, of which one after the other peaks."""

import random

import attrs

from baobabdoor import capacity
from baobabdoor import settings

# Ratios of the demand during and between peaks to the mean demand.
PEAK_TO_MEAN = 5.0
IDLE_TO_MEAN = 0.05
# Fraction of time at the peak that yields the mean demand.
PEAK_DUTY_CYCLE = (1 - IDLE_TO_MEAN) / (PEAK_TO_MEAN - IDLE_TO_MEAN)


@attrs.frozen
class DemandRanges:
    """Ranges of the random parameters of demand, each sampled uniformly.

    Attributes:
        peak_s: Length of a peak in seconds, sampled once for each run.
        level: Peak demand as a multiple of the pool's own workers, sampled once
            for each pool; above 1, so that a peak exceeds the pool's capacity.
        level_error: Largest relative deviation of a peak from its pool's level.
        length_error: Largest relative deviation of the length of a peak.
        interval_error: Largest relative deviation of the time between the
            starts of two peaks.
        noise: Standard deviation of the demand that the entries report in a
            second, relative to the demand, which is constant during a peak.
    """

    peak_s: tuple[float, float] = (20.0, 40.0)
    level: tuple[float, float] = (1.25, 1.5)
    level_error: float = 0.05
    length_error: float = 0.1
    interval_error: float = 0.05
    noise: float = 0.03


@attrs.frozen
class Demand:
    """Demand on each application pool in every second.

    Attributes:
        workers: Demand by pool, in workers.
        reported: Demand by pool as the entries report it, in slots.
        starts_s: Start of every peak with its pool, in order.
        shortest_peak_s: Lower bound of the length of a peak.
    """

    workers: dict[str, list[float]]
    reported: dict[str, list[int]]
    starts_s: list[tuple[float, str]]
    shortest_peak_s: float

    def reported_demand(
        self, pool: str, second: int, capacity_slots: int
    ) -> capacity.PoolDemand:
        """Returns the demand on a pool that the entries report."""
        slots = self.reported[pool][second]
        in_progress = min(slots, capacity_slots)
        return capacity.PoolDemand(in_progress, slots - in_progress)


def generate(
    deployment: settings.Deployment,
    cycles: int,
    seed: int,
    ranges: DemandRanges | None = None,
) -> Demand:
    """Returns demand in which each pool peaks once in every cycle.

    Args:
        deployment: Deployment with the pools and their sizes.
        cycles: Number of cycles.
        seed: Seed of the random generator.
        ranges: Ranges of the random parameters. Default: `DemandRanges()`.
    """
    ranges = ranges or DemandRanges()
    rng = random.Random(f"demand {deployment.deployment} {seed}")
    pools = [name for name in deployment.pools if name != deployment.spare_pool]
    rng.shuffle(pools)
    peak_s = rng.uniform(*ranges.peak_s)
    interval_s = peak_s / PEAK_DUTY_CYCLE / len(pools)
    levels = {
        name: rng.uniform(*ranges.level) * deployment.pools[name].workers
        for name in pools
    }
    seconds = int(
        cycles * len(pools) * interval_s * (1 + ranges.interval_error)
    )
    workers = {
        name: [levels[name] / PEAK_TO_MEAN * IDLE_TO_MEAN] * seconds
        for name in pools
    }
    starts_s = []
    start_s = interval_s / 2
    for index in range(cycles * len(pools)):
        name = pools[index % len(pools)]
        length_s = peak_s * _sample_around_one(rng, ranges.length_error)
        level = levels[name] * _sample_around_one(rng, ranges.level_error)
        starts_s.append((start_s, name))
        for second in range(int(start_s), int(start_s + length_s)):
            if second < seconds:
                workers[name][second] = level
        start_s += interval_s * _sample_around_one(rng, ranges.interval_error)
    reported = {
        name: [
            max(
                0,
                round(value * slots_per_worker * rng.gauss(1.0, ranges.noise)),
            )
            for value in values
        ]
        for name, values in workers.items()
        for slots_per_worker in [deployment.pools[name].slots]
    }
    return Demand(
        workers, reported, starts_s, peak_s * (1 - ranges.length_error)
    )


def _sample_around_one(rng: random.Random, error: float) -> float:
    return rng.uniform(1 - error, 1 + error)

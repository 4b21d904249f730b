"""Generated demand: queues that peak in turn."""

import random

import attrs

from baobabdoor import capacity
from baobabdoor import settings

# A peak is five times the mean and the demand between peaks a twentieth of it.
PEAK_TO_MEAN = 5.0
IDLE_TO_MEAN = 0.05
# Part of the time that a pool peaks so that its mean comes out.
PEAK_PART = (1 - IDLE_TO_MEAN) / (PEAK_TO_MEAN - IDLE_TO_MEAN)


@attrs.frozen
class Shape:
    """How demand varies; each value is drawn uniformly.

    Attributes:
        peak_s: Length of a peak, drawn once a run.
        level: Peak demand as a multiple of the pool's own workers, drawn once
            for each pool; above 1, so that a peak exceeds its pool.
        level_error: Largest deviation of one peak from its pool's level.
        length_error: The same of its length.
        lag_error: The same of the time between two starts.
        noise: Standard deviation of what the entries report in a second, as
            a part of the demand; the demand itself is constant in a peak.
    """

    peak_s: tuple[float, float] = (20.0, 40.0)
    level: tuple[float, float] = (1.25, 1.5)
    level_error: float = 0.05
    length_error: float = 0.1
    lag_error: float = 0.05
    noise: float = 0.03


@attrs.frozen
class Demand:
    """Demand of each application pool for every second.

    Attributes:
        workers: Demand by pool, in workers.
        reported: Demand as the entries see it, in slots.
        starts_s: Start of every peak with its pool, in order.
        shortest_peak_s: Least length of a peak.
    """

    workers: dict[str, list[float]]
    reported: dict[str, list[int]]
    starts_s: list[tuple[float, str]]
    shortest_peak_s: float

    def of(
        self, pool: str, second: int, capacity_slots: int
    ) -> capacity.PoolDemand:
        """Returns the demand on a pool as the entries report it."""
        slots = self.reported[pool][second]
        in_progress = min(slots, capacity_slots)
        return capacity.PoolDemand(in_progress, slots - in_progress)


def generate(
    deployment: settings.Deployment,
    cycles: int,
    seed: int,
    shape: Shape | None = None,
) -> Demand:
    """Returns demand in which every pool peaks once a cycle, in turn.

    Args:
        deployment: Whose pools and sizes.
        cycles: Number of cycles.
        seed: Seed of all that is drawn.
        shape: How demand varies. Default: `Shape()`.
    """
    shape = shape or Shape()
    rng = random.Random(f"demand {deployment.deployment} {seed}")
    pools = [name for name in deployment.pools if name != deployment.spare_pool]
    rng.shuffle(pools)
    peak_s = rng.uniform(*shape.peak_s)
    lag_s = peak_s / PEAK_PART / len(pools)
    levels = {
        name: rng.uniform(*shape.level) * deployment.pools[name].workers
        for name in pools
    }
    seconds = int(cycles * len(pools) * lag_s * (1 + shape.lag_error))
    workers = {
        name: [levels[name] / PEAK_TO_MEAN * IDLE_TO_MEAN] * seconds
        for name in pools
    }
    starts_s = []
    start_s = lag_s / 2
    for turn in range(cycles * len(pools)):
        name = pools[turn % len(pools)]
        length_s = peak_s * _around(rng, shape.length_error)
        level = levels[name] * _around(rng, shape.level_error)
        starts_s.append((start_s, name))
        for second in range(int(start_s), int(start_s + length_s)):
            if second < seconds:
                workers[name][second] = level
        start_s += lag_s * _around(rng, shape.lag_error)
    reported = {
        name: [
            max(0, round(value * size * rng.gauss(1.0, shape.noise)))
            for value in values
        ]
        for name, values in workers.items()
        for size in [deployment.pools[name].slots]
    }
    return Demand(
        workers, reported, starts_s, peak_s * (1 - shape.length_error)
    )


def _around(rng: random.Random, error: float) -> float:
    return rng.uniform(1 - error, 1 + error)

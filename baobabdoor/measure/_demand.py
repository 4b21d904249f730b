"""Generated requests, shared by the suites `flood` and `slots`."""

from collections.abc import Mapping
import random

import attrs

from baobabdoor import settings

# Service times are exponential with this mean, truncated so that a single
# request cannot dominate the result of a run.
MEAN_SERVICE_S = 0.25
MAX_SERVICE_S = 2.0
DEFAULT_CALLER = "default"


@attrs.frozen
class Arrival:
    """One request as a caller sends it.

    Attributes:
        number: Identifier, unique in the run.
        arrival_s: Arrival time in seconds.
        entry: Number of the entry to which the load balancer sends it.
        pool: Requested pool.
        caller: Name of the caller.
        urgency: RFC 9218 urgency.
        patience_s: Time from arrival to the deadline.
        service_s: Time for which it holds a slot.
        flood: Whether it is part of a flood.
        retries: How often the caller retries it after a refusal.
    """

    number: int
    arrival_s: float
    entry: int
    pool: str
    caller: str
    urgency: int
    patience_s: float
    service_s: float
    flood: bool = False
    retries: int = 0


@attrs.frozen
class TrafficClass:
    """Requests of one caller and urgency that arrive as a Poisson process.

    Attributes:
        caller: Name of the caller.
        urgency: RFC 9218 urgency.
        slots: Mean number of slots in use.
        patience_s: Time from arrival to the deadline.
    """

    caller: str
    urgency: int
    slots: float
    patience_s: float


# Fractions of a caller's ordinary work by urgency, with the time to the
# deadline: responses on race day, updates, and archive or audit work.
URGENCY_MIX = ((1, 0.2, 3.0), (3, 0.6, 5.0), (5, 0.2, 15.0))


def ordinary_classes(
    callers: Mapping[str, settings.CallerShare], slots: float
) -> list[TrafficClass]:
    """Divides `slots` of ordinary work over the callers by their weights.

    The default share for callers without settings is included, so that every
    caller stays within the share that its weight guarantees.
    """
    shares = {**callers, DEFAULT_CALLER: settings.CallerShare()}
    total = sum(share.weight for share in shares.values())
    return [
        TrafficClass(
            caller, urgency, slots * fraction * share.weight / total, patience_s
        )
        for caller, share in shares.items()
        for urgency, fraction, patience_s in URGENCY_MIX
    ]


def service_time(rng: random.Random) -> float:
    """Returns one service time in seconds."""
    return min(rng.expovariate(1 / MEAN_SERVICE_S), MAX_SERVICE_S)


def mean_service_s() -> float:
    """Returns the mean of the truncated service times in seconds."""
    limit = MAX_SERVICE_S / MEAN_SERVICE_S
    return MEAN_SERVICE_S * (1 - 2.718281828**-limit)


def poisson_arrivals(
    rng: random.Random, rate: float, start_s: float, end_s: float
) -> list[float]:
    """Returns the times of a Poisson process of `rate` per second."""
    times = []
    now_s = start_s
    while rate > 0:
        now_s += rng.expovariate(rate)
        if now_s >= end_s:
            break
        times.append(now_s)
    return times


def peak_arrivals(
    rng: random.Random,
    pools: list[str],
    mean_slots: float,
    peak_s: float,
    end_s: float,
) -> list[tuple[float, str]]:
    """Returns arrivals with their pools; one pool after the other peaks.

    During its peak, a pool has five times its mean demand, otherwise a
    twentieth of it.

    Args:
        rng: Random source.
        pools: The pools, in the order of their peaks.
        mean_slots: Slots that a pool uses on average.
        peak_s: Length of a peak in seconds.
        end_s: End of the demand in seconds.
    """
    arrivals = []
    rate = mean_slots / mean_service_s()
    peak_count = int(end_s / peak_s)
    for peak in range(peak_count):
        start_s = peak * peak_s
        for index, pool in enumerate(pools):
            factor = 5.0 if peak % len(pools) == index else 0.05
            times = poisson_arrivals(
                rng, rate * factor, start_s, start_s + peak_s
            )
            arrivals.extend((arrival_s, pool) for arrival_s in times)
    return sorted(arrivals)

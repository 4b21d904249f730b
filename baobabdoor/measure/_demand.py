"""Generated demand, shared by the suites of admission and slots."""

from collections.abc import Mapping
import random

import attrs

from baobabdoor import settings

# Service times are exponential around this mean, cut off so that one request
# cannot decide the result of a run.
MEAN_SERVICE_S = 0.25
LONGEST_SERVICE_S = 2.0
DEFAULT_CALLER = "default"


@attrs.frozen
class Arrival:
    """One request as a caller sends it.

    Attributes:
        number: Identifier, unique in the run.
        at_s: Time of its arrival.
        entry: Number of the entry that it reaches.
        pool: Pool that it is for.
        caller: Name of the caller.
        urgency: RFC 9218 urgency.
        patience_s: Time to the deadline.
        service_s: Time that it holds a slot.
        flood: Whether it is part of a flood.
        repeats: How often the caller repeats it after a refusal.
    """

    number: int
    at_s: float
    entry: int
    pool: str
    caller: str
    urgency: int
    patience_s: float
    service_s: float
    flood: bool = False
    repeats: int = 0


@attrs.frozen
class Kind:
    """Work of one kind, sent as a Poisson process.

    Attributes:
        caller: Name of the caller.
        urgency: RFC 9218 urgency.
        slots: Mean number of slots that it needs.
        patience_s: Time to the deadline.
    """

    caller: str
    urgency: int
    slots: float
    patience_s: float


# Parts of a caller's ordinary work by urgency, with the time to the deadline:
# answers on race day, updates, and archive or audit work.
URGENCY_MIX = ((1, 0.2, 3.0), (3, 0.6, 5.0), (5, 0.2, 15.0))


def ordinary_kinds(
    callers: Mapping[str, settings.CallerShare], slots: float
) -> list[Kind]:
    """Divides `slots` of ordinary work over the callers by their weights.

    One default share of callers without settings is included, so that every
    caller stays within what its weight guarantees.
    """
    shares = {**callers, DEFAULT_CALLER: settings.CallerShare()}
    total = sum(share.weight for share in shares.values())
    return [
        Kind(caller, urgency, slots * part * share.weight / total, patience_s)
        for caller, share in shares.items()
        for urgency, part, patience_s in URGENCY_MIX
    ]


def service_time(rng: random.Random) -> float:
    """Returns one service time in seconds."""
    return min(rng.expovariate(1 / MEAN_SERVICE_S), LONGEST_SERVICE_S)


def mean_service_s() -> float:
    """Returns the mean of the service times that are cut off."""
    cut = LONGEST_SERVICE_S / MEAN_SERVICE_S
    return MEAN_SERVICE_S * (1 - 2.718281828**-cut)


def poisson(
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


def peaks(
    rng: random.Random,
    pools: list[str],
    mean_slots: float,
    period_s: float,
    end_s: float,
) -> list[tuple[float, str]]:
    """Returns arrival times of pools that peak in turn.

    Each pool in its turn has five times its mean demand, and a twentieth of
    it otherwise.

    Args:
        rng: Random source.
        pools: The pools, in the order of their turns.
        mean_slots: Slots that a pool needs on average.
        period_s: Length of a turn in seconds.
        end_s: End of the demand in seconds.
    """
    arrivals = []
    rate = mean_slots / mean_service_s()
    turns = int(end_s / period_s)
    for turn in range(turns):
        start_s = turn * period_s
        for index, pool in enumerate(pools):
            factor = 5.0 if turn % len(pools) == index else 0.05
            times = poisson(rng, rate * factor, start_s, start_s + period_s)
            arrivals.extend((at_s, pool) for at_s in times)
    return sorted(arrivals)

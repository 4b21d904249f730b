"""Suite `flood`: service of ordinary requests during a flood.

The entries of one zone serve one pool with an ordinary load of 60% of its
slots. A flood lasts 15 s. Floods of the most or least urgent requests at 2, 5
and 20 times the capacity come from one caller through one entry, from all
callers and many unknown ones at once, or from one caller that retries refused
requests. The reference is a run of the same ordinary requests without a flood.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import random
import statistics

import attrs

from baobabdoor import admission
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor.measure import _demand
from baobabdoor.measure import _result
from baobabdoor.measure import _zone_simulation

ENTRIES = 3
SLOT_POLICY = "credits"
ORDINARY_LOAD = 0.6
FLOOD_START_S = 10.0
FLOOD_END_S = 25.0
END_S = 40.0
LOAD_FACTORS = (2, 5, 20)
LEAST_URGENT = 7
MOST_URGENT = 0
FLOOD_PATIENCE_S = 10.0
RETRIES = 3
UNKNOWN_CALLERS = 200
PATTERNS = ("alone", "many", "ignoring")
# Recovery is complete when the mean latency over a window of a few seconds
# stays within this factor of the run without the flood. Shorter windows hold
# too few requests to tell the end of a flood from random variation.
RECOVERY_LATENCY_FACTOR = 1.5
RECOVERY_WINDOW_S = 3


@attrs.frozen
class Flood:
    """Urgency, load and traffic pattern of a flood.

    Attributes:
        urgency: Urgency of its requests.
        load_factor: Offered load in multiples of the pool's capacity.
        pattern: One of `PATTERNS`.
    """

    urgency: int
    load_factor: int
    pattern: str

    @property
    def name(self) -> str:
        """Name in the results."""
        level = "least" if self.urgency == LEAST_URGENT else "most"
        return f"{level}-x{self.load_factor}-{self.pattern}"


@attrs.frozen
class Workload:
    """Pool, callers and ordinary requests of one seed.

    Attributes:
        deployment: Settings.
        pool: Pool that is flooded.
        workers: Its workers in one zone.
        traffic_classes: Traffic classes of ordinary requests.
        ordinary: Ordinary requests.
        seed: Seed of the demand.
    """

    deployment: settings.Deployment
    pool: str
    workers: list[slots.WorkerSlots]
    traffic_classes: list[_demand.TrafficClass]
    ordinary: list[_demand.Arrival]
    seed: int

    @property
    def slots(self) -> int:
        """Slots of the pool in the zone."""
        return sum(worker.slots for worker in self.workers)

    @property
    def callers(self) -> dict[str, settings.CallerShare]:
        """All callers; those without settings share the default name."""
        share = settings.CallerShare()
        return {**self.deployment.callers, _demand.DEFAULT_CALLER: share}

    @property
    def flooding_caller(self) -> str:
        """The caller of a single-caller flood: the last in the settings."""
        return list(self.deployment.callers)[-1]


def make_workload(deployment: settings.Deployment, seed: int) -> Workload:
    """Generates the ordinary requests of one seed."""
    pool = next(iter(deployment.pools))
    pool_settings = deployment.pools[pool]
    count = max(1, pool_settings.workers // len(deployment.availability_zones))
    workers = [
        slots.WorkerSlots(
            f"vm-{n}", pool, pool_settings.slots, pool_settings.connections
        )
        for n in range(count)
    ]
    capacity = count * pool_settings.slots
    traffic_classes = _demand.ordinary_classes(
        deployment.callers, capacity * ORDINARY_LOAD
    )
    rng = random.Random(seed)
    arrivals = []
    for traffic_class in traffic_classes:
        rate = traffic_class.slots / _demand.mean_service_s()
        for arrival_s in _demand.poisson_arrivals(rng, rate, 0.0, END_S):
            arrivals.append(
                _demand.Arrival(
                    len(arrivals),
                    arrival_s,
                    rng.randrange(ENTRIES),
                    pool,
                    traffic_class.caller,
                    traffic_class.urgency,
                    traffic_class.patience_s,
                    _demand.service_time(rng),
                )
            )
    return Workload(deployment, pool, workers, traffic_classes, arrivals, seed)


def flood_arrivals(workload: Workload, flood: Flood) -> list[_demand.Arrival]:
    """Generates the requests of a flood."""
    rng = random.Random(f"{workload.seed}/{flood.name}")
    rate = flood.load_factor * workload.slots / _demand.mean_service_s()
    times = _demand.poisson_arrivals(rng, rate, FLOOD_START_S, FLOOD_END_S)
    names = [workload.flooding_caller]
    if flood.pattern == "many":
        unknown = [f"unknown-{n}" for n in range(UNKNOWN_CALLERS)]
        names = [*workload.deployment.callers, *unknown]
    return [
        _demand.Arrival(
            number,
            arrival_s,
            0 if flood.pattern == "alone" else rng.randrange(ENTRIES),
            workload.pool,
            rng.choice(names),
            flood.urgency,
            FLOOD_PATIENCE_S,
            _demand.service_time(rng),
            True,
            RETRIES if flood.pattern == "ignoring" else 0,
        )
        for number, arrival_s in enumerate(times, len(workload.ordinary))
    ]


def make_queue(policy: str, workload: Workload) -> admission.AdmissionPolicy:
    """Returns a new admission policy by its name in the results."""
    if policy == "fifo":
        return admission.FifoQueue()
    return admission.FairShareQueue(workload.deployment.callers)


def simulate(
    workload: Workload, policy: str, flood: Flood | None
) -> _zone_simulation.ZoneSimulation:
    """Simulates one workload under one admission policy."""
    zone = _zone_simulation.ZoneSimulation(
        ENTRIES,
        lambda: make_queue(policy, workload),
        functools.partial(slots.make_policy, SLOT_POLICY),
        workload.workers,
    )
    arrivals = list(workload.ordinary)
    if flood is not None:
        arrivals += flood_arrivals(workload, flood)
    zone.run(arrivals, END_S + FLOOD_PATIENCE_S)
    return zone


def arrived_in_flood(arrival: _demand.Arrival) -> bool:
    """Returns whether a request arrived during the flood."""
    return FLOOD_START_S <= arrival.arrival_s < FLOOD_END_S


def met_deadline(
    zone: _zone_simulation.ZoneSimulation, arrival: _demand.Arrival
) -> bool:
    """Returns whether a request completed before its deadline."""
    finished_s = zone.finished_s.get(arrival.number)
    if finished_s is None:
        return False
    return finished_s <= arrival.arrival_s + arrival.patience_s


def count_met_deadlines(
    zone: _zone_simulation.ZoneSimulation, workload: Workload
) -> int:
    """Returns how many ordinary requests of the flood met their deadline."""
    return sum(
        arrived_in_flood(arrival) and met_deadline(zone, arrival)
        for arrival in workload.ordinary
    )


def latencies(
    zone: _zone_simulation.ZoneSimulation,
    workload: Workload,
    selected: Callable[[_demand.Arrival], bool],
) -> list[float]:
    """Returns the latencies in seconds of the selected ordinary requests."""
    return [
        zone.finished_s[arrival.number] - arrival.arrival_s
        for arrival in workload.ordinary
        if selected(arrival) and arrival.number in zone.finished_s
    ]


def mean_latency_s(
    zone: _zone_simulation.ZoneSimulation, selected: Sequence[_demand.Arrival]
) -> float:
    """Returns the mean latency of those requests that completed."""
    finished = [
        zone.finished_s[arrival.number] - arrival.arrival_s
        for arrival in selected
        if arrival.number in zone.finished_s
    ]
    return statistics.fmean(finished) if finished else float("inf")


def p99_s(
    zone: _zone_simulation.ZoneSimulation, workload: Workload, flood: Flood
) -> float:
    """Returns the 99th percentile latency of callers that do not flood.

    If all callers flood, their ordinary requests count.
    """
    flooding = flooding_callers(workload, flood)
    if len(flooding) == len(workload.callers):
        flooding = set()
    sample = latencies(
        zone,
        workload,
        lambda each: arrived_in_flood(each) and each.caller not in flooding,
    )
    return statistics.quantiles(sample, n=100)[98]


def recovery_s(
    zone: _zone_simulation.ZoneSimulation,
    reference: _zone_simulation.ZoneSimulation,
    workload: Workload,
) -> float:
    """Returns the seconds from the end of the flood until recovery.

    Service has recovered once, in every later window, each request that met
    its deadline in the reference meets it here, and the mean latency is within
    `RECOVERY_LATENCY_FACTOR` of that of the reference in the same window.
    """
    last_s = 0.0
    for second in range(int(FLOOD_END_S), int(END_S) - RECOVERY_WINDOW_S):
        selected = [
            arrival
            for arrival in workload.ordinary
            if second <= arrival.arrival_s < second + RECOVERY_WINDOW_S
        ]
        any_missed = any(
            met_deadline(reference, arrival) and not met_deadline(zone, arrival)
            for arrival in selected
        )
        latency_s = mean_latency_s(zone, selected)
        limit_s = RECOVERY_LATENCY_FACTOR * mean_latency_s(reference, selected)
        if any_missed or latency_s > limit_s:
            last_s = second + 1 - FLOOD_END_S
    return last_s


def max_min_shares(
    capacity: float, demands: Sequence[float], weights: Sequence[float]
) -> list[float]:
    """Returns the weighted max-min fair shares of divisible capacity."""
    shares = [0.0] * len(demands)
    order = sorted(
        range(len(demands)), key=lambda index: demands[index] / weights[index]
    )
    weight = sum(weights)
    for index in order:
        fair = capacity * weights[index] / weight if weight else 0.0
        shares[index] = min(demands[index], fair)
        capacity -= shares[index]
        weight -= weights[index]
    return shares


def flooding_callers(workload: Workload, flood: Flood) -> set[str]:
    """Returns the callers that send both a flood and ordinary requests."""
    if flood.pattern == "many":
        return set(workload.callers)
    return {workload.flooding_caller}


def guaranteed_slots(
    workload: Workload, flood: Flood
) -> dict[tuple[str, int], float]:
    """Returns the slots that each class of ordinary requests is guaranteed.

    A caller that floods is guaranteed its max-min fair share, and each of its
    urgency levels a fraction of that. Requests of other callers are guaranteed
    up to their demand or their caller's share.
    """
    callers = workload.callers
    flooding = flooding_callers(workload, flood)
    demands = [
        float("inf")
        if caller in flooding
        else sum(
            c.slots for c in workload.traffic_classes if c.caller == caller
        )
        for caller in callers
    ]
    weights = [share.weight for share in callers.values()]
    caller_shares = max_min_shares(workload.slots, demands, weights)
    shares = dict(zip(callers, caller_shares, strict=True))
    result = {}
    for traffic_class in workload.traffic_classes:
        class_slots = traffic_class.slots
        if traffic_class.caller in flooding:
            fraction = callers[traffic_class.caller].urgency_guarantee
            class_slots = min(
                traffic_class.slots, fraction * shares[traffic_class.caller]
            )
        result[traffic_class.caller, traffic_class.urgency] = class_slots
    return result


def guaranteed_service(
    zone: _zone_simulation.ZoneSimulation,
    reference: _zone_simulation.ZoneSimulation,
    workload: Workload,
    flood: Flood,
    callers: Collection[str],
) -> tuple[float, float]:
    """Returns served and guaranteed slot-seconds of ordinary requests.

    Each class counts at most up to its guarantee, so that one class cannot
    compensate for another. The guarantee is limited to the work that met its
    deadline without the flood.
    """
    reference_s: dict[tuple[str, int], float] = {}
    served_s: dict[tuple[str, int], float] = {}
    for arrival in filter(arrived_in_flood, workload.ordinary):
        key = (arrival.caller, arrival.urgency)
        if met_deadline(reference, arrival):
            reference_s[key] = reference_s.get(key, 0.0) + arrival.service_s
        if met_deadline(zone, arrival):
            served_s[key] = served_s.get(key, 0.0) + arrival.service_s
    kept_s = 0.0
    guaranteed_s = 0.0
    duration_s = FLOOD_END_S - FLOOD_START_S
    for key, class_slots in guaranteed_slots(workload, flood).items():
        if key[0] not in callers:
            continue
        limit_s = min(class_slots * duration_s, reference_s.get(key, 0.0))
        kept_s += min(limit_s, served_s.get(key, 0.0))
        guaranteed_s += limit_s
    return kept_s, guaranteed_s


def floods() -> list[Flood]:
    """Returns the floods of the suite."""
    return [
        Flood(urgency, load_factor, pattern)
        for urgency in (LEAST_URGENT, MOST_URGENT)
        for load_factor in LOAD_FACTORS
        for pattern in PATTERNS
    ]


def is_measured(policy: str, flood: Flood) -> bool:
    """Returns whether a flood is measured under a policy.

    The naive baseline runs only the largest floods, which keeps the suite below
    a minute.
    """
    return policy != "fifo" or flood.load_factor == max(LOAD_FACTORS)


def compare(
    workload: Workload,
    policy: str,
    flood: Flood,
    reference: _zone_simulation.ZoneSimulation,
) -> Iterator[_result.Result]:
    """Measures one admission policy under one flood."""
    zone = simulate(workload, policy, flood)

    def result(
        measure: str, value: float, unit: str, reference_value: float
    ) -> _result.Result:
        return _result.Result(
            measure=f"{measure}-{flood.name}",
            deployment=workload.deployment.deployment,
            policy=policy,
            value=value,
            unit=unit,
            reference=reference_value,
            seed=workload.seed,
        )

    if flood.urgency == LEAST_URGENT:
        met = count_met_deadlines(zone, workload)
        baseline = count_met_deadlines(reference, workload)
        yield result("retained", met, "requests", baseline)
    else:
        all_callers = guaranteed_service(
            zone, reference, workload, flood, workload.callers
        )
        yield result("guarantee", all_callers[0], "slot-s", all_callers[1])
        flooding = flooding_callers(workload, flood)
        own = guaranteed_service(zone, reference, workload, flood, flooding)
        yield result("guarantee-own", own[0], "slot-s", own[1])
    latency_s = p99_s(zone, workload, flood)
    yield result("p99", latency_s, "s", p99_s(reference, workload, flood))
    recovered_s = recovery_s(zone, reference, workload)
    yield result("recovery", recovered_s, "s", 0.0)


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        workload = make_workload(deployment, seed)
        for policy in ("fair-share", "fifo"):
            reference = simulate(workload, policy, None)
            for flood in floods():
                if not is_measured(policy, flood):
                    continue
                yield from compare(workload, policy, flood, reference)

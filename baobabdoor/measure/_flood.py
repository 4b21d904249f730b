"""Suite `flood`: service that other work keeps during a flood.

Entries of one zone serve one pool under ordinary work of 60% of its slots. A
flood lasts 15 s. Each flood of urgent or least urgent work at 2, 5 and 20
times the capacity comes from one caller through one entry, from all callers
and many unknown names at once, or from one caller that repeats what is
refused. The same ordinary requests are run without the flood as the reference.
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
from baobabdoor.measure import _demand_zone
from baobabdoor.measure import _result

ENTRIES = 3
SLOT_POLICY = "credits"
ORDINARY_LOAD = 0.6
FLOOD_START_S = 10.0
FLOOD_END_S = 25.0
END_S = 40.0
TIMES_CAPACITY = (2, 5, 20)
LEAST_URGENT = 7
MOST_URGENT = 0
FLOOD_PATIENCE_S = 10.0
REPEATS = 3
UNKNOWN_NAMES = 200
SHAPES = ("alone", "many", "ignoring")
# Recovery is complete when the mean latency over a few seconds stays within
# this factor of the run without the flood. Shorter periods hold too few
# requests to tell the end of a flood from chance.
RECOVERED_FACTOR = 1.5
RECOVERY_PERIOD_S = 3


@attrs.frozen
class Flood:
    """One flood.

    Attributes:
        urgency: Urgency of its requests.
        times: Offered work in multiples of the pool's capacity.
        shape: One of `SHAPES`.
    """

    urgency: int
    times: int
    shape: str

    @property
    def name(self) -> str:
        """Name in the results."""
        level = "least" if self.urgency == LEAST_URGENT else "most"
        return f"{level}-x{self.times}-{self.shape}"


@attrs.frozen
class Scene:
    """Pool, callers and demand of one seed.

    Attributes:
        deployment: Settings.
        pool: Pool that is flooded.
        workers: Its workers in one zone.
        kinds: Kinds of ordinary work.
        ordinary: Ordinary requests.
        seed: Seed of the demand.
    """

    deployment: settings.Deployment
    pool: str
    workers: list[slots.WorkerSlots]
    kinds: list[_demand.Kind]
    ordinary: list[_demand.Arrival]
    seed: int

    @property
    def slots(self) -> int:
        """Slots of the pool in the zone."""
        return sum(worker.slots for worker in self.workers)

    @property
    def callers(self) -> dict[str, settings.CallerShare]:
        """All callers, the ones without settings under one name."""
        share = settings.CallerShare()
        return {**self.deployment.callers, _demand.DEFAULT_CALLER: share}

    @property
    def flooder(self) -> str:
        """The caller that floods alone: the last one in the settings."""
        return list(self.deployment.callers)[-1]


def make_scene(deployment: settings.Deployment, seed: int) -> Scene:
    """Generates the ordinary work of one seed."""
    pool = next(iter(deployment.pools))
    setting = deployment.pools[pool]
    count = max(1, setting.workers // len(deployment.availability_zones))
    workers = [
        slots.WorkerSlots(f"vm-{n}", pool, setting.slots, setting.connections)
        for n in range(count)
    ]
    capacity = count * setting.slots
    kinds = _demand.ordinary_kinds(deployment.callers, capacity * ORDINARY_LOAD)
    rng = random.Random(seed)
    arrivals = []
    for kind in kinds:
        rate = kind.slots / _demand.mean_service_s()
        for at_s in _demand.poisson(rng, rate, 0.0, END_S):
            arrivals.append(
                _demand.Arrival(
                    len(arrivals),
                    at_s,
                    rng.randrange(ENTRIES),
                    pool,
                    kind.caller,
                    kind.urgency,
                    kind.patience_s,
                    _demand.service_time(rng),
                )
            )
    return Scene(deployment, pool, workers, kinds, arrivals, seed)


def flood_arrivals(scene: Scene, flood: Flood) -> list[_demand.Arrival]:
    """Generates the requests of a flood."""
    rng = random.Random(f"{scene.seed}/{flood.name}")
    rate = flood.times * scene.slots / _demand.mean_service_s()
    times = _demand.poisson(rng, rate, FLOOD_START_S, FLOOD_END_S)
    names = [scene.flooder]
    if flood.shape == "many":
        unknown = [f"unknown-{n}" for n in range(UNKNOWN_NAMES)]
        names = [*scene.deployment.callers, *unknown]
    return [
        _demand.Arrival(
            number,
            at_s,
            0 if flood.shape == "alone" else rng.randrange(ENTRIES),
            scene.pool,
            rng.choice(names),
            flood.urgency,
            FLOOD_PATIENCE_S,
            _demand.service_time(rng),
            True,
            REPEATS if flood.shape == "ignoring" else 0,
        )
        for number, at_s in enumerate(times, len(scene.ordinary))
    ]


def make_queue(policy: str, scene: Scene) -> admission.AdmissionPolicy:
    """Returns a new admission policy by its name in the results."""
    if policy == "fifo":
        return admission.FifoQueue()
    return admission.FairShareQueue(scene.deployment.callers)


def simulate(
    scene: Scene, policy: str, flood: Flood | None
) -> _demand_zone.Zone:
    """Runs one scene under one policy."""
    zone = _demand_zone.Zone(
        ENTRIES,
        lambda: make_queue(policy, scene),
        functools.partial(slots.make_policy, SLOT_POLICY),
        scene.workers,
    )
    arrivals = list(scene.ordinary)
    if flood is not None:
        arrivals += flood_arrivals(scene, flood)
    zone.run(arrivals, END_S + FLOOD_PATIENCE_S)
    return zone


def in_window(arrival: _demand.Arrival) -> bool:
    """Returns whether a request arrived during the flood."""
    return FLOOD_START_S <= arrival.at_s < FLOOD_END_S


def in_time(zone: _demand_zone.Zone, arrival: _demand.Arrival) -> bool:
    """Returns whether a request was answered before its deadline."""
    finished_s = zone.finished_s.get(arrival.number)
    if finished_s is None:
        return False
    return finished_s <= arrival.at_s + arrival.patience_s


def answered(zone: _demand_zone.Zone, scene: Scene) -> int:
    """Returns how many ordinary requests of the window were in time."""
    return sum(
        in_window(arrival) and in_time(zone, arrival)
        for arrival in scene.ordinary
    )


def latencies(
    zone: _demand_zone.Zone,
    scene: Scene,
    chosen: Callable[[_demand.Arrival], bool],
) -> list[float]:
    """Returns the latencies in seconds of chosen ordinary requests."""
    return [
        zone.finished_s[arrival.number] - arrival.at_s
        for arrival in scene.ordinary
        if chosen(arrival) and arrival.number in zone.finished_s
    ]


def mean_latency_s(
    zone: _demand_zone.Zone, chosen: Sequence[_demand.Arrival]
) -> float:
    """Returns the mean latency of those of some requests that finished."""
    finished = [
        zone.finished_s[arrival.number] - arrival.at_s
        for arrival in chosen
        if arrival.number in zone.finished_s
    ]
    return statistics.fmean(finished) if finished else float("inf")


def p99_s(zone: _demand_zone.Zone, scene: Scene, flood: Flood) -> float:
    """Returns the latency that 99% of the other callers' requests keep.

    If all callers flood, their ordinary requests count.
    """
    flooding = flooding_callers(scene, flood)
    if len(flooding) == len(scene.callers):
        flooding = set()
    sample = latencies(
        zone,
        scene,
        lambda each: in_window(each) and each.caller not in flooding,
    )
    return statistics.quantiles(sample, n=100)[98]


def recovery_s(
    zone: _demand_zone.Zone, reference: _demand_zone.Zone, scene: Scene
) -> float:
    """Returns the seconds from the end of the flood to ordinary service.

    Service is ordinary from the time after which, in every period, all that
    the reference answered in time is answered in time, and the mean latency is
    within `RECOVERED_FACTOR` of that of the reference in the same period.
    """
    last_s = 0.0
    for second in range(int(FLOOD_END_S), int(END_S) - RECOVERY_PERIOD_S):
        chosen = [
            arrival
            for arrival in scene.ordinary
            if second <= arrival.at_s < second + RECOVERY_PERIOD_S
        ]
        missed = any(
            in_time(reference, arrival) and not in_time(zone, arrival)
            for arrival in chosen
        )
        ours_s = mean_latency_s(zone, chosen)
        limit_s = RECOVERED_FACTOR * mean_latency_s(reference, chosen)
        if missed or ours_s > limit_s:
            last_s = second + 1 - FLOOD_END_S
    return last_s


def max_min(
    capacity: float, demands: Sequence[float], weights: Sequence[float]
) -> list[float]:
    """Returns the weighted max-min shares of divisible capacity."""
    parts = [0.0] * len(demands)
    order = sorted(
        range(len(demands)), key=lambda index: demands[index] / weights[index]
    )
    weight = sum(weights)
    for index in order:
        fair = capacity * weights[index] / weight if weight else 0.0
        parts[index] = min(demands[index], fair)
        capacity -= parts[index]
        weight -= weights[index]
    return parts


def flooding_callers(scene: Scene, flood: Flood) -> set[str]:
    """Returns the callers that send a flood beside their ordinary work."""
    if flood.shape == "many":
        return set(scene.callers)
    return {scene.flooder}


def guaranteed(scene: Scene, flood: Flood) -> dict[tuple[str, int], float]:
    """Returns the slots that each kind of ordinary work is guaranteed.

    A caller that floods is guaranteed its max-min share; each of its urgency
    levels is guaranteed its part of that. The work of others is guaranteed up
    to its demand or its caller's share.
    """
    callers = scene.callers
    flooding = flooding_callers(scene, flood)
    demands = [
        float("inf")
        if caller in flooding
        else sum(k.slots for k in scene.kinds if k.caller == caller)
        for caller in callers
    ]
    weights = [share.weight for share in callers.values()]
    parts = max_min(scene.slots, demands, weights)
    shares = dict(zip(callers, parts, strict=True))
    result = {}
    for kind in scene.kinds:
        slots_of_kind = kind.slots
        if kind.caller in flooding:
            part = callers[kind.caller].urgency_guarantee
            slots_of_kind = min(kind.slots, part * shares[kind.caller])
        result[kind.caller, kind.urgency] = slots_of_kind
    return result


def guarantee_kept(
    zone: _demand_zone.Zone,
    reference: _demand_zone.Zone,
    scene: Scene,
    flood: Flood,
    callers: Collection[str],
) -> tuple[float, float]:
    """Returns served and guaranteed slot-seconds of callers' ordinary work.

    Each kind counts at most what it is guaranteed, so that one kind cannot
    make up for another; it is guaranteed no more than it received in time
    without the flood.
    """
    asked: dict[tuple[str, int], float] = {}
    served: dict[tuple[str, int], float] = {}
    for arrival in filter(in_window, scene.ordinary):
        kind = (arrival.caller, arrival.urgency)
        if in_time(reference, arrival):
            asked[kind] = asked.get(kind, 0.0) + arrival.service_s
        if in_time(zone, arrival):
            served[kind] = served.get(kind, 0.0) + arrival.service_s
    kept = 0.0
    total = 0.0
    duration_s = FLOOD_END_S - FLOOD_START_S
    for kind, slots_of_kind in guaranteed(scene, flood).items():
        if kind[0] not in callers:
            continue
        floor = min(slots_of_kind * duration_s, asked.get(kind, 0.0))
        kept += min(floor, served.get(kind, 0.0))
        total += floor
    return kept, total


def floods() -> list[Flood]:
    """Returns the floods of the suite."""
    return [
        Flood(urgency, times, shape)
        for urgency in (LEAST_URGENT, MOST_URGENT)
        for times in TIMES_CAPACITY
        for shape in SHAPES
    ]


def is_measured(policy: str, flood: Flood) -> bool:
    """Returns whether a policy runs a flood.

    The naive baseline runs only the largest floods, to keep the suite under a
    minute.
    """
    return policy != "fifo" or flood.times == max(TIMES_CAPACITY)


def compare(
    scene: Scene, policy: str, flood: Flood, reference: _demand_zone.Zone
) -> Iterator[_result.Result]:
    """Measures one policy under one flood."""
    zone = simulate(scene, policy, flood)

    def result(
        measure: str, value: float, unit: str, reference_value: float
    ) -> _result.Result:
        return _result.Result(
            measure=f"{measure}-{flood.name}",
            deployment=scene.deployment.deployment,
            policy=policy,
            value=value,
            unit=unit,
            reference=reference_value,
            seed=scene.seed,
        )

    if flood.urgency == LEAST_URGENT:
        kept = answered(zone, scene)
        asked = answered(reference, scene)
        yield result("retained", kept, "requests", asked)
    else:
        everybody = guarantee_kept(zone, reference, scene, flood, scene.callers)
        yield result("guarantee", everybody[0], "slot-s", everybody[1])
        flooding = flooding_callers(scene, flood)
        own = guarantee_kept(zone, reference, scene, flood, flooding)
        yield result("guarantee-own", own[0], "slot-s", own[1])
    ours = p99_s(zone, scene, flood)
    yield result("p99", ours, "s", p99_s(reference, scene, flood))
    recovered_s = recovery_s(zone, reference, scene)
    yield result("recovery", recovered_s, "s", 0.0)


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        scene = make_scene(deployment, seed)
        for policy in ("fair-share", "fifo"):
            reference = simulate(scene, policy, None)
            for flood in floods():
                if not is_measured(policy, flood):
                    continue
                yield from compare(scene, policy, flood, reference)

"""Suite `slots`: how well entries share the slots of their zone.

All pools of a zone peak in turn, each with five times its mean demand, which
is more than its slots. Every policy runs with 3 and 9 entries, undisturbed,
with an entry that is lost, and with entries that are cut off from the others.
The reference for latency is one entry that sees every request.
"""

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

ENTRY_COUNTS = (3, 9)
EVENTS = ("calm", "lost", "cut")
# Five times this part of the slots is half as much again as the capacity.
MEAN_LOAD = 0.3
TURN_S = 5.0
PATIENCE_S = 15.0
END_S = 40.0
# The last requests finish in this time.
RUN_OUT_S = 5.0
# Credits need some seconds before they are first lent.
WARM_UP_S = 6.0
EVENT_S = 15.0
CUT_END_S = 30.0
URGENCY = 3
# So long that no policy refuses anything, because latencies are compared.
MAX_ITEMS = 4096
CONTROL_BUDGET_BYTES = 3000.0


class OneEntry(slots.StaticSplit):
    """The reference: one entry with all slots and connections."""

    def connection_limit(self, worker_id: str) -> int:
        """Returns all connections of the worker."""
        worker = self.workers_.get(worker_id)
        return worker.connections if worker else 0


@attrs.frozen
class Scene:
    """Workers and demand of one seed.

    Attributes:
        deployment: Settings.
        workers: Workers of one zone.
        demand: Requests in the order of arrival.
        seed: Seed of the demand.
    """

    deployment: settings.Deployment
    workers: list[slots.WorkerSlots]
    demand: list[_demand.Arrival]
    seed: int


def make_scene(deployment: settings.Deployment, seed: int) -> Scene:
    """Generates the demand of one seed."""
    zones = len(deployment.availability_zones)
    workers = [
        slots.WorkerSlots(
            f"{deployment.deployment}-{pool}-{number}",
            pool,
            setting.slots,
            setting.connections,
        )
        for pool, setting in deployment.pools.items()
        for number in range(max(1, setting.workers // zones))
    ]
    pools = [p for p in deployment.pools if p != deployment.spare_pool]
    of_first = [w.slots for w in workers if w.pool == pools[0]]
    rng = random.Random(seed)
    mean = MEAN_LOAD * sum(of_first)
    peaks = _demand.peaks(rng, pools, mean, TURN_S, END_S)
    callers = list(deployment.callers)
    demand = [
        _demand.Arrival(
            number=number,
            at_s=at_s,
            entry=rng.randrange(max(ENTRY_COUNTS)),
            pool=pool,
            caller=rng.choice(callers),
            urgency=URGENCY,
            patience_s=PATIENCE_S,
            service_s=_demand.service_time(rng),
        )
        for number, (at_s, pool) in enumerate(peaks)
        if at_s >= WARM_UP_S
    ]
    return Scene(deployment, workers, demand, seed)


def simulate(
    scene: Scene, policy: str, entry_count: int, event: str
) -> _demand_zone.Zone:
    """Runs one scene under one policy; `one-entry` is the reference."""
    make_slots = functools.partial(slots.make_policy, policy)
    zone = _demand_zone.Zone(
        entry_count,
        lambda: admission.FairShareQueue(
            scene.deployment.callers, max_items=MAX_ITEMS
        ),
        OneEntry if policy == "one-entry" else make_slots,
        scene.workers,
    )
    if event == "lost":
        zone.at(EVENT_S, zone.lose_entry, 0)
    elif event == "cut":
        ids = list(zone.by_id)
        third = len(ids) // 3
        sides = [ids[:third], ids[third:]]
        zone.at(EVENT_S, zone.partition, sides, CUT_END_S)
    zone.run(scene.demand, END_S + RUN_OUT_S)
    return zone


def mean_latency_s(zone: _demand_zone.Zone, scene: Scene) -> float:
    """Returns the mean latency of the requests that finished."""
    return statistics.fmean(
        zone.finished_s[arrival.number] - arrival.at_s
        for arrival in scene.demand
        if arrival.number in zone.finished_s
    )


def compare(
    scene: Scene, policy: str, entry_count: int, event: str, best_s: float
) -> Iterator[_result.Result]:
    """Measures one policy."""
    zone = simulate(scene, policy, entry_count, event)
    use = zone.use.values()
    busy = sum(each.busy for each in use)
    over = sum(each.over_committed for each in use)
    idle = sum(each.idle_waiting for each in use)
    duration_s = END_S + RUN_OUT_S
    entry_s = duration_s * entry_count
    # Each payload is sent by one daemon and received by another.
    rate = 2 * zone.traffic.size_bytes / entry_s
    messages = zone.traffic.messages / entry_s
    lost = len(scene.demand) - len(zone.finished_s)
    rows = (
        ("over-commit", 100 * over / busy, "% of use", 0.0),
        ("idle-waiting", 100 * idle / busy, "% of use", 0.0),
        ("latency", mean_latency_s(zone, scene), "s", best_s),
        ("unserved", 100 * lost / len(scene.demand), "%", 0.0),
        ("messages", messages, "1/s", 0.0),
        ("bytes", rate, "B/s", CONTROL_BUDGET_BYTES),
    )
    for measure, value, unit, reference in rows:
        yield _result.Result(
            measure=f"{measure}-{entry_count}-{event}",
            deployment=scene.deployment.deployment,
            policy=policy,
            value=value,
            unit=unit,
            reference=reference,
            seed=scene.seed,
        )


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        scene = make_scene(deployment, seed)
        one_entry = simulate(scene, "one-entry", 1, "calm")
        best_s = mean_latency_s(one_entry, scene)
        for entry_count in ENTRY_COUNTS:
            for event in EVENTS:
                for policy in slots.POLICIES:
                    yield from compare(
                        scene, policy, entry_count, event, best_s
                    )

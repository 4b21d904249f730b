"""Suite `slots`: how well entries share the slots of their zone.

One pool of the zone after the other peaks, each with five times its mean
demand, which exceeds its slots. Every policy runs with 3 and 9 entries:
undisturbed, with the failure of one entry, and with a network partition. The
reference for latency is a single entry that receives every request.
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
from baobabdoor.measure import _result
from baobabdoor.measure import _zone_simulation

ENTRY_COUNTS = (3, 9)
EVENTS = ("calm", "lost", "cut")
# A peak is five times this fraction of the slots: 1.5 times the capacity.
MEAN_LOAD = 0.3
PEAK_S = 5.0
PATIENCE_S = 15.0
END_S = 40.0
# Simulated time after the last arrival, so that the last requests complete.
DRAIN_S = 5.0
# The policy `credits` needs some seconds until the first credits are granted.
WARM_UP_S = 6.0
EVENT_S = 15.0
CUT_END_S = 30.0
URGENCY = 3
# Queue limit at which no policy refuses a request: latencies are compared.
MAX_QUEUED = 4096
CONTROL_BUDGET_BYTES_PER_S = 3000.0


class SingleEntry(slots.StaticSplit):
    """The reference: a single entry with all slots and connections."""

    def connection_limit(self, worker_id: str) -> int:
        """Returns all connections of the worker."""
        worker = self.workers_.get(worker_id)
        return worker.connections if worker else 0


@attrs.frozen
class Workload:
    """Workers and requests of one seed.

    Attributes:
        deployment: Settings.
        workers: Workers of one zone.
        demand: Requests in order of arrival.
        seed: Seed of the demand.
    """

    deployment: settings.Deployment
    workers: list[slots.WorkerSlots]
    demand: list[_demand.Arrival]
    seed: int


def make_workload(deployment: settings.Deployment, seed: int) -> Workload:
    """Generates the requests of one seed."""
    zones = len(deployment.availability_zones)
    workers = [
        slots.WorkerSlots(
            f"{deployment.deployment}-{pool}-{number}",
            pool,
            pool_settings.slots,
            pool_settings.connections,
        )
        for pool, pool_settings in deployment.pools.items()
        for number in range(max(1, pool_settings.workers // zones))
    ]
    pools = [p for p in deployment.pools if p != deployment.spare_pool]
    first_pool_slots = [w.slots for w in workers if w.pool == pools[0]]
    rng = random.Random(seed)
    mean = MEAN_LOAD * sum(first_pool_slots)
    arrivals = _demand.peak_arrivals(rng, pools, mean, PEAK_S, END_S)
    callers = list(deployment.callers)
    demand = [
        _demand.Arrival(
            number=number,
            arrival_s=arrival_s,
            entry=rng.randrange(max(ENTRY_COUNTS)),
            pool=pool,
            caller=rng.choice(callers),
            urgency=URGENCY,
            patience_s=PATIENCE_S,
            service_s=_demand.service_time(rng),
        )
        for number, (arrival_s, pool) in enumerate(arrivals)
        if arrival_s >= WARM_UP_S
    ]
    return Workload(deployment, workers, demand, seed)


def simulate(
    workload: Workload, policy: str, entry_count: int, event: str
) -> _zone_simulation.ZoneSimulation:
    """Simulates one workload under a slot policy or `one-entry`."""
    make_slots = functools.partial(slots.make_policy, policy)
    zone = _zone_simulation.ZoneSimulation(
        entry_count,
        lambda: admission.FairShareQueue(
            workload.deployment.callers, max_items=MAX_QUEUED
        ),
        SingleEntry if policy == "one-entry" else make_slots,
        workload.workers,
    )
    if event == "lost":
        zone.schedule(EVENT_S, zone.fail_entry, 0)
    elif event == "cut":
        ids = list(zone.entries_by_id)
        third = len(ids) // 3
        groups = [ids[:third], ids[third:]]
        zone.schedule(EVENT_S, zone.partition, groups, CUT_END_S)
    zone.run(workload.demand, END_S + DRAIN_S)
    return zone


def mean_latency_s(
    zone: _zone_simulation.ZoneSimulation, workload: Workload
) -> float:
    """Returns the mean latency of the requests that completed."""
    return statistics.fmean(
        zone.finished_s[arrival.number] - arrival.arrival_s
        for arrival in workload.demand
        if arrival.number in zone.finished_s
    )


def compare(
    workload: Workload,
    policy: str,
    entry_count: int,
    event: str,
    reference_s: float,
) -> Iterator[_result.Result]:
    """Measures one slot policy with one event."""
    zone = simulate(workload, policy, entry_count, event)
    usage = zone.usage.values()
    busy = sum(pool.busy for pool in usage)
    over_committed = sum(pool.over_committed for pool in usage)
    idle_waiting = sum(pool.idle_waiting for pool in usage)
    duration_s = END_S + DRAIN_S
    entry_seconds = duration_s * entry_count
    # Each payload counts for its sender and for its receiver.
    bytes_per_s = 2 * zone.traffic.size_bytes / entry_seconds
    messages_per_s = zone.traffic.messages / entry_seconds
    unserved = len(workload.demand) - len(zone.finished_s)
    measures = (
        ("over-commit", 100 * over_committed / busy, "% of use", 0.0),
        ("idle-waiting", 100 * idle_waiting / busy, "% of use", 0.0),
        ("latency", mean_latency_s(zone, workload), "s", reference_s),
        ("unserved", 100 * unserved / len(workload.demand), "%", 0.0),
        ("messages", messages_per_s, "1/s", 0.0),
        ("bytes", bytes_per_s, "B/s", CONTROL_BUDGET_BYTES_PER_S),
    )
    for measure, value, unit, reference in measures:
        yield _result.Result(
            measure=f"{measure}-{entry_count}-{event}",
            deployment=workload.deployment.deployment,
            policy=policy,
            value=value,
            unit=unit,
            reference=reference,
            seed=workload.seed,
        )


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        workload = make_workload(deployment, seed)
        reference = simulate(workload, "one-entry", 1, "calm")
        reference_s = mean_latency_s(reference, workload)
        for entry_count in ENTRY_COUNTS:
            for event in EVENTS:
                for policy in slots.POLICIES:
                    yield from compare(
                        workload, policy, entry_count, event, reference_s
                    )

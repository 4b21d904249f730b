"""Discrete-event simulation of the entries and workers of one zone."""

import collections
from collections.abc import Callable
import heapq
import itertools
import json

import attrs

from baobabdoor import admission
from baobabdoor import slots
from baobabdoor.measure import _demand

EXCHANGE_PERIOD_S = 1.0
# Time from the failure of an entry or of the network until the peers treat the
# entry as unreachable; the load balancer detects a failed entry earlier.
PEER_DETECTION_S = 6.0
BALANCER_DETECTION_S = 2.0
# A caller that ignores Retry-After retries this long after a refusal.
RETRY_DELAY_S = 0.02
EXPIRY_PERIOD_S = 0.1


@attrs.define(eq=False)
class Worker:
    """A worker that queues requests beyond its slots.

    Attributes:
        pool: Pool of the worker.
        slots: Maximum number of concurrent requests.
        running: Requests in progress.
        waiting: Requests accepted beyond the slots.
    """

    pool: str
    slots: int
    running: int = 0
    waiting: collections.deque = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class Entry:
    """One entry with its policies.

    Attributes:
        entry_id: Identifier.
        queue: Admission policy.
        slots: Slot policy.
        alive: False once the entry has failed.
    """

    entry_id: str
    queue: admission.AdmissionPolicy
    slots: slots.SlotPolicy
    alive: bool = True


@attrs.define(eq=False)
class PoolUsage:
    """Current use of one pool and its integrals over time.

    Attributes:
        slots: Slots of the pool.
        running: Requests in progress.
        queued: Requests queued in the entries.
        excess: Requests accepted by workers beyond their slots.
        updated_s: Time of the last update of the integrals.
        idle_waiting: Integral of idle slots, up to the number of requests
            queued at the same time, in slot-seconds.
        over_committed: Integral of `excess`, in slot-seconds.
        busy: Integral of `running`, in slot-seconds.
    """

    slots: int
    running: int = 0
    queued: int = 0
    excess: int = 0
    updated_s: float = 0.0
    idle_waiting: float = 0.0
    over_committed: float = 0.0
    busy: float = 0.0

    def integrate(self, now_s: float) -> None:
        """Adds the time since the last update to the integrals."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        idle = max(0, self.slots - self.running)
        self.idle_waiting += elapsed_s * min(idle, self.queued)
        self.over_committed += elapsed_s * self.excess
        self.busy += elapsed_s * self.running


@attrs.define
class Traffic:
    """Exchange messages between entries.

    Attributes:
        messages: Number of payloads.
        size_bytes: Total size of the payloads as JSON.
    """

    messages: int = 0
    size_bytes: int = 0


class ZoneSimulation:
    """Simulates requests to the entries of one zone.

    Args:
        entry_count: Number of entries.
        make_queue: Returns a new admission policy.
        make_slots: Returns a new slot policy for an entry.
        workers: Workers of the zone.
    """

    def __init__(
        self,
        entry_count: int,
        make_queue: Callable[[], admission.AdmissionPolicy],
        make_slots: Callable[[str], slots.SlotPolicy],
        workers: list[slots.WorkerSlots],
    ):
        ids = [f"entry-{number}" for number in range(entry_count)]
        self.now_s = 0.0
        self.events: list[tuple] = []
        self.sequence = itertools.count()
        self.entries = [
            Entry(each, make_queue(), make_slots(each)) for each in ids
        ]
        self.entries_by_id = {entry.entry_id: entry for entry in self.entries}
        self.workers = {w.worker_id: Worker(w.pool, w.slots) for w in workers}
        self.pools: dict[str, list[str]] = {}
        for worker in workers:
            self.pools.setdefault(worker.pool, []).append(worker.worker_id)
        self.usage = {
            pool: PoolUsage(sum(self.workers[w].slots for w in ids_of_pool))
            for pool, ids_of_pool in self.pools.items()
        }
        self.traffic = Traffic()
        self.arrivals: dict[int, _demand.Arrival] = {}
        self.finished_s: dict[int, float] = {}
        self.refusals = 0
        self.failed_s = 0.0
        self.is_cut_off: Callable[[str, str], bool] = (
            lambda source, target: False
        )
        for number, entry in enumerate(self.entries):
            entry.slots.set_workers(workers)
            entry.slots.set_entries(ids)
            first_s = EXCHANGE_PERIOD_S * number / entry_count
            self.schedule(first_s, self._exchange_tick, entry)
            self.schedule(first_s, self._expire_tick, entry)

    def schedule(self, time_s: float, function: Callable, *arguments) -> None:
        """Schedules a call of `function`."""
        event = (time_s, next(self.sequence), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, arrivals: list[_demand.Arrival], end_s: float) -> None:
        """Simulates the arrivals until `end_s`."""
        # Arrivals are many and known in advance; sorting them once is cheaper
        # than keeping all of them in the event heap.
        ordered = sorted(arrivals, key=lambda arrival: arrival.arrival_s)
        for arrival in ordered:
            self._run_events(min(arrival.arrival_s, end_s))
            self.now_s = arrival.arrival_s
            self.arrivals[arrival.number] = arrival
            item = admission.WorkItem(
                arrival.number,
                arrival.pool,
                arrival.caller,
                arrival.urgency,
                arrival.arrival_s + arrival.patience_s,
            )
            self._arrive(arrival, item, arrival.retries)
        self._run_events(end_s)
        for usage in self.usage.values():
            usage.integrate(end_s)

    def _run_events(self, end_s: float) -> None:
        events = self.events
        while events and events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(events)
            function(*arguments)

    def fail_entry(self, number: int) -> None:
        """Makes an entry fail; its requests are lost."""
        entry = self.entries[number]
        entry.alive = False
        self.failed_s = self.now_s
        for pool, queued in entry.queue.queued().items():
            self._update_usage(pool, queued=-queued)
        remaining = [each.entry_id for each in self.entries if each.alive]
        for other in self.entries:
            if other.alive:
                self.schedule(
                    self.now_s + PEER_DETECTION_S,
                    other.slots.set_entries,
                    remaining,
                )

    def partition(self, groups: list[list[str]], end_s: float) -> None:
        """Partitions the entries into groups until `end_s`."""
        group_of = {each: n for n, group in enumerate(groups) for each in group}
        self.is_cut_off = (
            lambda source, target: group_of[source] != group_of[target]
        )
        for group in groups:
            for each in group:
                set_entries = self.entries_by_id[each].slots.set_entries
                self.schedule(self.now_s + PEER_DETECTION_S, set_entries, group)
                self.schedule(
                    end_s + EXCHANGE_PERIOD_S,
                    set_entries,
                    list(self.entries_by_id),
                )
        self.schedule(end_s, self._end_partition)

    def _end_partition(self) -> None:
        self.is_cut_off = lambda source, target: False

    def _update_usage(
        self, pool: str, running: int = 0, queued: int = 0, excess: int = 0
    ) -> None:
        usage = self.usage[pool]
        usage.integrate(self.now_s)
        usage.running += running
        usage.queued += queued
        usage.excess += excess

    def _arrive(
        self,
        arrival: _demand.Arrival,
        item: admission.WorkItem,
        retries: int,
    ) -> None:
        entry = self._entry_for(arrival)
        if entry is None:
            return
        if entry.queue.admit(item, self.now_s) is None:
            self._update_usage(arrival.pool, queued=1)
            self._dispatch(entry, arrival.pool)
            return
        self.refusals += 1
        if retries > 0:
            retry_s = self.now_s + RETRY_DELAY_S
            self.schedule(retry_s, self._arrive, arrival, item, retries - 1)

    def _entry_for(self, arrival: _demand.Arrival) -> Entry | None:
        """Returns the entry that the balancer picks; None if it has failed."""
        entry = self.entries[arrival.entry % len(self.entries)]
        if entry.alive:
            return entry
        if self.now_s < self.failed_s + BALANCER_DETECTION_S:
            return None
        remaining = [each for each in self.entries if each.alive]
        return remaining[arrival.number % len(remaining)]

    def _dispatch(self, entry: Entry, pool: str) -> None:
        policy = entry.slots
        free_slots = {
            worker_id: count
            for worker_id in self.pools[pool]
            if (count := policy.available(worker_id, self.now_s)) > 0
        }
        if free_slots:
            before = entry.queue.queued().get(pool, 0)
            total = sum(free_slots.values())
            items = entry.queue.dequeue({pool: total}, self.now_s)
            after = entry.queue.queued().get(pool, 0)
            self._update_usage(pool, queued=after - before)
            for item in items:
                worker_id = max(free_slots, key=lambda each: free_slots[each])
                free_slots[worker_id] -= 1
                policy.acquire(worker_id, self.now_s)
                self._accept(entry, worker_id, item)
        policy.set_demand(entry.queue.queued())
        for peer_id in policy.early_peers(self.now_s):
            self._exchange(entry, self.entries_by_id[peer_id])

    def _accept(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        if worker.running < worker.slots:
            self._start(entry, worker_id, item)
        else:
            worker.waiting.append((entry, item))
            self._update_usage(worker.pool, excess=1)

    def _start(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        worker.running += 1
        self._update_usage(worker.pool, running=1)
        service_s = self.arrivals[item.request_id].service_s
        end_s = self.now_s + service_s
        self.schedule(end_s, self._finish, entry, worker_id, item)

    def _finish(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        worker.running -= 1
        self._update_usage(worker.pool, running=-1)
        if worker.waiting:
            self._update_usage(worker.pool, excess=-1)
            waiting_entry, waiting_item = worker.waiting.popleft()
            self._start(waiting_entry, worker_id, waiting_item)
        if not entry.alive:
            return
        self.finished_s[item.request_id] = self.now_s
        entry.slots.release(worker_id, self.now_s)
        entry.queue.release(item, self.now_s)
        self._dispatch(entry, item.pool)

    def _exchange_tick(self, entry: Entry) -> None:
        if entry.alive:
            self.schedule(
                self.now_s + EXCHANGE_PERIOD_S, self._exchange_tick, entry
            )
            for peer in self.entries:
                if peer is not entry:
                    self._exchange(entry, peer)

    def _exchange(self, entry: Entry, peer: Entry) -> None:
        """Sends payloads in both directions."""
        if not peer.alive or self.is_cut_off(entry.entry_id, peer.entry_id):
            return
        self._send(entry, peer)
        self._send(peer, entry)
        for each in (entry, peer):
            for pool, queued in each.queue.queued().items():
                if queued:
                    self._dispatch(each, pool)

    def _send(self, source: Entry, target: Entry) -> None:
        payload = source.slots.exchange(target.entry_id, self.now_s)
        if payload:
            text = json.dumps(payload, separators=(",", ":"))
            self.traffic.messages += 1
            self.traffic.size_bytes += len(text)
        target.slots.receive(source.entry_id, payload, self.now_s)

    def _expire_tick(self, entry: Entry) -> None:
        if not entry.alive:
            return
        self.schedule(self.now_s + EXPIRY_PERIOD_S, self._expire_tick, entry)
        before = entry.queue.queued()
        entry.queue.expire(self.now_s)
        for pool, queued in entry.queue.queued().items():
            self._update_usage(pool, queued=queued - before[pool])
            if queued:
                self._dispatch(entry, pool)

"""Entries and workers of one zone in virtual time."""

import collections
from collections.abc import Callable
import heapq
import itertools
import json

import attrs

from baobabdoor import admission
from baobabdoor import slots
from baobabdoor.measure import _demand

EXCHANGE_S = 1.0
# Time from the failure of an entry, or of the network, to the moment when the
# peers treat an entry as unreachable; the balancer notices earlier.
UNREACHABLE_S = 6.0
BALANCER_S = 2.0
# A caller that ignores refusals repeats them after this time.
REPEAT_S = 0.02
EXPIRE_S = 0.1


@attrs.define(eq=False)
class Worker:
    """A worker that queues what exceeds its slots.

    Attributes:
        pool: Pool of the worker.
        slots: Requests served at once.
        running: Requests being served.
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
        alive: False once the entry is lost.
    """

    entry_id: str
    queue: admission.AdmissionPolicy
    slots: slots.SlotPolicy
    alive: bool = True


@attrs.define(eq=False)
class PoolUse:
    """Integrals over time of one pool, in slot-seconds.

    Attributes:
        slots: Slots of the pool.
        running: Requests being served.
        queued: Requests queued in the entries.
        over: Requests accepted by workers beyond their slots.
        since_s: Time up to which the integrals count.
        idle_waiting: Idle slots while as many requests were queued.
        over_committed: Requests accepted beyond the slots.
        busy: Requests served.
    """

    slots: int
    running: int = 0
    queued: int = 0
    over: int = 0
    since_s: float = 0.0
    idle_waiting: float = 0.0
    over_committed: float = 0.0
    busy: float = 0.0

    def integrate(self, now_s: float) -> None:
        """Adds the time since the last change."""
        elapsed_s = now_s - self.since_s
        self.since_s = now_s
        idle = max(0, self.slots - self.running)
        self.idle_waiting += elapsed_s * min(idle, self.queued)
        self.over_committed += elapsed_s * self.over
        self.busy += elapsed_s * self.running


@attrs.define
class Traffic:
    """Messages between entries.

    Attributes:
        messages: Number of payloads.
        size_bytes: Their size as JSON.
    """

    messages: int = 0
    size_bytes: int = 0


class Zone:
    """Runs arrivals through the entries of one zone.

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
        self.by_id = {entry.entry_id: entry for entry in self.entries}
        self.workers = {w.worker_id: Worker(w.pool, w.slots) for w in workers}
        self.pools: dict[str, list[str]] = {}
        for worker in workers:
            self.pools.setdefault(worker.pool, []).append(worker.worker_id)
        self.use = {
            pool: PoolUse(sum(self.workers[w].slots for w in ids_of_pool))
            for pool, ids_of_pool in self.pools.items()
        }
        self.traffic = Traffic()
        self.arrivals: dict[int, _demand.Arrival] = {}
        self.finished_s: dict[int, float] = {}
        self.refusals = 0
        self.lost_s = 0.0
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        for number, entry in enumerate(self.entries):
            entry.slots.set_workers(workers)
            entry.slots.set_entries(ids)
            first_s = EXCHANGE_S * number / entry_count
            self.at(first_s, self._exchange_tick, entry)
            self.at(first_s, self._expire_tick, entry)

    def at(self, time_s: float, function: Callable, *arguments) -> None:
        """Calls `function` at a time."""
        event = (time_s, next(self.sequence), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, arrivals: list[_demand.Arrival], end_s: float) -> None:
        """Runs until `end_s`."""
        # Arrivals are many and known in advance; sorting them once is cheaper
        # than a heap of all.
        ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
        for arrival in ordered:
            self._run_events(min(arrival.at_s, end_s))
            self.now_s = arrival.at_s
            self.arrivals[arrival.number] = arrival
            item = admission.WorkItem(
                arrival.number,
                arrival.pool,
                arrival.caller,
                arrival.urgency,
                arrival.at_s + arrival.patience_s,
            )
            self._arrive(arrival, item, arrival.repeats)
        self._run_events(end_s)
        for use in self.use.values():
            use.integrate(end_s)

    def _run_events(self, end_s: float) -> None:
        events = self.events
        while events and events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(events)
            function(*arguments)

    def lose_entry(self, number: int) -> None:
        """Ends an entry; its requests are lost."""
        entry = self.entries[number]
        entry.alive = False
        self.lost_s = self.now_s
        for pool, queued in entry.queue.queued().items():
            self._change(pool, queued=-queued)
        left = [each.entry_id for each in self.entries if each.alive]
        for other in self.entries:
            if other.alive:
                self.at(
                    self.now_s + UNREACHABLE_S, other.slots.set_entries, left
                )

    def partition(self, sides: list[list[str]], end_s: float) -> None:
        """Cuts the entries into sides until `end_s`."""
        side_of = {each: n for n, side in enumerate(sides) for each in side}
        self.cut = lambda source, target: side_of[source] != side_of[target]
        for side in sides:
            for each in side:
                change = self.by_id[each].slots.set_entries
                self.at(self.now_s + UNREACHABLE_S, change, side)
                self.at(end_s + EXCHANGE_S, change, list(self.by_id))
        self.at(end_s, self._heal)

    def _heal(self) -> None:
        self.cut = lambda source, target: False

    def _change(
        self, pool: str, running: int = 0, queued: int = 0, over: int = 0
    ) -> None:
        use = self.use[pool]
        use.integrate(self.now_s)
        use.running += running
        use.queued += queued
        use.over += over

    def _arrive(
        self,
        arrival: _demand.Arrival,
        item: admission.WorkItem,
        repeats: int,
    ) -> None:
        entry = self._entry_for(arrival)
        if entry is None:
            return
        if entry.queue.admit(item, self.now_s) is None:
            self._change(arrival.pool, queued=1)
            self._dispatch(entry, arrival.pool)
            return
        self.refusals += 1
        if repeats > 0:
            again_s = self.now_s + REPEAT_S
            self.at(again_s, self._arrive, arrival, item, repeats - 1)

    def _entry_for(self, arrival: _demand.Arrival) -> Entry | None:
        """Returns where the balancer sends a request; None if it is lost."""
        entry = self.entries[arrival.entry % len(self.entries)]
        if entry.alive:
            return entry
        if self.now_s < self.lost_s + BALANCER_S:
            return None
        left = [each for each in self.entries if each.alive]
        return left[arrival.number % len(left)]

    def _dispatch(self, entry: Entry, pool: str) -> None:
        policy = entry.slots
        free = {
            worker_id: count
            for worker_id in self.pools[pool]
            if (count := policy.available(worker_id, self.now_s)) > 0
        }
        if free:
            before = entry.queue.queued().get(pool, 0)
            total = sum(free.values())
            items = entry.queue.dequeue({pool: total}, self.now_s)
            after = entry.queue.queued().get(pool, 0)
            self._change(pool, queued=after - before)
            for item in items:
                worker_id = max(free, key=lambda each: free[each])
                free[worker_id] -= 1
                policy.acquire(worker_id, self.now_s)
                self._accept(entry, worker_id, item)
        policy.set_demand(entry.queue.queued())
        for peer_id in policy.early_peers(self.now_s):
            self._exchange(entry, self.by_id[peer_id])

    def _accept(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        if worker.running < worker.slots:
            self._start(entry, worker_id, item)
        else:
            worker.waiting.append((entry, item))
            self._change(worker.pool, over=1)

    def _start(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        worker.running += 1
        self._change(worker.pool, running=1)
        service_s = self.arrivals[item.request_id].service_s
        end_s = self.now_s + service_s
        self.at(end_s, self._finish, entry, worker_id, item)

    def _finish(
        self, entry: Entry, worker_id: str, item: admission.WorkItem
    ) -> None:
        worker = self.workers[worker_id]
        worker.running -= 1
        self._change(worker.pool, running=-1)
        if worker.waiting:
            self._change(worker.pool, over=-1)
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
            self.at(self.now_s + EXCHANGE_S, self._exchange_tick, entry)
            for peer in self.entries:
                if peer is not entry:
                    self._exchange(entry, peer)

    def _exchange(self, entry: Entry, peer: Entry) -> None:
        """Exchanges payloads in both directions."""
        if not peer.alive or self.cut(entry.entry_id, peer.entry_id):
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
        self.at(self.now_s + EXPIRE_S, self._expire_tick, entry)
        before = entry.queue.queued()
        entry.queue.expire(self.now_s)
        for pool, queued in entry.queue.queued().items():
            self._change(pool, queued=queued - before[pool])
            if queued:
                self._dispatch(entry, pool)

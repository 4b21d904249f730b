"""Base class of slot policies: workers, entries and requests in progress."""

import abc
from collections.abc import Sequence
from typing import Any
import zlib

from baobabdoor import base
from baobabdoor.slots import _interface

STEP = "slots.acquire"
# Maximum number of entries in a deployment. The connections of a worker are
# divided by this number whatever entries are known, because entries of other
# zones use the worker too and a partitioned entry keeps its connections.
MAX_ENTRIES = 9

NO_SLOT = base.Refusal(base.Reason.NO_CAPACITY, STEP, detail="no slot")
NO_WORKER = base.Refusal(base.Reason.NOT_FOUND, STEP, detail="no such worker")


class BaseSlotPolicy(_interface.SlotPolicy):
    """Base class of slot policies; subclasses determine the usable slots.

    Args:
        entry_id: Identifier of this entry.
    """

    def __init__(self, entry_id: str):
        self.entry_id = entry_id
        self.workers_: dict[str, _interface.WorkerSlots] = {}
        self.pools_: list[str] = []
        self.entries_: list[str] = [entry_id]
        self.max_entries_ = MAX_ENTRIES
        self.in_use_: dict[str, int] = {}
        self.queued_: dict[str, int] = {}
        self.view_digest_ = 0
        self._update_view()

    def set_workers(self, workers: Sequence[_interface.WorkerSlots]) -> None:
        """Replaces the workers; requests in progress are still counted."""
        ordered = sorted(workers, key=lambda worker: worker.worker_id)
        changed = {worker.worker_id: worker for worker in ordered}
        if changed != self.workers_:
            self.workers_ = changed
            self.pools_ = sorted({worker.pool for worker in ordered})
            self._update_view()

    def set_entries(self, entry_ids: Sequence[str]) -> None:
        """Replaces the entries; this entry is always included."""
        changed = sorted({self.entry_id, *entry_ids})
        if changed != self.entries_:
            self.entries_ = changed
            self.max_entries_ = max(self.max_entries_, len(changed))
            self._update_view()

    def set_demand(self, queued: dict[str, int]) -> None:
        """Stores the number of queued requests for each pool."""
        self.queued_ = dict(queued)

    def available(self, worker_id: str, now_s: float) -> int:
        """Returns how many more requests may be sent to a worker."""
        if worker_id not in self.workers_:
            return 0
        usable = min(
            self.usable(worker_id, now_s), self.connection_limit(worker_id)
        )
        return max(0, usable - self.in_use_.get(worker_id, 0))

    def acquire(self, worker_id: str, now_s: float) -> base.Refusal | None:
        """Acquires a slot of a worker."""
        if worker_id not in self.workers_:
            return NO_WORKER
        if self.available(worker_id, now_s) == 0:
            return NO_SLOT
        self.in_use_[worker_id] = self.in_use_.get(worker_id, 0) + 1
        return None

    def release(self, worker_id: str, now_s: float) -> None:
        """Releases a slot, also of a worker that is no longer listed."""
        remaining = self.in_use_.get(worker_id, 0) - 1
        if remaining > 0:
            self.in_use_[worker_id] = remaining
        else:
            self.in_use_.pop(worker_id, None)

    def connection_limit(self, worker_id: str) -> int:
        """Returns an equal share of the worker's connections."""
        worker = self.workers_.get(worker_id)
        return worker.connections // self.max_entries_ if worker else 0

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns an empty payload, for policies that send nothing."""
        return {}

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Ignores the payload, for policies that need none."""

    @abc.abstractmethod
    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns how many slots of a listed worker this entry may use."""

    def demand(self) -> list[int]:
        """Returns the demand for slots by pool, in the order of `pools_`."""
        demand_by_pool = dict.fromkeys(self.pools_, 0)
        for pool, queued in self.queued_.items():
            if pool in demand_by_pool:
                demand_by_pool[pool] = queued
        for worker_id, count in self.in_use_.items():
            worker = self.workers_.get(worker_id)
            if worker is not None:
                demand_by_pool[worker.pool] += count
        return list(demand_by_pool.values())

    def view_changed(self) -> None:
        """Hook that is called after the workers or entries have changed."""

    def _update_view(self) -> None:
        workers = [f"{w.worker_id}={w.pool}" for w in self.workers_.values()]
        text = "|".join([*workers, "", *self.entries_])
        self.view_digest_ = zlib.crc32(text.encode())
        self.view_changed()


def read_counts(payload: dict[str, Any], key: str, length: int) -> list[int]:
    """Returns a list field of `length` counts; an empty list if malformed."""
    counts = payload.get(key)
    if not isinstance(counts, list) or len(counts) != length:
        return []
    if not all(type(count) is int and 0 <= count < 2**31 for count in counts):
        return []
    return counts


def read_number(payload: dict[str, Any], key: str) -> int:
    """Returns a non-negative integer field; -1 if it is malformed."""
    number = payload.get(key)
    if type(number) is int and 0 <= number < 2**53:
        return number
    return -1

"""The slot policy in force and its exchange with the entries of the zone."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from baobabdoor import base
from baobabdoor import slots

# A peer that was not heard for this long is unreachable, as in membership.
UNREACHABLE_S = 6.0


class SlotSharing(slots.SlotPolicy):
    """Delegates to the policy of the preset in force, which may change.

    Slots taken under an earlier policy count as used under the present one
    until they are given back.

    Args:
        entry_id: Identifier of the own entry.
        zone: Availability zone of the own entry.
        make_policy: Returns a new policy for a policy name and an entry.
        initial: Name of the policy until a preset is known.
    """

    def __init__(
        self,
        entry_id: str,
        zone: str,
        make_policy: Callable[[str, str], slots.SlotPolicy],
        initial: str = "static",
    ):
        self.entry_id = entry_id
        self.zone = zone
        self.make_policy = make_policy
        self.initial = initial
        self.name_ = initial
        self.policy_ = make_policy(initial, entry_id)
        self.workers_: list[slots.WorkerSlots] = []
        self.heard_: dict[str, float] = {}
        self.entries_ = [entry_id]
        self.held_: collections.Counter[str] = collections.Counter()
        self.held_before_: collections.Counter[str] = collections.Counter()

    def use(self, name: str) -> None:
        """Changes the policy if another one is in force now."""
        if name == self.name_:
            return
        self.name_ = name
        self.held_before_ += self.held_
        self.held_.clear()
        self.policy_ = self.make_policy(name, self.entry_id)
        self.policy_.set_workers(self.workers_)
        self.policy_.set_entries(self.entries_)

    def set_workers(self, workers: Sequence[slots.WorkerSlots]) -> None:
        """Replaces the workers of the zone."""
        self.workers_ = list(workers)
        self.policy_.set_workers(workers)

    def set_entries(self, entry_ids: Sequence[str]) -> None:
        """Replaces the zone's reachable entries."""
        self.entries_ = list(entry_ids)
        self.policy_.set_entries(entry_ids)

    def set_demand(self, queued: dict[str, int]) -> None:
        """Tells how many requests wait for each pool."""
        self.policy_.set_demand(queued)

    def available(self, worker_id: str, now_s: float) -> int:
        """Returns how many more requests may be sent to a worker."""
        available = self.policy_.available(worker_id, now_s)
        if not self.held_before_:
            return available
        return max(0, available - self.held_before_[worker_id])

    def acquire(self, worker_id: str, now_s: float) -> base.Refusal | None:
        """Takes a slot."""
        if self.held_before_ and not self.available(worker_id, now_s):
            return base.Refusal(base.Reason.NO_CAPACITY, "entry.slots")
        refusal = self.policy_.acquire(worker_id, now_s)
        if refusal is None:
            self.held_[worker_id] += 1
        return refusal

    def release(self, worker_id: str, now_s: float) -> None:
        """Gives a slot back, first one taken under an earlier policy."""
        if self.held_before_[worker_id]:
            self.held_before_[worker_id] -= 1
            self.held_before_ = +self.held_before_
            return
        self.held_[worker_id] -= 1
        self.policy_.release(worker_id, now_s)

    def connection_limit(self, worker_id: str) -> int:
        """Returns how many connections may be held to a worker."""
        return self.policy_.connection_limit(worker_id)

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns the payload for a peer; peers of other zones ignore it."""
        payload: dict[str, Any] = {"zone": self.zone, "policy": self.name_}
        if peer_id in self.heard_:
            payload["slots"] = self.policy_.exchange(peer_id, now_s)
        return payload

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Takes in the payload of a peer of the own zone."""
        if payload.get("zone") != self.zone:
            return
        self.heard_[peer_id] = now_s
        if peer_id not in self.entries_:
            self.expire(now_s)
        shared = payload.get("slots")
        if payload.get("policy") == self.name_ and isinstance(shared, dict):
            self.policy_.receive(peer_id, shared, now_s)

    def expire(self, now_s: float) -> None:
        """Drops peers that were not heard for long."""
        for peer_id, heard_s in list(self.heard_.items()):
            if now_s - heard_s > UNREACHABLE_S:
                del self.heard_[peer_id]
        entries = sorted({self.entry_id, *self.heard_})
        if entries != self.entries_:
            self.set_entries(entries)

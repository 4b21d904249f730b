"""Applies the active slot policy and shares slots with entries of the zone."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from baobabdoor import base
from baobabdoor import slots

# A peer whose last message is older than this is unreachable, as in membership.
PEER_TIMEOUT_S = 6.0


class SlotSharing(slots.SlotPolicy):
    """Delegates to the slot policy of the active preset, which may change.

    Slots acquired under an earlier policy count as in use under the current one
    until they are released.

    Args:
        entry_id: Identifier of this entry.
        zone: Availability zone of this entry.
        make_policy: Creates a policy from its name and the entry's identifier.
        initial_policy: Name of the policy to use until a preset is known.
    """

    def __init__(
        self,
        entry_id: str,
        zone: str,
        make_policy: Callable[[str, str], slots.SlotPolicy],
        initial_policy: str = "static",
    ):
        self.entry_id = entry_id
        self.zone = zone
        self.make_policy = make_policy
        self.initial_policy = initial_policy
        self.policy_name_ = initial_policy
        self.policy_ = make_policy(initial_policy, entry_id)
        self.workers_: list[slots.WorkerSlots] = []
        self.last_received_s_: dict[str, float] = {}
        self.entries_ = [entry_id]
        self.in_use_: collections.Counter[str] = collections.Counter()
        self.carried_over_: collections.Counter[str] = collections.Counter()

    def set_policy(self, name: str) -> None:
        """Switches to the named policy unless it is already active."""
        if name == self.policy_name_:
            return
        self.policy_name_ = name
        self.carried_over_ += self.in_use_
        self.in_use_.clear()
        self.policy_ = self.make_policy(name, self.entry_id)
        self.policy_.set_workers(self.workers_)
        self.policy_.set_entries(self.entries_)

    def set_workers(self, workers: Sequence[slots.WorkerSlots]) -> None:
        """Sets the workers of the zone."""
        self.workers_ = list(workers)
        self.policy_.set_workers(workers)

    def set_entries(self, entry_ids: Sequence[str]) -> None:
        """Sets the reachable entries of the zone."""
        self.entries_ = list(entry_ids)
        self.policy_.set_entries(entry_ids)

    def set_demand(self, queued: dict[str, int]) -> None:
        """Sets the number of queued requests for each pool."""
        self.policy_.set_demand(queued)

    def available(self, worker_id: str, now_s: float) -> int:
        """Returns how many more requests may be sent to a worker."""
        available = self.policy_.available(worker_id, now_s)
        if not self.carried_over_:
            return available
        return max(0, available - self.carried_over_[worker_id])

    def acquire(self, worker_id: str, now_s: float) -> base.Refusal | None:
        """Acquires a slot of a worker."""
        if self.carried_over_ and not self.available(worker_id, now_s):
            return base.Refusal(base.Reason.NO_CAPACITY, "entry.slots")
        refusal = self.policy_.acquire(worker_id, now_s)
        if refusal is None:
            self.in_use_[worker_id] += 1
        return refusal

    def release(self, worker_id: str, now_s: float) -> None:
        """Releases a slot, preferably one acquired under an earlier policy."""
        if self.carried_over_[worker_id]:
            self.carried_over_[worker_id] -= 1
            self.carried_over_ = +self.carried_over_
            return
        self.in_use_[worker_id] -= 1
        self.policy_.release(worker_id, now_s)

    def connection_limit(self, worker_id: str) -> int:
        """Returns the maximum number of connections to a worker."""
        return self.policy_.connection_limit(worker_id)

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns the payload for a peer; peers of other zones ignore it."""
        payload: dict[str, Any] = {
            "zone": self.zone,
            "policy": self.policy_name_,
        }
        if peer_id in self.last_received_s_:
            payload["slots"] = self.policy_.exchange(peer_id, now_s)
        return payload

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Processes the payload of a peer; ignores peers of other zones."""
        if payload.get("zone") != self.zone:
            return
        self.last_received_s_[peer_id] = now_s
        if peer_id not in self.entries_:
            self.expire(now_s)
        peer_slots = payload.get("slots")
        if payload.get("policy") == self.policy_name_ and isinstance(
            peer_slots, dict
        ):
            self.policy_.receive(peer_id, peer_slots, now_s)

    def expire(self, now_s: float) -> None:
        """Removes peers that have become unreachable."""
        for peer_id, received_s in list(self.last_received_s_.items()):
            if now_s - received_s > PEER_TIMEOUT_S:
                del self.last_received_s_[peer_id]
        entries = sorted({self.entry_id, *self.last_received_s_})
        if entries != self.entries_:
            self.set_entries(entries)

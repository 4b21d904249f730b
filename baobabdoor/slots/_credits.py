"""Slot policy in which the owner of a worker grants credits by demand."""

from typing import Any
import zlib

import attrs

from baobabdoor.slots import _base
from baobabdoor.slots import _peer_state
from baobabdoor.slots import _water_filling

# Lifetime of a credit. It covers the loss of one exchange and the delay of the
# next one; exchanges take place every second.
CREDIT_TTL_S = 3.0
# A new owner waits until all entries have reported under the new view, but no
# longer than until the old credits have expired, even in an entry that learns
# of the view up to a second later.
OWNER_WAIT_S = CREDIT_TTL_S + 1.0
# A new entry gets its first credits in its first exchanges. Until then the
# other entries may still use all slots, so it does not use its static share.
STARTUP_WAIT_S = 1.0
# Minimum interval between two allocations of the slots. An allocation for each
# payload took half of the time of an exchange.
TARGETS_INTERVAL_S = 0.1
# An entry without a response of the owner falls back to its static share this
# long after its credits expired; by then the owner has reserved that share.
FALLBACK_DELAY_S = 2.0
# Requests that an unreachable peer reported, or started under its last credits,
# may still run. The owner counts them for this long after the credits have
# expired.
EXPIRY_GRACE_S = 2.0
# Early exchanges go to at most `MAX_EARLY_PEERS` peers. Their minimum interval
# is this time multiplied by the number of entries in the zone. The regular
# exchanges also grow with that number; with 9 entries, both together stay
# within the control budget.
EARLY_EXCHANGE_S_PER_ENTRY = 0.06
MAX_EARLY_PEERS = 2


@attrs.frozen
class Credit:
    """Slots granted by the owner of a worker.

    Attributes:
        owner: Entry that granted them.
        count: Number of slots.
        expires_s: Time at which they expire on the holder's clock.
    """

    owner: str
    count: int
    expires_s: float


class Credits(_base.BaseSlotPolicy):
    """Each worker has one owning entry, which grants credits by demand.

    The owner is determined by rendezvous hashing over the entries of the zone.
    It allocates the slots of a worker max-min fairly by the demand that the
    entries reported and divides the surplus evenly, so that an idle entry can
    start requests without delay. A credit expires a fixed time after its holder
    sent the report that the owner responds to. The owner counts that time from
    the receipt of the report, so a credit always expires earlier for its
    holder.

    An entry that gets no credit in its first second uses its static share,
    which the owner reserves until the entry has confirmed credits. When a
    worker gets another owner, entries keep only as many credits as they use at
    that time.

    Payload fields: `s` sequence number of the payload, `e` number of the latest
    payload received from the peer, `v` digest of the view, which consists of
    workers and entries, `d` demand for slots by pool, `u` requests in progress
    on the peer's workers, `g` credits on the sender's workers. Lists follow the
    order of the workers' identifiers, so that identifiers need not be sent.

    Args:
        entry_id: Identifier of this entry.
    """

    def __init__(self, entry_id: str):
        self.owners_: dict[str, str] = {}
        self.pool_slots_: dict[str, int] = {}
        self.peer_states_: dict[str, _peer_state.PeerState] = {}
        self.credits_: dict[str, Credit] = {}
        self.targets_: dict[str, dict[str, int]] = {}
        self.targets_computed_s_ = float("-inf")
        self.sent_numbers_: dict[str, int] = {}
        self.sent_times_: dict[str, dict[int, float]] = {}
        self.started_s_: float | None = None
        self.previous_owners_: dict[str, str] = {}
        self.wait_until_s_: dict[str, float] = {}
        self.last_early_s_ = float("-inf")
        super().__init__(entry_id)

    def view_changed(self) -> None:
        """Determines the owners and records changes of ownership."""
        before = self.owners_
        self.owners_ = {
            worker_id: max(
                self.entries_, key=lambda entry: _score(entry, worker_id)
            )
            for worker_id in self.workers_
        }
        self.pool_slots_ = dict.fromkeys(self.pools_, 0)
        for worker in self.workers_.values():
            self.pool_slots_[worker.pool] += worker.slots
        for worker_id, owner in self.owners_.items():
            old = before.get(worker_id, owner)
            if old != owner:
                self.previous_owners_[worker_id] = old
        for peer_id, state in self.peer_states_.items():
            state.change_view(self.sent_numbers_.get(peer_id, 0))
        self.targets_ = {}

    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns the owned slots that are not granted, or the held credits."""
        self._apply_owner_changes(now_s)
        if self.owners_[worker_id] != self.entry_id:
            return self._held(worker_id, now_s)
        if self._is_waiting(worker_id, now_s):
            return self._held(worker_id, now_s)
        self._set_targets(now_s)
        remaining = self._uncommitted(worker_id, "", now_s)
        return min(remaining, self.targets_[worker_id][self.entry_id])

    def early_peers(self, now_s: float) -> list[str]:
        """Returns peers that can grant or return slots of a pool without any.

        These are the owners of the pool's workers and the peers that hold more
        credits for workers owned by this entry than they use. At most
        `MAX_EARLY_PEERS` are returned, at a limited rate, the ones with the
        oldest payload first.
        """
        period_s = EARLY_EXCHANGE_S_PER_ENTRY * len(self.entries_)
        if now_s - self.last_early_s_ < period_s:
            return []
        peers: set[str] = set()
        for pool, queued in self.queued_.items():
            known = queued and pool in self.pool_slots_
            if known and not self._any_available(pool, now_s):
                peers.update(self._peers_with_slots(pool))
        if not peers:
            return []
        self.last_early_s_ = now_s
        order = sorted(peers, key=lambda peer: (self._received_s(peer), peer))
        return order[:MAX_EARLY_PEERS]

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns a report to one peer and credits for it."""
        self._apply_owner_changes(now_s)
        self._set_targets(now_s)
        number = self.sent_numbers_.get(peer_id, 0) + 1
        self.sent_numbers_[peer_id] = number
        sent = self.sent_times_.setdefault(peer_id, {})
        sent[number] = now_s
        for old in [
            n for n, at_s in sent.items() if now_s - at_s > CREDIT_TTL_S
        ]:
            del sent[old]
        state = self.peer_states_.setdefault(peer_id, _peer_state.PeerState())
        return {
            "s": number,
            "e": max(0, state.received_number),
            "v": self.view_digest_,
            "d": self.demand(),
            "u": [
                self._reported_use(worker_id, peer_id, now_s)
                for worker_id in self._owned_by(peer_id)
            ],
            "g": self._grant(peer_id, state, number, now_s),
        }

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Processes a peer's report and credits.

        A payload made under another view is treated as lost: it is not
        confirmed, so the sender reserves the granted slots until they expire.
        """
        self._apply_owner_changes(now_s)
        number = _base.read_number(payload, "s")
        if number < 0 or payload.get("v") != self.view_digest_:
            return
        state = self.peer_states_.setdefault(peer_id, _peer_state.PeerState())
        out_of_order = number <= state.received_number
        if out_of_order:
            if now_s - state.received_s <= CREDIT_TTL_S:
                return
            # After this long, a lower number means that the peer restarted.
            state = self.peer_states_[peer_id] = _peer_state.PeerState()
            state.change_view(self.sent_numbers_.get(peer_id, 0))
        state.received_number = number
        state.received_s = now_s
        state.view = self.view_digest_
        confirmed = _base.read_number(payload, "e")
        state.confirm(confirmed)
        own = self._owned_by(self.entry_id)
        demand = _base.read_counts(payload, "d", len(self.pools_))
        in_use = _base.read_counts(payload, "u", len(own))
        state.demand = dict(zip(self.pools_, demand, strict=False))
        state.in_use = dict(zip(own, in_use, strict=False))
        self._update_credits(peer_id, payload, confirmed)

    def _update_credits(
        self, peer_id: str, payload: dict[str, Any], confirmed: int
    ) -> None:
        sent_s = self.sent_times_.get(peer_id, {}).get(confirmed)
        workers = self._owned_by(peer_id)
        counts = _base.read_counts(payload, "g", len(workers))
        if sent_s is None or not counts:
            return
        expires_s = sent_s + CREDIT_TTL_S
        for worker_id, count in zip(workers, counts, strict=True):
            self.credits_[worker_id] = Credit(peer_id, count, expires_s)

    def _held(self, worker_id: str, now_s: float) -> int:
        credit = self.credits_.get(worker_id)
        if credit is None:
            if now_s < self.started_s_ + STARTUP_WAIT_S:
                return 0
            return self._static_share(worker_id)
        if now_s < credit.expires_s:
            return credit.count
        if now_s < credit.expires_s + FALLBACK_DELAY_S:
            return 0
        return self._static_share(worker_id)

    def _static_share(self, worker_id: str) -> int:
        return self.workers_[worker_id].slots // len(self.entries_)

    def _grant(
        self,
        peer_id: str,
        state: _peer_state.PeerState,
        number: int,
        now_s: float,
    ) -> list[int]:
        """Returns the credits of one peer and records the grant."""
        counts: dict[str, int] = {}
        if now_s - state.received_s >= CREDIT_TTL_S:
            return []
        for worker_id in self._owned_by(self.entry_id):
            counts[worker_id] = 0
            if not self._is_waiting(worker_id, now_s):
                remaining = self._uncommitted(worker_id, peer_id, now_s)
                remaining -= self.in_use_.get(worker_id, 0)
                target = self.targets_[worker_id].get(peer_id, 0)
                counts[worker_id] = max(0, min(target, remaining))
        expires_s = state.received_s + CREDIT_TTL_S
        state.grants.append(_peer_state.Grant(number, counts, expires_s))
        return list(counts.values())

    def _uncommitted(self, worker_id: str, except_id: str, now_s: float) -> int:
        """Returns the slots that no peer but `except_id` may be using."""
        remaining = self.workers_[worker_id].slots
        for peer_id in {*self.entries_, *self.peer_states_}:
            if peer_id not in (self.entry_id, except_id):
                remaining -= self._committed(peer_id, worker_id, now_s)
        return max(0, remaining)

    def _committed(self, peer_id: str, worker_id: str, now_s: float) -> int:
        state = self.peer_states_.get(peer_id)
        fallback = 0
        if peer_id in self.entries_:
            fallback = self._static_share(worker_id)
        if state is None:
            return fallback
        state.expire(now_s, EXPIRY_GRACE_S)
        since_last_message_s = now_s - state.received_s
        if since_last_message_s >= CREDIT_TTL_S + EXPIRY_GRACE_S:
            return fallback
        if since_last_message_s < CREDIT_TTL_S and state.view_confirmed:
            fallback = 0
        in_use = state.in_use.get(worker_id, 0)
        return max(in_use, state.committed(worker_id), fallback)

    def _set_targets(self, now_s: float) -> None:
        """Allocates the slots of owned workers by the entries' demand."""
        if (
            self.targets_
            and now_s - self.targets_computed_s_ < TARGETS_INTERVAL_S
        ):
            return
        self.targets_computed_s_ = now_s
        demand = {
            entry: self._demand_of(entry, now_s) for entry in self.entries_
        }
        self.targets_ = {}
        for index, worker_id in enumerate(self._owned_by(self.entry_id)):
            worker = self.workers_[worker_id]
            scale = worker.slots / self.pool_slots_[worker.pool]
            shares = _water_filling.water_fill(
                worker.slots,
                [
                    demand[entry].get(worker.pool, 0) * scale
                    for entry in self.entries_
                ],
            )
            rounded = _water_filling.round_shares(shares, worker.slots, index)
            self.targets_[worker_id] = dict(
                zip(self.entries_, rounded, strict=True)
            )

    def _demand_of(self, entry_id: str, now_s: float) -> dict[str, int]:
        if entry_id == self.entry_id:
            return dict(zip(self.pools_, self.demand(), strict=True))
        state = self.peer_states_.get(entry_id)
        if state is None or now_s - state.received_s >= CREDIT_TTL_S:
            return {}
        return state.demand

    def _owned_by(self, entry_id: str) -> list[str]:
        return [
            worker_id
            for worker_id, owner in self.owners_.items()
            if owner == entry_id
        ]

    def _peers_with_slots(self, pool: str) -> set[str]:
        peers = set()
        for worker_id, worker in self.workers_.items():
            if worker.pool != pool:
                continue
            owner = self.owners_[worker_id]
            if owner != self.entry_id:
                peers.add(owner)
                continue
            for peer_id in self.entries_:
                state = self.peer_states_.get(peer_id)
                if state is not None:
                    granted = state.committed(worker_id)
                    if granted > state.in_use.get(worker_id, 0):
                        peers.add(peer_id)
        return peers

    def _received_s(self, peer_id: str) -> float:
        state = self.peer_states_.get(peer_id)
        return state.received_s if state else float("-inf")

    def _any_available(self, pool: str, now_s: float) -> bool:
        return any(
            worker.pool == pool and self.available(worker_id, now_s)
            for worker_id, worker in self.workers_.items()
        )

    def _reported_use(self, worker_id: str, owner: str, now_s: float) -> int:
        """Returns the slots possibly used without a credit of the owner."""
        used = self.in_use_.get(worker_id, 0)
        credit = self.credits_.get(worker_id)
        if credit is None or credit.owner == owner:
            return used
        return max(used, credit.count if now_s < credit.expires_s else 0)

    def _is_waiting(self, worker_id: str, now_s: float) -> bool:
        """Returns whether credits of a previous owner may still be in use."""
        until_s = self.wait_until_s_.get(worker_id)
        if until_s is None:
            return False
        reports_missing = any(
            peer_id != self.entry_id and not self._has_reported(peer_id)
            for peer_id in self.entries_
        )
        if reports_missing and now_s < until_s:
            return True
        del self.wait_until_s_[worker_id]
        return False

    def _has_reported(self, peer_id: str) -> bool:
        state = self.peer_states_.get(peer_id)
        return state is not None and state.view == self.view_digest_

    def _apply_owner_changes(self, now_s: float) -> None:
        """Applies recorded changes of ownership, which need the time."""
        if self.started_s_ is None:
            self.started_s_ = now_s
            for worker_id in self._owned_by(self.entry_id):
                self.wait_until_s_[worker_id] = now_s + OWNER_WAIT_S
        for worker_id, old in self.previous_owners_.items():
            if worker_id not in self.workers_:
                continue
            self.wait_until_s_[worker_id] = now_s + OWNER_WAIT_S
            used = self.in_use_.get(worker_id, 0)
            credit = self.credits_.get(worker_id)
            if old == self.entry_id:
                expires_s = now_s + CREDIT_TTL_S
                self.credits_[worker_id] = Credit(old, used, expires_s)
            elif credit is not None:
                count = min(credit.count, used)
                self.credits_[worker_id] = attrs.evolve(credit, count=count)
        self.previous_owners_.clear()


def _score(entry_id: str, worker_id: str) -> int:
    """Returns the score of an entry for a worker (rendezvous hashing)."""
    # CRC alone is linear, so that two entries would be ranked in the same order
    # for most workers; the multiplication mixes the bits.
    digest = zlib.crc32(f"{entry_id}/{worker_id}".encode())
    return (digest * 0x9E3779B97F4A7C15 >> 16) & 0xFFFFFFFF

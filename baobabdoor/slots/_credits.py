"""Credits for slots, lent by demand from one owner of each worker."""

from typing import Any
import zlib

import attrs

from baobabdoor.slots import _base
from baobabdoor.slots import _ledger
from baobabdoor.slots import _water_filling

# Survives the loss of one exchange of the one-second rhythm and a slow one.
CREDIT_TTL_S = 3.0
# A new owner waits until all entries have reported under the new view, or for
# the old credits and an entry that learns of the view up to a second later.
OWNER_WAIT_S = CREDIT_TTL_S + 1.0
# A new entry gets its first credits in its first exchanges. Until then the
# other entries may still use everything, so it does not use its static part.
FIRST_EXCHANGE_S = 1.0
# Slots are divided anew at most this often; once for each payload took half of
# the time of an exchange.
TARGETS_S = 0.1
# An entry that its owner does not answer falls back on the static part this
# long after its credits; by then the owner has set that part aside.
FALLBACK_S = 2.0
# Requests that a silent peer reported, or started under its last credits, may
# still run for this long after the credits have expired.
RUN_OUT_S = 2.0
# Early exchanges go to at most `EARLY_PEERS` and are this far apart for each
# entry of the zone, so that they and the regular ones, which also grow with
# the number of entries, stay within the control budget with 9 entries.
EARLY_EXCHANGE_S_PER_ENTRY = 0.06
EARLY_PEERS = 2


@attrs.frozen
class Credit:
    """Slots lent by the owner of a worker.

    Attributes:
        owner: Entry that lent them.
        count: Number of slots.
        expires_s: Time at which they expire on the holder's clock.
    """

    owner: str
    count: int
    expires_s: float


class Credits(_base.EntrySlots):
    """Each worker has one owning entry, which lends its slots by demand.

    The owner is found by rendezvous hashing over the entries of the zone. It
    divides the slots of a worker max-min by the demand that entries reported,
    and spreads what nobody wants evenly, so that an idle entry can start
    requests at once. A credit expires a fixed time after the holder sent the
    report that the owner answers; the owner counts from the receipt of that
    report, so a credit always expires earlier for its holder.

    An entry that gets no credit in its first second uses its static part,
    which the owner sets aside until the entry has confirmed credits. When a
    worker gets another owner, entries keep as credits only what they use at
    that moment.

    Payload fields: `s` number of the payload, `e` number of the latest payload
    of the receiver, `v` digest of workers and entries, `d` slots wanted in each
    pool, `u` requests in progress on the receiver's workers, `g` credits on the
    sender's workers. Lists follow the order of the workers' identifiers, so
    that identifiers need not be sent.

    Args:
        entry_id: Identifier of the own entry.
    """

    def __init__(self, entry_id: str):
        self.owners_: dict[str, str] = {}
        self.pool_slots_: dict[str, int] = {}
        self.ledgers_: dict[str, _ledger.Ledger] = {}
        self.credits_: dict[str, Credit] = {}
        self.targets_: dict[str, dict[str, int]] = {}
        self.targets_s_ = float("-inf")
        self.numbers_: dict[str, int] = {}
        self.sent_: dict[str, dict[int, float]] = {}
        self.start_s_: float | None = None
        self.moved_: dict[str, str] = {}
        self.wait_until_s_: dict[str, float] = {}
        self.early_s_ = float("-inf")
        super().__init__(entry_id)

    def view_changed(self) -> None:
        """Finds the owners again and notes which workers changed owner."""
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
                self.moved_[worker_id] = old
        for peer_id, ledger in self.ledgers_.items():
            ledger.change_view(self.numbers_.get(peer_id, 0))
        self.targets_ = {}

    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns the slots owned and not lent, or the credits held."""
        self._settle(now_s)
        if self.owners_[worker_id] != self.entry_id:
            return self._held(worker_id, now_s)
        if self._is_waiting(worker_id, now_s):
            return self._held(worker_id, now_s)
        self._set_targets(now_s)
        left = self._uncommitted(worker_id, "", now_s)
        return min(left, self.targets_[worker_id][self.entry_id])

    def early_peers(self, now_s: float) -> list[str]:
        """Returns who can lend or give back slots of a pool that has none.

        These are the owners of the pool's workers and the peers that hold more
        credits of the own workers than they want. At most `EARLY_PEERS` are
        named at a limited rate, the ones not heard for longest.
        """
        period_s = EARLY_EXCHANGE_S_PER_ENTRY * len(self.entries_)
        if now_s - self.early_s_ < period_s:
            return []
        peers: set[str] = set()
        for pool, queued in self.queued_.items():
            known = queued and pool in self.pool_slots_
            if known and not self._any_available(pool, now_s):
                peers.update(self._lenders(pool))
        if not peers:
            return []
        self.early_s_ = now_s
        order = sorted(peers, key=lambda peer: (self._heard_s(peer), peer))
        return order[:EARLY_PEERS]

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns a report to, and credits for, one peer."""
        self._settle(now_s)
        self._set_targets(now_s)
        number = self.numbers_.get(peer_id, 0) + 1
        self.numbers_[peer_id] = number
        sent = self.sent_.setdefault(peer_id, {})
        sent[number] = now_s
        for old in [
            n for n, at_s in sent.items() if now_s - at_s > CREDIT_TTL_S
        ]:
            del sent[old]
        ledger = self.ledgers_.setdefault(peer_id, _ledger.Ledger())
        return {
            "s": number,
            "e": max(0, ledger.heard_number),
            "v": self.view_digest_,
            "d": self.demand(),
            "u": [
                self._reported(worker_id, peer_id, now_s)
                for worker_id in self._owned_by(peer_id)
            ],
            "g": self._grant(peer_id, ledger, number, now_s),
        }

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Takes in a peer's report and credits.

        A payload made under another view counts as lost: it is not confirmed,
        so the sender keeps what it granted reserved until it expires.
        """
        self._settle(now_s)
        number = _base.read_number(payload, "s")
        if number < 0 or payload.get("v") != self.view_digest_:
            return
        ledger = self.ledgers_.setdefault(peer_id, _ledger.Ledger())
        overtaken = number <= ledger.heard_number
        if overtaken:
            if now_s - ledger.heard_s <= CREDIT_TTL_S:
                return
            # After this silence, a lower number means that it has restarted.
            ledger = self.ledgers_[peer_id] = _ledger.Ledger()
            ledger.change_view(self.numbers_.get(peer_id, 0))
        ledger.heard_number = number
        ledger.heard_s = now_s
        ledger.view = self.view_digest_
        confirmed = _base.read_number(payload, "e")
        ledger.confirm(confirmed)
        own = self._owned_by(self.entry_id)
        wanted = _base.read_counts(payload, "d", len(self.pools_))
        in_use = _base.read_counts(payload, "u", len(own))
        ledger.wanted = dict(zip(self.pools_, wanted, strict=False))
        ledger.in_use = dict(zip(own, in_use, strict=False))
        self._take_credits(peer_id, payload, confirmed)

    def _take_credits(
        self, peer_id: str, payload: dict[str, Any], confirmed: int
    ) -> None:
        sent_s = self.sent_.get(peer_id, {}).get(confirmed)
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
            if now_s < self.start_s_ + FIRST_EXCHANGE_S:
                return 0
            return self._static_part(worker_id)
        if now_s < credit.expires_s:
            return credit.count
        if now_s < credit.expires_s + FALLBACK_S:
            return 0
        return self._static_part(worker_id)

    def _static_part(self, worker_id: str) -> int:
        return self.workers_[worker_id].slots // len(self.entries_)

    def _grant(
        self, peer_id: str, ledger: _ledger.Ledger, number: int, now_s: float
    ) -> list[int]:
        """Decides on the credits of one peer and notes the promise."""
        counts: dict[str, int] = {}
        if now_s - ledger.heard_s >= CREDIT_TTL_S:
            return []
        for worker_id in self._owned_by(self.entry_id):
            counts[worker_id] = 0
            if not self._is_waiting(worker_id, now_s):
                left = self._uncommitted(worker_id, peer_id, now_s)
                left -= self.in_use_.get(worker_id, 0)
                target = self.targets_[worker_id].get(peer_id, 0)
                counts[worker_id] = max(0, min(target, left))
        expires_s = ledger.heard_s + CREDIT_TTL_S
        ledger.promises.append(_ledger.Promise(number, counts, expires_s))
        return list(counts.values())

    def _uncommitted(self, worker_id: str, except_id: str, now_s: float) -> int:
        """Returns the slots that no peer but `except_id` may be using."""
        left = self.workers_[worker_id].slots
        for peer_id in {*self.entries_, *self.ledgers_}:
            if peer_id not in (self.entry_id, except_id):
                left -= self._committed(peer_id, worker_id, now_s)
        return max(0, left)

    def _committed(self, peer_id: str, worker_id: str, now_s: float) -> int:
        ledger = self.ledgers_.get(peer_id)
        fallback = 0
        if peer_id in self.entries_:
            fallback = self._static_part(worker_id)
        if ledger is None:
            return fallback
        ledger.expire(now_s, RUN_OUT_S)
        silent_s = now_s - ledger.heard_s
        if silent_s >= CREDIT_TTL_S + RUN_OUT_S:
            return fallback
        if silent_s < CREDIT_TTL_S and ledger.settled:
            fallback = 0
        in_use = ledger.in_use.get(worker_id, 0)
        return max(in_use, ledger.committed(worker_id), fallback)

    def _set_targets(self, now_s: float) -> None:
        """Divides the slots of the own workers by the demand of the entries."""
        if self.targets_ and now_s - self.targets_s_ < TARGETS_S:
            return
        self.targets_s_ = now_s
        wanted = {entry: self._wanted(entry, now_s) for entry in self.entries_}
        self.targets_ = {}
        for index, worker_id in enumerate(self._owned_by(self.entry_id)):
            worker = self.workers_[worker_id]
            scale = worker.slots / self.pool_slots_[worker.pool]
            parts = _water_filling.water_fill(
                worker.slots,
                [
                    wanted[entry].get(worker.pool, 0) * scale
                    for entry in self.entries_
                ],
            )
            whole = _water_filling.round_parts(parts, worker.slots, index)
            self.targets_[worker_id] = dict(
                zip(self.entries_, whole, strict=True)
            )

    def _wanted(self, entry_id: str, now_s: float) -> dict[str, int]:
        if entry_id == self.entry_id:
            return dict(zip(self.pools_, self.demand(), strict=True))
        ledger = self.ledgers_.get(entry_id)
        if ledger is None or now_s - ledger.heard_s >= CREDIT_TTL_S:
            return {}
        return ledger.wanted

    def _owned_by(self, entry_id: str) -> list[str]:
        return [
            worker_id
            for worker_id, owner in self.owners_.items()
            if owner == entry_id
        ]

    def _lenders(self, pool: str) -> set[str]:
        peers = set()
        for worker_id, worker in self.workers_.items():
            if worker.pool != pool:
                continue
            owner = self.owners_[worker_id]
            if owner != self.entry_id:
                peers.add(owner)
                continue
            for peer_id in self.entries_:
                ledger = self.ledgers_.get(peer_id)
                if ledger is not None:
                    lent = ledger.committed(worker_id)
                    if lent > ledger.in_use.get(worker_id, 0):
                        peers.add(peer_id)
        return peers

    def _heard_s(self, peer_id: str) -> float:
        ledger = self.ledgers_.get(peer_id)
        return ledger.heard_s if ledger else float("-inf")

    def _any_available(self, pool: str, now_s: float) -> bool:
        return any(
            worker.pool == pool and self.available(worker_id, now_s)
            for worker_id, worker in self.workers_.items()
        )

    def _reported(self, worker_id: str, owner: str, now_s: float) -> int:
        """Returns what may be used of a worker without the owner's credit."""
        used = self.in_use_.get(worker_id, 0)
        credit = self.credits_.get(worker_id)
        if credit is None or credit.owner == owner:
            return used
        return max(used, credit.count if now_s < credit.expires_s else 0)

    def _is_waiting(self, worker_id: str, now_s: float) -> bool:
        """Returns whether old credits of a worker may still be in use."""
        until_s = self.wait_until_s_.get(worker_id)
        if until_s is None:
            return False
        unheard = any(
            peer_id != self.entry_id and not self._has_reported(peer_id)
            for peer_id in self.entries_
        )
        if unheard and now_s < until_s:
            return True
        del self.wait_until_s_[worker_id]
        return False

    def _has_reported(self, peer_id: str) -> bool:
        ledger = self.ledgers_.get(peer_id)
        return ledger is not None and ledger.view == self.view_digest_

    def _settle(self, now_s: float) -> None:
        """Acts on workers that changed owner, now that the time is known."""
        if self.start_s_ is None:
            self.start_s_ = now_s
            for worker_id in self._owned_by(self.entry_id):
                self.wait_until_s_[worker_id] = now_s + OWNER_WAIT_S
        for worker_id, old in self.moved_.items():
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
        self.moved_.clear()


def _score(entry_id: str, worker_id: str) -> int:
    """Returns the rank of an entry for a worker (rendezvous hashing)."""
    # CRC alone is linear, so two entries would be ranked alike for most
    # workers; the multiplication mixes the bits.
    digest = zlib.crc32(f"{entry_id}/{worker_id}".encode())
    return (digest * 0x9E3779B97F4A7C15 >> 16) & 0xFFFFFFFF

"""Claims on callers' own keys, durable in the platform's table."""

import asyncio
import collections
from collections.abc import Sequence
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import requests
from baobabdoor.idempotency import _stored

STEP = "idempotency.claim"
# Requests that arrive within this time share one write.
GROUP_S = 0.02
MAX_GROUP = 64
# Unknown results of one group before its requests are refused.
MAX_ROUNDS = 4
RETRY_S = 0.1
ABANDON_RETRY_S = 2.0
# Outcomes not written by then stay unknown to repeats.
STOP_S = 3.0
# After a minute the row stays claimed, which answers `unknown` to repeats.
MAX_ABANDON_ROUNDS = 30
# Larger answers are not stored in the table.
MAX_STORED_BODY = 16_384
# Keys remembered, about 250 bytes each.
MAX_KNOWN = 4096

CLAIMED = "claimed"
DONE = "done"
UNKNOWN = "unknown"
ABANDONED = "abandoned"


@attrs.frozen
class Claim:
    """A key that this entry has claimed; the request may be sent once.

    Attributes:
        row_key: Key of the claim row.
        version: Version of the row with which it was claimed.
        value: Value of the row.
    """

    row_key: str
    version: int
    value: dict[str, Any]


Begun = Claim | requests.Response | requests.Failure


@attrs.define(eq=False)
class _Pending:
    """A claim that is not yet settled with the table.

    Attributes:
        row_key: Key of the claim row.
        value: Value to write.
        version: Version that the row is expected to have.
        begun: Gives the result to the request.
    """

    row_key: str
    value: dict[str, Any]
    begun: asyncio.Future
    version: int = 0

    def resolve(self, result: Begun) -> None:
        if not self.begun.done():
            self.begun.set_result(result)


@attrs.frozen
class _Update:
    """A claim's row and the value that replaces its present one."""

    claim: Claim
    value: dict[str, Any]

    @property
    def condition(self) -> fleet_api.Condition:
        return fleet_api.Condition(self.claim.row_key, self.claim.version)

    @property
    def write(self) -> fleet_api.Write:
        return fleet_api.Write(self.claim.row_key, self.value)


class Claims:
    """Claims keys in groups and stores the outcomes of their requests.

    A key is claimed once a transaction conditional on the row's absence has
    certainly been applied. Until then nothing is sent. A claim that is given
    up is never used, even if its write takes effect later.

    Args:
        service: The platform.
        timers: Timer service.
        entry_id: Identifier of the entry.
        incarnation: Incarnation of the entry's process.
    """

    def __init__(
        self,
        service: fleet_api.Platform,
        timers: base.TimerService,
        entry_id: str,
        incarnation: str,
    ):
        self.service = service
        self.timers = timers
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.sequence_ = 0
        self.in_progress_: dict[str, str] = {}
        # Keys known to be claimed, the latest last; for `started` only.
        self.known_: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.pending_: list[_Pending] = []
        self.updates_: list[_Update] = []
        self.tasks_: set[asyncio.Task] = set()

    def started(self, caller: str, key: str) -> bool:
        """Returns whether this entry knows that a key was claimed before."""
        return f"claim/{caller}/{key}" in self.known_

    async def begin(self, caller: str, key: str, fingerprint: str) -> Begun:
        """Claims a key, or returns the result of its first request."""
        row_key = f"claim/{caller}/{key}"
        claimed = self.in_progress_.get(row_key)
        if claimed is not None:
            return self._in_use(claimed == fingerprint, self.entry_id)
        self.in_progress_[row_key] = fingerprint
        pending = _Pending(
            row_key,
            self._value(fingerprint),
            asyncio.get_running_loop().create_future(),
        )
        if not self.pending_:
            self.timers.call_later(GROUP_S, self._flush_claims)
        self.pending_.append(pending)
        if len(self.pending_) >= MAX_GROUP:
            self._flush_claims()
        begun = await asyncio.shield(pending.begun)
        if not isinstance(begun, Claim):
            self.in_progress_.pop(row_key, None)
        return begun

    def settle(
        self, claim: Claim, result: requests.Response | requests.Failure
    ) -> None:
        """Stores the outcome; a request that was not run frees the key."""
        self.in_progress_.pop(claim.row_key, None)
        if result.outcome is not requests.Outcome.NOT_RUN:
            self._know(claim.row_key)
        if not self.updates_:
            self.timers.call_later(GROUP_S, self._flush_updates)
        self.updates_.append(_Update(claim, self._settled(claim, result)))
        if len(self.updates_) >= MAX_GROUP:
            self._flush_updates()

    async def stop(self) -> None:
        """Writes what is still to be written."""
        self._flush_claims()
        self._flush_updates()
        while self.tasks_:
            await asyncio.wait(self.tasks_, timeout=STOP_S)
            for task in list(self.tasks_):
                task.cancel()
            await asyncio.sleep(0)

    def _know(self, row_key: str) -> None:
        self.known_[row_key] = None
        if len(self.known_) > MAX_KNOWN:
            self.known_.popitem(last=False)

    def _value(self, fingerprint: str) -> dict[str, Any]:
        self.sequence_ += 1
        return {
            "fingerprint": fingerprint,
            "entry": self.entry_id,
            "incarnation": self.incarnation,
            "state": CLAIMED,
            "outcome": None,
            # Tells an own write whose answer was lost from another entry's.
            "transaction": f"{self.entry_id}.{self.incarnation}"
            f".{self.sequence_}",
        }

    def _settled(
        self, claim: Claim, result: requests.Response | requests.Failure
    ) -> dict[str, Any]:
        if result.outcome is requests.Outcome.NOT_RUN:
            return {**claim.value, "state": ABANDONED}
        if result.outcome is requests.Outcome.UNKNOWN:
            return {**claim.value, "state": UNKNOWN}
        if len(result.body) > MAX_STORED_BODY:
            return {**claim.value, "state": DONE}
        outcome = _stored.to_json(result)
        return {**claim.value, "state": DONE, "outcome": outcome}

    def _flush_claims(self) -> None:
        group, self.pending_ = self.pending_, []
        if group:
            self._spawn(self._commit(group))

    def _flush_updates(self) -> None:
        group, self.updates_ = self.updates_, []
        if group:
            self._spawn(self._update(group))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _commit(self, group: list[_Pending]) -> None:
        waiting = group
        may_apply = False
        try:
            for _ in range(MAX_ROUNDS):
                result = await self._claim(waiting)
                if isinstance(result, fleet_api.Committed):
                    self._committed(waiting, result)
                    return
                if isinstance(result, fleet_api.Conflict):
                    remaining = await self._sort(waiting)
                    # The row in the way never returns to its old version, so
                    # earlier unknown writes of this group cannot apply now.
                    may_apply = may_apply and remaining is None
                    waiting = waiting if remaining is None else remaining
                elif isinstance(result, fleet_api.Unknown):
                    may_apply = True
                elif not may_apply:
                    break
                if not waiting:
                    return
                if may_apply:
                    await self._sleep(RETRY_S)
        finally:
            self._give_up(waiting, may_apply)

    async def _claim(
        self, group: Sequence[_Pending]
    ) -> fleet_api.TransactionResult:
        return await self.service.transact(
            [fleet_api.Condition(p.row_key, p.version) for p in group],
            [fleet_api.Write(p.row_key, p.value) for p in group],
        )

    def _committed(
        self, group: Sequence[_Pending], committed: fleet_api.Committed
    ) -> None:
        for pending in group:
            version = committed.versions[pending.row_key]
            claim = Claim(pending.row_key, version, pending.value)
            pending.resolve(claim)

    async def _sort(self, group: list[_Pending]) -> list[_Pending] | None:
        """Resolves what the table decides; returns those still to claim."""
        rows = await self.service.read([p.row_key for p in group])
        if isinstance(rows, base.Refusal):
            return None
        remaining = []
        for pending in group:
            row = rows[pending.row_key]
            if row.value is None or row.value["state"] == ABANDONED:
                pending.version = row.version
                remaining.append(pending)
            elif row.value["transaction"] == pending.value["transaction"]:
                pending.resolve(Claim(row.key, row.version, row.value))
            else:
                pending.resolve(self._existing(pending, row.value))
        return remaining

    def _existing(
        self, pending: _Pending, value: dict[str, Any]
    ) -> requests.Response | requests.Failure:
        self._know(pending.row_key)
        same = value["fingerprint"] == pending.value["fingerprint"]
        if not same or value["state"] == CLAIMED:
            return self._in_use(same, value["entry"])
        if value["state"] == DONE and value["outcome"] is not None:
            return _stored.from_json(value["outcome"])
        detail = (
            "the request ran; its answer was too large to store"
            if value["state"] == DONE
            else "the result of the first request is unknown"
        )
        return _stored.unknown(
            base.Reason.UNKNOWN_RESULT, detail, value["entry"], STEP
        )

    def _in_use(self, same: bool, entry_id: str) -> requests.Failure:
        if not same:
            return _stored.not_run(base.Reason.FINGERPRINT_MISMATCH, step=STEP)
        detail = "the first request with this key may be in progress"
        return _stored.unknown(base.Reason.KEY_IN_USE, detail, entry_id, STEP)

    def _give_up(self, group: Sequence[_Pending], may_apply: bool) -> None:
        unresolved = [p for p in group if not p.begun.done()]
        for pending in unresolved:
            # Nothing was sent to a backend server, and nothing will be.
            pending.resolve(
                _stored.not_run(base.Reason.PLATFORM_UNAVAILABLE, step=STEP)
            )
        if unresolved and may_apply:
            self._spawn(self._abandon(unresolved))

    async def _abandon(self, group: Sequence[_Pending]) -> None:
        """Replaces claims that may have been written, or may yet be."""
        for _ in range(MAX_ABANDON_ROUNDS):
            await self._sleep(ABANDON_RETRY_S)
            rows = await self.service.read([p.row_key for p in group])
            if isinstance(rows, base.Refusal):
                continue
            updates = [
                update
                for pending in group
                if (update := self._abandonment(pending, rows)) is not None
            ]
            if not updates or await self._apply(updates):
                return

    def _abandonment(
        self, pending: _Pending, rows: dict[str, fleet_api.Row]
    ) -> _Update | None:
        row = rows[pending.row_key]
        if row.version != pending.version:
            ours = pending.value["transaction"]
            if row.value is None or row.value["transaction"] != ours:
                # The late write's condition can never hold any more.
                return None
            if row.value["state"] != CLAIMED:
                return None
        claim = Claim(row.key, row.version, pending.value)
        return _Update(claim, {**pending.value, "state": ABANDONED})

    async def _update(self, group: list[_Update]) -> None:
        for _ in range(MAX_ROUNDS):
            if await self._apply(group):
                return
            await self._sleep(RETRY_S)

    async def _apply(self, updates: Sequence[_Update]) -> bool:
        """Writes updates; returns whether there is nothing left to write."""
        result = await self.service.transact(
            [update.condition for update in updates],
            [update.write for update in updates],
        )
        if isinstance(result, fleet_api.Conflict) and len(updates) > 1:
            # One row was changed meanwhile; the others must not wait for it.
            results = [await self._apply([update]) for update in updates]
            return all(results)
        return isinstance(result, fleet_api.Committed | fleet_api.Conflict)

    async def _sleep(self, delay_s: float) -> None:
        passed = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not passed.done():
                passed.set_result(None)

        self.timers.call_later(delay_s, wake)
        await passed

"""Claims on idempotency keys of callers, durable in the platform's table."""

import asyncio
import collections
from collections.abc import Sequence
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import requests
from baobabdoor.idempotency import _results

STEP = "idempotency.claim"
# Claims that arrive within this time are written in one transaction.
BATCH_DELAY_S = 0.02
MAX_BATCH = 64
# Attempts to write a batch. Claims that are then unresolved are refused.
MAX_ATTEMPTS = 4
RETRY_S = 0.1
ABANDON_RETRY_S = 2.0
# Outcomes that are not written within this time after a stop remain unknown to
# repeated requests.
STOP_TIMEOUT_S = 3.0
# After these attempts, which take a minute, the row stays claimed, so that
# repeated requests get the outcome `unknown`.
MAX_ABANDON_ATTEMPTS = 30
# Larger response bodies are not stored in the table.
MAX_STORED_BODY_BYTES = 16_384
# Maximum number of known keys, which take about 250 bytes each.
MAX_KNOWN_KEYS = 4096

CLAIMED = "claimed"
DONE = "done"
UNKNOWN = "unknown"
ABANDONED = "abandoned"


@attrs.frozen
class Claim:
    """A key that this entry has claimed; its request may be sent once.

    Attributes:
        row_key: Key of the claim row.
        version: Version of the row after the claim was written.
        value: Value of the row.
    """

    row_key: str
    version: int
    value: dict[str, Any]


BeginResult = Claim | requests.Response | requests.Failure


@attrs.define(eq=False)
class _PendingClaim:
    """A claim that is not yet known to be applied or rejected.

    Attributes:
        row_key: Key of the claim row.
        value: Value to write.
        version: Expected version of the row before the write.
        future: Result of the claim, for the request that waits for it.
    """

    row_key: str
    value: dict[str, Any]
    future: asyncio.Future
    version: int = 0

    def resolve(self, result: BeginResult) -> None:
        if not self.future.done():
            self.future.set_result(result)


@attrs.frozen
class _Update:
    """A claim and the value that replaces the present value of its row."""

    claim: Claim
    value: dict[str, Any]

    @property
    def condition(self) -> fleet_api.Condition:
        return fleet_api.Condition(self.claim.row_key, self.claim.version)

    @property
    def write(self) -> fleet_api.Write:
        return fleet_api.Write(self.claim.row_key, self.value)


class Claims:
    """Claims keys in batches and stores the outcomes of their requests.

    A key is claimed once a transaction that is conditional on the absence of
    the row is known to be applied. Until then the request is not sent. An
    abandoned claim is never used, even if its write takes effect later.

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
        # Keys known to be claimed, latest last; only used by `started`.
        self.known_keys_: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.pending_: list[_PendingClaim] = []
        self.updates_: list[_Update] = []
        self.tasks_: set[asyncio.Task] = set()

    def started(self, caller: str, key: str) -> bool:
        """Returns whether this entry has seen an earlier claim on a key."""
        return f"claim/{caller}/{key}" in self.known_keys_

    async def begin(
        self, caller: str, key: str, fingerprint: str
    ) -> BeginResult:
        """Claims a key or returns the result of the first request with it."""
        row_key = f"claim/{caller}/{key}"
        claimed = self.in_progress_.get(row_key)
        if claimed is not None:
            return self._in_use(claimed == fingerprint, self.entry_id)
        self.in_progress_[row_key] = fingerprint
        pending = _PendingClaim(
            row_key,
            self._claim_value(fingerprint),
            asyncio.get_running_loop().create_future(),
        )
        if not self.pending_:
            self.timers.call_later(BATCH_DELAY_S, self._flush_claims)
        self.pending_.append(pending)
        if len(self.pending_) >= MAX_BATCH:
            self._flush_claims()
        result = await asyncio.shield(pending.future)
        if not isinstance(result, Claim):
            self.in_progress_.pop(row_key, None)
        return result

    def finish(
        self, claim: Claim, result: requests.Response | requests.Failure
    ) -> None:
        """Stores the outcome; releases the key if the request was not run."""
        self.in_progress_.pop(claim.row_key, None)
        if result.outcome is not requests.Outcome.NOT_RUN:
            self._add_known_key(claim.row_key)
        if not self.updates_:
            self.timers.call_later(BATCH_DELAY_S, self._flush_updates)
        self.updates_.append(_Update(claim, self._final_value(claim, result)))
        if len(self.updates_) >= MAX_BATCH:
            self._flush_updates()

    async def stop(self) -> None:
        """Writes the pending claims and outcomes."""
        self._flush_claims()
        self._flush_updates()
        while self.tasks_:
            await asyncio.wait(self.tasks_, timeout=STOP_TIMEOUT_S)
            for task in list(self.tasks_):
                task.cancel()
            await asyncio.sleep(0)

    def _add_known_key(self, row_key: str) -> None:
        self.known_keys_[row_key] = None
        if len(self.known_keys_) > MAX_KNOWN_KEYS:
            self.known_keys_.popitem(last=False)

    def _claim_value(self, fingerprint: str) -> dict[str, Any]:
        self.sequence_ += 1
        return {
            "fingerprint": fingerprint,
            "entry": self.entry_id,
            "incarnation": self.incarnation,
            "state": CLAIMED,
            "outcome": None,
            # Distinguishes a write of this entry whose response was lost from
            # a write of another entry.
            "transaction": f"{self.entry_id}.{self.incarnation}"
            f".{self.sequence_}",
        }

    def _final_value(
        self, claim: Claim, result: requests.Response | requests.Failure
    ) -> dict[str, Any]:
        if result.outcome is requests.Outcome.NOT_RUN:
            return {**claim.value, "state": ABANDONED}
        if result.outcome is requests.Outcome.UNKNOWN:
            return {**claim.value, "state": UNKNOWN}
        if len(result.body) > MAX_STORED_BODY_BYTES:
            return {**claim.value, "state": DONE}
        outcome = _results.to_json(result)
        return {**claim.value, "state": DONE, "outcome": outcome}

    def _flush_claims(self) -> None:
        batch, self.pending_ = self.pending_, []
        if batch:
            self._spawn(self._commit_claims(batch))

    def _flush_updates(self) -> None:
        batch, self.updates_ = self.updates_, []
        if batch:
            self._spawn(self._write_updates(batch))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _commit_claims(self, batch: list[_PendingClaim]) -> None:
        waiting = batch
        may_apply = False
        try:
            for _ in range(MAX_ATTEMPTS):
                result = await self._write_claims(waiting)
                if isinstance(result, fleet_api.Committed):
                    self._resolve_committed(waiting, result)
                    return
                if isinstance(result, fleet_api.Conflict):
                    remaining = await self._resolve_conflict(waiting)
                    # The conflicting row never returns to its old version, so
                    # earlier unknown writes of this batch can no longer apply.
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
            self._refuse_unresolved(waiting, may_apply)

    async def _write_claims(
        self, batch: Sequence[_PendingClaim]
    ) -> fleet_api.TransactionResult:
        return await self.service.transact(
            [fleet_api.Condition(p.row_key, p.version) for p in batch],
            [fleet_api.Write(p.row_key, p.value) for p in batch],
        )

    def _resolve_committed(
        self, batch: Sequence[_PendingClaim], committed: fleet_api.Committed
    ) -> None:
        for pending in batch:
            version = committed.versions[pending.row_key]
            claim = Claim(pending.row_key, version, pending.value)
            pending.resolve(claim)

    async def _resolve_conflict(
        self, batch: list[_PendingClaim]
    ) -> list[_PendingClaim] | None:
        """Resolves claims by the rows; returns those still to be written."""
        rows = await self.service.read([p.row_key for p in batch])
        if isinstance(rows, base.Refusal):
            return None
        remaining = []
        for pending in batch:
            row = rows[pending.row_key]
            if row.value is None or row.value["state"] == ABANDONED:
                pending.version = row.version
                remaining.append(pending)
            elif row.value["transaction"] == pending.value["transaction"]:
                pending.resolve(Claim(row.key, row.version, row.value))
            else:
                pending.resolve(self._existing_result(pending, row.value))
        return remaining

    def _existing_result(
        self, pending: _PendingClaim, value: dict[str, Any]
    ) -> requests.Response | requests.Failure:
        self._add_known_key(pending.row_key)
        same_request = value["fingerprint"] == pending.value["fingerprint"]
        if not same_request or value["state"] == CLAIMED:
            return self._in_use(same_request, value["entry"])
        if value["state"] == DONE and value["outcome"] is not None:
            return _results.from_json(value["outcome"])
        detail = (
            "the request ran; its answer was too large to store"
            if value["state"] == DONE
            else "the result of the first request is unknown"
        )
        return _results.unknown(
            base.Reason.UNKNOWN_RESULT, detail, value["entry"], STEP
        )

    def _in_use(self, same_request: bool, entry_id: str) -> requests.Failure:
        if not same_request:
            return _results.not_run(base.Reason.FINGERPRINT_MISMATCH, step=STEP)
        detail = "the first request with this key may be in progress"
        return _results.unknown(base.Reason.KEY_IN_USE, detail, entry_id, STEP)

    def _refuse_unresolved(
        self, batch: Sequence[_PendingClaim], may_apply: bool
    ) -> None:
        unresolved = [p for p in batch if not p.future.done()]
        for pending in unresolved:
            # The request was not sent to a backend server and never will be.
            pending.resolve(
                _results.not_run(base.Reason.PLATFORM_UNAVAILABLE, step=STEP)
            )
        if unresolved and may_apply:
            self._spawn(self._abandon(unresolved))

    async def _abandon(self, batch: Sequence[_PendingClaim]) -> None:
        """Replaces claims whose writes may have been or may yet be applied."""
        for _ in range(MAX_ABANDON_ATTEMPTS):
            await self._sleep(ABANDON_RETRY_S)
            rows = await self.service.read([p.row_key for p in batch])
            if isinstance(rows, base.Refusal):
                continue
            updates = [
                update
                for pending in batch
                if (update := self._abandon_update(pending, rows)) is not None
            ]
            if not updates or await self._try_write(updates):
                return

    def _abandon_update(
        self, pending: _PendingClaim, rows: dict[str, fleet_api.Row]
    ) -> _Update | None:
        row = rows[pending.row_key]
        if row.version != pending.version:
            own_transaction = pending.value["transaction"]
            if row.value is None or row.value["transaction"] != own_transaction:
                # The condition of a delayed write can no longer be met.
                return None
            if row.value["state"] != CLAIMED:
                return None
        claim = Claim(row.key, row.version, pending.value)
        return _Update(claim, {**pending.value, "state": ABANDONED})

    async def _write_updates(self, batch: list[_Update]) -> None:
        for _ in range(MAX_ATTEMPTS):
            if await self._try_write(batch):
                return
            await self._sleep(RETRY_S)

    async def _try_write(self, updates: Sequence[_Update]) -> bool:
        """Writes updates; returns whether none needs another attempt."""
        result = await self.service.transact(
            [update.condition for update in updates],
            [update.write for update in updates],
        )
        if isinstance(result, fleet_api.Conflict) and len(updates) > 1:
            # One row has changed; it must not prevent the others from being
            # written.
            results = [await self._try_write([update]) for update in updates]
            return all(results)
        return isinstance(result, fleet_api.Committed | fleet_api.Conflict)

    async def _sleep(self, delay_s: float) -> None:
        passed = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not passed.done():
                passed.set_result(None)

        self.timers.call_later(delay_s, wake)
        await passed

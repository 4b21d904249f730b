"""Group commits: writes the changes of a leader's term to the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import json
import zlib

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _learned_turns
from baobabdoor.dispatch import _release
from baobabdoor.dispatch import _transactions

JOBS_TABLE = "jobs"
ROSTER_TABLE = "roster"
# The roster is sharded over this many rows, so that a change of one worker
# rewrites few others. With 3,500 workers of about 90 bytes each, a row stays
# far below the store's limit of 64 KB.
ROSTER_SHARDS = 16
WAVES_TABLE = "waves"
# Maximum entries of one transaction according to the platform's documentation.
# Each written row counts twice, because it is also listed as expected.
MAX_TRANSACTION_ENTRIES = 100
# Entries of the leader's row, the heartbeat, and the row of the sequence, which
# is both written and expected.
RESERVED_ENTRIES = 4
# Maximum bytes of documents in one transaction. In base64, with the rows of
# jobs, they stay below the megabyte that a transaction may have.
MAX_DOCUMENT_BYTES = 250_000
# Delay before a write, so that more changes are batched into it.
BATCH_DELAY_S = 0.015
# Bounds of the time after which an unanswered transaction is looked up in the
# store. Within them it adapts to the latency of recent transactions.
MIN_TIMEOUT_S = 0.3
MAX_TIMEOUT_S = 1.0
# Smoothing factor of the moving average of transaction latency, and its
# initial value.
LATENCY_SMOOTHING = 0.2
INITIAL_LATENCY_S = 0.02
# Transactions are abandoned after this time, which is shorter than the time
# for which a leader may start runs after its last heartbeat.
TRANSACTION_TIMEOUT_S = 1.5
# A check that takes longer indicates a slow store that may still answer.
FAST_CHECK_S = 0.1
RETRY_DELAY_S = 0.1
LOG = observability.get_logger("commits")


class Committer:
    """Commits jobs, wave plans, the roster of workers and the heartbeat.

    All rows are in one part of the store, and every transaction requires that
    the leader's row is unchanged. So nothing is written after the term ended.

    Args:
        store: The store.
        leader: Leader record of this term.
        scheduler: Provides the changes to write.
        confirmed_s: Time of the last confirmed heartbeat of the term.
        on_lost: Called with the reason when the term has ended.
        metrics: Receives the latency of transactions.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        leader: _election.Leader,
        scheduler: scheduling.Scheduler,
        confirmed_s: float,
        on_lost: Callable[[str], None],
        metrics: observability.Metrics,
    ):
        self.store = store
        self.leader = leader
        self.scheduler = scheduler
        self.confirmed_s = confirmed_s
        self.on_lost = on_lost
        self.metrics = metrics
        self.roster: dict[str, _transactions.Document] = {}
        # Entries of the last confirmed roster, by row and by worker.
        self.roster_entries: dict[str, dict[str, tuple]] = {}
        # Transaction that awaits its answer.
        self.writing: _transactions.Transaction | None = None
        self.waves: dict[int, _transactions.Document] = {}
        self.learned_turns = _learned_turns.LearnedTurns(store, scheduler)
        self.write_requested = asyncio.Event()
        self.committed = asyncio.Event()
        self.timeout_s = MIN_TIMEOUT_S
        self.adaptive_timeout = transport.AdaptiveTimeout(
            LATENCY_SMOOTHING, INITIAL_LATENCY_S
        )
        self.sequence = _transactions.WriteSequence(leader.token)
        self.reachable = True
        # Whether the last transaction was applied and could not contain all
        # changes, so that the next one follows without a pause.
        self.backlog = False
        self.releasing = False
        # Whether the store may have applied a release, or may still do so.
        # Another leader may then take over at any moment.
        self.release_possible = False
        self.released = asyncio.Event()
        self.release_writer = _release.ReleaseWriter(self)

    async def run(self) -> None:
        """Writes changes and heartbeats until it is cancelled or stopped."""
        while self.release_writer.saving:
            due_s = self.confirmed_s + _election.HEARTBEAT_INTERVAL_S
            wait_s = due_s - platform.boot_time_s()
            if not self.write_requested.is_set() and wait_s > 0:
                try:
                    await asyncio.wait_for(self.write_requested.wait(), wait_s)
                    await asyncio.sleep(BATCH_DELAY_S)
                except TimeoutError:
                    pass
            self.write_requested.clear()
            if not await self._write():
                self.write_requested.set()
                if not self.backlog:
                    await asyncio.sleep(RETRY_DELAY_S)
            writer = self.release_writer
            if writer.saving and writer.due() and not await writer.write():
                self.write_requested.set()
                await asyncio.sleep(_release.RETRY_DELAY_S)

    async def wait_committed(self, timeout_s: float) -> None:
        """Waits for the next confirmed transaction or the end of the term."""
        try:
            # `wait_for` of Python 3.11 may lose a cancel.
            async with asyncio.timeout(timeout_s):
                await self.committed.wait()
        except TimeoutError:
            return

    def notify_committed(self) -> None:
        """Wakes those who wait for a change; they check what it means."""
        self.committed.set()
        self.committed = asyncio.Event()

    @property
    def enrolled(self) -> dict[str, tuple]:
        """Workers in the last confirmed roster, with their entries."""
        return _merge_rows(self.roster_entries)

    def _desired_roster(self) -> dict[str, dict[str, tuple]]:
        """Returns entries of the workers to enroll, by roster row."""
        desired: dict[str, dict[str, tuple]] = {key: {} for key in self.roster}
        for worker in self.scheduler.workers_to_enroll():
            key = roster_shard_key(worker.worker_id)
            desired.setdefault(key, {})[worker.worker_id] = worker.roster_entry
        return desired

    def _changed_documents(
        self, limit: int
    ) -> list[tuple[_transactions.Document, bytes]]:
        """Returns at most `limit` changed documents with their new content."""
        # An unreadable row names workers that may have runs. It is kept for the
        # next leader until their leases have certainly expired.
        desired = [
            (self.roster_document(key), json.dumps(entries).encode())
            for key, entries in self._desired_roster().items()
            if unreadable_roster_mark(key) not in self.scheduler.unfenced
        ]
        for number, plan in self.scheduler.maintenance.plans.items():
            document = self.wave_document(number)
            desired.append((document, plan.encode()))
        changed = []
        left_bytes = MAX_DOCUMENT_BYTES
        for document, content in desired:
            if document.content == content:
                continue
            left_bytes -= len(content)
            if changed and (left_bytes < 0 or len(changed) == limit):
                # The next transaction follows at once.
                self.write_requested.set()
                break
            changed.append((document, content))
        return changed

    def roster_document(self, key: str) -> _transactions.Document:
        """Returns the document of a roster row."""
        return self.roster.setdefault(
            key, _transactions.Document(ROSTER_TABLE, key, b"{}")
        )

    def load_roster(self, row: platform.StoredRow) -> dict[str, list]:
        """Adopts a stored roster row and returns its entries."""
        document = self.roster_document(row.key)
        # An unreadable row is replaced once its workers have no runs.
        document.content, document.version = b"", row.version
        entries = json.loads(row.value)
        self.roster_entries[row.key] = {
            worker_id: _as_tuple(entry) for worker_id, entry in entries.items()
        }
        document.content = row.value
        return entries

    def wave_document(self, number: int) -> _transactions.Document:
        """Returns the document of a wave's plan."""
        return self.waves.setdefault(
            number, _transactions.Document(WAVES_TABLE, str(number))
        )

    async def _write(self) -> bool:
        """Writes one transaction; returns whether no work is left."""
        self.backlog = False
        transaction = self._next_transaction()
        if transaction is None:
            return True
        dirty_count = len(self.scheduler.dirty)
        self.writing = transaction
        if transaction.documents:
            self._observe_roster()
        try:
            answer = await self._transact(transaction)
        finally:
            self.writing = None
        if isinstance(answer, platform.Commit):
            self.backlog = len(transaction.jobs) < dirty_count
            self._observe_latency(transaction.sent_s)
            self.sequence.observe_commit(transaction, answer.version)
            self._confirm(transaction, answer.version)
            limit = _document_limit(transaction.jobs)
            return (
                not self.scheduler.dirty and len(transaction.documents) < limit
            )
        if isinstance(answer, platform.Conflict):
            await self._observe_conflict(answer)
        else:
            self._observe_refusal(answer)
        self._observe_roster()
        return False

    def _next_transaction(self) -> _transactions.Transaction | None:
        """Returns the changes to write next; `None` if nothing is due."""
        snapshot = self.scheduler.begin_commit()
        limit = _document_limit(snapshot.jobs if snapshot else ())
        documents = self._changed_documents(limit)
        now_s = platform.boot_time_s()
        # Leases are not extended while a release may be applied, so the next
        # leader has to take over before they expire.
        heartbeat_due = not self.release_possible and (
            now_s - self.confirmed_s >= _election.HEARTBEAT_INTERVAL_S * 0.8
        )
        # An unresolved transaction could still be applied after its changes
        # were reverted here, so another one excludes it.
        sequenced = bool(snapshot or documents or self.sequence.unresolved)
        if not sequenced and not heartbeat_due:
            return None
        if len(documents) < limit:
            # These are not worth a transaction of their own.
            documents += self.learned_turns.take_change(now_s)
            sequenced = sequenced or bool(documents)
        return _transactions.Transaction(
            self.sequence.next_mark(),
            now_s,
            heartbeat_due,
            sequenced,
            documents,
            snapshot,
        )

    def _encode(
        self, transaction: _transactions.Transaction
    ) -> tuple[list[platform.StoredRow], list[platform.StoredRow]]:
        """Returns the rows that a transaction writes and those it expects."""
        expected = [self.leader_row()]
        puts = []
        mark = transaction.mark.encode()
        if transaction.heartbeat:
            puts.append(
                self._row(_election.TABLE, _election.HEARTBEAT_KEY, mark)
            )
        if transaction.sequenced:
            puts.append(
                self._row(
                    _transactions.SEQUENCE_TABLE,
                    _transactions.SEQUENCE_KEY,
                    mark,
                )
            )
            expected.append(self.sequence.condition())
        for document, content in transaction.documents:
            puts.append(self._row(document.table, document.key, content))
            expected.append(
                platform.StoredRow(
                    document.table,
                    _election.PART,
                    document.key,
                    version=document.version,
                )
            )
        for job, content in transaction.jobs:
            job_id = job.spec.job_id
            puts.append(self._row(JOBS_TABLE, job_id, content))
            expected.append(
                platform.StoredRow(
                    JOBS_TABLE, _election.PART, job_id, version=job.row_version
                )
            )
        return puts, expected

    async def _transact(
        self, transaction: _transactions.Transaction
    ) -> platform.Commit | platform.Conflict | base.Refusal:
        """Sends a transaction and checks the store if no answer arrives.

        A write to a slow store is not repeated, because the store processes
        queued requests one by one.
        """
        puts, expected = self._encode(transaction)
        call = asyncio.ensure_future(
            self.store.transact(
                puts, (), expected, timeout_s=TRANSACTION_TIMEOUT_S
            )
        )
        try:
            await asyncio.wait({call}, timeout=self.timeout_s)
            while not call.done() or _is_unknown(call.result()):
                checked_s = platform.boot_time_s()
                result = await self._check_applied(transaction)
                if result is not None:
                    return result
                now_s = platform.boot_time_s()
                timed_out = now_s - transaction.sent_s > TRANSACTION_TIMEOUT_S
                fast = now_s - checked_s < FAST_CHECK_S
                if call.done() or timed_out or fast:
                    break
                await asyncio.wait({call}, timeout=self.timeout_s)
            if call.done() and not _is_unknown(call.result()):
                return call.result()
            LOG.info(
                "commit_unresolved",
                mark=transaction.mark,
                rows=len(puts),
                under_version=self.sequence.version,
                earlier_unresolved=len(self.sequence.unresolved),
            )
            self.sequence.observe_no_answer(transaction)
            return base.Refusal(
                base.Reason.UNKNOWN_RESULT, "commits.transact", "store"
            )
        finally:
            call.cancel()

    async def _check_applied(
        self, transaction: _transactions.Transaction
    ) -> platform.Commit | platform.Conflict | None:
        """Checks whether a transaction was applied.

        Returns:
            A commit if it was, a conflict if it never will be, `None` if it
            may still be.
        """
        table, key = (
            (_transactions.SEQUENCE_TABLE, _transactions.SEQUENCE_KEY)
            if transaction.sequenced
            else (_election.TABLE, _election.HEARTBEAT_KEY)
        )
        row = await self._read_row(table, key)
        if row is None:
            return None
        if not transaction.sequenced:
            applied = row.value == transaction.mark.encode()
            return platform.Commit(row.version) if applied else None
        if row.version == self.sequence.version:
            return None
        found = self.sequence.observe_row(row, transaction)
        if found is transaction:
            LOG.info("commit_found", version=row.version, mark=found.mark)
            return platform.Commit(row.version)
        self._confirm_earlier(found, row.version)
        return platform.Conflict(())

    def _confirm_earlier(
        self, transaction: _transactions.Transaction | None, version: int
    ) -> None:
        """Applies the late result of an earlier transaction, if it is one."""
        if transaction is not None:
            LOG.info(
                "commit_found_late",
                version=version,
                mark=transaction.mark,
            )
            self._confirm(transaction, version)

    async def _read_row(
        self, table: str, key: str
    ) -> platform.StoredRow | None:
        """Returns a row, with version 0 if missing; `None` if unreadable."""
        answer = await self.store.read(
            table, _election.PART, key, MAX_TIMEOUT_S, 1
        )
        if isinstance(answer, base.Refusal):
            # Failed reads are not logged while the store is known to be down.
            if self.reachable:
                LOG.info("row_not_read", key=key, reason=str(answer))
            return None
        missing = platform.StoredRow(table, _election.PART, key)
        return next((row for row in answer.rows if row.key == key), missing)

    def leader_row(self) -> platform.StoredRow:
        """Returns the row that every write requires to be unchanged."""
        return platform.StoredRow(
            _election.TABLE,
            _election.PART,
            _election.LEADER_KEY,
            version=self.leader.token,
        )

    def _row(self, table: str, key: str, value: bytes) -> platform.StoredRow:
        return platform.StoredRow(table, _election.PART, key, value)

    def _observe_latency(self, sent_s: float) -> None:
        latency_s = platform.boot_time_s() - sent_s
        self.metrics.observe("store_commit_seconds", latency_s)
        self.adaptive_timeout.observe(latency_s)
        self.timeout_s = self.adaptive_timeout.timeout_s(
            MIN_TIMEOUT_S, MAX_TIMEOUT_S
        )
        if not self.reachable:
            self.reachable = True
            LOG.info("store_regained")

    def _confirm(
        self, transaction: _transactions.Transaction, version: int
    ) -> None:
        """Applies the effects of a transaction that was applied."""
        if transaction.heartbeat:
            self.confirmed_s = max(self.confirmed_s, transaction.sent_s)
        self.scheduler.observe_commit(version)
        for document, content in transaction.documents:
            document.content = content
            document.version = version
        self._confirm_documents(transaction.documents)
        if transaction.snapshot is not None:
            self.scheduler.finish_commit(transaction.snapshot, version)
        self.notify_committed()

    def _confirm_documents(
        self, written: list[tuple[_transactions.Document, bytes]]
    ) -> None:
        changed = {
            document.key: _decode_entries(content)
            for document, content in written
            if document.table == ROSTER_TABLE
        }
        if changed:
            previous = self.enrolled.keys()
            self.roster_entries |= changed
            if removed := previous - self.enrolled.keys():
                LOG.info("roster_shrunk", removed=" ".join(sorted(removed)))
        self._observe_roster()
        for number, plan in self.scheduler.maintenance.plans.items():
            content = self.wave_document(number).content
            if content:
                plan.mark_saved(content)

    def _observe_roster(self) -> None:
        """Records which entries of each worker the store may have.

        A transaction that awaits its answer, or whose result is not known, may
        be applied at any time.
        """
        open_transactions = [*self.sequence.unresolved]
        if self.writing is not None:
            open_transactions.append(self.writing)
        # Repeated transactions mostly write the same rows.
        written = {
            tuple(
                (document.key, content)
                for document, content in transaction.documents
                if document.table == ROSTER_TABLE
            )
            for transaction in open_transactions
        }
        rosters = [self.enrolled]
        for rows in written - {()}:
            entries = {key: _decode_entries(content) for key, content in rows}
            rosters.append(_merge_rows(self.roster_entries | entries))
        for worker in self.scheduler.workers.values():
            worker_id = worker.worker_id
            worker.stored_entries = tuple(
                [roster.get(worker_id) for roster in rosters]
            )

    async def _observe_conflict(self, conflict: platform.Conflict) -> None:
        current = {(row.table, row.key): row for row in conflict.rows}
        leader = self.leader_row()
        stored = current.get((leader.table, leader.key))
        if stored is not None and stored.version != leader.version:
            # After a release without an answer, the row may show that one.
            self.released.set()
            self.on_lost("another leader was elected")
            return
        LOG.info("commit_conflict", rows=len(conflict.rows))
        stored = current.get(
            (_transactions.SEQUENCE_TABLE, _transactions.SEQUENCE_KEY)
        )
        if stored is not None and stored.version != self.sequence.version:
            # An earlier unanswered transaction of this term was applied.
            row = await self._read_row(
                _transactions.SEQUENCE_TABLE, _transactions.SEQUENCE_KEY
            )
            if row is not None:
                found = self.sequence.observe_row(row)
                self._confirm_earlier(found, row.version)
            return
        # Another program has written the rows.
        for row in conflict.rows:
            if row.table == ROSTER_TABLE:
                self.roster_document(row.key).version = row.version
            elif row.table == WAVES_TABLE:
                self.wave_document(int(row.key)).version = row.version
            elif row.table == _learned_turns.TABLE:
                self.learned_turns.document.version = row.version
            elif row.table == JOBS_TABLE:
                job = self.scheduler.jobs.get(row.key)
                if job is not None:
                    job.row_version = row.version

    def _observe_refusal(self, refusal: base.Refusal) -> None:
        if _is_unknown(refusal):
            self.timeout_s = min(MAX_TIMEOUT_S, self.timeout_s * 2)
        if self.reachable:
            self.reachable = False
            LOG.warning("store_lost", reason=str(refusal))
            if (
                _is_unknown(refusal)
                and self.scheduler.withdraw_unwritten_jobs()
            ):
                self.notify_committed()


def _document_limit(jobs: Sequence) -> int:
    """Returns how many documents a transaction may contain besides jobs."""
    rows = (MAX_TRANSACTION_ENTRIES - RESERVED_ENTRIES) // 2
    return rows - len(jobs)


def _decode_entries(content: bytes) -> dict[str, tuple]:
    """Returns the entries of a roster row of this term by worker."""
    entries = json.loads(content)
    return {worker_id: tuple(entry) for worker_id, entry in entries.items()}


def _merge_rows(rows: dict[str, dict[str, tuple]]) -> dict[str, tuple]:
    """Returns the entries of all roster rows by worker."""
    merged: dict[str, tuple] = {}
    for entries in rows.values():
        merged |= entries
    return merged


def _as_tuple(entry: object) -> tuple:
    """Returns a stored entry; that of another program may be of any type."""
    return tuple(entry) if isinstance(entry, list) else ()


def unreadable_roster_mark(key: str) -> str:
    """Returns what stands for the workers of an unreadable roster row."""
    return f"roster row {key}"


def roster_shard_key(worker_id: str) -> str:
    """Returns the key of the roster row that lists a worker."""
    return f"{zlib.crc32(worker_id.encode()) % ROSTER_SHARDS:02d}"


def _is_unknown(answer: object) -> bool:
    return (
        isinstance(answer, base.Refusal)
        and answer.reason is base.Reason.UNKNOWN_RESULT
    )

"""Writes the changes of a tenure to the store in groups."""

import asyncio
from collections.abc import Callable
import json
import zlib

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _tenure

JOBS_TABLE = "jobs"
ROSTER_TABLE = "roster"
# Rows that share the roster, so that a change of one worker rewrites few
# others: at 3,500 workers of about 90 bytes each far below the store's 64 KB.
ROSTER_ROWS = 16
WAVES_TABLE = "waves"
# Entries that the store takes in one transaction, from the platform's page.
# Each row written counts twice: once as expected.
TRANSACTION_ENTRIES = 100
# Time for which changes are gathered before they are written.
GATHER_S = 0.015
# Bounds of the time after which a transaction without an answer is looked
# for; in between it follows what the last ones took.
SHORTEST_TIMEOUT_S = 0.3
LONGEST_TIMEOUT_S = 1.0
# Weight of the newest transaction in the mean that it follows, and the mean
# that is assumed before the first.
LATENCY_WEIGHT = 0.2
FIRST_LATENCY_S = 0.02
# Time after which a transaction is given up: shorter than the time for which
# a holder may start runs after its last heartbeat.
TRANSACTION_LIMIT_S = 1.5
# A look that took longer shows a slow store, where the answer may yet come.
QUICK_LOOK_S = 0.1
RETRY_S = 0.1
LOG = observability.get_logger("commits")


@attrs.define
class Document:
    """A row that is written whole whenever its content changes.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        content: Content that the store has.
        version: Version of the row.
    """

    table: str
    key: str
    content: bytes = b""
    version: int = 0

    def load(self, row: platform.StoredRow) -> None:
        """Takes over the row as it is stored."""
        self.content = row.value
        self.version = row.version


class Committer:
    """Stores jobs, the roster of workers and the heartbeat.

    All rows lie in one part and every transaction expects the holder's row
    unchanged, so that nothing is written after the tenure has ended.

    Args:
        store: The store.
        holder: This tenure.
        scheduler: Decides what is to be written.
        confirmed_s: When the tenure was last confirmed.
        lost: Called when the tenure has ended.
        metrics: Takes the latency of transactions.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        holder: _tenure.Holder,
        scheduler: scheduling.Scheduler,
        confirmed_s: float,
        lost: Callable[[str], None],
        metrics: observability.Metrics,
    ):
        self.store = store
        self.holder = holder
        self.scheduler = scheduler
        self.confirmed_s = confirmed_s
        self.lost = lost
        self.metrics = metrics
        self.roster: dict[str, Document] = {}
        # Workers that the stored roster names.
        self.enrolled: set[str] = set()
        self.waves: dict[int, Document] = {}
        self.wanted = asyncio.Event()
        self.committed = asyncio.Event()
        self.timeout_s = SHORTEST_TIMEOUT_S
        self.latency = transport.Latency(LATENCY_WEIGHT, FIRST_LATENCY_S)
        self.heartbeat_version = holder.token
        # Whether a write was given up that may yet be applied.
        self.unsettled = False
        self.reachable = True
        self.releasing = False
        self.released = asyncio.Event()

    async def run(self) -> None:
        """Writes until it is cancelled or the tenure ends."""
        while True:
            due_s = self.confirmed_s + _tenure.HEARTBEAT_S
            wait_s = due_s - platform.boot_time_s()
            if not self.wanted.is_set() and wait_s > 0:
                try:
                    await asyncio.wait_for(self.wanted.wait(), wait_s)
                    await asyncio.sleep(GATHER_S)
                except TimeoutError:
                    pass
            self.wanted.clear()
            if not await self._write():
                self.wanted.set()
                await asyncio.sleep(RETRY_S)
            if self.releasing and not self.scheduler.dirty:
                await self._release()

    async def wait_committed(self, timeout_s: float) -> None:
        """Waits for the next transaction that is confirmed."""
        try:
            await asyncio.wait_for(self.committed.wait(), timeout_s)
        except TimeoutError:
            return

    def _wanted_roster(self) -> dict[str, dict[str, list]]:
        """Returns the entries of the workers that may have runs, by row."""
        wanted: dict[str, dict[str, list]] = {key: {} for key in self.roster}
        for worker in self.scheduler.workers.values():
            alive = worker.fenced and worker.listed and not worker.retired
            possible = worker.worker_id in self.scheduler.unfenced
            if alive or worker.runs or possible:
                record = worker.record
                key = roster_key(record.worker_id)
                wanted.setdefault(key, {})[record.worker_id] = [
                    record.address,
                    record.pool,
                    record.zone,
                    worker.start_time_ms,
                    record.machine,
                ]
        return wanted

    def _changed_documents(self, limit: int) -> list[tuple[Document, bytes]]:
        """Returns at most `limit` documents with the content to write."""
        wanted = [
            (self.roster_document(key), json.dumps(entries).encode())
            for key, entries in self._wanted_roster().items()
        ]
        for number, plan in self.scheduler.maintenance.plans.items():
            document = self.wave_document(number)
            wanted.append((document, plan.encode()))
        changed = [
            (document, content)
            for document, content in wanted
            if document.content != content
        ]
        return changed[:limit]

    def roster_document(self, key: str) -> Document:
        """Returns a row of the roster."""
        return self.roster.setdefault(key, Document(ROSTER_TABLE, key, b"{}"))

    def load_roster(self, row: platform.StoredRow) -> dict[str, list]:
        """Takes in a stored row of the roster and returns its entries."""
        self.roster_document(row.key).load(row)
        entries = json.loads(row.value)
        self.enrolled |= entries.keys()
        return entries

    def wave_document(self, number: int) -> Document:
        """Returns the row of a wave's plan."""
        return self.waves.setdefault(number, Document(WAVES_TABLE, str(number)))

    async def _write(self) -> bool:
        """Writes once; returns whether nothing is left to repeat."""
        snapshot = self.scheduler.begin_commit()
        jobs = snapshot.jobs if snapshot else ()
        # The holder's row is expected, the heartbeat may be written.
        room = (TRANSACTION_ENTRIES - 2) // 2 - len(jobs)
        documents = self._changed_documents(room)
        now_s = platform.boot_time_s()
        due = now_s - self.confirmed_s >= _tenure.HEARTBEAT_S * 0.8
        if snapshot is None and not documents and not due:
            return True
        expected = [self.holder_row()]
        puts = []
        if due:
            puts.append(self._row(_tenure.TABLE, _tenure.HEARTBEAT_KEY, b"{}"))
        for document, content in documents:
            puts.append(self._row(document.table, document.key, content))
            expected.append(
                platform.StoredRow(
                    document.table,
                    _tenure.PART,
                    document.key,
                    version=document.version,
                )
            )
        for job, content in jobs:
            job_id = job.spec.job_id
            puts.append(self._row(JOBS_TABLE, job_id, content))
            expected.append(
                platform.StoredRow(
                    JOBS_TABLE, _tenure.PART, job_id, version=job.row_version
                )
            )
        answer = await self._transact(puts, expected)
        if isinstance(answer, platform.Commit):
            self._confirm(now_s, due)
            if due:
                self.heartbeat_version = answer.version
            for document, content in documents:
                document.content = content
                document.version = answer.version
            self._confirm_documents(documents)
            if snapshot is not None:
                self.scheduler.finish_commit(snapshot, answer.version)
            self.committed.set()
            self.committed = asyncio.Event()
            return not self.scheduler.dirty and len(documents) < room
        if isinstance(answer, platform.Conflict):
            self._observe_conflict(answer)
        else:
            self._observe_refusal(answer)
        return False

    async def _transact(
        self, puts: list[platform.StoredRow], expected: list[platform.StoredRow]
    ) -> platform.Commit | platform.Conflict | base.Refusal:
        """Sends a transaction; looks for its rows if no answer comes.

        A slow store is not asked again, since it works off what waits one
        by one.
        """
        started_s = platform.boot_time_s()
        call = asyncio.ensure_future(
            self.store.transact(
                puts, (), expected, timeout_s=TRANSACTION_LIMIT_S
            )
        )
        try:
            await asyncio.wait({call}, timeout=self.timeout_s)
            while not call.done() or _is_unknown(call.result()):
                version, took_s = await self._look(puts[0], expected)
                if version and not self.unsettled:
                    return platform.Commit(version)
                late = platform.boot_time_s() - started_s > TRANSACTION_LIMIT_S
                if call.done() or late or took_s < QUICK_LOOK_S:
                    break
                await asyncio.wait({call}, timeout=self.timeout_s)
            if call.done() and not _is_unknown(call.result()):
                answer = call.result()
                self.unsettled &= not isinstance(answer, platform.Commit)
                return answer
            self.unsettled = True
            return base.Refusal(
                base.Reason.UNKNOWN_RESULT, "commits.transact", "store"
            )
        finally:
            call.cancel()

    async def _look(
        self, put: platform.StoredRow, expected: list[platform.StoredRow]
    ) -> tuple[int, float]:
        """Looks whether a transaction was applied.

        Returns:
            The version of one of its rows, 0 if it is not known to be
            applied, and the seconds that the look took.
        """
        known = {(row.table, row.key): row.version for row in expected}
        before = known.get((put.table, put.key), self.heartbeat_version)
        started_s = platform.boot_time_s()
        version = await self._read_version(put)
        took_s = platform.boot_time_s() - started_s
        if version <= before:
            return 0, took_s
        # Only this tenure can have written the row if it still lasts.
        holder = self.holder_row()
        if await self._read_version(holder) != holder.version:
            return 0, took_s
        LOG.info("commit_found", version=version)
        return version, took_s

    async def _read_version(self, wanted: platform.StoredRow) -> int:
        """Returns the version of a row; 0 if it is missing or not read."""
        answer = await self.store.read(
            wanted.table, wanted.part, wanted.key, LONGEST_TIMEOUT_S, 1
        )
        if isinstance(answer, base.Refusal):
            # While the store is away the first line stands for all.
            if self.reachable:
                LOG.info("row_not_read", key=wanted.key, reason=str(answer))
            return 0
        return max(
            (row.version for row in answer.rows if row.key == wanted.key),
            default=0,
        )

    def holder_row(self) -> platform.StoredRow:
        """Returns the row that must be unchanged for anything to be written."""
        return platform.StoredRow(
            _tenure.TABLE,
            _tenure.PART,
            _tenure.HOLDER_KEY,
            version=self.holder.token,
        )

    def _row(self, table: str, key: str, value: bytes) -> platform.StoredRow:
        return platform.StoredRow(table, _tenure.PART, key, value)

    def _confirm(self, sent_s: float, heartbeat: bool) -> None:
        latency_s = platform.boot_time_s() - sent_s
        self.metrics.observe("store_commit_seconds", latency_s)
        self.latency.observe(latency_s)
        self.timeout_s = self.latency.limit_s(
            SHORTEST_TIMEOUT_S, LONGEST_TIMEOUT_S
        )
        if heartbeat:
            self.confirmed_s = sent_s
        if not self.reachable:
            self.reachable = True
            LOG.info("store_regained")

    def _confirm_documents(self, written: list[tuple[Document, bytes]]) -> None:
        if any(document.table == ROSTER_TABLE for document, _ in written):
            self.enrolled = {
                worker_id
                for document in self.roster.values()
                for worker_id in json.loads(document.content)
            }
        for worker in self.scheduler.workers.values():
            worker.enrolled = worker.worker_id in self.enrolled
        for number, plan in self.scheduler.maintenance.plans.items():
            content = self.wave_document(number).content
            if content:
                plan.mark_saved(content)

    def _observe_conflict(self, conflict: platform.Conflict) -> None:
        for row in conflict.rows:
            if row.table == _tenure.TABLE and row.key == _tenure.HOLDER_KEY:
                if row.version != self.holder.token:
                    self.lost("another tenure has begun")
            elif row.table == ROSTER_TABLE:
                self.roster_document(row.key).version = row.version
            elif row.table == WAVES_TABLE:
                self.wave_document(int(row.key)).version = row.version
            elif row.table == JOBS_TABLE:
                # An earlier write of this tenure that had no answer.
                job = self.scheduler.jobs.get(row.key)
                if job is not None:
                    job.row_version = row.version
        LOG.info("commit_conflict", rows=len(conflict.rows))

    def _observe_refusal(self, refusal: base.Refusal) -> None:
        if _is_unknown(refusal):
            self.timeout_s = min(LONGEST_TIMEOUT_S, self.timeout_s * 2)
        if self.reachable:
            self.reachable = False
            LOG.warning("store_lost", reason=str(refusal))

    async def _release(self) -> None:
        released = attrs.evolve(self.holder, released=True)
        row = platform.StoredRow(
            _tenure.TABLE, _tenure.PART, _tenure.HOLDER_KEY, released.encode()
        )
        answer = await self.store.transact([row], (), [self.holder_row()])
        if isinstance(answer, base.Refusal):
            LOG.warning("release_unanswered", reason=str(answer))
            return
        LOG.info("tenure_released", token=self.holder.token)
        self.released.set()
        self.lost("released")


def roster_key(worker_id: str) -> str:
    """Returns the key of the row of the roster that names a worker."""
    return f"{zlib.crc32(worker_id.encode()) % ROSTER_ROWS:02d}"


def _is_unknown(answer: object) -> bool:
    return (
        isinstance(answer, base.Refusal)
        and answer.reason is base.Reason.UNKNOWN_RESULT
    )

"""In-memory fake of the platform's row store with fault injection.

Replaces `platform.StoreClient` in tests. Supports versions, conditions, feeds,
lost responses and delayed writes.
"""

import asyncio
import math

from baobabdoor import base
from baobabdoor import platform


class MemoryRowStore:
    """Rows with conditional writes and one version counter.

    Attributes:
        rows: Rows by table, part and key.
        version: Latest version.
        time_ms: Clock of the store, which is set by tests.
        reachable: Whether the store responds to calls.
        lose_answers: Number of further writes that are applied and get no
            response.
        delay_writes: Number of further writes that are delayed.
        delayed: Delayed writes, which got no response and are not yet applied.
        lose_reads: Number of further reads that get no response.
        delay_s: Latency of a response.
        max_transaction_entries: Maximum number of entries of a write, including
            expected rows.
        max_transaction_bytes: Maximum size of the values of a write, in base64.
        max_row_bytes: Maximum size of the value of a row.
        transaction_count_: Number of requested writes.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], platform.StoredRow] = {}
        self.version = 0
        self.time_ms = 0.0
        self.reachable = True
        self.lose_answers = 0
        self.delay_writes = 0
        self.delayed: list[tuple] = []
        self.lose_reads = 0
        self.delay_s = 0.0
        self.max_transaction_entries = 100
        self.max_transaction_bytes = 1_000_000
        self.max_row_bytes = 65_536
        self.transaction_count_ = 0
        # Always recent.
        self.last_answer_s_ = math.inf

    def now_ms(self) -> float:
        """Returns the time of the store's clock."""
        return self.time_ms

    async def transact(self, puts=(), removes=(), expected=(), timeout_s=1.0):
        """Applies changes if the expected versions match."""
        self.transaction_count_ += 1
        if not self.reachable:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        changes = (list(puts), list(removes), list(expected))
        if self._exceeds_limits(*changes):
            return self._refusal(base.Reason.BAD_REQUEST)
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed.append(changes)
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        result = self._apply(*changes)
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if self.delay_s > timeout_s:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        if self.lose_answers:
            self.lose_answers -= 1
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        return result

    def _exceeds_limits(self, puts, removes, expected) -> bool:
        entries = len(puts) + len(removes) + len(expected)
        sizes = [len(row.value) for row in puts]
        encoded_bytes = sum(4 * math.ceil(size / 3) for size in sizes)
        return (
            entries > self.max_transaction_entries
            or encoded_bytes > self.max_transaction_bytes
            or max(sizes, default=0) > self.max_row_bytes
        )

    def apply_delayed(self) -> None:
        """Applies all delayed writes."""
        for changes in self.delayed:
            self._apply(*changes)
        self.delayed.clear()

    def _apply(self, puts, removes, expected):
        current = [self.get(row.table, row.key, row.part) for row in expected]
        if any(
            stored.version != row.version
            for stored, row in zip(current, expected, strict=True)
        ):
            return platform.Conflict(tuple(current))
        self.version += 1
        for row in puts:
            key = (row.table, row.part, row.key)
            self.rows[key] = platform.StoredRow(*key, row.value, self.version)
        for row in removes:
            self.rows.pop((row.table, row.part, row.key), None)
        return platform.Commit(self.version)

    def get(self, table: str, key: str, part: str) -> platform.StoredRow:
        """Returns a row, or an empty one with version 0 if there is none."""
        missing = platform.StoredRow(table, part, key)
        return self.rows.get((table, part, key), missing)

    async def read(self, table, part="", start="", timeout_s=1.0, limit=500):
        """Returns up to `limit` rows of a part, starting at a key."""
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if not self.reachable or self.delay_s > timeout_s:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        if self.lose_reads:
            self.lose_reads -= 1
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        rows = tuple(
            row
            for key, row in sorted(self.rows.items())
            if key[:2] == (table, part) and key[2] >= start
        )
        more = len(rows) > limit
        return platform.RowSet(rows[:limit], self.version, self.time_ms, more)

    async def read_all(self, table, part="", timeout_s=1.0):
        """Returns the rows of a part."""
        return await self.read(table, part, "", timeout_s, len(self.rows))

    async def feed(self, table, after, wait_s):
        """Returns rows of a table changed after a version; waits if none."""
        changed = tuple(
            row
            for key, row in sorted(self.rows.items())
            if key[0] == table and row.version > after
        )
        if not changed:
            await asyncio.sleep(wait_s)
        return platform.RowSet(changed, self.version, self.time_ms)

    def _refusal(self, reason: base.Reason) -> base.Refusal:
        return base.Refusal(reason, "store", "memory")

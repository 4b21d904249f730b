"""The platform's store of rows in memory, with faults.

Takes the place of `platform.StoreClient` in tests: versions, conditions,
feeds, writes whose answer is lost and writes that land later.
"""

import asyncio

from baobabdoor import base
from baobabdoor import platform


class MemoryRowStore:
    """Rows under conditions, with one counter of versions.

    Attributes:
        rows: Rows by table, part and key.
        version: Newest version.
        time_ms: The store's clock; tests set it.
        reachable: Whether calls are answered.
        lose_answers: How many of the next writes are done but not answered.
        delayed: Writes that were not answered and are not done yet.
        delay_writes: How many of the next writes are put off.
        lose_reads: How many of the next reads are not answered.
        delay_s: Time that an answer takes.
        entry_limit: Most entries of a write, expected rows included.
        transactions_: Writes that were asked for.
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
        self.entry_limit = 100
        self.transactions_ = 0
        self.last_answer_s_ = 0.0

    def now_ms(self) -> float:
        """Returns the store's clock."""
        return self.time_ms

    async def transact(self, puts=(), removes=(), expected=(), timeout_s=1.0):
        """Applies changes if the expected versions hold."""
        self.transactions_ += 1
        if not self.reachable:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        call = (list(puts), list(removes), list(expected))
        if sum(map(len, call)) > self.entry_limit:
            return self._refusal(base.Reason.BAD_REQUEST)
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed.append(call)
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        result = self._apply(*call)
        await asyncio.sleep(min(self.delay_s, timeout_s))
        if self.delay_s > timeout_s:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        if self.lose_answers:
            self.lose_answers -= 1
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        return result

    def land_delayed(self) -> None:
        """Carries out writes that were put off."""
        for call in self.delayed:
            self._apply(*call)
        self.delayed.clear()

    def _apply(self, puts, removes, expected):
        current = [self.get(row.table, row.key, row.part) for row in expected]
        if any(
            now.version != row.version
            for now, row in zip(current, expected, strict=True)
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
        """Returns a row; version 0 if there is none."""
        missing = platform.StoredRow(table, part, key)
        return self.rows.get((table, part, key), missing)

    async def read(self, table, part="", start="", timeout_s=1.0, limit=500):
        """Returns up to `limit` rows of a part from a key on."""
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
        return platform.RowSet(rows[:limit], self.version, self.time_ms)

    async def read_all(self, table, part="", timeout_s=1.0):
        """Returns all rows of a part."""
        return await self.read(table, part, "", timeout_s)

    async def feed(self, table, after, wait_s):
        """Returns rows of a table changed after a version, or waits."""
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

"""Tests of how a new leader reads the state of earlier terms."""

import asyncio

from baobabdoor import base
from baobabdoor import platform
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _loading
from baobabdoor.dispatch import _table_follower
from baobabdoor.standin import _row_store

TABLE = "t"
PAGE_ROWS = platform.PAGE_ROWS
# Only guards against hangs.
TIMEOUT_S = 10.0


class Store(_row_store.MemoryRowStore):
    """A store that notes where reads start and refuses some of them."""

    def __init__(self, keys):
        super().__init__()
        self.starts = []
        self.failing_calls = set()
        for key in keys:
            row = platform.StoredRow(TABLE, _election.PART, key, b"1", 1)
            self.rows[TABLE, _election.PART, key] = row

    async def read(self, table, part="", start="", **options):
        self.starts.append(start)
        if len(self.starts) in self.failing_calls:
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        return await super().read(table, part, start, **options)


def job_ids(count):
    return [f"{number * (2**64 // count):016x}" for number in range(count)]


def read(store):
    async def scenario():
        async with asyncio.timeout(TIMEOUT_S):
            return await _loading.read_rows(store, TABLE)

    return [row.key for row in asyncio.run(scenario())]


class TestPages:

    def test_small_table_takes_one_call(self):
        for keys in ([], job_ids(PAGE_ROWS)):
            store = Store(keys)
            assert read(store) == keys
            assert store.starts == [""]

    def test_failed_page_is_read_again_without_the_others(self, monkeypatch):
        """All pages were read again, so that a slow store delayed the term."""
        monkeypatch.setattr(_table_follower, "RETRY_DELAY_S", 0.0)
        keys = job_ids(6 * PAGE_ROWS)
        whole = Store(keys)
        read(whole)
        store = Store(keys)
        store.failing_calls = {1, 4, 7}
        assert read(store) == keys
        assert len(store.starts) == len(whole.starts) + 3
        assert store.starts.count("") == 2

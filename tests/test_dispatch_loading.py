"""Tests of how a new leader reads the state of earlier terms."""

import asyncio

import pytest

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
        self.open = self.most_open = 0
        self.failing_calls = set()
        for key in keys:
            row = platform.StoredRow(TABLE, _election.PART, key, b"1", 1)
            self.rows[TABLE, _election.PART, key] = row

    async def read(self, table, part="", start="", **options):
        self.starts.append(start)
        number = len(self.starts)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        # All concurrent calls are open before the first one is answered.
        await asyncio.sleep(0)
        self.open -= 1
        if number in self.failing_calls:
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


class TestRanges:

    def test_large_table_is_read_by_four_calls_at_a_time(self):
        """Forty pages, one after the other, kept a leader from its return."""
        keys = job_ids(40 * PAGE_ROWS)
        store = Store(keys)
        assert read(store) == keys
        assert store.most_open == 4
        assert len(store.starts) <= 45

    @pytest.mark.parametrize("prefix", ["", "0", "5", "c", "f", "x"])
    def test_no_row_is_lost_or_read_twice(self, prefix):
        keys = [f"{prefix}{number:08x}" for number in range(3 * PAGE_ROWS)]
        assert read(Store(keys)) == keys

    def test_range_ends_at_a_key_between_two_pages(self):
        keys = [f"0{number:04x}" for number in range(2 * PAGE_ROWS)]
        keys += ["3fff", "4", "40", "7f", "8", "80", "c", "c0"]
        assert read(Store(keys)) == keys

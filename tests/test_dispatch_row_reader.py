"""Tests of reads of single rows that share calls of the store."""

import asyncio
import random

import pytest

from baobabdoor import base
from baobabdoor import platform
from baobabdoor.dispatch import _row_reader

TABLE = "jobs"
PART = "fleet"
# Only guards against hangs.
HANG_TIMEOUT_S = 20.0
REFUSAL = base.Refusal(base.Reason.PLATFORM_UNAVAILABLE, "test")


def key(number):
    return f"{number:04x}"


class HeldStore:
    """Answers reads, with the rows at the time of the call, when told to.

    Attributes:
        keys: Keys of the rows.
        page_rows: Maximum rows of an answer.
        answers: Answers or errors of the first calls instead of rows.
        calls: Start key and limit of each call.
    """

    def __init__(self, keys=(), page_rows=500):
        self.keys = set(keys)
        self.page_rows = page_rows
        self.answers = []
        self.calls = []
        self.held = []
        self.holds = False

    async def read(self, table, part, start, timeout_s, limit):
        self.calls.append((start, limit))
        if self.answers:
            answer = self.answers.pop(0)
        else:
            answer = self.page(start, min(limit, self.page_rows))
        if self.holds:
            self.held.append(asyncio.Event())
            await self.held[-1].wait()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def page(self, start, limit):
        found = sorted(item for item in self.keys if item >= start)
        rows = [
            platform.StoredRow(TABLE, PART, item, b"x", 1) for item in found
        ]
        return platform.RowSet(tuple(rows[:limit]), 1, 0.0, len(rows) > limit)


def run(store, scenario):
    """Runs `scenario(reader)`."""

    async def limited():
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await scenario(_row_reader.RowReader(store, TABLE, PART))

    return asyncio.run(limited())


def read(store, keys):
    """Reads keys at the same time; returns the key of each row found."""

    async def scenario(reader):
        return await asyncio.gather(
            *(reader.read(item, HANG_TIMEOUT_S) for item in keys)
        )

    return [getattr(row, "key", row) for row in run(store, scenario)]


class TestRead:

    @pytest.mark.parametrize("requested", [1, 2, 8, 9, 40, 400])
    @pytest.mark.parametrize("page_rows", [1, 7, 500])
    def test_each_request_gets_its_row_or_none(self, requested, page_rows):
        generator = random.Random(f"{requested} {page_rows}")
        for _ in range(5):
            stored = generator.sample(range(1000), generator.randint(1, 900))
            wanted = generator.sample(range(1000), requested)
            store = HeldStore(map(key, stored), page_rows)
            expected = [
                key(number) if number in set(stored) else None
                for number in wanted
            ]
            assert read(store, map(key, wanted)) == expected

    @pytest.mark.parametrize("requested", [100, 400, 1000])
    def test_sparse_rows_cost_little_more_calls_than_pages(self, requested):
        """Pages that ended before some of their keys were read twice."""
        rows, pages = 4000, 40
        stored = [key(16 * number) for number in range(rows)]
        generator = random.Random(requested)
        wanted = generator.sample(stored, requested)
        store = HeldStore(stored, rows // pages)
        assert read(store, wanted) == wanted
        assert len(store.calls) < 1.5 * pages

    def test_a_single_row_costs_no_page(self):
        store = HeldStore(map(key, range(100)))
        assert read(store, [key(5)]) == [key(5)]
        assert store.calls == [(key(5), 1)]

    def test_requests_for_one_row_share_a_call(self):
        store = HeldStore([key(5)])
        assert read(store, [key(5)] * 20) == [key(5)] * 20
        assert len(store.calls) == 1

    def test_a_row_stored_after_a_call_started_is_not_missing(self):
        """An accepted job was reported as unknown."""
        store = HeldStore()
        store.holds = True

        async def scenario(reader):
            first = asyncio.ensure_future(reader.read(key(5), HANG_TIMEOUT_S))
            while not store.held:
                await asyncio.sleep(0)
            store.keys.add(key(5))
            second = asyncio.ensure_future(reader.read(key(5), HANG_TIMEOUT_S))
            while len(store.held) < 2:
                await asyncio.sleep(0)
            for event in store.held:
                event.set()
            return await first, await second

        first, second = run(store, scenario)
        assert first is None
        assert second.key == key(5)


class TestFailures:

    @pytest.mark.parametrize("requested", [1, 50])
    @pytest.mark.parametrize(
        "answer",
        [REFUSAL, ValueError(), platform.RowSet((), 1, 0.0, True)],
        ids=["refusal", "error", "empty-page"],
    )
    def test_a_row_is_not_missing_if_its_call_failed(self, requested, answer):
        store = HeldStore()
        store.answers = [answer] * requested
        results = read(store, map(key, range(requested)))
        assert all(isinstance(item, base.Refusal) for item in results)

    def test_rows_are_read_one_by_one_after_a_page_failed(self):
        """Pages that always time out were read again and again."""

        class PagelessStore(HeldStore):

            async def read(self, table, part, start, timeout_s, limit):
                if limit > 1:
                    return REFUSAL
                return await super().read(table, part, start, timeout_s, limit)

        keys = [key(number) for number in range(300)]

        async def scenario(reader):
            async def read_again(item):
                for _ in range(3):
                    row = await reader.read(item, HANG_TIMEOUT_S)
                    if not isinstance(row, base.Refusal):
                        return row.key
                return None

            return await asyncio.gather(*map(read_again, keys))

        assert run(PagelessStore(keys), scenario) == keys

    def test_requests_that_timed_out_are_not_read(self):
        store = HeldStore()
        store.holds = True

        async def scenario(reader):
            results = await asyncio.gather(
                *(reader.read(key(number), 0.01) for number in range(100))
            )
            store.holds = False
            for event in store.held:
                event.set()
            await reader.read(key(200), HANG_TIMEOUT_S)
            return results

        results = run(store, scenario)
        assert all(isinstance(item, base.Refusal) for item in results)
        assert store.calls[1:] == [(key(200), 1)]

    def test_a_cancelled_request_does_not_end_those_that_share_its_call(self):
        store = HeldStore([key(5)])
        store.holds = True

        async def scenario(reader):
            reads = [
                asyncio.ensure_future(reader.read(key(5), HANG_TIMEOUT_S))
                for _ in range(2)
            ]
            while not store.held:
                await asyncio.sleep(0)
            reads[0].cancel()
            store.held[0].set()
            return await reads[1]

        assert run(store, scenario).key == key(5)


class TestOrder:

    def test_the_oldest_request_is_read_first(self):
        """Requests for high keys waited while others kept arriving."""
        store = HeldStore(map(key, range(3000)), page_rows=10)

        async def scenario(reader):
            # A small share of the requested rows is in a page.
            await asyncio.gather(
                *(
                    reader.read(key(number), HANG_TIMEOUT_S)
                    for number in range(0, 3000, 3)
                )
            )
            oldest = asyncio.ensure_future(
                reader.read(key(2999), HANG_TIMEOUT_S)
            )
            others = [
                asyncio.ensure_future(reader.read(key(number), HANG_TIMEOUT_S))
                for number in range(2900)
            ]
            await oldest
            late = sum(not item.done() for item in others)
            await asyncio.gather(*others)
            return late

        assert run(store, scenario) > 2000


class TestConnections:

    def test_calls_leave_connections_to_the_election(self):
        store = HeldStore(map(key, range(900)), page_rows=10)
        store.holds = True

        async def scenario(reader):
            reads = [
                asyncio.ensure_future(reader.read(key(number), HANG_TIMEOUT_S))
                for number in range(900)
            ]
            most = 0
            while not all(item.done() for item in reads):
                await asyncio.sleep(0)
                held = [event for event in store.held if not event.is_set()]
                most = max(most, len(held))
                for event in held[:1]:
                    event.set()
            return most

        assert run(store, scenario) == _row_reader.MAX_CALLS

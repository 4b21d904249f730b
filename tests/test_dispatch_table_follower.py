"""Tests of the table follower: snapshots, lost history, failing observers."""

import asyncio

from baobabdoor import base
from baobabdoor import platform
from baobabdoor.dispatch import _table_follower
from baobabdoor.standin import _row_store


class TestFollower:

    def follow(self, observe, seconds=0.5, store=None):
        async def scenario():
            follower = _table_follower.TableFollower(
                store or self.store(), "t", "", observe, 0.05
            )
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(seconds)
            assert not task.done()
            task.cancel()

        asyncio.run(scenario())

    def store(self):
        store = _row_store.MemoryRowStore()
        store.version = 1
        store.rows["t", "", "k"] = platform.StoredRow("t", "", "k", b"1", 1)
        return store

    def test_first_read_is_a_snapshot(self):
        seen = []
        self.follow(
            lambda rows, answer, is_snapshot: seen.append((rows, is_snapshot))
        )
        rows, is_snapshot = seen[0]
        assert is_snapshot
        assert [row.key for row in rows] == ["k"]
        assert not seen[1][1]

    def test_lost_history_causes_a_new_snapshot(self):
        store = self.store()
        feed = store.feed
        calls = []

        async def lose_history(table, after, wait_s):
            calls.append(after)
            if len(calls) == 1:
                return base.Refusal(base.Reason.OUTDATED_GENERATION, "feed")
            return await feed(table, after, wait_s)

        store.feed = lose_history
        snapshots = []
        self.follow(
            lambda rows, answer, is_snapshot: snapshots.append(is_snapshot),
            store=store,
        )
        assert snapshots[:2] == [True, True]

    def test_failing_observer_does_not_stop_the_follower(self):
        calls = []

        def fail_once(rows, answer, is_snapshot):
            calls.append(is_snapshot)
            if len(calls) == 1:
                raise ValueError("injected")

        self.follow(fail_once)
        assert calls[:2] == [True, True]

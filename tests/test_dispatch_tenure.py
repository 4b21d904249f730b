"""Tests of tenures: taking over, lapses and writes without an answer."""

import asyncio

from baobabdoor import platform
from baobabdoor.dispatch import _tenure
from baobabdoor.standin import _row_store


class Candidate:
    """A daemon's tenures over a shared store."""

    def __init__(self, store, node, incarnation="1", cores=1.0):
        self.won = []
        self.eligible = True
        self.tenures = _tenure.Tenures(
            store,
            node,
            f"{node}-{incarnation}",
            f"{node}:1",
            lambda: self.eligible,
            lambda holder, sent_s: self.won.append(holder),
            cores,
        )
        self.store = store

    async def look(self, whole=False):
        """Reads the table once and lets a campaign run."""
        answer = await self.store.read_all(_tenure.TABLE, _tenure.PART)
        seen = {
            _tenure.HOLDER_KEY: self.tenures.holder_version,
            _tenure.HEARTBEAT_KEY: self.tenures.heartbeat_version,
        }
        rows = [
            row for row in answer.rows if whole or row.version > seen[row.key]
        ]
        self.tenures._observe(rows, answer, whole)
        await asyncio.sleep(2 * _tenure.CANDIDATE_SPREAD_S)

    def beat(self):
        key = (_tenure.TABLE, _tenure.PART, _tenure.HEARTBEAT_KEY)
        self.store.version += 1
        self.store.rows[key] = platform.StoredRow(
            *key, b"{}", self.store.version
        )


class TestTenures:

    def run(self, story):
        store = _row_store.MemoryRowStore()
        asyncio.run(story(store))

    def test_the_first_candidate_takes_an_empty_store(self):
        async def story(store):
            first = Candidate(store, "a")
            await first.look()
            assert [holder.number for holder in first.won] == [0]
            row = store.get(_tenure.TABLE, _tenure.HOLDER_KEY, _tenure.PART)
            assert first.won[0].token == row.version

        self.run(story)

    def test_of_two_candidates_one_wins(self):
        async def story(store):
            first, second = Candidate(store, "a"), Candidate(store, "b")
            await asyncio.gather(first.look(), second.look())
            assert len(first.won) + len(second.won) == 1

        self.run(story)

    def test_a_small_machine_lets_the_others_go_first(self):
        async def story(store):
            small = Candidate(store, "a", cores=0.5)
            large = Candidate(store, "b", cores=2.0)
            await asyncio.gather(small.look(), large.look())
            await asyncio.sleep(_tenure.SMALL_MACHINE_DELAY_S)
            assert large.won
            assert not small.won

        self.run(story)

    async def holder_and_follower(self, store):
        holder, follower = Candidate(store, "a"), Candidate(store, "b")
        await holder.look()
        await follower.look()
        return holder, follower

    def test_a_holder_that_beats_is_left_alone(self):
        async def story(store):
            holder, follower = await self.holder_and_follower(store)
            for _ in range(6):
                store.time_ms += 500
                holder.beat()
                await follower.look()
            assert not follower.won

        self.run(story)

    def test_a_silent_holder_is_replaced_under_a_higher_token(self):
        async def story(store):
            holder, follower = await self.holder_and_follower(store)
            for _ in range(4):
                store.time_ms += 500
                await follower.look()
            (won,) = follower.won
            assert won.token > holder.won[0].token
            assert won.number == 1

        self.run(story)

    def test_a_candidate_that_waits_leaves_a_new_holder_alone(self):
        async def story(store):
            await self.holder_and_follower(store)
            small = Candidate(store, "c", cores=0.5)
            large = Candidate(store, "d", cores=2.0)
            await asyncio.gather(small.look(), large.look())
            for _ in range(4):
                store.time_ms += 500
                await asyncio.gather(small.look(), large.look())
            # The small one learns of the new holder while it waits.
            await small.look()
            await asyncio.sleep(2 * _tenure.SMALL_MACHINE_DELAY_S)
            assert large.won
            assert not small.won

        self.run(story)

    def test_rows_that_are_read_again_are_no_sign_of_life(self):
        async def story(store):
            holder, follower = await self.holder_and_follower(store)
            for _ in range(4):
                store.time_ms += 500
                await follower.look(whole=True)
            assert follower.won[0].token > holder.won[0].token

        self.run(story)

    def test_a_silent_holder_is_replaced_soon_after_the_store_returns(self):
        async def story(store):
            _, follower = await self.holder_and_follower(store)
            store.time_ms += 10_000
            await follower.look(whole=True)
            assert not follower.won
            store.time_ms += _tenure.RETURN_LAPSE_MS + 50
            await follower.look(whole=True)
            assert follower.won

        self.run(story)

    def test_a_gap_of_the_store_does_not_end_a_tenure_at_once(self):
        async def story(store):
            _, follower = await self.holder_and_follower(store)
            store.time_ms += 10_000
            await follower.look()
            assert not follower.won

        self.run(story)

    def test_a_restarted_process_takes_over_from_its_own_past(self):
        async def story(store):
            await self.holder_and_follower(store)
            reborn = Candidate(store, "a", incarnation="2")
            await reborn.look()
            assert [holder.number for holder in reborn.won] == [1]

        self.run(story)

    def test_a_take_without_an_answer_is_taken_anew(self):
        async def story(store):
            store.lose_answers = 1
            candidate = Candidate(store, "a")
            await candidate.look()
            assert not candidate.won
            await asyncio.sleep(0.3)
            await candidate.look()
            (won,) = candidate.won
            row = store.get(_tenure.TABLE, _tenure.HOLDER_KEY, _tenure.PART)
            assert won.token == row.version

        self.run(story)

    def test_starts_end_before_a_heartbeat_lapses(self):
        assert _tenure.START_LIMIT_S * 1000 < _tenure.LAPSE_MS

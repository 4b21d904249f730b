"""Tests of leader election: takeover, timeouts and unanswered writes."""

import asyncio
import json
import math

import pytest

from baobabdoor import platform
from baobabdoor.dispatch import _election
from baobabdoor.standin import _row_store


class Candidate:
    """The leader election of one daemon over a shared store."""

    def __init__(self, store, node, incarnation="1", cores=1.0):
        self.won = []
        self.eligible = True
        self.election = _election.LeaderElection(
            store,
            node,
            f"{node}-{incarnation}",
            f"{node}:1",
            lambda: self.eligible,
            lambda leader, sent_s: self.won.append(leader),
            cores,
        )
        self.store = store

    async def poll(self, is_snapshot=False):
        """Reads the table once and lets a campaign finish."""
        answer = await self.store.read_all(_election.TABLE, _election.PART)
        versions = {
            _election.LEADER_KEY: self.election.leader_version,
            _election.HEARTBEAT_KEY: self.election.heartbeat_version,
        }
        rows = [
            row
            for row in answer.rows
            if is_snapshot or row.version > versions[row.key]
        ]
        self.election._observe(rows, answer, is_snapshot)
        await asyncio.sleep(2 * _election.CAMPAIGN_JITTER_S)

    def heartbeat(self):
        key = (_election.TABLE, _election.PART, _election.HEARTBEAT_KEY)
        self.store.version += 1
        self.store.rows[key] = platform.StoredRow(
            *key, b"{}", self.store.version
        )


class TestLeaderElection:

    def run(self, scenario):
        store = _row_store.MemoryRowStore()
        asyncio.run(scenario(store))

    def test_first_candidate_is_elected_in_an_empty_store(self):
        async def scenario(store):
            first = Candidate(store, "a")
            await first.poll()
            assert [leader.number for leader in first.won] == [0]
            row = store.get(
                _election.TABLE, _election.LEADER_KEY, _election.PART
            )
            assert first.won[0].token == row.version

        self.run(scenario)

    def write_leader(self, store, value):
        key = (_election.TABLE, _election.PART, _election.LEADER_KEY)
        store.version += 7
        store.rows[key] = platform.StoredRow(*key, value, store.version)

    @pytest.mark.parametrize(
        "value",
        [
            b"{",
            b"[" * 100_000,
            b"[]",
            b'{"node": 1, "incarnation": "x", "address": "b:1", "number": 3, '
            b'"released": false}',
            b'{"node": "b", "incarnation": "x", "address": [], "number": 3, '
            b'"released": false}',
            b'{"node": "b", "incarnation": "x", "address": "b:1", '
            b'"number": "3", "released": false}',
        ],
        ids=lambda value: f"{value!r:.40}",
    )
    def test_unreadable_leader_is_replaced_under_a_higher_number(self, value):
        """A nested row ended each reading of the rows, so none was elected."""

        async def scenario(store):
            self.write_leader(store, value)
            candidate = Candidate(store, "a")
            await candidate.poll()
            assert [leader.number for leader in candidate.won] == [7]

        self.run(scenario)

    def test_fields_of_a_newer_version_are_ignored(self):
        async def scenario(store):
            leader = _election.Leader("b", "b-1", "b:1", 3, False, 0)
            content = json.loads(leader.encode()) | {"added": 1}
            self.write_leader(store, json.dumps(content).encode())
            candidate = Candidate(store, "a")
            await candidate.poll()
            assert candidate.election.current.number == 3
            assert not candidate.won

        self.run(scenario)

    def test_one_of_two_candidates_is_elected(self):
        async def scenario(store):
            first, second = Candidate(store, "a"), Candidate(store, "b")
            await asyncio.gather(first.poll(), second.poll())
            assert len(first.won) + len(second.won) == 1

        self.run(scenario)

    def test_large_machine_is_elected_before_a_small_one(self):
        async def scenario(store):
            small = Candidate(store, "a", cores=0.5)
            large = Candidate(store, "b", cores=2.0)
            await asyncio.gather(small.poll(), large.poll())
            await asyncio.sleep(_election.SMALL_MACHINE_DELAY_S)
            assert large.won
            assert not small.won

        self.run(scenario)

    async def leader_and_follower(self, store):
        leader, follower = Candidate(store, "a"), Candidate(store, "b")
        await leader.poll()
        await follower.poll()
        return leader, follower

    def test_leader_with_heartbeats_is_not_replaced(self):
        async def scenario(store):
            leader, follower = await self.leader_and_follower(store)
            for _ in range(6):
                store.time_ms += 500
                leader.heartbeat()
                await follower.poll()
            assert not follower.won

        self.run(scenario)

    def test_leader_without_heartbeats_is_replaced_under_a_higher_token(self):
        async def scenario(store):
            leader, follower = await self.leader_and_follower(store)
            for _ in range(4):
                store.time_ms += 500
                await follower.poll()
            (won,) = follower.won
            assert won.token > leader.won[0].token
            assert won.number == 1

        self.run(scenario)

    def test_delayed_candidate_does_not_replace_a_new_leader(self):
        async def scenario(store):
            await self.leader_and_follower(store)
            small = Candidate(store, "c", cores=0.5)
            large = Candidate(store, "d", cores=2.0)
            await asyncio.gather(small.poll(), large.poll())
            for _ in range(4):
                store.time_ms += 500
                await asyncio.gather(small.poll(), large.poll())
            # The small machine reads the new leader during its campaign delay.
            await small.poll()
            await asyncio.sleep(2 * _election.SMALL_MACHINE_DELAY_S)
            assert large.won
            assert not small.won

        self.run(scenario)

    def test_rows_read_again_do_not_count_as_heartbeats(self):
        async def scenario(store):
            leader, follower = await self.leader_and_follower(store)
            for _ in range(4):
                store.time_ms += 500
                await follower.poll(is_snapshot=True)
            assert follower.won[0].token > leader.won[0].token

        self.run(scenario)

    def test_leader_without_heartbeats_is_replaced_soon_after_an_outage(self):
        async def scenario(store):
            _, follower = await self.leader_and_follower(store)
            store.time_ms += 10_000
            await follower.poll(is_snapshot=True)
            assert not follower.won
            store.time_ms += _election.OUTAGE_ELECTION_TIMEOUT_MS + 50
            await follower.poll(is_snapshot=True)
            assert follower.won

        self.run(scenario)

    def test_outage_of_the_store_does_not_end_a_term_immediately(self):
        async def scenario(store):
            _, follower = await self.leader_and_follower(store)
            store.time_ms += 10_000
            await follower.poll()
            assert not follower.won

        self.run(scenario)

    def test_restarted_process_replaces_its_own_record(self):
        async def scenario(store):
            await self.leader_and_follower(store)
            restarted = Candidate(store, "a", incarnation="2")
            await restarted.poll()
            assert [leader.number for leader in restarted.won] == [1]

        self.run(scenario)

    def test_unanswered_election_is_repeated(self):
        async def scenario(store):
            store.lose_answers = 1
            candidate = Candidate(store, "a")
            await candidate.poll()
            assert not candidate.won
            await asyncio.sleep(0.3)
            await candidate.poll()
            (won,) = candidate.won
            row = store.get(
                _election.TABLE, _election.LEADER_KEY, _election.PART
            )
            assert won.token == row.version

        self.run(scenario)

    def test_start_window_is_shorter_than_the_election_timeout(self):
        assert _election.START_WINDOW_S * 1000 < _election.ELECTION_TIMEOUT_MS


class TestOutages:
    """When the store was away last, as far as a daemon can know."""

    def outage_ended_ms(self, answers_ms, started_s_ago=0.0):
        async def scenario():
            store = _row_store.MemoryRowStore()
            candidate = Candidate(store, "a")
            candidate.election.started_s -= started_s_ago
            for store.time_ms in answers_ms:
                await candidate.poll()
            return candidate.election.outage_ended_ms

        return asyncio.run(scenario())

    def test_a_prompt_first_answer_follows_no_outage(self):
        assert self.outage_ended_ms([5000.0, 5500.0]) == -math.inf

    def test_a_late_first_answer_follows_an_outage(self):
        assert self.outage_ended_ms([5000.0, 5500.0], 4.0) == 5000.0

    def test_a_gap_between_answers_is_an_outage(self):
        answers_ms = [5000.0, 9000.0, 9500.0]
        assert self.outage_ended_ms(answers_ms, 4.0) == 9000.0


class TestHeartbeatAgeAtElection:
    """The bound on leases of earlier terms counts on this age (issue 40).

    A leader extends leases for a while after its last heartbeat. If it were
    replaced sooner, its leases could outlast the next leader's wait for them.
    """

    def elected_after_ms(self, answers_ms):
        """Returns the age of the last heartbeat at the first answer that wins.

        Args:
            answers_ms: Times of the answers of the store; the last heartbeat
                precedes the first one.
        """

        async def scenario():
            store = _row_store.MemoryRowStore()
            leader, follower = Candidate(store, "a"), Candidate(store, "b")
            follower.eligible = False
            await leader.poll()
            follower.election.started_s -= 60.0
            leader.heartbeat()
            start_ms = store.time_ms
            await follower.poll()
            follower.eligible = True
            for after_ms in answers_ms:
                store.time_ms = start_ms + after_ms
                await follower.poll(is_snapshot=True)
                if follower.won:
                    return after_ms
            return math.inf

        return asyncio.run(scenario())

    LONGEST_GAP_MS = _election.FEED_GAP_MS + _election.FEED_WAIT_S * 1000

    @pytest.mark.parametrize(
        "answers_ms",
        [
            # A store that answers all the time.
            [800, 1550, 1650, 1750, 1850],
            # A gap that just counts as an outage.
            [LONGEST_GAP_MS + 10, 2700, 2900],
            # A gap that just does not.
            [LONGEST_GAP_MS - 10, 1750, 1850],
        ],
    )
    def test_a_silent_leader_is_replaced_after_its_start_window(
        self, answers_ms
    ):
        age_s = self.elected_after_ms(answers_ms) / 1000
        assert _election.START_WINDOW_S < age_s < math.inf

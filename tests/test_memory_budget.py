"""Tests of the accounting of connections and request bodies."""

import asyncio

from baobabdoor.transport import _chunk_pacer
from baobabdoor.transport import _gate
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _response_budget

Phase = _memory_budget.Phase
TIMEOUTS_S = dict.fromkeys(Phase, 15.0) | {Phase.HEADER: 3.0}


def make_budget(request_bytes=100, connections=3):
    bounds = _memory_budget.Bounds(request_bytes, connections, 50)
    return _memory_budget.MemoryBudget(bounds)


class TestDivision:

    def test_parts_stay_within_memory_and_descriptors(self):
        for memory_mb in (64, 96, 200, 552):
            for descriptors in (400, 4100, 8192):
                bounds = _memory_budget.divide(memory_mb, descriptors)
                parts = (bounds.callers, bounds.peers, bounds.probes)
                request_bytes = sum(part.request_bytes for part in parts)
                connections = bounds.callers.connections
                network_bytes = (
                    request_bytes
                    + bounds.probes.request_bytes
                    + connections * _memory_budget.CONNECTION_BYTES
                )
                free_mb = memory_mb - 42
                limit_mb = max(10, 0.6 * free_mb)
                assert network_bytes <= limit_mb * 1024 * 1024
                sockets = sum(part.connections for part in parts)
                assert sockets + 32 <= 0.9 * (descriptors - 200)

    def test_smallest_machine_serves_many_callers(self):
        """A client inside the limits is not to meet a bound."""
        bounds = _memory_budget.divide(200, 4100)
        assert bounds.callers.connections >= 1000
        assert bounds.callers.request_bytes >= 100 * 262_144
        assert bounds.peers.connections >= 300

    def test_absurd_settings_leave_room_for_some_requests(self):
        bounds = _memory_budget.divide(1, 1)
        assert bounds.callers.connections >= 8
        assert bounds.callers.request_bytes >= 2 * 1024 * 1024


class TestBudget:

    def test_longest_unfinished_request_is_chosen_not_the_newest(self):
        budget = make_budget()
        for number, name in enumerate("abc"):
            budget.open(name, number)
        budget.enter("b", Phase.BODY, 4.0)
        budget.enter("a", Phase.BODY, 5.0)
        assert budget.longest_unfinished() == "b"
        assert budget.longest_waiting() == "c"
        budget.enter("b", Phase.IDLE, 6.0)
        assert budget.longest_unfinished() == "a"

    def test_small_requests_are_not_closed_in_favour_of_large_ones(self):
        budget = make_budget(connections=9)
        for name, size in (("small", 1), ("large", 50), ("larger", 60)):
            budget.open(name, 0.0)
            budget.enter(name, Phase.BODY, 1.0)
            budget.charge(name, size)
        assert budget.overdrawn()
        assert budget.longest_unfinished() == "large"
        assert budget.longest_unfinished("large") == "larger"

    def test_others_are_closed_in_preference_to_trusted_connections(self):
        budget = make_budget(connections=9)
        for name in ("trusted", "other"):
            budget.open(name, 0.0)
            budget.enter(name, Phase.BODY, 1.0)
        budget.trust("trusted")
        budget.charge("trusted", 101)
        assert budget.longest_unfinished() == "other"
        assert budget.longest_waiting() == "other"
        budget.close("other")
        assert budget.longest_unfinished() == "trusted"
        assert budget.longest_waiting() == "trusted"

    def test_unread_replies_count_until_they_are_released(self):
        budget = make_budget()
        budget.open("a", 0.0)
        budget.enter("a", Phase.WRITING, 1.0)
        budget.charge("a", 101)
        assert budget.longest_unfinished() == "a"
        budget.release("a")
        budget.enter("a", Phase.IDLE, 2.0)
        assert (budget.held_bytes, budget.longest_unfinished()) == (0, None)

    def test_idle_connections_over_their_share_are_closed_first(self):
        bounds = _memory_budget.Bounds(100, 99, 50, connection_bytes=5)
        budget = _memory_budget.MemoryBudget(bounds)
        budget.open("body", 0.0)
        budget.enter("body", Phase.BODY, 0.0)
        for number in range(5):
            budget.open(number, 1.0)
        assert budget.held_bytes == 30
        assert budget.longest_idle() is None
        budget.open(5, 1.0)
        assert budget.longest_idle() == 0

    def test_handled_requests_are_not_chosen(self):
        budget = make_budget()
        budget.open("a", 0.0)
        budget.start_handling("a", 1.0)
        assert budget.longest_waiting() is None
        assert budget.longest_unfinished() is None

    def test_request_in_a_handler_counts_after_its_connection_closed(self):
        """Clients that leave early held memory that was not counted."""
        budget = make_budget()
        budget.open("a", 0.0)
        budget.charge("a", 101)
        held_bytes = budget.start_handling("a", 1.0)
        budget.close("a")
        assert budget.overdrawn()
        budget.end_handling(held_bytes)
        assert budget.held_bytes == 0

    def test_closed_connection_holds_nothing(self):
        budget = make_budget(connections=1)
        budget.open("a", 0.0)
        budget.enter("a", Phase.BODY, 0.0)
        budget.charge("a", 101)
        assert budget.overdrawn()
        assert budget.is_full()
        for _ in range(2):
            budget.close("a")
        budget.charge("a", 5)
        budget.enter("a", Phase.IDLE, 1.0)
        assert budget.held_bytes == 0
        assert not budget.is_full()
        assert budget.longest_waiting() is None

    def test_phases_have_their_own_timeouts(self):
        budget = make_budget()
        for name in "abc":
            budget.open(name, 0.0)
        budget.enter("b", Phase.HEADER, 1.0)
        budget.start_handling("c", 1.0)
        assert not list(budget.overdue(3.9, TIMEOUTS_S))
        overdue = list(budget.overdue(4.0, TIMEOUTS_S))
        assert overdue == [("b", Phase.HEADER)]
        overdue = dict(budget.overdue(99.0, TIMEOUTS_S))
        assert overdue == {"a": Phase.IDLE, "b": Phase.HEADER}


class TestPool:

    def test_servers_of_a_process_share_it(self):
        pool = _memory_budget.MemoryPool(100)
        bounds = _memory_budget.Bounds(100, 9, 50, connection_bytes=10)
        first, second = (
            _memory_budget.MemoryBudget(bounds, pool) for _ in range(2)
        )
        first.open("a", 0.0)
        first.charge("a", 50)
        assert not second.overdrawn()
        second.open("b", 0.0)
        second.charge("b", 31)
        assert first.overdrawn()
        held_bytes = second.start_handling("b", 1.0)
        second.close("b")
        assert pool.used_bytes_ == 101
        second.end_handling(held_bytes)
        first.close("a")
        first.forget("a")
        second.forget("b")
        assert pool.used_bytes_ == 0

    def test_memory_of_another_server_is_reclaimed(self):
        pool = _memory_budget.MemoryPool(100)
        asked = []
        for name in ("first", "second"):
            pool.add_reclaimer(lambda name=name: asked.append(name))
        own = pool.reclaimers_[0]
        assert not pool.reclaim(own)
        assert asked == ["second"]


class TestGate:

    def test_sum_of_sizes_is_bounded_and_order_is_kept(self):
        async def scenario():
            gate = _gate.Gate(10)
            assert await gate.enter(20)
            waits = [asyncio.ensure_future(gate.enter(6)) for _ in range(3)]
            await asyncio.sleep(0)
            gate.leave(20)
            await asyncio.sleep(0)
            assert [wait.done() for wait in waits] == [True, False, False]
            assert gate.refuse_longest_waiting() == 6
            assert not await waits[1]
            gate.leave(6)
            assert await waits[2]

        asyncio.run(scenario())

    def test_request_without_a_body_does_not_wait_behind_others(self):
        """State requests were refused beside a burst of submissions."""

        async def scenario():
            gate = _gate.Gate(10, max_wait_s=0.01)
            assert await gate.enter(10)
            submission = asyncio.ensure_future(gate.enter(1))
            await asyncio.sleep(0)
            assert await gate.enter(0)
            gate.leave(0)
            assert not await submission

        asyncio.run(scenario())

    def test_request_without_a_turn_is_refused(self):
        async def scenario():
            gate = _gate.Gate(10, max_wait_s=0.01)
            assert await gate.enter(10)
            assert not await gate.enter(1)
            gate.leave(10)
            assert gate.used_bytes_ == 0

        asyncio.run(scenario())


class TestChunkPacer:

    def test_closed_connections_take_no_turn(self):
        async def scenario():
            pacer = _chunk_pacer.ChunkPacer()
            pacer.turns_left_ = 0
            count = 50 * _chunk_pacer.TURNS_PER_INTERVAL
            turns = [
                asyncio.ensure_future(pacer.turn(lambda: True))
                for _ in range(count)
            ]
            await asyncio.sleep(0)
            pacer._grant()
            await asyncio.gather(*turns)
            assert pacer.turns_left_ == _chunk_pacer.TURNS_PER_INTERVAL

        asyncio.run(scenario())

    def test_turns_per_interval_are_bounded(self):
        async def scenario():
            pacer = _chunk_pacer.ChunkPacer()
            count = 3 * _chunk_pacer.TURNS_PER_INTERVAL
            turns = [
                asyncio.ensure_future(pacer.turn(lambda: False))
                for _ in range(count)
            ]
            await asyncio.sleep(0)
            done = sum(turn.done() for turn in turns)
            assert done == _chunk_pacer.TURNS_PER_INTERVAL
            await asyncio.gather(*turns)

        asyncio.run(scenario())


class TestResponses:

    def test_largest_response_is_aborted(self):
        """Responses far over what is usual exhausted the memory."""
        budget = _response_budget.ResponseBudget(100)
        aborted = []
        for name, size in (("a", 30), ("b", 60), ("c", 20)):
            budget.charge(name, size, lambda name=name: aborted.append(name))
        assert aborted == ["b"]
        budget.release("b")
        budget.release("a")
        assert budget.held_bytes_ == 20

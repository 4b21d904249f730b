"""Tests of the controller: failing tasks and the release of leadership."""

import asyncio
import json
import math
import types

import pytest
import scheduling_fixtures

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _controller
from baobabdoor.dispatch import _election
from baobabdoor.standin import _row_store


class SilentClient:
    """Platform client that never answers."""

    async def list_machines(self):
        await asyncio.sleep(3600)

    async def hold(self, order):
        await asyncio.sleep(3600)


class Bench:
    """A daemon with an in-memory store and unresponsive platform clients."""

    def __init__(self):
        self.store = _row_store.MemoryRowStore()
        self.ended = []
        self.daemon = types.SimpleNamespace(
            store=self.store,
            worker_client=SilentClient(),
            machine_client=SilentClient(),
            configuration=scheduling_fixtures.configuration(),
            waves={},
            metrics=observability.Metrics(),
            settings=types.SimpleNamespace(
                stop_timeout_s=0.4,
                max_lease_s=6.0,
                status_s=120.0,
                move_s=3.0,
                maintenance_s=4.0,
                heartbeat_s=1.5,
                contact_s=2.5,
                row_bytes=65_536,
            ),
            election=types.SimpleNamespace(outage_ended_ms=0.0),
            observe_term_end=self.ended.append,
        )

    def controller(self):
        self.store.version = 1
        leader = _election.Leader("a", "a-1", "a:1", 0, False, 1)
        key = (_election.TABLE, _election.PART, _election.LEADER_KEY)
        self.store.rows[key] = platform.StoredRow(*key, leader.encode(), 1)
        return _controller.Controller(
            self.daemon, leader, platform.boot_time_s()
        )


class MovingClient(SilentClient):
    """Machine client that records whether a move may still be sent."""

    def __init__(self):
        self.permitted = []

    async def move(self, machine, pool, token, permit):
        del machine, pool, token
        self.permitted.append(permit())
        return platform.MachineOutcome.THROTTLED


class TestPause:
    """The process is suspended between planning an order and sending it."""

    def order_move(self, pause_s):
        async def scenario():
            bench = Bench()
            bench.daemon.machine_client = MovingClient()
            controller = bench.controller()
            controller.committer.confirmed_s -= pause_s
            move = scheduling.Move("m1", "results", "", 0.0)
            await controller.wave_runner._order_move(move)
            return bench.daemon.machine_client.permitted

        return asyncio.run(scenario())

    def test_move_is_sent_under_a_current_lease(self):
        assert self.order_move(0.0) == [True]

    def test_move_is_not_sent_after_the_lease_expired(self):
        assert self.order_move(_election.START_WINDOW_S + 0.1) == [False]


class TestStoreOutage:
    """Jobs arrive while a transaction waits for a silent store."""

    STEP = scheduling.StepSpec(1, cpu_milli=100)

    async def start(self, bench):
        controller = bench.controller()
        controller.start()
        await asyncio.wait_for(controller.loaded.wait(), 1)
        return controller

    def submit(self, controller, job_id, timeout_s):
        spec = scheduling.JobSpec(
            job_id, scheduling_fixtures.QUEUE, "text", (self.STEP,)
        )
        return asyncio.ensure_future(controller.submit(spec, timeout_s))

    def test_job_that_no_write_contained_is_refused_at_once(self):
        async def scenario():
            bench = Bench()
            controller = await self.start(bench)
            bench.store.reachable = False
            controller.committer.timeout_s = 0.3
            written = self.submit(controller, "00000000000000a1", 2.0)
            while (
                not controller.scheduler.jobs
                or not next(
                    iter(controller.scheduler.jobs.values())
                ).write_attempted
            ):
                await asyncio.sleep(0.005)
            unwritten = self.submit(controller, "00000000000000a2", 2.0)
            refusal = await asyncio.wait_for(unwritten, 1.8)
            assert refusal.reason is base.Reason.PLATFORM_UNAVAILABLE
            assert "00000000000000a2" not in controller.scheduler.jobs
            # The write of the other job may still be applied.
            result = await written
            assert result.reason is base.Reason.UNKNOWN_RESULT
            controller.end("test")

        asyncio.run(scenario())

    def test_job_of_an_ended_term_is_submitted_to_the_next_leader(self):
        async def scenario():
            controller = await self.start(Bench())
            controller.committer.write_requested = asyncio.Event()
            submission = self.submit(controller, "00000000000000a1", 2.0)
            await asyncio.sleep(0)
            controller.end("test")
            refusal = await asyncio.wait_for(submission, 1)
            assert refusal.reason is base.Reason.NOT_HOLDER

        asyncio.run(scenario())


class FencingClient(SilentClient):
    """Worker client that answers every hold, after another call ended.

    Args:
        result: Result of each hold.
        interrupt: Called while the worker carries out the hold.
    """

    def __init__(self, result, interrupt=lambda: None):
        self.result = result
        self.interrupt = interrupt

    async def hold(self, order):
        self.interrupt()
        return self.result


class TestFencing:

    REFUSAL = scheduling.OrderResult(scheduling.OrderOutcome.FENCED)

    def hold(self, result, restarts):
        """Returns the controller after a hold during which w1 may restart."""

        async def scenario():
            bench = Bench()
            controller = bench.controller()
            scheduler = controller.scheduler
            scheduler.observe_worker(
                scheduling_fixtures.record("w1"), platform.boot_time_s()
            )
            worker = scheduler.workers["w1"]

            def interrupt():
                scheduler.observe_commit(5)
                scheduler.restart_worker(worker, 2, "list", 0.0)

            controller.worker_client = FencingClient(
                result, interrupt if restarts else lambda: None
            )
            await controller._hold(worker)
            return controller

        return asyncio.run(scenario())

    def test_a_hold_with_the_newest_token_that_is_refused_ends_the_term(self):
        assert self.hold(self.REFUSAL, restarts=False).ended

    def test_a_hold_of_before_a_restart_that_is_refused_does_not(self):
        assert not self.hold(self.REFUSAL, restarts=True).ended

    def test_a_restart_requests_a_transaction_at_once(self):
        async def scenario():
            bench = Bench()
            controller = bench.controller()
            scheduler = controller.scheduler
            scheduler.observe_worker(
                scheduling_fixtures.record("w1"), platform.boot_time_s()
            )
            worker = scheduler.workers["w1"]
            for start_time_ms in (1, 2):
                controller.committer.write_requested.clear()
                report = scheduling.WorkerReport(1000, start_time_ms, (), ())
                controller.worker_client = FencingClient(report)
                await controller._hold(worker)
            assert worker.token_outdated
            assert controller.committer.write_requested.is_set()
            assert await controller.committer._write()
            assert not worker.token_outdated

        asyncio.run(scenario())


class TestUnreadableRows:

    def test_tasks_wait_for_the_workers_of_an_unreadable_roster(self):
        async def scenario():
            bench = Bench()
            key = (_commits.ROSTER_TABLE, _election.PART, "00")
            controller = bench.controller()
            bench.store.rows[key] = platform.StoredRow(*key, b"[", 1)
            controller.start()
            await asyncio.wait_for(controller.loaded.wait(), 1)
            assert not bench.ended
            assert controller.scheduler.inherited_blocked()
            controller.end("test")

        asyncio.run(scenario())


class TestController:

    def test_failing_background_task_ends_the_term(self):
        async def scenario():
            bench = Bench()
            controller = bench.controller()
            controller.start()
            await asyncio.wait_for(controller.loaded.wait(), 1)
            assert not bench.ended

            async def fail():
                raise ValueError("injected")

            controller.spawn(fail())
            await asyncio.sleep(0.05)
            assert bench.ended == [controller]
            assert controller.ended

        asyncio.run(scenario())

    def test_durations_of_the_platform_reach_the_scheduler(self):
        async def scenario():
            options = Bench().controller().scheduler.options
            assert (options.move_s, options.maintenance_s) == (3.0, 4.0)
            assert options.max_entry_age_s == 2.5

        asyncio.run(scenario())

    def test_release_is_recorded_in_the_store(self):
        async def scenario():
            bench = Bench()
            controller = bench.controller()
            controller.start()
            await asyncio.wait_for(controller.loaded.wait(), 1)
            await controller.release()
            row = bench.store.get(
                _election.TABLE, _election.LEADER_KEY, _election.PART
            )
            assert b'"released": true' in row.value
            assert bench.ended == [controller]

        asyncio.run(scenario())


class TestEntryTimes:
    """When the entries in the list of workers were written at the earliest."""

    ENTRY = {
        "service": scheduling_fixtures.POOL,
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "born": 1,
        "capacity": {"cpu": 4000, "mem-mb": 8000},
    }

    def entry_ages_s(self, answers, outage_ended_ms=0.0):
        """Returns an entry's age after each of some answers.

        Args:
            answers: Store times in milliseconds, and whether the answer is a
                snapshot.
            outage_ended_ms: Store time at which an outage ended.
        """

        async def scenario():
            bench = Bench()
            bench.daemon.election.outage_ended_ms = outage_ended_ms
            bench.daemon.worker_client = SilentClient()
            controller = bench.controller()
            value = json.dumps(self.ENTRY).encode()
            row = platform.StoredRow("servers", "", "w1", value, 1)
            ages_s = []
            for store_ms, is_snapshot in answers:
                bench.store.time_ms = store_ms
                controller._observe_workers(
                    [row], platform.RowSet((row,), 1, store_ms), is_snapshot
                )
                worker = controller.scheduler.workers["w1"]
                ages_s.append(platform.boot_time_s() - worker.entry_s)
            await controller.release()
            return ages_s

        return asyncio.run(scenario())

    def test_a_listed_entry_is_as_old_as_a_heartbeat(self):
        (age_s,) = self.entry_ages_s([(60_000, True)])
        assert age_s == pytest.approx(1.5, abs=0.2)

    def test_a_changed_entry_is_newer_than_the_previous_answer(self):
        ages_s = self.entry_ages_s([(60_000, True), (60_400, False)])
        assert ages_s[1] == pytest.approx(0.4, abs=0.2)

    def test_after_an_outage_of_the_store_an_entry_may_be_of_any_age(self):
        (age_s,) = self.entry_ages_s([(60_000, True)], outage_ended_ms=59_000)
        assert age_s == math.inf

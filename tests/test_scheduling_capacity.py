"""Tests of starts on workers whose capacity changes while they run."""

import math

import attrs
import pytest
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000cc"
MAX_ENTRY_AGE_S = 3.0


class ChangingFleet(scheduling_fixtures.Fleet):
    """One worker of 4 cores whose entry in the list can be rewritten."""

    def __init__(self):
        super().__init__(["w1"])
        self.scheduler.options = attrs.evolve(
            self.scheduler.options, max_entry_age_s=MAX_ENTRY_AGE_S
        )
        self.write_entry(4000)

    def write_entry(self, cpu_milli, written_s=None, **fields):
        record = scheduling_fixtures.record("w1", cpu_milli=cpu_milli, **fields)
        if written_s is None:
            written_s = self.now_s
        self.scheduler.observe_worker(record, self.now_s, written_s)

    def submit_tasks(self, count):
        return self.submit(JOB, [scheduling.StepSpec(count, cpu_milli=1000)])

    def enforce_capacity(self):
        configuration = scheduling_fixtures.configuration()
        pool = configuration.pools[scheduling_fixtures.POOL]
        configuration.pools[pool.name] = attrs.evolve(
            pool, enforces_capacity=True
        )
        self.scheduler.configuration = configuration


class TestShrunkCapacity:

    def test_nothing_starts_above_a_capacity_that_has_shrunk(self):
        fleet = ChangingFleet()
        fleet.submit_tasks(6)
        first = fleet.accept(fleet.starts())
        assert len(first) == 4
        fleet.write_entry(2000)
        for order, startable in zip(first, (0, 0, 1, 1), strict=True):
            fleet.end("w1", order.task, order.run_id)
            assert len(fleet.accept(fleet.starts())) == startable

    def test_a_run_that_is_being_stopped_counts(self):
        fleet = ChangingFleet()
        job = fleet.submit_tasks(4)
        fleet.accept(fleet.starts())
        fleet.write_entry(4000)
        fleet.scheduler.cancel(job.spec.job_id)
        fleet.submit("00000000000000dd", [scheduling.StepSpec(1, 1000)])
        stops = fleet.plan()
        assert {type(order) for order in stops} == {scheduling.StopOrder}
        assert len(stops) == 4

    def test_capacity_that_has_grown_again_is_used(self):
        fleet = ChangingFleet()
        fleet.write_entry(1000)
        fleet.submit_tasks(4)
        assert len(fleet.accept(fleet.starts())) == 1
        fleet.write_entry(4000)
        assert len(fleet.accept(fleet.starts())) == 3

    def test_a_shrunk_worker_takes_no_capacity_from_others(self):
        """Guards against jobs rejected for room that others have."""
        fleet = scheduling_fixtures.Fleet(["w1"])
        lasting = scheduling.StepSpec(4, cpu_milli=1000, long_running=True)
        fleet.submit(JOB, [lasting])
        assert len(fleet.accept(fleet.starts())) == 4
        fleet.add_worker("w2")
        record = scheduling_fixtures.record("w1", cpu_milli=1000)
        fleet.scheduler.observe_worker(record, fleet.now_s)
        admission = fleet.scheduler.admission
        pool = scheduling_fixtures.POOL
        assert admission.capacity_cores(pool, fleet.now_s) == 4.0


class TestOutdatedEntries:

    @pytest.mark.parametrize("written_s", [-math.inf, -3.5])
    def test_nothing_starts_while_the_capacity_is_not_known(self, written_s):
        fleet = ChangingFleet()
        fleet.advance(10)
        fleet.write_entry(4000, fleet.now_s + written_s)
        fleet.submit_tasks(1)
        assert not fleet.starts()
        fleet.write_entry(4000)
        assert len(fleet.starts()) == 1

    def test_an_entry_serves_until_its_maximum_age(self):
        fleet = ChangingFleet()
        fleet.advance(MAX_ENTRY_AGE_S - 0.5)
        fleet.submit_tasks(1)
        assert len(fleet.starts()) == 1

    def test_a_worker_that_enforces_its_capacity_starts_tasks_anyway(self):
        fleet = ChangingFleet()
        fleet.enforce_capacity()
        fleet.advance(10)
        fleet.submit_tasks(1)
        assert len(fleet.starts()) == 1

    def test_the_next_incarnation_waits_for_an_entry_of_its_own(self):
        fleet = ChangingFleet()
        fleet.now_s += 0.1
        fleet.report("w1", start_time_ms=2)
        fleet.submit_tasks(4)
        fleet.report("w1", start_time_ms=2)
        fleet.write_entry(4000, start_time_ms=1)
        assert fleet.scheduler.workers["w1"].usable(fleet.now_s)
        assert not fleet.starts()
        fleet.write_entry(1000, start_time_ms=2)
        assert len(fleet.starts()) == 1

    def test_an_outdated_entry_is_logged_once(self):
        fleet = ChangingFleet()
        fleet.advance(10)
        for _ in range(3):
            fleet.plan()
        fleet.write_entry(4000)
        fleet.plan()
        names = [event.name for event in fleet.scheduler.events]
        assert names.count("capacity_outdated") == 1
        assert names.count("capacity_known") == 1


class TestRefusedStarts:

    def refuse(self, fleet, outcome):
        (order,) = fleet.starts()
        fleet.answer(order, outcome)
        fleet.now_s += 0.2
        return order.worker_id

    @pytest.mark.parametrize(
        "outcome",
        [
            scheduling.OrderOutcome.NO_ROOM,
            scheduling.OrderOutcome.INVALID,
            scheduling.OrderOutcome.WITHHELD,
        ],
    )
    def test_a_refused_start_is_sent_to_another_worker(self, outcome):
        """Guards against one worker that is tried for ever."""
        fleet = scheduling_fixtures.Fleet(["w1", "w2", "w3"])
        fleet.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        refused = [self.refuse(fleet, outcome) for _ in range(3)]
        assert sorted(refused) == ["w1", "w2", "w3"]
        assert len(fleet.accept(fleet.starts())) == 1
        (task,) = fleet.scheduler.jobs[JOB].tasks()
        assert not task.refusing_workers

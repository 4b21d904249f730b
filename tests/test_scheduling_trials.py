"""Tests of where tasks start that may crash their workers."""

import crashing_fleet
import pytest
import scheduling_fixtures

from baobabdoor import scheduling
from baobabdoor.scheduling import _trials


class TestSuspects:

    def fleet_with_suspects(self, worker_count=4):
        """Crashes the worker of six tasks of one job and of one of another."""
        fleet = crashing_fleet.CrashingFleet(worker_count)
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(6)])
        fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        fleet.run_starts()
        return fleet

    def test_each_suspect_starts_on_a_worker_that_starts_nothing_else(self):
        fleet = self.fleet_with_suspects()
        fleet.submit("00000000000000cc", [crashing_fleet.step(8)])
        workers = [order.worker_id for order in fleet.accept(fleet.starts())]
        assert len(workers) == len(set(workers)) == 4

    def test_a_suspect_that_survives_its_start_is_cleared(self):
        fleet = self.fleet_with_suspects()
        fleet.submit("00000000000000cc", [crashing_fleet.step(8)])
        for _ in range(4):
            fleet.accept(
                order
                for order in fleet.starts()
                if crashing_fleet.CRASHING not in order.task
            )
            fleet.advance(0.5)
        assert not any(
            task.start_crashes
            for task in fleet.scheduler.jobs[crashing_fleet.HARMLESS].tasks()
        )

    def test_a_run_that_its_worker_had_survived_is_no_suspect(self):
        fleet = crashing_fleet.CrashingFleet()
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(6)])
        (worker_id,) = {order.worker_id for order in fleet.run_starts()}
        fleet.advance(1)
        fleet.crash(worker_id)
        assert len(fleet.starts()) == 6

    def isolated_task(self, fleet, count):
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(count)])
        for task in fleet.scheduler.jobs[crashing_fleet.HARMLESS].tasks():
            task.crashes = frozenset(("a@1", "b@1", "c@1"))
            fleet.scheduler.crashes.accused_tasks.add(task)

    def test_a_task_with_many_later_crashes_runs_alone(self):
        fleet = crashing_fleet.CrashingFleet(2)
        self.isolated_task(fleet, 2)
        fleet.submit("00000000000000cc", [crashing_fleet.step(3)])
        workers = [order.worker_id for order in fleet.accept(fleet.starts())]
        assert len(workers) == len(set(workers)) == 2
        fleet.advance(1)
        assert not fleet.starts()

    def test_a_suspect_does_not_wait_for_long(self):
        fleet = crashing_fleet.CrashingFleet(1)
        self.isolated_task(fleet, 2)
        assert len(fleet.accept(fleet.starts())) == 1
        assert not fleet.starts()
        fleet.advance(2.5)
        assert len(fleet.accept(fleet.starts())) == 1

    def overdue_suspects(self, fleet, job_id, crash_ids):
        """Submits two suspects that have waited too long for a worker."""
        job = fleet.submit(job_id, [crashing_fleet.step(2)])
        for task in job.tasks():
            task.crashes = task.start_crashes = frozenset(crash_ids)
            task.trial_wanted_s = fleet.now_s - 3
            fleet.scheduler.crashes.accused_tasks.add(task)
        return job

    def test_a_crash_with_several_starts_does_not_prove_which_is_the_cause(
        self,
    ):
        fleet = crashing_fleet.CrashingFleet(1)
        harmless = fleet.submit(
            crashing_fleet.HARMLESS, [crashing_fleet.step(2)]
        )
        fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        assert len(fleet.accept(fleet.starts())) == 3
        task = next(harmless.tasks())
        task.crashes = task.start_crashes = frozenset(("a@1",))
        fleet.crash("w0.0")
        assert len(task.start_crashes & task.crashes) == 2
        assert not harmless.final

    @pytest.mark.parametrize("crash_ids", [("a@1",), ("a@1", "b@1")])
    def test_suspects_never_start_together(self, crash_ids):
        fleet = crashing_fleet.CrashingFleet(1)
        self.overdue_suspects(fleet, crashing_fleet.HARMLESS, crash_ids)
        assert len(fleet.accept(fleet.starts())) == 1
        fleet.advance(0.5)
        assert len(fleet.accept(fleet.starts())) == 1

    def test_waiting_suspects_keep_machines_in_their_pool(self):
        fleet = crashing_fleet.CrashingFleet(1)
        job = self.overdue_suspects(fleet, crashing_fleet.HARMLESS, ("a@1",))
        trials = fleet.scheduler.trials
        assert trials.required_machines(scheduling_fixtures.POOL) == 1
        for task in fleet.submit(
            crashing_fleet.CRASHING, [crashing_fleet.step(20)]
        ).tasks():
            task.start_crashes = frozenset(("a@1",))
            fleet.scheduler.crashes.accused_tasks.add(task)
        assert trials.required_machines(scheduling_fixtures.POOL) == 3
        assert trials.required_machines("other") == 0
        assert not job.final

    def test_a_suspect_gets_a_worker_in_a_pool_without_free_room(self):
        fleet = crashing_fleet.CrashingFleet(4)
        fleet.crashing_steps = set()
        started = 0
        for round_number in range(40):
            if round_number == 4:
                self.overdue_suspects(
                    fleet, crashing_fleet.CRASHING, ("a@1", "b@1")
                )
            fleet.submit(f"{round_number:016x}", [crashing_fleet.step(8)])
            orders = fleet.run_starts()
            started += sum(
                crashing_fleet.CRASHING in order.task for order in orders
            )
            fleet.now_s += 0.1
            for worker_id, runs in list(fleet.running.items()):
                for task, run_id in list(runs)[:2]:
                    fleet.end(worker_id, task, run_id)
        assert started == 2

    def test_a_task_that_crashes_its_workers_late_is_found(self):
        fleet = crashing_fleet.CrashingFleet(4)
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        fleet.crashing_steps = set()
        for round_number in range(12):
            fleet.submit(f"{round_number:016x}", [crashing_fleet.step(4)])
            crashing = [
                order.worker_id
                for order in fleet.run_starts()
                if crashing_fleet.CRASHING in order.task
            ]
            fleet.advance(1)
            if crashing:
                fleet.crash(crashing[0])
            fleet.finish_runs()
        assert job.state is scheduling.JobState.FAILED
        assert fleet.crash_count <= 5

    def test_a_long_running_task_is_cleared_by_its_probation(self):
        fleet = crashing_fleet.CrashingFleet()
        fleet.submit(
            crashing_fleet.HARMLESS, [crashing_fleet.step(long_running=True)]
        )
        (order,) = fleet.accept(fleet.starts(), percent=100)
        fleet.crash(order.worker_id)
        (order,) = fleet.accept(fleet.starts(), percent=100)
        assert fleet.scheduler.crashes.accused_tasks
        fleet.advance(11)
        assert not fleet.scheduler.crashes.accused_tasks
        fleet.crash(order.worker_id)
        assert not fleet.scheduler.crashes.accused_tasks


class TestGangs:

    def gang(self, count, cpu_milli=500):
        return scheduling.StepSpec(count, cpu_milli=cpu_milli, gang=True)

    def test_a_gang_that_crashes_its_workers_is_not_started_for_ever(self):
        fleet = crashing_fleet.CrashingFleet(6)
        # Two tasks fit on a worker, so that several workers run the gang.
        job = fleet.submit(crashing_fleet.CRASHING, [self.gang(4, 2000)])
        orders = []
        for round_number in range(12):
            fleet.submit(f"{round_number:016x}", [crashing_fleet.step(8)])
            orders += fleet.run_starts()
            fleet.advance(1)
            for worker_id, runs in fleet.running.items():
                for task, run_id in list(runs):
                    how = (
                        "broken"
                        if task.startswith(crashing_fleet.CRASHING)
                        else "done"
                    )
                    fleet.end(worker_id, task, run_id, how)
        assert (
            len(
                crashing_fleet.starts_of(
                    f"{crashing_fleet.CRASHING}.0.0.0", orders
                )
            )
            <= crashing_fleet.MAX_STARTS
        )
        assert job.state is scheduling.JobState.FAILED
        assert all(
            other.state is not scheduling.JobState.FAILED
            for job_id, other in fleet.scheduler.jobs.items()
            if job_id != crashing_fleet.CRASHING
        )

    def test_a_suspected_gang_starts_where_nothing_else_starts(self):
        fleet = crashing_fleet.CrashingFleet(3)
        fleet.submit(crashing_fleet.CRASHING, [self.gang(2)])
        for task in fleet.scheduler.jobs[crashing_fleet.CRASHING].tasks():
            task.crashes = task.start_crashes = frozenset(("a@1",))
            fleet.scheduler.crashes.accused_tasks.add(task)
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(16)])
        workers = {
            crashing_fleet.CRASHING: set(),
            crashing_fleet.HARMLESS: set(),
        }
        for order in fleet.accept(fleet.starts()):
            workers[order.task.partition(".")[0]].add(order.worker_id)
        assert (
            workers[crashing_fleet.CRASHING]
            and workers[crashing_fleet.HARMLESS]
        )
        assert (
            not workers[crashing_fleet.CRASHING]
            & workers[crashing_fleet.HARMLESS]
        )


class TestEvents:

    def test_a_wait_that_takes_too_long_is_reported_once(self):
        fleet = crashing_fleet.CrashingFleet(1)
        suspects = fleet.submit(
            crashing_fleet.CRASHING, [crashing_fleet.step(10)]
        )
        for task in suspects.tasks():
            task.start_crashes = frozenset(("a@1",))
            fleet.scheduler.crashes.accused_tasks.add(task)
        for _ in range(8):
            fleet.starts()
            fleet.advance(0.5)
        delayed = [
            event.fields
            for event in fleet.scheduler.take_events()
            if event.name == "trial_delayed"
        ]
        assert len(delayed) == len({fields["task"] for fields in delayed}) > 0
        assert delayed[0]["waited_ms"] > _trials.MAX_WAIT_S * 1000

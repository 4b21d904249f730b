"""Tests that every wait because of a crash ends within a bound."""

import random

import crashing_fleet
import pytest
import scheduling_fixtures

from baobabdoor import scheduling
from baobabdoor.scheduling import _crashes

# Bound of a wait in these tests: less than the 3 s after which a job that could
# run counts as forgotten, once it is known that its last run has ended.
WAIT_S = 2.5
STEP_S = 0.1
# Long enough for lasting tasks to pass their probation.
PROBATION_S = 11


class WaitingFleet(crashing_fleet.CrashingFleet):
    """Workers on which suspects wait that do not crash them."""

    def __init__(self, worker_count=4):
        super().__init__(worker_count)
        self.crashing_steps = set()

    def start_lasting_tasks(self, count):
        """Starts a lasting task on each of some workers."""
        self.submit(
            "00000000000000dd",
            [crashing_fleet.step(count, long_running=True, max_per_worker=1)],
        )
        assert len(self.run_starts(percent=100)) == count

    def end_batch_runs(self):
        """Ends all runs but those of lasting tasks."""
        for worker_id, runs in list(self.running.items()):
            for name, run_id in list(runs):
                task = self.scheduler.find_task(name)
                if not task.spec.long_running:
                    how = "broken" if task.spec.gang else "done"
                    self.end(worker_id, name, run_id, how)

    def submit_suspects(self, steps, crashes, start_crashes):
        """Submits a job against whose tasks crashes are held."""
        job = self.submit(crashing_fleet.CRASHING, steps)
        for task in job.tasks():
            self.accuse(task, crashes, start_crashes)
        return job

    def accuse(self, task, crashes, start_crashes):
        """Holds crashes of earlier workers against a task."""
        task.crashes = frozenset(f"c{i}@1" for i in range(crashes))
        task.start_crashes = frozenset(f"c{i}@1" for i in range(start_crashes))
        if task.accused:
            self.scheduler.crashes.accused_tasks.add(task)

    def started_within(self, job_id, seconds, each_step=lambda: None):
        """Returns the tasks of a job that start within some seconds."""
        started = set()
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            each_step()
            orders = self.run_starts(percent=100)
            started |= {order.task for order in orders if job_id in order.task}
            self.advance(STEP_S)
        return started


class TestSuspects:

    @pytest.mark.parametrize("gang", [False, True])
    @pytest.mark.parametrize("passed_probation", [False, True])
    @pytest.mark.parametrize("start_crashes", [0, 1, 3])
    @pytest.mark.parametrize("crashes", [1, 3])
    def test_suspects_start_where_each_worker_has_a_lasting_task(
        self, crashes, start_crashes, passed_probation, gang
    ):
        fleet = WaitingFleet()
        fleet.start_lasting_tasks(4)
        fleet.advance(PROBATION_S if passed_probation else 1)
        fleet.submit_suspects(
            [crashing_fleet.step(2, gang=gang)], crashes, start_crashes
        )
        assert len(fleet.started_within(crashing_fleet.CRASHING, WAIT_S)) == 2

    def test_a_lasting_task_that_passed_its_probation_does_not_delay_a_trial(
        self,
    ):
        fleet = WaitingFleet(1)
        fleet.start_lasting_tasks(1)
        fleet.advance(PROBATION_S)
        fleet.submit_suspects([crashing_fleet.step()], 3, 0)
        assert len(fleet.run_starts()) == 1

    def test_a_suspect_is_not_kept_for_a_worker_that_runs_enough_of_its_step(
        self,
    ):
        fleet = WaitingFleet(2)
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(4)])
        (busy_worker,) = {order.worker_id for order in fleet.run_starts()}
        steps = [crashing_fleet.step(2, long_running=True, max_per_worker=1)]
        job = fleet.submit(crashing_fleet.CRASHING, steps)
        orders = fleet.run_starts(percent=100)
        (order,) = (order for order in orders if order.worker_id == busy_worker)
        fleet.advance(1)
        fleet.end(order.worker_id, order.task, order.run_id, "failed")
        for task in job.tasks():
            fleet.accuse(task, 1, task.run is None)
        assert fleet.started_within(crashing_fleet.CRASHING, WAIT_S)

    @pytest.mark.parametrize("start_crashes", [0, 1])
    def test_a_lasting_task_after_a_crash_requests_the_machine_that_it_lacks(
        self, start_crashes
    ):
        fleet = WaitingFleet(2)
        steps = [crashing_fleet.step(3, long_running=True, max_per_worker=1)]
        fleet.submit_suspects(steps, 1, start_crashes)
        for _ in range(5):
            fleet.run_starts(percent=100)
            fleet.advance(STEP_S)
        fleet.scheduler.machine_shortages.clear()
        fleet.run_starts(percent=100)
        assert fleet.scheduler.machine_shortages == {
            scheduling_fixtures.POOL: 1
        }

    def test_a_suspect_starts_while_every_worker_is_full(self):
        fleet = WaitingFleet(4)
        jobs = iter(range(1000))

        def keep_full():
            fleet.submit(f"{next(jobs):016x}", [crashing_fleet.step(8)])
            for worker_id, runs in list(fleet.running.items()):
                for task, run_id in list(runs)[:1]:
                    fleet.end(worker_id, task, run_id)

        for _ in range(8):
            keep_full()
            fleet.run_starts()
        fleet.submit_suspects([crashing_fleet.step(cpu_milli=4000)], 2, 2)
        assert fleet.started_within(crashing_fleet.CRASHING, 6, keep_full)


class TestOtherTasks:

    def test_a_task_does_not_wait_for_the_end_of_an_isolated_task(self):
        fleet = WaitingFleet(1)
        fleet.submit_suspects([crashing_fleet.step()], 3, 0)
        assert fleet.run_starts()
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(3)])
        assert len(fleet.started_within(crashing_fleet.HARMLESS, WAIT_S)) == 3

    def test_a_gang_does_not_wait_for_the_end_of_an_isolated_task(self):
        fleet = WaitingFleet(1)
        fleet.submit_suspects([crashing_fleet.step()], 3, 0)
        assert fleet.run_starts()
        fleet.submit(
            crashing_fleet.HARMLESS, [crashing_fleet.step(3, gang=True)]
        )
        assert len(fleet.started_within(crashing_fleet.HARMLESS, WAIT_S)) == 3

    def test_a_task_does_not_wait_for_a_suspect_that_does_not_fit_yet(self):
        fleet = WaitingFleet(1)
        fleet.submit("00000000000000cc", [crashing_fleet.step(cpu_milli=2000)])
        fleet.run_starts()
        fleet.advance(1)
        fleet.submit_suspects([crashing_fleet.step(cpu_milli=3000)], 1, 1)
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(3)])
        assert len(fleet.started_within(crashing_fleet.HARMLESS, WAIT_S)) == 3


class TestRandomStates:

    @pytest.mark.parametrize("seed", range(60))
    def test_a_task_that_fits_twice_starts_in_a_pool_that_is_half_empty(
        self, seed
    ):
        draw = random.Random(seed)
        worker_count = draw.randint(2, 8)
        fleet = WaitingFleet(worker_count)
        fleet.start_lasting_tasks(draw.randint(0, worker_count))
        fleet.advance(draw.choice((0.1, 1, PROBATION_S)))
        jobs = []
        for number in range(draw.randint(1, 2)):
            step = crashing_fleet.step(
                draw.randint(1, 3),
                gang=draw.random() < 0.4,
                long_running=draw.random() < 0.3,
                max_per_worker=draw.choice((0, 0, 2)),
            )
            jobs.append(fleet.submit(f"{number:016x}", [step]))
        for task in [task for job in jobs for task in job.tasks()]:
            fleet.accuse(task, draw.randint(0, 4), draw.randint(0, 3))
        started = fleet.started_within("00000000000000", WAIT_S)
        assert started == {task.name for job in jobs for task in job.tasks()}


class TestRelaxedTrials:

    @pytest.mark.parametrize("gang", [False, True])
    @pytest.mark.parametrize("crashes_after_s", [0, 1])
    @pytest.mark.parametrize("passed_probation", [False, True])
    def test_a_task_that_crashes_its_workers_is_given_up_beside_lasting_ones(
        self, passed_probation, crashes_after_s, gang
    ):
        fleet = WaitingFleet(6)
        fleet.start_lasting_tasks(6)
        fleet.advance(PROBATION_S if passed_probation else 1)
        steps = [crashing_fleet.step(2, gang=gang)]
        job = fleet.submit(crashing_fleet.CRASHING, steps)
        first = next(job.tasks())
        starts = 0
        for number in range(100):
            fleet.submit(f"{number:016x}", [crashing_fleet.step(4)])
            orders = fleet.run_starts(percent=100)
            deadly = crashing_fleet.starts_of(first.name, orders)
            starts += len(deadly)
            fleet.advance(max(crashes_after_s, 0.1))
            fleet.crash(*{order.worker_id for order in deadly})
            fleet.end_batch_runs()
        assert job.state is scheduling.JobState.FAILED
        assert starts <= _crashes.MAX_UNPROVEN_CRASHES
        assert not any(
            task.given_up or task.job.state is scheduling.JobState.FAILED
            for other in fleet.scheduler.jobs.values()
            for task in other.tasks()
            if other is not job
        )

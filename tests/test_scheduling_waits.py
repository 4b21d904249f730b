"""Tests that every wait because of a crash ends within a bound."""

import crashing_fleet

# Bound of a wait in these tests: less than the 3 s after which a job that could
# run counts as forgotten, once it is known that its last run has ended.
WAIT_S = 2.5
STEP_S = 0.1


class WaitingFleet(crashing_fleet.CrashingFleet):
    """Workers on which suspects wait that do not crash them."""

    def __init__(self, worker_count=4):
        super().__init__(worker_count)
        self.crashing_steps = set()

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

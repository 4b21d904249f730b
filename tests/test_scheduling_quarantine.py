"""Tests of starts on workers in quarantine."""

import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000aa"
FAILING = ("00000000000000f1", "00000000000000f2")
# Time after which a task that could run must have started, in seconds.
MAX_WAIT_S = 3.0


def step(count=1, **fields):
    return scheduling.StepSpec(count, cpu_milli=1000, **fields)


class TestQuarantine:

    def quarantine(self, fleet, *worker_ids):
        """Fails runs of two jobs on workers."""
        for job_id in FAILING:
            spread = step(len(fleet.running), max_per_worker=1)
            fleet.submit(job_id, [spread])
            for order in fleet.accept(fleet.starts()):
                if order.worker_id in worker_ids:
                    fleet.end(
                        order.worker_id, order.task, order.run_id, "failed"
                    )
            fleet.scheduler.cancel(job_id)
            for order in fleet.plan():
                fleet.answer(order, scheduling.OrderOutcome.ACCEPTED)
                fleet.end(order.worker_id, order.task, order.run_id, "stopped")
        return fleet

    def test_a_task_starts_though_all_workers_are_in_quarantine(self):
        """Guards against a pool that starts nothing for 4 to 16 s."""
        fleet = self.quarantine(scheduling_fixtures.Fleet(), "w1", "w2")
        fleet.submit(JOB, [step(long_running=True)])
        assert not fleet.starts()
        fleet.advance(MAX_WAIT_S - 0.5)
        assert len(fleet.starts()) == 1

    def test_a_task_prefers_a_worker_that_is_not_in_quarantine(self):
        fleet = self.quarantine(scheduling_fixtures.Fleet(), "w1")
        fleet.advance(MAX_WAIT_S - 0.5)
        fleet.submit(JOB, [step(2, max_per_worker=1)])
        first, second = fleet.accept(fleet.starts())
        assert (first.worker_id, second.worker_id) == ("w2", "w1")

    def test_a_failure_on_a_worker_in_quarantine_keeps_tasks_away_again(self):
        """Guards against attempts that are used up at one faulty worker."""
        fleet = self.quarantine(scheduling_fixtures.Fleet(["w1"]), "w1")
        fleet.submit(JOB, [step()])
        fleet.advance(MAX_WAIT_S - 0.5)
        (order,) = fleet.accept(fleet.starts())
        fleet.end(order.worker_id, order.task, order.run_id, "failed")
        fleet.advance(1.0)
        assert not fleet.starts()

    def test_finite_tasks_of_a_crowded_pool_wait_for_sound_workers(self):
        """Guards against attempts that fail while the others are in use."""
        fleet = self.quarantine(scheduling_fixtures.Fleet(), "w1")
        fleet.submit("00000000000000bb", [step(4)])
        assert len(fleet.accept(fleet.starts())) == 4
        fleet.advance(MAX_WAIT_S - 0.5)
        fleet.submit(JOB, [step()])
        assert not fleet.starts()


class TestPause:

    def test_failures_one_after_the_other_do_not_prolong_the_pause(self):
        """Guards against a wait that each failure of older runs renews.

        All workers of the pool are in quarantine, and most room is free.
        """
        fleet = scheduling_fixtures.Fleet(["w1"], max_attempts=1)
        jobs = [f"{number:016x}" for number in range(1, 9)]
        for job_id in jobs:
            fleet.submit(job_id, [scheduling.StepSpec(1, cpu_milli=100)])
        orders = fleet.accept(fleet.starts())
        assert len(orders) == 8
        waiting_s = None
        begin_s = None
        for order in orders:
            fleet.end("w1", order.task, order.run_id, "failed")
            if begin_s is None and (
                fleet.now_s < fleet.scheduler.workers["w1"].quarantined_until_s
            ):
                fleet.submit(JOB, [scheduling.StepSpec(1, cpu_milli=100)])
                begin_s = fleet.now_s
            for _ in range(14):
                fleet.commit()
                for start in fleet.accept(fleet.starts()):
                    if start.task.startswith(JOB) and waiting_s is None:
                        waiting_s = fleet.now_s - begin_s
                fleet.now_s += 0.1
                fleet.report("w1")
        assert waiting_s is not None and waiting_s < 3.0

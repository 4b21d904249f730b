"""Tests of the detection of stalled and slow runs."""

import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000bb"


def step(count=1, **fields):
    return scheduling.StepSpec(
        count, cpu_milli=1000, estimate_ms=1000, **fields
    )


class TestStalls:

    def run_one(self, **fields):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step(**fields)])
        (order,) = fleet.accept(fleet.starts())
        return fleet, order

    def progress(self, fleet, order, percents, interval_s=0.5):
        for percent in percents:
            fleet.now_s += interval_s
            key = (order.task, order.run_id)
            fleet.running[order.worker_id][key] = percent
            for worker_id in fleet.running:
                fleet.hold(worker_id)
                fleet.report(worker_id)
            stops = [
                planned
                for planned in fleet.plan()
                if isinstance(planned, scheduling.StopOrder)
            ]
            if stops:
                return stops
        return []

    def test_a_stalled_run_is_stopped_and_started_elsewhere(self):
        fleet, order = self.run_one()
        (stop,) = self.progress(fleet, order, [10] * 6)
        assert stop.run_id == order.run_id
        fleet.answer(stop, scheduling.OrderOutcome.ACCEPTED)
        fleet.end(order.worker_id, order.task, order.run_id, "stopped")
        (again,) = fleet.starts()
        assert again.worker_id != order.worker_id

    def test_a_run_that_progresses_is_not_stopped(self):
        fleet, order = self.run_one()
        assert not self.progress(fleet, order, [25, 50, 75, 95])

    def run_two(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step(2, max_per_worker=1)])
        slow, quick = fleet.accept(fleet.starts())
        fleet.add_worker("w3")
        fleet.running[quick.worker_id][quick.task, quick.run_id] = 80
        return fleet, slow

    def test_a_run_far_slower_than_its_siblings_is_stopped(self):
        fleet, order = self.run_two()
        assert self.progress(fleet, order, [5, 10, 15, 20], 0.25)

    def test_a_run_longer_than_expected_is_not_stopped(self):
        fleet, order = self.run_one()
        assert not self.progress(fleet, order, [5, 10, 15, 20])

    def test_a_slow_run_is_not_stopped_without_another_worker(self):
        fleet, order = self.run_two()
        fleet.scheduler.observe_unlisted("w3")
        assert not self.progress(fleet, order, [5, 10, 15, 20], 0.25)

    def test_a_long_running_task_that_does_not_get_ready_is_restarted(self):
        fleet, order = self.run_one(long_running=True)
        assert self.progress(fleet, order, [30] * 8)

    def test_a_ready_long_running_task_is_not_stopped(self):
        fleet, order = self.run_one(long_running=True)
        assert not self.progress(fleet, order, [100] * 12)

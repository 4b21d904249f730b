"""Tests of pools with many more suspects than workers."""

import pytest
import scheduling_fixtures

from baobabdoor import scheduling

SUSPECTS = "00000000000000e1"
OTHER = "00000000000000e2"


def accuse(fleet, job, crash="x1@1"):
    for task in job.tasks():
        task.start_crashes |= {crash}
        task.crashes |= {crash}
        fleet.scheduler.crashes.accused_tasks.add(task)


def run(fleet, seconds):
    """Lets time pass with passes every 0.1 s; returns start times by task."""
    started = {}
    end_s = fleet.now_s + seconds
    while fleet.now_s < end_s:
        fleet.commit()
        for order in fleet.accept(fleet.starts()):
            started.setdefault(order.task, fleet.now_s)
        fleet.now_s += 0.1
        for worker_id in fleet.running:
            fleet.hold(worker_id)
            fleet.report(worker_id)
    return started


class TestManySuspects:

    def wait_beside(self, suspects, workers):
        fleet = scheduling_fixtures.Fleet(
            [f"w{number}" for number in range(workers)]
        )
        job = fleet.submit(
            SUSPECTS,
            [scheduling.StepSpec(suspects, cpu_milli=50, long_running=True)],
        )
        accuse(fleet, job)
        fleet.submit(OTHER, [scheduling.StepSpec(1, cpu_milli=50)])
        begin_s = fleet.now_s
        started = run(fleet, 12.0)
        assert len(started) == suspects + 1
        other = started[f"{OTHER}.0.0.0"] - begin_s
        last = max(started.values()) - begin_s
        return other, last

    @pytest.mark.parametrize("suspects, workers", [(4, 1), (12, 1), (24, 2)])
    def test_another_task_starts_within_3_s(self, suspects, workers):
        """Guards against trials one after the other that keep others out."""
        assert self.wait_beside(suspects, workers)[0] < 3.0

    @pytest.mark.parametrize("suspects, workers", [(4, 1), (12, 1), (24, 2)])
    def test_the_last_suspect_starts_within_3_s(self, suspects, workers):
        """Guards against a wait that grows with the number of suspects."""
        assert self.wait_beside(suspects, workers)[1] < 3.0

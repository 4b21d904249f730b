"""Tests of entries of other programs under the identifier of a worker."""

import pytest
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000c1"
POOL = scheduling_fixtures.POOL


def write(fleet, worker_id, **fields):
    fleet.scheduler.observe_worker(
        scheduling_fixtures.record(worker_id, **fields), fleet.now_s
    )


def idle_pair():
    fleet = scheduling_fixtures.Fleet([])
    fleet.add_worker("w1", machine="m1")
    fleet.add_worker("w22", machine="m22", cpu_milli=2000)
    fleet.commit()
    return fleet


def list_machines(fleet):
    up = scheduling.MachineState.UP
    fleet.scheduler.maintenance.observe_machines(
        (
            scheduling.MachineRecord("m1", POOL, up, "z", "w1"),
            scheduling.MachineRecord("m22", POOL, up, "z", "w22"),
        ),
        fleet.now_s,
    )


class TestIdleWorkers:

    def test_an_entry_with_the_machine_of_another_worker_ends_no_later_run(
        self,
    ):
        """Guards against a task that starts twice.

        The entry is accepted while the worker is idle, the worker then starts
        a task, and the list of machines shows another worker on the machine of
        the entry, so that the run counts as ended.
        """
        fleet = idle_pair()
        write(fleet, "w1", machine="m22")
        fleet.now_s += 0.05
        fleet.report("w1")
        fleet.commit()
        fleet.now_s += 0.02
        fleet.report("w1")
        job = fleet.submit(JOB, [scheduling.StepSpec(1, cpu_milli=2500)])
        fleet.scheduler.workers["w22"].record = scheduling_fixtures.record(
            "w22", machine="m22", cpu_milli=8000
        )
        fleet.scheduler.workers["w22"].cordoned = True
        starts = fleet.accept(fleet.starts())
        fleet.scheduler.workers["w22"].cordoned = False
        (task,) = job.tasks()
        fleet.now_s += 0.1
        list_machines(fleet)
        fleet.commit()
        starts += fleet.starts()
        workers = [order.worker_id for order in starts]
        assert len(workers) <= 1, f"starts of {task.name} on {workers}"

    def test_a_run_after_such_an_entry_does_not_keep_the_own_entry_out(self):
        """Guards against a worker without starts while a lasting run lasts."""
        fleet = idle_pair()
        write(fleet, "w1", machine="m77")
        for _ in range(2):
            fleet.now_s += 0.05
            fleet.report("w1")
            fleet.commit()
        fleet.submit(
            JOB, [scheduling.StepSpec(1, cpu_milli=1000, long_running=True)]
        )
        starts = fleet.accept(fleet.starts(), percent=100)
        for _ in range(20):
            write(fleet, "w1", machine="m1")
            fleet.advance(0.5)
        if starts:
            assert fleet.scheduler.workers["w1"].listed

    @pytest.mark.parametrize("machine", ["", "m77"])
    def test_a_worker_is_usable_once_its_own_entry_is_back(self, machine):
        """Guards against a worker whose reports are refused for ever."""
        fleet = idle_pair()
        write(fleet, "w1", machine=machine, start_time_ms=2**50)
        fleet.advance(0.5)
        write(fleet, "w1", machine="m1")
        for _ in range(6):
            fleet.advance(0.5)
            fleet.commit()
            write(fleet, "w1", machine="m1")
        fleet.report("w1")
        assert fleet.scheduler.workers["w1"].usable(fleet.now_s)

    def test_no_task_of_another_pool_starts_on_a_worker(self):
        """Guards against a start on a worker of another service (ROUTE)."""
        fleet = scheduling_fixtures.Fleet([], pools=(POOL, "other"))
        fleet.add_worker("w1", pool="other", machine="m1")
        fleet.commit()
        write(fleet, "w1", machine="m1")
        for _ in range(2):
            fleet.now_s += 0.05
            fleet.report("w1")
            fleet.commit()
        fleet.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        assert not fleet.starts()

    def test_a_worker_whose_reports_are_refused_is_not_called_all_the_time(
        self,
    ):
        """Guards against a hold every 20 ms (each counts as a probe)."""
        fleet = idle_pair()
        write(fleet, "w1", machine="", start_time_ms=2**50)
        fleet.advance(0.5)
        write(fleet, "w1", machine="m1")
        fleet.advance(5.0)
        fleet.commit()
        order = fleet.hold("w1")
        assert order.wait_ms > 0

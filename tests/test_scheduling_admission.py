"""Tests of admission control by the load of a pool."""

import scheduling_fixtures

from baobabdoor import scheduling
from baobabdoor.scheduling import _admission

LARGE = [scheduling.StepSpec(500, cpu_milli=1000, estimate_ms=4000)]
SMALL = [scheduling.StepSpec(1, cpu_milli=1000, estimate_ms=1000)]


def submit(fleet, number, steps):
    spec = scheduling.JobSpec(
        f"{number:016x}", scheduling_fixtures.QUEUE, "text", tuple(steps)
    )
    return fleet.scheduler.submit(spec, fleet.now_s)


class TestOverload:

    def test_a_job_without_value_is_rejected_with_a_retry_time(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.advance(_admission.DISCOVERY_S)
        result = submit(fleet, 1, LARGE)
        assert isinstance(result, scheduling.Rejection)
        assert result.retry_after_s >= 1

    def test_a_job_that_fits_is_accepted_as_timely(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.advance(_admission.DISCOVERY_S)
        assert submit(fleet, 1, SMALL).timely


class TestTakeover:

    def test_no_job_is_rejected_before_the_workers_report(self):
        fleet = scheduling_fixtures.Fleet(worker_ids=())
        job = submit(fleet, 1, LARGE)
        assert isinstance(job, scheduling.Job)
        assert job.timely

    def test_a_pool_without_workers_rejects_after_discovery(self):
        fleet = scheduling_fixtures.Fleet(worker_ids=())
        fleet.now_s += _admission.DISCOVERY_S
        result = submit(fleet, 1, LARGE)
        assert isinstance(result, scheduling.Rejection)

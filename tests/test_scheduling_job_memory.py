"""Tests of the bound on the memory of accepted jobs."""

import scheduling_fixtures

from baobabdoor import scheduling

MEGABYTE = 1024 * 1024
SMALL = (scheduling.StepSpec(1, cpu_milli=100, estimate_ms=10),)
LARGE = (scheduling.StepSpec(1000, cpu_milli=1, estimate_ms=1),)


def fleet(job_bytes=MEGABYTE):
    system = scheduling_fixtures.Fleet()
    system.scheduler.options.job_bytes = job_bytes
    return system


def submit_until_rejected(system, steps, **fields):
    """Returns the accepted jobs and the rejection."""
    for number in range(10_000):
        # The memory of the jobs is added up again.
        system.advance(1.0)
        result = system.submit(f"{number:016x}", steps, **fields)
        if isinstance(result, scheduling.Rejection):
            return number, result
    raise AssertionError("no job was rejected")


class TestBound:

    def test_large_jobs_leave_memory_for_small_ones(self):
        system = fleet()
        accepted, rejection = submit_until_rejected(system, LARGE)
        assert accepted == 2
        assert rejection.reason == "memory"
        assert isinstance(system.submit("f" * 16, SMALL), scheduling.Job)

    def test_jobs_that_may_wait_for_long_leave_half(self):
        system = fleet()
        accepted, rejection = submit_until_rejected(
            system, LARGE, repeat_count=1, start_at_ms=2**50
        )
        assert (accepted, rejection.reason) == (1, "memory")
        assert isinstance(system.submit("f" * 16, LARGE), scheduling.Job)

    def test_a_single_job_of_any_size_is_accepted(self):
        system = fleet(job_bytes=1)
        assert isinstance(system.submit("f" * 16, LARGE), scheduling.Job)

    def test_a_repeated_submission_is_not_rejected(self):
        system = fleet()
        submit_until_rejected(system, LARGE)
        repeated = system.submit("0" * 16, LARGE)
        assert isinstance(repeated, scheduling.Job)


class TestRetryAfter:

    def test_the_next_ended_job_makes_room(self):
        system = fleet()
        submit_until_rejected(system, LARGE)
        system.scheduler.cancel("0" * 16)
        system.scheduler.store_ms += 20_000
        system.advance(1.0)
        result = system.submit("f" * 16, LARGE)
        left_s = system.scheduler.options.status_s - 20.0
        assert left_s <= result.retry_after_s <= left_s + 1

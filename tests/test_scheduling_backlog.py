"""Tests of the admission of jobs beside jobs of the far future."""

import scheduling_fixtures

from baobabdoor import scheduling

SMALL = (scheduling.StepSpec(1, cpu_milli=100, estimate_ms=10),)


class TestBacklog:

    def test_occurrences_of_the_far_future_delay_nothing(self):
        """Later jobs were rejected, although the fleet was empty."""
        system = scheduling_fixtures.Fleet()
        work = (scheduling.StepSpec(1000, cpu_milli=4000, estimate_ms=9000),)
        system.scheduler.wall_ms = 1_000_000.0
        far = system.submit("0" * 16, work, repeat_count=1, start_at_ms=2**50)
        assert isinstance(far, scheduling.Job)
        assert isinstance(system.submit("1" * 16, SMALL), scheduling.Job)

    def test_occurrences_that_are_due_count(self):
        system = scheduling_fixtures.Fleet()
        work = (scheduling.StepSpec(1000, cpu_milli=4000, estimate_ms=9000),)
        system.scheduler.wall_ms = 1_000_000.0
        system.submit("0" * 16, work, repeat_count=1, start_at_ms=1_000_000)
        rejected = system.submit("1" * 16, SMALL)
        assert isinstance(rejected, scheduling.Rejection)

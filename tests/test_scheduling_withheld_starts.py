"""Tests of starts that are withheld before they are sent."""

import scheduling_fixtures

from baobabdoor import scheduling

FIRST = "00000000000000aa"
SECOND = "00000000000000bb"


class TestWithheldStart:

    def test_a_cancel_does_not_withhold_starts_of_other_jobs(self):
        """Guards against a worker that counts as silent though none was called.

        The start of a cancelled job is not sent any more; that says nothing of
        its worker, whose other starts wait for their turn.
        """
        fleet = scheduling_fixtures.Fleet(["w1"])
        for job_id in (FIRST, SECOND):
            fleet.submit(job_id, [scheduling.StepSpec(1, cpu_milli=1000)])
        first, second = sorted(fleet.starts(), key=lambda order: order.task)
        fleet.scheduler.cancel(FIRST)
        assert not fleet.scheduler.is_current_start(first)
        fleet.scheduler.observe_start(
            first,
            scheduling.OrderResult(scheduling.OrderOutcome.WITHHELD),
            fleet.now_s,
        )
        assert fleet.scheduler.workers["w1"].responsive(fleet.now_s)
        assert fleet.scheduler.is_current_start(second)

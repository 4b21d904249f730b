"""Tests of starts without an answer that a worker carries out late."""

import test_scheduling_leases

from baobabdoor import scheduling

JOB = test_scheduling_leases.JOB
UNKNOWN = scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)


class TestStopOfAnUnansweredStart:

    def test_a_stop_excludes_the_start_in_no_later_life(self):
        """Guards against TWICE: the next life knows neither stop nor token.

        The start arrives 1.2 s after it was sent, less than the time for which
        an order is assumed to be under way.
        """
        workers = test_scheduling_leases.Workers("w1", "w2")
        workers.models["w1"].started_s -= test_scheduling_leases.OLD_CLOCK_MS
        term = test_scheduling_leases.Term(workers)
        workers.silent.add("w2")
        term.advance(2.0)
        term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        (start,) = term.starts()
        assert start.worker_id == "w1"
        sent_s = workers.now_s
        workers.silent.discard("w2")
        term.scheduler.workers["w1"].cordoned = True
        # Its call is given up, a stop is accepted, and a report follows.
        workers.now_s = term.now_s = sent_s + 0.45
        term.scheduler.observe_start(start, UNKNOWN, term.now_s)
        while workers.now_s < sent_s + 1.1:
            term.step()
        workers.now_s = term.now_s = sent_s + 1.2
        workers.start("w1")
        # Raises an error if the task runs on w2 meanwhile.
        workers.carry_out(start)

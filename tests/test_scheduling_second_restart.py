"""Tests of a start that is under way while two further lives of a worker begin.

A start is under way for up to 1.6 s: 0.4 s for a permit, and its timeout.
"""

import scheduling_fixtures
import test_scheduling_leases

from baobabdoor import scheduling

JOB = test_scheduling_leases.JOB
UNKNOWN = scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)
ACCEPTED = scheduling.OrderOutcome.ACCEPTED


def pass_time(workers, term, seconds):
    workers.now_s = term.now_s = term.now_s + seconds


def start_under_way():
    """Returns workers, a term that has written nothing, and its start on w1."""
    workers = test_scheduling_leases.Workers("w1", "w2")
    workers.silent.add("w2")
    workers.models["w1"].started_s -= test_scheduling_leases.OLD_CLOCK_MS / 1000
    predecessor = test_scheduling_leases.Term(workers)
    predecessor.advance(2.0)
    predecessor.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
    term = test_scheduling_leases.Term(workers, 1, predecessor)
    for _ in range(2):
        pass_time(workers, term, 0.05)
        term.poll("w1")
    (order,) = term.starts()
    assert order.worker_id == "w1"
    return workers, term, order


class TestSecondRestart:

    def test_a_start_that_reaches_the_second_life_is_waited_for(self):
        """Guards against TWICE: the lease is cut after the last report."""
        workers, term, order = start_under_way()
        pass_time(workers, term, 0.3)
        workers.start("w1")
        term.poll("w1")
        # A second start could not be sent, so the next hold has no lease.
        term.scheduler.observe_no_response("w1", term.now_s)
        pass_time(workers, term, 0.3)
        workers.start("w1")
        term.poll("w1")
        workers.silent.add("w1")
        pass_time(workers, term, 0.9)
        assert workers.carry_out(order).outcome is ACCEPTED
        term.scheduler.observe_start(order, UNKNOWN, term.now_s)
        workers.silent.discard("w2")
        term.advance(12.0)
        assert term.task.run.worker_id == "w2"

    def test_a_list_of_before_the_second_life_ends_no_wait(self):
        """Guards against TWICE: the first life reports, then crashes.

        The list is requested while the machine is down, and its answer arrives
        after the second life has carried out the start.
        """
        workers, term, order = start_under_way()
        pass_time(workers, term, 0.3)
        workers.start("w1")
        term.poll("w1")
        # A second start could not be sent, so no further hold has a lease.
        term.scheduler.observe_no_response("w1", term.now_s)
        workers.silent.add("w1")
        pass_time(workers, term, 1.05)
        requested_s = term.now_s
        pass_time(workers, term, 0.15)
        workers.start("w1")
        assert workers.carry_out(order).outcome is ACCEPTED
        term.scheduler.observe_start(order, UNKNOWN, term.now_s)
        pass_time(workers, term, 0.1)
        down = scheduling.MachineRecord(
            workers.models["w1"].record.machine,
            scheduling_fixtures.POOL,
            scheduling.MachineState.DOWN,
            "z",
            "",
        )
        term.scheduler.maintenance.observe_machines((down,), requested_s)
        workers.silent.discard("w2")
        term.advance(12.0)
        assert term.task.run.worker_id == "w2"

"""Tests of the life cycle of runs: starts, ends, losses and restarts."""

import pytest
import scheduling_fixtures

from baobabdoor import scheduling
from baobabdoor.scheduling import _maintenance

OUTCOMES = scheduling.OrderOutcome
JOB = "00000000000000aa"


def step(count=1, **fields):
    return scheduling.StepSpec(count, cpu_milli=1000, **fields)


class TestLeases:

    def test_runs_of_a_silent_worker_are_lost_despite_pending_holds(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.advance(1)
        other = {"w1": "w2", "w2": "w1"}[order.worker_id]
        fleet.advance(3, unresponsive=(order.worker_id,))
        assert not fleet.starts()
        fleet.advance(4, unresponsive=(order.worker_id,))
        (again,) = fleet.starts()
        assert again.worker_id == other
        assert again.run_id > order.run_id

    def test_no_task_starts_elsewhere_before_the_lease_expires(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        worker = fleet.scheduler.workers[order.worker_id]
        while fleet.now_s + 0.5 < worker.lease.end_s:
            fleet.advance(0.5, unresponsive=(order.worker_id,))
            if fleet.now_s < worker.lease.end_s:
                assert not fleet.starts()

    def test_runs_of_a_restarted_worker_start_again_at_its_next_report(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step()])
        fleet.accept(fleet.starts())
        fleet.running["w1"].clear()
        fleet.now_s += 0.2
        fleet.report("w1", start_time_ms=2)
        assert not fleet.starts()
        fleet.report("w1", start_time_ms=2)
        assert not fleet.starts()
        fleet.commit()
        (again,) = fleet.starts()
        assert again.run_id == 2


class TestWitnesses:
    """A leader without the store shows what its workers still report to it."""

    def started(self, workers):
        fleet = scheduling_fixtures.Fleet(workers)
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        return fleet, job, order.worker_id

    def test_all_enrolled_workers_report(self):
        fleet, job, _ = self.started(["w1", "w2"])
        assert fleet.scheduler.witnesses_state(job, fleet.now_s)

    def test_the_worker_of_a_run_reports(self):
        fleet, job, busy = self.started(["w1", "w2"])
        (idle,) = {"w1", "w2"} - {busy}
        fleet.advance(3, unresponsive=(idle,))
        assert fleet.scheduler.witnesses_state(job, fleet.now_s)

    def test_the_worker_of_the_only_run_is_silent(self):
        fleet, job, busy = self.started(["w1", "w2"])
        fleet.advance(3, unresponsive=(busy,))
        assert not fleet.scheduler.witnesses_state(job, fleet.now_s)

    def test_no_worker_is_enrolled(self):
        fleet, job, busy = self.started(["w1"])
        fleet.end(busy, f"{JOB}.0.0.0", 1, "failed")
        fleet.scheduler.workers["w1"].enrolled = False
        assert not fleet.scheduler.witnesses_state(job, fleet.now_s)


class TestCutReports:
    """Review case 3: a report lists 500 ended runs at a time.

    Tasks whose ends came with the next report were started again.
    """

    COUNTS = (499, 500, 501, 1200)

    def started(self, count):
        fleet = scheduling_fixtures.Fleet(["w1"])
        job = fleet.submit(JOB, [scheduling.StepSpec(count, cpu_milli=1)])
        orders = fleet.accept(fleet.starts())
        assert len(orders) == count
        fleet.now_s += 0.1
        fleet.report("w1")
        return fleet, job

    def end_all(self, fleet):
        """Ends all runs of a worker without a report."""
        ends = [
            scheduling.EndEntry(number, task, run_id, "done", "")
            for number, (task, run_id) in enumerate(fleet.running["w1"], 1)
        ]
        fleet.running["w1"].clear()
        fleet.ended["w1"] = ends

    def acknowledge(self, fleet):
        """Stores all changes; the worker forgets the acknowledged ends."""
        fleet.commit()
        last_seen = fleet.hold("w1").last_seen
        fleet.ended["w1"] = [
            end for end in fleet.ended["w1"] if end.number > last_seen
        ]

    def report_until_all_are_listed(self, fleet):
        while True:
            listed_all = len(fleet.ended["w1"]) < 500
            fleet.now_s += 0.1
            fleet.report("w1")
            assert not fleet.starts()
            if listed_all:
                return
            self.acknowledge(fleet)

    @pytest.mark.parametrize("count", COUNTS)
    def test_no_task_starts_again_whose_end_was_left_out(self, count):
        fleet, job = self.started(count)
        self.end_all(fleet)
        self.report_until_all_are_listed(fleet)
        assert job.state is scheduling.JobState.COMPLETED

    def test_runs_wait_while_the_listed_ends_are_not_stored(self):
        fleet, _ = self.started(501)
        self.end_all(fleet)
        for _ in range(3):
            fleet.now_s += 0.1
            fleet.report("w1")
            assert fleet.hold("w1").last_seen == 0
            assert not fleet.starts()

    def test_a_run_is_released_once_a_report_lists_all_ends(self):
        fleet, _ = self.started(600)
        (task, run_id), *_ = fleet.running["w1"]
        fleet.running["w1"].pop((task, run_id))
        self.end_all(fleet)
        fleet.now_s += 0.1
        fleet.report("w1")
        self.acknowledge(fleet)
        fleet.now_s += 0.1
        fleet.report("w1")
        assert [order.task for order in fleet.starts()] == [task]

    def test_a_stopped_run_may_have_ended_before_the_stop(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        job = fleet.submit(JOB, [scheduling.StepSpec(501, cpu_milli=1)])
        *others, order = fleet.starts()
        fleet.accept(others)
        fleet.answer(order, OUTCOMES.UNKNOWN)
        (stop,) = fleet.plan()
        fleet.running["w1"][order.task, order.run_id] = 0
        self.end_all(fleet)
        fleet.answer(stop, OUTCOMES.ACCEPTED)
        self.report_until_all_are_listed(fleet)
        assert job.state is scheduling.JobState.COMPLETED

    def inherited(self, count):
        """Returns a later term that has not heard of a worker with ends."""
        before, job = self.started(count)
        self.end_all(before)
        fleet = scheduling_fixtures.Fleet(["w1"], term=1)
        fleet.scheduler.load_job(JOB, job.encode(), 1)
        fleet.scheduler.unfenced.add("w1")
        fleet.ended["w1"] = before.ended["w1"]
        return fleet

    @pytest.mark.parametrize("count", COUNTS)
    def test_a_new_term_starts_no_task_whose_end_was_left_out(self, count):
        fleet = self.inherited(count)
        self.report_until_all_are_listed(fleet)
        assert fleet.scheduler.jobs[JOB].state is (
            scheduling.JobState.COMPLETED
        )

    def test_a_new_term_waits_for_a_worker_that_lists_ends_slowly(self):
        """The store delays acknowledgements beyond the inherited leases."""
        fleet = self.inherited(501)
        while fleet.now_s < fleet.scheduler.inherited_until_s + 1:
            fleet.now_s += 0.3
            fleet.report("w1")
            fleet.hold("w1")
            assert not fleet.starts()

    def test_a_new_term_gives_up_a_worker_that_falls_silent(self):
        fleet = self.inherited(501)
        fleet.now_s += 0.1
        fleet.report("w1")
        fleet.hold("w1")
        worker = fleet.scheduler.workers["w1"]
        end_s = max(worker.lease.end_s, fleet.scheduler.inherited_until_s)
        fleet.add_worker("w2")
        while fleet.now_s < end_s:
            assert not fleet.starts()
            fleet.now_s += 0.3
            fleet.report("w2")
        fleet.report("w2")
        assert {order.worker_id for order in fleet.starts()} == {"w2"}


class TestOrders:

    def test_a_worker_that_received_no_order_gets_none_before_it_reports(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step()])
        (order,) = fleet.starts()
        fleet.answer(order, OUTCOMES.NOT_SENT)
        fleet.now_s += 0.5
        assert not fleet.starts()
        fleet.report("w1")
        assert len(fleet.starts()) == 1

    def test_a_start_without_a_response_is_stopped_before_a_new_one(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.starts()
        fleet.answer(order, OUTCOMES.UNKNOWN)
        (stop,) = fleet.plan()
        assert isinstance(stop, scheduling.StopOrder)
        assert (stop.task, stop.run_id) == (order.task, order.run_id)
        fleet.answer(stop, OUTCOMES.ACCEPTED)
        assert not fleet.starts()
        fleet.now_s += 0.1
        fleet.report(order.worker_id)
        (again,) = fleet.starts()
        assert again.run_id == order.run_id + 1

    def restarted(self, outcome):
        """Restarts a worker under the same identifier after a start."""
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.starts()
        if outcome is not None:
            fleet.answer(order, outcome)
        fleet.now_s += 0.1
        fleet.scheduler.observe_worker(
            scheduling_fixtures.record(order.worker_id, start_time_ms=2),
            fleet.now_s,
        )
        return fleet, order

    def test_a_job_whose_start_was_not_sent_is_still_pending(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [scheduling.StepSpec(1, cpu_milli=500)])
        pending = fleet.scheduler.pending
        (order,) = fleet.starts()
        assert pending(scheduling_fixtures.QUEUE) == 1
        fleet.answer(order, scheduling.OrderOutcome.WITHHELD)
        assert pending(scheduling_fixtures.QUEUE) == 1
        assert fleet.scheduler.visible_state(job) is scheduling.JobState.QUEUED
        fleet.advance(1)
        fleet.accept(fleet.starts())
        assert pending(scheduling_fixtures.QUEUE) == 0

    def test_a_start_without_a_response_may_run_in_the_next_incarnation(self):
        fleet, order = self.restarted(OUTCOMES.UNKNOWN)
        fleet.running[order.worker_id][order.task, order.run_id] = 0
        fleet.report(order.worker_id, start_time_ms=2)
        (stop,) = fleet.plan()
        assert isinstance(stop, scheduling.StopOrder)
        assert (stop.task, stop.run_id) == (order.task, order.run_id)
        fleet.answer(stop, OUTCOMES.ACCEPTED)
        assert not fleet.starts()
        fleet.running[order.worker_id].clear()
        fleet.now_s += 0.1
        fleet.report(order.worker_id, start_time_ms=2)
        assert len(fleet.starts()) == 1

    def test_a_start_accepted_by_the_next_incarnation_is_stopped_there(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.starts()
        fleet.scheduler.observe_start(
            order,
            scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms=1000),
            fleet.now_s,
        )
        fleet.scheduler.observe_worker(
            scheduling_fixtures.record(order.worker_id, start_time_ms=2),
            fleet.now_s,
        )
        (stop,) = fleet.plan()
        assert isinstance(stop, scheduling.StopOrder)
        assert (stop.task, stop.run_id) == (order.task, order.run_id)

    def accepted_after_unnoticed_restart(self):
        """Starts a task on a worker whose restart has not been reported."""
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        fleet.now_s += 0.3
        (order,) = fleet.accept(fleet.starts())
        fleet.now_s += 0.1
        return fleet, order

    def test_a_run_that_the_next_incarnation_lists_is_not_started_twice(self):
        fleet, order = self.accepted_after_unnoticed_restart()
        fleet.report(order.worker_id, start_time_ms=2)
        assert not fleet.plan()
        fleet.now_s += 0.1
        fleet.report(order.worker_id, start_time_ms=2)
        assert not fleet.plan()
        run = fleet.scheduler.find_task(order.task).run
        assert (run.worker_id, run.run_id) == (order.worker_id, order.run_id)

    def test_an_end_as_done_that_the_next_incarnation_lists_counts(self):
        fleet, order = self.accepted_after_unnoticed_restart()
        del fleet.running[order.worker_id][order.task, order.run_id]
        fleet.ended[order.worker_id].append(
            scheduling.EndEntry(1, order.task, order.run_id, "done", "")
        )
        fleet.report(order.worker_id, start_time_ms=2)
        assert fleet.scheduler.find_task(order.task).done
        assert not fleet.starts()

    def test_a_start_that_overtakes_the_first_report_is_not_repeated(self):
        """Guards against a second run beside one that is confirmed later."""
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        fleet.now_s += 0.3
        (order,) = fleet.starts()
        # The next incarnation accepts it after it has produced its report.
        fleet.now_s += 0.1
        fleet.answer(order, OUTCOMES.ACCEPTED)
        fleet.now_s -= 0.05
        fleet.report(order.worker_id, start_time_ms=2)
        fleet.now_s += 0.1
        assert not fleet.starts()

    def test_a_late_response_of_the_previous_incarnation_confirms_nothing(self):
        fleet, order = self.restarted(None)
        fleet.answer(order, OUTCOMES.ACCEPTED)
        fleet.now_s += 0.1
        fleet.report(order.worker_id, start_time_ms=2)
        (stop,) = fleet.plan()
        assert isinstance(stop, scheduling.StopOrder)
        fleet.answer(stop, OUTCOMES.ACCEPTED)
        fleet.now_s += 0.1
        fleet.report(order.worker_id, start_time_ms=2)
        assert len(fleet.starts()) == 1


class TestForeignEntries:
    """Another program writes an entry under the identifier of a worker."""

    def running(self):
        fleet = scheduling_fixtures.Fleet([])
        for worker_id in ("w1", "w22"):
            fleet.add_worker(worker_id, machine="m1")
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.advance(0.5)
        return fleet, order.worker_id

    def write(self, fleet, worker_id, **fields):
        fields = {"machine": "m1"} | fields
        fleet.scheduler.observe_worker(
            scheduling_fixtures.record(worker_id, **fields), fleet.now_s
        )

    @pytest.mark.parametrize(
        "fields",
        [
            {"start_time_ms": 2**53},
            {"start_time_ms": 2},
            {"address": "10.0.9.9:80"},
            {"address": "10.0.9.9:80", "start_time_ms": 2},
            {"pool": "other"},
            {"machine": "m9"},
        ],
        ids=str,
    )
    def test_runs_are_kept(self, fields):
        """They counted as ended, so the task ran twice."""
        fleet, worker_id = self.running()
        for _ in range(20):
            self.write(fleet, worker_id, **fields)
            assert not fleet.starts()
            self.write(fleet, worker_id)
            assert not fleet.starts()
            # A hold follows each report within milliseconds.
            fleet.report(worker_id)
            fleet.advance(0.5)
        worker = fleet.scheduler.workers[worker_id]
        assert len(worker.runs) == 1
        # Its leases are renewed where it reports.
        assert worker.lease.end_s > fleet.now_s
        assert worker.record.address == f"10.0.0.{len(worker_id)}:80"

    def test_runs_of_earlier_terms_are_waited_for(self):
        """The next leader took the worker for replaced, and did not wait."""
        fleet, worker_id = self.running()
        worker = fleet.scheduler.workers[worker_id]
        worker.runs.clear()
        fleet.scheduler.unfenced.add(worker_id)
        self.write(fleet, worker_id, machine="m9")
        replaced = scheduling.MachineRecord(
            "m9", "p", scheduling.MachineState.UP, "z", "w33"
        )
        fleet.scheduler.maintenance.observe_machines(
            (replaced,), fleet.now_s + 1
        )
        assert fleet.scheduler.inherited_blocked()
        assert not worker.retired
        fleet.report(worker_id)
        assert not fleet.scheduler.inherited_blocked()

    def test_worker_is_usable_once_its_own_entry_is_back(self):
        """A start in the future made every later report an earlier one's."""
        fleet, worker_id = self.running()
        self.write(fleet, worker_id, start_time_ms=2**53, cpu_milli=2**53)
        fleet.advance(0.5)
        worker = fleet.scheduler.workers[worker_id]
        assert not worker.usable(fleet.now_s)
        self.write(fleet, worker_id)
        fleet.advance(0.5)
        assert worker.usable(fleet.now_s)

    def test_refused_entries_do_not_flood_the_log(self):
        fleet, worker_id = self.running()
        fleet.scheduler.take_events()
        for _ in range(20):
            self.write(fleet, worker_id, pool="other")
        names = [event.name for event in fleet.scheduler.take_events()]
        assert names.count("worker_entry_refused") == 1

    def test_worker_without_runs_may_move(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        self.write(fleet, "w1", address="10.0.9.9:80", start_time_ms=2)
        worker = fleet.scheduler.workers["w1"]
        assert worker.record.address == "10.0.9.9:80"
        assert not worker.usable(fleet.now_s)
        # The first report shows the restart, the second the new token.
        fleet.report("w1", start_time_ms=2)
        assert not worker.usable(fleet.now_s)
        fleet.commit()
        fleet.report("w1", start_time_ms=2)
        assert worker.usable(fleet.now_s)

    def test_restart_that_was_listed_first_needs_no_second_entry(self):
        fleet, worker_id = self.running()
        now_s = fleet.now_s
        record = scheduling_fixtures.record(
            worker_id, start_time_ms=2, machine="m1"
        )
        fleet.scheduler.observe_worker(record, now_s, now_s)
        fleet.running[worker_id].clear()
        fleet.now_s += 0.1
        fleet.report(worker_id, start_time_ms=2)
        worker = fleet.scheduler.workers[worker_id]
        assert not worker.runs
        assert worker.entry_s == now_s


class TestFailingPlans:
    """An error in the plan of one job does not keep the others waiting.

    Each leader would meet it too, so there would be no leader at all.
    """

    OTHER = "00000000000000ab"

    def plan(self, fail, **fields):
        """Plans a job of which `fail(task)` raises, and another one."""
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step(3, **fields)])
        fleet.submit(self.OTHER, [step()])
        ticket = fleet.scheduler.advice.ticket

        def checked_ticket(task, worker, now_s):
            if task.job is job:
                fail(task)
            return ticket(task, worker, now_s)

        fleet.scheduler.advice.ticket = checked_ticket
        fleet.scheduler.take_events()
        return fleet, job, fleet.starts()

    @pytest.mark.parametrize("gang", [False, True])
    def test_other_jobs_start(self, gang):
        def fail(task):
            if task.index == 1:
                raise KeyError("injected")

        fleet, job, orders = self.plan(fail, gang=gang)
        assert [order.task for order in orders] == [f"{self.OTHER}.0.0.0"]
        # No order was sent, so no run may stay behind.
        assert not any(task.run for task in job.tasks())
        (worker_id,) = {order.worker_id for order in orders}
        for worker in fleet.scheduler.workers.values():
            used = 1000 if worker.worker_id == worker_id else 0
            assert worker.cpu_used == used

    def test_the_job_is_planned_again_later(self):
        failures = []

        def fail_once(task):
            if not failures:
                failures.append(task)
                raise KeyError("injected")

        fleet, _, _ = self.plan(fail_once)
        fleet.advance(1.0)
        assert not fleet.starts()
        fleet.advance(10.0)
        assert len(fleet.starts()) == 3
        names = [event.name for event in fleet.scheduler.take_events()]
        assert names.count("job_plan_failed") == 1

    def test_a_failing_estimate_costs_one_job(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step()])
        fleet.submit(self.OTHER, [step()])
        slacks_s = fleet.scheduler.admission.slacks_s

        def fail(checked, queue):
            if checked is job:
                raise OverflowError("injected")
            return slacks_s(checked, queue)

        fleet.scheduler.admission.slacks_s = fail
        (order,) = fleet.starts()
        assert order.task == f"{self.OTHER}.0.0.0"


class TestInterruptedReports:
    """An error interrupts the application of a report.

    The controller takes such a worker for silent and goes on.
    """

    def interrupt(self, fleet, worker_id):
        """Reports while the durations of ended runs cannot be recorded."""

        def fail(queue, step, duration_s):
            raise KeyError("injected")

        observe = fleet.scheduler.durations.observe
        fleet.scheduler.durations.observe = fail
        with pytest.raises(KeyError):
            fleet.report(worker_id)
        fleet.scheduler.observe_no_response(worker_id, fleet.now_s)
        fleet.scheduler.durations.observe = observe

    def started(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.advance(0.5)
        fleet.running[order.worker_id].clear()
        fleet.ended[order.worker_id].append(
            scheduling.EndEntry(1, order.task, order.run_id, "done", "")
        )
        return fleet, job, order

    def test_end_is_applied_by_the_next_report(self):
        """It was acknowledged without effect, and the task started again."""
        fleet, job, order = self.started()
        self.interrupt(fleet, order.worker_id)
        fleet.now_s += 0.1
        assert fleet.hold(order.worker_id).last_seen == 0
        assert not fleet.starts()
        fleet.report(order.worker_id)
        assert job.state is scheduling.JobState.COMPLETED
        assert fleet.scheduler.workers[order.worker_id].processed == 1

    def test_lease_is_not_renewed(self):
        fleet, _, order = self.started()
        worker = fleet.scheduler.workers[order.worker_id]
        end_s = worker.lease.end_s
        while fleet.now_s < end_s:
            self.interrupt(fleet, order.worker_id)
            assert fleet.hold(order.worker_id).until_ms == 0
            assert not fleet.starts()
            fleet.now_s += 0.25
        assert worker.lease.end_s == end_s
        fleet.running[order.worker_id].clear()
        fleet.advance(1.0)
        assert len(fleet.starts()) == 1

    def test_inherited_tasks_still_wait_for_the_worker(self):
        fleet, _, order = self.started()
        fleet.scheduler.unfenced.add(order.worker_id)
        self.interrupt(fleet, order.worker_id)
        assert fleet.scheduler.inherited_blocked()
        fleet.report(order.worker_id)
        assert not fleet.scheduler.inherited_blocked()

    @pytest.mark.parametrize(
        "name",
        ["a.0.0.\u00b2", "a.0.0." + "9" * 5000, "a.\u0661.0.0"],
        ids=repr,
    )
    def test_task_with_an_unusable_number_is_unknown(self, name):
        """The error of `int` ended the term of each leader that was told it."""
        fleet = scheduling_fixtures.Fleet()
        fleet.running["w1"][name, 1] = 0
        fleet.now_s += 0.1
        fleet.end("w1", name, 2)
        assert fleet.scheduler.find_task(name) is None


class TestEnds:

    def test_no_end_is_acknowledged_to_a_worker_without_a_response(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.end("w1", order.task, order.run_id)
        fleet.commit()
        assert fleet.hold("w1").last_seen == 1
        fleet.scheduler.observe_no_response("w1", fleet.now_s)
        hold = fleet.hold("w1")
        assert (hold.last_seen, hold.wait_ms) == (0, 0)
        fleet.now_s += 0.1
        fleet.report("w1")
        assert fleet.hold("w1").last_seen == 1

    def test_no_end_is_acknowledged_to_a_worker_without_a_recent_report(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.end("w1", order.task, order.run_id)
        fleet.commit()
        fleet.now_s += 1.0
        hold = fleet.hold("w1")
        assert (hold.last_seen, hold.wait_ms) == (0, 0)
        assert hold.until_ms

    def test_an_end_is_acknowledged_after_it_is_stored(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step(2)])
        first, _ = fleet.accept(fleet.starts())
        fleet.end("w1", first.task, first.run_id)
        assert fleet.hold("w1").last_seen == 0
        fleet.commit()
        assert fleet.hold("w1").last_seen == 1

    def test_a_job_is_shown_as_completed_after_it_is_stored(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.end("w1", order.task, order.run_id)
        shown = fleet.scheduler.visible_state
        assert shown(job) is scheduling.JobState.RUNNING
        fleet.commit()
        assert shown(job) is scheduling.JobState.COMPLETED

    def test_a_later_step_waits_for_all_tasks_of_the_earlier_one(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step(2), step(1, after=(0,))])
        first, second = fleet.accept(fleet.starts())
        fleet.end("w1", first.task, first.run_id)
        assert not fleet.starts()
        fleet.end("w1", second.task, second.run_id)
        (third,) = fleet.starts()
        assert third.task == f"{JOB}.0.1.0"

    def test_a_job_fails_after_its_attempts(self):
        fleet = scheduling_fixtures.Fleet(["w1", "w2", "w3"], max_attempts=2)
        job = fleet.submit(JOB, [step()])
        for _ in range(2):
            (order,) = fleet.accept(fleet.starts())
            fleet.end(order.worker_id, order.task, order.run_id, "failed")
        assert not fleet.starts()
        assert job.state is scheduling.JobState.FAILED


class TestEviction:

    def check_eviction(self, fleet, job, unresponsive=()):
        fleet.advance(0.5)
        fleet.advance(2.5, unresponsive=unresponsive)
        task = job.steps[0, 0][0]
        worker = fleet.scheduler.workers[task.run.worker_id]
        return _maintenance.may_evict(
            fleet.scheduler, task, worker, fleet.now_s
        )

    def submit_long_running(self, fleet):
        job = fleet.submit(
            JOB,
            [step(2, long_running=True, max_unavailable=1, max_per_worker=1)],
        )
        fleet.accept(fleet.starts(), percent=100)
        return job

    def test_a_task_may_be_evicted_while_the_others_are_ready(self):
        fleet = scheduling_fixtures.Fleet(["w1", "w2", "w3"])
        assert self.check_eviction(fleet, self.submit_long_running(fleet))

    def test_a_task_is_not_evicted_while_another_is_unresponsive(self):
        fleet = scheduling_fixtures.Fleet(["w1", "w2", "w3"])
        job = self.submit_long_running(fleet)
        other = job.steps[0, 0][1].run.worker_id
        assert not self.check_eviction(fleet, job, unresponsive=(other,))

    def test_no_task_is_evicted_while_a_stop_of_an_earlier_leader_may_arrive(
        self,
    ):
        fleet = scheduling_fixtures.Fleet(["w1", "w2", "w3"])
        job = self.submit_long_running(fleet)
        fleet.now_s += 0.3
        for worker_id in fleet.running:
            fleet.report(worker_id)
        task = job.steps[0, 0][0]
        worker = fleet.scheduler.workers[task.run.worker_id]
        assert not _maintenance.may_evict(
            fleet.scheduler, task, worker, fleet.now_s
        )

    def test_a_task_is_not_evicted_without_another_worker_for_its_step(self):
        fleet = scheduling_fixtures.Fleet(["w1", "w2"])
        assert not self.check_eviction(fleet, self.submit_long_running(fleet))
        assert fleet.scheduler.machine_shortages == {
            scheduling_fixtures.POOL: 1
        }


class TestRetirement:

    def test_a_worker_whose_machine_was_moved_does_not_block_starts(self):
        fleet = scheduling_fixtures.Fleet()
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.scheduler.unfenced.add(order.worker_id)
        fleet.scheduler.retire_worker(order.worker_id, "moved")
        assert not fleet.scheduler.inherited_blocked()
        (again,) = fleet.starts()
        assert again.worker_id != order.worker_id

    def list_in_maintenance(self, requested_s):
        """Returns whether w1 is retired by a list with its machine."""
        fleet = scheduling_fixtures.Fleet([])
        fleet.add_worker("w1", machine="m1")
        fleet.scheduler.maintenance.observe_machines(
            (
                scheduling.MachineRecord(
                    "m1",
                    scheduling_fixtures.POOL,
                    scheduling.MachineState.MAINTENANCE,
                    "z",
                    "",
                ),
            ),
            fleet.now_s + requested_s,
        )
        return fleet.scheduler.workers["w1"].retired

    def test_a_worker_is_retired_once_its_machine_is_in_maintenance(self):
        assert self.list_in_maintenance(requested_s=1)

    def test_a_list_requested_before_the_worker_was_listed_does_not_retire_it(
        self,
    ):
        assert not self.list_in_maintenance(requested_s=-1)


class TestMachinesListedAsDown:

    def starts_after_crash(self, listed_after_s, confirmed=True):
        """Returns the starts of a task whose machine is listed as down."""
        fleet = scheduling_fixtures.Fleet([])
        for name in ("1", "2"):
            fleet.add_worker(f"w{name}", machine=f"m{name}")
        fleet.submit(JOB, [step()])
        (order,) = fleet.starts()
        if confirmed:
            fleet.accept([order])
        fleet.now_s += listed_after_s
        for worker_id in ("w1", "w2"):
            if worker_id != order.worker_id:
                fleet.report(worker_id)
        fleet.scheduler.maintenance.observe_machines(
            (
                scheduling.MachineRecord(
                    order.worker_id.replace("w", "m"),
                    scheduling_fixtures.POOL,
                    scheduling.MachineState.DOWN,
                    "z",
                    "",
                ),
            ),
            fleet.now_s,
        )
        fleet.commit()
        return [start for start in fleet.starts() if start.task == order.task]

    def test_runs_on_a_crashed_machine_do_not_wait_for_their_leases(self):
        (again,) = self.starts_after_crash(listed_after_s=1.2)
        assert again.run_id == 2

    def test_a_list_that_may_be_older_than_the_worker_ends_no_run(self):
        assert not self.starts_after_crash(listed_after_s=0.3)

    def test_a_start_that_may_still_arrive_is_not_repeated(self):
        assert not self.starts_after_crash(listed_after_s=1.2, confirmed=False)

    def test_a_list_older_than_a_confirmed_start_ends_no_run(self):
        """Guards against a second run of a task (TWICE, issue 40).

        A list that was requested while the machine was down arrived after the
        worker's next incarnation had confirmed a start, before its first
        report. Answers of the service take up to 1.5 s when it is slow.
        """
        fleet = scheduling_fixtures.Fleet([])
        fleet.add_worker("w1", machine="m1")
        worker = fleet.scheduler.workers["w1"]
        # A restart, after which the clock of its incarnation is new as well.
        for clock_ms in (200, 210):
            report = scheduling.WorkerReport(clock_ms, 2, (), ())
            fleet.scheduler.observe_report(
                "w1", report, worker.token, fleet.now_s
            )
            fleet.commit()
        fleet.submit(JOB, [step()])
        fleet.now_s += 1.15
        (order,) = fleet.starts()
        requested_s = fleet.now_s - 0.1
        fleet.now_s += 0.15
        accepted = scheduling.OrderResult(scheduling.OrderOutcome.ACCEPTED, 250)
        fleet.scheduler.observe_start(order, accepted, fleet.now_s)
        assert not worker.find_run(order.task, order.run_id).confirmed
        fleet.now_s += 0.1
        fleet.add_worker("w2", machine="m2")
        down = scheduling.MachineState.DOWN
        record = scheduling.MachineRecord(
            "m1", scheduling_fixtures.POOL, down, "z", ""
        )
        fleet.scheduler.maintenance.observe_machines((record,), requested_s)
        assert not fleet.starts()


class TestAttempts:

    def take_over(self, fleet, job):
        """Returns a fleet of the next term with the same workers."""
        successor = scheduling_fixtures.Fleet([], term=1, max_attempts=3)
        successor.now_s = fleet.now_s + 1
        successor.running, successor.ended = fleet.running, fleet.ended
        successor.scheduler.load_job(JOB, job.encode(), 1)
        for worker_id in fleet.running:
            record = scheduling_fixtures.record(worker_id)
            successor.scheduler.observe_worker(record, successor.now_s)
        for worker_id in fleet.running:
            successor.report(worker_id)
            successor.scheduler.workers[worker_id].enrolled = True
        return successor

    def test_a_stored_failure_is_not_counted_again(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.end(order.worker_id, order.task, order.run_id, "failed")
        successor = self.take_over(fleet, job)
        (task,) = successor.scheduler.jobs[JOB].tasks()
        assert task.failures == 1

    def test_an_unstored_failure_is_counted_alongside_a_new_run(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fresh = job.encode()
        fleet.end(order.worker_id, order.task, order.run_id, "failed")
        (again,) = fleet.accept(fleet.starts())
        assert again.worker_id != order.worker_id
        job.encode = lambda: fresh
        fleet.running = dict(
            sorted(fleet.running.items(), key=lambda item: not item[1])
        )
        successor = self.take_over(fleet, job)
        (task,) = successor.scheduler.jobs[JOB].tasks()
        assert task.run.run_id == again.run_id
        assert task.failures == 1

    def test_a_failure_reported_after_the_lease_expired_does_not_count(self):
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        fleet.advance(8, unresponsive=(order.worker_id,))
        fleet.end(order.worker_id, order.task, order.run_id, "failed")
        (task,) = job.tasks()
        assert task.failures == 0


class TestReportOrder:

    def test_an_older_report_that_arrives_later_is_ignored(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        fleet.submit(JOB, [step()])
        (order,) = fleet.accept(fleet.starts())
        old = scheduling.WorkerReport(
            5001,
            1,
            (scheduling.RunEntry(order.task, order.run_id, "", 10, 0.0),),
            (),
        )
        fleet.now_s += 0.5
        fleet.end("w1", order.task, order.run_id)
        fleet.scheduler.observe_report("w1", old, 7, fleet.now_s)
        assert not fleet.scheduler.unneeded_runs.get("w1")

"""Tests of fencing tokens of workers that restart under their identifier."""

import attrs
import scheduling_fixtures

from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

OUTCOMES = scheduling.OrderOutcome
FIRST = "00000000000000aa"
SECOND = "00000000000000bb"
RUN_S = 0.2


class Observer:
    """Records the ended runs that were acknowledged to workers."""

    def __init__(self):
        self.acknowledged = []

    def on_start(self, worker, run, now_s):
        del worker, run, now_s

    def on_end(self, worker, entry):
        del worker, entry

    def on_acknowledgement(self, entry):
        self.acknowledged.append(entry.task)


class RestartingFleet(scheduling_fixtures.Fleet):
    """One worker that follows the protocol and restarts under its id."""

    def __init__(self):
        super().__init__([])
        self.observer = Observer()
        self.model = None
        self.restart()
        self.list_worker()
        self.poll()
        self.commit()

    @property
    def worker(self):
        return self.scheduler.workers["w1"]

    def restart(self):
        start_time_ms = self.model.record.start_time_ms + 1 if self.model else 1
        self.model = _worker_model.ModelWorker(
            scheduling_fixtures.record("w1", start_time_ms=start_time_ms),
            self.now_s,
            1.0,
            lambda order, now_s: _worker_model.ModelRun(
                order.task, order.run_id, now_s, RUN_S, False
            ),
            self.observer,
        )

    def list_worker(self):
        self.scheduler.observe_worker(self.model.record, self.now_s)
        self.worker.enrolled = True

    def deliver(self, order):
        """Returns the worker's result of an order."""
        if isinstance(order, scheduling.StartOrder):
            return self.model.start(order, self.now_s)
        if isinstance(order, scheduling.StopOrder):
            return self.model.stop(order, self.now_s)
        return self.model.hold(order, self.now_s)

    def poll(self):
        """Sends a hold and applies its result; returns the hold."""
        self.now_s += 0.05
        order = self.hold("w1")
        result = self.deliver(order)
        if isinstance(result, scheduling.WorkerReport):
            self.scheduler.observe_report("w1", result, order.token, self.now_s)
        else:
            self.scheduler.observe_fenced(order)
        return order

    def start_task(self, job_id):
        """Submits a job of one task and starts it; returns the order."""
        self.submit(job_id, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = self.starts()
        self.scheduler.observe_start(order, self.deliver(order), self.now_s)
        return order

    def run_task(self, job_id):
        """Runs a job of one task to its stored end."""
        order = self.start_task(job_id)
        self.now_s += RUN_S
        self.poll()
        self.commit()
        return order


class TestDelayedOrders:
    """Orders of before a restart arrive after it, under the same id."""

    def test_a_delayed_hold_acknowledges_nothing_of_the_next_incarnation(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        delayed = fleet.hold("w1")
        assert delayed.last_seen == 1
        fleet.restart()
        fleet.poll()
        fleet.poll()
        order = fleet.start_task(SECOND)
        fleet.poll()
        fleet.now_s += RUN_S
        result = fleet.deliver(delayed)
        assert order.task not in fleet.observer.acknowledged
        assert result.outcome is OUTCOMES.FENCED
        fleet.poll()
        fleet.commit()
        assert not fleet.starts()
        job = fleet.scheduler.jobs[SECOND]
        assert job.stored_state is scheduling.JobState.COMPLETED

    def test_a_delayed_start_does_not_run_in_the_next_incarnation(self):
        fleet = RestartingFleet()
        delayed = attrs.evolve(fleet.run_task(FIRST), run_id=9, until_ms=10**9)
        fleet.restart()
        fleet.poll()
        fleet.poll()
        assert fleet.deliver(delayed).outcome is OUTCOMES.FENCED
        assert not fleet.model.runs

    def test_stops_carry_the_token_of_the_incarnation(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        fleet.restart()
        fleet.poll()
        fleet.poll()
        order = fleet.start_task(SECOND)
        fleet.scheduler.cancel(SECOND)
        (stop,) = fleet.plan()
        assert stop.token == order.token
        assert fleet.deliver(stop).outcome is OUTCOMES.ACCEPTED


class TestUnnoticedRestart:

    def test_an_end_of_a_start_in_the_next_incarnation_is_processed(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        assert fleet.hold("w1").last_seen == 1
        fleet.restart()
        order = fleet.start_task(SECOND)
        fleet.now_s += RUN_S
        assert fleet.poll().last_seen == 0
        assert order.task not in fleet.observer.acknowledged
        fleet.poll()
        fleet.commit()
        assert not fleet.starts()
        job = fleet.scheduler.jobs[SECOND]
        assert job.stored_state is scheduling.JobState.COMPLETED


class TestRestart:

    def restarted(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        fleet.submit(SECOND, [scheduling.StepSpec(1, cpu_milli=1000)])
        fleet.restart()
        return fleet

    def test_nothing_starts_before_a_hold_with_a_higher_token_is_answered(self):
        fleet = self.restarted()
        revealing = fleet.poll()
        assert not fleet.starts()
        confirming = fleet.poll()
        assert confirming.token > revealing.token
        assert not fleet.starts()
        fleet.commit()
        (order,) = fleet.starts()
        assert order.token == confirming.token

    def test_a_listed_restart_raises_the_token(self):
        fleet = self.restarted()
        before = fleet.worker.token
        fleet.list_worker()
        assert not fleet.starts()
        # Only a report shows that the worker has restarted.
        fleet.poll()
        assert not fleet.starts()
        assert fleet.poll().token > before
        assert not fleet.starts()
        fleet.commit()
        assert len(fleet.starts()) == 1

    def test_a_second_restart_waits_for_a_further_transaction(self):
        fleet = self.restarted()
        fleet.poll()
        first = fleet.poll()
        fleet.restart()
        for _ in range(3):
            assert fleet.poll().token == first.token
            assert not fleet.starts()
        fleet.commit()
        assert fleet.poll().token > first.token
        assert len(fleet.starts()) == 1

    def test_a_restart_before_the_hold_with_the_new_token_is_noticed(self):
        fleet = self.restarted()
        fleet.poll()
        fleet.restart()
        fleet.poll()
        assert not fleet.starts()
        fleet.commit()
        fleet.poll()
        assert len(fleet.starts()) == 1

    def test_a_hold_does_not_wait_until_the_token_is_confirmed(self):
        fleet = self.restarted()
        assert fleet.poll().wait_ms == 1000
        assert fleet.poll().wait_ms == 0
        assert fleet.hold("w1").wait_ms == 1000

    def test_a_worker_that_is_listed_again_gets_a_higher_token(self):
        fleet = self.restarted()
        before = fleet.worker.token
        fleet.scheduler.observe_unlisted("w1")
        fleet.now_s += 20
        fleet.plan()
        assert not fleet.scheduler.workers
        fleet.list_worker()
        assert fleet.poll().token > before
        assert not fleet.starts()
        fleet.commit()
        assert len(fleet.starts()) == 1

    def test_a_revived_worker_gets_a_higher_token(self):
        fleet = RestartingFleet()
        before = fleet.worker.token
        fleet.commit()
        fleet.scheduler.retire_worker("w1", "in upkeep")
        fleet.scheduler.revive_worker("w1")
        assert not fleet.worker.usable(fleet.now_s)
        assert fleet.poll().token > before
        assert fleet.worker.usable(fleet.now_s)


class TestRefusals:

    def test_an_order_of_before_a_restart_that_is_refused_ends_no_term(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        fleet.submit(SECOND, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = fleet.starts()
        fleet.restart()
        fleet.poll()
        fleet.poll()
        result = fleet.deliver(order)
        assert result.outcome is OUTCOMES.FENCED
        fleet.scheduler.observe_start(order, result, fleet.now_s)
        assert not fleet.scheduler.fenced_off
        fleet.now_s += 0.2
        assert not fleet.starts()
        fleet.commit()
        (again,) = fleet.starts()
        assert fleet.deliver(again).outcome is OUTCOMES.ACCEPTED

    def test_a_refusal_of_the_newest_token_ends_the_term(self):
        fleet = RestartingFleet()
        fleet.run_task(FIRST)
        fleet.restart()
        fleet.poll()
        fleet.poll()
        assert not fleet.scheduler.fenced_off
        fleet.model.token = fleet.worker.token + 1
        fleet.poll()
        assert fleet.scheduler.fenced_off

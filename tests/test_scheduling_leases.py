"""Tests of runs under leases that the scheduler has not given itself."""

import attrs
import pytest
import scheduling_fixtures

from baobabdoor import dispatch
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

JOB = "00000000000000aa"
STEP_S = 0.05
# Clock of a worker that has run for an hour.
OLD_CLOCK_MS = 3_600_000
SLOWEST_CLOCK_RATE = 0.98


class TwoRuns(Exception):
    """A task runs on two workers at the same time."""


class Workers:
    """Workers that follow the protocol and outlive the leaders.

    Raises:
        TwoRuns: If a start makes a task run on two workers.
    """

    def __init__(self, *worker_ids):
        self.now_s = scheduling_fixtures.START_S
        self.models = {}
        self.silent = set()
        for worker_id in worker_ids:
            self.start(worker_id)

    def start(self, worker_id):
        """Starts a worker, possibly again under its id."""
        previous = self.models.get(worker_id)
        born_ms = previous.record.start_time_ms + 1 if previous else 1
        self.models[worker_id] = _worker_model.ModelWorker(
            scheduling_fixtures.record(
                worker_id,
                start_time_ms=born_ms,
                address=f"10.0.0.{worker_id[1:]}:80",
                machine=f"m{worker_id[1:]}",
            ),
            self.now_s,
            SLOWEST_CLOCK_RATE,
            lambda order, now_s: _worker_model.ModelRun(
                order.task, order.run_id, now_s, 60.0, False
            ),
            self,
        )

    def on_start(self, worker, run, now_s):
        for model in self.models.values():
            model.advance(now_s)
            if model is not worker and run.task in model.runs:
                raise TwoRuns(
                    f"{run.task} on {worker.record.worker_id} and "
                    f"{model.record.worker_id} at {now_s:.2f}"
                )

    def on_end(self, worker, entry):
        del worker, entry

    def on_acknowledgement(self, entry):
        del entry

    def deliver(self, order):
        """Returns the result of an order."""
        if order.worker_id in self.silent:
            return scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)
        return self.carry_out(order)

    def carry_out(self, order):
        """Applies an order whose answer may be lost."""
        model = self.models[order.worker_id]
        if isinstance(order, scheduling.StartOrder):
            return model.start(order, self.now_s)
        if isinstance(order, scheduling.StopOrder):
            return model.stop(order, self.now_s)
        return model.hold(order, self.now_s)


class Term(scheduling_fixtures.Fleet):
    """A leader of some workers."""

    def __init__(self, workers, number=0, predecessor=None):
        super().__init__((), term=number)
        self.workers = workers
        self.now_s = workers.now_s
        self.version = 100 * (number + 1)
        self.scheduler = scheduling.Scheduler(
            token=self.version,
            term=number,
            configuration=scheduling_fixtures.configuration(),
            options=scheduling.Options(),
            now_s=self.now_s,
            inherited_bound_s=dispatch.inherited_bound_s(
                scheduling.Options().max_lease_s
            ),
        )
        if predecessor is not None:
            self.load(predecessor.scheduler)
        self.list_workers()

    def load(self, scheduler):
        """Loads the jobs and the roster of the term before."""
        for job in scheduler.jobs.values():
            self.scheduler.load_job(job.spec.job_id, job.encode(), 1)
        self.scheduler.finish_loading()
        for known in scheduler.workers_to_enroll():
            worker_id = known.worker_id
            self.scheduler.observe_worker(
                attrs.evolve(known.record, cpu_milli=0), self.now_s
            )
            self.scheduler.observe_unlisted(worker_id)
            worker = self.scheduler.workers[worker_id]
            worker.start_time_ms = known.start_time_ms
            worker.enrolled = True
            self.scheduler.unfenced.add(worker_id)

    def list_workers(self):
        for model in self.workers.models.values():
            self.scheduler.observe_worker(model.record, self.now_s)

    def enroll(self):
        """Stores the roster, and what else has changed."""
        enrolled = {
            worker.worker_id for worker in self.scheduler.workers_to_enroll()
        }
        for worker in self.scheduler.workers.values():
            worker.enrolled = worker.worker_id in enrolled
        self.commit()

    def poll(self, worker_id):
        """Sends a hold and applies its result."""
        order = self.hold(worker_id)
        if order is None:
            return
        result = self.workers.deliver(order)
        if isinstance(result, scheduling.WorkerReport):
            self.scheduler.observe_report(
                worker_id, result, order.token, self.now_s
            )
        else:
            self.scheduler.observe_no_response(worker_id, self.now_s)

    def step(self):
        """Holds all workers, stores changes and sends the orders due."""
        self.now_s = self.workers.now_s = self.now_s + STEP_S
        for worker_id in self.workers.models:
            self.poll(worker_id)
        self.enroll()
        for order in self.plan():
            self.send(order)

    def send(self, order):
        result = self.workers.deliver(order)
        if isinstance(order, scheduling.StartOrder):
            self.scheduler.observe_start(order, result, self.now_s)
        else:
            self.scheduler.observe_stop(order, result)

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    @property
    def task(self):
        (task,) = self.scheduler.jobs[JOB].tasks()
        return task


def started():
    """Returns workers with a task that runs, and its worker and leader."""
    workers = Workers("w1", "w2")
    term = Term(workers)
    term.advance(0.5)
    term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
    term.advance(0.5)
    assert term.task.run.confirmed
    return workers, term, term.task.run.worker_id


def check_starts_again(term, workers, worker_id, seconds=9.0):
    """Checks that a task with a silent worker runs once, and then again."""
    workers.silent.add(worker_id)
    term.advance(seconds)
    run = term.task.run
    assert run is not None and run.worker_id != worker_id


def restart_between_two_holds(workers, term, worker_id):
    """Restarts a worker under its id; a hold reaches the next life.

    The expiry in the hold is on the clock of the life before.
    """
    model = workers.models[worker_id]
    model.started_s -= OLD_CLOCK_MS / 1000
    term.scheduler.workers[worker_id].lease.clock_ms = 0
    term.step()
    delayed = term.hold(worker_id)
    workers.start(worker_id)
    workers.carry_out(delayed)
    assert workers.models[worker_id].lease_end_ms > 6_500


class TestLeasesOfTheTermBefore:

    def test_an_adopted_run_is_kept_under_the_longest_lease(self):
        workers, term, worker_id = started()
        workers.models[worker_id].hold(
            attrs.evolve(term.hold(worker_id), until_ms=OLD_CLOCK_MS),
            workers.now_s,
        )
        successor = Term(workers, 1, term)
        successor.step()
        assert successor.task.run.worker_id == worker_id
        successor.poll(worker_id)
        check_starts_again(successor, workers, worker_id)

    def test_an_adopted_run_is_kept_if_the_next_order_has_no_answer(self):
        workers, term, worker_id = started()
        term.step()
        successor = Term(workers, 1, term)
        successor.poll(worker_id)
        successor.scheduler.observe_no_response(worker_id, successor.now_s)
        check_starts_again(successor, workers, worker_id)

    def test_a_worker_that_never_answers_is_waited_for(self):
        workers, term, worker_id = started()
        workers.models[worker_id].hold(
            attrs.evolve(term.hold(worker_id), until_ms=OLD_CLOCK_MS),
            workers.now_s,
        )
        successor = Term(workers, 1, term)
        check_starts_again(successor, workers, worker_id, 12.0)

    @pytest.mark.parametrize("extended_s", [0.5, 1.0, 1.3])
    def test_a_leader_that_was_replaced_extends_a_lease(self, extended_s):
        workers, term, worker_id = started()
        successor = Term(workers, 1, term)
        workers.silent.add(worker_id)
        successor.advance(extended_s)
        order = attrs.evolve(
            term.hold(worker_id),
            until_ms=OLD_CLOCK_MS,
        )
        workers.carry_out(order)
        check_starts_again(successor, workers, worker_id, 12.0)


class TestLeasesOfTheLifeBefore:

    def test_a_run_of_the_next_life_is_kept_under_the_longest_lease(self):
        workers = Workers("w1", "w2")
        term = Term(workers)
        term.advance(0.5)
        workers.silent.add("w2")
        restart_between_two_holds(workers, term, "w1")
        term.advance(0.3)
        term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        term.advance(0.3)
        assert term.task.run.worker_id == "w1"
        workers.silent.clear()
        check_starts_again(term, workers, "w1")

    def test_a_successor_keeps_a_run_of_the_next_life(self):
        workers = Workers("w1", "w2")
        term = Term(workers)
        term.advance(0.5)
        workers.silent.add("w2")
        restart_between_two_holds(workers, term, "w1")
        term.advance(0.3)
        term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        term.advance(0.3)
        assert term.task.run.worker_id == "w1"
        workers.silent.clear()
        successor = Term(workers, 1, term)
        successor.step()
        successor.poll("w1")
        check_starts_again(successor, workers, "w1")

    def test_a_start_that_reached_the_next_life_without_an_answer(self):
        workers = Workers("w1", "w2")
        term = Term(workers)
        term.advance(0.5)
        workers.silent.add("w2")
        term.advance(2.0)
        model = workers.models["w1"]
        model.started_s -= OLD_CLOCK_MS / 1000
        term.step()
        term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = term.starts()
        assert order.worker_id == "w1"
        workers.start("w1")
        workers.carry_out(order)
        term.scheduler.observe_start(
            order,
            scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN),
            term.now_s,
        )
        workers.silent.clear()
        check_starts_again(term, workers, "w1")


class TestMachinesListedAsDown:

    def observe_down(self, term, model, requested_s):
        down = scheduling.MachineRecord(
            model.record.machine,
            scheduling_fixtures.POOL,
            scheduling.MachineState.DOWN,
            "z",
            "",
        )
        term.scheduler.maintenance.observe_machines((down,), requested_s)
        term.step()

    def starts_after_takeover(self, requested_s):
        """Returns whether the next leader starts a task of a lost machine.

        Args:
            requested_s: Time between its start and the request for a list that
                shows the machine as down.
        """
        workers, term, worker_id = started()
        successor = Term(workers, 1, term)
        workers.silent.add(worker_id)
        model = workers.models[worker_id]
        model.runs.clear()
        successor.advance(4.0)
        self.observe_down(
            successor, model, successor.scheduler.started_s + requested_s
        )
        return successor.task.run is not None

    def test_inherited_tasks_do_not_wait_for_a_crashed_machine(self):
        assert self.starts_after_takeover(3.6)

    def test_a_list_that_may_be_older_than_an_order_ends_no_wait(self):
        assert not self.starts_after_takeover(3.4)

    def starts_after_unanswered_start(self, requested_s):
        """Returns whether a task starts again whose start had no answer.

        Args:
            requested_s: Time between its start and the request for a list that
                shows the machine as down.
        """
        workers = Workers("w1", "w2")
        term = Term(workers)
        term.advance(0.5)
        term.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = term.starts()
        ordered_s = term.now_s
        workers.silent.add(order.worker_id)
        term.send(order)
        term.advance(4.0)
        model = workers.models[order.worker_id]
        self.observe_down(term, model, ordered_s + requested_s)
        return term.task.run.worker_id != order.worker_id

    def test_a_start_that_no_longer_arrives_is_repeated(self):
        assert self.starts_after_unanswered_start(3.6)

    def test_a_start_that_may_still_arrive_is_not_repeated(self):
        assert not self.starts_after_unanswered_start(3.4)

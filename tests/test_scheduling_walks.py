"""Tests that random walks find no violations but detect planted faults."""

import math

import attrs
import pytest

from baobabdoor import scheduling
from baobabdoor.scheduling import _lease
from baobabdoor.standin import _walk

SECONDS = 45
SEEDS = range(24)
# Walks that have found a fault.
FAILED_SEEDS = (313, 537, 1061)
# Share of the holds that acknowledge ended runs before which the worker
# restarts, in walks of restarts.
RESTART_RATE = 0.01


class TestWalks:

    @pytest.mark.parametrize("seed", (*SEEDS, *FAILED_SEEDS))
    def test_no_rule_is_broken(self, seed):
        walk = _walk.Walk(seed)
        assert not walk.run(SECONDS), f"seed {seed}"
        assert walk.oracle.starts > 20

    def test_tasks_resume_from_their_checkpoints(self):
        walk = _walk.Walk(SEEDS[0])
        assert not walk.run(SECONDS)
        assert walk.oracle.resumed_starts > 10


class RestartingWalk(_walk.Walk):
    """Walk in which workers restart under their id before a delayed hold."""

    def deliver(self, leader, order):
        acknowledges = isinstance(order, scheduling.HoldOrder) and (
            order.last_seen and order.worker_id in self.workers
        )
        if not acknowledges or self.random.random() >= RESTART_RATE:
            return super().deliver(leader, order)
        self.add_worker(order.worker_id)
        due_s = self.now_s + self.random.uniform(0.5, 8.0)
        model = self.workers[order.worker_id]
        self.delayed_orders.append((due_s, model, order))
        return scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)


class TestRestarts:

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_rule_is_broken(self, seed):
        assert not RestartingWalk(seed).run(SECONDS), f"seed {seed}"

    def test_a_token_that_is_kept_over_restarts_is_rejected(self):
        for seed in range(120):
            walk = RestartingWalk(seed, reuse_tokens)
            violations = walk.run(SECONDS)
            if violations and violations[0].rule == "TWICE":
                return
        pytest.fail("the fault was not found in 120 walks")


def reuse_tokens(scheduler):
    """Keeps the fencing token of a worker over its restarts."""

    def renew(worker):
        worker.token = scheduler.token

    scheduler.fencing.renew = renew


def start_inherited_early(scheduler):
    """Starts inherited tasks before their workers have reported."""
    scheduler.inherited_blocked = lambda: False


def expire_leases_early(scheduler):
    """Treats leases of unresponsive workers as expired too early."""
    expire = scheduler._expire_leases

    def patched(now_s):
        for worker in scheduler.workers.values():
            if now_s - worker.last_report_s > 0.5:
                lease = worker.lease
                lease.own_end_s = min(lease.own_end_s, now_s - 0.1)
                lease.foreign_end_s = min(lease.foreign_end_s, now_s - 0.1)
                worker.last_report_s = min(worker.last_report_s, now_s - 10)
        expire(now_s)

    scheduler._expire_leases = patched


def release_unconfirmed_start(scheduler):
    """Releases a run whose start was unanswered without stopping it."""
    observe = scheduler.observe_start

    def patched(order, result, now_s):
        observe(order, result, now_s)
        worker = scheduler.workers.get(order.worker_id)
        run = worker.runs.get(order.task) if worker else None
        if run is not None and run.outcome_unknown:
            scheduler.release_run(worker, run, "forgotten")

    scheduler.observe_start = patched


def ignore_capacity(scheduler):
    """Places more tasks on a worker than fit."""
    observe = scheduler.observe_worker

    def patched(record, now_s, written_s=-math.inf):
        observe(record, now_s, written_s)
        worker = scheduler.workers[record.worker_id]
        worker.fits = lambda spec: True

    scheduler.observe_worker = patched


def ignore_dependencies(scheduler):
    """Starts steps before the steps that they depend on are done."""
    submit = scheduler.submit

    def patched(spec, now_s):
        job = submit(spec, now_s)
        if hasattr(job, "step_ready"):
            job.step_ready = lambda occurrence, step: True
        return job

    scheduler.submit = patched


def ignore_crashes(scheduler):
    """Holds no crash of a worker against its tasks."""
    scheduler.crashes._accuse = lambda losses: None


def fail_at_the_first_crash(scheduler):
    """Ends the jobs of all tasks of a crashed worker."""

    def patched(losses):
        for task in losses.tasks:
            if not task.job.final:
                scheduler.finish_job(
                    task.job, scheduling.JobState.FAILED, "planted"
                )

    scheduler.crashes._accuse = patched


def ignore_shrinking(scheduler):
    """Keeps the largest capacity that a worker has had."""
    observe = scheduler.observe_worker

    def patched(record, now_s, written_s=-math.inf):
        worker = scheduler.workers.get(record.worker_id)
        known = worker.record.cpu_milli if worker else 0
        largest = max(known, record.cpu_milli)
        observe(attrs.evolve(record, cpu_milli=largest), now_s, written_s)

    scheduler.observe_worker = patched


def take_cut_reports_as_complete(scheduler):
    """Releases runs whose ends a report left out."""
    observe = scheduler.observe_report

    def patched(worker_id, report, token, now_s):
        complete = attrs.evolve(report, lists_all_ends=True)
        observe(worker_id, complete, token, now_s)

    scheduler.observe_report = patched


def start_with_another_payload(scheduler):
    """Starts tasks with the payload of the job that was sent last."""
    plan = scheduler.plan

    def patched(now_s, term_confirmed=True):
        latest = max(scheduler.jobs, default=None)
        for order in plan(now_s, term_confirmed):
            if isinstance(order, scheduling.StartOrder):
                payload = scheduler.jobs[latest].spec.payload
                order = attrs.evolve(order, payload=payload)
            yield order

    scheduler.plan = patched


def share_checkpoints(scheduler):
    """Starts tasks from the largest checkpoint of their job."""
    plan = scheduler.plan

    def patched(now_s, term_confirmed=True):
        for order in plan(now_s, term_confirmed):
            if isinstance(order, scheduling.StartOrder):
                job = scheduler.jobs[order.task.split(".")[0]]
                largest = max(task.checkpoint for task in job.tasks())
                order = attrs.evolve(order, checkpoint=largest)
            yield order

    scheduler.plan = patched


PLANTED = {
    "TWICE": (
        start_inherited_early,
        expire_leases_early,
        release_unconfirmed_start,
        take_cut_reports_as_complete,
    ),
    "LIMIT": (ignore_capacity, ignore_shrinking),
    "BUDGET": (ignore_crashes,),
    "LOST": (fail_at_the_first_crash,),
    "ORDER": (ignore_dependencies,),
    "UNASKED": (start_with_another_payload, share_checkpoints),
}


class TestPlantedFaults:

    @pytest.mark.parametrize(
        ("rule", "plant"),
        [(rule, plant) for rule, plants in PLANTED.items() for plant in plants],
        ids=lambda value: getattr(value, "__name__", value),
    )
    def test_the_oracle_rejects_a_planted_fault(self, rule, plant):
        for seed in range(120):
            violations = _walk.Walk(seed, plant).run(SECONDS)
            if violations and violations[0].rule == rule:
                return
        pytest.fail(f"{plant.__name__} was not found in 120 walks")


class TestClocks:

    def test_a_bound_holds_for_the_slowest_clock(self):
        assert _lease.CLOCK_DRIFT_FACTOR * 0.98 > 1.0

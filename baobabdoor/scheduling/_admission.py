"""Admission control: accepts or rejects jobs by their expected latency.

Builds the views that the decisions of `overload` take, and applies them.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from baobabdoor import customers
from baobabdoor import overload
from baobabdoor.scheduling import _arrivals
from baobabdoor.scheduling import _job_memory
from baobabdoor.scheduling import _pool_snapshots
from baobabdoor.scheduling import _rejection
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker

# Share of a pool's CPU time that tasks can use.
USABLE_SHARE = 0.9
# Time for which the timing estimate of a job is cached, in seconds.
ESTIMATE_VALID_S = 0.25
# Maximum number of submission times in memory. They let the latency of a job
# include the time that it spent on retries after a rejection.
MAX_REMEMBERED_JOBS = 2000
# Time after the start of a term in which the workers report and are enrolled.
# Until then the capacity of a pool without workers is unknown.
DISCOVERY_S = 2.5
# Time from the end of a machine's move until its worker gets starts.
WORKER_START_S = 0.6
# Occurrences that are due later than this do not delay the jobs of now.
PLANNED_S = 60.0
# Shortest time over which the log states a share of a pool, in seconds.
MIN_SPAN_S = 0.1


@attrs.frozen
class AdmissionDecision:
    """Decision on the admission of a job.

    Attributes:
        timely: Whether it is expected to meet its objective.
        rejection: The rejection; `None` if the job is accepted.
        inputs: Inputs of the decision, for the log.
        excess: Whether the job exceeds the rate of its customer.
    """

    timely: bool
    rejection: _rejection.Rejection | None
    inputs: dict
    excess: bool = False


@attrs.frozen
class _Timing:
    """Estimate of the timing of a job.

    Attributes:
        objective_s: Latency objective.
        critical_path_s: Remaining duration of its longest chain.
        work: Remaining work in core-seconds.
    """

    objective_s: float
    critical_path_s: float
    work: float


class Admission:
    """Compares the work of a job with the capacity of its pool.

    Args:
        scheduler: Scheduler with the jobs and workers.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.first_seen_: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.job_memory = _job_memory.JobMemory(scheduler)
        options = scheduler.options
        self.allowance = customers.SubmissionAllowance(
            options.quota_window_s, options.quota_slack
        )
        self.verdict_counts = overload.VerdictCounts()
        self.sizes_: dict[str, overload.SizeClasses] = collections.defaultdict(
            overload.SizeClasses
        )
        self.snapshots_: dict[str, _pool_snapshots.PoolSnapshot] = {}
        # Arrivals that are not excess, by pool.
        self.claimed_: dict[str, _arrivals.ArrivalRate] = (
            collections.defaultdict(_arrivals.ArrivalRate)
        )

    @property
    def shared(self) -> bool:
        """Whether customers are configured, who share the pools by weight."""
        return self.scheduler.configuration.customer_directory is not None

    def first_seen_ms(self, job_id: str, now_ms: float) -> float:
        """Returns when a job was first submitted; records now if unknown."""
        first_ms = self.first_seen_.setdefault(job_id, now_ms)
        if len(self.first_seen_) > MAX_REMEMBERED_JOBS:
            self.first_seen_.popitem(last=False)
        return first_ms

    def check(self, spec: _types.JobSpec, now_s: float) -> AdmissionDecision:
        """Decides whether to accept a job.

        A job is rejected if it is expected to end too late to have any value.
        Scheduled and `long_running` jobs are always accepted.
        """
        scheduler = self.scheduler
        queue = scheduler.configuration.queues.get(spec.queue)
        is_new = spec.job_id not in self.first_seen_
        first_ms = self.first_seen_ms(spec.job_id, scheduler.store_ms)
        if spec.long_running or spec.repeat_count or queue is None:
            return AdmissionDecision(True, None, {})
        snapshot = self._snapshot(queue.pool, now_s)
        if not snapshot.cores and now_s < scheduler.started_s + DISCOVERY_S:
            return AdmissionDecision(True, None, {"capacity_cores": "unknown"})
        critical_path_s, work = self.estimate(spec)
        job = overload.SubmissionView(
            work,
            critical_path_s,
            self.objective_s(queue, critical_path_s),
            (scheduler.store_ms - first_ms) / 1000,
            queue.priority,
            delay_s=scheduler.shedder.start_delay_s(now_s),
            only_timely=scheduler.shedder.sheds_late(now_s),
        )
        if self.shared:
            job = self._with_customer(job, spec, queue.pool, is_new, now_s)
        pool = snapshot.view(
            self.weights(),
            scheduler.options.move_s + WORKER_START_S,
            overload.value_left_s(job),
            job.customer if self.shared else None,
        )
        if self.shared:
            self._add_limits(pool, queue.pool, spec, now_s)
        inputs = {
            "capacity_cores": round(snapshot.cores, 1),
            "coming_cores": round(snapshot.expected_cores / USABLE_SHARE, 1),
            "backlog_core_s": round(pool.timely_work, 1),
            "deferred_core_s": round(pool.late_work, 1),
            "work_core_s": round(work, 1),
            "chain_s": round(critical_path_s, 2),
            "left_s": round(overload.time_left_s(job), 2),
            "delay_s": round(job.delay_s, 2),
        }
        if not self.shared:
            verdict = overload.judge_by_total(job, pool)
        else:
            verdict = overload.judge_by_share(job, pool)
            inputs |= _share_inputs(job, pool)
            self.sizes_[spec.queue].observe_verdict(job.work, verdict.timely)
        self._count_verdict(spec, verdict, now_s)
        if verdict.accepted:
            return AdmissionDecision(verdict.timely, None, inputs, job.excess)
        rejection = _rejection.Rejection(
            verdict.reason,
            verdict.retry_after_s,
            inputs,
            hopeless=not verdict.retry_after_s,
        )
        return AdmissionDecision(False, rejection, inputs, job.excess)

    def _with_customer(
        self,
        job: overload.SubmissionView,
        spec: _types.JobSpec,
        pool: str,
        is_new: bool,
        now_s: float,
    ) -> overload.SubmissionView:
        """Counts a submission of a customer; returns its view."""
        sizes = self.sizes_[spec.queue]
        if is_new:
            sizes.observe_size(job.work)
        job = attrs.evolve(
            job, customer=spec.customer, yields=sizes.yields(job.work)
        )
        directory = self.scheduler.configuration.customer_directory
        customer = directory.find(spec.customer)
        excess = customer is not None and not self.allowance.observe(
            customer, spec.job_id, now_s
        )
        if is_new and not excess:
            self.claimed_[pool].observe(now_s, job.work)
        return attrs.evolve(job, excess=excess)

    def _add_limits(
        self,
        view: overload.PoolView,
        pool: str,
        spec: _types.JobSpec,
        now_s: float,
    ) -> None:
        """Adds what limits a customer's job besides the work in its pool."""
        scheduler = self.scheduler
        view.claimed_cores = self.claimed_[pool].cores(now_s)
        view.quota_cores = scheduler.quotas.usable_cores(spec)
        if view.quota_cores < math.inf:
            view.own_work = sum(
                self.estimated_work(job)
                for job in scheduler.active.values()
                if job.spec.customer == spec.customer
                and not job.spec.long_running
            )

    def _count_verdict(
        self, spec: _types.JobSpec, verdict: overload.Verdict, now_s: float
    ) -> None:
        outcome = "accepted" if verdict.timely else "accepted_late"
        if not verdict.accepted:
            outcome = verdict.reason.replace("overload", "rejected")
        self.verdict_counts.observe(
            spec.job_id, spec.customer, outcome, now_s, verdict.retry_after_s
        )

    def _snapshot(
        self, pool: str, now_s: float
    ) -> _pool_snapshots.PoolSnapshot:
        """Returns a recent snapshot of a pool."""
        snapshot = self.snapshots_.get(pool)
        delay_s = self.scheduler.shedder.delay_s(now_s)
        if snapshot is None or not snapshot.is_valid(now_s, delay_s):
            snapshot = self._take_snapshot(pool, now_s)
            self.snapshots_[pool] = snapshot
        return snapshot

    def _take_snapshot(
        self, pool: str, now_s: float
    ) -> _pool_snapshots.PoolSnapshot:
        scheduler = self.scheduler
        snapshot = _pool_snapshots.PoolSnapshot(
            now_s,
            self.capacity_cores(pool, now_s) * USABLE_SHARE,
            scheduler.autoscaler.expected_cores(pool) * USABLE_SHARE,
            scheduler.autoscaler.standby_cores(),
        )
        jobs = [
            (job, queue)
            for job, queue in scheduler.pool_jobs(pool)
            if not job.spec.long_running
        ]
        for job, queue in jobs:
            snapshot.add(self._job_view(job, queue))
        snapshot.add_limited(
            scheduler.quotas.limited_work(
                (job, self.estimated_work(job)) for job, _ in jobs
            )
        )
        return snapshot

    def _job_view(self, job, queue: _types.Queue) -> overload.JobView:
        return overload.JobView(
            queue.priority,
            *self.slacks_s(job, queue),
            job.timely,
            job.spec.customer,
            job.excess,
            self.estimated_work(job),
        )

    def observe_accepted(self, job) -> None:
        """Adds a job that has been accepted to the snapshot of its pool."""
        queue = self.scheduler.configuration.queues.get(job.spec.queue)
        snapshot = self.snapshots_.get(queue.pool) if queue else None
        if snapshot is not None and not job.spec.long_running:
            view = self._job_view(job, queue)
            snapshot.add(view)
            snapshot.add_limited(
                self.scheduler.quotas.limited_work([(job, view.work)])
            )

    def weights(self) -> dict[str, float]:
        """Returns the weights of the configured customers."""
        directory = self.scheduler.configuration.customer_directory
        listed = directory.customers if directory is not None else ()
        return {item.name: item.weight for item in listed}

    def rank(self, job) -> tuple[tuple, overload.Claim | None] | None:
        """Returns the rank of a job, lowest first, and its claim to a share.

        `None` without a queue.
        """
        if job.spec.long_running:
            return (overload.LASTING, 0, 0, 0, 0.0), None
        queue = self.scheduler.configuration.queues.get(job.spec.queue)
        if queue is None:
            return None
        if job.spec.repeat_count:
            # Each occurrence has its own start time; the job is never late.
            return (overload.IN_TIME, queue.priority, 0, 0, 0.0), None
        slacks_s = self.slacks_s(job, queue)
        if not self.shared:
            view = overload.JobView(queue.priority, *slacks_s, job.timely)
            return overload.rank_by_slack(view), None
        customer = job.spec.customer
        cores, density = job.demand
        view = overload.JobView(
            queue.priority,
            *slacks_s,
            job.timely,
            customer,
            job.excess,
            density=density,
        )
        claim = overload.Claim(queue.pool, customer, cores)
        return overload.rank_by_value(view), claim

    def divide(
        self,
        ranked: list[tuple[tuple, overload.Claim | None]],
        usable: Iterable[_worker.Worker],
    ) -> list[tuple]:
        """Returns sorted ranks, changed so that customers get their shares.

        Args:
            ranked: The ranks, with the claims of the jobs.
            usable: Workers that may start runs.
        """
        cores: dict[str, float] = collections.defaultdict(float)
        for worker in usable:
            cores[worker.record.pool] += _batch_cpu_milli(worker) / 1000
        return overload.divide(ranked, cores, self.weights())

    def objective_s(self, queue: _types.Queue, critical_path_s: float) -> float:
        """Returns the latency objective of a job in seconds."""
        return queue.stretch * critical_path_s + queue.target_ms / 1000

    def estimate(self, spec: _types.JobSpec) -> tuple[float, float]:
        """Returns the critical path in seconds and the work in core-seconds."""
        durations_s = self._durations_s(spec)
        work = sum(
            duration_s * step.task_count * step.cpu_milli / 1000
            for step, duration_s in zip(spec.steps, durations_s, strict=True)
        )
        return _critical_path_s(spec.steps, durations_s), work

    def _durations_s(self, spec: _types.JobSpec) -> list[float]:
        predict_s = self.scheduler.durations.predict_s
        return [predict_s(spec.queue, step) for step in spec.steps]

    def capacity_cores(self, pool: str, now_s: float) -> float:
        """Returns the cores of a pool that are available to batch tasks."""
        total = 0
        for worker in self.scheduler.workers.values():
            if worker.vacating or worker.record.pool != pool:
                continue
            if worker.usable(now_s):
                total += _batch_cpu_milli(worker)
        return total / 1000

    def backlog_core_s(self, pool: str) -> tuple[float, float]:
        """Returns the remaining work of timely and of other jobs.

        Both are in core-seconds.
        """
        view = self._take_snapshot(pool, self.scheduler.started_s).view({}, 0.0)
        return view.timely_work, view.late_work

    def remaining_work(self, job) -> float:
        """Returns the remaining work of a job in core-seconds.

        Without the occurrences that are due later than `PLANNED_S`.
        """
        total = 0.0
        spec = job.spec
        planned_until_ms = self.scheduler.wall_ms + PLANNED_S * 1000
        for key, tasks in job.steps.items():
            if not job.remaining[key]:
                continue
            if spec.repeat_count and (
                spec.start_at_ms + key[0] * spec.interval_ms > planned_until_ms
            ):
                continue
            step = job.spec.steps[key[1]]
            duration_s = self.scheduler.durations.predict_s(
                job.spec.queue, step
            )
            share = float(job.remaining[key])
            for task in tasks:
                if task.run is not None and not task.done:
                    percent = max(run.percent for run in task.runs)
                    share -= min(percent, 95.0) / 100
            total += share * duration_s * step.cpu_milli / 1000
        return total

    def slacks_s(self, job, queue: _types.Queue) -> tuple[float, float]:
        """Returns a job's slack to its objective and to the loss of its value.

        Both are in seconds and negative once the time cannot be met.
        """
        left_s, critical_path_s = self.time_left_s(job, queue)
        waited_s = (self.scheduler.store_ms - job.submitted_ms) / 1000
        late_slack_s = overload.late_slack_s(
            left_s + waited_s, waited_s, critical_path_s
        )
        return left_s - critical_path_s, late_slack_s

    def time_left_s(self, job, queue: _types.Queue) -> tuple[float, float]:
        """Returns a job's time to its objective and remaining critical path."""
        timing = self._timing(job, queue)
        waited_s = (self.scheduler.store_ms - job.submitted_ms) / 1000
        return timing.objective_s - waited_s, timing.critical_path_s

    def estimated_work(self, job) -> float:
        """Returns the remaining work of a job as recently estimated."""
        queue = self.scheduler.configuration.queues.get(job.spec.queue)
        if queue is None:
            return self.remaining_work(job)
        return self._timing(job, queue).work

    def _timing(self, job, queue: _types.Queue) -> "_Timing":
        """Returns a recent estimate of a job's timing."""
        now_ms = self.scheduler.store_ms
        timing, until_ms = job.timing_estimate
        if now_ms > until_ms:
            timing = self._estimate_timing(job, queue)
            until_ms = now_ms + ESTIMATE_VALID_S * 1000
            job.timing_estimate = (timing, until_ms)
            if self.shared:
                job.demand = self._estimate_demand(job)
        return timing

    def _estimate_timing(self, job, queue: _types.Queue) -> "_Timing":
        steps = job.spec.steps
        remaining_steps = {
            step for (_, step), remaining in job.remaining.items() if remaining
        }
        total_s = self._durations_s(job.spec)
        remaining_s = [
            duration_s if number in remaining_steps else 0.0
            for number, duration_s in enumerate(total_s)
        ]
        objective_s = self.objective_s(queue, _critical_path_s(steps, total_s))
        return _Timing(
            objective_s,
            _critical_path_s(steps, remaining_s),
            self.remaining_work(job),
        )

    def _estimate_demand(self, job) -> tuple[float, float]:
        """Returns the cores that a job could use, and its value per work.

        The latter is relative to a job of mean size.
        """
        total, left, cores = 0.0, 0.0, 0.0
        durations_s = self._durations_s(job.spec)
        for (occurrence, number), remaining in job.remaining.items():
            step = job.spec.steps[number]
            task_cores = step.cpu_milli / 1000
            work = durations_s[number] * task_cores
            total += work * step.task_count
            left += work * remaining
            if remaining and job.step_ready(occurrence, number):
                cores += task_cores * remaining
        mean_work = self.sizes_[job.spec.queue].mean_work or total
        if not left or not mean_work:
            return cores, 1.0
        value = overload.job_value(total, mean_work)
        return cores, value * mean_work / left


def _share_inputs(
    job: overload.SubmissionView, pool: overload.PoolView
) -> dict:
    """Returns the inputs that only deployments with customers have."""
    span_s = max(MIN_SPAN_S, overload.time_left_s(job))
    return {
        "customer": job.customer,
        "excess": job.excess,
        "share_cores": round(overload.share_cores(job, pool, span_s), 1),
        "excess_core_s": round(pool.excess_work, 1),
        "yields": job.yields,
    }


def _batch_cpu_milli(worker) -> int:
    """Returns the CPU of a worker that is available to batch tasks."""
    # A worker that has shrunk may run more than its capacity.
    return max(0, worker.record.cpu_milli - worker.cpu_held)


def _critical_path_s(
    steps: Sequence[_types.StepSpec], durations_s: Sequence[float]
) -> float:
    """Returns the duration of the longest chain of dependent steps."""
    ends: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        start_s = max((ends[i] for i in step.after), default=0.0)
        ends.append(start_s + duration_s)
    return max(ends)

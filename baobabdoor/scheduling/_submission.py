"""Accepts or rejects submitted jobs."""

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _rejection
from baobabdoor.scheduling import _types

# Maximum share of a row that a new job takes up. The rest is for its progress.
MAX_NEW_JOB_SHARE = 0.5


def submit(
    scheduler, spec: _types.JobSpec, now_s: float
) -> _job.Job | _rejection.Rejection:
    """Accepts a job, which is then to be stored, or rejects it."""
    job = scheduler.jobs.get(spec.job_id)
    if job is not None:
        if not job.submitted:
            # The cancel that arrived before names no customer.
            job.spec = attrs.evolve(job.spec, customer=spec.customer)
            scheduler.early_cancels.observe_submission(job)
        return job
    queue = scheduler.configuration.queues.get(spec.queue)
    excess = scheduler.quotas.find_excess(spec)
    if excess is not None:
        return _reject_above_maximum(spec, excess)
    rejection = scheduler.admission.job_memory.check(spec, now_s)
    if rejection is not None:
        return rejection
    repeated = spec.job_id in scheduler.admission.first_seen_
    rejection = _shed(scheduler, spec, repeated, now_s)
    if rejection is None:
        decision = scheduler.admission.check(spec, now_s)
        rejection = decision.rejection
    if queue is not None and not repeated and not spec.long_running:
        work = scheduler.admission.estimate(spec)[1]
        work = scheduler.quotas.cap_arrival(spec, work, now_s)
        accepted = rejection is None
        scheduler.autoscaler.observe_arrival(queue.pool, work, now_s, accepted)
    if rejection is not None:
        return rejection
    first_ms = scheduler.admission.first_seen_ms(
        spec.job_id, scheduler.store_ms
    )
    job = _job.Job(spec, first_ms)
    row_bytes = len(job.encode())
    if row_bytes > scheduler.options.row_bytes * MAX_NEW_JOB_SHARE:
        return _rejection.Rejection("too large", 0, {"bytes": row_bytes})
    job.timely = decision.timely
    job.excess = decision.excess
    scheduler.emit(
        "job_accepted",
        job=spec.job_id,
        queue=spec.queue,
        timely=decision.timely,
        **decision.inputs,
    )
    for task in job.tasks():
        task.last_run = scheduler.run_base
    scheduler.jobs[spec.job_id] = job
    scheduler.active[spec.job_id] = job
    scheduler.admission.observe_accepted(job)
    scheduler.mark_dirty(job)
    return job


def _shed(
    scheduler, spec: _types.JobSpec, repeated: bool, now_s: float
) -> _rejection.Rejection | None:
    """Rejects a job that the leader has no time to decide on.

    Scheduled and `long_running` jobs are few and always accepted.
    """
    if spec.long_running or spec.repeat_count:
        return None
    if not scheduler.shedder.sheds(repeated):
        return None
    # Its latency counts from now.
    scheduler.admission.first_seen_ms(spec.job_id, scheduler.store_ms)
    inputs = {"shed_share": round(scheduler.shedder.share, 2)}
    retry_s = scheduler.shedder.retry_after_s()
    scheduler.admission.verdict_counts.observe(
        spec.job_id, spec.customer, "shed", now_s, retry_s
    )
    return _rejection.Rejection("leader busy", retry_s, inputs)


def _reject_above_maximum(
    spec: _types.JobSpec, step: _types.StepSpec
) -> _rejection.Rejection:
    """Rejects a job that its customer's maximum never allows to run."""
    inputs = {
        "customer": spec.customer,
        "tasks": step.task_count if step.gang else 1,
        "cpu_milli": step.cpu_milli,
        "memory_mb": step.memory_mb,
        "gpus": step.gpus,
    }
    return _rejection.Rejection("above maximum", 0, inputs, over_quota=True)

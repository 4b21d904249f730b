"""Detects runs that stall or are much slower than their siblings."""

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_choice

# Time between two checks, in seconds. More frequent checks gain little, because
# a report may be as old as the wait of a hold request.
CHECK_INTERVAL_S = 0.2
# Time without progress after which a run counts as stalled.
STALL_S = 1.4
# The same for a task that may have a duplicate run, which starts first. By then
# the duplicate has run for as long again, or could not start.
DUPLICATED_STALL_S = 2 * STALL_S
# The same for a `long_running` task that is not ready yet, in seconds.
STARTUP_S = 3.0
# Maximum age of a report that is used to detect stalls, in seconds.
MAX_REPORT_AGE_S = 1.0
# A run is stopped if its remaining time exceeds this multiple of the duration
# of a new run.
SLOW_FACTOR = 2.0
# Minimum progress of a sibling to estimate its duration, in percent.
MIN_SAMPLE_PERCENT = 10
# Minimum runtime to estimate the speed of a run, and minimum remaining time for
# which a new run is worthwhile, in seconds.
MIN_RUNTIME_S = 1.0
MIN_REMAINING_S = 1.2


def stop_stalled_runs(scheduler, now_s: float) -> None:
    """Marks stalled and slow runs to be stopped and restarted elsewhere."""
    for worker in scheduler.workers.values():
        if now_s - worker.last_report_s > MAX_REPORT_AGE_S:
            continue
        for run in list(worker.runs.values()):
            if run.stopping or not run.confirmed or run.task.spec.gang:
                continue
            reason = _stall_reason(scheduler, run, now_s)
            if reason == "slow" and not scheduler.quotas.may_restart(run.task):
                continue
            if reason and (
                run.task.duplicate is not None
                or _fits_elsewhere(scheduler, run, worker, now_s)
            ):
                _stop_run(scheduler, worker, run, reason, now_s)


def _stall_reason(scheduler, run: _job.Run, now_s: float) -> str:
    stalled_s = now_s - run.progressed_s
    if run.task.spec.long_running:
        late = stalled_s > STARTUP_S and run.percent < 100
        return "not ready" if late else ""
    if run.task.duplicate or scheduler.duplicates.allows(run.task):
        return "no progress" if stalled_s > DUPLICATED_STALL_S else ""
    if stalled_s > STALL_S:
        return "no progress"
    # The progress dates from the report that showed it.
    ran_s = run.progressed_s - run.started_s
    if ran_s < MIN_RUNTIME_S or run.percent <= 0:
        return ""
    remaining_s = ran_s * (100 - run.percent) / run.percent
    expected_s = _sibling_duration_s(run)
    slow = expected_s and remaining_s > max(
        MIN_REMAINING_S, SLOW_FACTOR * expected_s
    )
    return "slow" if slow else ""


def _sibling_duration_s(run: _job.Run) -> float:
    """Returns the duration of sibling tasks elsewhere; 0 if unknown.

    Tasks of one step take about the same time. Tasks of different jobs do not,
    so they do not show whether a worker is slow.
    """
    task = run.task
    durations = [
        (sibling.run.progressed_s - sibling.run.started_s)
        * 100
        / sibling.run.percent
        for sibling in task.job.steps[task.occurrence, task.step]
        if sibling.run is not None
        and sibling.run.worker_id != run.worker_id
        and sibling.run.percent >= MIN_SAMPLE_PERCENT
    ]
    return min(durations, default=0.0)


def _fits_elsewhere(
    scheduler, run: _job.Run, worker: _worker.Worker, now_s: float
) -> bool:
    others = [
        other
        for other in _worker_choice.other_workers(
            scheduler, worker, worker.record.pool, now_s
        )
        if other.worker_id not in run.task.avoided_workers
    ]
    return _worker_choice.choose_worker(run.task, others) is not None


def _stop_run(
    scheduler,
    worker: _worker.Worker,
    run: _job.Run,
    reason: str,
    now_s: float,
) -> None:
    run.stopping = True
    scheduler.emit_run(
        "run_given_up",
        run,
        reason=reason,
        percent=run.percent,
        ran_ms=round((now_s - run.started_s) * 1000),
    )
    observe_stall(scheduler, worker, run, now_s)


def observe_stall(
    scheduler, worker: _worker.Worker, run: _job.Run, now_s: float
) -> None:
    """Holds a stalled or slow run against its worker."""
    task = run.task
    # The start of a duplicate has recorded it before the stop does.
    recorded = (
        task.may_have_duplicate and worker.worker_id in task.avoided_workers
    )
    task.avoided_workers |= {worker.worker_id}
    if recorded:
        return
    if worker.observe_failure(task.job.spec.job_id, now_s, run.started_s):
        scheduler.emit("worker_quarantined", worker=worker.worker_id)

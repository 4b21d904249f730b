"""Applies workers' reports of active and ended runs."""

import math

from baobabdoor.scheduling import _duplicates
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_events


def observe_report(
    scheduler,
    worker_id: str,
    report: _types.WorkerReport,
    token: int,
    now_s: float,
) -> None:
    """Applies a worker's report.

    The worker counts as heard only after the whole report was applied. If an
    error interrupts this, its leases are not renewed, its ended runs are not
    acknowledged, and inherited tasks still wait for it. They also wait if the
    report lists only some of the ended runs: theirs may be among the others,
    and so may those of runs that it does not list as active.

    Args:
        scheduler: The scheduler.
        worker_id: The worker.
        report: The report.
        token: Fencing token of the hold that it answers.
        now_s: Current time.
    """
    worker = scheduler.workers.get(worker_id)
    if worker is None:
        return
    if not _accept_report(scheduler, worker, report, now_s):
        return
    # Ended runs that are reported after the lease has expired are ignored.
    known = worker.first_report_s > -math.inf
    worker.lease_expired = known and worker.lease.has_ended(now_s)
    if worker.lease_expired:
        scheduler.release_all_runs(worker, "lease expired")
    worker.lease.observe_clock(report.clock_ms, now_s)
    last_lapsed = max(
        (end.number for end in report.ended if end.outcome == "lapsed"),
        default=0,
    )
    ignored = [
        end
        for end in report.ended
        if end.number > worker.processed
        and not _observe_end(scheduler, worker, end, last_lapsed, now_s)
    ]
    _emit_ignored_ends(scheduler, worker, ignored)
    _observe_unneeded_runs(scheduler, worker, report)
    for entry in report.running:
        _observe_running(scheduler, worker, entry, report.clock_ms, now_s)
    if all(end.number > worker.acknowledged for end in report.ended):
        worker.forgotten = worker.acknowledged
    worker.lists_all_ends = report.lists_all_ends
    if report.lists_all_ends:
        _observe_missing_runs(scheduler, worker, report)
    worker.last_report_s = now_s
    if worker.first_report_s == -math.inf:
        _observe_first_report(scheduler, worker, now_s)
    worker.partitioned = False
    worker.observe_response(now_s)
    worker.fenced = True
    if scheduler.fencing.observe_answer(worker, token):
        worker.lease.exclude_other_orders(now_s)
    if report.lists_all_ends:
        scheduler.unfenced.discard(worker_id)
    scheduler.crashes.observe_alive(worker)


def _observe_first_report(
    scheduler, worker: _worker.Worker, now_s: float
) -> None:
    """Records the first report of an incarnation to this term."""
    worker.first_report_s = now_s
    worker.lease.include_other_orders(now_s)
    adopted = sum(run.confirmed for run in worker.runs.values())
    if adopted:
        scheduler.emit(
            "runs_adopted",
            worker=worker.worker_id,
            address=worker.record.address,
            born_ms=worker.start_time_ms,
            runs=adopted,
        )


def _accept_report(
    scheduler,
    worker: _worker.Worker,
    report: _types.WorkerReport,
    now_s: float,
) -> bool:
    """Returns whether a report is of the newest incarnation and in order."""
    if report.start_time_ms < worker.start_time_ms:
        return False
    if report.start_time_ms != worker.start_time_ms:
        if worker.start_time_ms:
            scheduler.restart_worker(
                worker,
                report.start_time_ms,
                "report",
                now_s,
                _listed_runs(report),
            )
        worker.start_time_ms = report.start_time_ms
        refused = worker.refused_record
        if refused and refused.start_time_ms == report.start_time_ms:
            _worker_events.follow_refused_entry(scheduler, worker)
    elif report.clock_ms < worker.reported_ms:
        # Responses on different connections may arrive out of order.
        return False
    worker.reported_ms = report.clock_ms
    return True


def _listed_runs(report: _types.WorkerReport) -> frozenset[tuple[str, int]]:
    """Returns the active and the ended runs of a report."""
    entries = (*report.running, *report.ended)
    return frozenset((entry.task, entry.run_id) for entry in entries)


def _observe_end(
    scheduler,
    worker: _worker.Worker,
    end: _types.EndEntry,
    last_lapsed: int,
    now_s: float,
) -> bool:
    """Applies the end of a run; returns `False` if another run goes on."""
    task = scheduler.find_task(end.task)
    run = worker.find_run(end.task, end.run_id)
    applied = True
    if run is not None:
        _apply_end(scheduler, worker, task, run, end, last_lapsed, now_s)
        worker.remove_run(run)
        scheduler.duplicates.remove_run(run)
    elif task is not None and not worker.lease_expired:
        # A run of an earlier term, or one that this term has released.
        # The first end of two runs counts, and it may be acknowledged now.
        awaits_inherited_run = task.inherited and (
            task.run is None or task.may_have_duplicate
        )
        if awaits_inherited_run or end.outcome == "failed":
            _apply_end(scheduler, worker, task, None, end, last_lapsed, now_s)
        else:
            applied = task.done or task.job.final
    # Only now: an end that could not be applied must not be acknowledged.
    worker.processed = end.number
    worker.unsaved_ends.append((end.number, scheduler.revision))
    return applied


def _emit_ignored_ends(
    scheduler, worker: _worker.Worker, ignored: list[_types.EndEntry]
) -> None:
    """Appends an event about ends of tasks that other runs go on with."""
    done = [end for end in ignored if end.outcome == "done"]
    if done:
        scheduler.emit(
            "run_ends_ignored",
            worker=worker.worker_id,
            ends=len(done),
            first_task=done[0].task,
            first_run=done[0].run_id,
        )


def _apply_end(
    scheduler,
    worker: _worker.Worker,
    task: _job.Task,
    run: _job.Run | None,
    end: _types.EndEntry,
    last_lapsed: int,
    now_s: float,
) -> None:
    job = task.job
    job.started = True
    if end.outcome != "done" or end.run_id % 100 == 0:
        scheduler.emit(
            "run_ended",
            task=end.task,
            run=end.run_id,
            worker=worker.worker_id,
            how=end.outcome,
        )
    if job.final or task.done:
        return
    task.observe_checkpoint(end.checkpoint, end.run_id, worker.worker_id)
    if run is not None:
        _score_end(scheduler, worker, run, end.outcome, now_s)
    if end.outcome == "done" and end.number > last_lapsed:
        worker.observe_success()
        _apply_done(scheduler, task, run, now_s)
    elif end.outcome == "failed" and end.run_id not in task.failed_runs:
        task.failed_runs |= {end.run_id}
        started_s = run.started_s if run is not None else now_s
        _apply_failure(scheduler, worker, task, now_s, started_s)


def _score_end(
    scheduler,
    worker: _worker.Worker,
    run: _job.Run,
    outcome: str,
    now_s: float,
) -> None:
    """Records the end of a run in the score of its worker."""
    if outcome == "failed":
        worker.score.observe_failure(now_s)
    elif outcome == "done" and not run.task.spec.long_running:
        expected_s = scheduler.durations.predict_s(
            run.task.job.spec.queue, run.task.spec
        )
        worker.score.observe_success(now_s - run.started_s, expected_s, now_s)


def _apply_done(
    scheduler, task: _job.Task, run: _job.Run | None, now_s: float
) -> None:
    job = task.job
    if task.spec.long_running:
        return
    if run is not None:
        scheduler.durations.observe(
            job.spec.queue, task.spec, now_s - run.started_s
        )
    if task.spec.gang:
        for member in job.steps[task.occurrence, task.step]:
            job.complete_task(member)
    else:
        job.complete_task(task)
        scheduler.duplicates.stop_others(task, run)
    if job.state is _types.JobState.COMPLETED:
        scheduler.finish_job(job, _types.JobState.COMPLETED, "done")
    else:
        scheduler.mark_dirty(job)


def _apply_failure(
    scheduler,
    worker: _worker.Worker,
    task: _job.Task,
    now_s: float,
    started_s: float,
) -> None:
    job = task.job
    task.avoided_workers |= {worker.worker_id}
    if worker.observe_failure(job.spec.job_id, now_s, started_s):
        scheduler.emit("worker_quarantined", worker=worker.worker_id)
    if task.spec.long_running:
        return
    failures = job.failed_attempts(task)
    queue = scheduler.configuration.queues.get(job.spec.queue)
    if queue is not None and failures >= queue.max_attempts:
        scheduler.finish_job(job, _types.JobState.FAILED, "attempts used up")
    else:
        scheduler.mark_dirty(job)


def _observe_running(
    scheduler,
    worker: _worker.Worker,
    entry: _types.RunEntry,
    clock_ms: int,
    now_s: float,
) -> None:
    run = worker.find_run(entry.task, entry.run_id)
    if run is None:
        run = _adopt(scheduler, worker, entry, clock_ms, now_s)
        if run is None:
            return
    if not run.confirmed:
        run.confirmed = True
        run.clock_ms = clock_ms
        run.task.job.started = True
    if entry.percent != run.percent:
        run.progressed_s = now_s
    run.percent = entry.percent
    run.gauge = entry.gauge
    run.task.observe_checkpoint(
        entry.checkpoint, entry.run_id, worker.worker_id
    )


def _adopt(
    scheduler,
    worker: _worker.Worker,
    entry: _types.RunEntry,
    clock_ms: int,
    now_s: float,
) -> _job.Run | None:
    task = scheduler.find_task(entry.task)
    wanted = (
        task is not None
        and not task.done
        and not task.job.final
        and task.inherited
        and _duplicates.may_adopt(task, worker)
    )
    if not wanted:
        unneeded_runs = scheduler.unneeded_runs.setdefault(worker.worker_id, {})
        key = (entry.task, entry.run_id)
        if key not in unneeded_runs:
            unneeded_runs[key] = -1e9
            _emit_unneeded_run(scheduler, worker, task, entry)
        return None
    run = _job.Run(
        task,
        entry.run_id,
        worker.worker_id,
        now_s,
        worker.start_time_ms,
        worker.record.machine,
        confirmed=True,
        clock_ms=clock_ms,
        order_pending=False,
        progressed_s=now_s,
    )
    task.add_run(run)
    task.job.started = True
    worker.add_run(run)
    return run


def _emit_unneeded_run(
    scheduler,
    worker: _worker.Worker,
    task: _job.Task | None,
    entry: _types.RunEntry,
) -> None:
    """Appends an event about a reported run that is to be stopped."""
    current = task.run if task is not None else None
    scheduler.emit(
        "run_unneeded",
        task=entry.task,
        run=entry.run_id,
        worker=worker.worker_id,
        job_state=task.job.state.value if task is not None else "unknown",
        current_run=current.run_id if current is not None else 0,
        current_worker=current.worker_id if current is not None else "",
    )


def _observe_unneeded_runs(
    scheduler, worker: _worker.Worker, report: _types.WorkerReport
) -> None:
    unneeded_runs = scheduler.unneeded_runs.get(worker.worker_id)
    if not unneeded_runs:
        return
    running = {(entry.task, entry.run_id) for entry in report.running}
    for key in list(unneeded_runs):
        if key not in running:
            del unneeded_runs[key]


def _observe_missing_runs(
    scheduler, worker: _worker.Worker, report: _types.WorkerReport
) -> None:
    """Releases the runs that a report shows to be neither active nor coming."""
    listed = {entry.task for entry in report.running}
    released = 0
    for name, run in list(worker.runs.items()):
        if name in listed:
            continue
        if run.confirmed and report.clock_ms > run.clock_ms:
            scheduler.release_run(worker, run, "not listed")
            released += 1
        elif run.stop_clock_ms and report.clock_ms > run.stop_clock_ms:
            # The stop arrived before the start, which the worker rejects.
            scheduler.release_run(worker, run, "stopped before its start")
    if released:
        scheduler.emit(
            "runs_not_listed",
            worker=worker.worker_id,
            released=released,
            listed_running=len(report.running),
            listed_ends=len(report.ended),
        )

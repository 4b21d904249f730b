"""Applies what is known of workers: entries in the list, restarts, losses."""

import math

from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _lease
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker

# Minimum time between two events about refused entries of a worker.
REFUSAL_INTERVAL_S = 10.0


def observe_worker(
    scheduler,
    record: _types.WorkerRecord,
    now_s: float,
    written_s: float = -math.inf,
) -> None:
    """Applies a worker's entry in the platform's list.

    Args:
        scheduler: The scheduler.
        record: The entry.
        now_s: Current time.
        written_s: Earliest time at which the worker can have written it.
    """
    worker = scheduler.workers.get(record.worker_id)
    if worker is None:
        worker = _worker.Worker(record, scheduler.options.max_lease_s)
        worker.first_listed_s = now_s
        worker.entry_s = written_s
        scheduler.workers[record.worker_id] = worker
        scheduler.fencing.add(worker)
        return
    worker.refused_record = None
    moved = _has_moved(worker.record, record)
    if moved and not _may_move(scheduler, worker, record):
        _refuse_entry(scheduler, worker, record, now_s, written_s)
        return
    newest_ms = max(worker.start_time_ms, worker.record.start_time_ms, 1)
    if moved or record.start_time_ms > newest_ms:
        # Any program may have written the entry, so it ends no confirmed run.
        # The worker gets no starts until it reports whether it has restarted.
        _stop_unconfirmed_runs(worker)
        worker.retired = False
        worker.fenced = False
        worker.first_listed_s = now_s
    if record.draining and not worker.record.draining:
        scheduler.emit("worker_draining", worker=record.worker_id)
    if record.start_time_ms >= worker.start_time_ms:
        worker.entry_s = max(worker.entry_s, written_s)
    if record.cpu_milli != worker.record.cpu_milli:
        scheduler.emit(
            "capacity_changed",
            worker=record.worker_id,
            cpu_milli=record.cpu_milli,
            previous_milli=worker.record.cpu_milli,
            used_milli=worker.cpu_used,
        )
    worker.record = record
    worker.listed = True


def _has_moved(
    previous: _types.WorkerRecord, record: _types.WorkerRecord
) -> bool:
    """Returns whether an entry cannot be of the same life of a worker."""
    return (
        previous.address != record.address
        or previous.pool != record.pool
        or previous.machine not in ("", record.machine)
    )


def _may_move(
    scheduler, worker: _worker.Worker, record: _types.WorkerRecord
) -> bool:
    """Returns whether an entry with another place may be a worker's own.

    Address, pool and machine of a life do not change. Only an entry of the life
    that reports, or of a later one of a worker without runs, is credible. A
    life that has reported from its known address has no other one.
    """
    if not worker.start_time_ms:
        return True
    may_have_runs = worker.runs or worker.worker_id in scheduler.unfenced
    if record.start_time_ms == worker.start_time_ms:
        address_shown = worker.fenced or may_have_runs
        return worker.record.start_time_ms != worker.start_time_ms and (
            worker.record.address == record.address or not address_shown
        )
    return record.start_time_ms > worker.start_time_ms and not may_have_runs


def _refuse_entry(
    scheduler,
    worker: _worker.Worker,
    record: _types.WorkerRecord,
    now_s: float,
    written_s: float,
) -> None:
    """Ignores an entry that another life of a worker with runs would have.

    The runs may be those of earlier terms, as long as it has not reported. Its
    runs end with a report of the worker or with their leases. Until then
    the worker is called where it reported, and gets no starts.
    """
    worker.listed = False
    if record.start_time_ms > worker.start_time_ms:
        worker.refused_record = record
        worker.refused_written_s = written_s
    if now_s - worker.entry_refused_s >= REFUSAL_INTERVAL_S:
        worker.entry_refused_s = now_s
        scheduler.emit(
            "worker_entry_refused",
            worker=worker.worker_id,
            address=record.address,
            pool=record.pool,
            machine=record.machine,
            runs=len(worker.runs),
        )


def follow_refused_entry(scheduler, worker: _worker.Worker) -> None:
    """Expects a worker where the list shows a later life of it.

    The life that kept the entry out has ended and its runs are released. The
    later one may have runs of earlier terms, so they are still waited for.
    """
    scheduler.emit(
        "worker_followed",
        worker=worker.worker_id,
        address=worker.refused_record.address,
        machine=worker.refused_record.machine,
        born_ms=worker.refused_record.start_time_ms,
    )
    worker.record, worker.refused_record = worker.refused_record, None
    worker.listed = True
    worker.fenced = False
    worker.first_listed_s = max(worker.first_listed_s, scheduler.crashes.now_s)
    worker.entry_s = worker.refused_written_s


def check_capacity_age(scheduler, worker: _worker.Worker, now_s: float) -> bool:
    """Returns whether a worker's capacity is recent enough for a start.

    A worker that enforces its capacity rejects what does not fit.
    """
    pool = scheduler.configuration.pools.get(worker.record.pool)
    enforced = pool is not None and pool.enforces_capacity
    age_s = now_s - worker.entry_s
    outdated = not enforced and age_s > scheduler.options.max_entry_age_s
    if outdated != worker.capacity_outdated:
        worker.capacity_outdated = outdated
        scheduler.emit(
            "capacity_outdated" if outdated else "capacity_known",
            worker=worker.worker_id,
            age_s=round(age_s, 2) if math.isfinite(age_s) else "unknown",
        )
    return not outdated


def apply_restart(
    scheduler,
    worker: _worker.Worker,
    start_time_ms: int,
    source: str,
    now_s: float,
    listed_runs: frozenset[tuple[str, int]],
) -> None:
    """Applies a restart of a worker, which ended its earlier runs.

    The new incarnation may have confirmed a start before its restart was
    noticed; this run goes on if the new incarnation lists it. It may still
    receive a start that has not been confirmed, or have confirmed one after
    the report, so such a run is stopped there before its task starts elsewhere.
    """
    continuing = [
        run
        for run in worker.runs.values()
        if run.confirmed and (run.task.name, run.run_id) in listed_runs
    ]
    for run in continuing:
        worker.remove_run(run)
    scheduler.emit(
        "worker_restarted",
        worker=worker.worker_id,
        born_ms=start_time_ms,
        source=source,
        **describe_lease(worker, now_s),
    )
    emit_lost_runs(scheduler, worker, "restarted")
    scheduler.crashes.observe_crash(worker)
    for run in list(worker.runs.values()):
        if run.confirmed and run.clock_ms <= worker.reported_ms:
            scheduler.release_run(worker, run, "worker restarted")
        # Otherwise the previous incarnation has not reported since the answer,
        # so it may be that of the new one.
        run.confirmed = False
    _stop_unconfirmed_runs(worker)
    for run in continuing:
        worker.add_run(run)
        run.worker_start_ms = start_time_ms
        run.machine = worker.record.machine
        if run.task.accused:
            scheduler.mark_dirty(run.task.job)
    scheduler.unneeded_runs.pop(worker.worker_id, None)
    scheduler.fencing.renew(worker)
    worker.start_time_ms = start_time_ms
    if worker.record.start_time_ms != start_time_ms:
        # The new incarnation may have another capacity.
        worker.entry_s = -math.inf
    worker.reported_ms = 0
    worker.first_report_s = -math.inf
    worker.lease.begin_incarnation(now_s)
    worker.lists_all_ends = True
    worker.processed = 0
    worker.acknowledged = worker.forgotten = 0
    worker.unsaved_ends = []


def observe_machine_down(
    scheduler, worker: _worker.Worker, requested_s: float
) -> None:
    """Releases the runs of a worker whose machine is listed as down.

    While an order is under way, it may still arrive at the worker's next
    incarnation, so runs that are not confirmed and those of earlier terms are
    kept until the list certainly shows the machine as it was later.

    Args:
        scheduler: The scheduler.
        worker: The worker.
        requested_s: Time of the request for the list.
    """
    known_s = max(worker.first_listed_s, worker.last_report_s, worker.heard_s)
    shown_s = requested_s - _crashes.LISTING_DELAY_S
    if known_s >= shown_s:
        # The list may show the machine as it was before the worker's start,
        # or before its next incarnation confirmed a start.
        return
    arrived_s = shown_s - _lease.ORDER_LIFETIME_S
    if worker.refused_record is None and scheduler.started_s < arrived_s:
        scheduler.unfenced.discard(worker.worker_id)
    ended = [
        run
        for run in worker.runs.values()
        if run.confirmed or worker.lease.extended_s < arrived_s
    ]
    if not ended:
        return
    emit_lost_runs(scheduler, worker, "machine down")
    scheduler.crashes.observe_crash(worker)
    worker.observe_no_response(requested_s)
    for run in ended:
        scheduler.release_run(worker, run, "machine down")


def _stop_unconfirmed_runs(worker: _worker.Worker) -> None:
    """Stops the runs that the next incarnation of a worker may receive."""
    for run in worker.runs.values():
        if not run.confirmed:
            run.outcome_unknown = run.stopping = True
            run.stop_clock_ms = 0


def describe_lease(worker: _worker.Worker, now_s: float) -> dict[str, int]:
    """Returns what is known of a worker's lease, for events.

    Returns:
        Time since its incarnation first reported to this term, since an order
        of this term last extended its lease, and until the lease certainly
        ends, in milliseconds; what has not happened is left out.
    """
    times = {
        "first_report_ms_ago": now_s - worker.first_report_s,
        "extended_ms_ago": now_s - worker.lease.extended_s,
        "lease_left_ms": worker.lease.end_s - now_s,
    }
    return {
        name: round(seconds * 1000)
        for name, seconds in times.items()
        if math.isfinite(seconds)
    }


def emit_lost_runs(scheduler, worker: _worker.Worker, reason: str) -> None:
    """Appends an event about the runs that ended with their worker."""
    runs = worker.runs.values()
    if not runs:
        return
    youngest = max(runs, key=lambda run: run.started_s)
    most_lost = max(runs, key=lambda run: run.task.lost_runs)
    machine = scheduler.maintenance.machines.get(worker.record.machine)
    scheduler.emit(
        "worker_lost",
        worker=worker.worker_id,
        machine=worker.record.machine,
        machine_state=machine.state.value if machine else "unknown",
        reason=reason,
        runs=len(runs),
        youngest=youngest.task.name,
        youngest_ms=round((worker.silent_from_s - youngest.started_s) * 1000),
        most_lost=most_lost.task.name,
        lost_before=most_lost.task.lost_runs,
        **describe_lease(worker, scheduler.crashes.now_s),
    )


def retire_worker(
    scheduler, worker_id: str, reason: str, crashed: bool
) -> None:
    """Releases the runs of a life of a worker that has certainly ended."""
    worker = scheduler.workers.get(worker_id)
    if worker is not None and not worker.retired:
        scheduler.emit(
            "worker_retired",
            worker=worker_id,
            reason=reason,
            address=worker.record.address,
            born_ms=worker.start_time_ms,
            runs=len(worker.runs),
            unfenced=worker_id in scheduler.unfenced,
        )
        if crashed:
            scheduler.crashes.observe_crash(worker)
        emit_lost_runs(scheduler, worker, f"worker {reason}")
        for run in list(worker.runs.values()):
            if not run.start_pending:
                scheduler.release_run(worker, run, f"worker {reason}")
        if worker.refused_record is not None:
            follow_refused_entry(scheduler, worker)
        else:
            worker.retired = True
            scheduler.unfenced.discard(worker_id)


def witness_state(scheduler, job: _job.Job, now_s: float) -> bool:
    """Returns whether workers show that no later leader has ended a job."""
    for task in job.tasks():
        for run in task.runs:
            worker = scheduler.workers.get(run.worker_id)
            if worker is not None and worker.responsive(now_s):
                return True
    listed = [
        worker
        for worker in scheduler.workers.values()
        if worker.maybe_enrolled and worker.listed and not worker.retired
    ]
    return any(worker.enrolled for worker in listed) and all(
        worker.responsive(now_s) for worker in listed
    )

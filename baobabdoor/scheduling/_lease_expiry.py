"""Releases runs and workers whose leases have expired."""

from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_events


def expire_leases(scheduler, now_s: float) -> None:
    """Applies the expiry of leases of this term and of earlier ones."""
    if scheduler.unfenced and now_s > scheduler.inherited_until_s:
        _give_up_workers(scheduler, now_s)
    for worker_id, worker in list(scheduler.workers.items()):
        expired = worker.lease.has_ended(now_s)
        overdue = worker.report_overdue(now_s)
        if worker.runs and expired and overdue:
            _release_expired_runs(scheduler, worker, now_s)
        if worker.fenced and expired and overdue:
            # It may have restarted; it gets no starts before it reports.
            worker.fenced = False
        unused = not (worker.listed or worker.runs or worker.unsaved_ends)
        if unused and overdue and worker_id not in scheduler.unfenced:
            del scheduler.workers[worker_id]
            scheduler.fencing.remove(worker)
            scheduler.unneeded_runs.pop(worker_id, None)


def _release_expired_runs(
    scheduler, worker: _worker.Worker, now_s: float
) -> None:
    """Releases the runs of a silent worker that ended with their lease."""
    ended = [
        run for run in worker.runs.values() if worker.run_has_ended(run, now_s)
    ]
    if not ended:
        return
    scheduler.crashes.observe_lapse(worker, now_s)
    _worker_events.emit_lost_runs(scheduler, worker, "lease expired")
    for run in ended:
        scheduler.release_run(worker, run, "lease expired")


def _give_up_workers(scheduler, now_s: float) -> None:
    """Stops waiting for workers whose runs of earlier terms have ended."""
    given_up = []
    for worker_id in sorted(scheduler.unfenced):
        worker = scheduler.workers.get(worker_id)
        # Leases that this term has extended have not expired, so the ends
        # that are still to be listed count.
        if worker is None or not worker.ends_outstanding(now_s):
            given_up.append(worker_id)
    if given_up:
        scheduler.emit(
            "workers_given_up",
            workers=given_up,
            after_ms=round((now_s - scheduler.started_s) * 1000),
        )
        scheduler.unfenced.difference_update(given_up)

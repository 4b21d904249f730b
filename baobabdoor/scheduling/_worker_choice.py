"""Chooses the worker that runs a task."""

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _worker


def rack_of(worker: _worker.Worker) -> str:
    """Returns the rack from a worker's labels; empty if there is none."""
    return max(
        (label for label in worker.record.labels if "-" in label), default=""
    )


def other_workers(
    scheduler, worker: _worker.Worker, pool: str, now_s: float
) -> list[_worker.Worker]:
    """Returns the usable workers of a pool except one."""
    return [
        other
        for other in scheduler.workers.values()
        if other is not worker
        and other.record.pool == pool
        and other.usable(now_s)
    ]


def choose_worker(
    task: _job.Task,
    workers: list[_worker.Worker],
    due_workers: frozenset[str] = frozenset(),
) -> _worker.Worker | None:
    """Returns the best worker with room for a task; `None` if there is none.

    `long_running` tasks are packed onto workers that already run such tasks,
    preferably not on machines with pending maintenance. Any other task goes to
    the worker with the least free CPU (best fit) among those whose runs have
    failed or been late least.
    """
    spec = task.spec
    excluded = task.avoided_workers | task.refusing_workers
    best = None
    best_key: tuple = ()
    for worker in workers:
        if not worker.fits(spec):
            continue
        if spec.max_per_worker and not may_run_more(worker, task):
            continue
        remote = bool(
            spec.data_rack and spec.data_rack not in worker.record.labels
        )
        avoided = worker.worker_id in excluded
        if spec.long_running:
            long_running = [
                run
                for run in worker.runs.values()
                if run.task.spec.long_running
            ]
            mixed = sum(
                run.task.spec.fills != spec.fills for run in long_running
            )
            # Preferably at most half of a step runs on one worker, so that
            # the tasks on other workers can still be evicted.
            concentrated = 2 * _count_same_step(worker, task) >= spec.task_count
            key = (
                worker.last_resort,
                avoided,
                worker.worker_id in due_workers,
                remote,
                mixed,
                concentrated,
                -len(long_running),
                worker.cpu_used,
            )
        else:
            key = (
                worker.last_resort,
                avoided,
                worker.score.level,
                remote,
                -worker.cpu_used,
            )
        if best is None or key < best_key:
            best, best_key = worker, key
    return best


def may_run(worker: _worker.Worker, task: _job.Task) -> bool:
    """Returns whether a worker has room for a task and its step allows it."""
    return worker.fits(task.spec) and may_run_more(worker, task)


def may_run_more(worker: _worker.Worker, task: _job.Task) -> bool:
    """Returns whether a worker may run one more task of the same step."""
    limit = task.spec.max_per_worker
    return not limit or _count_same_step(worker, task) < limit


def _count_same_step(worker: _worker.Worker, task: _job.Task) -> int:
    return sum(
        run.task.job is task.job
        and run.task.step == task.step
        and run.task.occurrence == task.occurrence
        for run in worker.runs.values()
    )

"""Assigns runnable tasks to workers."""

import math

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _order_handling
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_events

# Time for which a job is left out of the plans after an error in its plan. It
# bounds the lines about it in the log.
SUSPENSION_S = 10.0


def place_tasks(scheduler, now_s: float) -> list[_orders.WorkerOrder]:
    """Returns the starts for all tasks that can run, by priority."""
    orders: list[_orders.WorkerOrder] = []
    scheduler.trials.prepare(now_s)
    pools: dict[str, list[_worker.Worker]] = {}
    for worker in scheduler.workers.values():
        if (
            worker.usable(now_s)
            and _worker_events.check_capacity_age(scheduler, worker, now_s)
            and not scheduler.unneeded_runs.get(worker.worker_id)
        ):
            pools.setdefault(worker.record.pool, []).append(worker)
    for job in _jobs_by_priority(scheduler, now_s):
        queue = scheduler.configuration.queues.get(job.spec.queue)
        if queue is not None:
            workers = pools.get(queue.pool, [])
            try:
                orders += _place_job(scheduler, job, workers, now_s)
            except Exception as error:
                _release_unsent_runs(scheduler, job, now_s)
                _suspend(scheduler, job, now_s, error)
    return orders


def _suspend(scheduler, job: _job.Job, now_s: float, error: Exception) -> None:
    """Leaves a job out of the plans for a while after an error.

    Each leader would meet the same error, so it must cost only this job.
    """
    job.suspended_until_s = now_s + SUSPENSION_S
    scheduler.emit(
        "job_plan_failed", job=job.spec.job_id, error=f"{error!r:.200}"
    )


def _release_unsent_runs(scheduler, job: _job.Job, now_s: float) -> None:
    """Releases the runs of a plan that was interrupted.

    Their orders are not sent, so they certainly never start. Those of an
    earlier plan have an earlier start time.
    """
    for task in job.tasks():
        run = task.run
        if run is not None and run.order_pending and run.started_s == now_s:
            worker = scheduler.workers[run.worker_id]
            scheduler.release_run(worker, run, "plan failed")


def _jobs_by_priority(scheduler, now_s: float) -> list[_job.Job]:
    """Returns active jobs, highest priority first.

    `long_running` jobs come first, then jobs that can meet their objective,
    then late jobs. The last two groups are ordered by the queue's priority.
    Among jobs that can meet their objective, those accepted as timely precede
    the others, and less slack precedes more. Among late jobs, those that still
    have value precede the others, and less delay precedes more.
    """
    keys = []
    for number, job in enumerate(scheduler.active.values()):
        if job.stored_state is None or now_s < job.suspended_until_s:
            continue
        try:
            rank = _rank(scheduler, job)
        except Exception as error:
            _suspend(scheduler, job, now_s, error)
            continue
        if rank is not None:
            keys.append((*rank, number, job))
    keys.sort(key=lambda key: key[:5])
    return [key[5] for key in keys]


def _rank(scheduler, job: _job.Job) -> tuple | None:
    """Returns the rank of a job, lowest first; `None` without a queue."""
    if job.spec.long_running:
        return (0, 0, 0, 0.0)
    queue = scheduler.configuration.queues.get(job.spec.queue)
    if queue is None:
        return None
    if job.spec.repeat_count:
        # Each occurrence has its own start time; the job is never late.
        return (1, queue.priority, 0, 0.0)
    slack_s, late_slack_s = scheduler.admission.slacks_s(job, queue)
    if slack_s >= 0:
        return (1, queue.priority, int(not job.timely), slack_s)
    no_value = late_slack_s < 0
    return (2, queue.priority, int(no_value), -slack_s)


def _place_job(
    scheduler, job: _job.Job, workers: list[_worker.Worker], now_s: float
) -> list[_orders.WorkerOrder]:
    orders = []
    blocked = scheduler.inherited_blocked()
    due_workers = frozenset()
    if job.spec.long_running:
        due_workers = frozenset(scheduler.maintenance.due_workers())
    for (occurrence, number), tasks in job.steps.items():
        if not _is_runnable(scheduler, job, occurrence, number):
            continue
        waiting = [
            task
            for task in tasks
            if not task.done
            and not task.given_up
            and task.run is None
            and now_s >= task.retry_at_s
            and not scheduler.trials.must_wait(task)
            and not (blocked and task.inherited)
        ]
        if not waiting:
            continue
        if job.spec.steps[number].gang:
            started = _place_gang(scheduler, tasks, waiting, workers, now_s)
        else:
            started = _place_tasks(
                scheduler, waiting, workers, due_workers, now_s
            )
        if started:
            _emit_starts(scheduler, waiting[0], started, now_s)
        orders += started
    return orders


def _place_tasks(
    scheduler, waiting, workers, due_workers: frozenset[str], now_s: float
) -> list[_orders.WorkerOrder]:
    """Starts the waiting tasks of a step until no worker has room."""
    orders = []
    eligible = scheduler.advice.eligible_workers(waiting[0], workers, now_s)
    for placed, task in enumerate(waiting):
        allowed = scheduler.trials.allowed_workers(task, eligible, now_s)
        worker = choose_worker(task, allowed, due_workers)
        if worker is None:
            if task.accused:
                # The others may run where a suspect may not.
                continue
            if task.spec.long_running:
                _report_shortage(scheduler, task, len(waiting) - placed)
            break
        orders.append(
            _order_handling.start_order(scheduler, worker, task, now_s)
        )
    return orders


def _emit_starts(scheduler, task: _job.Task, orders, now_s: float) -> None:
    """Emits one event for all runs of a step that were ordered."""
    placed: dict[str, list[str]] = {}
    for order in orders:
        index = order.task.rpartition(".")[2]
        placed.setdefault(order.worker_id, []).append(index)
    oldest_s = min(scheduler.workers[name].last_report_s for name in placed)
    scheduler.emit(
        "runs_ordered",
        step=task.step_name,
        run=max(order.run_id for order in orders),
        placed=" ".join(
            f"{worker_id}:{','.join(indices)}"
            for worker_id, indices in placed.items()
        ),
        heard_ms=round((now_s - oldest_s) * 1000),
    )


def _report_shortage(scheduler, task: _job.Task, count: int) -> None:
    """Reports how many machines unplaced `long_running` tasks require."""
    spec = task.spec
    queue = scheduler.configuration.queues[task.job.spec.queue]
    cores = scheduler.autoscaler.machine_cores()
    per_machine = count
    if spec.cpu_milli and not spec.fills:
        per_machine = max(1, int(cores * 1000 / spec.cpu_milli))
    if spec.max_per_worker:
        per_machine = min(per_machine, spec.max_per_worker)
    scheduler.report_shortage(queue.pool, math.ceil(count / per_machine))


def _is_runnable(scheduler, job: _job.Job, occurrence: int, step: int) -> bool:
    return (
        job.remaining[occurrence, step] > 0
        and job.step_ready(occurrence, step)
        and _is_occurrence_due(scheduler, job, occurrence)
    )


def _is_occurrence_due(scheduler, job: _job.Job, occurrence: int) -> bool:
    if not job.spec.repeat_count:
        return True
    due_ms = job.spec.start_at_ms + occurrence * job.spec.interval_ms
    return scheduler.wall_ms >= due_ms


def _place_gang(
    scheduler, tasks, waiting, workers, now_s: float
) -> list[_orders.WorkerOrder]:
    """Starts all tasks of a gang or none."""
    if len(waiting) != len(tasks):
        return []
    allowed = scheduler.trials.allowed_gang_workers(tasks, workers, now_s)
    racks = {""}
    if tasks[0].spec.rack_sensitive:
        racks = {rack_of(worker) for worker in allowed}
    orders: list[_orders.WorkerOrder] = []
    for rack in sorted(racks):
        candidates = [
            worker for worker in allowed if not rack or rack_of(worker) == rack
        ]
        orders = _try_gang(scheduler, waiting, candidates, now_s)
        if orders:
            break
    scheduler.trials.observe_gang_placement(tasks, workers, now_s)
    return orders


def _try_gang(scheduler, tasks, workers, now_s: float):
    run_id = max(task.last_run for task in tasks)
    checkpoint = max(task.checkpoint for task in tasks)
    orders = []
    for task in tasks:
        worker = choose_worker(task, workers)
        if worker is None:
            for placed in tasks[: len(orders)]:
                owner = scheduler.workers[placed.run.worker_id]
                owner.remove_run(placed.run)
                placed.run = None
            return []
        task.last_run = run_id
        task.checkpoint = checkpoint
        orders.append(
            _order_handling.start_order(scheduler, worker, task, now_s)
        )
    return orders


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
    the worker with the least free CPU (best fit).
    """
    spec = task.spec
    best = None
    best_key: tuple = ()
    for worker in workers:
        if not worker.fits(spec):
            continue
        if spec.max_per_worker and spec.max_per_worker <= _count_same_step(
            worker, task
        ):
            continue
        remote = bool(
            spec.data_rack and spec.data_rack not in worker.record.labels
        )
        avoided = worker.worker_id in task.avoided_workers
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
                avoided,
                worker.worker_id in due_workers,
                remote,
                mixed,
                concentrated,
                -len(long_running),
                worker.cpu_used,
            )
        else:
            key = (avoided, remote, -worker.cpu_used)
        if best is None or key < best_key:
            best, best_key = worker, key
    return best


def _count_same_step(worker: _worker.Worker, task: _job.Task) -> int:
    return sum(
        run.task.job is task.job
        and run.task.step == task.step
        and run.task.occurrence == task.occurrence
        for run in worker.runs.values()
    )

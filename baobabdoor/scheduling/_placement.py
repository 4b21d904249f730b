"""Assigns runnable tasks to workers."""

import math
import operator

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _order_handling
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_choice
from baobabdoor.scheduling import _worker_events

# Time for which a job is left out of the plans after an error in its plan. It
# bounds the lines about it in the log.
SUSPENSION_S = 10.0
# CPU utilization of a pool from which its finite tasks wait for sound workers.
# The platform requires below it that a task starts if there is room.
CROWDED_UTILIZATION = 0.5
# Time for which a gang waits for room on one rack while there is room on
# several: less than the 3 s within which the platform requires a start.
MAX_RACK_WAIT_S = 1.0


@attrs.define
class _PoolWorkers:
    """Workers of a pool.

    Attributes:
        known: All of them.
        sound: Those that may start runs now and are not quarantined.
        last_resort: Those that start only what fits on no sound one.
        vacating: Those that are being emptied; they start only `long_running`
            tasks that fit on no sound one.
        unfit: Resources of tasks that fit on no sound worker. Room only
            shrinks in a planning pass.
        in_service: Those that may start runs, now or soon; the ones with most
            room beside their `long_running` runs come first. `None` before
            they are needed.
    """

    known: list[_worker.Worker] = attrs.field(factory=list)
    sound: list[_worker.Worker] = attrs.field(factory=list)
    last_resort: list[_worker.Worker] = attrs.field(factory=list)
    vacating: list[_worker.Worker] = attrs.field(factory=list)
    unfit: list[tuple[int, int, int]] = attrs.field(factory=list)
    in_service: list[_worker.Worker] | None = None

    def lack_room(self, spec: _types.StepSpec) -> bool:
        """Returns whether a task certainly fits on no sound worker."""
        needed = spec.resources
        return any(all(map(operator.ge, needed, unfit)) for unfit in self.unfit)

    def observe_unplaced(self, spec: _types.StepSpec) -> None:
        """Records that a task of a step was not placed on a sound worker."""
        if spec.required_label or self.lack_room(spec):
            return
        if not any(worker.fits(spec) for worker in self.sound):
            self.unfit.append(spec.resources)

    def find_in_service(self, now_s: float) -> list[_worker.Worker]:
        """Returns the workers in service, those with most room first."""
        if self.in_service is None:
            self.in_service = sorted(
                (worker for worker in self.known if worker.in_service(now_s)),
                key=_worker.Worker.held_share,
            )
        return self.in_service


def place_tasks(scheduler, now_s: float) -> list[_orders.WorkerOrder]:
    """Returns the starts for all tasks that can run, by priority."""
    orders: list[_orders.WorkerOrder] = []
    scheduler.trials.prepare(now_s)
    scheduler.quotas.prepare()
    scheduler.duplicates.prepare()
    pools = _workers_by_pool(scheduler, now_s)
    usable = [
        worker
        for pool in pools.values()
        for worker in (*pool.sound, *pool.vacating)
    ]
    for job in _jobs_by_priority(scheduler, usable, now_s):
        queue = scheduler.configuration.queues.get(job.spec.queue)
        if queue is None:
            continue
        workers = pools.get(queue.pool, _PoolWorkers())
        try:
            orders += _place_job(scheduler, job, workers, now_s)
        except Exception as error:
            _release_unsent_runs(scheduler, job, now_s)
            suspend(scheduler, job, now_s, error)
    return orders


def _workers_by_pool(scheduler, now_s: float) -> dict[str, _PoolWorkers]:
    """Returns the workers of each pool."""
    pools: dict[str, _PoolWorkers] = {}
    for worker in scheduler.workers.values():
        pool = pools.setdefault(worker.record.pool, _PoolWorkers())
        pool.known.append(worker)
        worker.last_resort = now_s < worker.quarantined_until_s
        if scheduler.options.scores_workers:
            worker.score.update_level(now_s)
        if (
            worker.usable(now_s, as_last_resort=worker.last_resort)
            and _worker_events.check_capacity_age(scheduler, worker, now_s)
            and not scheduler.unneeded_runs.get(worker.worker_id)
        ):
            usable = pool.last_resort if worker.last_resort else pool.sound
            usable = pool.vacating if worker.vacating else usable
            usable.append(worker)
    return pools


def suspend(scheduler, job: _job.Job, now_s: float, error: Exception) -> None:
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
        for run in task.runs:
            if run.order_pending and run.started_s == now_s:
                worker = scheduler.workers[run.worker_id]
                scheduler.release_run(worker, run, "plan failed")


def _jobs_by_priority(
    scheduler, usable: list[_worker.Worker], now_s: float
) -> list[_job.Job]:
    """Returns active jobs, highest priority first."""
    ranked = []
    for number, job in enumerate(scheduler.active.values()):
        if job.stored_state is None or now_s < job.suspended_until_s:
            continue
        try:
            rank = scheduler.admission.rank(job)
        except Exception as error:
            suspend(scheduler, job, now_s, error)
            continue
        if rank is not None:
            ranked.append((rank[0], number, rank[1], job))
    ranked.sort(key=lambda entry: entry[:2])
    if scheduler.admission.shared:
        claims = [(rank, claim) for rank, _, claim, _ in ranked]
        ranks = scheduler.admission.divide(claims, usable)
        order = sorted(range(len(ranks)), key=ranks.__getitem__)
        ranked = [ranked[index] for index in order]
    return [job for _, _, _, job in ranked]


def _place_job(
    scheduler, job: _job.Job, workers: _PoolWorkers, now_s: float
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
            if task.run is None
            and not task.done
            and not task.given_up
            and now_s >= task.retry_at_s
            and not scheduler.trials.must_wait(task)
            and not (blocked and task.inherited)
        ]
        if waiting:
            orders += _place_step(
                scheduler, tasks, waiting, workers, due_workers, now_s
            )
    return orders


def _place_step(
    scheduler,
    tasks: list[_job.Task],
    waiting: list[_job.Task],
    workers: _PoolWorkers,
    due_workers: frozenset[str],
    now_s: float,
) -> list[_orders.WorkerOrder]:
    """Starts the waiting tasks of a step as far as there is room."""
    if not scheduler.quotas.startable(waiting, now_s):
        return []
    spec = waiting[0].spec
    place = _place_gang if spec.gang else _place_tasks
    started = []
    if not workers.lack_room(spec) or _observes_waits(scheduler, waiting[0]):
        started = place(
            scheduler, tasks, waiting, workers.sound, due_workers, now_s
        )
        if len(started) < len(waiting):
            workers.observe_unplaced(spec)
    candidates = _last_resort(scheduler, spec, workers)
    if len(started) < len(waiting) and candidates:
        rest = [task for task in waiting if task.run is None]
        candidates = workers.sound + candidates
        started += place(scheduler, tasks, rest, candidates, due_workers, now_s)
    if started:
        _emit_starts(scheduler, waiting[0], started, now_s)
    if len(started) < len(waiting):
        unplaced = scheduler.quotas.unplaced(waiting, now_s)
        if unplaced:
            scheduler.duplicates.observe_waiting(unplaced, workers.known)
            _report_shortage(scheduler, unplaced, workers, now_s)
    return started


def _observes_waits(scheduler, task: _job.Task) -> bool:
    """Returns whether placement has an effect also without room.

    It reserves workers for suspects and requests tickets.
    """
    return bool(scheduler.crashes.accused_tasks) or scheduler.advice.required(
        task
    )


def _last_resort(
    scheduler, spec: _types.StepSpec, workers: _PoolWorkers
) -> list[_worker.Worker]:
    """Returns the workers for tasks that fit on no sound one.

    In a crowded pool, room on sound workers becomes free soon, but not from
    `long_running` tasks.
    """
    if spec.long_running:
        return workers.last_resort + workers.vacating
    if not workers.last_resort:
        return []
    pool = workers.last_resort[0].record.pool
    utilization = scheduler.maintenance.pool_utilization(pool)
    return workers.last_resort if utilization < CROWDED_UTILIZATION else []


def _place_tasks(
    scheduler,
    tasks,
    waiting,
    workers,
    due_workers: frozenset[str],
    now_s: float,
) -> list[_orders.WorkerOrder]:
    """Starts the waiting tasks of a step until no worker has room."""
    del tasks
    orders = []
    eligible = scheduler.advice.eligible_workers(waiting[0], workers, now_s)
    worker = None
    for task in waiting:
        if not scheduler.quotas.may_start(task):
            return orders
        allowed = scheduler.trials.allowed_workers(task, eligible, now_s)
        if allowed is not workers or not _stays_best(worker, task):
            worker = _worker_choice.choose_worker(task, allowed, due_workers)
        if worker is None:
            if task.accused:
                # The others may run where a suspect may not.
                continue
            break
        orders.append(
            _order_handling.start_order(scheduler, worker, task, now_s)
        )
    if len(orders) < len(waiting):
        scheduler.advice.request_tickets(waiting[0], workers, now_s)
    return orders


def _stays_best(worker: _worker.Worker | None, task: _job.Task) -> bool:
    """Returns whether the best worker for a task is the one of the last task.

    The best fit for finite tasks is the fullest worker, which a further task
    makes fuller.
    """
    spec = task.spec
    return (
        worker is not None
        and not spec.long_running
        and not task.avoided_workers
        and not task.refusing_workers
        and _worker_choice.may_run(worker, task)
    )


def _emit_starts(scheduler, task: _job.Task, orders, now_s: float) -> None:
    """Emits one event for all runs of a step that were ordered."""
    step_tasks = task.job.steps[task.occurrence, task.step]
    placed: dict[str, list[str]] = {}
    resumed = []
    for order in orders:
        index = order.task.rpartition(".")[2]
        placed.setdefault(order.worker_id, []).append(index)
        if order.checkpoint:
            source = step_tasks[int(index)].checkpoint_source
            resumed.append(f"{index}:{source}")
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
        **({"resumed": " ".join(resumed)} if resumed else {}),
    )


def _report_shortage(
    scheduler, waiting: list[_job.Task], workers: _PoolWorkers, now_s: float
) -> None:
    """Reports how many machines a pool lacks for the tasks of a step."""
    spec = waiting[0].spec
    if spec.long_running and not spec.gang:
        count = _unplaced_count(waiting, workers)
    else:
        members = workers.find_in_service(now_s)
        count = _unfit_count(scheduler, spec, members, now_s)
    if not count:
        return
    queue = scheduler.configuration.queues[waiting[0].job.spec.queue]
    cores = scheduler.autoscaler.machine_cores()
    per_machine = count
    if spec.cpu_milli and not spec.fills:
        per_machine = max(1, int(cores * 1000 / spec.cpu_milli))
    if spec.max_per_worker:
        per_machine = min(per_machine, spec.max_per_worker)
    scheduler.report_shortage(queue.pool, math.ceil(count / per_machine))


def _unplaced_count(waiting: list[_job.Task], workers: _PoolWorkers) -> int:
    """Returns how many tasks of a step wait for room.

    Accused tasks may wait for a trial although there is room.
    """
    unplaced = [task for task in waiting if task.run is None]
    candidates = workers.sound + workers.last_resort + workers.vacating
    if _worker_choice.choose_worker(unplaced[0], candidates) is None:
        return len(unplaced)
    return sum(not task.accused for task in unplaced)


def _unfit_count(
    scheduler,
    spec: _types.StepSpec,
    members: list[_worker.Worker],
    now_s: float,
) -> int:
    """Returns for how many tasks a pool never has room as it is.

    Finite runs end, but `long_running` runs may leave no worker enough room. A
    gang needs room for all of its tasks at once, any other step for one.
    """
    if spec.required_label:
        # The labels of a machine are not known before its worker is listed.
        return 0
    needed = spec.task_count if spec.gang else 1
    for worker in members:
        needed -= worker.lasting_slots(spec)
        if needed <= 0:
            return 0
    # More machines are of no use if the tasks fit on none, or if this leader
    # reaches no worker.
    workers = scheduler.workers.values()
    useful = any(worker.could_fit(spec) for worker in workers) and any(
        worker.responsive(now_s) for worker in workers
    )
    return needed if useful else 0


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
    scheduler,
    tasks,
    waiting,
    workers,
    due_workers: frozenset[str],
    now_s: float,
) -> list[_orders.WorkerOrder]:
    """Starts all tasks of a gang or none."""
    if len(waiting) != len(tasks):
        return []
    eligible = scheduler.advice.eligible_workers(tasks[0], workers, now_s)
    allowed = scheduler.trials.allowed_gang_workers(tasks, eligible, now_s)
    if tasks[0].spec.rack_sensitive:
        chosen = _choose_one_rack(waiting, allowed, due_workers, now_s)
    else:
        chosen = _choose_gang_workers(waiting, allowed, due_workers)
    orders = _start_gang(scheduler, waiting, chosen, now_s)
    if not orders:
        scheduler.advice.request_tickets(tasks[0], workers, now_s)
    scheduler.trials.observe_gang_placement(tasks, workers, now_s)
    return orders


def _choose_one_rack(
    tasks, workers, due_workers: frozenset[str], now_s: float
) -> list[_worker.Worker]:
    """Returns workers of one rack for all tasks of a gang.

    If no rack can hold the gang, or none has room for it for some time, the
    workers are on several racks: the gang then runs more slowly.
    """
    first = tasks[0]
    racks: dict[str, list[_worker.Worker]] = {}
    for worker in workers:
        racks.setdefault(_worker_choice.rack_of(worker), []).append(worker)
    for rack in sorted(racks):
        chosen = _choose_gang_workers(tasks, racks[rack], due_workers)
        if chosen:
            first.rack_wanted_s = None
            return chosen
    spread = _choose_gang_workers(tasks, workers, due_workers)
    if not spread:
        first.rack_wanted_s = None
        return []
    if first.rack_wanted_s is None:
        first.rack_wanted_s = now_s
    one_is_enough = any(
        sum(worker.lasting_slots(first.spec) for worker in members)
        >= len(tasks)
        for members in racks.values()
    )
    if one_is_enough and now_s - first.rack_wanted_s < MAX_RACK_WAIT_S:
        return []
    first.rack_wanted_s = None
    return spread


def _choose_gang_workers(
    tasks, workers, due_workers: frozenset[str]
) -> list[_worker.Worker]:
    """Returns a worker for each task of a gang; none if one has no room."""
    reserved: list[tuple[_worker.Worker, _job.Run]] = []
    try:
        for task in tasks:
            worker = _worker_choice.choose_worker(task, workers, due_workers)
            if worker is None:
                return []
            # Takes up room until all members have a worker.
            run = _job.Run(task, 0, worker.worker_id, 0.0)
            worker.add_run(run)
            reserved.append((worker, run))
        return [worker for worker, _ in reserved]
    finally:
        for worker, run in reserved:
            worker.remove_run(run)


def _start_gang(
    scheduler, tasks, workers: list[_worker.Worker], now_s: float
) -> list[_orders.WorkerOrder]:
    """Starts the tasks of a gang under one number, if they have workers."""
    run_id = max(task.last_run for task in tasks)
    newest = max(tasks, key=lambda task: task.checkpoint)
    checkpoint, source = newest.checkpoint, newest.checkpoint_source
    orders = []
    for task, worker in zip(tasks, workers, strict=False):
        task.last_run = run_id
        task.checkpoint, task.checkpoint_source = checkpoint, source
        orders.append(
            _order_handling.start_order(scheduler, worker, task, now_s)
        )
    return orders

"""Builds orders to workers and applies their results."""

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker

# Lease that every order to a worker requests: longer than a failover to a new
# leader, shorter than the maximum of the platform.
LEASE_S = 3.6
# Time after which a stop without a response is repeated.
STOP_RETRY_S = 0.4
# Time after which an accepted stop is repeated if the run is still reported.
STOP_CONFIRM_S = 1.5
# Delay before a task is retried after its start was refused.
RETRY_DELAY_S = 0.15
OUTCOMES = _types.OrderOutcome


def hold_order(
    scheduler,
    worker: _worker.Worker,
    wait_ms: int,
    now_s: float,
    may_extend: bool = True,
) -> _orders.HoldOrder:
    """Returns the next hold order for a worker.

    Args:
        scheduler: The scheduler.
        worker: The worker.
        wait_ms: Maximum time that the worker waits for a run to end.
        now_s: Current time.
        may_extend: Whether to renew leases. Only a term that is certain to
            be current may, since the next leader waits for them to expire.
    """
    until_ms = 0
    # A new incarnation restarts the numbering of its ended runs. If it got an
    # acknowledgement meant for the previous incarnation, it would drop ended
    # runs that were never processed.
    new_incarnation = worker.may_have_restarted(now_s) or not worker.fenced
    forgotten = worker.acknowledged == worker.forgotten
    known = worker.fenced and worker.lease.clock_ms
    # The lease of an unresponsive worker is not renewed, so that its runs
    # are certain to end.
    if may_extend and known and worker.responsive(now_s):
        until_ms = worker.lease.extend(now_s, scheduler.options.lease_s)
    return _orders.HoldOrder(
        worker_id=worker.worker_id,
        address=worker.record.address,
        token=worker.token,
        last_seen=0 if new_incarnation or forgotten else worker.acknowledged,
        until_ms=until_ms,
        wait_ms=0 if new_incarnation or not worker.token_confirmed else wait_ms,
    )


def start_order(
    scheduler, worker: _worker.Worker, task: _job.Task, now_s: float
) -> _orders.StartOrder:
    """Reserves resources for a task and returns the order to start it."""
    task.last_run += 1
    run = _job.Run(
        task,
        task.last_run,
        worker.worker_id,
        now_s,
        worker.start_time_ms,
        worker.record.machine,
        ordered_clock_ms=worker.lease.min_clock_ms(now_s),
        progressed_s=now_s,
    )
    task.add_run(run)
    task.inherited = False
    worker.add_run(run)
    scheduler.quotas.charge(task)
    if task.accused:
        # The next leader learns from the row whether this run ends in a crash.
        scheduler.mark_dirty(task.job)
    return _orders.StartOrder(
        worker_id=worker.worker_id,
        address=worker.record.address,
        token=worker.token,
        task=task.name,
        run_id=run.run_id,
        payload=task.job.spec.payload,
        until_ms=worker.lease.extend(now_s, scheduler.options.lease_s),
        checkpoint=task.checkpoint,
        ticket=scheduler.advice.ticket(task, worker, now_s) or "",
    )


def observe_start(
    scheduler,
    order: _orders.StartOrder,
    result: _types.OrderResult,
    now_s: float,
) -> None:
    """Applies the result of a start."""
    worker = scheduler.workers.get(order.worker_id)
    run = worker.find_run(order.task, order.run_id) if worker else None
    if run is None:
        return
    run.order_pending = False
    outcome = result.outcome
    if outcome is OUTCOMES.ACCEPTED:
        _observe_accepted_start(worker, run, result, now_s)
        return
    scheduler.emit_run(
        "start_refused", run, outcome=outcome.value, detail=result.detail
    )
    if outcome is OUTCOMES.FENCED:
        scheduler.observe_fenced(order)
    _observe_refused_start(scheduler, worker, run, order, outcome, now_s)


def _observe_accepted_start(
    worker: _worker.Worker,
    run: _job.Run,
    result: _types.OrderResult,
    now_s: float,
) -> None:
    worker.observe_response(now_s)
    run.task.job.started = True
    run.task.refusing_workers = frozenset()
    if run.outcome_unknown:
        # It is being stopped in the worker's next incarnation; a late response
        # of the previous one confirms nothing.
        return
    clock_ms = result.clock_ms or worker.lease.clock_ms
    if clock_ms < run.ordered_clock_ms:
        # The clock is that of the next incarnation, and the one before is
        # silent. No ended runs are acknowledged before the next report.
        worker.observe_no_response(now_s)
        return
    run.confirmed = True
    run.clock_ms = clock_ms


def _observe_refused_start(
    scheduler,
    worker: _worker.Worker,
    run: _job.Run,
    order: _orders.StartOrder,
    outcome: _types.OrderOutcome,
    now_s: float,
) -> None:
    if outcome in (OUTCOMES.UNKNOWN, OUTCOMES.NOT_SENT):
        worker.observe_no_response(now_s)
    if outcome is OUTCOMES.UNKNOWN and not worker.retired:
        run.outcome_unknown = True
        run.stopping = True
        return
    if outcome is OUTCOMES.WRONG_WORKER:
        scheduler.observe_wrong_worker(worker.worker_id, order.address)
        if worker.runs.get(run.task.name) is run:
            # It was ordered at a former address of the worker.
            scheduler.release_run(worker, run, outcome.value)
        return
    scheduler.release_run(worker, run, outcome.value)
    run.task.retry_at_s = now_s + RETRY_DELAY_S
    run.task.refusing_workers |= {worker.worker_id}
    if outcome is OUTCOMES.OUTDATED_RUN:
        run.task.last_run += 10
    elif outcome is OUTCOMES.UNHEALTHY:
        worker.observe_unhealthy(now_s)
    elif outcome is OUTCOMES.NO_TICKET:
        scheduler.advice.discard(run.task, worker)


def observe_pace(
    scheduler, order: _orders.PaceOrder, result: _types.OrderResult
) -> None:
    """Applies the result of a change of pace."""
    worker = scheduler.workers.get(order.worker_id)
    run = worker.find_run(order.task, order.run_id) if worker else None
    if run is None:
        return
    if result.outcome is OUTCOMES.ACCEPTED:
        run.pace = order.percent
        run.pace_certain = True
    elif result.outcome is OUTCOMES.UNKNOWN:
        # It may be carried out later.
        run.pace_certain = False
    elif result.outcome is OUTCOMES.FENCED:
        scheduler.observe_fenced(order)


def observe_stop(
    scheduler,
    order: _orders.StopOrder,
    result: _types.OrderResult,
) -> None:
    """Applies the result of a stop."""
    worker = scheduler.workers.get(order.worker_id)
    if worker is None:
        return
    if result.outcome is OUTCOMES.FENCED:
        scheduler.observe_fenced(order)
    elif result.outcome is OUTCOMES.WRONG_WORKER:
        scheduler.observe_wrong_worker(order.worker_id, order.address)
    if result.outcome is not OUTCOMES.ACCEPTED:
        scheduler.emit(
            "stop_refused",
            task=order.task,
            run=order.run_id,
            worker=order.worker_id,
            outcome=result.outcome.value,
            detail=result.detail,
        )
    run = worker.find_run(order.task, order.run_id)
    if run is None:
        return
    run.order_pending = False
    if result.outcome is OUTCOMES.ACCEPTED:
        run.stop_clock_ms = result.clock_ms or worker.lease.clock_ms


def plan_stops(scheduler, now_s: float) -> list[_orders.WorkerOrder]:
    """Returns the stops that are due, of stopping and of unneeded runs."""
    orders: list[_orders.WorkerOrder] = []
    for worker in scheduler.workers.values():
        if worker.retired:
            continue
        for run in worker.runs.values():
            if not run.stopping or run.order_pending:
                continue
            # The next report shows the effect of an accepted stop, unless a
            # previous incarnation of the worker accepted it.
            pause_s = STOP_CONFIRM_S if run.stop_clock_ms else STOP_RETRY_S
            if now_s - run.stop_sent_s >= pause_s:
                run.stop_sent_s = now_s
                run.order_pending = True
                orders.append(
                    _stop_order(scheduler, worker, run.task.name, run.run_id)
                )
        for key, sent_s in scheduler.unneeded_runs.get(
            worker.worker_id, {}
        ).items():
            if now_s - sent_s >= 2 * STOP_RETRY_S:
                scheduler.unneeded_runs[worker.worker_id][key] = now_s
                orders.append(_stop_order(scheduler, worker, *key))
    return orders


def _stop_order(
    scheduler, worker: _worker.Worker, task: str, run_id: int
) -> _orders.StopOrder:
    return _orders.StopOrder(
        worker_id=worker.worker_id,
        address=worker.record.address,
        token=worker.token,
        task=task,
        run_id=run_id,
    )

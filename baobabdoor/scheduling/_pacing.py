"""Throttles best-effort tasks that interfere with serving tasks."""

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _worker

# Ratios of tail latency to its target: best-effort tasks are throttled from the
# first one and sped up again below the second.
THROTTLE_RATIO = 0.85
RECOVERY_RATIO = 0.6
# Increase of the pace in percent, and the time between two increases.
INCREASE_PERCENT = 15
INCREASE_INTERVAL_S = 1.5
# Time after which an unsuccessful order is repeated.
RETRY_S = 0.3


def plan_paces(scheduler, now_s: float) -> list[_orders.PaceOrder]:
    """Returns the changes of pace that are due."""
    orders = []
    for worker in scheduler.workers.values():
        if not worker.filling_runs or worker.retired:
            continue
        best_effort = [
            run
            for run in worker.runs.values()
            if run.task.spec.fills and run.confirmed and not run.stopping
        ]
        pressure = _pressure(worker)
        for run in best_effort:
            percent = _target_percent(run, pressure, now_s)
            known = run.pace_certain and percent == run.pace
            if known or now_s - run.paced_s < RETRY_S:
                continue
            run.paced_s = now_s
            scheduler.emit_run(
                "run_paced",
                run,
                percent=percent,
                pressure=round(pressure, 2),
            )
            orders.append(
                _orders.PaceOrder(
                    worker_id=worker.worker_id,
                    address=worker.record.address,
                    token=worker.token,
                    task=run.task.name,
                    run_id=run.run_id,
                    percent=percent,
                )
            )
    return orders


def _pressure(worker: _worker.Worker) -> float:
    """Returns the highest ratio of tail latency to target on a worker."""
    return max(
        (
            run.gauge / run.task.spec.target_ms
            for run in worker.runs.values()
            if run.task.spec.target_ms and run.confirmed
        ),
        default=0.0,
    )


def _target_percent(run: _job.Run, pressure: float, now_s: float) -> int:
    if pressure >= 1.0:
        return 0
    if pressure >= THROTTLE_RATIO:
        return run.pace // 2
    if (
        pressure <= RECOVERY_RATIO
        and now_s - run.paced_s >= INCREASE_INTERVAL_S
    ):
        return min(100, run.pace + INCREASE_PERCENT)
    return run.pace

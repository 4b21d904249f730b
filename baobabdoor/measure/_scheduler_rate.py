"""Suite `scheduler-rate`: throughput of the scheduler without network calls."""

from collections.abc import Iterable
from collections.abc import Iterator
import random
import time

from baobabdoor import customers
from baobabdoor import scheduling
from baobabdoor import settings
from baobabdoor.measure import _result

WORKERS = 200
WAITING_TASKS = 10_000
TASKS_PER_JOB = 20
CPU_MILLI = 16_000
POOL = "pool"
QUEUE = "queue"
# Simulated time between two rounds, and number of rounds.
ROUND_INTERVAL_S = 0.05
ROUNDS = 60
# Fraction of the running tasks that finish in a round.
ENDING_FRACTION = 0.05
TARGET_PER_S = 2000.0
# Customers with a maximum, and its value in thousandths of a core. Together
# they may use more than there is, so that they start as much as without.
CUSTOMERS = 20
MAXIMUM_MILLI = 400_000


def run(
    deployment: settings.Deployment, seeds: Iterable[int]
) -> Iterator[_result.Result]:
    """Measures starts per core-second, with task ends and worker reports."""
    for seed in seeds:
        for policy, quotas in (("least-slack", False), ("quotas", True)):
            yield _result.Result(
                measure="scheduler-starts",
                deployment=deployment.deployment,
                policy=policy,
                value=measure(seed, quotas),
                unit="1/s",
                reference=TARGET_PER_S,
                seed=seed,
            )


def measure(seed: int, quotas: bool = False) -> float:
    """Returns the number of starts per second of processor time.

    Args:
        seed: Seed of the random generator.
        quotas: Whether the jobs belong to customers that have a maximum.
    """
    rng = random.Random(seed)
    now_s = 1000.0
    scheduler = _build(rng, now_s, quotas)
    running: dict[str, dict] = {worker: {} for worker in scheduler.workers}
    end_counts: dict[str, int] = dict.fromkeys(running, 0)
    starts = 0
    began_s = time.process_time()
    for _ in range(ROUNDS):
        now_s += ROUND_INTERVAL_S
        scheduler.store_ms = now_s * 1000
        for order in scheduler.plan(now_s, True):
            starts += 1
            running[order.worker_id][order.task] = order.run_id
            scheduler.observe_start(
                order,
                scheduling.OrderResult(
                    scheduling.OrderOutcome.ACCEPTED, int(now_s * 1000)
                ),
                now_s,
            )
        _finish_tasks(scheduler, running, end_counts, rng, now_s)
        snapshot = scheduler.begin_commit()
        if snapshot is not None:
            scheduler.finish_commit(snapshot, scheduler.revision)
    return starts / (time.process_time() - began_s)


def _build(
    rng: random.Random, now_s: float, quotas: bool
) -> scheduling.Scheduler:
    queue = scheduling.Queue(QUEUE, "h", "/q/", POOL)
    scheduler = scheduling.Scheduler(
        1,
        0,
        scheduling.Configuration(
            1,
            {QUEUE: queue},
            {POOL: scheduling.PoolSettings(POOL)},
            _directory() if quotas else None,
        ),
        scheduling.Options(),
        now_s,
        0.0,
    )
    for number in range(WORKERS):
        worker_id = f"w{number}"
        scheduler.observe_worker(scheduling.WorkerRecord(
            worker_id,
            "a:1",
            POOL,
            "z",
            "",
            False,
            1,
            CPU_MILLI,
            10**6,
            0,
            frozenset(),
            ),  # fmt: skip
            now_s,
        )
        scheduler.observe_report(
            worker_id,
            scheduling.WorkerReport(int(now_s * 1000), 1, (), ()),
            scheduler.token,
            now_s,
        )
        scheduler.workers[worker_id].enrolled = True
    step = scheduling.StepSpec(TASKS_PER_JOB, cpu_milli=1000)
    for number in range(WAITING_TASKS // TASKS_PER_JOB):
        spec = scheduling.JobSpec(
            f"{number:016x}",
            QUEUE,
            "",
            (step,),
            customer=f"c{number % CUSTOMERS}" if quotas else "",
        )
        job = scheduling.Job(spec, now_s * 1000 + rng.random())
        job.stored_state = scheduling.JobState.QUEUED
        scheduler.jobs[spec.job_id] = job
        scheduler.active[spec.job_id] = job
    return scheduler


def _directory() -> customers.CustomerDirectory:
    maximum = customers.ResourceLimit(cpu_milli=MAXIMUM_MILLI)
    return customers.CustomerDirectory(
        customers.Customer(f"c{number}", maximum=maximum)
        for number in range(CUSTOMERS)
    )


def _finish_tasks(scheduler, running, end_counts, rng, now_s: float) -> None:
    for worker_id, tasks in running.items():
        entries = []
        for task in list(tasks):
            if rng.random() < ENDING_FRACTION:
                end_counts[worker_id] += 1
                entries.append(
                    scheduling.EndEntry(
                        end_counts[worker_id], task, tasks.pop(task), "done", ""
                    )
                )
        report = scheduling.WorkerReport(
            int(now_s * 1000) + 1,
            1,
            tuple(
                scheduling.RunEntry(task, run_id, "", 50, 0.0)
                for task, run_id in tasks.items()
            ),
            tuple(entries),
        )
        scheduler.observe_report(worker_id, report, scheduler.token, now_s)

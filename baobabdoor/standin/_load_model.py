"""Plays load against the scheduler and records what callers get.

VMs start in their pools or in standby, move on the autoscaler's orders and run
the tasks. Callers whose jobs are rejected retry after the time that they were
given. Everything is deterministic for a seed.
"""

import math
import random

import attrs

from baobabdoor import customers
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

TIME_STEP_S = 0.05
MOVE_S = 1.5
LIST_INTERVAL_S = 0.5
HOLD_INTERVAL_S = 0.2
# Time for which the platform saves up unused move orders.
MOVE_BURST_S = 0.25
STANDBY_POOL = "standby"
MAX_TRIES = 5
# Failed runs of a task after which its job fails. No run of the model fails,
# but a task with one attempt gets no duplicate.
MAX_ATTEMPTS = 3
# Latency objective of a job: a multiple of its critical path and a constant.
STRETCH = 1.6
TARGET_MS = 600.0
# Share of its value that a late result has, up to this multiple of the
# objective.
LATE_VALUE = 1 / 14
MAX_LATE_FACTOR = 3.0


@attrs.define(eq=False)
class CallerJob:
    """A job with what its caller observed.

    Attributes:
        spec: The job.
        first_s: Time of the first submission.
        next_try_s: Time of the next submission.
        tries: Number of submissions.
        accepted: Whether the job was accepted.
        objective_s: Latency objective in seconds.
        completed_s: Time at which it was complete; infinite if it never was.
    """

    spec: scheduling.JobSpec
    first_s: float
    next_try_s: float
    tries: int = 0
    accepted: bool = False
    objective_s: float = math.inf
    completed_s: float = math.inf

    @property
    def timely(self) -> bool:
        """Whether it was complete within its objective."""
        # The objective of a job that was never accepted is unknown.
        return self.accepted and (
            self.completed_s <= self.first_s + self.objective_s
        )

    @property
    def value_share(self) -> float:
        """Share of its value that its caller got."""
        latest_s = self.first_s + self.objective_s * MAX_LATE_FACTOR
        if self.timely:
            return 1.0
        in_time = self.accepted and self.completed_s <= latest_s
        return LATE_VALUE if in_time else 0.0


@attrs.define(eq=False)
class ModelVm:
    """A VM that moves between pools.

    Attributes:
        name: Name of the VM.
        pool: Its pool.
        ready_s: Time at which its current move ends.
        worker_s: Time at which its worker is listed after that.
        incarnation: Number of its worker, which changes with each move.
    """

    name: str
    pool: str
    ready_s: float = 0.0
    worker_s: float = 0.0
    incarnation: int = 0

    @property
    def worker_id(self) -> str:
        """Identifier of its worker; empty in standby."""
        if self.pool == STANDBY_POOL:
            return ""
        return f"{self.name}.{self.incarnation}"


class LoadModel:
    """A fleet under load in virtual time.

    Args:
        pools: Number of VMs in each pool at the start.
        standby: Number of VMs in standby at the start.
        cores: Cores of a VM.
        seed: Seed of the durations of tasks.
        options: Options of the scheduler. The platform refuses move orders
            beyond their rate.
        worker_delay_s: Shortest and longest time from the end of a move until
            the worker is listed. It gets starts up to a hold interval later.
        weights: Weights of customers by name; `None` for no customers.
        tail_share: Share of the runs that take a multiple of their duration.
        tail_factor: This multiple.
        time_step_s: Time between two looks at what is due, in seconds.

    Attributes:
        started_s: Time of the start.
        vm_seconds: Total time of VMs in pools.
        moves: Number of moves.
        refused_moves: Number of move orders that the platform refused.
        run_core_s: Core-seconds of all runs.
        duplicate_core_s: Core-seconds of second runs of a task.
    """

    def __init__(
        self,
        pools: dict[str, int],
        standby: int = 0,
        cores: int = 16,
        seed: int = 0,
        options: scheduling.Options | None = None,
        worker_delay_s: tuple[float, float] = (0.0, 0.0),
        weights: dict[str, float] | None = None,
        tail_share: float = 0.0,
        tail_factor: float = 7.0,
        time_step_s: float = TIME_STEP_S,
    ):
        self.time_step_s = time_step_s
        self.cores = cores
        self.random_ = random.Random(seed)
        self.delay_random_ = random.Random(seed)
        # Apart from `random_`, so that a seed keeps its other durations.
        self.tail_random_ = random.Random(f"{seed}-tails")
        self.worker_delay_s = worker_delay_s
        self.tail_share = tail_share
        self.tail_factor = tail_factor
        self.run_core_s = 0.0
        self.duplicate_core_s = 0.0
        self.started_s = self.now_s = 1000.0
        self.version = 1
        self.vm_seconds = 0.0
        self.moves = 0
        self.refused_moves = 0
        self.move_tokens_ = 0.0
        self.jobs: list[CallerJob] = []
        self.vms = [
            ModelVm(f"{pool}{number}", pool)
            for pool, count in {**pools, STANDBY_POOL: standby}.items()
            for number in range(count)
        ]
        self.workers: dict[str, _worker_model.ModelWorker] = {}
        self.scheduler = scheduling.Scheduler(
            token=1,
            term=0,
            configuration=_configuration(pools, weights),
            options=options or scheduling.Options(),
            now_s=self.now_s,
            inherited_bound_s=0.0,
        )
        self._list_vms()

    def add_job(
        self, pool: str, at_s: float, *steps, customer: str = ""
    ) -> CallerJob:
        """Adds a job whose caller submits it at a time from the start."""
        job_id = f"{len(self.jobs):016x}"
        spec = scheduling.JobSpec(
            job_id, pool, "text", tuple(steps), customer=customer
        )
        first_s = self.now_s + at_s
        job = CallerJob(spec, first_s, first_s)
        self.jobs.append(job)
        return job

    def run(self, duration_s: float) -> None:
        """Advances time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += self.time_step_s
            self._step()

    def _step(self) -> None:
        scheduler = self.scheduler
        scheduler.store_ms = self.now_s * 1000
        if self._is_due(LIST_INTERVAL_S):
            self._list_vms()
        elif self.worker_delay_s[1]:
            self._start_workers()
        self._submit_jobs()
        for number, worker in enumerate(list(scheduler.workers.values())):
            if self._is_due(HOLD_INTERVAL_S, number):
                self._hold(worker)
        self._commit()
        self._execute(scheduler.plan(self.now_s, True))
        scheduler.maintenance.plan(self.now_s)
        self._refill_move_tokens()
        for move in scheduler.autoscaler.plan(self.now_s):
            self._order_move(move)
        in_pools = sum(vm.pool != STANDBY_POOL for vm in self.vms)
        self.vm_seconds += in_pools * self.time_step_s
        self._count_runs()

    def _count_runs(self) -> None:
        """Adds the core-seconds of this time step."""
        seen = set()
        for model in self.workers.values():
            for name in model.runs:
                task = self.scheduler.find_task(name)
                core_s = task.spec.cpu_milli / 1000 * self.time_step_s
                self.run_core_s += core_s
                self.duplicate_core_s += core_s * (name in seen)
                seen.add(name)

    def _is_due(self, interval_s: float, offset: int = 0) -> bool:
        steps = round(interval_s / self.time_step_s)
        return (round(self.now_s / self.time_step_s) + offset) % steps == 0

    def _submit_jobs(self) -> None:
        for job in self.jobs:
            due = self.now_s >= job.next_try_s and job.tries < MAX_TRIES
            if job.accepted or not due:
                continue
            job.tries += 1
            self._submit(job)

    def _submit(self, job: CallerJob) -> None:
        """Submits a job and applies the answer."""
        result = self.scheduler.submit(job.spec, self.now_s)
        if isinstance(result, scheduling.Rejection):
            wait_s = result.retry_after_s or math.inf
            job.next_try_s = self.now_s + wait_s
            return
        job.accepted = True
        queue = self.scheduler.configuration.queues[job.spec.queue]
        critical_path_s, _ = self.scheduler.admission.estimate(job.spec)
        job.objective_s = self.scheduler.admission.objective_s(
            queue, critical_path_s
        )

    def _hold(self, worker: scheduling.Worker) -> None:
        model = self.workers.get(worker.worker_id)
        if model is None:
            return
        order = self.scheduler.hold_order(worker, 0, self.now_s)
        report = model.hold(order, self.now_s)
        self.scheduler.observe_report(
            worker.worker_id, report, order.token, self.now_s
        )

    def _commit(self) -> None:
        for worker in self.scheduler.workers.values():
            worker.enrolled = True
        snapshot = self.scheduler.begin_commit()
        self.version += 1
        self.scheduler.observe_commit(self.version)
        if snapshot is None:
            return
        self.scheduler.finish_commit(snapshot, self.version)
        for job in self.jobs:
            known = self.scheduler.jobs.get(job.spec.job_id)
            completed = known and known.stored_state in (
                scheduling.JobState.COMPLETED,
            )
            if completed and job.completed_s == math.inf:
                job.completed_s = self.now_s

    def _execute(self, orders) -> None:
        for order in orders:
            model = self.workers.get(order.worker_id)
            if model is None:
                continue
            if isinstance(order, scheduling.StartOrder):
                result = model.start(order, self.now_s)
                self.scheduler.observe_start(order, result, self.now_s)
            elif isinstance(order, scheduling.StopOrder):
                result = model.stop(order, self.now_s)
                self.scheduler.observe_stop(order, result)

    def _refill_move_tokens(self) -> None:
        rate = self.scheduler.options.move_rate
        tokens = self.move_tokens_ + rate * self.time_step_s
        self.move_tokens_ = min(tokens, rate * MOVE_BURST_S)

    def _order_move(self, move: scheduling.Move) -> None:
        if self.move_tokens_ < 1:
            self.refused_moves += 1
            self.scheduler.autoscaler.observe_order(move, "refused")
            return
        self.move_tokens_ -= 1
        self._move(move)

    def _move(self, move: scheduling.Move) -> None:
        vm = next(vm for vm in self.vms if vm.name == move.machine)
        self.workers.pop(vm.worker_id, None)
        vm.pool = move.pool
        vm.ready_s = self.now_s + MOVE_S
        vm.worker_s = vm.ready_s + self.delay_random_.uniform(
            *self.worker_delay_s
        )
        vm.incarnation += 1
        self.moves += 1
        self.scheduler.autoscaler.observe_order(move, "accepted")
        self.scheduler.observe_unlisted(move.worker_id)

    def _start_workers(self) -> None:
        for vm in self.vms:
            if vm.worker_id and self.now_s >= vm.worker_s:
                self._start_worker(vm)

    def _list_vms(self) -> None:
        self._start_workers()
        records = []
        for vm in self.vms:
            moving = self.now_s < vm.ready_s
            records.append(
                scheduling.MachineRecord(
                    vm.name,
                    vm.pool,
                    scheduling.MachineState.MOVING
                    if moving
                    else scheduling.MachineState.UP,
                    "z",
                    "" if moving else vm.worker_id,
                )
            )
        self.scheduler.maintenance.observe_machines(tuple(records), self.now_s)

    def _start_worker(self, vm: ModelVm) -> None:
        if vm.worker_id in self.workers:
            return
        record = scheduling.WorkerRecord(
            worker_id=vm.worker_id,
            address=f"{vm.worker_id}:1",
            pool=vm.pool,
            zone="z",
            machine=vm.name,
            draining=False,
            start_time_ms=int(self.now_s * 1000),
            cpu_milli=self.cores * 1000,
            memory_mb=1 << 20,
            gpus=0,
            labels=frozenset(),
        )
        self.workers[vm.worker_id] = _worker_model.ModelWorker(
            record, self.now_s, 1.0, self._make_run, _Observer()
        )
        self.scheduler.observe_worker(record, self.now_s)

    def _make_run(self, order, now_s: float) -> _worker_model.ModelRun:
        job_id, _, step, _ = order.task.split(".")
        job = self.scheduler.jobs[job_id]
        expected_s = job.spec.steps[int(step)].estimate_ms / 1000
        duration_s = expected_s * self.random_.uniform(0.9, 1.1)
        if self.tail_random_.random() < self.tail_share:
            duration_s *= self.tail_factor
        return _worker_model.ModelRun(
            order.task, order.run_id, now_s, duration_s, False
        )


class _Observer:
    """Ignores what workers report to an oracle."""

    def on_start(self, worker, run, now_s) -> None:
        """Called when a run starts."""

    def on_end(self, worker, entry) -> None:
        """Called when a run ends."""

    def on_acknowledgement(self, entry) -> None:
        """Called when an ended run is acknowledged."""


def _configuration(
    pools: dict[str, int], weights: dict[str, float] | None
) -> scheduling.Configuration:
    queues = {
        pool: scheduling.Queue(
            pool,
            "h",
            f"/{pool}/",
            pool,
            max_attempts=MAX_ATTEMPTS,
            stretch=STRETCH,
            target_ms=TARGET_MS,
        )
        for pool in pools
    }
    settings = {
        pool: scheduling.PoolSettings(pool, standby=pool == STANDBY_POOL)
        for pool in (*pools, STANDBY_POOL)
    }
    directory = None
    if weights is not None:
        directory = customers.CustomerDirectory(
            customers.Customer(name, weight=weight)
            for name, weight in weights.items()
        )
    return scheduling.Configuration(1, queues, settings, directory)

"""Random walks of schedulers with model workers, checked by an oracle.

Several leaders act on the same workers, because a leader that was replaced
continues until it is fenced or its lease has expired. Walks are deterministic
for a seed.
"""

import collections
import math
import random

import attrs

from baobabdoor import dispatch
from baobabdoor import scheduling
from baobabdoor.standin import _walk_oracle
from baobabdoor.standin import _worker_model

TIME_STEP_S = 0.05
START_S = 100.0
POOL = "pool"
QUEUE = "queue"
WORKERS = 6
CPU_MILLI = 4000
# Capacities to which a worker may shrink or grow while it runs.
CAPACITIES_MILLI = (1000, 2500, CPU_MILLI)
# Maximum age of a worker's entry in the list of workers, in seconds.
HEARTBEAT_S = 1.5
# Maximum age of an entry for a start on its worker, in seconds.
MAX_ENTRY_AGE_S = 3.0
# Time after which a start must respect a capacity that has shrunk: the time to
# report it plus the time that the platform allows to react.
SHRINK_NOTICE_S = HEARTBEAT_S + MAX_ENTRY_AGE_S
# Share of jobs with a task that crashes the workers that start it.
CRASHING_SHARE = 0.08
# Share of steps with checkpoints, the work between two of them, and the time to
# restore one.
CHECKPOINTING_SHARE = 0.7
CHECKPOINT_INTERVAL_S = 0.5
RESTORE_S = 0.25
OUTCOMES = scheduling.OrderOutcome


class Leader:
    """Leader of one term, with its scheduler."""

    def __init__(self, walk: "Walk", number: int):
        self.walk = walk
        self.confirmed_s = walk.now_s
        self.stopped = False
        self.next_hold_s: dict[str, float] = {}
        self.seen_heartbeats: dict[str, int] = {}
        # Time of the last read of the list of workers.
        self.synced_s = -math.inf
        options = scheduling.Options(max_entry_age_s=MAX_ENTRY_AGE_S)
        self.scheduler = scheduling.Scheduler(
            token=walk.next_version(),
            term=number,
            configuration=walk.configuration,
            options=options,
            now_s=walk.now_s,
            inherited_bound_s=dispatch.inherited_bound_s(options.max_lease_s),
        )
        for job_id, (content, version) in walk.store.items():
            self.scheduler.load_job(job_id, content, version)
        for record in walk.roster.values():
            self.scheduler.observe_worker(record, walk.now_s)
            self.scheduler.observe_unlisted(record.worker_id)
            worker = self.scheduler.workers[record.worker_id]
            worker.start_time_ms = record.start_time_ms
            worker.enrolled = True
            self.scheduler.unfenced.add(record.worker_id)

    def step(self, current: bool) -> None:
        """Executes one time step."""
        walk, scheduler = self.walk, self.scheduler
        scheduler.store_ms = walk.now_s * 1000
        if current and walk.store_available:
            self._sync_lists()
        self._send_holds()
        if current and walk.store_available:
            self._commit()
        term_confirmed = walk.now_s - self.confirmed_s < dispatch.START_WINDOW_S
        for order in scheduler.plan(walk.now_s, term_confirmed):
            self._send(order)
        self.stopped |= scheduler.fenced_off

    def _sync_lists(self) -> None:
        """Reads the list of workers and the list of machines."""
        walk = self.walk
        if walk.now_s - walk.store_lost_s > MAX_ENTRY_AGE_S:
            unseen_written_s = walk.now_s - HEARTBEAT_S
        else:
            unseen_written_s = -math.inf
        for worker_id, record in walk.listed_records.items():
            count = walk.heartbeat_counts[worker_id]
            seen = self.seen_heartbeats.get(worker_id)
            written_s = -math.inf
            if seen is None:
                written_s = unseen_written_s
            elif count != seen:
                written_s = self.synced_s
            self.seen_heartbeats[worker_id] = count
            self.scheduler.observe_worker(record, walk.now_s, written_s)
        self.synced_s = walk.now_s
        for worker_id in self.scheduler.workers:
            if worker_id not in walk.listed_records:
                self.scheduler.observe_unlisted(worker_id)
        self.scheduler.maintenance.observe_machines(
            walk.list_machines(), walk.now_s
        )

    def _send_holds(self) -> None:
        walk = self.walk
        term_confirmed = (
            walk.now_s - self.confirmed_s < dispatch.EXTEND_WINDOW_S
        )
        for worker in list(self.scheduler.workers.values()):
            model = walk.workers.get(worker.worker_id)
            # A waiting call returns at the end of a run.
            waiting = bool(
                model and model.next_end_number > worker.processed + 1
            )
            due_s = self.next_hold_s.get(worker.worker_id, 0)
            if walk.now_s < due_s and not waiting:
                continue
            self.next_hold_s[worker.worker_id] = (
                walk.now_s + walk.random.choice((0.05, 0.2, 0.5))
            )
            order = self.scheduler.hold_order(
                worker, 0, walk.now_s, term_confirmed
            )
            result = walk.deliver(self, order)
            if isinstance(result, scheduling.WorkerReport):
                self.scheduler.observe_report(
                    worker.worker_id, result, order.token, walk.now_s
                )
            elif result.outcome is OUTCOMES.FENCED:
                self.scheduler.observe_fenced(order)
            else:
                self.scheduler.observe_no_response(worker.worker_id, walk.now_s)

    def _commit(self) -> None:
        walk = self.walk
        self.confirmed_s = walk.now_s
        walk.roster = {
            worker.worker_id: worker.record
            for worker in self.scheduler.workers_to_enroll()
        }
        for worker in self.scheduler.workers.values():
            worker.enrolled = worker.worker_id in walk.roster
        snapshot = self.scheduler.begin_commit()
        version = walk.next_version()
        if snapshot is None:
            self.scheduler.observe_commit(version)
            self.scheduler.release_acknowledgements()
            return
        for job, content in snapshot.jobs:
            walk.store[job.spec.job_id] = (content, version)
        if walk.random.random() < walk.response_loss_rate:
            return
        self.scheduler.observe_commit(version)
        self.scheduler.finish_commit(snapshot, version)
        for job, _ in snapshot.jobs:
            walk.oracle.check_visible_state(job, walk.now_s)

    def _send(self, order: scheduling.WorkerOrder) -> None:
        result = self.walk.deliver(self, order)
        now_s = self.walk.now_s
        if isinstance(order, scheduling.StartOrder):
            self.scheduler.observe_start(order, result, now_s)
        else:
            self.scheduler.observe_stop(order, result)


class Walk:
    """A random walk of jobs, faults and leader changes.

    Args:
        seed: Seed of the random generator.
        inject_fault: Injects a fault into a new scheduler; `None` for none.
    """

    def __init__(self, seed: int, inject_fault=None):
        self.random = random.Random(seed)
        self.inject_fault = inject_fault
        # Apart from `random`, so that a seed keeps its sequence of faults. Few
        # ended runs suffice to cut the reports of some walks.
        self.max_listed_ends = random.Random(f"{seed}-ends").choice((2, 3, 500))
        self.checkpoint_random = random.Random(f"{seed}-checkpoints")
        self.checkpoints = _worker_model.Checkpoints()
        self.now_s = START_S
        self.version = 1
        self.store: dict[str, tuple[bytes, int]] = {}
        self.store_available = True
        self.response_loss_rate = 0.0
        self.order_loss_rate = 0.0
        self.roster: dict[str, scheduling.WorkerRecord] = {}
        self.specs: dict[str, scheduling.JobSpec] = {}
        self.delayed_orders: list[tuple] = []
        self.partitioned_until_s: dict[tuple[int, str], float] = {}
        self.oracle = _walk_oracle.Oracle(self)
        self.workers: dict[str, _worker_model.ModelWorker] = {}
        # Entries in the list of workers, as of the workers' last heartbeats.
        self.listed_records: dict[str, scheduling.WorkerRecord] = {}
        self.next_heartbeat_s: dict[str, float] = {}
        self.heartbeat_counts: collections.Counter = collections.Counter()
        # Latest time at which the store was not available.
        self.store_lost_s = 0.0
        # Recent capacities of each worker with the time of their end.
        self.past_capacities: dict[str, list[tuple[float, int]]] = {}
        # Workers that have crashed, with the time of their return.
        self.crashed_workers: list[tuple[float, str]] = []
        self.crashing_tasks: set[str] = set()
        self.crashes_due: set[str] = set()
        self.configuration = scheduling.Configuration(
            1,
            {
                QUEUE: scheduling.Queue(
                    QUEUE,
                    "h",
                    "/q/",
                    POOL,
                    max_attempts=_walk_oracle.MAX_ATTEMPTS,
                )
            },
            {POOL: scheduling.PoolSettings(POOL)},
        )
        for number in range(WORKERS):
            self.add_worker(f"w{number}")
        self._send_heartbeats()
        self.leaders: list[Leader] = []
        self.term_count = 0
        self.change_leader()

    def add_worker(self, worker_id: str) -> None:
        """Starts a worker, possibly under the id of an earlier incarnation."""
        previous = self.workers.get(worker_id)
        if previous is not None:
            self.oracle.on_crash(previous)
        machine = machine_of(worker_id)
        record = scheduling.WorkerRecord(
            worker_id=worker_id,
            address=f"{machine}:1",
            pool=POOL,
            zone="z",
            machine=machine,
            draining=False,
            start_time_ms=int(self.now_s * 1000),
            cpu_milli=CPU_MILLI,
            memory_mb=1,
            gpus=0,
            labels=frozenset(),
        )
        self.next_heartbeat_s[worker_id] = self.now_s
        self.past_capacities[worker_id] = []
        self.workers[worker_id] = _worker_model.ModelWorker(
            record,
            self.now_s,
            self.random.uniform(0.98, 1.0),
            self._make_run,
            self.oracle,
            max_listed_ends=self.max_listed_ends,
            checkpoints=self.checkpoints,
        )

    def _crash_worker(self, worker_id: str) -> None:
        self.oracle.on_crash(self.workers.pop(worker_id))
        due_s = self.now_s + self.random.uniform(0.5, 8.0)
        self.crashed_workers.append((due_s, worker_id))

    def _return_workers(self) -> None:
        """Starts crashed workers again, under their id or a new one."""
        for crashed in list(self.crashed_workers):
            due_s, worker_id = crashed
            if due_s > self.now_s:
                continue
            self.crashed_workers.remove(crashed)
            if self.random.random() < 0.5:
                self.listed_records.pop(worker_id, None)
                machine, _, life = worker_id.partition(".")
                worker_id = f"{machine}.{int(life or 0) + 1}"
            self.add_worker(worker_id)

    def _change_capacity(self) -> None:
        worker_id = self.random.choice(sorted(self.workers))
        model = self.workers[worker_id]
        past = self.past_capacities[worker_id]
        past.append((self.now_s, model.record.cpu_milli))
        model.record = attrs.evolve(
            model.record, cpu_milli=self.random.choice(CAPACITIES_MILLI)
        )

    def noticed_capacity_milli(self, worker) -> int:
        """Returns the capacity that starts on a worker have to respect."""
        limit_s = self.now_s - SHRINK_NOTICE_S
        past = self.past_capacities[worker.record.worker_id]
        return max(
            worker.record.cpu_milli,
            *(capacity for end_s, capacity in past if end_s > limit_s),
            0,
        )

    def list_machines(self) -> tuple[scheduling.MachineRecord, ...]:
        """Returns the platform's list of machines."""
        up = scheduling.MachineState.UP
        running = [
            scheduling.MachineRecord(
                machine_of(worker_id), POOL, up, "z", worker_id
            )
            for worker_id in self.workers
        ]
        crashed = [
            scheduling.MachineRecord(
                machine_of(worker_id),
                POOL,
                scheduling.MachineState.DOWN,
                "z",
                "",
            )
            for _, worker_id in self.crashed_workers
        ]
        return tuple(running + crashed)

    def _make_run(self, order, now_s: float) -> _worker_model.ModelRun:
        run = _worker_model.ModelRun(
            order.task,
            order.run_id,
            now_s,
            self.random.uniform(0.2, 3.0),
            self.random.random() < 0.15,
        )
        step = self.find_step(order.task)
        if step is not None and step.checkpointing:
            run.checkpoint_interval_s = CHECKPOINT_INTERVAL_S
            # The duration is that of the work that is left.
            self.checkpoints.resume(run, order.checkpoint, RESTORE_S)
        return run

    def find_step(self, task: str) -> scheduling.StepSpec | None:
        """Returns the step of the task with a name; `None` if unknown."""
        return find_step(self.specs, task)

    def next_version(self) -> int:
        """Returns the version of a further transaction."""
        self.version += 1
        return self.version

    def change_leader(self) -> None:
        """Starts a new term without informing the previous leader."""
        if self.leaders:
            previous = self.leaders[-1]
            # A leader is replaced only when its last heartbeat is older than
            # the election timeout.
            expired_s = self.now_s - dispatch.ELECTION_TIMEOUT_MS / 1000
            previous.confirmed_s = min(previous.confirmed_s, expired_s)
        leader = Leader(self, self.term_count)
        if self.inject_fault is not None:
            self.inject_fault(leader.scheduler)
        self.leaders.append(leader)
        self.term_count += 1

    def deliver(self, leader: Leader, order):
        """Delivers an order to its worker, or loses or delays it."""
        model = self.workers.get(order.worker_id)
        number = self.leaders.index(leader)
        if model is None and self._has_successor(order.worker_id):
            return scheduling.OrderResult(OUTCOMES.WRONG_WORKER)
        if model is None or self.now_s < self.partitioned_until_s.get(
            (number, order.worker_id), 0
        ):
            return scheduling.OrderResult(OUTCOMES.NOT_SENT)
        unanswered = self.random.random() < self.order_loss_rate
        if unanswered and self.random.random() < 0.5:
            due_s = self.now_s + self.random.uniform(0.5, 8.0)
            self.delayed_orders.append((due_s, model, order))
            return scheduling.OrderResult(OUTCOMES.UNKNOWN)
        result = self._apply(model, order)
        return (
            scheduling.OrderResult(OUTCOMES.UNKNOWN) if unanswered else result
        )

    def _has_successor(self, worker_id: str) -> bool:
        return any(
            machine_of(other) == machine_of(worker_id) for other in self.workers
        )

    def _apply(self, model, order):
        if isinstance(order, scheduling.StartOrder):
            self.oracle.check_start_order(order, self.now_s)
            result = model.start(order, self.now_s)
            if order.task in self.crashing_tasks and order.task in model.runs:
                self.crashes_due.add(order.worker_id)
            return result
        if isinstance(order, scheduling.StopOrder):
            return model.stop(order, self.now_s)
        return model.hold(order, self.now_s)

    def run(self, seconds: float) -> list[_walk_oracle.Violation]:
        """Runs for a period of virtual time and returns the violations."""
        end_s = self.now_s + seconds
        while self.now_s < end_s and not self.oracle.violations:
            self.now_s += TIME_STEP_S
            self._inject_events()
            self._deliver_delayed()
            self._apply_crashes()
            for model in self.workers.values():
                model.advance(self.now_s)
            current = self.leaders[-1]
            for leader in self.leaders:
                if not leader.stopped:
                    leader.step(leader is current)
            if current.stopped:
                self.change_leader()
        if not self.oracle.violations:
            self._check_states()
        return self.oracle.violations

    def _check_states(self) -> None:
        """Checks the states that this leader and the next one can tell."""
        for leader in (self.leaders[-1], Leader(self, self.term_count)):
            self.oracle.check_all_states(leader.scheduler, self.now_s)

    def _deliver_delayed(self) -> None:
        """Delivers delayed orders, except to workers that were restarted."""
        due = [
            delayed
            for delayed in self.delayed_orders
            if delayed[0] <= self.now_s
        ]
        self.delayed_orders = [
            delayed
            for delayed in self.delayed_orders
            if delayed[0] > self.now_s
        ]
        for _, model, order in due:
            if self.workers.get(order.worker_id) is model:
                self._apply(model, order)

    def _apply_crashes(self) -> None:
        for worker_id in sorted(self.crashes_due & self.workers.keys()):
            self._crash_worker(worker_id)
        self.crashes_due.clear()
        self._return_workers()

    def _send_heartbeats(self) -> None:
        """Writes the entries of workers that are due, if the store is up."""
        if not self.store_available:
            self.store_lost_s = self.now_s
            return
        for worker_id, model in self.workers.items():
            if self.now_s >= self.next_heartbeat_s[worker_id]:
                self.next_heartbeat_s[worker_id] = (
                    self.now_s + self.random.uniform(0.9, 1.0) * HEARTBEAT_S
                )
                self.listed_records[worker_id] = model.record
                self.heartbeat_counts[worker_id] += 1

    def _inject_events(self) -> None:
        draw = self.random.random
        self._send_heartbeats()
        if draw() < 0.08:
            self._submit()
        if draw() < 0.004:
            self.change_leader()
        if draw() < 0.006:
            self._partition_workers()
        if draw() < 0.004 and self.workers:
            worker_id = self.random.choice(sorted(self.workers))
            self.add_worker(worker_id)
        if draw() < 0.004 and self.workers:
            self._crash_worker(self.random.choice(sorted(self.workers)))
        if draw() < 0.02 and self.workers:
            self._change_capacity()
        if draw() < 0.01:
            self.store_available = not self.store_available
        if draw() < 0.02:
            self.order_loss_rate = self.random.choice((0.0, 0.0, 0.1))
            self.response_loss_rate = self.random.choice((0.0, 0.0, 0.3))

    def _partition_workers(self) -> None:
        number = self.random.randrange(len(self.leaders))
        until_s = self.now_s + self.random.uniform(1.0, 12.0)
        for worker_id in self.workers:
            if self.random.random() < 0.4:
                self.partitioned_until_s[number, worker_id] = until_s

    def _submit(self) -> None:
        job_id = f"{len(self.specs):016x}"
        step_count = self.random.randint(1, 3)
        steps = tuple(
            scheduling.StepSpec(
                self.random.randint(1, 5),
                cpu_milli=self.random.choice((500, 1000, 2500)),
                after=(number - 1,) if number else (),
                checkpointing=self.checkpoint_random.random()
                < CHECKPOINTING_SHARE,
            )
            for number in range(step_count)
        )
        spec = self.make_spec(
            scheduling.JobSpec(job_id, QUEUE, payload_of(job_id), steps)
        )
        self.specs[job_id] = spec
        if self.random.random() < CRASHING_SHARE:
            self.crashing_tasks.add(f"{job_id}.0.0.0")
        self.leaders[-1].scheduler.submit(spec, self.now_s)

    def make_spec(self, spec: scheduling.JobSpec) -> scheduling.JobSpec:
        """Returns a job as its caller submits it."""
        return spec


def payload_of(job_id: str) -> str:
    """Returns the payload of a job, which no other job has."""
    return f"payload of {job_id}"


def find_step(
    specs: dict[str, scheduling.JobSpec], task: str
) -> scheduling.StepSpec | None:
    """Returns the step of a task; `None` unless callers sent it.

    Args:
        specs: Jobs that callers sent, by identifier.
        task: Name of the task.
    """
    job_id, _, place = task.partition(".")
    spec = specs.get(job_id)
    if spec is None:
        return None
    for number, step in enumerate(spec.steps):
        for index in range(step.task_count):
            if place == f"0.{number}.{index}":
                return step
    return None


def machine_of(worker_id: str) -> str:
    """Returns the machine of a worker."""
    return worker_id.partition(".")[0]

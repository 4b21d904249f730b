"""Random walks of schedulers over model workers, checked by an oracle.

Several holders act on the same workers: one that was replaced goes on until
it is fenced or its time is over. Everything follows from the seed.
"""

import collections
import random

import attrs

from baobabdoor import dispatch
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

STEP_S = 0.05
POOL = "pool"
QUEUE = "queue"
MAX_ATTEMPTS = 3
WORKERS = 6
CPU_MILLI = 4000
OUTCOMES = scheduling.OrderOutcome


@attrs.frozen
class Violation:
    """A broken rule.

    Attributes:
        rule: Its name.
        time_s: When.
        detail: What was seen.
    """

    rule: str
    time_s: float
    detail: str


class Oracle:
    """Judges starts and ends by what the workers have seen."""

    def __init__(self, walk: "Walk"):
        self.walk = walk
        self.violations: list[Violation] = []
        self.noted_done: set[str] = set()
        self.noted_failures: collections.Counter = collections.Counter()
        self.done: set[str] = set()
        self.starts = 0

    def start(self, worker, run, now_s: float) -> None:
        """Checks a start."""
        self.starts += 1
        job_id, _, step, _ = run.task.split(".")
        spec = self.walk.specs[job_id]
        used = sum(self.walk.step_of(task).cpu_milli for task in worker.runs)
        if used > worker.record.cpu_milli:
            self._add(
                "LIMIT", now_s, f"{run.task} on {worker.record.worker_id}"
            )
        for other in self.walk.workers.values():
            if other is not worker and run.task in other.runs:
                self._add("TWICE", now_s, f"{run.task} runs twice")
        if run.task in self.noted_done:
            self._add("TWICE", now_s, f"{run.task} was done")
        if self.noted_failures[run.task] >= MAX_ATTEMPTS:
            self._add("BUDGET", now_s, run.task)
        for earlier in spec.steps[int(step)].after:
            for index in range(spec.steps[earlier].task_count):
                if f"{job_id}.0.{earlier}.{index}" not in self.done:
                    self._add("ORDER", now_s, run.task)
                    return

    def end(self, worker, entry: scheduling.EndEntry) -> None:
        """Notes an end."""
        del worker
        if entry.outcome == "done":
            self.done.add(entry.task)

    def note(self, entry: scheduling.EndEntry) -> None:
        """Notes an end that was acknowledged while its lease held."""
        if entry.outcome == "done":
            self.noted_done.add(entry.task)
        elif entry.outcome == "failed":
            self.noted_failures[entry.task] += 1

    def shown(self, job: scheduling.Job, now_s: float) -> None:
        """Checks a state that a caller would be shown."""
        if job.stored_state is scheduling.JobState.COMPLETED:
            for task in job.tasks():
                if task.name not in self.done:
                    self._add("MIXED", now_s, task.name)

    def _add(self, rule: str, now_s: float, detail: str) -> None:
        self.violations.append(Violation(rule, now_s, detail))


class Holder:
    """One tenure: a scheduler and what it may do."""

    def __init__(self, walk: "Walk", number: int):
        self.walk = walk
        self.confirmed_s = walk.now_s
        self.ended = False
        self.next_hold_s: dict[str, float] = {}
        self.scheduler = scheduling.Scheduler(
            token=number + 1,
            term=number,
            configuration=walk.configuration,
            options=scheduling.Options(),
            now_s=walk.now_s,
            inherited_bound_s=dispatch.inherited_bound_s(scheduling.LEASE_S),
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
        """Acts for one step of time."""
        walk, scheduler = self.walk, self.scheduler
        scheduler.store_ms = walk.now_s * 1000
        if current:
            self._follow_list()
        self._hold_workers()
        if current and walk.store_up:
            self._commit()
        certain = walk.now_s - self.confirmed_s < dispatch.START_WINDOW_S
        for order in scheduler.plan(walk.now_s, certain):
            self._send(order)
        self.ended |= scheduler.fenced_off

    def _follow_list(self) -> None:
        listed = {
            model.record.worker_id for model in self.walk.workers.values()
        }
        for model in self.walk.workers.values():
            self.scheduler.observe_worker(model.record, self.walk.now_s)
        for worker_id in set(self.scheduler.workers) - listed:
            self.scheduler.observe_unlisted(worker_id)

    def _hold_workers(self) -> None:
        walk = self.walk
        certain = walk.now_s - self.confirmed_s < dispatch.EXTEND_WINDOW_S
        for worker in list(self.scheduler.workers.values()):
            if walk.now_s < self.next_hold_s.get(worker.worker_id, 0):
                continue
            self.next_hold_s[worker.worker_id] = (
                walk.now_s + walk.random.choice((0.05, 0.2, 0.5))
            )
            order = self.scheduler.hold_order(worker, 0, walk.now_s, certain)
            result = walk.deliver(self, order)
            if isinstance(result, scheduling.WorkerReport):
                self.scheduler.observe_report(
                    worker.worker_id, result, walk.now_s
                )
            elif result.outcome is OUTCOMES.FENCED:
                self.ended = True
            else:
                self.scheduler.observe_no_response(worker.worker_id, walk.now_s)

    def _commit(self) -> None:
        walk = self.walk
        self.confirmed_s = walk.now_s
        walk.roster = {
            worker.worker_id: worker.record
            for worker in self.scheduler.workers.values()
            if (worker.fenced and worker.listed)
            or worker.runs
            or worker.worker_id in self.scheduler.unfenced
        }
        for worker in self.scheduler.workers.values():
            worker.enrolled = worker.worker_id in walk.roster
        snapshot = self.scheduler.begin_commit()
        if snapshot is None:
            self.scheduler.release_acknowledgements()
            return
        walk.version += 1
        for job, content in snapshot.jobs:
            walk.store[job.spec.job_id] = (content, walk.version)
        if walk.random.random() < walk.lost_answers:
            return
        self.scheduler.finish_commit(snapshot, walk.version)
        for job, _ in snapshot.jobs:
            walk.oracle.shown(job, walk.now_s)

    def _send(self, order: scheduling.WorkerOrder) -> None:
        result = self.walk.deliver(self, order)
        now_s = self.walk.now_s
        if isinstance(order, scheduling.StartOrder):
            self.scheduler.observe_start(order, result, now_s)
        else:
            self.scheduler.observe_stop(order, result)


class Walk:
    """A random day: jobs, faults and changes of the holder.

    Args:
        seed: Everything follows from it.
        plant: Changes a new scheduler to plant a fault; `None` for none.
    """

    def __init__(self, seed: int, plant=None):
        self.random = random.Random(seed)
        self.plant = plant
        self.now_s = 100.0
        self.version = 1
        self.store: dict[str, tuple[bytes, int]] = {}
        self.store_up = True
        self.lost_answers = 0.0
        self.lost_orders = 0.0
        self.roster: dict[str, scheduling.WorkerRecord] = {}
        self.specs: dict[str, scheduling.JobSpec] = {}
        self.late: list[tuple] = []
        self.cut: dict[tuple[int, str], float] = {}
        self.oracle = Oracle(self)
        self.workers: dict[str, _worker_model.ModelWorker] = {}
        self.configuration = scheduling.Configuration(
            1,
            {
                QUEUE: scheduling.Queue(
                    QUEUE, "h", "/q/", POOL, max_attempts=MAX_ATTEMPTS
                )
            },
            {POOL: scheduling.PoolSettings(POOL)},
        )
        for number in range(WORKERS):
            self.add_worker(f"w{number}")
        self.holders: list[Holder] = []
        self.tenures = 0
        self.change_holder()

    def add_worker(self, worker_id: str) -> None:
        """Starts a worker, also under an id that another life had."""
        record = scheduling.WorkerRecord(
            worker_id=worker_id,
            address=f"{worker_id}:1",
            pool=POOL,
            zone="z",
            machine="",
            draining=False,
            start_time_ms=int(self.now_s * 1000),
            cpu_milli=CPU_MILLI,
            memory_mb=1,
            gpus=0,
            labels=frozenset(),
        )
        self.workers[worker_id] = _worker_model.ModelWorker(
            record,
            self.now_s,
            self.random.uniform(0.98, 1.0),
            self._make_run,
            self.oracle,
        )

    def _make_run(self, order, now_s: float) -> _worker_model.ModelRun:
        return _worker_model.ModelRun(
            order.task,
            order.run_id,
            now_s,
            self.random.uniform(0.2, 3.0),
            self.random.random() < 0.15,
        )

    def step_of(self, task: str) -> scheduling.StepSpec:
        """Returns the step of a task by its name."""
        job_id, _, step, _ = task.split(".")
        return self.specs[job_id].steps[int(step)]

    def change_holder(self) -> None:
        """Begins another tenure; the one before does not know."""
        if self.holders:
            before = self.holders[-1]
            # A holder whose heartbeat is as old as a lapse is replaced.
            lapsed_s = self.now_s - dispatch.ELECTION_TIMEOUT_MS / 1000
            before.confirmed_s = min(before.confirmed_s, lapsed_s)
        holder = Holder(self, self.tenures)
        if self.plant is not None:
            self.plant(holder.scheduler)
        self.holders.append(holder)
        self.tenures += 1

    def deliver(self, holder: Holder, order):
        """Carries an order to its worker, or loses or delays it."""
        model = self.workers.get(order.worker_id)
        number = self.holders.index(holder)
        if model is None or self.now_s < self.cut.get(
            (number, order.worker_id), 0
        ):
            return scheduling.OrderResult(OUTCOMES.NOT_SENT)
        lost = self.random.random() < self.lost_orders
        if lost and self.random.random() < 0.5:
            due_s = self.now_s + self.random.uniform(0.5, 8.0)
            self.late.append((due_s, model, order))
            return scheduling.OrderResult(OUTCOMES.UNKNOWN)
        result = self._apply(model, order)
        return scheduling.OrderResult(OUTCOMES.UNKNOWN) if lost else result

    def _apply(self, model, order):
        if isinstance(order, scheduling.StartOrder):
            return model.start(order, self.now_s)
        if isinstance(order, scheduling.StopOrder):
            return model.stop(order, self.now_s)
        return model.hold(order, self.now_s)

    def run(self, seconds: float) -> list[Violation]:
        """Runs for some virtual time and returns the broken rules."""
        end_s = self.now_s + seconds
        while self.now_s < end_s and not self.oracle.violations:
            self.now_s += STEP_S
            self._disturb()
            self._deliver_late()
            for model in self.workers.values():
                model.advance(self.now_s)
            current = self.holders[-1]
            for holder in self.holders:
                if not holder.ended:
                    holder.step(holder is current)
            if current.ended:
                self.change_holder()
        return self.oracle.violations

    def _deliver_late(self) -> None:
        """Carries out delayed orders; those to an ended life are gone."""
        due = [late for late in self.late if late[0] <= self.now_s]
        self.late = [late for late in self.late if late[0] > self.now_s]
        for _, model, order in due:
            if self.workers.get(order.worker_id) is model:
                self._apply(model, order)

    def _disturb(self) -> None:
        chance = self.random.random
        if chance() < 0.08:
            self._submit()
        if chance() < 0.004:
            self.change_holder()
        if chance() < 0.006:
            self._cut_some()
        if chance() < 0.004:
            worker_id = self.random.choice(sorted(self.workers))
            self.add_worker(worker_id)
        if chance() < 0.01:
            self.store_up = not self.store_up
        if chance() < 0.02:
            self.lost_orders = self.random.choice((0.0, 0.0, 0.1))
            self.lost_answers = self.random.choice((0.0, 0.0, 0.3))

    def _cut_some(self) -> None:
        number = self.random.randrange(len(self.holders))
        until_s = self.now_s + self.random.uniform(1.0, 12.0)
        for worker_id in self.workers:
            if self.random.random() < 0.4:
                self.cut[number, worker_id] = until_s

    def _submit(self) -> None:
        job_id = f"{len(self.specs):016x}"
        count = self.random.randint(1, 3)
        steps = tuple(
            scheduling.StepSpec(
                self.random.randint(1, 5),
                cpu_milli=self.random.choice((500, 1000, 2500)),
                after=(number - 1,) if number else (),
            )
            for number in range(count)
        )
        spec = scheduling.JobSpec(job_id, QUEUE, "", steps)
        self.specs[job_id] = spec
        self.holders[-1].scheduler.submit(spec, self.now_s)

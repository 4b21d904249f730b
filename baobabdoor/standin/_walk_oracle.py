"""Oracle of random walks, which checks what workers and callers observe."""

import collections

import attrs

from baobabdoor import scheduling

MAX_ATTEMPTS = 3
# Crashes of a task after which a further number of starts is a violation.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3
# Crashes of its workers after which a task may be shown as failed.
MIN_CRASHES_TO_FAIL = 2


@attrs.frozen
class Violation:
    """Violation of a rule.

    Attributes:
        rule: Name of the rule.
        time_s: Time of the violation.
        detail: Description of the observation.
    """

    rule: str
    time_s: float
    detail: str


class Oracle:
    """Checks starts and ends of runs as observed by the workers."""

    def __init__(self, system):
        self.system = system
        self.violations: list[Violation] = []
        self.acknowledged_done: set[str] = set()
        self.acknowledged_failures: collections.Counter = collections.Counter()
        self.done: set[str] = set()
        self.failed_ends: collections.Counter = collections.Counter()
        # Workers that crashed while they ran a task, and its later starts.
        self.crashes: collections.Counter = collections.Counter()
        self.starts_after_crashes: collections.Counter = collections.Counter()
        # Accepted jobs, with the last state that was stored.
        self.stored_states: dict[str, scheduling.JobState] = {}
        self.starts = 0
        # Starts of a task beside another run of it.
        self.duplicates = 0
        # Orders to start a task from a checkpoint.
        self.resumed_starts = 0
        # Checkpoint that the members of a gang start from, by gang and run.
        self.gang_checkpoints: dict[tuple[str, int], str] = {}

    def check_start_order(
        self, order: scheduling.StartOrder, now_s: float
    ) -> None:
        """Checks that callers sent what a worker is told to start."""
        if self.system.find_step(order.task) is None:
            self.add_violation("UNASKED", now_s, f"nobody sent {order.task!r}")
            return
        spec = self.system.specs[order.task.split(".")[0]]
        if order.payload != spec.payload:
            self.add_violation(
                "UNASKED",
                now_s,
                f"{order.task} was sent with payload {spec.payload!r}, "
                f"started with {order.payload!r}",
            )
        self._check_checkpoint(order, now_s)

    def _check_checkpoint(
        self, order: scheduling.StartOrder, now_s: float
    ) -> None:
        """Checks that a start resumes its own task, or its gang as a whole."""
        unit = self._unit_of(order.task)
        key = (unit, order.run_id)
        saved = order.checkpoint
        if unit != order.task and (
            self.gang_checkpoints.setdefault(key, saved) != saved
        ):
            self.add_violation(
                "UNASKED", now_s, f"{order.task} differs from its gang"
            )
        if not saved:
            return
        self.resumed_starts += 1
        producer = self.system.checkpoints.task(saved)
        if producer is None or self._unit_of(producer) != unit:
            self.add_violation(
                "UNASKED",
                now_s,
                f"{order.task} run {order.run_id} was started from checkpoint "
                f"{saved!r} of {producer}",
            )

    def _unit_of(self, task: str) -> str:
        """Returns the gang of a task, or the task itself."""
        step = self.system.find_step(task)
        return task.rpartition(".")[0] if step and step.gang else task

    def on_start(self, worker, run, now_s: float) -> None:
        """Checks the start of a run."""
        self.starts += 1
        known_steps = map(self.system.find_step, worker.runs)
        used_cpu_milli = sum(step.cpu_milli for step in known_steps if step)
        if used_cpu_milli > self.system.noticed_capacity_milli(worker):
            self.add_violation(
                "LIMIT", now_s, f"{run.task} on {worker.record.worker_id}"
            )
        step = self.system.find_step(run.task)
        self._check_count(worker, run, step, now_s)
        if run.task in self.acknowledged_done:
            self.add_violation("TWICE", now_s, f"{run.task} was done")
        if self.acknowledged_failures[run.task] >= MAX_ATTEMPTS:
            self.add_violation("BUDGET", now_s, run.task)
        self._check_crashes(run.task, now_s)
        if step is None:
            return
        job_id = run.task.split(".")[0]
        spec = self.system.specs[job_id]
        for dependency in step.after:
            for index in range(spec.steps[dependency].task_count):
                if f"{job_id}.0.{dependency}.{index}" not in self.done:
                    self.add_violation("ORDER", now_s, run.task)
                    return

    def _check_count(self, worker, run, step, now_s: float) -> None:
        """Checks that a task has one run, or two where its step allows it."""
        others = sum(
            other is not worker and run.task in other.runs
            for other in self.system.workers.values()
        )
        self.duplicates += others > 0
        if others > int(step is not None and step.speculative):
            self.add_violation(
                "TWICE", now_s, f"{run.task} has {others + 1} runs"
            )

    def _check_crashes(self, task: str, now_s: float) -> None:
        if task not in self.system.crashing_tasks:
            return
        if self.crashes[task] >= MAX_CRASHES:
            self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] >= MAX_STARTS_AFTER_CRASHES:
            self.add_violation("BUDGET", now_s, f"{task} crashes its workers")

    def on_crash(self, worker) -> None:
        """Records the crash of a worker."""
        self.crashes.update(worker.runs.keys())

    def on_end(self, worker, entry: scheduling.EndEntry) -> None:
        """Records the end of a run."""
        del worker
        if entry.outcome == "done":
            self.done.add(entry.task)
        elif entry.outcome == "failed":
            self.failed_ends[entry.task] += 1

    def on_acknowledgement(self, entry: scheduling.EndEntry) -> None:
        """Records an end that was acknowledged before its lease expired."""
        if entry.outcome == "done":
            self.acknowledged_done.add(entry.task)
        elif entry.outcome == "failed":
            self.acknowledged_failures[entry.task] += 1

    def check_visible_state(self, job: scheduling.Job, now_s: float) -> None:
        """Checks the state of a job that is visible to callers."""
        self.stored_states[job.spec.job_id] = job.stored_state
        if job.stored_state is scheduling.JobState.COMPLETED:
            for task in job.tasks():
                if task.name not in self.done:
                    self.add_violation("MIXED", now_s, task.name)
        elif job.stored_state is scheduling.JobState.FAILED and not any(
            self.failed_ends[task.name] >= MAX_ATTEMPTS
            or self.crashes[task.name] >= MIN_CRASHES_TO_FAIL
            for task in job.tasks()
        ):
            self.add_violation(
                "LOST", now_s, f"{job.spec.job_id} failed without a cause"
            )

    def check_all_states(
        self, scheduler: scheduling.Scheduler, now_s: float
    ) -> None:
        """Checks that a leader can tell the state of each accepted job."""
        for job_id, state in self.stored_states.items():
            job = scheduler.jobs.get(job_id)
            if job is None or not job.submission_stored:
                self.add_violation("LOST", now_s, f"{job_id} is unknown")
            elif state in scheduling.FINAL_STATES and (
                scheduler.visible_state(job) is not state
            ):
                self.add_violation(
                    "MIXED",
                    now_s,
                    f"{job_id} changed from {state.value} to "
                    f"{scheduler.visible_state(job).value}",
                )

    def add_violation(self, rule: str, now_s: float, detail: str) -> None:
        """Records a violation of a rule."""
        self.violations.append(Violation(rule, now_s, detail))

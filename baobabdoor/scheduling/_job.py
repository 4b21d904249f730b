"""Jobs, tasks and runs, and the encoding of a job as a row."""

from collections.abc import Iterable
import functools
import json
import math
import zlib

import attrs

from baobabdoor.scheduling import _ended_runs
from baobabdoor.scheduling import _types

ROW_FORMAT = 1
# Maximum tasks of a job, over all its occurrences.
MAX_TASKS = 10_000
# Largest number in a row: every product of two of them is a finite `float`.
MAX_NUMBER = 2**53
# Maximum digits of a number in the name of a task: a job has far fewer tasks.
MAX_INDEX_DIGITS = 9
# Rows are written often and are repetitive; level 1 halves their size.
COMPRESSION_LEVEL = 1
# Fields with default values are omitted from a row.
_STEP_DEFAULTS = attrs.asdict(_types.StepSpec(task_count=0))


@attrs.define(eq=False)
class Run:
    """An attempt to run a task on a worker.

    Attributes:
        task: The task.
        run_id: Number of the run.
        worker_id: Worker that runs it.
        worker_start_ms: Unix time of the worker's start; 0 if unknown.
        machine: Machine of the worker.
        started_s: Time at which the start was sent.
        ordered_clock_ms: Earliest time that the worker's clock may have shown
            when the start was sent.
        confirmed: Whether the worker has confirmed the run.
        clock_ms: The worker's clock at the confirmation.
        stopping: Whether the run is to be stopped.
        outcome_unknown: Whether the start had no response.
        stop_clock_ms: The worker's clock when it accepted the stop; 0 if it
            has not.
        order_pending: Whether an order for this run awaits its response.
        percent: Progress; 100 for a `long_running` task that is ready.
        progressed_s: Time at which the progress last changed.
        gauge: Latency or CPU use from the worker's report.
        pace: Share of full speed, in percent.
        pace_certain: Whether the last order that changes it was answered.
        paced_s: Time at which a change of pace was last sent.
        stop_sent_s: Time at which a stop was last sent.
    """

    task: "Task"
    run_id: int
    worker_id: str
    started_s: float
    worker_start_ms: int = 0
    machine: str = ""
    ordered_clock_ms: int = 0
    confirmed: bool = False
    clock_ms: int = 0
    stopping: bool = False
    outcome_unknown: bool = False
    stop_clock_ms: int = 0
    order_pending: bool = True
    stop_sent_s: float = -1e9
    percent: float = 0.0
    progressed_s: float = 0.0
    gauge: float = 0.0
    pace: int = 100
    pace_certain: bool = True
    paced_s: float = -1e9

    @property
    def start_pending(self) -> bool:
        """Whether its start awaits its response."""
        answered = self.confirmed or self.outcome_unknown
        return self.order_pending and not answered


@attrs.define(eq=False)
class Task:
    """A task of a step of an occurrence of a job.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence.
        step: Index of the step.
        index: Index within the step.
        failed_runs: Numbers of the failed runs.
        done: Whether the task is complete.
        run: Run that may exist; `None` if it is certain that there is none.
        duplicate: Second run that may exist beside `run`, of a step that allows
            it; `None` if it is certain that there is none.
        last_run: Highest run number used.
        checkpoint: Latest checkpoint; empty for none.
        checkpoint_source: Run and worker that reported it, for the log.
        retry_at_s: Earliest time of the next start.
        avoided_workers: Workers on which it failed or stalled.
        refusing_workers: Workers that have refused its start since one was
            accepted.
        inherited: Whether an unreported run of an earlier term may exist.
        crashes: Crashes of workers that certainly ran the task.
        start_crashes: Crashes right after a start of the task, which may not
            have arrived.
        accused_revision: Revision of the job that contains the newest of them.
        stored_trial: Worker, start of the worker and machine of the run that
            an earlier term stored; `None` if there is none.
        trial_wanted_s: Time from which a suspect waits for a worker that
            starts nothing else; `None` if it does not. A further accusation
            does not change it, so that the wait is bounded.
        trial_delayed: Whether an event has reported that this wait takes too
            long.
        rack_wanted_s: Time from which the first task of a gang has room, but
            not on one rack; `None` if it has not.
        lost_runs: Number of runs in this term that ended without a record.
        given_up: Whether it is not started again because it crashes its
            workers, while the other tasks of its job go on.
    """

    job: "Job"
    occurrence: int
    step: int
    index: int
    failed_runs: frozenset[int] = frozenset()
    done: bool = False
    run: Run | None = None
    duplicate: Run | None = None
    last_run: int = 0
    checkpoint: str = ""
    checkpoint_source: str = ""
    retry_at_s: float = 0.0
    avoided_workers: frozenset[str] = frozenset()
    refusing_workers: frozenset[str] = frozenset()
    inherited: bool = False
    crashes: frozenset[str] = frozenset()
    start_crashes: frozenset[str] = frozenset()
    accused_revision: int = 0
    stored_trial: tuple[str, int, str] | None = None
    trial_wanted_s: float | None = None
    trial_delayed: bool = False
    rack_wanted_s: float | None = None
    lost_runs: int = 0
    given_up: bool = False

    @property
    def failures(self) -> int:
        """Number of failed runs."""
        return len(self.failed_runs)

    @property
    def accused(self) -> bool:
        """Whether a crash of a worker is held against the task."""
        return bool(self.crashes or self.start_crashes)

    @property
    def runs(self) -> tuple[Run, ...]:
        """Its runs that may exist."""
        if self.run is None:
            return ()
        if self.duplicate is None:
            return (self.run,)
        return (self.run, self.duplicate)

    @property
    def may_have_duplicate(self) -> bool:
        """Whether two runs of it may exist at once.

        The members of a gang start as a whole, and a task that does not end
        by itself is never late. A best-effort task is slowed down on purpose.
        """
        spec = self.spec
        return spec.speculative and not (
            spec.gang or spec.long_running or spec.fills
        )

    def add_run(self, run: Run) -> None:
        """Adds a run, as the duplicate if there is one already."""
        if self.run is None or not self.may_have_duplicate:
            self.run = run
        else:
            self.duplicate = run
        self.last_run = max(self.last_run, run.run_id)

    def remove_run(self, run: Run) -> None:
        """Removes a run that has ended; its duplicate takes its place."""
        if self.duplicate is run:
            self.duplicate = None
        elif self.run is run:
            self.run, self.duplicate = self.duplicate, None

    @functools.cached_property
    def spec(self) -> _types.StepSpec:
        """The step that the task belongs to."""
        return self.job.spec.steps[self.step]

    @property
    def name(self) -> str:
        """Name of the task in orders and reports."""
        return f"{self.step_name}.{self.index}"

    @property
    def step_name(self) -> str:
        """Name of the step in orders, reports and advice requests."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.step}"

    def observe_checkpoint(
        self, checkpoint: str, run_id: int, worker_id: str
    ) -> None:
        """Records the checkpoint that a worker reports for a run."""
        if checkpoint and self.spec.checkpointing:
            if self.may_have_duplicate and checkpoint < self.checkpoint:
                # Checkpoints ascend with the work that they save. That of the
                # run which has done less work arrives later.
                return
            self.checkpoint = checkpoint
            self.checkpoint_source = f"{run_id}@{worker_id}"


def cancelled_job(job_id: str, queue: str, now_ms: float) -> "Job":
    """Returns what is kept of a cancel without a submission.

    Args:
        job_id: The job.
        queue: Queue that the cancel named.
        now_ms: Time on the store's clock.
    """
    job = Job(_types.JobSpec(job_id, queue, "", ()), now_ms)
    job.state = _types.JobState.CANCELLED
    job.reason = "cancelled before its submission"
    job.ended_ms = now_ms
    job.cancelled_early = True
    job.submitted = False
    return job


class Job:
    """A submitted job and the progress of its tasks.

    Args:
        spec: The job as submitted.
        submitted_ms: Time of the submission on the store's clock.
    """

    def __init__(self, spec: _types.JobSpec, submitted_ms: float):
        self.spec = spec
        self.submitted_ms = submitted_ms
        self.state = _types.JobState.QUEUED
        # State in the store, which callers are shown; `None` if not stored yet.
        self.stored_state: _types.JobState | None = None
        self.ended_ms = 0.0
        self.row_version = 0
        # Whether its cancel arrived before its submission, and whether a caller
        # has submitted it. A cancel alone is kept as a job, so that a
        # submission which arrives later does not run.
        self.cancelled_early = False
        self.submitted = True
        # Whether a transaction that removes its row may have been sent.
        self.removing = False
        # Whether a write of the job was prepared; if not, it is not stored.
        self.write_attempted = False
        # Whether it was dropped before any write; it never runs.
        self.withdrawn = False
        # Whether its row was larger than the store accepts, so that records of
        # attempts were left out.
        self.oversized = False
        self.changed_revision = 0
        self.saved_revision = 0
        self.first_unsaved_revision = 0
        self.started = False
        # Whether it was expected to meet its objective at submission.
        self.timely = True
        # Whether it exceeds the rate at which its customer may submit jobs.
        self.excess = False
        # Until then it is left out of the plans after an error in its plan.
        self.suspended_until_s = -1e9
        self.reason = ""
        # Resources of its runs, if it had ended before it was loaded.
        self.ended_runs: _ended_runs.EndedRuns | None = None
        # Tasks by occurrence and step.
        self.steps: dict[tuple[int, int], list[Task]] = {}
        for occurrence in range(max(1, spec.repeat_count)):
            for number, step in enumerate(spec.steps):
                self.steps[occurrence, number] = [
                    Task(self, occurrence, number, index)
                    for index in range(step.task_count)
                ]
        self.remaining = {key: len(tasks) for key, tasks in self.steps.items()}
        # Cached estimate of its timing, and until when it is valid.
        self.timing_estimate: tuple = (None, -math.inf)
        # Cached cores that it could use, and its value per work; only with
        # customers.
        self.demand: tuple[float, float] = (0.0, 1.0)

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self.state in _types.FINAL_STATES

    @property
    def submission_stored(self) -> bool:
        """Whether the store shows that the job was submitted."""
        if self.cancelled_early:
            return self.submitted and not self.dirty
        return self.stored_state is not None

    @property
    def dirty(self) -> bool:
        """Whether there are changes that are not known to be stored."""
        return self.changed_revision > self.saved_revision

    def tasks(self):
        """Yields all tasks."""
        for tasks in self.steps.values():
            yield from tasks

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all steps that a step depends on are done."""
        return all(
            not self.remaining[occurrence, earlier]
            for earlier in self.spec.steps[step].after
        )

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Returns a task by its indices; `None` if there is none."""
        tasks = self.steps.get((occurrence, step))
        if tasks is None or not 0 <= index < len(tasks):
            return None
        return tasks[index]

    def failed_attempts(self, task: Task) -> int:
        """Returns the number of failed runs of a task, or of its gang.

        The members of a gang start under one number and may fail one by one.
        """
        if not task.spec.gang:
            return task.failures
        members = self.steps[task.occurrence, task.step]
        return len(
            frozenset().union(*(member.failed_runs for member in members))
        )

    def complete_task(self, task: Task) -> None:
        """Marks a task as done, and the job as completed with its last task."""
        if task.done:
            return
        task.done = True
        self.remaining[task.occurrence, task.step] -= 1
        if not self.remaining[task.occurrence, task.step]:
            self.timing_estimate = (None, -math.inf)
        if not any(self.remaining.values()):
            self.state = _types.JobState.COMPLETED

    def encode(self, with_attempts: bool = True) -> bytes:
        """Returns the content of the job's row.

        Args:
            with_attempts: Whether to include the failures and crashes of each
                task, whose size grows during the job.
        """
        content = {
            "format": ROW_FORMAT,
            "queue": self.spec.queue,
            "state": self.state.value,
            "submitted_ms": round(self.submitted_ms),
        }
        if self.spec.customer:
            content["customer"] = self.spec.customer
        # An ended job needs neither its payload nor its steps.
        if self.final:
            content["ended_ms"] = round(self.ended_ms)
            content["reason"] = self.reason
            if self.cancelled_early:
                content["cancelled_early"] = True
                content["submitted"] = self.submitted
            if self.spec.customer:
                ended_runs = self.ended_runs or _ended_runs.collect(
                    self.spec, self.tasks()
                )
                content["runs"] = ended_runs.encode()
        else:
            content["payload"] = self.spec.payload
            content["steps"] = [_encode_step(step) for step in self.spec.steps]
            content |= self._encode_progress()
            if with_attempts:
                content |= self._encode_attempts()
        text = json.dumps(content, separators=(",", ":"))
        return zlib.compress(text.encode(), COMPRESSION_LEVEL)

    def _encode_progress(self) -> dict:
        progress: dict = {}
        if self.spec.repeat_count:
            progress["schedule"] = [
                self.spec.repeat_count,
                self.spec.start_at_ms,
                self.spec.interval_ms,
            ]
        done = {}
        for (occurrence, step), tasks in self.steps.items():
            bits = sum(1 << task.index for task in tasks if task.done)
            if bits:
                done[f"{occurrence}.{step}"] = f"{bits:x}"
        if done:
            progress["done"] = done
        return progress

    def _encode_attempts(self) -> dict:
        attempts = {}
        for name, encode in _TASK_FIELDS.items():
            values = {
                _task_key(task): value
                for task in self.tasks()
                if (value := encode(task)) is not None
            }
            if values:
                attempts[name] = values
        return attempts


def _task_key(task: Task) -> str:
    return f"{task.occurrence}.{task.step}.{task.index}"


def _encode_failures(task: Task) -> list[int] | None:
    if task.done or not task.failed_runs:
        return None
    return sorted(task.failed_runs)


def _encode_crashes(task: Task) -> list[list[str]] | None:
    if task.done or not task.accused:
        return None
    return [sorted(task.start_crashes), sorted(task.crashes)]


def _encode_trial(task: Task) -> list | None:
    if task.run is None or not task.accused:
        return None
    run = task.run
    return [run.worker_id, run.worker_start_ms, run.machine]


def _encode_given_up(task: Task) -> bool | None:
    return True if task.given_up else None


# Encoders of the progress of single tasks, by name in the row; `None` is
# omitted.
_TASK_FIELDS = {
    "failures": _encode_failures,
    "crashes": _encode_crashes,
    "trials": _encode_trial,
    "given_up": _encode_given_up,
}


def _encode_step(step: _types.StepSpec) -> dict:
    return {
        name: value
        for name, value in attrs.asdict(step).items()
        if value != _STEP_DEFAULTS[name]
    }


def decode_job(job_id: str, value: bytes, version: int) -> Job:
    """Decodes a job from its row.

    Raises:
        AttributeError, KeyError, RecursionError, TypeError, ValueError: If the
            row is not in the format of `Job.encode`.
    """
    if "." in job_id:
        # The names of its tasks could not be told from those of other jobs.
        raise ValueError(f"identifier with a dot: {job_id!r:.80}")
    try:
        content = json.loads(zlib.decompress(value))
    except zlib.error as error:
        raise ValueError(f"not a compressed row: {error}") from error
    if not isinstance(content, dict) or content.get("format") != ROW_FORMAT:
        raise ValueError(f"unknown row format: {content!r:.80}")
    steps = tuple(
        _types.StepSpec(**(entry | {"after": tuple(entry.get("after", ()))}))
        for entry in content.get("steps", ())
    )
    schedule = content.get("schedule", (0, 0, 0))
    spec = _types.JobSpec(
        job_id,
        content["queue"],
        content.get("payload", ""),
        steps,
        *schedule,
        customer=content.get("customer", ""),
    )
    state = _types.JobState(content["state"])
    _check_spec(spec, state in _types.FINAL_STATES)
    job = Job(spec, _check_time(content["submitted_ms"]))
    job.row_version = version
    job.write_attempted = True
    _restore_progress(job, content)
    job.state = state
    job.stored_state = job.state
    job.ended_ms = _check_time(content.get("ended_ms", 0))
    job.reason = content.get("reason", "")
    job.cancelled_early = job.final and bool(content.get("cancelled_early"))
    job.submitted = not job.cancelled_early or bool(content.get("submitted"))
    job.started = job.state is not _types.JobState.QUEUED
    if job.final and "runs" in content:
        job.ended_runs = _ended_runs.decode(content["runs"])
    return job


def _check_spec(spec: _types.JobSpec, final: bool) -> None:
    """Checks the types and ranges in a row of a job.

    A value that no caller can submit would raise an error in each plan, or
    with each change of the job, in this term and in the next ones.

    Raises:
        ValueError: If the row is not in the format of `Job.encode`.
    """
    for number, step in enumerate(spec.steps):
        for name, value in attrs.asdict(step, recurse=False).items():
            if not _is_valid(name, value, number):
                raise ValueError(f"steps.{number}.{name}: {value!r:.80}")
    texts = (spec.queue, spec.payload, spec.customer)
    numbers = (spec.repeat_count, abs(spec.start_at_ms), abs(spec.interval_ms))
    if not all(isinstance(text, str) for text in texts):
        raise ValueError(f"expected texts, found {texts!r:.80}")
    if not all(map(_is_natural, numbers)):
        raise ValueError(f"schedule: {numbers!r:.80}")
    tasks = sum(step.task_count for step in spec.steps)
    tasks *= max(1, spec.repeat_count)
    if not (final or 0 < tasks <= MAX_TASKS):
        raise ValueError(f"expected 1 to {MAX_TASKS} tasks, found {tasks}")


def _is_valid(name: str, value: object, number: int) -> bool:
    """Returns whether a field of a step has a valid value.

    Args:
        name: Name of the field.
        value: Its value.
        number: Index of the step.
    """
    if name == "after":
        return all(_is_natural(step) and step < number for step in value)
    if name == "max_unavailable":
        return value is None or _is_natural(value)
    kind = type(_STEP_DEFAULTS[name])
    return _is_natural(value) if kind is int else type(value) is kind


def _is_natural(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _check_time(time_ms: float) -> float:
    if not math.isfinite(time_ms):
        raise ValueError(f"expected a time, found {time_ms!r:.80}")
    return time_ms


def _restore_progress(job: Job, content: dict) -> None:
    for key, bits in content.get("done", {}).items():
        occurrence, step = map(int, key.split("."))
        mask = int(bits, 16)
        for task in job.steps[occurrence, step]:
            if mask >> task.index & 1:
                job.complete_task(task)

    def tasks_with(name: str):
        for key, value in content.get(name, {}).items():
            yield job.find_task(*map(int, key.split("."))), value

    for task, run_ids in tasks_with("failures"):
        task.failed_runs = _members(run_ids, int)
    for task, (at_start, certain) in tasks_with("crashes"):
        task.start_crashes = _members(at_start, str)
        task.crashes = _members(certain, str)
    for task, (worker_id, start_ms, machine) in tasks_with("trials"):
        _members((worker_id, machine), str)
        _members((start_ms,), int)
        task.stored_trial = (worker_id, start_ms, machine)
    for task, given_up in tasks_with("given_up"):
        task.given_up = bool(given_up)


def _members(values: Iterable, kind: type) -> frozenset:
    """Returns values as a set; raises `ValueError` if one has another type."""
    members = frozenset(values)
    if not all(type(value) is kind for value in members):
        raise ValueError(f"expected {kind.__name__}, found {values!r:.80}")
    return members


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Splits a task's name into job, occurrence, step and index.

    Returns:
        The parts; `None` if the name is malformed.
    """
    parts = name.split(".")
    if len(parts) != 4 or not all(map(_is_index, parts[1:])):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def _is_index(text: str) -> bool:
    # `int` raises for superscripts and for thousands of digits, which
    # `isdigit` accepts.
    return text.isascii() and text.isdigit() and len(text) <= MAX_INDEX_DIGITS

"""A job with its tasks, and its row in the store."""

import json
import zlib

import attrs

from baobabdoor.scheduling import _types

ROW_FORMAT = 1
# Rows are written often and hold much repeated text; level 1 halves them.
COMPRESSION_LEVEL = 1
# Fields with these values are left out of a row.
_STEP_DEFAULTS = attrs.asdict(_types.StepSpec(task_count=0))


@attrs.define(eq=False)
class Run:
    """A start of a task on a worker.

    Attributes:
        task: The task.
        run_id: Number of the run.
        worker_id: Worker it was sent to.
        started_s: When the order was sent.
        confirmed: Whether the worker said that it runs.
        clock_ms: The worker's clock when it confirmed.
        stopping: Whether the run is to end.
        doubtful: Whether the start had no answer.
        stop_clock_ms: The worker's clock when it took the stop.
        order_pending: Whether an order for this run awaits its answer.
        percent: Progress; 100 for a lasting task at work.
        progressed_s: When the progress last changed.
        gauge: The worker's rough figure for the run.
        pace: Share at which it works, in percent.
        paced_s: When a change of it was last ordered.
        stop_sent_s: When a stop was last ordered.
    """

    task: "Task"
    run_id: int
    worker_id: str
    started_s: float
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
    paced_s: float = -1e9


@attrs.define(eq=False)
class Task:
    """One task of a step of an occurrence.

    Attributes:
        job: Its job.
        occurrence: Number of the occurrence.
        step: Index of the step.
        index: Index within the step.
        failed_runs: Numbers of the runs that ended as failed.
        done: Whether a run ended as done.
        run: The run that may exist; `None` if there is certainly none.
        last_run: Highest run number used.
        checkpoint: Saved progress; empty for none.
        retry_at_s: Earliest next start.
        avoided: Workers on which it failed.
        inherited: Whether a run of an earlier tenure may exist unseen.
    """

    job: "Job"
    occurrence: int
    step: int
    index: int
    failed_runs: frozenset[int] = frozenset()
    done: bool = False
    run: Run | None = None
    last_run: int = 0
    checkpoint: str = ""
    retry_at_s: float = 0.0
    avoided_workers: frozenset[str] = frozenset()
    inherited: bool = False

    @property
    def failures(self) -> int:
        """How many runs ended as failed."""
        return len(self.failed_runs)

    @property
    def spec(self) -> _types.StepSpec:
        """The step that the task belongs to."""
        return self.job.spec.steps[self.step]

    @property
    def name(self) -> str:
        """Name of the task at the workers."""
        return f"{self.step_name}.{self.index}"

    @property
    def step_name(self) -> str:
        """Name of the task's step at the workers and the advice service."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.step}"


class Job:
    """A job that a caller handed in.

    Args:
        spec: What was asked for.
        submitted_ms: When, on the store's clock.
    """

    def __init__(self, spec: _types.JobSpec, submitted_ms: float):
        self.spec = spec
        self.submitted_ms = submitted_ms
        self.state = _types.JobState.QUEUED
        # State as stored; what callers are shown.
        self.stored_state: _types.JobState | None = None
        self.ended_ms = 0.0
        self.row_version = 0
        self.changed_revision = 0
        self.saved_revision = 0
        self.first_unsaved_revision = 0
        self.started = False
        # Whether it was expected to meet its objective when it came.
        self.timely = True
        self.reason = ""
        # Tasks by occurrence and step.
        self.steps: dict[tuple[int, int], list[Task]] = {}
        for occurrence in range(max(1, spec.repeat_count)):
            for number, step in enumerate(spec.steps):
                self.steps[occurrence, number] = [
                    Task(self, occurrence, number, index)
                    for index in range(step.task_count)
                ]
        self.remaining = {key: len(tasks) for key, tasks in self.steps.items()}
        # Latency objective and longest chain left, in seconds, and the time
        # on the store's clock until which they hold.
        self.timing_estimate: tuple[float, float, float] = (0.0, 0.0, -1e18)

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self.state in _types.FINAL_STATES

    @property
    def dirty(self) -> bool:
        """Whether there are changes that the store has not confirmed."""
        return self.changed_revision > self.saved_revision

    def tasks(self):
        """Yields all tasks."""
        for tasks in self.steps.values():
            yield from tasks

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all earlier steps that it needs are done."""
        return all(
            not self.remaining[occurrence, earlier]
            for earlier in self.spec.steps[step].after
        )

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Returns a task by its numbers."""
        tasks = self.steps.get((occurrence, step))
        if tasks is None or not 0 <= index < len(tasks):
            return None
        return tasks[index]

    def complete_task(self, task: Task) -> None:
        """Notes that a task is done, and the job if it was the last."""
        if task.done:
            return
        task.done = True
        self.remaining[task.occurrence, task.step] -= 1
        if not self.remaining[task.occurrence, task.step]:
            self.timing_estimate = (0.0, 0.0, -1e18)
        if not any(self.remaining.values()):
            self.state = _types.JobState.COMPLETED

    def encode(self) -> bytes:
        """Returns the content of the job's row."""
        content = {
            "format": ROW_FORMAT,
            "queue": self.spec.queue,
            "state": self.state.value,
            "submitted_ms": round(self.submitted_ms),
        }
        # The payload and the steps of an ended job are not needed any more.
        if self.final:
            content["ended_ms"] = round(self.ended_ms)
            content["reason"] = self.reason
        else:
            content["payload"] = self.spec.payload
            content["steps"] = [_encode_step(step) for step in self.spec.steps]
            content |= self._encode_progress()
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
        failures = {
            f"{task.occurrence}.{task.step}.{task.index}": sorted(
                task.failed_runs
            )
            for task in self.tasks()
            if task.failed_runs and not task.done
        }
        if failures:
            progress["failures"] = failures
        return progress


def _encode_step(step: _types.StepSpec) -> dict:
    return {
        name: value
        for name, value in attrs.asdict(step).items()
        if value != _STEP_DEFAULTS[name]
    }


def decode_job(job_id: str, value: bytes, version: int) -> Job:
    """Builds a job from its row.

    Raises:
        ValueError: If the row was not written by this program.
    """
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
        job_id, content["queue"], content.get("payload", ""), steps, *schedule
    )
    job = Job(spec, content["submitted_ms"])
    job.row_version = version
    _restore_progress(job, content)
    job.state = _types.JobState(content["state"])
    job.stored_state = job.state
    job.ended_ms = content.get("ended_ms", 0)
    job.reason = content.get("reason", "")
    job.started = job.state is not _types.JobState.QUEUED
    return job


def _restore_progress(job: Job, content: dict) -> None:
    for key, bits in content.get("done", {}).items():
        occurrence, step = map(int, key.split("."))
        mask = int(bits, 16)
        for task in job.steps[occurrence, step]:
            if mask >> task.index & 1:
                job.complete_task(task)
    for key, run_ids in content.get("failures", {}).items():
        task = job.find_task(*map(int, key.split(".")))
        task.failed_runs = frozenset(run_ids)


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Splits a task's name into job, occurrence, step and index."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])

"""Jobs, job states and their representation in the platform's table."""

import enum
import math
import re
from typing import Any

import attrs

from baobabdoor import base

JOB_PREFIX = "job/"
ID_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
STEP = "jobs.parse"


class JobState(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    # Being checkpointed or stopped. In memory only; the row is still `running`.
    ENDING = "ending"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    PARKED = "parked"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL_STATES

    @property
    def placed(self) -> bool:
        """Whether the job uses resources of a worker."""
        return self in _PLACED_STATES


_PLACED_STATES = frozenset(
    {JobState.STARTING, JobState.RUNNING, JobState.ENDING}
)
_FINAL_STATES = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.PARKED,
        JobState.CANCELLED,
    }
)


@attrs.frozen
class JobSpec:
    """Specification of a job, as submitted by a team.

    Attributes:
        job_id: Identifier chosen by the submitter.
        team: Team whose quota the job uses.
        pool: Pool whose workers run it.
        kind: Kind of job; jobs of one kind need similar resources.
        urgency: 0 is the most urgent, 7 the least. Default: 3.
        cores: Declared processor cores. Default: 1.
        memory_gb: Declared memory in GB. Default: 1.
        accelerators: Accelerators. Default: 0.
        run_s: Declared run time in seconds. Default: 60.
        idempotent: Whether the job may be started again after a start with an
            unknown result. Default: False.
    """

    job_id: str
    team: str
    pool: str
    kind: str
    urgency: int = 3
    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_s: float = 60.0
    idempotent: bool = False


@attrs.frozen
class Job:
    """A job and its state.

    Attributes:
        spec: Specification of the job.
        state: State of the job.
        version: Version of its row.
        attempt: Number of the attempt, which is part of the task identifier.
        worker_id: Worker of the attempt; empty while queued.
        cancel: Whether cancellation was requested.
        throttled: Whether the task is limited to a share of its cores.
        reason: Why the job is parked, failed or requeued.
        failed_workers: Distinct workers on which an attempt failed.
        submitted_ms: Wall time of acceptance in milliseconds.
        state_since_ms: Wall time of the last change of state.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    version: int = 0
    attempt: int = 0
    worker_id: str = ""
    cancel: bool = False
    throttled: bool = False
    reason: str = ""
    failed_workers: tuple[str, ...] = ()
    submitted_ms: int = 0
    state_since_ms: int = 0

    @property
    def task_id(self) -> str:
        """Identifier of the task that runs this attempt on the platform."""
        return f"{self.spec.job_id}.{self.attempt}"

    @property
    def key(self) -> str:
        """Key of the job's row."""
        return JOB_PREFIX + self.spec.job_id

    def to_row(self) -> dict[str, Any]:
        """Returns the value of the job's row."""
        value = attrs.asdict(self)
        value["state"] = self.state.value
        value["failed_workers"] = list(self.failed_workers)
        del value["version"]
        return value

    @classmethod
    def from_row(cls, value: dict[str, Any], version: int) -> "Job":
        """Creates a job from the value and version of its row."""
        fields = dict(value)
        fields["spec"] = JobSpec(**fields["spec"])
        fields["state"] = JobState(fields["state"])
        fields["failed_workers"] = tuple(fields["failed_workers"])
        return cls(version=version, **fields)

    def describe(self) -> dict[str, Any]:
        """Returns the representation for submitters."""
        return {
            "job_id": self.spec.job_id,
            "team": self.spec.team,
            "pool": self.spec.pool,
            "state": self.state.value,
            "attempt": self.attempt,
            "worker": self.worker_id,
            "cancel_requested": self.cancel,
            "reason": self.reason,
        }


def parse_spec(body: Any) -> JobSpec | base.Refusal:
    """Validates a submission.

    Returns:
        The specification, or a refusal that names the invalid field, the
        expected value and the one found.
    """
    if not isinstance(body, dict):
        return _refuse("body", "a JSON object", body)
    known = {field.name: field for field in attrs.fields(JobSpec)}
    for name in body:
        if name not in known:
            return _refuse(str(name), "a known field", name)
    for name, field in known.items():
        if name not in body and field.default is attrs.NOTHING:
            return _refuse(name, "a value", None)
    for name, value in body.items():
        accepts, expected = _CHECKS[name]
        if not accepts(value):
            return _refuse(name, expected, value)
    return JobSpec(**body)


def _refuse(field: str, expected: str, found: Any) -> base.Refusal:
    shown = repr(found)[:80]
    detail = f"{field}: expected {expected}, found {shown}"
    return base.Refusal(base.Reason.BAD_REQUEST, STEP, detail=detail)


def _is_number(low: float, high: float, value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and low <= value <= high


def _is_integer(low: int, high: int, value: Any) -> bool:
    return _is_number(low, high, value) and isinstance(value, int)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))


MAX_CORES = 1024
MAX_MEMORY_GB = 65_536
MAX_RUN_S = 30 * 24 * 3600

_NAME_TEXT = "a name of lower-case letters, digits and hyphens"
_CHECKS = {
    "job_id": (
        lambda value: isinstance(value, str)
        and bool(ID_PATTERN.fullmatch(value)),
        "8 to 64 letters, digits and hyphens",
    ),
    "team": (_is_name, _NAME_TEXT),
    "pool": (_is_name, _NAME_TEXT),
    "kind": (_is_name, _NAME_TEXT),
    "urgency": (
        lambda value: _is_integer(0, 7, value),
        "an integer from 0 to 7",
    ),
    "cores": (
        lambda value: _is_number(0.01, MAX_CORES, value),
        f"a number of cores from 0.01 to {MAX_CORES}",
    ),
    "memory_gb": (
        lambda value: _is_number(0.01, MAX_MEMORY_GB, value),
        f"a number of GB from 0.01 to {MAX_MEMORY_GB}",
    ),
    "accelerators": (
        lambda value: _is_integer(0, MAX_CORES, value),
        f"an integer from 0 to {MAX_CORES}",
    ),
    "run_s": (
        lambda value: _is_number(0.01, MAX_RUN_S, value),
        f"a number of seconds from 0.01 to {MAX_RUN_S}",
    ),
    "idempotent": (
        lambda value: isinstance(value, bool),
        "true or false",
    ),
}

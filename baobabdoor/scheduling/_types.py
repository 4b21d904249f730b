"""Data types of batch jobs, workers, machines and order results."""

import enum
import functools
from typing import NamedTuple

import attrs

from baobabdoor import customers


class JobState(enum.Enum):
    """State of a job as shown to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


@attrs.frozen
class StepSpec:
    """A step of a job: a number of identical tasks.

    Attributes:
        task_count: Number of tasks.
        cpu_milli: CPU request of a task, in thousandths of a core.
        memory_mb: Memory request of a task, in MB.
        gpus: Accelerators of a task.
        estimate_ms: Caller's estimate of a task's duration in milliseconds.
        after: Indices of the steps that must be done first.
        checkpointing: Whether tasks write checkpoints.
        gang: Whether all tasks must run at the same time.
        rack_sensitive: Whether the tasks of a gang run more slowly on several
            racks than on one.
        required_label: Label that a worker must have; empty for none.
        data_rack: Preferred rack, which holds the data; empty for none.
        max_per_worker: Maximum tasks of the step on one worker; 0 for no
            limit.
        speculative: Whether duplicate runs of a task are allowed.
        long_running: Whether tasks run until the job is cancelled.
        image: Name of the image that the tasks run.
        target_ms: Tail latency target of a serving task; 0 for none.
        fills: Whether tasks are best-effort: they reserve no CPU and use
            what other tasks leave idle.
        max_unavailable: Maximum tasks that the scheduler may make unavailable
            at once; `None` for no limit.
    """

    task_count: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 1000
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int | None = None

    @functools.cached_property
    def resources(self) -> tuple[int, int, int]:
        """CPU, memory and accelerators that a task takes from a worker."""
        cpu_milli = 0 if self.fills else self.cpu_milli
        return cpu_milli, self.memory_mb, self.gpus


@attrs.frozen
class JobSpec:
    """A job as submitted by a caller.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: Name of the queue.
        payload: Opaque text passed to every task.
        steps: The steps.
        repeat_count: Number of occurrences; 0 for an unscheduled job.
        start_at_ms: Unix time of the first occurrence in milliseconds.
        interval_ms: Time between occurrences in milliseconds.
        customer: Customer that submitted it; empty for none.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    customer: str = ""

    @functools.cached_property
    def long_running(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@attrs.frozen
class AdvicePolicy:
    """Response time of the advice service for a queue.

    Attributes:
        decide_ms: Fixed part of the response time.
        per_worker_ms: Additional time for each worker in the request.
        valid_ms: Time for which a ticket is valid.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: float


@attrs.frozen
class Queue:
    """A queue of jobs, as configured.

    Attributes:
        name: Name of the queue.
        host: Host name that callers use, in lower case.
        path_prefix: Prefix of the path that callers use.
        pool: Pool whose workers run its tasks.
        priority: Priority; 0 is the highest.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Part of the latency objective that is proportional to the
            critical path, as a factor.
        target_ms: Fixed part of the latency objective.
        timeout_ms: Timeout of a request.
        advice: Policy of the advice service; `None` if any worker may run
            the tasks.
        public: Whether its callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 2.0
    target_ms: float = 1000.0
    timeout_ms: float = 3000.0
    advice: AdvicePolicy | None = None
    public: bool = False


@attrs.frozen
class PoolSettings:
    """A pool of workers, as configured.

    Attributes:
        name: Name of the pool.
        enforces_capacity: Whether its workers reject tasks that do not fit.
        standby: Whether its machines are powered off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@attrs.frozen
class RequestLimits:
    """Limits of callers' requests, as configured.

    Attributes:
        header_bytes: Maximum size of a request's header.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Time in which a header must be complete.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1024 * 1024
    header_timeout_s: float = 60.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class Configuration:
    """The active configuration.

    Attributes:
        version: Version; increases with every change.
        queues: Queues by name.
        pools: Pools by name.
        customer_directory: Customers; `None` if callers need no API key.
        limits: Limits of callers' requests.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, PoolSettings]
    customer_directory: customers.CustomerDirectory | None = None
    limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of the path."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@attrs.frozen
class WorkerRecord:
    """A worker's entry in the platform's list.

    Attributes:
        worker_id: Identifier of the worker.
        address: `ip:port` of its server.
        pool: Pool of the worker.
        zone: Availability zone.
        machine: Machine that it runs on; empty if unknown.
        draining: Whether it is about to shut down.
        start_time_ms: Unix time of its start in milliseconds; 0 if unknown.
        cpu_milli: CPU capacity in thousandths of a core.
        memory_mb: Memory capacity in MB.
        gpus: Number of accelerators.
        labels: Labels, including the rack.
    """

    worker_id: str
    address: str
    pool: str
    zone: str
    machine: str
    draining: bool
    start_time_ms: int
    cpu_milli: int
    memory_mb: int
    gpus: int
    labels: frozenset[str]


class RunEntry(NamedTuple):
    """An active run in a worker's report.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        checkpoint: Latest checkpoint; empty for none.
        percent: Progress; 100 for a `long_running` task that is ready.
        gauge: Approximate tail latency of a serving task in milliseconds;
            for any other task, its CPU use in thousandths of a core.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: float
    gauge: float


class EndEntry(NamedTuple):
    """An ended run in a worker's report.

    Attributes:
        number: Sequence number among the ended runs of the worker.
        task: Name of the task.
        run_id: Number of the run.
        outcome: `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`.
        checkpoint: Last checkpoint; empty for none.
    """

    number: int
    task: str
    run_id: int
    outcome: str
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's response to a hold request.

    Attributes:
        clock_ms: The worker's monotonic clock.
        start_time_ms: Unix time of its start; 0 if unknown.
        running: Active runs.
        ended: Ended runs that were not acknowledged, the oldest first.
        lists_all_ends: Whether `ended` has all of them. Otherwise it has those
            with the lowest numbers.
    """

    clock_ms: int
    start_time_ms: int
    running: tuple[RunEntry, ...]
    ended: tuple[EndEntry, ...]
    lists_all_ends: bool = True


class OrderOutcome(enum.Enum):
    """Outcome of an order to a worker."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED_RUN = "outdated-run"
    EXPIRED = "expired"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    WRONG_WORKER = "wrong-worker"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    UNKNOWN = "unknown"
    NOT_SENT = "not-sent"
    WITHHELD = "withheld"


@attrs.frozen
class OrderResult:
    """Result of an order to a worker.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: The worker's monotonic clock; `None` without a response.
        detail: Details for the log.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    detail: str = ""


class MachineState(enum.Enum):
    """State of a machine in the platform's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@attrs.frozen
class MachineRecord:
    """A machine's entry in the platform's list.

    Attributes:
        machine: Name of the machine.
        pool: Pool of the machine.
        state: State of the machine.
        zone: Availability zone.
        worker_id: Worker on the machine; empty for none.
    """

    machine: str
    pool: str
    state: MachineState
    zone: str
    worker_id: str


@attrs.frozen
class Wave:
    """An operator's request to take machines down for maintenance.

    Attributes:
        number: Number of the wave.
        machines: Machines that need maintenance.
        duration_s: Time in which all should be done.
        maximum: Maximum machines down at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    maximum: int

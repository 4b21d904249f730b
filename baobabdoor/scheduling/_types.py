"""Types of batch jobs, their workers and the orders for them."""

import enum
import functools
from typing import NamedTuple

import attrs


class JobState(enum.Enum):
    """State of a job as its caller sees it."""

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
    """One step of a job: tasks of one kind.

    Attributes:
        task_count: Number of tasks.
        cpu_milli: Processor request of a task, in thousandths of a core.
        memory_mb: Memory request of a task, in MB.
        gpus: Accelerators of a task.
        estimate_ms: Rough duration of a task in milliseconds.
        after: Indices of earlier steps that must be done first.
        checkpointing: Whether tasks save their progress.
        gang: Whether all tasks work only together.
        rack_sensitive: Whether a gang should be on one rack.
        required_label: Label that the worker must have; empty for any.
        data_rack: Rack of the data; empty if any will do.
        max_per_worker: Most tasks of the step on one worker; 0 for no limit.
        speculative: Whether copies may run in parallel.
        long_running: Whether tasks run until the job is cancelled.
        image: Name of what the tasks run.
        target_ms: Limit of a serving task's tail latency; 0 for none.
        fills: Whether tasks use only processor time that others leave.
        max_unavailable: Tasks that the system may have away at once; `None`
            for no limit.
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


@attrs.frozen
class JobSpec:
    """What a caller asks for.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: Name of the queue.
        payload: Opaque text handed to every task.
        steps: The steps.
        repeat_count: Number of occurrences; 0 for a job without a schedule.
        start_at_ms: Unix time of the first occurrence in milliseconds.
        interval_ms: Time between occurrences in milliseconds.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @functools.cached_property
    def long_running(self) -> bool:
        """Whether any step lasts until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@attrs.frozen
class AdvicePolicy:
    """Cost of asking which workers may run a step.

    Attributes:
        decide_ms: Fixed part of an answer's time.
        per_worker_ms: Part for each worker named.
        valid_ms: Validity of a ticket.
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
        priority: 0 comes first.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Factor of the latency objective.
        target_ms: Fixed part of the latency objective.
        timeout_ms: Longest time for one request.
        advice: Policy on workers; `None` if any worker may run its tasks.
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


@attrs.frozen
class PoolSettings:
    """A pool of workers, as configured.

    Attributes:
        name: Name of the pool.
        enforces_capacity: Whether its workers reject what does not fit.
        standby: Whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@attrs.frozen
class Configuration:
    """The configuration in force.

    Attributes:
        version: Only grows.
        queues: Queues by name.
        pools: Pools by name.
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, PoolSettings]

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
    """What a worker says of itself in the platform's list.

    Attributes:
        worker_id: Identifier of the worker.
        address: `ip:port` of its server.
        pool: Pool it belongs to.
        zone: Availability zone.
        machine: Machine it is a life of; empty if not said.
        draining: Whether it is about to leave.
        start_time_ms: Unix time of its start in milliseconds; 0 if not said.
        cpu_milli: Processor capacity in thousandths of a core.
        memory_mb: Memory capacity.
        gpus: Accelerators.
        labels: Labels, its rack among them.
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
    """A run that a worker reports as running.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        checkpoint: Latest saved progress; empty for none.
        percent: Progress; 100 for a lasting task that is at work.
        gauge: Tail latency in milliseconds of a serving task, else the
            processor use in thousandths of a core; rough.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: float
    gauge: float


class EndEntry(NamedTuple):
    """A run that a worker reports as ended.

    Attributes:
        number: Position in the worker's list of ends.
        task: Name of the task.
        run_id: Number of the run.
        outcome: `done`, `failed`, `stopped`, `lapsed`, `broken` or `alone`.
        checkpoint: Saved progress; empty for none.
    """

    number: int
    task: str
    run_id: int
    outcome: str
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's answer to a hold.

    Attributes:
        clock_ms: The worker's own steady clock.
        start_time_ms: Unix time of its start; 0 if not said.
        running: Runs on the worker.
        ended: Ends that were not acknowledged.
    """

    clock_ms: int
    start_time_ms: int
    running: tuple[RunEntry, ...]
    ended: tuple[EndEntry, ...]


class OrderOutcome(enum.Enum):
    """Result of an order to a worker."""

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
    """Result of an order, with the worker's clock where it answered.

    Attributes:
        outcome: What became of the order.
        clock_ms: The worker's clock; `None` without an answer.
        detail: Text for logs.
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
    """A machine as the platform lists it.

    Attributes:
        machine: Name of the machine.
        pool: Pool it belongs to.
        state: Its state.
        zone: Availability zone.
        worker_id: Worker on it; empty for none.
    """

    machine: str
    pool: str
    state: MachineState
    zone: str
    worker_id: str


@attrs.frozen
class Wave:
    """A request for the upkeep of machines.

    Attributes:
        number: Number of the wave.
        machines: Machines that are due.
        duration_s: Time in which all are to be served.
        maximum: Most machines down at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    maximum: int

"""Data types of the platform API."""

import enum
from typing import Any

import attrs

from baobabdoor import base


@attrs.frozen
class Row:
    """One row of the table.

    Attributes:
        key: Key of the row.
        version: Number of writes to the key; 0 if never written. A deletion
            also increments it, so that a version never recurs.
        value: The value; None if the row is absent.
    """

    key: str
    version: int
    value: dict[str, Any] | None


@attrs.frozen
class Condition:
    """Precondition of a transaction: the row still has this version.

    Attributes:
        key: Key of the row.
        version: Expected version; 0 if never written.
    """

    key: str
    version: int


@attrs.frozen
class Write:
    """Sets a row, or deletes it if `value` is None."""

    key: str
    value: dict[str, Any] | None


@attrs.frozen
class Committed:
    """The transaction was committed.

    Attributes:
        versions: New version of each written key.
    """

    versions: dict[str, int]


@attrs.frozen
class Conflict:
    """A condition of the transaction failed; no write was applied.

    Attributes:
        row: Current row of the first failed condition.
    """

    row: Row

    def __bool__(self) -> bool:
        return False


@attrs.frozen
class Unknown:
    """A change was sent but not confirmed; it may be applied now or later.

    Attributes:
        refusal: Why no valid response was received.
    """

    refusal: base.Refusal

    def __bool__(self) -> bool:
        return False


# A `Refusal` means that the transaction was certainly not applied.
TransactionResult = Committed | Conflict | Unknown | base.Refusal


class VmListState(enum.Enum):
    """State of a VM in the eventually consistent list of the platform."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "terminated"


@attrs.frozen
class VmRecord:
    """One VM of the platform's eventually consistent list.

    Attributes:
        vm_id: Identifier of the VM.
        address: IP address and port of its server, as `host:port`.
        state: State of the boot `boot_id`.
        boot_id: Identifier of the boot.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        idle: Whether a draining VM has finished all its work.
        pool_hint: Pool that the VM was created for; empty for VMs that are not
            workers. Used only until the VM has a row in the table.
    """

    vm_id: str
    address: str
    state: VmListState
    boot_id: str
    availability_zone: str
    rack: str
    idle: bool = False
    pool_hint: str = ""


@attrs.frozen
class VmListChanges:
    """Changes of the list of VMs since an earlier version.

    The complete list of 3,500 VMs takes about 0.7 MB, too much for a poll every
    2 s.

    Attributes:
        version: Version of the list after these changes.
        complete: Whether `records` is the complete list, as for a client
            without a version or with a version of another list.
        records: New and changed records.
    """

    version: str
    complete: bool
    records: list[VmRecord]


@attrs.frozen
class TaskSpec:
    """Resources and limits of a task.

    Attributes:
        job_id: Job that the task belongs to.
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
        run_s: Declared run time in seconds.
        lease_s: Duration of the lease; the task stops when it expires.
    """

    job_id: str
    cores: float
    memory_gb: float
    accelerators: int = 0
    run_s: float = 1.0
    lease_s: float = 30.0


class TaskState(enum.Enum):
    """State of a task."""

    NEVER_STARTED = "never-started"
    FORBIDDEN = "forbidden"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    SUCCEEDED = "succeeded"
    FAILED = "failed"


@attrs.frozen
class TaskRecord:
    """State of a task on the platform.

    Attributes:
        task_id: Identifier of the task.
        worker_id: VM of the task; empty if it never started.
        state: State of the task.
        detail: Reason of a failure.
    """

    task_id: str
    worker_id: str
    state: TaskState
    detail: str = ""


@attrs.frozen
class TaskUsage:
    """Measured resource usage of a task, delayed by some seconds.

    Attributes:
        task_id: Identifier of the task.
        cores: Processor cores in use.
        memory_gb: Memory in use in GB.
        accelerators: Accelerators in use.
    """

    task_id: str
    cores: float
    memory_gb: float
    accelerators: float


@attrs.frozen
class AlreadyStarted:
    """The task was not forbidden because it has already started.

    Attributes:
        task: Current record of the task.
    """

    task: TaskRecord

    def __bool__(self) -> bool:
        return False

"""State of simulated backend servers: slots, connections, runs and faults."""

import asyncio
import collections
import enum
from typing import Any

import attrs

# Bounds the memory of run counters during long load tests.
MAX_TRACKED_KEYS = 200_000
ALL = -1


class BackendFault(enum.Enum):
    """Kinds of faults in the handling of a request."""

    LATE = "late"
    SLOW_BODY = "slow-body"
    TRUNCATED = "truncated"
    FAILING = "failing"
    CLOSE_BEFORE = "close-before"
    CLOSE_AFTER = "close-after"
    REFUSING = "refusing"
    WRONG_LENGTH = "wrong-length"


@attrs.define
class FaultPlan:
    """A fault that affects the next requests to a server.

    Attributes:
        kind: Kind of the fault.
        count: Number of affected requests; -1 for all.
        delay_s: Delay of late responses and slow bodies in seconds.
    """

    kind: BackendFault = attrs.field(converter=BackendFault)
    count: int = attrs.field(
        default=ALL,
        validator=[
            attrs.validators.instance_of(int),
            attrs.validators.ge(ALL),
        ],
    )
    delay_s: float = attrs.field(
        default=1.0,
        validator=[
            attrs.validators.instance_of((int, float)),
            attrs.validators.ge(0),
        ],
    )


class RunCounter:
    """Counts runs by key and evicts the oldest keys.

    Args:
        max_keys: Maximum number of tracked keys. Default: 200,000.
    """

    def __init__(self, max_keys: int = MAX_TRACKED_KEYS):
        self.max_keys = max_keys
        self.runs_: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def add(self, key: str) -> int:
        """Counts a run and returns the number of runs of the key."""
        self.runs_[key] = self.runs_.get(key, 0) + 1
        if len(self.runs_) > self.max_keys:
            self.runs_.popitem(last=False)
        return self.runs_[key]

    def get(self, key: str) -> int:
        """Returns the number of runs of a key."""
        return self.runs_.get(key, 0)

    def repeated(self) -> dict[str, int]:
        """Returns the keys that ran more than once."""
        return {key: runs for key, runs in self.runs_.items() if runs > 1}


class BackendVm:
    """One simulated backend server.

    Args:
        vm_id: Identifier of its VM.
        address: Listen address as `host:port`.
        pool: Pool that its VM was created for.
        slots: Maximum number of concurrent requests; further ones wait.
        max_connections: Maximum number of open connections; further ones are
            closed.

    Attributes:
        connections: Number of open connections.
        peak_connections: Largest number of open connections so far.
        refused_connections: Number of connections closed because of the limit.
        waiting: Number of requests that wait for a slot.
        running: Number of requests that hold a slot.
        runs: Number of requests run so far.
        cut_off: Number of requests that were running or waiting when the VM
            went down.
        last_arrival_s: Monotonic time of the last request; 0 if none.
        fault: Active fault, or None.
    """

    def __init__(
        self,
        vm_id: str,
        address: str,
        pool: str,
        slots: int = 8,
        max_connections: int = 64,
    ):
        self.vm_id = vm_id
        self.address = address
        self.pool = pool
        self.slots = slots
        self.max_connections = max_connections
        self.connections = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self.waiting = 0
        self.running = 0
        self.runs = 0
        self.cut_off = 0
        self.last_arrival_s = 0.0
        self.fault: FaultPlan | None = None
        self.free_slots_ = asyncio.Semaphore(slots)

    @property
    def in_progress(self) -> int:
        """Number of received requests without a response."""
        return self.waiting + self.running

    def open_connection(self) -> bool:
        """Counts a new connection; returns False above the limit."""
        if self.connections >= self.max_connections:
            self.refused_connections += 1
            return False
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        return True

    def close_connection(self) -> None:
        """Counts a closed connection."""
        self.connections -= 1

    async def acquire_slot(self) -> None:
        """Waits for a free slot; slots are granted in order of arrival."""
        self.waiting += 1
        try:
            await self.free_slots_.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    def release_slot(self) -> None:
        """Releases a slot."""
        self.running -= 1
        self.free_slots_.release()

    def consume_fault(self) -> FaultPlan | None:
        """Returns the fault for a new request and decrements its count."""
        plan = self.fault
        if plan is None:
            return None
        if plan.count > 0:
            plan.count -= 1
        if plan.count == 0:
            self.fault = None
        return plan

    def describe(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        fields = (
            "vm_id",
            "address",
            "pool",
            "slots",
            "max_connections",
            "connections",
            "peak_connections",
            "refused_connections",
            "waiting",
            "running",
            "runs",
            "cut_off",
            "last_arrival_s",
        )
        state = {name: getattr(self, name) for name in fields}
        state["fault"] = self.fault.kind.value if self.fault else ""
        return state

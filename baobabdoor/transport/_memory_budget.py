"""Accounting of the memory of connections and choice of those to close."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import enum
import math

import attrs

MEGABYTE = 1024 * 1024
# Resident memory of an idle process: 29 to 41 MB measured.
PROCESS_BYTES = 42 * MEGABYTE
# Share of the remaining memory that connections and requests may use. The rest
# is for the leader, which has up to 70 MB at 300 machines, for the copies that
# handlers make, for fragmentation, and for bytes in the kernel.
NETWORK_SHARE = 0.43
# Share of it that the jobs of a leader may use, and the smallest such part.
JOB_SHARE = 0.35
MIN_JOB_BYTES = 4 * MEGABYTE
# Smallest such part, so that a process with too little memory still serves.
MIN_NETWORK_BYTES = 6 * MEGABYTE
# Parts of it: bodies of callers, connections of callers, other daemons, and the
# addresses of metrics and readiness.
CALLER_BODY_SHARE = 0.4
CALLER_CONNECTION_SHARE = 0.35
PEER_SHARE = 0.2
PROBE_SHARE = 0.05
# Smallest budget for calls between daemons: holds one forwarded request of the
# maximum size.
MIN_PEER_BYTES = 4 * MEGABYTE
# Memory that a connection costs by itself: 9 to 11 KB measured in the process,
# and bytes that the kernel has received for it.
CONNECTION_BYTES = 24 * 1024
# Descriptors for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors. What is left is for the daemon's own
# connections, to the store, workers, other daemons and the machine service.
CALLER_DESCRIPTOR_SHARE = 0.4
PEER_DESCRIPTOR_SHARE = 0.15
MAX_PROBES = 32
MIN_CONNECTIONS = 8
# Bodies that handlers hold at a time, relative to the budget. A handler keeps
# up to about 15 copies of a caller's body: a forwarded body is escaped text.
CALLER_HANDLED_SHARE = 1 / 16
# The same for calls between daemons, which are only decoded.
PEER_HANDLED_SHARE = 1 / 2
# Share of a budget that idle connections may hold before they are closed in
# preference to unfinished requests.
IDLE_SHARE = 1 / 4


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    HANDLING = "handling"
    WRITING = "writing"


@attrs.frozen
class Bounds:
    """Bounds of one server.

    Attributes:
        request_bytes: Maximum memory of unfinished and unanswered requests.
        connections: Maximum number of open connections.
        handled_bytes: Maximum size of the bodies that handlers hold.
        connection_bytes: Memory that each connection is charged in addition to
            its request, until nothing refers to it. Default: 0.
    """

    request_bytes: int
    connections: int
    handled_bytes: int
    connection_bytes: int = 0


@attrs.frozen
class ProcessBounds:
    """Division of a process's memory and descriptors among its servers.

    Attributes:
        callers: Bounds of the callers' address.
        peers: Bounds of the address for calls between daemons.
        probes: Bounds of each of the addresses of metrics and readiness.
        idle_client_connections: Maximum number of idle connections to others.
        job_bytes: Maximum memory of the jobs that a leader has accepted.
    """

    callers: Bounds
    peers: Bounds
    probes: Bounds
    idle_client_connections: int
    job_bytes: int


def divide(memory_mb: float, descriptors: int) -> ProcessBounds:
    """Divides the resources of a process.

    Args:
        memory_mb: Memory above which the process is ended, in MB.
        descriptors: Maximum number of open descriptors.

    Returns:
        The bounds of its servers, which do not depend on each other's use.

    Example:
        >>> divide(200, 4100).callers.connections
        1014
    """
    free_bytes = memory_mb * MEGABYTE - PROCESS_BYTES
    network_bytes = max(MIN_NETWORK_BYTES, NETWORK_SHARE * free_bytes)
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    own_share = 1 - CALLER_DESCRIPTOR_SHARE - PEER_DESCRIPTOR_SHARE
    return ProcessBounds(
        # The other half is for connections in use.
        idle_client_connections=int(sockets * own_share / 2),
        job_bytes=max(MIN_JOB_BYTES, int(JOB_SHARE * free_bytes)),
        callers=_bounds(
            network_bytes * CALLER_BODY_SHARE,
            network_bytes * CALLER_CONNECTION_SHARE / CONNECTION_BYTES,
            sockets * CALLER_DESCRIPTOR_SHARE,
            CALLER_HANDLED_SHARE,
        ),
        # Connections of other daemons cost less than they may, since each
        # daemon has few, so that only descriptors bound them.
        peers=_bounds(
            max(MIN_PEER_BYTES, network_bytes * PEER_SHARE),
            sockets,
            sockets * PEER_DESCRIPTOR_SHARE,
            PEER_HANDLED_SHARE,
        ),
        probes=_bounds(
            network_bytes * PROBE_SHARE / 2,
            MAX_PROBES,
            MAX_PROBES,
            PEER_HANDLED_SHARE,
        ),
    )


def _bounds(
    request_bytes: float,
    by_memory: float,
    by_number: float,
    handled_share: float,
) -> Bounds:
    connections = max(MIN_CONNECTIONS, int(min(by_memory, by_number)))
    handled_bytes = int(request_bytes * handled_share)
    return Bounds(int(request_bytes), connections, handled_bytes)


@attrs.define
class Usage:
    """What an open connection holds.

    Attributes:
        phase: What it waits for.
        since_s: Start of the phase.
        held_bytes: Memory of its unfinished request.
    """

    phase: Phase
    since_s: float
    held_bytes: int = 0


class MemoryPool:
    """Memory that the servers of a process share.

    Args:
        max_bytes: Maximum memory of all of them.

    Example:
        >>> pool = MemoryPool(10)
        >>> pool.charge(11)
        >>> pool.overdrawn()
        True
    """

    def __init__(self, max_bytes: float):
        self.max_bytes = max_bytes
        self.used_bytes_ = 0
        # Servers whose connections others may close.
        self.reclaimers_: list[Callable[[], bool]] = []

    def charge(self, count: int) -> None:
        """Adds bytes; a negative number releases them."""
        self.used_bytes_ += count

    def overdrawn(self) -> bool:
        """Returns whether more memory is in use than there is."""
        return self.used_bytes_ > self.max_bytes

    def add_reclaimer(self, reclaim: Callable[[], bool]) -> None:
        """Adds a function that frees memory and returns whether it did."""
        self.reclaimers_.append(reclaim)

    def reclaim(self, requester: Callable[[], bool]) -> bool:
        """Frees memory of another server than that of the requester."""
        return any(
            reclaim() for reclaim in self.reclaimers_ if reclaim != requester
        )


class MemoryBudget:
    """Accounts for the connections and requests of one server.

    Connections are any hashable objects. Those that wait for their client are
    kept in the order in which they started to wait, so that each choice takes
    constant time also with thousands of connections.

    Connections that have shown a valid credential are trusted: others are
    closed in preference to them.

    Args:
        bounds: Bounds of the server.
        pool: Memory that it shares with others. Default: unlimited.

    Example:
        >>> budget = MemoryBudget(Bounds(100, 8, 100))
        >>> budget.open("a", 0.0)
        >>> budget.charge("a", 50)
        >>> budget.overdrawn()
        False
    """

    def __init__(self, bounds: Bounds, pool: MemoryPool | None = None):
        self.bounds = bounds
        self.pool = pool or MemoryPool(math.inf)
        self.usages_: dict[Hashable, Usage] = {}
        # Connections that wait for their client, the longest first.
        self.waiting_: collections.OrderedDict = collections.OrderedDict()
        # Those of them whose request is unfinished or whose reply is charged.
        self.unfinished_: collections.OrderedDict = collections.OrderedDict()
        self.trusted_: set[Hashable] = set()
        # Connections that are closed, but still take memory.
        self.closing_: set[Hashable] = set()
        self.unfinished_bytes_ = 0
        self.handled_bytes_ = 0

    @property
    def held_bytes(self) -> int:
        """Memory of all connections and of their requests."""
        count = len(self.usages_) + len(self.closing_)
        connection_bytes = count * self.bounds.connection_bytes
        return self.unfinished_bytes_ + self.handled_bytes_ + connection_bytes

    def open(self, connection: Hashable, now_s: float) -> None:
        """Adds a connection, which is idle."""
        self.usages_[connection] = Usage(Phase.IDLE, now_s)
        self.waiting_[connection] = None
        self.pool.charge(self.bounds.connection_bytes)

    def close(self, connection: Hashable) -> None:
        """Closes a connection, which takes memory until `forget`.

        Its requests in handlers still count.
        """
        usage = self.usages_.pop(connection, None)
        if usage is not None:
            self.unfinished_bytes_ -= usage.held_bytes
            self.waiting_.pop(connection, None)
            self.unfinished_.pop(connection, None)
            self.trusted_.discard(connection)
            self.pool.charge(-usage.held_bytes)
            self.closing_.add(connection)

    def forget(self, connection: Hashable) -> None:
        """Observes that nothing refers to a closed connection any more."""
        self.close(connection)
        if connection in self.closing_:
            self.closing_.remove(connection)
            self.pool.charge(-self.bounds.connection_bytes)

    def trust(self, connection: Hashable) -> None:
        """Observes that a connection has shown a valid credential."""
        if connection in self.usages_:
            self.trusted_.add(connection)

    def enter(self, connection: Hashable, phase: Phase, now_s: float) -> None:
        """Observes that a connection waits for something else."""
        usage = self.usages_.get(connection)
        if usage is None:
            return
        usage.phase = phase
        usage.since_s = now_s
        self.waiting_.pop(connection, None)
        self.unfinished_.pop(connection, None)
        if phase is not Phase.HANDLING:
            self.waiting_[connection] = None
        if phase in (Phase.HEADER, Phase.BODY):
            self.unfinished_[connection] = None

    def phase(self, connection: Hashable) -> Phase | None:
        """Returns what a connection waits for; `None` if it is closed."""
        usage = self.usages_.get(connection)
        return usage.phase if usage else None

    def charge(self, connection: Hashable, count: int) -> None:
        """Adds bytes to a connection's unfinished request or unread reply."""
        usage = self.usages_.get(connection)
        if usage is not None:
            usage.held_bytes += count
            self.unfinished_bytes_ += count
            self.pool.charge(count)
            if usage.phase is Phase.WRITING:
                self.unfinished_[connection] = None

    def release(self, connection: Hashable) -> None:
        """Removes all bytes that a connection was charged."""
        usage = self.usages_.get(connection)
        if usage is not None and usage.held_bytes:
            self.charge(connection, -usage.held_bytes)

    def start_handling(self, connection: Hashable, now_s: float) -> int:
        """Observes that a request is complete.

        Returns:
            The memory of the request, which counts until `end_handling`, also
            if the connection is closed before.
        """
        self.enter(connection, Phase.HANDLING, now_s)
        usage = self.usages_.get(connection)
        if usage is None:
            return 0
        count, usage.held_bytes = usage.held_bytes, 0
        self.unfinished_bytes_ -= count
        self.handled_bytes_ += count
        return count

    def end_handling(self, count: int) -> None:
        """Releases the memory of a request."""
        self.handled_bytes_ -= count
        self.pool.charge(-count)

    def overdrawn(self) -> bool:
        """Returns whether more memory is held than may be."""
        return (
            self.held_bytes > self.bounds.request_bytes or self.pool.overdrawn()
        )

    def is_full(self) -> bool:
        """Returns whether no further connection may be opened."""
        return len(self.usages_) >= self.bounds.connections

    def longest_waiting(
        self, phases: frozenset[Phase] = frozenset(Phase)
    ) -> Hashable | None:
        """Returns the connection that waits for its client for longest.

        A trusted one only if there is no other.

        Args:
            phases: Phases in which it may be. Default: all.
        """
        trusted = None
        for connection in self.waiting_:
            if self.usages_[connection].phase not in phases:
                continue
            if connection not in self.trusted_:
                return connection
            trusted = trusted or connection
        return trusted

    def longest_unfinished(
        self, current: Hashable | None = None
    ) -> Hashable | None:
        """Returns the connection to close when memory is short.

        Of the connections that hold at least the average, it is the one that
        has waited for its client for longest: a small request is not closed
        in favour of large ones. A trusted connection is returned only if there
        is no other.

        Args:
            current: Connection that is not returned. Default: none.
        """
        candidates = self.unfinished_
        held_bytes = self.unfinished_bytes_
        if self.trusted_:
            untrusted = [c for c in candidates if c not in self.trusted_]
            candidates = untrusted or candidates
            held_bytes = sum(self.usages_[c].held_bytes for c in candidates)
        average = held_bytes / len(candidates) if candidates else 0
        for connection in candidates:
            usage = self.usages_[connection]
            if connection is not current and usage.held_bytes >= average:
                return connection
        return None

    def longest_idle(self) -> Hashable | None:
        """Returns the longest idle connection if they exceed their share."""
        idle_count = len(self.waiting_) - len(self.unfinished_)
        idle_bytes = idle_count * self.bounds.connection_bytes
        if idle_bytes <= IDLE_SHARE * self.bounds.request_bytes:
            return None
        for connection in self.waiting_:
            if (
                connection not in self.unfinished_
                and connection not in self.trusted_
            ):
                return connection
        return None

    def overdue(
        self, now_s: float, timeouts_s: dict[Phase, float]
    ) -> Iterator[tuple[Hashable, Phase]]:
        """Finds connections that have waited for too long.

        Args:
            now_s: Current time.
            timeouts_s: Maximum time in each phase.

        Yields:
            The connections, each with what it waits for.
        """
        shortest_s = min(timeouts_s.values())
        for connection in list(self.waiting_):
            usage = self.usages_[connection]
            if now_s - usage.since_s < shortest_s:
                break
            if now_s - usage.since_s >= timeouts_s[usage.phase]:
                yield connection, usage.phase

"""Settings classes of an entry process."""

import attrs

from baobabdoor.settings import _fields

# 128 bits in hexadecimal, the minimum for an HMAC-SHA256 key that withstands
# brute force.
MIN_KEY_LENGTH = 32
MAX_PORT = 65535
# A terabyte, so that an infinite value is refused.
MAX_MEMORY_MB = 1_048_576
# Descriptors of an idle entry, of files and of one connection of each kind.
MIN_DESCRIPTORS = 264
MAX_DESCRIPTORS = 1_048_576
MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 3600


@attrs.frozen(kw_only=True)
class Address:
    """An IP address and a TCP port.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str = _fields.ip_address()
    port: int = _fields.number(1, MAX_PORT)

    @property
    def url(self) -> str:
        """Base HTTP URL of the address."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http://{host}:{self.port}"


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Address of another entry, known before the platform is reachable.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Its zone.
        control: Address of its control port.
    """

    entry_id: str = _fields.name()
    availability_zone: str = _fields.name()
    control: Address


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        entry_id: Identifier of the entry, unique in the deployment.
        region: Name of the region.
        availability_zone: Zone of the entry VM.
        caller: Listening address for callers and the load balancer.
        control: Listening address for peers and operators.
        platform: Address of the platform API.
        peer_key: Key shared by all entries that signs peer messages, in
            hexadecimal.
        operator_token: Bearer token of the operator API.
        peers: Statically configured entries. Default: none.
        boot_id: Boot id that the platform lists for the VM `entry_id`. Without
            it, the loss of this VM blocks moves of the zone's VMs until an
            entry with the same control address replaces it. Default: empty.
        drain_s: Maximum duration of a graceful shutdown in seconds.
            Default: 30.
        max_body_bytes: Maximum request or response body. Default: 4 MiB.
        max_job_bytes: Maximum text of a submitted job. Default: 64 KiB.
        max_document_bytes: Maximum text of an operator's document. Default:
            1 MiB.
        memory_mb: Memory of the process in MB, divided among connections and
            requests. Default: 64.
        max_descriptors: Maximum number of open descriptors. Default: 4096.
        header_timeout_s: Time for the header of a request in seconds.
            Default: 10.
        body_timeout_s: Time for the body of a request in seconds. Default: 10.
        response_timeout_s: Time for a caller to read a response in seconds.
            Default: 30.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds. Default: 75.
        log_level: Minimum level of log records. Default: `info`.
    """

    entry_id: str = _fields.name()
    region: str = _fields.name()
    availability_zone: str = _fields.name()
    caller: Address
    control: Address
    platform: Address
    peer_key: str = _fields.string(
        MIN_KEY_LENGTH, "a key of at least 32 characters", repr=False
    )
    operator_token: str = _fields.string(
        16, "a token of at least 16 characters", repr=False
    )
    peers: list[PeerAddress] = attrs.field(factory=list)
    boot_id: str = ""
    drain_s: float = _fields.number(0, 3600, unit="seconds", default=30.0)
    max_body_bytes: int = _fields.number(1024, unit="bytes", default=4_194_304)
    max_job_bytes: int = _fields.number(1024, unit="bytes", default=65_536)
    max_document_bytes: int = _fields.number(
        1024, unit="bytes", default=1_048_576
    )
    memory_mb: float = _fields.number(1, MAX_MEMORY_MB, unit="MB", default=64.0)
    max_descriptors: int = _fields.number(
        MIN_DESCRIPTORS, MAX_DESCRIPTORS, unit="descriptors", default=4096
    )
    header_timeout_s: float = _fields.number(
        MIN_TIMEOUT_S, MAX_TIMEOUT_S, unit="seconds", default=10.0
    )
    body_timeout_s: float = _fields.number(
        MIN_TIMEOUT_S, MAX_TIMEOUT_S, unit="seconds", default=10.0
    )
    response_timeout_s: float = _fields.number(
        MIN_TIMEOUT_S, MAX_TIMEOUT_S, unit="seconds", default=30.0
    )
    idle_timeout_s: float = _fields.number(
        MIN_TIMEOUT_S, MAX_TIMEOUT_S, unit="seconds", default=75.0
    )
    log_level: str = _fields.one_of(
        "debug", "info", "warning", "error", default="info"
    )

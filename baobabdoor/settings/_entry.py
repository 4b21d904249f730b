"""Settings of one entry process."""

import attrs

from baobabdoor.settings import _fields

# 128 bits of key in hexadecimal, the least for HMAC-SHA256 against guessing.
MIN_KEY_LENGTH = 32
MAX_PORT = 65535


@attrs.frozen(kw_only=True)
class Address:
    """An IP number and a TCP port.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str = _fields.ip_address()
    port: int = _fields.number(1, MAX_PORT)

    @property
    def url(self) -> str:
        """The address as the start of an HTTP URL."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http://{host}:{self.port}"


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Where another entry can be found before the platform is reachable.

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
    """What an entry process learns from its settings file.

    Attributes:
        entry_id: Identifier of the entry, unique in the deployment.
        region: Name of the region.
        availability_zone: Zone of the entry VM.
        caller: Address of the port for callers and the balancer.
        control: Address of the port for peers and operators.
        platform: Address of the platform's service.
        peer_key: Key shared by all entries, in hexadecimal, that signs peer
            messages.
        operator_token: Bearer token for the operators' interface.
        peers: Other entries known in advance. Default: none.
        boot_id: Boot of the entry VM as the platform lists it under
            `entry_id`. If it is not known, the zone's VMs do not move after
            the VM is lost until an entry with the same control address
            replaces it. Default: not known.
        drain_s: Longest graceful shutdown in seconds. Default: 30.
        max_body_bytes: Largest request or answer body. Default: 4 MiB.
        log_level: Lowest level logged. Default: `info`.
    """

    entry_id: str = _fields.name()
    region: str = _fields.name()
    availability_zone: str = _fields.name()
    caller: Address
    control: Address
    platform: Address
    peer_key: str = _fields.text(
        MIN_KEY_LENGTH, "a key of at least 32 characters", repr=False
    )
    operator_token: str = _fields.text(
        16, "a token of at least 16 characters", repr=False
    )
    peers: list[PeerAddress] = attrs.field(factory=list)
    boot_id: str = ""
    drain_s: float = _fields.number(0, 3600, unit="seconds", default=30.0)
    max_body_bytes: int = _fields.number(1024, unit="bytes", default=4_194_304)
    log_level: str = _fields.one_of(
        "debug", "info", "warning", "error", default="info"
    )

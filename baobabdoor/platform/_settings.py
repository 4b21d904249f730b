"""The settings file that the platform gives to each process."""

import pathlib

import attrs
import yaml

VARIABLE = "BAOBABDOOR_CONFIG"
# The port named under `metrics` in deploy/system.toml.
METRICS_PORT = 9464


class SettingsError(ValueError):
    """A settings file that cannot be used; says field, expected, found."""


@attrs.frozen
class ProcessSettings:
    """Addresses and limits of one process.

    Attributes:
        node: Name of the machine.
        zone: Availability zone of the machine.
        zones: Names of all availability zones.
        ip: Address of the machine.
        front_address: Where callers connect; empty if not served.
        ready_address: Where the platform asks for readiness.
        internal_port: First port for traffic between daemons.
        metrics_port: Port of the metrics, at every path.
        store_address: The platform's store.
        machines_address: The platform's machine service; empty if none.
        advice_address: The service that advises on workers; empty if none.
        cores: Processor cores that the process may use.
        heartbeat_s: Time between the heartbeats of workers.
        max_lease_s: Longest lease of a run.
        stop_timeout_s: Longest time that a stop takes.
        cancel_timeout_s: Time in which a cancelled job's tasks are gone.
        grace_s: Time between the order to stop and the kill.
        notice_s: Time in which the absence of a lasting task counts.
        status_s: Time for which the state of an ended job is kept.
        upkeep_s: Time that the upkeep of a machine takes.
        move_s: Time that a move of a machine takes.
        order_lease_s: Time in which two holders must not take turns at a
            machine.
        impact_s: Time for which a serving task may be over its target.
        pace_delay_s: Time after which a change of pace works.
        remote_factor: Factor of a task's duration away from its data.
        early_s: Time by which a task may start before it is due.
        part_writes_per_s: Transactions a second that one part takes.
        machine_calls_per_s: Orders a second that machines take in all.
    """

    node: str
    zone: str
    zones: tuple[str, ...]
    ip: str
    front_address: str
    ready_address: str
    internal_port: int
    metrics_port: int
    store_address: str
    machines_address: str
    advice_address: str
    cores: float
    heartbeat_s: float
    max_lease_s: float
    stop_timeout_s: float
    cancel_timeout_s: float
    grace_s: float
    notice_s: float
    status_s: float
    upkeep_s: float
    move_s: float
    order_lease_s: float
    impact_s: float
    pace_delay_s: float
    remote_factor: float
    early_s: float
    part_writes_per_s: float
    machine_calls_per_s: float


class _Reader:

    def __init__(self, path: str, content: dict):
        self.path = path
        self.content = content

    def get(self, field: str, kind: type | tuple, default: object = None):
        value: object = self.content
        for name in field.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if not isinstance(value, kind) or isinstance(value, bool):
            raise SettingsError(
                f"{self.path}: {field}: expected {kind}, found {value!r}"
            )
        return value

    def seconds(self, field: str, scale: float, default: float) -> float:
        """Returns a time; the platform counts some in milliseconds."""
        return self.get(field, (int, float), default / scale) * scale


def load_settings(path: str) -> ProcessSettings:
    """Reads the settings file.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read or a field does not fit.
    """
    try:
        content = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise SettingsError(f"{path}: expected a mapping")
    return decode_settings(path, content)


def decode_settings(path: str, content: dict) -> ProcessSettings:
    """Checks the content of a settings file and converts its units."""
    reader = _Reader(path, content)
    ports = reader.get("internal-port-range", list)
    number = (int, float)
    return ProcessSettings(
        node=reader.get("node-name", str),
        zone=reader.get("zone", str),
        zones=tuple(reader.get("zones", dict, {})),
        ip=reader.get("ip", str),
        front_address=reader.get("listen.front", str, ""),
        ready_address=reader.get("listen.ready", str, ""),
        internal_port=ports[0],
        metrics_port=METRICS_PORT,
        store_address=reader.get("platform.address", str),
        machines_address=reader.get("cloud-api.address", str, ""),
        advice_address=reader.get("advice", str, ""),
        # The share is of one core that is so many times as fast.
        cores=reader.get("limits.cpu-share", number, 1.0)
        * reader.get("limits.cores", number, 1),
        heartbeat_s=reader.seconds("heartbeat-ms", 0.001, 1.5),
        max_lease_s=reader.seconds("bounds.max-hold-ms", 0.001, 6.0),
        stop_timeout_s=reader.seconds("bounds.stop-timeout-ms", 0.001, 0.4),
        cancel_timeout_s=reader.seconds("bounds.cancel_ms", 0.001, 3.0),
        grace_s=reader.seconds("bounds.grace-s", 1, 6.0),
        notice_s=reader.seconds("bounds.notice-ms", 0.001, 4.5),
        status_s=reader.seconds("bounds.status_s", 1, 120.0),
        upkeep_s=reader.seconds("bounds.maintenance-s", 1, 2.0),
        move_s=reader.seconds("bounds.migrate-s", 1, 1.5),
        order_lease_s=reader.seconds("bounds.lease-ms", 0.001, 3.0),
        impact_s=reader.seconds("bounds.impact-ms", 0.001, 4.0),
        pace_delay_s=reader.seconds("bounds.pace-ms", 0.001, 0.1),
        remote_factor=reader.get("bounds.remote-factor", number, 2.0),
        early_s=reader.seconds("bounds.early_ms", 0.001, 0.25),
        part_writes_per_s=reader.get(
            "platform.part-writes-per-s", number, 150.0
        ),
        machine_calls_per_s=reader.get("cloud-api.duty-per-s", number, 64.0),
    )

"""The settings file that the platform provides to each process."""

import math
import pathlib

import attrs
import yaml

SETTINGS_VARIABLE = "BAOBABDOOR_CONFIG"
# Must match the port under `metrics` in deploy/system.toml.
METRICS_PORT = 9464
# Smallest memory and number of descriptors with which one request of the
# maximum size is served: an idle process takes 42 MB and 30 sockets.
MIN_MEMORY_MB = 48
MIN_DESCRIPTORS = 264


class SettingsError(ValueError):
    """An invalid settings file; names the field, expected and found value."""


@attrs.frozen
class ProcessSettings:
    """Addresses and limits of one process.

    Attributes:
        node: Name of the machine.
        zone: Availability zone of the machine.
        ip: Address of the machine.
        front_address: Address that callers connect to; empty if not served.
        ready_address: Address of the readiness check.
        internal_port: First port of the range for traffic between daemons.
        metrics_port: Port that serves metrics at every path.
        store_address: Address of the platform's store.
        machines_address: Address of the machine service; empty if none.
        advice_address: Address of the advice service; empty if none.
        cores: Processor cores that the process may use.
        max_lease_s: Maximum lease of a run.
        stop_timeout_s: Maximum time to stop a run.
        grace_s: Time between the stop signal and the kill.
        status_s: Retention of the state of ended jobs.
        move_s: Duration of a move to another pool.
        maintenance_s: Duration of a machine's maintenance.
        heartbeat_s: Interval in which workers write their entry in the list.
        contact_s: Time that the platform allows to notice a change of a
            worker's capacity, in addition to a heartbeat.
        row_bytes: Maximum size of a row of the store.
        strict_revocation: Whether a removed API key must stop working in time
            also on a process that is cut off from the store.
        revoke_s: That time.
        config_apply_s: Time in which a new configuration must be in force.
        quota_window_s: Window over which a customer's submissions are counted.
        quota_slack: Jobs that a customer may submit in a window beyond its
            weight.
        move_rate: Machine orders per second that the platform accepts.
        memory_mb: Memory of the process; more ends it.
        max_descriptors: File descriptors of the process.
    """

    node: str
    zone: str
    ip: str
    front_address: str
    ready_address: str
    internal_port: int
    metrics_port: int
    store_address: str
    machines_address: str
    advice_address: str
    cores: float
    max_lease_s: float
    stop_timeout_s: float
    grace_s: float
    status_s: float
    move_s: float
    maintenance_s: float
    heartbeat_s: float
    contact_s: float
    row_bytes: int
    strict_revocation: bool = False
    revoke_s: float = 5.0
    config_apply_s: float = 3.0
    quota_window_s: float = 5.0
    quota_slack: int = 20
    move_rate: float = 64.0
    memory_mb: float = 512
    max_descriptors: int = 4096


class _FieldReader:

    def __init__(self, path: str, content: dict):
        self.path = path
        self.content = content

    def find(self, field: str) -> object:
        """Returns the value of a field; `None` if it is missing."""
        value: object = self.content
        for name in field.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def get(self, field: str, kind: type | tuple, default: object = None):
        value = self.find(field)
        if value is None and default is not None:
            return default
        if not isinstance(value, kind) or isinstance(value, bool):
            raise self._error(field, kind, value)
        return value

    def at_least(self, field: str, kind: type | tuple, low, default):
        """Returns a number that is not below a bound, and finite."""
        value = self.get(field, kind, default)
        if not low <= value < math.inf:
            raise SettingsError(
                f"{self.path}: {field}: expected at least {low},"
                f" found {value!r}"
            )
        return value

    def flag(self, field: str) -> bool:
        """Returns a truth value; false if the field is missing."""
        value = self.find(field)
        if value is None or isinstance(value, bool):
            return bool(value)
        raise self._error(field, bool, value)

    def _error(self, field: str, kind, value: object) -> SettingsError:
        return SettingsError(
            f"{self.path}: {field}: expected {kind}, found {value!r}"
        )

    def seconds(self, field: str, scale: float, default: float) -> float:
        """Returns a duration in seconds; some fields are in milliseconds."""
        return self.get(field, (int, float), default / scale) * scale


def is_settings(path: str) -> bool:
    """Returns whether a file is a settings file of the platform."""
    try:
        content = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, yaml.YAMLError):
        # The loader of the other file format reports the error.
        return False
    return isinstance(content, dict) and "node-name" in content


def load_settings(path: str) -> ProcessSettings:
    """Reads the settings file.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read or a field is invalid.
    """
    try:
        content = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise SettingsError(f"{path}: expected a mapping")
    return decode_settings(path, content)


def decode_settings(path: str, content: dict) -> ProcessSettings:
    """Validates the content of a settings file and converts units."""
    reader = _FieldReader(path, content)
    ports = reader.get("internal-port-range", list)
    numeric = (int, float)
    return ProcessSettings(
        node=reader.get("node-name", str),
        zone=reader.get("zone", str),
        ip=reader.get("ip", str),
        front_address=reader.get("listen.front", str, ""),
        ready_address=reader.get("listen.ready", str, ""),
        internal_port=ports[0],
        metrics_port=METRICS_PORT,
        store_address=reader.get("platform.address", str),
        machines_address=reader.get("cloud-api.address", str, ""),
        advice_address=reader.get("advice", str, ""),
        # The CPU share is relative to one core that is `limits.cores` times as
        # fast.
        cores=reader.get("limits.cpu-share", numeric, 1.0)
        * reader.get("limits.cores", numeric, 1),
        max_lease_s=reader.seconds("bounds.max-hold-ms", 0.001, 6.0),
        stop_timeout_s=reader.seconds("bounds.stop-timeout-ms", 0.001, 0.4),
        grace_s=reader.seconds("bounds.grace-s", 1, 6.0),
        status_s=reader.seconds("bounds.status_s", 1, 120.0),
        move_s=reader.seconds("bounds.migrate-s", 1, 1.5),
        maintenance_s=reader.seconds("bounds.maintenance-s", 1, 2.0),
        heartbeat_s=reader.seconds("heartbeat-ms", 0.001, 1.5),
        contact_s=reader.seconds("bounds.contact-ms", 0.001, 3.0),
        row_bytes=reader.get("platform.row-bytes", int, 65_536),
        strict_revocation=reader.flag("bounds.strict-revocation"),
        revoke_s=reader.seconds("bounds.revoke-ms", 0.001, 5.0),
        config_apply_s=reader.seconds("bounds.config-apply-ms", 0.001, 3.0),
        quota_window_s=reader.seconds("bounds.quota-window-s", 1, 5.0),
        quota_slack=reader.get("bounds.quota-slack", int, 20),
        move_rate=reader.get("cloud-api.duty-per-s", numeric, 64.0),
        memory_mb=reader.at_least(
            "limits.memory-mb", numeric, MIN_MEMORY_MB, 512
        ),
        max_descriptors=reader.at_least(
            "limits.max-fds", int, MIN_DESCRIPTORS, 4096
        ),
    )

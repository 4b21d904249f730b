"""Message formats of the platform, its workers and its callers."""

import json
import re

from baobabdoor import base
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.platform import _customers
from baobabdoor.platform import _values

MAX_PAYLOAD_BYTES = 4000
# Identifiers that a header can contain as its value: visible ASCII characters
# with spaces between them.
_WORKER_ID = re.compile(r"[!-~]([ -~]*[!-~])?")

MessageError = _values.MessageError
is_integer = _values.is_integer
has_type = _values.has_type


def refusal_for_status(step: str, address: str, status: int) -> base.Refusal:
    """Returns the refusal for a status that means that nothing was done."""
    return base.Refusal(
        base.Reason.PLATFORM_UNAVAILABLE, step, address, str(status)
    )


def decode_object(value: bytes) -> dict:
    """Parses a JSON object.

    Raises:
        MessageError: If the value is not a JSON object.
    """
    try:
        content = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"expected JSON: {error}") from error
    if not isinstance(content, dict):
        raise MessageError(f"expected an object, found {type(content)}")
    return content


def describe(value: object) -> str:
    """Returns a short text of a value for a log or an error message.

    `repr` fails for a value that is nested almost as deeply as the parser
    allows.
    """
    try:
        return f"{value!r:.80}"
    except RecursionError:
        return f"a deeply nested {type(value).__name__}"


def field(content: dict, name: str, kind: type, default: object = None):
    """Returns a field of a message; the default if it is missing or null.

    Raises:
        MessageError: If the message is no object or the value has another type.
    """
    if not isinstance(content, dict):
        raise MessageError(f"expected an object, found {describe(content)}")
    value = content.get(name)
    if value is None:
        value = default
    if not has_type(value, kind):
        raise MessageError(
            f"{name}: expected {kind.__name__}, found {describe(value)}"
        )
    return float(value) if kind is float else value


def natural(content: dict, name: str, default: int = 0) -> int:
    """Returns a field that is an integer and not negative.

    Raises:
        MessageError: If the field has another value.
    """
    value = field(content, name, int, default)
    if value < 0:
        raise MessageError(f"{name}: expected 0 or more, found {value}")
    return value


def _texts(content: dict, name: str, default: list | None = None) -> list[str]:
    """Returns a field that is a list of texts.

    Raises:
        MessageError: If the field has another value.
    """
    values = field(content, name, list, default)
    if not all(isinstance(value, str) for value in values):
        raise MessageError(f"{name}: expected texts, found {describe(values)}")
    return values


def decode_worker(worker_id: str, value: bytes) -> scheduling.WorkerRecord:
    """Decodes an entry of the list of workers.

    Raises:
        MessageError: If it does not conform to the published format. Other
            programs may write entries that describe no worker.
    """
    if not _WORKER_ID.fullmatch(worker_id):
        raise MessageError(f"id: found {worker_id!r:.80}")
    content = decode_object(value)
    capacity = field(content, "capacity", dict)
    state = field(content, "state", str)
    if state not in ("ready", "draining"):
        raise MessageError(f"state: found {state!r:.80}")
    address = field(content, "address", str)
    try:
        transport.parse_address(address)
    except ValueError as error:
        raise MessageError(f"address: {error}") from error
    return scheduling.WorkerRecord(
        worker_id=worker_id,
        address=address,
        pool=field(content, "service", str),
        zone=field(content, "zone", str),
        machine=field(content, "machine", str, ""),
        draining=state == "draining",
        start_time_ms=natural(content, "born"),
        cpu_milli=natural(capacity, "cpu"),
        memory_mb=natural(capacity, "mem-mb"),
        gpus=natural(capacity, "gpus"),
        labels=frozenset(_texts(content, "labels", [])),
    )


def decode_configuration(value: bytes) -> scheduling.Configuration:
    """Decodes the configuration.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(value)
    pools = {}
    for entry in field(content, "services", list):
        pool = scheduling.PoolSettings(
            name=field(entry, "name", str),
            enforces_capacity=bool(entry.get("enforces-capacity")),
            standby=bool(entry.get("standby")),
        )
        pools[pool.name] = pool
    directory = _customers.decode_customers(content)
    queues = {}
    for entry in field(content, "routes", list):
        queue = _decode_queue(entry, directory is not None)
        queues[queue.name] = queue
    return scheduling.Configuration(
        field(content, "version", int),
        queues,
        pools,
        customer_directory=directory,
        limits=_decode_limits(field(content, "limits", dict, {})),
    )


def _decode_limits(content: dict) -> scheduling.RequestLimits:
    defaults = scheduling.RequestLimits()
    return scheduling.RequestLimits(
        header_bytes=_positive(
            content, "max-header-bytes", int, defaults.header_bytes
        ),
        body_bytes=_positive(
            content, "max-body-bytes", int, defaults.body_bytes
        ),
        header_timeout_s=_positive(
            content,
            "header-timeout-ms",
            float,
            defaults.header_timeout_s * 1000,
        )
        / 1000,
        idle_timeout_s=_positive(
            content, "idle-timeout-ms", float, defaults.idle_timeout_s * 1000
        )
        / 1000,
    )


def _positive(content: dict, name: str, kind: type, default: float) -> float:
    value = field(content, name, kind, default)
    if value <= 0:
        raise MessageError(f"{name}: expected more than 0, found {value}")
    return value


def _decode_queue(entry: object, has_customers: bool) -> scheduling.Queue:
    name = field(entry, "name", str)
    advice = entry.get("advice")
    if isinstance(advice, dict):
        advice = scheduling.AdvicePolicy(
            field(advice, "decide-ms", float, 0.0),
            field(advice, "per-worker-ms", float, 0.0),
            field(advice, "valid-ms", float, 0.0),
        )
    else:
        advice = None
    return scheduling.Queue(
        name=name,
        host=field(entry, "host", str).lower(),
        path_prefix=field(entry, "path-prefix", str),
        pool=field(entry, "service", str),
        priority=field(entry, "priority", int, 0),
        max_attempts=field(entry, "max-attempts", int, 1),
        stretch=field(entry, "stretch", float, 2.0),
        target_ms=field(entry, "target-latency-ms", float, 1000.0),
        timeout_ms=field(entry, "timeout-ms", float, 3000.0),
        advice=advice,
        public=_customers.decode_public(entry, has_customers),
    )


def decode_job(job_id: str, queue: str, body: bytes) -> scheduling.JobSpec:
    """Decodes a caller's job.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(body)
    payload = field(content, "spec", str, "")
    # JSON may contain lone surrogates, which have no encoding in UTF-8.
    if len(payload.encode("utf-8", "surrogatepass")) > MAX_PAYLOAD_BYTES:
        raise MessageError(f"spec: over {MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(
        _decode_step(number, entry)
        for number, entry in enumerate(field(content, "steps", list))
    )
    repeat_count = natural(content, "repeat-count")
    tasks = sum(step.task_count for step in steps) * max(1, repeat_count)
    if not 0 < tasks <= scheduling.MAX_TASKS:
        raise MessageError(
            f"steps, repeat-count: expected 1 to {scheduling.MAX_TASKS}"
            f" tasks, found {tasks}"
        )
    return scheduling.JobSpec(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=steps,
        repeat_count=repeat_count,
        start_at_ms=field(content, "start-at-ms", int, 0),
        interval_ms=field(content, "interval-ms", int, 0),
    )


def _decode_step(number: int, entry: object) -> scheduling.StepSpec:
    if not isinstance(entry, dict):
        raise MessageError(f"steps.{number}: expected an object")
    after = tuple(field(entry, "after", list, []))
    if any(not is_integer(i) or not 0 <= i < number for i in after):
        raise MessageError(f"steps.{number}.after: found {describe(after)}")
    unavailable = entry.get("max-unavailable")
    limited = is_integer(unavailable) and unavailable >= 0
    long_running = bool(entry.get("long-running"))
    return scheduling.StepSpec(
        task_count=max(1, natural(entry, "count", 1)),
        cpu_milli=natural(entry, "cpu"),
        memory_mb=natural(entry, "mem-mb"),
        gpus=natural(entry, "gpus"),
        estimate_ms=natural(entry, "estimate-ms", 1000),
        after=after,
        checkpointing=bool(entry.get("checkpointing")),
        gang=bool(entry.get("gang")),
        rack_sensitive=bool(entry.get("rack-sensitive")),
        required_label=field(entry, "requires", str, ""),
        data_rack=field(entry, "affinity", str, ""),
        max_per_worker=natural(entry, "anti-affinity"),
        speculative=bool(entry.get("speculative")),
        long_running=long_running,
        image=field(entry, "image", str, ""),
        target_ms=natural(entry, "target-ms"),
        fills=bool(entry.get("fills")),
        max_unavailable=unavailable if limited else None,
    )


def decode_wave(value: bytes) -> scheduling.Wave:
    """Decodes a maintenance wave.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(value)
    return scheduling.Wave(
        number=field(content, "wave", int),
        machines=tuple(_texts(content, "machines")),
        duration_s=field(content, "duration-s", float, 0.0),
        maximum=max(1, field(content, "maximum", int, 1)),
    )


def encode_wave_state(wave: scheduling.Wave, completed: bool) -> bytes:
    """Encodes the state of a wave for the operator."""
    state = "completed" if completed else "running"
    return json.dumps({"wave": wave.number, "state": state}).encode()


def encode_job_state(state: scheduling.JobState) -> bytes:
    """Encodes the state of a job for its caller."""
    return json.dumps({"state": state.value}).encode()


def encode_pending(count: int) -> bytes:
    """Encodes the number of jobs of a queue that have not started."""
    return json.dumps({"pending": count}).encode()

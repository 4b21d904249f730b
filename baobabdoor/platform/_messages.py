"""Message formats of the platform, its workers and its callers."""

import json

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling

LOG = observability.get_logger("platform.messages")
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 10_000


class MessageError(ValueError):
    """A message that does not conform to the published format."""


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
    except ValueError as error:
        raise MessageError(f"expected JSON: {error}") from error
    if not isinstance(content, dict):
        raise MessageError(f"expected an object, found {type(content)}")
    return content


def _field(content: dict, name: str, kind: type, default: object = None):
    value = content.get(name, default)
    if kind is float and isinstance(value, int):
        value = float(value)
    wrong = not isinstance(value, kind)
    if wrong or (isinstance(value, bool) and kind is not bool):
        raise MessageError(f"{name}: expected {kind.__name__}, found {value!r}")
    return value


def decode_worker(
    worker_id: str, value: bytes
) -> scheduling.WorkerRecord | None:
    """Decodes an entry of the list of workers.

    Returns:
        The worker, or `None` for a malformed entry, which is logged. Other
        programs may write entries that describe no worker.
    """
    try:
        content = decode_object(value)
        capacity = _field(content, "capacity", dict)
        state = _field(content, "state", str)
        if state not in ("ready", "draining"):
            raise MessageError(f"state: found {state!r}")
        address = _field(content, "address", str)
        if not address.rpartition(":")[2].isdigit():
            raise MessageError(f"address: found {address!r}")
        labels = _field(content, "labels", list, [])
        return scheduling.WorkerRecord(
            worker_id=worker_id,
            address=address,
            pool=_field(content, "service", str),
            zone=_field(content, "zone", str),
            machine=_field(content, "machine", str, ""),
            draining=state == "draining",
            start_time_ms=_field(content, "born", int, 0),
            cpu_milli=_field(capacity, "cpu", int, 0),
            memory_mb=_field(capacity, "mem-mb", int, 0),
            gpus=_field(capacity, "gpus", int, 0),
            labels=frozenset(str(label) for label in labels),
        )
    except MessageError as error:
        LOG.warning("worker_entry_ignored", worker=worker_id, error=str(error))
        return None


def decode_configuration(value: bytes) -> scheduling.Configuration:
    """Decodes the configuration.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(value)
    pools = {}
    for entry in _field(content, "services", list):
        pool = scheduling.PoolSettings(
            name=_field(entry, "name", str),
            enforces_capacity=bool(entry.get("enforces-capacity")),
            standby=bool(entry.get("standby")),
        )
        pools[pool.name] = pool
    queues = {}
    for entry in _field(content, "routes", list):
        queue = _decode_queue(entry)
        queues[queue.name] = queue
    return scheduling.Configuration(
        _field(content, "version", int), queues, pools
    )


def _decode_queue(entry: dict) -> scheduling.Queue:
    advice = entry.get("advice")
    if isinstance(advice, dict):
        advice = scheduling.AdvicePolicy(
            _field(advice, "decide-ms", float, 0.0),
            _field(advice, "per-worker-ms", float, 0.0),
            _field(advice, "valid-ms", float, 0.0),
        )
    else:
        advice = None
    return scheduling.Queue(
        name=_field(entry, "name", str),
        host=_field(entry, "host", str).lower(),
        path_prefix=_field(entry, "path-prefix", str),
        pool=_field(entry, "service", str),
        priority=_field(entry, "priority", int, 0),
        max_attempts=_field(entry, "max-attempts", int, 1),
        stretch=_field(entry, "stretch", float, 2.0),
        target_ms=_field(entry, "target-latency-ms", float, 1000.0),
        timeout_ms=_field(entry, "timeout-ms", float, 3000.0),
        advice=advice,
    )


def decode_job(job_id: str, queue: str, body: bytes) -> scheduling.JobSpec:
    """Decodes a caller's job.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(body)
    payload = _field(content, "spec", str, "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise MessageError(f"spec: over {MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(
        _decode_step(number, entry)
        for number, entry in enumerate(_field(content, "steps", list))
    )
    if not steps or sum(step.task_count for step in steps) > MAX_TASKS:
        raise MessageError(f"steps: expected 1 to {MAX_TASKS} tasks")
    return scheduling.JobSpec(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=steps,
        repeat_count=_field(content, "repeat-count", int, 0),
        start_at_ms=_field(content, "start-at-ms", int, 0),
        interval_ms=_field(content, "interval-ms", int, 0),
    )


def _decode_step(number: int, entry: object) -> scheduling.StepSpec:
    if not isinstance(entry, dict):
        raise MessageError(f"steps.{number}: expected an object")
    after = tuple(_field(entry, "after", list, []))
    if any(not isinstance(i, int) or not 0 <= i < number for i in after):
        raise MessageError(f"steps.{number}.after: found {after}")
    unavailable = entry.get("max-unavailable")
    long_running = bool(entry.get("long-running"))
    return scheduling.StepSpec(
        task_count=max(1, _field(entry, "count", int, 1)),
        cpu_milli=_field(entry, "cpu", int, 0),
        memory_mb=_field(entry, "mem-mb", int, 0),
        gpus=_field(entry, "gpus", int, 0),
        estimate_ms=_field(entry, "estimate-ms", int, 1000),
        after=after,
        checkpointing=bool(entry.get("checkpointing")),
        gang=bool(entry.get("gang")),
        rack_sensitive=bool(entry.get("rack-sensitive")),
        required_label=_field(entry, "requires", str, ""),
        data_rack=_field(entry, "affinity", str, ""),
        max_per_worker=_field(entry, "anti-affinity", int, 0),
        speculative=bool(entry.get("speculative")),
        long_running=long_running,
        image=_field(entry, "image", str, ""),
        target_ms=_field(entry, "target-ms", int, 0),
        fills=bool(entry.get("fills")),
        max_unavailable=unavailable if isinstance(unavailable, int) else None,
    )


def decode_wave(value: bytes) -> scheduling.Wave:
    """Decodes a maintenance wave.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    content = decode_object(value)
    return scheduling.Wave(
        number=_field(content, "wave", int),
        machines=tuple(str(name) for name in _field(content, "machines", list)),
        duration_s=_field(content, "duration-s", float, 0.0),
        maximum=max(1, _field(content, "maximum", int, 1)),
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

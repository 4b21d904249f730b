"""Encodes what was learned about turns, so that another process can go on.

The clocks of processes differ. Times are ages, which count from the time of
writing on a clock that all processes share.
"""

from collections.abc import Collection
import json
import math

import attrs

from baobabdoor.forecast import _peak_forecast
from baobabdoor.forecast import _turn_forecast

# Maximum bytes of an encoded forecaster. Eight pools take less than 8 KB.
MAX_BYTES = 32_000
# Bounds of values, so that calculations with them stay finite: seconds, cores
# and missed turns.
MAX_AGE_S = 1e7
MAX_SPAN_S = 1e6
MIN_CORES = 1e-6
MAX_CORES = 1e9
MAX_MISSES = 100
# Shapes and samples are integers in units of this fraction.
FRACTION = 0.01
# Clocks of the store are extrapolated, so a reader's may be behind a writer's
# by this at most, in seconds.
CLOCK_ERROR_S = 1.0


@attrs.frozen
class Learned:
    """A decoded forecaster.

    Attributes:
        forecaster: The forecaster, with times on the reader's clock.
        written_s: When it was written, on the same clock.
    """

    forecaster: _turn_forecast.TurnForecaster
    written_s: float


def encode(
    forecaster: _turn_forecast.TurnForecaster, now_s: float, shared_ms: float
) -> bytes:
    """Returns what a forecaster has learned as a JSON object.

    Args:
        forecaster: The forecaster.
        now_s: Current time on the clock of its observations.
        shared_ms: Current time on the shared clock in milliseconds.
    """
    pools = {
        pool: _encode_pool(history, forecaster.turns_[pool], now_s)
        for pool, history in forecaster.histories_.items()
    }
    content = {
        "written_ms": round(shared_ms),
        "last": forecaster.last_started_pool_,
        "pools": pools,
    }
    return json.dumps(content, separators=(",", ":")).encode()


def _encode_pool(
    history: _peak_forecast.PeakHistory,
    turn: _turn_forecast.Turn,
    now_s: float,
) -> dict:
    content = {
        "starts": [
            round(min(now_s - start_s, MAX_AGE_S), 2)
            for start_s in history.starts_s
        ],
        "durations": [_to_span(value) for value in history.durations_s],
        "levels": [_to_cores(value) for value in history.levels],
        "lags": [_to_span(value) for value in history.lags_s],
        "predecessor": history.predecessor,
        "misses": min(turn.misses, MAX_MISSES),
        # The mean replaces the shapes and keeps their weight.
        "shapes": len(turn.shapes),
        "shape": _to_units(
            _turn_forecast.mean_shape(turn.shapes) if turn.shapes else [], 1.0
        ),
    }
    if history.samples:
        samples = history.samples[: _turn_forecast.MAX_SHAPE_SAMPLES]
        before = turn.before[-_turn_forecast.LEAD_SAMPLES :]
        scale = _to_cores(max(samples))
        content["scale"] = scale
        content["samples"] = _to_units(samples, scale)
        content["before"] = _to_units(before, scale)
        content["partial"] = turn.partial
    return content


def _to_units(values: list[float], scale: float) -> list[int]:
    return [
        round(min(value / scale, _turn_forecast.MAX_RELATIVE) / FRACTION)
        for value in values
    ]


def _to_span(value_s: float) -> float:
    return round(min(max(0.0, value_s), MAX_SPAN_S), 2)


def _to_cores(value: float) -> float:
    return float(f"{min(max(value, MIN_CORES), MAX_CORES):.4g}")


def decode(
    value: bytes, now_s: float, shared_ms: float, pools: Collection[str]
) -> Learned:
    """Returns what another process has learned.

    Args:
        value: The encoded forecaster.
        now_s: Current time on the reader's clock.
        shared_ms: Current time on the shared clock in milliseconds.
        pools: Pools that exist; others are left out.

    Raises:
        ValueError: If the value is not a forecaster.
    """
    content = _parse(value)
    written_ms = _number(content.get("written_ms"), 0, math.inf)
    elapsed_s = (shared_ms - written_ms) / 1000
    _require(-CLOCK_ERROR_S <= elapsed_s <= MAX_AGE_S, "written_ms", elapsed_s)
    written_s = now_s - max(0.0, elapsed_s)
    forecaster = _turn_forecast.TurnForecaster()
    found = content.get("pools")
    _require(isinstance(found, dict), "pools", found)
    for pool, entry in found.items():
        _require(isinstance(entry, dict), "pool", entry)
        history, turn = _decode_pool(entry, written_s)
        if pool in pools:
            forecaster.histories_[pool] = history
            forecaster.turns_[pool] = turn
    _connect(forecaster, _text(content.get("last")))
    return Learned(forecaster, written_s)


def _parse(value: bytes) -> dict:
    _require(len(value) <= MAX_BYTES, "bytes", len(value))
    try:
        content = json.loads(value)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    _require(isinstance(content, dict), "content", type(content))
    return content


def _decode_pool(
    entry: dict, written_s: float
) -> tuple[_peak_forecast.PeakHistory, _turn_forecast.Turn]:
    most = _peak_forecast.MAX_SAMPLES
    ages_s = _numbers(entry, "starts", 0, MAX_AGE_S, most)
    history = _peak_forecast.PeakHistory(
        starts_s=[written_s - age_s for age_s in ages_s],
        durations_s=_numbers(entry, "durations", 0, MAX_SPAN_S, most),
        levels=_numbers(entry, "levels", MIN_CORES, MAX_CORES, most),
        lags_s=_numbers(entry, "lags", 0, MAX_SPAN_S, most),
        predecessor=_text(entry.get("predecessor")),
    )
    turn = _turn_forecast.Turn(misses=_integer(entry, "misses", MAX_MISSES))
    count = _integer(entry, "shapes", most)
    shape = _units(
        entry,
        "shape",
        _turn_forecast.MAX_RELATIVE,
        _turn_forecast.LEAD_SAMPLES + _turn_forecast.MAX_SHAPE_SAMPLES,
    )
    _require(bool(shape) == bool(count), "shapes", count)
    turn.shapes = [list(shape) for _ in range(count)]
    if "samples" in entry:
        _decode_samples(entry, history, turn)
    _check(history)
    return history, turn


def _decode_samples(
    entry: dict,
    history: _peak_forecast.PeakHistory,
    turn: _turn_forecast.Turn,
) -> None:
    """Decodes the part of a turn that was seen before the time of writing."""
    scale = _number(entry.get("scale"), MIN_CORES, MAX_CORES)
    highest = _turn_forecast.MAX_RELATIVE
    samples = _units(
        entry, "samples", highest, _turn_forecast.MAX_SHAPE_SAMPLES
    )
    before = _units(entry, "before", highest, _turn_forecast.LEAD_SAMPLES)
    _require(any(samples), "samples", samples)
    history.samples = [value * scale for value in samples]
    turn.before = [value * scale for value in before]
    turn.partial = entry.get("partial")
    _require(isinstance(turn.partial, bool), "partial", turn.partial)


def _check(history: _peak_forecast.PeakHistory) -> None:
    """Checks what the forecaster relies on."""
    levels = len(history.levels)
    _require(levels == len(history.durations_s), "levels", levels)
    known = bool(history.levels or history.lags_s or history.samples)
    _require(not known or bool(history.starts_s), "starts", history.starts_s)


def _connect(forecaster: _turn_forecast.TurnForecaster, last: str) -> None:
    """Sets the order of the pools, without those that were left out."""
    started = {
        pool: history.starts_s[-1]
        for pool, history in forecaster.histories_.items()
        if history.starts_s
    }
    for pool, history in forecaster.histories_.items():
        if history.predecessor not in started.keys() - {pool}:
            history.predecessor = ""
            history.lags_s.clear()
    if last not in started:
        last = max(started, key=started.__getitem__, default="")
    forecaster.last_started_pool_ = last


def _numbers(
    entry: dict, name: str, low: float, high: float, most: int
) -> list[float]:
    values = entry.get(name)
    _require(isinstance(values, list) and len(values) <= most, name, values)
    return [_number(value, low, high) for value in values]


def _units(entry: dict, name: str, high: float, most: int) -> list[float]:
    # A value may be rounded up by one unit.
    units = _numbers(entry, name, 0, high / FRACTION + 1, most)
    return [value * FRACTION for value in units]


def _number(value: object, low: float, high: float) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    _require(is_number, "number", value)
    _require(low <= value <= high and value < 1e300, "number", value)
    return float(value)


def _integer(entry: dict, name: str, high: int) -> int:
    value = _number(entry.get(name), 0, high)
    _require(value.is_integer(), name, value)
    return int(value)


def _text(value: object) -> str:
    _require(isinstance(value, str), "text", value)
    return value


def _require(condition: bool, name: str, found: object) -> None:
    if condition:
        return
    try:
        text = f"{found!r:.80}"
    except (RecursionError, ValueError):
        # A deeply nested list, or an integer with thousands of digits.
        text = type(found).__name__
    raise ValueError(f"{name}: found {text}")

"""Learns the turns in which the queues of the pools peak."""

from collections.abc import Sequence
import itertools
import statistics

import attrs

# Shares of a pool's own workers between which demand counts as a peak. Demand
# is a few hundredths of them between peaks and more than all in a peak, so
# both lie far from either level.
PEAK_STARTS_ABOVE = 0.5
PEAK_ENDS_BELOW = 0.25
# Values kept of each quantity; more would follow a change of habits too slowly.
MEMORY = 8
# The level of a peak is this quantile of its samples: most of the peak fits,
# and single bursts within it do not count.
LEVEL_QUANTILE = 0.75


@attrs.frozen
class Peak:
    """A peak that is under way or expected.

    Attributes:
        start_s: When it starts or started, in monotonic seconds.
        end_s: When it is expected to end.
        levels: Demand in workers; several if one of them is to be expected.
        margin_s: How much earlier it may start than expected.
    """

    start_s: float
    end_s: float
    levels: tuple[float, ...]
    margin_s: float = 0.0


@attrs.define
class PoolTurns:
    """What was learned of one pool.

    Attributes:
        starts_s: Latest starts of peaks.
        durations_s: Latest durations of peaks.
        levels: Latest levels of peaks, in workers.
        lags_s: Latest times from the start of the preceding pool's peak.
        predecessor: Pool that peaked before; empty if not known.
        samples: Demand since the present peak began; empty between peaks.
    """

    starts_s: list[float] = attrs.field(factory=list)
    durations_s: list[float] = attrs.field(factory=list)
    levels: list[float] = attrs.field(factory=list)
    lags_s: list[float] = attrs.field(factory=list)
    predecessor: str = ""
    samples: list[float] = attrs.field(factory=list)


class TurnLearner:
    """Observes the demand on each pool and forecasts its next peak.

    Peaks follow each other, so the start of a pool's peak is forecast from the
    latest start of the pool before it: errors of earlier turns do not add up.

    Attributes:
        turns_: What was learned of each pool.
    """

    def __init__(self):
        self.turns_: dict[str, PoolTurns] = {}
        self.last_started_ = ""

    def observe(
        self, pool: str, demand: float, workers: int, now_s: float
    ) -> None:
        """Notes the demand on a pool.

        Args:
            pool: Name of the pool.
            demand: Demand in workers.
            workers: Workers that the pool owns, the scale of its peaks.
            now_s: Monotonic time in seconds.
        """
        turns = self.turns_.setdefault(pool, PoolTurns())
        if turns.samples:
            if demand < PEAK_ENDS_BELOW * workers:
                self._end(turns, now_s)
            else:
                turns.samples.append(demand)
        elif demand > PEAK_STARTS_ABOVE * workers:
            self._start(pool, turns, now_s)
            turns.samples.append(demand)

    def peaking(self, pool: str) -> bool:
        """Whether a peak of the pool is under way."""
        return bool(self.turns_.get(pool, PoolTurns()).samples)

    def forecast(self, pool: str, now_s: float) -> list[Peak]:
        """Returns the pool's present peak and the next two, if known."""
        turns = self.turns_.get(pool)
        if turns is None:
            return []
        peaks = []
        if turns.samples:
            peaks.append(self._present(turns, now_s))
        if turns.durations_s:
            peaks.extend(self._coming(turns, now_s))
        return peaks

    def _present(self, turns: PoolTurns, now_s: float) -> Peak:
        """Returns the peak that is under way."""
        length_s = self._length_s(turns)
        end_s = max(turns.starts_s[-1] + length_s, now_s + 1.0)
        seen = _quantile(turns.samples)
        return Peak(turns.starts_s[-1], end_s, (seen,))

    def _coming(self, turns: PoolTurns, now_s: float) -> list[Peak]:
        length_s = self._length_s(turns)
        start_s, margin_s = self._next_start(turns)
        if start_s is None:
            return []
        # A peak that is overdue is expected at any moment, until it is so late
        # that the habit must have changed.
        if now_s - start_s > length_s:
            return []
        start_s = max(start_s, now_s)
        levels = tuple(turns.levels)
        peaks = [Peak(start_s, start_s + length_s, levels, margin_s)]
        periods_s = _differences(turns.starts_s)
        if periods_s:
            later_s = start_s + statistics.median(periods_s)
            peaks.append(Peak(later_s, later_s + length_s, levels, margin_s))
        return peaks

    def _length_s(self, turns: PoolTurns) -> float:
        if turns.durations_s:
            return statistics.median(turns.durations_s)
        return self.peak_s() or 0.0

    def peak_s(self) -> float | None:
        """Returns the usual length of a peak; None if not known yet."""
        durations_s = [
            duration_s
            for turns in self.turns_.values()
            for duration_s in turns.durations_s
        ]
        return statistics.median(durations_s) if durations_s else None

    def _next_start(self, turns: PoolTurns) -> tuple[float | None, float]:
        """Returns the next start, and its error, from the latest news."""
        previous = self.turns_.get(turns.predecessor)
        if previous is not None and turns.lags_s:
            start_s = previous.starts_s[-1] + statistics.median(turns.lags_s)
            if start_s > turns.starts_s[-1] + turns.durations_s[-1]:
                return start_s, _deviation(turns.lags_s)
        periods_s = _differences(turns.starts_s)
        if not periods_s:
            return None, 0.0
        start_s = turns.starts_s[-1] + statistics.median(periods_s)
        return start_s, _deviation(periods_s)

    def _start(self, pool: str, turns: PoolTurns, now_s: float) -> None:
        before = self.last_started_
        if before and before != pool:
            lag_s = now_s - self.turns_[before].starts_s[-1]
            if turns.predecessor != before:
                turns.predecessor = before
                turns.lags_s.clear()
            _keep(turns.lags_s, lag_s)
        self.last_started_ = pool
        _keep(turns.starts_s, now_s)

    def _end(self, turns: PoolTurns, now_s: float) -> None:
        _keep(turns.durations_s, now_s - turns.starts_s[-1])
        _keep(turns.levels, _quantile(turns.samples))
        turns.samples.clear()


def _keep(values: list[float], value: float) -> None:
    values.append(value)
    del values[:-MEMORY]


def _differences(values: Sequence[float]) -> list[float]:
    return [later - earlier for earlier, later in itertools.pairwise(values)]


def _deviation(values: Sequence[float]) -> float:
    """Returns the median absolute deviation from the median."""
    middle = statistics.median(values)
    return statistics.median(abs(value - middle) for value in values)


def _quantile(samples: Sequence[float]) -> float:
    ordered = sorted(samples)
    return ordered[int(LEVEL_QUANTILE * (len(ordered) - 1))]

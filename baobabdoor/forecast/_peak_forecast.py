"""Learns when the demand on each pool peaks and forecasts the next peaks."""

from collections.abc import Sequence
import itertools
import statistics

import attrs

# A peak starts when demand rises above the first fraction of the pool's own
# workers and ends when it falls below the second. Demand is a few hundredths of
# the workers between peaks and exceeds all of them in a peak, so both states
# are far from either threshold.
PEAK_STARTS_ABOVE = 0.5
PEAK_ENDS_BELOW = 0.25
# Number of latest values kept of each quantity; more would adapt too slowly to
# a change in the pattern.
MAX_SAMPLES = 8
# The level of a peak is this quantile of its samples: it covers most of the
# peak and ignores single bursts.
LEVEL_QUANTILE = 0.75


@attrs.frozen
class Peak:
    """A current or expected peak.

    Attributes:
        start_s: When it starts or started, in monotonic seconds.
        end_s: When it is expected to end.
        levels: Demand in workers. An expected peak has the levels of earlier
            peaks, each of which is equally likely.
        margin_s: How much earlier than expected it may start.
    """

    start_s: float
    end_s: float
    levels: tuple[float, ...]
    margin_s: float = 0.0


@attrs.define
class PeakHistory:
    """Recent peaks of one pool.

    Attributes:
        starts_s: Start times of the latest peaks.
        durations_s: Durations of the latest peaks.
        levels: Levels of the latest peaks, in workers.
        lags_s: Latest lags of a peak's start behind that of the predecessor.
        predecessor: Pool whose peak preceded the latest one; empty if unknown.
        samples: Demand since the current peak began; empty between peaks.
    """

    starts_s: list[float] = attrs.field(factory=list)
    durations_s: list[float] = attrs.field(factory=list)
    levels: list[float] = attrs.field(factory=list)
    lags_s: list[float] = attrs.field(factory=list)
    predecessor: str = ""
    samples: list[float] = attrs.field(factory=list)


class PeakForecaster:
    """Observes the demand on each pool and forecasts its next peak.

    The pools peak in a fixed order, so the start of a pool's peak is forecast
    from the latest start of its predecessor's peak. This way the errors of
    earlier forecasts do not accumulate.

    Attributes:
        histories_: Recent peaks of each pool.
    """

    def __init__(self):
        self.histories_: dict[str, PeakHistory] = {}
        self.last_started_pool_ = ""

    def observe(
        self, pool: str, demand: float, workers: int, now_s: float
    ) -> None:
        """Records the demand on a pool.

        Args:
            pool: Name of the pool.
            demand: Demand in workers.
            workers: Number of the pool's own workers, which scales the
                thresholds of a peak.
            now_s: Monotonic time in seconds.
        """
        history = self.histories_.setdefault(pool, PeakHistory())
        if history.samples:
            if demand < PEAK_ENDS_BELOW * workers:
                self._end_peak(history, now_s)
            else:
                history.samples.append(demand)
        elif demand > PEAK_STARTS_ABOVE * workers:
            self._begin_peak(pool, history, now_s)
            history.samples.append(demand)

    def is_peaking(self, pool: str) -> bool:
        """Returns whether the pool is in a peak."""
        return bool(self.histories_.get(pool, PeakHistory()).samples)

    def forecast(self, pool: str, now_s: float) -> list[Peak]:
        """Returns the pool's current peak and the next two, if known."""
        history = self.histories_.get(pool)
        if history is None:
            return []
        peaks = []
        if history.samples:
            peaks.append(self._current_peak(history, now_s))
        if history.durations_s:
            peaks.extend(self._upcoming_peaks(history, now_s))
        return peaks

    def _current_peak(self, history: PeakHistory, now_s: float) -> Peak:
        """Returns the current peak."""
        duration_s = self._expected_duration_s(history)
        end_s = max(history.starts_s[-1] + duration_s, now_s + 1.0)
        level = _level(history.samples)
        return Peak(history.starts_s[-1], end_s, (level,))

    def _upcoming_peaks(self, history: PeakHistory, now_s: float) -> list[Peak]:
        duration_s = self._expected_duration_s(history)
        start_s, margin_s = self._next_start_s(history)
        if start_s is None:
            return []
        # An overdue peak may start at any moment. Once it is late by a whole
        # peak duration, the pattern must have changed.
        if now_s - start_s > duration_s:
            return []
        start_s = max(start_s, now_s)
        levels = tuple(history.levels)
        peaks = [Peak(start_s, start_s + duration_s, levels, margin_s)]
        periods_s = _differences(history.starts_s)
        if periods_s:
            later_s = start_s + statistics.median(periods_s)
            peaks.append(Peak(later_s, later_s + duration_s, levels, margin_s))
        return peaks

    def _expected_duration_s(self, history: PeakHistory) -> float:
        if history.durations_s:
            return statistics.median(history.durations_s)
        return self.typical_duration_s() or 0.0

    def typical_duration_s(self) -> float | None:
        """Returns the median duration of a peak; None if not known yet."""
        durations_s = [
            duration_s
            for history in self.histories_.values()
            for duration_s in history.durations_s
        ]
        return statistics.median(durations_s) if durations_s else None

    def _next_start_s(self, history: PeakHistory) -> tuple[float | None, float]:
        """Returns the expected start of the next peak and its deviation.

        Uses the lag behind the predecessor if its latest peak is newer than
        the last one of this pool, otherwise the period between peaks.
        """
        previous = self.histories_.get(history.predecessor)
        if previous is not None and history.lags_s:
            start_s = previous.starts_s[-1] + statistics.median(history.lags_s)
            if start_s > history.starts_s[-1] + history.durations_s[-1]:
                return start_s, _median_absolute_deviation(history.lags_s)
        periods_s = _differences(history.starts_s)
        if not periods_s:
            return None, 0.0
        start_s = history.starts_s[-1] + statistics.median(periods_s)
        return start_s, _median_absolute_deviation(periods_s)

    def _begin_peak(
        self, pool: str, history: PeakHistory, now_s: float
    ) -> None:
        previous = self.last_started_pool_
        if previous and previous != pool:
            lag_s = now_s - self.histories_[previous].starts_s[-1]
            if history.predecessor != previous:
                history.predecessor = previous
                history.lags_s.clear()
            _append_bounded(history.lags_s, lag_s)
        self.last_started_pool_ = pool
        _append_bounded(history.starts_s, now_s)

    def _end_peak(self, history: PeakHistory, now_s: float) -> None:
        _append_bounded(history.durations_s, now_s - history.starts_s[-1])
        _append_bounded(history.levels, _level(history.samples))
        history.samples.clear()


def _append_bounded(values: list[float], value: float) -> None:
    values.append(value)
    del values[:-MAX_SAMPLES]


def _differences(values: Sequence[float]) -> list[float]:
    return [later - earlier for earlier, later in itertools.pairwise(values)]


def _median_absolute_deviation(values: Sequence[float]) -> float:
    """Returns the median absolute deviation from the median."""
    median = statistics.median(values)
    return statistics.median(abs(value - median) for value in values)


def _level(samples: Sequence[float]) -> float:
    """Returns the level of a peak from its samples."""
    ordered = sorted(samples)
    return ordered[int(LEVEL_QUANTILE * (len(ordered) - 1))]

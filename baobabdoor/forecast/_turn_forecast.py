"""Learns how demand develops in a turn and forecasts the demand of the next."""

import collections
import math
import statistics

import attrs

from baobabdoor.forecast import _peak_forecast

# Interval between two samples of the demand on a pool, in seconds.
SAMPLE_S = 0.25
# Samples before a turn's start that belong to its shape.
LEAD_SAMPLES = 16
# Samples from a turn's start on that are kept: 20 s.
MAX_SHAPE_SAMPLES = 80
# A turn starts where its demand first exceeds this fraction of its level.
START_FRACTION = 0.5
# Demand of a turn relative to its level is limited to this, since single
# samples scatter.
MAX_RELATIVE = 1.2
# Part of a forecast that counts after one turn of a pool was seen, and after
# more.
FIRST_CONFIDENCE = 0.8
CONFIDENCE = 1.0
# Factor of the confidence after a turn that did not come.
MISS_FACTOR = 0.5
# Relative difference up to which two lags count as equal.
EQUAL_LAGS = 0.2
# Time after the expected start for which a turn is awaited, in seconds. Its
# demand is half of its level at the start, so it would be seen by then.
MAX_WAIT_S = 1.0


@attrs.define
class Turn:
    """What is known about the turns of a pool besides its `PeakHistory`.

    Attributes:
        recent: Latest samples before a turn.
        before: Samples before the start of the current turn.
        shapes: Demand in the latest turns relative to their level, by sample;
            the start is at index `LEAD_SAMPLES`.
        misses: Turns that did not come since the last one that came.
        missed_s: Expected start of the last one that did not come.
        partial: Whether a part of the current turn was not observed.
        unseen_start_s: Expected start of a turn for which nobody looked; `None`
            for none.
    """

    recent: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=2 * LEAD_SAMPLES)
    )
    before: list[float] = attrs.field(factory=list)
    shapes: list[list[float]] = attrs.field(factory=list)
    misses: int = 0
    missed_s: float = 0.0
    partial: bool = False
    unseen_start_s: float | None = None


class TurnForecaster(_peak_forecast.PeakForecaster):
    """Forecasts the demand of pools that peak in turn.

    Order, lags, durations and levels are learned as for any peak. The shape is
    added. Samples must be `SAMPLE_S` apart.
    """

    def __init__(self):
        super().__init__()
        self.turns_: dict[str, Turn] = {}
        self.shape_cache_: dict[str, list[float]] = {}
        self.resumed_s_ = -math.inf

    def observe(
        self, pool: str, demand: float, workers: float, now_s: float
    ) -> None:
        """Records the demand on a pool; see the base class."""
        turn = self.turns_.setdefault(pool, Turn())
        was_peaking = self.is_peaking(pool)
        if not was_peaking:
            self._observe_wait(pool, turn, now_s)
        previous = self.last_started_pool_
        super().observe(pool, demand, workers, now_s)
        if not was_peaking and self.is_peaking(pool):
            turn.before = list(turn.recent)
            turn.misses = 0
            turn.partial = False
            self._correct_unseen_start(pool, turn, previous not in ("", pool))
        turn.recent.append(demand)

    def resume(self, now_s: float, unseen_since_s: float) -> None:
        """Continues after a time for which nobody observed the demand.

        A turn that was under way is so until its expected end. Turns that were
        expected to start and end meanwhile are assumed to have come, for one
        round at most, and none of them counts as missed.

        Args:
            now_s: Time of the next observation.
            unseen_since_s: Start of the time without observations.
        """
        self.resumed_s_ = now_s
        for pool, history in self.histories_.items():
            if history.samples:
                self._resume_turn(pool, history, now_s)
        for _ in self.histories_:
            if not self._assume_turn(now_s, unseen_since_s):
                break
        for pool, turn in self.turns_.items():
            start_s = self.expected_start(pool, now_s)
            if self.is_peaking(pool) or start_s is None or start_s > now_s:
                continue
            turn.missed_s = start_s
            if start_s + MAX_WAIT_S >= unseen_since_s:
                turn.unseen_start_s = start_s

    def _resume_turn(
        self, pool: str, history: _peak_forecast.PeakHistory, now_s: float
    ) -> None:
        """Fills up the samples of a turn, or drops them if it has ended."""
        turn = self.turns_[pool]
        elapsed_s = now_s - history.starts_s[-1]
        # A turn ends where its demand falls below a quarter of the level, which
        # varies.
        duration_s = (
            self._expected_duration_s(history) or MAX_SHAPE_SAMPLES * SAMPLE_S
        )
        if elapsed_s > duration_s + MAX_WAIT_S:
            history.samples.clear()
            return
        count = min(MAX_SHAPE_SAMPLES, round(elapsed_s / SAMPLE_S))
        missing = max(0, count - len(history.samples))
        history.samples.extend([history.samples[-1]] * missing)
        turn.partial = turn.partial or missing > 1

    def _assume_turn(self, now_s: float, unseen_since_s: float) -> bool:
        """Assumes that the earliest unseen turn came; returns whether any."""
        ended = []
        for pool, history in self.histories_.items():
            start_s = self.expected_start(pool, now_s)
            if history.samples or start_s is None:
                continue
            end_s = start_s + self._expected_duration_s(history)
            if end_s <= now_s and start_s + MAX_WAIT_S >= unseen_since_s:
                ended.append((start_s, pool))
        if not ended:
            return False
        start_s, pool = min(ended)
        starts_s = self.histories_[pool].starts_s
        starts_s.append(start_s)
        del starts_s[: -_peak_forecast.MAX_SAMPLES]
        self.last_started_pool_ = pool
        return True

    def _correct_unseen_start(
        self, pool: str, turn: Turn, has_lag: bool
    ) -> None:
        """Corrects the start of a turn that began while nobody looked."""
        start_s, turn.unseen_start_s = turn.unseen_start_s, None
        history = self.histories_[pool]
        if start_s is None:
            return
        late_s = history.starts_s[-1] - start_s
        if history.starts_s[-1] > self.resumed_s_ + MAX_WAIT_S or late_s <= 0:
            return
        history.starts_s[-1] = start_s
        if has_lag:
            history.lags_s[-1] = max(0.0, history.lags_s[-1] - late_s)
        missing = min(MAX_SHAPE_SAMPLES, round(late_s / SAMPLE_S))
        history.samples.extend([history.samples[-1]] * missing)
        turn.before.clear()
        turn.partial = True

    def level(self, pool: str) -> float | None:
        """Returns the median level of a pool's turns; `None` if unknown."""
        history = self.histories_.get(pool)
        if history is None or not history.levels:
            return None
        return statistics.median(history.levels)

    def typical_level(self) -> float | None:
        """Returns the median level of all pools; `None` if unknown."""
        levels = [self.level(pool) for pool in self.histories_]
        known = [level for level in levels if level is not None]
        return statistics.median(known) if known else None

    def expected_start(self, pool: str, now_s: float) -> float | None:
        """Returns when the next turn of a pool starts, or the current did."""
        history = self.histories_.get(pool)
        if history is None or not history.levels:
            return None
        if history.samples:
            return history.starts_s[-1]
        start_s, _ = self._next_start_s(history)
        ended_s = history.starts_s[-1] + history.durations_s[-1]
        if start_s is None or start_s < ended_s:
            start_s = self._start_of_next_round(pool)
        if start_s is None or start_s < ended_s:
            return None
        return start_s

    def demand(
        self, pool: str, now_s: float, until_s: float, margin_s: float
    ) -> float:
        """Returns the greatest demand expected up to a time.

        Args:
            pool: Name of the pool.
            now_s: Current time.
            until_s: End of the time considered.
            margin_s: How much earlier than expected a turn may start.
        """
        start_s = self.expected_start(pool, now_s)
        if start_s is None:
            return 0.0
        awaited_until_s = self._awaited_until_s(pool, start_s)
        if not self.is_peaking(pool) and now_s > awaited_until_s:
            return 0.0
        shape = self._shape(pool)
        first = round((now_s - start_s) / SAMPLE_S) + LEAD_SAMPLES
        last = round((until_s + margin_s - start_s) / SAMPLE_S) + LEAD_SAMPLES
        values = shape[max(0, first) : max(0, last + 1)]
        if not values:
            return 0.0
        return max(values) * self.level(pool) * self.confidence(pool)

    def _awaited_until_s(self, pool: str, start_s: float) -> float:
        """Returns until when a turn counts although it was not observed."""
        if self.turns_[pool].unseen_start_s == start_s:
            # It may have begun while nobody looked.
            return max(start_s, self.resumed_s_) + MAX_WAIT_S
        return start_s + MAX_WAIT_S

    def misses(self, pool: str) -> int:
        """Returns how many turns did not come since the last that came."""
        turn = self.turns_.get(pool)
        return turn.misses if turn else 0

    def confidence(self, pool: str) -> float:
        """Returns which part of a forecast counts."""
        history = self.histories_.get(pool)
        if history is None or not history.levels:
            return 0.0
        seen = CONFIDENCE if len(history.levels) > 1 else FIRST_CONFIDENCE
        return seen * MISS_FACTOR ** self.misses(pool)

    def _next_start_s(
        self, history: _peak_forecast.PeakHistory
    ) -> tuple[float | None, float]:
        """Returns the expected start of the next turn and its deviation.

        While few lags of a pool are known, those of all pools count: turns
        follow one another at equal intervals, and single starts scatter.
        """
        start_s, deviation_s = super()._next_start_s(history)
        previous = self.histories_.get(history.predecessor)
        if start_s is None or previous is None or not history.lags_s:
            return start_s, deviation_s
        own_s = statistics.median(history.lags_s)
        if start_s != previous.starts_s[-1] + own_s:
            return start_s, deviation_s
        lags_s = self._all_lags_s()
        common_s = statistics.median(lags_s)
        if abs(own_s - common_s) > EQUAL_LAGS * common_s:
            return start_s, deviation_s
        return previous.starts_s[-1] + common_s, deviation_s

    def _all_lags_s(self) -> list[float]:
        return [
            lag_s
            for history in self.histories_.values()
            for lag_s in history.lags_s
        ]

    def _observe_wait(self, pool: str, turn: Turn, now_s: float) -> None:
        """Counts a turn that did not come."""
        start_s = self.expected_start(pool, now_s)
        if start_s is None or now_s <= start_s + MAX_WAIT_S:
            return
        if start_s != turn.missed_s:
            turn.missed_s = start_s
            turn.misses += 1

    def _start_of_next_round(self, pool: str) -> float | None:
        """Returns when the next round starts, if it starts with this pool.

        A turn returns after all others: if the last turn has no known
        successor, the pool whose turn is longest ago follows.
        """
        last = self.last_started_pool_
        lags_s = self._all_lags_s()
        started = {
            name: history.starts_s[-1]
            for name, history in self.histories_.items()
            if history.starts_s
        }
        if len(started) < 2 or not lags_s or pool == last:
            return None
        successors = [
            name
            for name, history in self.histories_.items()
            if history.predecessor == last
        ]
        if successors or min(started, key=started.__getitem__) != pool:
            return None
        if len(started) < len(self.histories_):
            # Pools that have had no turn yet come first.
            return None
        return started[last] + statistics.median(lags_s)

    def _shape(self, pool: str) -> list[float]:
        """Returns the mean shape of a pool's turns, or of all turns."""
        shape = self.shape_cache_.get(pool)
        if shape is None:
            shapes = self.turns_[pool].shapes
            if len(shapes) < 2:
                shapes = [
                    one for turn in self.turns_.values() for one in turn.shapes
                ]
            shape = mean_shape(shapes) if shapes else []
            self.shape_cache_[pool] = shape
        return shape

    def _end_peak(
        self, history: _peak_forecast.PeakHistory, now_s: float
    ) -> None:
        samples = list(history.samples)
        super()._end_peak(history, now_s)
        pool = next(
            name for name, one in self.histories_.items() if one is history
        )
        turn = self.turns_[pool]
        level = max(history.levels[-1], 1e-9)
        values = [*turn.before, *samples]
        # The threshold that a turn was noticed by is a guess at first. The
        # level is known now, and with it the start.
        start = next(
            index
            for index, value in enumerate(values)
            if value >= START_FRACTION * level
        )
        shift_s = (start - len(turn.before)) * SAMPLE_S
        history.starts_s[-1] += shift_s
        history.durations_s[-1] -= shift_s
        if history.lags_s:
            history.lags_s[-1] += shift_s
        self._shift_successor(pool, history.starts_s[-1], shift_s)
        if turn.partial and any(one.shapes for one in self.turns_.values()):
            # What was not observed would distort the shape.
            return
        lead = values[max(0, start - LEAD_SAMPLES) : start]
        lead = [0.0] * (LEAD_SAMPLES - len(lead)) + lead
        body = values[start : start + MAX_SHAPE_SAMPLES]
        turn.shapes.append(
            [min(MAX_RELATIVE, value / level) for value in [*lead, *body]]
        )
        del turn.shapes[: -_peak_forecast.MAX_SAMPLES]
        self.shape_cache_.clear()

    def _shift_successor(
        self, pool: str, start_s: float, shift_s: float
    ) -> None:
        """Corrects a lag that counts from a start that has been corrected."""
        for history in self.histories_.values():
            counted = history.predecessor == pool and history.lags_s
            if counted and history.starts_s[-1] > start_s:
                history.lags_s[-1] -= shift_s


def mean_shape(shapes: list[list[float]]) -> list[float]:
    """Returns the mean of shapes; a shorter one counts as 0 after its end."""
    length = max(len(shape) for shape in shapes)
    return [
        sum(shape[index] for shape in shapes if index < len(shape))
        / len(shapes)
        for index in range(length)
    ]

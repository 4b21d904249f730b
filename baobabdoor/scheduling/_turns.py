"""Connects the forecast of turns with the autoscaler of the pools."""

import math

from baobabdoor import forecast
from baobabdoor.scheduling import _arrivals

# Time from an order until a machine's worker gets starts, beyond the duration
# of the move, in seconds. It is 0.5 to 0.7 s, and jobs have more slack than the
# difference.
WORKER_START_S = 0.4
# A turn may start earlier than expected by this, in seconds.
START_MARGIN_S = 0.0
# Growth of a rate is not extrapolated beyond this multiple of the level of
# earlier turns.
LEVEL_MARGIN = 1.0
# The same for a pool without turns so far: a multiple of the others' level.
OTHERS_MARGIN = 1.5
# Multiple of the expected rate that is provided: sizes of jobs scatter.
RATE_MARGIN = 1.0
# Samples are means over a window, so they lag by half of it, in seconds.
SAMPLE_WINDOW_S = 0.75
# Rate that starts a turn of a pool while the level of no turn is known, as a
# multiple of its mean rate, and the least number of arrivals in a window. The
# numbers of arrivals of a steady load reach neither.
FIRST_FACTOR = 3.0
MIN_ARRIVALS = 12
# Time constant of the mean rate in seconds.
MEAN_S = 15.0


class Turns:
    """Observes arrivals and forecasts the cores that a pool needs.

    Args:
        autoscaler: Autoscaler with the arrivals.
    """

    def __init__(self, autoscaler):
        self.autoscaler = autoscaler
        self.forecaster = forecast.TurnForecaster()
        self.means_: dict[str, float] = {}
        self.sampled_s_ = -math.inf
        # Start of the time without observations before this term, and when
        # observations begin; `None` if nothing was restored.
        self.unseen_since_s_: float | None = None
        self.resumes_s_ = math.inf

    def encode(self, now_s: float, store_ms: float) -> bytes:
        """Returns what was learned; empty if nothing was.

        Without a standby pool no machines are prepared for turns. What was
        restored is not repeated before observations go on, since it would count
        as observed until now.
        """
        if self.unseen_since_s_ is not None:
            return b""
        pools = self.autoscaler.scheduler.configuration.pools.values()
        known = self.forecaster.typical_level() is not None
        if not known or not any(pool.standby for pool in pools):
            return b""
        return forecast.encode(self.forecaster, now_s, store_ms)

    def restore(self, value: bytes, now_s: float, store_ms: float) -> None:
        """Adopts what an earlier leader has learned.

        Raises:
            ValueError: If the value cannot be read.
        """
        pools = self.autoscaler.scheduler.configuration.pools
        if not any(pool.standby for pool in pools.values()):
            return
        served = {name for name, pool in pools.items() if not pool.standby}
        learned = forecast.decode(value, now_s, store_ms, served)
        self.forecaster = learned.forecaster
        self.unseen_since_s_ = learned.written_s

    def _resumes(self, now_s: float) -> bool:
        """Returns whether observations go on after a change of leader.

        Until a whole window follows the first arrival, windows would show that
        turns have ended.
        """
        if self.unseen_since_s_ is None:
            return True
        arrivals = self.autoscaler.arrivals_.values()
        if self.resumes_s_ == math.inf and any(
            one.work_samples_ for one in arrivals
        ):
            self.resumes_s_ = now_s + SAMPLE_WINDOW_S
        if now_s < self.resumes_s_:
            return False
        for pool in self.forecaster.histories_:
            self.autoscaler.arrivals_.setdefault(pool, _arrivals.ArrivalRate())
        at_s = now_s - SAMPLE_WINDOW_S / 2
        self.forecaster.resume(at_s, self.unseen_since_s_)
        self.unseen_since_s_ = None
        return True

    @property
    def enabled(self) -> bool:
        """Whether turns are learned and forecast."""
        return self.autoscaler.scheduler.options.forecasts_turns

    def observe(self, now_s: float) -> None:
        """Samples the arrivals of all pools if a sample is due."""
        if not self.enabled:
            return
        if not self._resumes(now_s):
            return
        elapsed_s = now_s - self.sampled_s_
        if elapsed_s < forecast.SAMPLE_S * 0.9:
            return
        self.sampled_s_ = now_s
        for pool, arrivals in self.autoscaler.arrivals_.items():
            count, cores = arrivals.window(now_s, SAMPLE_WINDOW_S)
            scale = self._scale(pool, count, cores)
            mean = self.means_.get(pool, cores)
            weight = forecast.SAMPLE_S / MEAN_S
            self.means_[pool] = mean + weight * (cores - mean)
            at_s = now_s - SAMPLE_WINDOW_S / 2
            self._observe_pool(pool, cores, scale, at_s)

    def _observe_pool(
        self, pool: str, cores: float, scale: float, at_s: float
    ) -> None:
        forecaster = self.forecaster
        was_peaking = forecaster.is_peaking(pool)
        misses = forecaster.misses(pool)
        forecaster.observe(pool, cores, scale, at_s)
        emit = self.autoscaler.scheduler.emit
        if was_peaking and not forecaster.is_peaking(pool):
            history = forecaster.histories_[pool]
            emit(
                "turn_learned",
                pool=pool,
                level_cores=round(history.levels[-1], 1),
                length_s=round(history.durations_s[-1], 2),
                turns=len(history.levels),
            )
        elif forecaster.misses(pool) > misses:
            confidence = round(forecaster.confidence(pool), 2)
            emit("turn_missed", pool=pool, confidence=confidence)

    def _scale(self, pool: str, count: int, cores: float) -> float:
        """Returns the level that decides whether a pool is in a turn."""
        level = self.forecaster.level(pool)
        if level is not None:
            return level
        if self.forecaster.is_peaking(pool):
            return max(self.forecaster.histories_[pool].samples)
        mean = self.means_.get(pool, cores)
        if count < MIN_ARRIVALS or cores < FIRST_FACTOR * mean:
            return math.inf
        return cores

    def expected_cores(
        self, pool: str, now_s: float, later_s: float = 0.0
    ) -> float:
        """Returns the cores that the next or current turn of a pool needs."""
        if not self.enabled:
            return 0.0
        lead_s = self.autoscaler.scheduler.options.move_s + WORKER_START_S
        demand = self.forecaster.demand(
            pool, now_s, now_s + lead_s + later_s, START_MARGIN_S
        )
        return demand * RATE_MARGIN

    def limit_cores(self, pool: str, now_s: float) -> float:
        """Returns the rate beyond which no growth is extrapolated."""
        if not self.enabled:
            return math.inf
        level = self.forecaster.level(pool)
        mean = self.means_.get(pool, 0.0)
        if level is None:
            typical = self.forecaster.typical_level()
            if typical is None or mean > typical:
                # A steady load says nothing of the turns of other pools.
                return math.inf
            return typical * OTHERS_MARGIN
        if self.forecaster.is_peaking(pool):
            # A peak that outlasts the turns before is met by the measured rate.
            return self.expected_cores(pool, now_s) or math.inf
        return max(level, mean) * LEVEL_MARGIN

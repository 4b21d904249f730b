"""Detection of clock jumps and of pauses of the process or VM."""

from baobabdoor import base

MAX_EXTRA_S = 1.0


class ClockJumpDetector:
    """Compares the time between two ticks with the period of the ticks.

    The wall clock is compared too, because the monotonic clock of a VM may
    stop while the VM is suspended.

    Args:
        period_s: Time between ticks in seconds.
        max_extra_s: Tolerated deviation in seconds. Default: 1.
    """

    PARAMETER_CONSTRAINTS = {
        "period_s": base.Interval(0),
        "max_extra_s": base.Interval(0),
    }

    def __init__(self, period_s: float, max_extra_s: float = MAX_EXTRA_S):
        self.period_s = period_s
        self.max_extra_s = max_extra_s
        self.last_tick_s_: float | None = None
        self.last_tick_wall_ms_ = 0

    def observe(self, now_s: float, wall_ms: int) -> bool:
        """Records a tick; returns whether the clock jumped since the last."""
        if self.last_tick_s_ is None:
            base.validate(self)
            jumped = False
        else:
            jumped = self.is_overdue(now_s, wall_ms)
        self.last_tick_s_ = now_s
        self.last_tick_wall_ms_ = wall_ms
        return jumped

    def is_overdue(self, now_s: float, wall_ms: int) -> bool:
        """Returns whether a tick is overdue, so that a jump is possible."""
        if self.last_tick_s_ is None:
            return True
        passed_s = now_s - self.last_tick_s_
        passed_wall_s = (wall_ms - self.last_tick_wall_ms_) / 1000
        if abs(passed_wall_s - passed_s) > self.max_extra_s:
            return True
        return passed_s < 0 or passed_s > self.period_s + self.max_extra_s

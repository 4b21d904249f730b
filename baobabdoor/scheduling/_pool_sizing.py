"""Decides how many cores a pool gets and how many machines it may release."""

import collections
import math

from baobabdoor.scheduling import _arrivals

# Factor of the arrival rate for which capacity is provided in advance.
RATE_WEIGHT = 1.1
# Limit of the arrival rate's effect, as a multiple of the demand of the present
# jobs: one large job does not mean that more will arrive.
MAX_RATE_FACTOR = 2.0

# Multiple of the usual rate up to which a measured rate counts. Beyond it the
# pool is sized by its present jobs, so that noise adds no machines.
USUAL_MARGIN = 1.0
# Window of the rate where turns are known, in seconds.
SMOOTH_WINDOW_S = 1.0
# Time for which machines must be unneeded before they move to standby. A move
# costs as much as about one second of a machine.
SCALE_DOWN_DELAY_S = 1.0


def batch_cores(
    demand: float,
    arrivals: _arrivals.ArrivalRate,
    now_s: float,
    move_delay_s: float,
    usual_cores: float = math.inf,
) -> float:
    """Returns the cores that the batch jobs of a pool need.

    Answers a load that multiplies within one or two seconds, while machines
    take longer to arrive: jobs of a queue with little slack are late unless
    there is capacity for the rate that is expected then.

    Args:
        demand: Cores that the present jobs need to meet their objectives.
        arrivals: Recent arrivals.
        now_s: Current time.
        move_delay_s: Time until an ordered machine is ready, in seconds.
        usual_cores: Rate beyond which growth is not extrapolated.
    """
    if usual_cores < math.inf:
        # The forecast of the turn covers its start, so noise need not.
        _, rate = arrivals.window(now_s, SMOOTH_WINDOW_S)
    else:
        rate = arrivals.cores(now_s)
    rate = min(rate, usual_cores * USUAL_MARGIN)
    limit = MAX_RATE_FACTOR * demand + arrivals.rejected_cores(now_s)
    cores = max(demand, min(rate * RATE_WEIGHT, limit))
    forecast = arrivals.forecast_cores(now_s, move_delay_s)
    forecast = min(forecast, max(rate, usual_cores))
    return max(cores, forecast) if forecast > rate else cores


class ScaleDownWindow:
    """Limits scale-down by the recent requirements of a pool.

    A pool releases only machines that it has not needed for a delay. All of
    them are released at once, however many the pool has gathered.

    Args:
        delay_s: Length of the window in seconds.

    Example:
        >>> window = ScaleDownWindow(delay_s=2.0)
        >>> window.surplus(0.0, required=3, current=10)
        0
        >>> window.surplus(2.5, required=4, current=10)
        6
    """

    def __init__(self, delay_s: float = SCALE_DOWN_DELAY_S):
        self.delay_s = delay_s
        self.started_s_: float | None = None
        # Requirements that no later one exceeds, newest last.
        self.maxima_: collections.deque[tuple[float, int]] = collections.deque()

    def surplus(self, now_s: float, required: int, current: int) -> int:
        """Records a requirement; returns how many machines may leave.

        Args:
            now_s: Current time.
            required: Machines that the pool needs now.
            current: Machines of the pool.
        """
        if self.started_s_ is None:
            self.started_s_ = now_s
        while self.maxima_ and self.maxima_[-1][1] <= required:
            self.maxima_.pop()
        self.maxima_.append((now_s, required))
        while self.maxima_[0][0] < now_s - self.delay_s:
            self.maxima_.popleft()
        if now_s - self.started_s_ < self.delay_s:
            return 0
        return max(0, current - self.maxima_[0][1])

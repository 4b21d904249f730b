"""Gradual ramp-up of a pool's load after an outage."""

# A pool that has no slots, free or in use, for this long had an outage.
OUTAGE_S = 1.0
# Limit on requests in progress at the end of an outage. Every finished request
# raises the limit by one, which doubles the load once per service time.
INITIAL_LIMIT = 2


class SlowStart:
    """Limits the requests in progress of one pool after an outage."""

    def __init__(self):
        self.limit_: int | None = None
        self.empty_since_s_: float | None = None

    def allowed(self, free: int, running: int, now_s: float) -> int:
        """Returns how many requests may start now.

        Args:
            free: Free slots of the pool.
            running: Requests in progress.
            now_s: Monotonic time in seconds.
        """
        self._observe(free, running, now_s)
        if self.limit_ is None:
            return free
        if self.limit_ >= free + running:
            self.limit_ = None
            return free
        return min(free, max(0, self.limit_ - running))

    def release(self) -> None:
        """Raises the limit after a request has finished."""
        if self.limit_ is not None:
            self.limit_ += 1

    def _observe(self, free: int, running: int, now_s: float) -> None:
        if free <= 0 and running == 0:
            if self.empty_since_s_ is None:
                self.empty_since_s_ = now_s
            return
        empty_since_s = self.empty_since_s_
        self.empty_since_s_ = None
        if empty_since_s is not None and now_s - empty_since_s >= OUTAGE_S:
            self.limit_ = INITIAL_LIMIT

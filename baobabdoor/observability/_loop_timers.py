"""Timer service on a tornado event loop."""

import time

from tornado import ioloop

from baobabdoor import base


class LoopTimerService(base.TimerService):
    """Runs timers on the event loop of the process.

    Args:
        loop: The event loop. Default: the current one at each call.
    """

    def __init__(self, loop: ioloop.IOLoop | None = None):
        self.loop = loop

    def now_s(self) -> float:
        """Returns the system's monotonic clock in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Returns the system's wall clock in milliseconds."""
        return time.time_ns() // 1_000_000

    def call_later(
        self, delay_s: float, callback: base.Callback
    ) -> base.Subscription:
        """Calls `callback` on the event loop after `delay_s` seconds."""
        subscription = base.Subscription(callback)

        def fire() -> None:
            if not subscription.cancelled:
                callback()

        loop = self.loop or ioloop.IOLoop.current()
        loop.call_later(delay_s, fire)
        return subscription

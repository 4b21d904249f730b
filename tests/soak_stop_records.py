"""What callers see in a soak of planned stops."""

import asyncio
import collections
import math
import time

import attrs
import soak_oracle

TICK_INTERVAL_S = 0.01


@attrs.frozen
class CutRequest:
    """A request whose connection ended without a complete response.

    Attributes:
        method: Its method.
        path: Its path.
        daemon: Daemon to which it was sent.
        sent_s: Time at which its last byte was sent.
        ended_s: Earliest time at which the connection may have ended.
        deadline_s: Time for its response, from `sent_s`.
        stopped_s: Time of the last SIGTERM of the daemon; minus infinity if
            there was none.
    """

    method: str
    path: str
    daemon: int
    sent_s: float
    ended_s: float
    deadline_s: float
    stopped_s: float = -math.inf

    def is_lost(self) -> bool:
        """Returns whether the rule LOST is violated.

        It is not if the request may have been sent when the process exited, or
        if its deadline was reached.
        """
        age_s = self.ended_s - self.sent_s
        return soak_oracle.LOSS_SLACK_S < age_s < self.deadline_s

    def describe(self) -> str:
        """Returns what happened."""
        return (
            f"{self.method} {self.path} at daemon {self.daemon}, sent "
            f"{self.sent_s - self.stopped_s:.2f} s after SIGTERM, was cut "
            f"{self.ended_s - self.sent_s:.2f} s later"
        )


@attrs.define
class Series:
    """What callers saw from the start of a series of stops to its end.

    Attributes:
        stops: Number of stops.
        outcomes: Requests by status, or by error without a response. Failed
            connections are no requests.
        lost: Number of requests that violate the rule LOST.
        most_pending: Most requests without a response at one stopping daemon.
        longest_wait_s: Longest time to a response.
    """

    stops: int = 0
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    lost: int = 0
    most_pending: int = 0
    longest_wait_s: float = 0.0

    @property
    def failed(self) -> int:
        """Requests whose caller does not know the result."""
        return sum(self.outcomes[kind] for kind in (504, "cut", "timeout"))

    @property
    def refused(self) -> int:
        """Requests that were refused as not run."""
        return self.outcomes[503] + self.outcomes[429]


class LoopWatch:
    """Bounds the delay with which the event loop has noticed an event.

    The process also runs the simulated platform, so that callers may notice the
    end of a connection late.

    Args:
        ticks: Iterations that may pass from the end of a connection until its
            caller runs.
    """

    def __init__(self, ticks: int = 2):
        self.ticks_s = collections.deque([time.monotonic()] * ticks, ticks)
        # Longest time between two iterations.
        self.longest_s = 0.0

    async def run(self) -> None:
        """Records the iterations of the event loop until it is cancelled."""
        now_s = time.monotonic()
        self.ticks_s.extend([now_s, now_s])
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = time.monotonic()
            self.longest_s = max(self.longest_s, now_s - self.ticks_s[-1])
            self.ticks_s.append(now_s)

    def earliest_s(self) -> float:
        """Returns a time before which no event noticed now has happened.

        The loop has looked for events since then, and after the last tick
        another event may have delayed it.
        """
        return self.ticks_s[0]

"""Bounds the processor time spent on bodies in many small chunks."""

import asyncio
import collections
from collections.abc import Callable

# Chunks of a body that are read without waiting for a turn, and in each turn.
BATCH = 64
# Chunks per second of all such bodies. Reading a chunk takes about 6 us, so
# that they take about a quarter of the processor time.
RATE_PER_S = 40_000
INTERVAL_S = 0.01
TURNS_PER_INTERVAL = round(RATE_PER_S * INTERVAL_S / BATCH)


class ChunkPacer:
    """Lets bodies with many chunks take turns at a bounded rate.

    Without it, a thousand bodies in chunks of one byte each delay all other
    work of the process by more than a second at a time.
    """

    def __init__(self):
        self.waiters_: collections.deque = collections.deque()
        self.turns_left_ = TURNS_PER_INTERVAL
        self.granting_ = False

    async def turn(self, closed: Callable[[], bool]) -> None:
        """Waits for the next turn.

        Args:
            closed: Returns whether the connection has been closed meanwhile,
                in which case it takes no turn of others.
        """
        loop = asyncio.get_running_loop()
        if not self.granting_:
            self.granting_ = True
            loop.call_later(INTERVAL_S, self._grant)
        if self.turns_left_ and not self.waiters_:
            self.turns_left_ -= 1
            return
        waiter = loop.create_future()
        self.waiters_.append((waiter, closed))
        await waiter

    def _grant(self) -> None:
        is_idle = self.turns_left_ == TURNS_PER_INTERVAL
        self.turns_left_ = TURNS_PER_INTERVAL
        while self.waiters_ and self.turns_left_:
            waiter, closed = self.waiters_.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self.turns_left_ -= not closed()
        self.granting_ = not is_idle
        if self.granting_:
            asyncio.get_running_loop().call_later(INTERVAL_S, self._grant)

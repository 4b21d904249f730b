"""Bounds the starts that await an answer.

On a full link every further start delays all others, until none is answered in
time and each is stopped and sent again. Starts beyond the bounds wait here.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import weakref

from baobabdoor import scheduling

# Starts under way from one holder: at about 700 bytes each they fill a link of
# 2 Mbit/s for 0.2 s, below the shortest limit of an order.
START_LIMIT = 64
# The same at one worker, so that a few silent ones do not take all turns.
WORKER_START_LIMIT = 4
# Longest wait for a turn, in seconds: a ninth of a lease.
TURN_WAIT_S = 0.4


class StartGate:
    """Gives turns to starts, first come first served."""

    def __init__(self):
        self.total_ = asyncio.Semaphore(START_LIMIT)
        self.workers_: weakref.WeakValueDictionary[str, asyncio.Semaphore] = (
            weakref.WeakValueDictionary()
        )

    async def run(
        self,
        worker_id: str,
        send: Callable[[], Awaitable[scheduling.OrderResult]],
    ) -> scheduling.OrderResult:
        """Sends a start once it is its turn.

        Returns:
            The result of `send`, or `WITHHELD` if the turn came too late.
        """
        turns = self.workers_.get(worker_id)
        if turns is None:
            turns = asyncio.Semaphore(WORKER_START_LIMIT)
            self.workers_[worker_id] = turns
        async with contextlib.AsyncExitStack() as held:
            try:
                async with asyncio.timeout(TURN_WAIT_S):
                    await held.enter_async_context(turns)
                    await held.enter_async_context(self.total_)
            except TimeoutError:
                return scheduling.OrderResult(
                    scheduling.OrderOutcome.WITHHELD, detail="no turn in time"
                )
            return await send()

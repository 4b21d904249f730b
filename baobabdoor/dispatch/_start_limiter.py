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
MAX_STARTS = 64
# The same at one worker, so that a few silent ones do not take all turns.
MAX_WORKER_STARTS = 4
# Longest wait for a turn, in seconds: a ninth of a lease.
PERMIT_WAIT_S = 0.4


class StartLimiter:
    """Gives turns to starts, first come first served."""

    def __init__(self):
        self.permits_ = asyncio.Semaphore(MAX_STARTS)
        self.worker_permits_: weakref.WeakValueDictionary[
            str, asyncio.Semaphore
        ] = weakref.WeakValueDictionary()

    async def run(
        self,
        worker_id: str,
        send: Callable[[], Awaitable[scheduling.OrderResult]],
    ) -> scheduling.OrderResult:
        """Sends a start once it is its turn.

        Returns:
            The result of `send`, or `WITHHELD` if the turn came too late.
        """
        worker_permits = self.worker_permits_.get(worker_id)
        if worker_permits is None:
            worker_permits = asyncio.Semaphore(MAX_WORKER_STARTS)
            self.worker_permits_[worker_id] = worker_permits
        async with contextlib.AsyncExitStack() as acquired:
            try:
                async with asyncio.timeout(PERMIT_WAIT_S):
                    await acquired.enter_async_context(worker_permits)
                    await acquired.enter_async_context(self.permits_)
            except TimeoutError:
                return scheduling.OrderResult(
                    scheduling.OrderOutcome.WITHHELD, detail="no turn in time"
                )
            return await send()

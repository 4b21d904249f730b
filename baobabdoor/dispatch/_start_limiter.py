"""Limits the number of concurrent start requests.

On a saturated link each additional start delays all others, until none is
answered in time and each is stopped and sent again. Starts above the limits
wait here.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import weakref

from baobabdoor import scheduling

# Maximum concurrent starts of a leader. At about 700 bytes each they occupy a
# link of 2 Mbit/s for 0.2 s, less than the shortest timeout of an order.
MAX_STARTS = 64
# Maximum for one worker, so that a few unresponsive workers cannot take all
# permits.
MAX_WORKER_STARTS = 4
# Maximum wait for a permit, in seconds: a ninth of a lease.
PERMIT_WAIT_S = 0.4


class StartLimiter:
    """Grants permits to starts in FIFO order."""

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
        """Sends a start once it has a permit.

        Returns:
            The result of `send`, or `WITHHELD` if no permit was free in time.
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
                    scheduling.OrderOutcome.WITHHELD, detail="no permit in time"
                )
            return await send()

"""Bounds the size of the requests that handlers work on at a time."""

import asyncio
import collections

# Time that a complete request waits for its turn before it is refused.
MAX_WAIT_S = 1.0


class Gate:
    """Lets requests pass in order while the sum of their sizes is bounded.

    A single request always passes.

    Args:
        max_bytes: Maximum sum of the sizes.
        max_wait_s: Maximum time to wait in seconds. Default: 1.
    """

    def __init__(self, max_bytes: int, max_wait_s: float = MAX_WAIT_S):
        self.max_bytes = max_bytes
        self.max_wait_s = max_wait_s
        self.used_bytes_ = 0
        self.waiters_: collections.deque = collections.deque()

    async def enter(self, size: int) -> bool:
        """Waits for the turn of a request; one without a body has none.

        Returns:
            Whether the request may be handled; if so, `leave` must follow.
        """
        if not size:
            return True
        if not self.waiters_ and self._fits(size):
            self.used_bytes_ += size
            return True
        waiter = asyncio.get_running_loop().create_future()
        self.waiters_.append((size, waiter))
        timer = asyncio.get_running_loop().call_later(
            self.max_wait_s, _resolve, waiter, False
        )
        try:
            return await waiter
        finally:
            timer.cancel()

    def leave(self, size: int) -> None:
        """Observes that a request that passed has been handled."""
        self.used_bytes_ -= size
        while self.waiters_:
            next_size, waiter = self.waiters_[0]
            if not waiter.done():
                if not self._fits(next_size):
                    break
                self.used_bytes_ += next_size
                waiter.set_result(True)
            self.waiters_.popleft()

    def refuse_longest_waiting(self) -> int:
        """Refuses the request that waits for longest; returns its size."""
        while self.waiters_:
            size, waiter = self.waiters_.popleft()
            if not waiter.done():
                waiter.set_result(False)
                return size
        return 0

    def _fits(self, size: int) -> bool:
        return not self.used_bytes_ or (
            self.used_bytes_ + size <= self.max_bytes
        )


def _resolve(waiter: asyncio.Future, value: bool) -> None:
    if not waiter.done():
        waiter.set_result(value)

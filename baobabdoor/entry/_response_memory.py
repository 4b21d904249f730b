"""Bounds the memory used by responses that are being received."""

import asyncio

from baobabdoor import transport


class ResponseMemoryLimiter:
    """Pauses receivers while the responses in memory exceed a limit.

    One receiver at a time is exempt from the limit, because partially received
    responses would otherwise wait for each other forever. The memory is bounded
    by the limit plus one complete response and one read for each receiver.

    Args:
        limit_bytes: Limit for all responses together.
        pool: Memory that the parts of the entry share.
    """

    def __init__(self, limit_bytes: int, pool: transport.MemoryPool):
        self.limit_bytes = limit_bytes
        self.pool = pool
        self.used_ = 0
        self.exempt_: object | None = None
        self.waiters_: dict[object, asyncio.Future] = {}

    def add(self, receiver: object, length: int) -> asyncio.Future | None:
        """Counts received bytes; returns a future if the receiver must wait."""
        self.used_ += length
        self.pool.charge(length)
        if self.used_ <= self.limit_bytes or receiver is self.exempt_:
            return None
        if self.exempt_ is None:
            self.exempt_ = receiver
            return None
        waiter = asyncio.get_running_loop().create_future()
        self.waiters_[receiver] = waiter
        return waiter

    def release(self, receiver: object, length: int) -> None:
        """Releases the bytes of a receiver that has finished."""
        self.used_ -= length
        self.pool.charge(-length)
        self.wake(receiver)
        if self.exempt_ is receiver:
            self.exempt_ = None
        while self.waiters_ and self.used_ <= self.limit_bytes:
            self.wake(next(iter(self.waiters_)))
        if self.waiters_ and self.exempt_ is None:
            self.exempt_ = next(iter(self.waiters_))
            self.wake(self.exempt_)

    def wake(self, receiver: object) -> None:
        """Resumes a receiver, for example so that it detects a close."""
        waiter = self.waiters_.pop(receiver, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

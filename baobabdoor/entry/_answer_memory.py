"""Bounds the memory of answers that are being received."""

import asyncio

# A quarter of the process's 64 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class AnswerMemory:
    """Makes receivers wait while all answers together are too large.

    One receiver at a time goes on above the limit, so that answers that are
    each half received do not wait for each other. The memory is bounded by
    the limit, one whole answer, and one read for each receiver.

    Args:
        limit_bytes: Limit for all answers together. Default: 16 MiB.
    """

    def __init__(self, limit_bytes: int = MAX_ANSWER_BYTES):
        self.limit_bytes = limit_bytes
        self.used_ = 0
        self.privileged_: object | None = None
        self.waiting_: dict[object, asyncio.Future] = {}

    def add(self, receiver: object, length: int) -> asyncio.Future | None:
        """Counts received bytes; the receiver must wait for a future."""
        self.used_ += length
        if self.used_ <= self.limit_bytes or receiver is self.privileged_:
            return None
        if self.privileged_ is None:
            self.privileged_ = receiver
            return None
        waiting = asyncio.get_running_loop().create_future()
        self.waiting_[receiver] = waiting
        return waiting

    def release(self, receiver: object, length: int) -> None:
        """Gives back the bytes of a receiver that has ended."""
        self.used_ -= length
        self.wake(receiver)
        if self.privileged_ is receiver:
            self.privileged_ = None
        while self.waiting_ and self.used_ <= self.limit_bytes:
            self.wake(next(iter(self.waiting_)))
        if self.waiting_ and self.privileged_ is None:
            self.privileged_ = next(iter(self.waiting_))
            self.wake(self.privileged_)

    def wake(self, receiver: object) -> None:
        """Lets a receiver go on, for example to see that it was closed."""
        waiting = self.waiting_.pop(receiver, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

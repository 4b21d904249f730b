"""Bounds the memory of responses that are being received."""

from collections.abc import Callable
from collections.abc import Hashable

# Memory of all unfinished responses: several of the maximum size.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class ResponseBudget:
    """Accounts for unfinished responses and aborts the largest if needed.

    Args:
        max_bytes: Maximum memory of all unfinished responses.

    Example:
        >>> aborted = []
        >>> budget = ResponseBudget(10)
        >>> budget.charge("a", 4, lambda: aborted.append("a"))
        >>> budget.charge("b", 8, lambda: aborted.append("b"))
        >>> aborted
        ['b']
    """

    def __init__(self, max_bytes: int = MAX_RESPONSE_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes_ = 0
        self.sizes_: dict[Hashable, int] = {}
        self.aborts_: dict[Hashable, Callable[[], None]] = {}

    def charge(
        self, response: Hashable, count: int, abort: Callable[[], None]
    ) -> None:
        """Adds received bytes to a response.

        Args:
            response: The response.
            count: Number of bytes.
            abort: Ends the response and discards its bytes.
        """
        self.sizes_[response] = self.sizes_.get(response, 0) + count
        self.aborts_[response] = abort
        self.held_bytes_ += count
        while self.held_bytes_ > self.max_bytes:
            largest = max(self.sizes_, key=self.sizes_.get)
            abort = self.aborts_[largest]
            self.release(largest)
            abort()

    def release(self, response: Hashable) -> None:
        """Removes a response."""
        self.held_bytes_ -= self.sizes_.pop(response, 0)
        self.aborts_.pop(response, None)

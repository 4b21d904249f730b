"""First-in, first-out admission, as a baseline for measurements."""

import collections
from collections.abc import Mapping

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.admission import _interface

FULL = base.Refusal(base.Reason.QUEUE_FULL, "admission.fifo")
EXPIRED = base.Refusal(base.Reason.DEADLINE_EXPIRED, "admission.fifo")


class FifoQueue(_interface.AdmissionPolicy):
    """One bounded queue for each pool, served in order of arrival.

    Args:
        max_items: Maximum number of queued items of one pool. Default: 2,048.
    """

    PARAMETER_CONSTRAINTS = {"max_items": base.Interval(1, integer=True)}

    def __init__(self, max_items: int = 2048):
        self.max_items = max_items
        self.pools_: dict[str, collections.deque] = {}

    def admit(
        self, item: _interface.WorkItem, now_s: float
    ) -> base.Refusal | None:
        """Queues an item unless the queue is full."""
        base.validate(self)
        if item.deadline_s <= now_s:
            return EXPIRED
        queue = self.pools_.setdefault(item.pool, collections.deque())
        if len(queue) >= self.max_items:
            return FULL
        queue.append(item)
        return None

    def dequeue(
        self, free_slots: Mapping[str, int], now_s: float
    ) -> list[_interface.WorkItem]:
        """Removes the oldest items, one for each free slot."""
        chosen = []
        for pool, free in free_slots.items():
            queue = self.pools_.get(pool, ())
            while free > 0 and queue:
                chosen.append(queue.popleft())
                free -= 1
        return chosen

    def release(self, item: _interface.WorkItem, now_s: float) -> None:
        """Does nothing; dispatched items are not tracked."""

    def cancel(self, item: _interface.WorkItem) -> None:
        """Removes a queued item."""
        queue = self.pools_.get(item.pool, collections.deque())
        if item in queue:
            queue.remove(item)

    def expire(self, now_s: float) -> list[_interface.WorkItem]:
        """Removes and returns the items whose deadline has passed."""
        expired = []
        for pool, queue in self.pools_.items():
            expired.extend(item for item in queue if item.deadline_s <= now_s)
            self.pools_[pool] = collections.deque(
                item for item in queue if item.deadline_s > now_s
            )
        return expired

    def queued(self) -> dict[str, int]:
        """Returns the number of queued items of each pool."""
        return {pool: len(queue) for pool, queue in self.pools_.items()}

    def set_callers(self, callers: Mapping[str, settings.CallerShare]) -> None:
        """Ignores the shares."""

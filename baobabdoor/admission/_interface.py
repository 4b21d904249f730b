"""Interface of admission policies."""

import abc
from collections.abc import Mapping

import attrs

from baobabdoor import base
from baobabdoor import settings

URGENCY_LEVELS = 8


@attrs.frozen
class WorkItem:
    """Data on a request that admission needs, all from its headers.

    Attributes:
        request_id: Identifier, unique in the process.
        pool: Pool that the request is for.
        caller: Name of the caller.
        urgency: RFC 9218 urgency; 0 is the most urgent, 7 the least.
        deadline_s: Monotonic time after which the response is useless.
        body_bytes: Declared length of the body. Default: 0.
    """

    request_id: int
    pool: str
    caller: str
    urgency: int
    deadline_s: float
    body_bytes: int = 0


class AdmissionPolicy(abc.ABC):
    """Queues requests and selects the next ones to dispatch."""

    @abc.abstractmethod
    def admit(self, item: WorkItem, now_s: float) -> base.Refusal | None:
        """Queues an item; returns a refusal if it was not queued."""

    @abc.abstractmethod
    def dequeue(
        self, free_slots: Mapping[str, int], now_s: float
    ) -> list[WorkItem]:
        """Removes the items to dispatch now from the queues and returns them.

        Args:
            free_slots: Free slots of each pool.
            now_s: Monotonic time in seconds.
        """

    @abc.abstractmethod
    def release(self, item: WorkItem, now_s: float) -> None:
        """Records that a dispatched item has finished."""

    @abc.abstractmethod
    def cancel(self, item: WorkItem) -> None:
        """Removes a queued item whose caller disconnected."""

    @abc.abstractmethod
    def expire(self, now_s: float) -> list[WorkItem]:
        """Removes and returns queued items whose deadline has passed."""

    @abc.abstractmethod
    def queued(self) -> dict[str, int]:
        """Returns the number of queued items of each pool."""

    @abc.abstractmethod
    def set_callers(self, callers: Mapping[str, settings.CallerShare]) -> None:
        """Replaces the shares after a configuration change.

        Policies without shares ignore it.
        """

    def refusal_delay_s(self, item: WorkItem, now_s: float) -> float:
        """Counts a refusal of an item; returns the delay of its response.

        The code that called `admit` delays the response by this time, which
        slows down callers that ignore refusals. Default: 0.
        """
        return 0.0

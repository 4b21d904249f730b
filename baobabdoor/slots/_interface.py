"""The interface of slot-sharing policies."""

import abc
from collections.abc import Sequence
from typing import Any

import attrs

from baobabdoor import base


@attrs.frozen
class WorkerSlots:
    """A worker as the slot policy sees it.

    Attributes:
        worker_id: Identifier of the VM.
        pool: Pool that the worker belongs to.
        slots: Requests that it serves at once.
        connections: Connections that it accepts, over all entries.
    """

    worker_id: str
    pool: str
    slots: int
    connections: int


class SlotPolicy(abc.ABC):
    """Says how many slots of each worker this entry may use now.

    The entries of a zone exchange payloads; what one entry's `exchange`
    returns reaches `receive` of its peers late, never or out of order.
    """

    @abc.abstractmethod
    def set_workers(self, workers: Sequence[WorkerSlots]) -> None:
        """Replaces the workers of the zone that take requests."""

    @abc.abstractmethod
    def set_entries(self, entry_ids: Sequence[str]) -> None:
        """Replaces the zone's reachable entries, the own one included."""

    @abc.abstractmethod
    def set_demand(self, queued: dict[str, int]) -> None:
        """Tells how many requests wait in this entry for each pool."""

    @abc.abstractmethod
    def available(self, worker_id: str, now_s: float) -> int:
        """Returns how many more requests this entry may send to a worker."""

    @abc.abstractmethod
    def acquire(self, worker_id: str, now_s: float) -> base.Refusal | None:
        """Takes a slot; returns a refusal if this entry has none."""

    @abc.abstractmethod
    def release(self, worker_id: str, now_s: float) -> None:
        """Gives a slot back."""

    @abc.abstractmethod
    def connection_limit(self, worker_id: str) -> int:
        """Returns how many connections this entry may hold to a worker."""

    @abc.abstractmethod
    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns the JSON payload for a peer of the own zone."""

    @abc.abstractmethod
    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Takes in a peer's payload; ignores malformed parts."""

    def early_peers(self, now_s: float) -> list[str]:
        """Returns peers to exchange with now, before the next second.

        The entry calls this when requests wait and none can be sent. The
        policy limits how often it names anyone. Default: none.
        """
        return []

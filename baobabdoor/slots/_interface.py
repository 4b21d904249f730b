"""Interface of slot-sharing policies."""

import abc
from collections.abc import Sequence
from typing import Any

import attrs

from baobabdoor import base


@attrs.frozen
class WorkerSlots:
    """Properties of a worker that slot policies use.

    Attributes:
        worker_id: Identifier of the VM.
        pool: Pool that the worker belongs to.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections from all entries together.
    """

    worker_id: str
    pool: str
    slots: int
    connections: int


class SlotPolicy(abc.ABC):
    """Determines how many slots of each worker this entry may use now.

    The entries of a zone exchange payloads. The payload that `exchange` returns
    is passed to `receive` of the peer. It may arrive late, out of order or not
    at all.
    """

    @abc.abstractmethod
    def set_workers(self, workers: Sequence[WorkerSlots]) -> None:
        """Replaces the workers of the zone that accept requests."""

    @abc.abstractmethod
    def set_entries(self, entry_ids: Sequence[str]) -> None:
        """Replaces the zone's reachable entries, including this one."""

    @abc.abstractmethod
    def set_demand(self, queued: dict[str, int]) -> None:
        """Sets the number of requests queued in this entry for each pool."""

    @abc.abstractmethod
    def available(self, worker_id: str, now_s: float) -> int:
        """Returns how many more requests this entry may send to a worker."""

    @abc.abstractmethod
    def acquire(self, worker_id: str, now_s: float) -> base.Refusal | None:
        """Acquires a slot; returns a refusal if none is available."""

    @abc.abstractmethod
    def release(self, worker_id: str, now_s: float) -> None:
        """Releases a slot."""

    @abc.abstractmethod
    def connection_limit(self, worker_id: str) -> int:
        """Returns how many connections to a worker this entry may open."""

    @abc.abstractmethod
    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns the JSON payload for a peer in the same zone."""

    @abc.abstractmethod
    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Processes a peer's payload; ignores malformed parts."""

    def early_peers(self, now_s: float) -> list[str]:
        """Returns peers with which to exchange before the regular time.

        The entry calls this when requests are queued and none can be sent. The
        policy limits the rate of these exchanges. Default: none.
        """
        return []

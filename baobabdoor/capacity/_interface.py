"""The interface of capacity policies."""

import abc
from collections.abc import Mapping

import attrs

from baobabdoor import ownership
from baobabdoor import settings


@attrs.frozen
class PoolDemand:
    """Demand on one pool, summed over all entries.

    Attributes:
        in_progress: Requests being served.
        queued: Requests waiting in a queue.
    """

    in_progress: int
    queued: int


@attrs.frozen
class Move:
    """A planned move of one VM.

    Attributes:
        vm_id: VM to move.
        from_pool: Pool that it belongs to.
        to_pool: Pool that it joins.
        reason: Reason for the move, as text.
    """

    vm_id: str
    from_pool: str
    to_pool: str
    reason: str


class CapacityPolicy(abc.ABC):
    """Plans moves of VMs between pools."""

    @abc.abstractmethod
    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[Move]:
        """Returns the moves to start now, most important first.

        Args:
            snapshot: All VMs with their pools and phases.
            demand: Demand on each pool.
            deployment: Settings in force.
            preset: Preset in force.
            now_s: Monotonic time in seconds.
        """

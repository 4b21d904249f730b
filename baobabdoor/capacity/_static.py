"""Static pools: VMs move only to restore promises."""

from collections.abc import Mapping

from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _books
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _promises


class StaticPolicy(_interface.CapacityPolicy):
    """Leaves each pool its VMs; the naive baseline."""

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, _interface.PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[_interface.Move]:
        """Returns moves that restore promises; see the base class."""
        del demand, now_s
        book = _books.FleetBook(snapshot, deployment, preset)
        _promises.restore_promises(book, _promises.floors(book))
        return book.moves_

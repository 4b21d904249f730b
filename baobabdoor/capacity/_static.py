"""Policy with static pools: moves VMs only to restore promises."""

from collections.abc import Mapping

from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _planning_state
from baobabdoor.capacity import _promises


class StaticPolicy(_interface.CapacityPolicy):
    """Keeps the size of every pool; the baseline for other policies."""

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
        state = _planning_state.PlanningState(snapshot, deployment, preset)
        _promises.restore_promises(state, _promises.floors(state))
        return state.moves_

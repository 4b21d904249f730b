"""Reactive policy: moves VMs according to current demand, with hysteresis."""

import collections
from collections.abc import Mapping
import math
import statistics

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _move_history
from baobabdoor.capacity import _planning_state
from baobabdoor.capacity import _pool_state
from baobabdoor.capacity import _promises

# Number of latest excess durations kept for each pool.
MAX_DURATIONS = 8


class ReactivePolicy(_interface.CapacityPolicy):
    """Grows a pool after a short excess of demand and shrinks it much later.

    Args:
        grow_after_s: Time for which demand must exceed the pool before it
            grows, in seconds. Default: 2.
        hold_s: Time for which a VM must not have been needed before it returns
            to the spare pool, in seconds. Default: 20.
        move_s: Assumed duration of a move until one has been measured, in
            seconds. Default: 6.
        excess_s: Assumed duration of an excess until one has been measured, in
            seconds. Default: 20.
    """

    PARAMETER_CONSTRAINTS = {
        "grow_after_s": base.Interval(0),
        "hold_s": base.Interval(0),
        "move_s": base.Interval(0),
        "excess_s": base.Interval(0),
    }

    def __init__(
        self,
        grow_after_s: float = 2.0,
        hold_s: float = 20.0,
        move_s: float = 6.0,
        excess_s: float = 20.0,
    ):
        self.grow_after_s = grow_after_s
        self.hold_s = hold_s
        self.move_s = move_s
        self.excess_s = excess_s
        self.history_ = _move_history.MoveHistory()
        self.pools_: dict[str, PoolLoad] = {}
        self.cooldown_s_ = excess_s

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, _interface.PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[_interface.Move]:
        """Returns moves for the current demand; see the base class."""
        base.validate(self)
        self.history_.observe(snapshot, now_s)
        self.history_.expire(now_s, self.cooldown_s_)
        state = _planning_state.PlanningState(snapshot, deployment, preset)
        floors = _promises.floors(state)
        _promises.restore_promises(state, floors)
        for pool in state.applications:
            load = self.pools_.setdefault(pool.name, PoolLoad())
            workers = demand_in_workers(demand, pool.name, deployment)
            floor = floors[pool.name]
            needed = min(
                max(floor, math.ceil(workers)), pool.promise.max_workers
            )
            load.observe(needed, pool.projected, self.hold_s, now_s)
        self.cooldown_s_ = self._cooldown_s()
        self._grow(state, now_s)
        self._shrink(state, now_s)
        self.history_.record(state.moves_, now_s)
        return state.moves_

    def _cooldown_s(self) -> float:
        """Returns the time for which a VM does not move back to its pool."""
        durations_s = [
            load.expected_duration_s(self.excess_s)
            for load in self.pools_.values()
        ]
        return max(self.hold_s, *durations_s, self.excess_s)

    def _grow(self, state: _planning_state.PlanningState, now_s: float) -> None:
        move_s = self.history_.median_move_s(self.move_s)
        for pool in state.applications:
            load = self.pools_[pool.name]
            if load.excess_since_s is None:
                continue
            elapsed_s = now_s - load.excess_since_s
            remaining_s = load.expected_duration_s(self.excess_s) - elapsed_s
            if elapsed_s < self.grow_after_s or remaining_s <= move_s:
                continue
            missing = load.needed - pool.projected
            missing -= self._take_surplus(
                state, pool, missing, "max_needed", now_s
            )
            from_spare = min(missing, state.available_spare())
            missing -= self._move(state, state.spare, pool, from_spare, now_s)
            self._take_surplus(state, pool, missing, "needed", now_s)

    def _take_surplus(
        self,
        state: _planning_state.PlanningState,
        target: _pool_state.PoolState,
        missing: int,
        reserved: str,
        now_s: float,
    ) -> int:
        """Moves the surplus of other pools to `target`.

        Args:
            state: State of the planning step.
            target: Pool that needs VMs.
            missing: Number of VMs that it needs.
            reserved: Attribute of `PoolLoad` with the VMs that the other pools
                keep.
            now_s: Monotonic time in seconds.
        """
        taken = 0
        for source in state.applications:
            if source is target:
                continue
            surplus = source.serving - getattr(
                self.pools_[source.name], reserved
            )
            wanted = min(missing - taken, surplus)
            taken += self._move(state, source, target, wanted, now_s)
        return taken

    def _shrink(
        self, state: _planning_state.PlanningState, now_s: float
    ) -> None:
        for pool in state.applications:
            surplus = pool.serving - self.pools_[pool.name].max_needed
            self._move(state, pool, state.spare, surplus, now_s)

    def _move(
        self,
        state: _planning_state.PlanningState,
        source: _pool_state.PoolState,
        target: _pool_state.PoolState,
        count: int,
        now_s: float,
    ) -> int:
        if count <= 0:
            return 0
        excluded = self.history_.recently_left(
            target.name, self.cooldown_s_, now_s
        )
        return state.move(source, target, count, "follow demand", excluded)


class PoolLoad:
    """Recent load of one pool.

    Attributes:
        needed: VMs needed now.
        max_needed: Most VMs needed within the hold time.
        excess_since_s: When demand began to exceed the pool; None if it does
            not.
        durations_s: Durations of the latest excesses.
    """

    def __init__(self):
        self.needed = 0
        self.max_needed = 0
        self.excess_since_s: float | None = None
        self.durations_s: collections.deque = collections.deque(
            maxlen=MAX_DURATIONS
        )
        # Monotonic queue for the maximum over the hold time: times and values
        # that no later value reaches, oldest and highest first.
        self.window_maxima_: collections.deque = collections.deque()
        self.episode_since_s_: float | None = None
        self.episode_needed_ = 0

    def observe(
        self, needed: int, projected: int, hold_s: float, now_s: float
    ) -> None:
        """Records how many VMs are needed now."""
        self.needed = needed
        while self.window_maxima_ and self.window_maxima_[-1][1] <= needed:
            self.window_maxima_.pop()
        self.window_maxima_.append((now_s, needed))
        while self.window_maxima_[0][0] < now_s - hold_s:
            self.window_maxima_.popleft()
        self.max_needed = self.window_maxima_[0][1]
        if needed <= projected:
            self.excess_since_s = None
        elif self.excess_since_s is None:
            self.excess_since_s = now_s
        self._observe_duration(needed > projected, now_s)

    def expected_duration_s(self, default_s: float) -> float:
        """Returns how long an excess is expected to last."""
        if not self.durations_s:
            return default_s
        return statistics.mean(self.durations_s)

    def _observe_duration(self, is_excess: bool, now_s: float) -> None:
        """Measures how long demand stays near its level at the first excess."""
        if self.episode_since_s_ is None:
            if is_excess:
                self.episode_since_s_ = now_s
                self.episode_needed_ = self.needed
        elif self.needed < self.episode_needed_ - 1:
            self.durations_s.append(now_s - self.episode_since_s_)
            self.episode_since_s_ = None


def demand_in_workers(
    demand: Mapping[str, _interface.PoolDemand],
    pool: str,
    deployment: settings.Deployment,
) -> float:
    """Returns the demand on a pool in workers; 0 if none is known."""
    load = demand.get(pool)
    if load is None:
        return 0.0
    return (load.in_progress + load.queued) / deployment.pools[pool].slots

"""Predictive policy: moves VMs before an expected peak."""

from collections.abc import Mapping
import math

import attrs

from baobabdoor import base
from baobabdoor import forecast
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _move_history
from baobabdoor.capacity import _peak_plan
from baobabdoor.capacity import _planning_state
from baobabdoor.capacity import _pool_state
from baobabdoor.capacity import _promises
from baobabdoor.capacity import _reactive

# Keeps the cost of a move finite if the deployment gives buffers no weight.
MIN_WEIGHT = 0.01
# Age at which a plan is renewed even if its inputs have not changed.
MAX_PLAN_AGE_S = 5.0
# Number of pools planned together, and number of groups planned in one step.
# The time of a plan grows with the square of its peaks, and a step must stay
# short with many pools. Four pools that are in a peak a fifth of the time can
# share their VMs well.
POOLS_PER_GROUP = 4
PLANS_PER_STEP = 4


@attrs.frozen
class GroupPlan:
    """The latest plan for a group of pools.

    Attributes:
        inputs: State of the pools for which the plan was made.
        planned_s: When the plan was made, in monotonic seconds.
        transfers: First moves of the plan.
    """

    inputs: tuple = ()
    planned_s: float = -math.inf
    transfers: tuple[_peak_plan.Transfer, ...] = ()


class PredictivePolicy(_interface.CapacityPolicy):
    """Moves VMs to a pool shortly before its next peak is expected.

    Peaks are forecast from past demand. A plan over the next two peaks of every
    pool decides which VMs wait, which move directly to the next pool and which
    return to the spare pool.

    Args:
        move_cost_s: Cost of a move in VM-seconds of buffer, if the deployment
            weights moves and buffers equally. Default: 85.
        unmet_cost: Cost of a VM-second of unmet demand, in VM-seconds of
            buffer. Default: 15.
        lead_s: Time between the arrival of VMs and the expected start of a
            peak, in seconds. Default: 1.
        error_factor: VMs arrive earlier still by this multiple of the
            forecast's deviation. Default: 1.
        move_s: Assumed duration of a move until one has been measured, in
            seconds. Default: 6.
        turn_s: Assumed duration of a peak until one has been measured, in
            seconds. Default: 20.
    """

    PARAMETER_CONSTRAINTS = {
        "move_cost_s": base.Interval(0),
        "unmet_cost": base.Interval(0),
        "lead_s": base.Interval(0),
        "error_factor": base.Interval(0),
        "move_s": base.Interval(0.1),
        "turn_s": base.Interval(0),
    }

    def __init__(
        self,
        move_cost_s: float = 85.0,
        unmet_cost: float = 15.0,
        lead_s: float = 1.0,
        error_factor: float = 1.0,
        move_s: float = 6.0,
        turn_s: float = 20.0,
    ):
        self.move_cost_s = move_cost_s
        self.unmet_cost = unmet_cost
        self.lead_s = lead_s
        self.error_factor = error_factor
        self.move_s = move_s
        self.turn_s = turn_s
        self.history_ = _move_history.MoveHistory()
        self.forecaster_ = forecast.PeakForecaster()
        self.plans_: dict[tuple[str, ...], GroupPlan] = {}

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, _interface.PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[_interface.Move]:
        """Returns moves for the expected peaks; see the base class."""
        base.validate(self)
        self.history_.observe(snapshot, now_s)
        state = _planning_state.PlanningState(snapshot, deployment, preset)
        floors = _promises.floors(state)
        _promises.restore_promises(state, floors)
        for pool in state.applications:
            workers = _reactive.demand_in_workers(demand, pool.name, deployment)
            size = deployment.pools[pool.name].workers
            self.forecaster_.observe(pool.name, workers, size, now_s)
        self._replan(state, floors, now_s)
        self._execute(state, floors, now_s)
        self.history_.expire(
            now_s, self.forecaster_.typical_duration_s() or self.turn_s
        )
        self.history_.record(state.moves_, now_s)
        return state.moves_

    def _replan(
        self,
        state: _planning_state.PlanningState,
        floors: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Makes new plans for groups whose plan is outdated."""
        changed = []
        plans = {}
        for group in _groups(state):
            plan = self.plans_.get(group, GroupPlan())
            plans[group] = plan
            inputs = self._plan_inputs(state, group, floors)
            if (
                inputs != plan.inputs
                or now_s - plan.planned_s >= MAX_PLAN_AGE_S
            ):
                changed.append((plan.planned_s, group, inputs))
        self.plans_ = plans
        for _, group, inputs in sorted(changed)[:PLANS_PER_STEP]:
            transfers = self._plan_group(state, group, floors, now_s)
            self.plans_[group] = GroupPlan(inputs, now_s, tuple(transfers))

    def _plan_inputs(
        self,
        state: _planning_state.PlanningState,
        group: tuple[str, ...],
        floors: Mapping[str, int],
    ) -> tuple:
        """Returns the state that a plan depends on, apart from the time."""
        return tuple(
            (
                state.pools_[name].projected,
                floors[name],
                self.forecaster_.is_peaking(name),
            )
            for name in (*group, state.spare.name)
        )

    def _plan_group(
        self,
        state: _planning_state.PlanningState,
        group: tuple[str, ...],
        floors: Mapping[str, int],
        now_s: float,
    ) -> list[_peak_plan.Transfer]:
        # Every group plans with the whole spare pool. If another group takes
        # some of its VMs first, the next plan does not count on them.
        supplies = {
            name: self._supply(state, state.pools_[name], floors[name])
            for name in (*group, state.spare.name)
        }
        peaks = {name: self._peaks(name, now_s) for name in group}
        costs = self._costs(state.deployment.weights)
        return _peak_plan.PeakPlan(
            state.spare.name, supplies, peaks, costs, now_s
        ).transfers()

    def _supply(
        self,
        state: _planning_state.PlanningState,
        pool: _pool_state.PoolState,
        floor: int,
    ) -> _peak_plan.PoolSupply:
        if pool is state.spare:
            floor = pool.promise.min_workers + state.preset.buffer_workers
        return _peak_plan.PoolSupply(
            floor=floor,
            surplus=max(0, pool.projected - floor),
            max_surplus=pool.promise.max_workers - floor,
            budget=pool.promise.availability_budget,
        )

    def _peaks(self, pool: str, now_s: float) -> list[forecast.Peak]:
        return [
            attrs.evolve(
                peak,
                start_s=peak.start_s
                - self.lead_s
                - self.error_factor * peak.margin_s,
            )
            for peak in self.forecaster_.forecast(pool, now_s)
        ]

    def _costs(self, weights: settings.Weights) -> _peak_plan.Costs:
        ratio = weights.moves / max(weights.buffer_cost, MIN_WEIGHT)
        return _peak_plan.Costs(
            move=self.move_cost_s * ratio,
            unmet=self.unmet_cost,
            move_s=self.history_.median_move_s(self.move_s),
        )

    def _execute(
        self,
        state: _planning_state.PlanningState,
        floors: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Plans the moves of transfers that are due."""
        cooldown_s = self.forecaster_.typical_duration_s() or self.turn_s
        move_s = self.history_.median_move_s(self.move_s)
        transfers = [
            transfer
            for plan in self.plans_.values()
            for transfer in plan.transfers
        ]
        for transfer in sorted(transfers, key=lambda item: item.start_s):
            source = state.pools_[transfer.source]
            target = state.pools_[transfer.target]
            count = min(
                transfer.count, source.serving - floors[transfer.source]
            )
            if source is state.spare:
                budget = max(1, source.promise.availability_budget)
                rounds = math.ceil(transfer.count / budget)
                if transfer.start_s - now_s > rounds * move_s:
                    continue
                count = min(transfer.count, state.available_spare())
            reason = "peak ended" if target is state.spare else "peak expected"
            excluded = self.history_.recently_left(
                target.name, cooldown_s, now_s
            )
            state.move(source, target, count, reason, excluded)


def _groups(state: _planning_state.PlanningState) -> list[tuple[str, ...]]:
    """Splits the application pools into groups, in their settings order."""
    names = [pool.name for pool in state.applications]
    return [
        tuple(names[start : start + POOLS_PER_GROUP])
        for start in range(0, len(names), POOLS_PER_GROUP)
    ]

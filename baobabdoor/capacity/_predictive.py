"""Moves VMs ahead of the turns in which queues peak."""

from collections.abc import Mapping
import math

import attrs

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _books
from baobabdoor.capacity import _history
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _peak_plan
from baobabdoor.capacity import _pool_book
from baobabdoor.capacity import _promises
from baobabdoor.capacity import _reactive
from baobabdoor.capacity import _turns

# Keeps the worth of a move finite where buffer cost does not count.
MIN_WEIGHT = 0.01
# Longest time for which a plan is kept while nothing changes.
REPLAN_S = 5.0
# Pools that are planned together, and groups planned in one step: the time of a
# plan grows with the square of its peaks, and a step must stay short with many
# pools. Four pools that peak a fifth of the time can share their VMs well.
GROUP_POOLS = 4
PLANS_PER_STEP = 4


@attrs.frozen
class GroupPlan:
    """The latest plan of a group of pools.

    Attributes:
        facts: What the plan was made for.
        made_s: When it was made, in monotonic seconds.
        transfers: The moves that it starts with.
    """

    facts: tuple = ()
    made_s: float = -math.inf
    transfers: tuple[_peak_plan.Transfer, ...] = ()


class PredictivePolicy(_interface.CapacityPolicy):
    """Gives each pool the VMs of its next peak shortly before it starts.

    The turns are learned from the demand; a plan over the next two peaks of
    every pool says which VMs wait, which go straight to the next pool and which
    return to the spare pool.

    Args:
        move_cost_s: VM-seconds of buffer that one saved move is worth if the
            deployment weighs both equally. Default: 85.
        unmet_cost: VM-seconds of buffer that a VM-second of unmet demand is
            worth. Default: 15.
        lead_s: Time that VMs arrive before the expected start of a peak, in
            seconds, in addition to the learned error. Default: 1.
        error_factor: Multiple of the learned error of the start by which VMs
            arrive earlier. Default: 1.
        move_s: Time of a move until the first ones were seen. Default: 6.
        turn_s: Length of a peak until the first ones were seen. Default: 20.
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
        self.history_ = _history.MoveHistory()
        self.learner_ = _turns.TurnLearner()
        self.plans_: dict[tuple[str, ...], GroupPlan] = {}

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, _interface.PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[_interface.Move]:
        """Returns moves for the turns ahead; see the base class."""
        base.validate(self)
        self.history_.observe(snapshot, now_s)
        book = _books.FleetBook(snapshot, deployment, preset)
        floors = _promises.floors(book)
        _promises.restore_promises(book, floors)
        for pool in book.applications:
            workers = _reactive.workers_of(demand, pool.name, deployment)
            size = deployment.pools[pool.name].workers
            self.learner_.observe(pool.name, workers, size, now_s)
        self._replan(book, floors, now_s)
        self._execute(book, floors, now_s)
        self.history_.expire(now_s, self.learner_.peak_s() or self.turn_s)
        self.history_.note(book.moves_, now_s)
        return book.moves_

    def _replan(
        self, book: _books.FleetBook, floors: Mapping[str, int], now_s: float
    ) -> None:
        """Makes new plans for groups for which something changed."""
        changed = []
        plans = {}
        for group in _groups(book):
            plan = self.plans_.get(group, GroupPlan())
            plans[group] = plan
            facts = self._facts(book, group, floors)
            if facts != plan.facts or now_s - plan.made_s >= REPLAN_S:
                changed.append((plan.made_s, group, facts))
        self.plans_ = plans
        for _, group, facts in sorted(changed)[:PLANS_PER_STEP]:
            transfers = self._plan_group(book, group, floors, now_s)
            self.plans_[group] = GroupPlan(facts, now_s, tuple(transfers))

    def _facts(
        self,
        book: _books.FleetBook,
        group: tuple[str, ...],
        floors: Mapping[str, int],
    ) -> tuple:
        """Returns what a plan depends on, apart from the time."""
        return tuple(
            (
                book.pools_[name].heading,
                floors[name],
                self.learner_.peaking(name),
            )
            for name in (*group, book.spare.name)
        )

    def _plan_group(
        self,
        book: _books.FleetBook,
        group: tuple[str, ...],
        floors: Mapping[str, int],
        now_s: float,
    ) -> list[_peak_plan.Transfer]:
        # Every group may count on the whole spare pool; what it cannot get
        # because another group was first, its next plan does without.
        supplies = {
            name: self._supply(book, book.pools_[name], floors[name])
            for name in (*group, book.spare.name)
        }
        peaks = {name: self._peaks(name, now_s) for name in group}
        costs = self._costs(book.deployment.weights)
        return _peak_plan.PeakPlan(
            book.spare.name, supplies, peaks, costs, now_s
        ).transfers()

    def _supply(
        self, book: _books.FleetBook, pool: _pool_book.PoolBook, floor: int
    ) -> _peak_plan.PoolSupply:
        if pool is book.spare:
            floor = pool.promise.min_workers + book.preset.buffer_workers
        return _peak_plan.PoolSupply(
            floor=floor,
            surplus=max(0, pool.heading - floor),
            limit=pool.promise.max_workers - floor,
            budget=pool.promise.availability_budget,
        )

    def _peaks(self, pool: str, now_s: float) -> list[_turns.Peak]:
        return [
            attrs.evolve(
                peak,
                start_s=peak.start_s
                - self.lead_s
                - self.error_factor * peak.margin_s,
            )
            for peak in self.learner_.forecast(pool, now_s)
        ]

    def _costs(self, weights: settings.Weights) -> _peak_plan.Costs:
        ratio = weights.moves / max(weights.buffer_cost, MIN_WEIGHT)
        return _peak_plan.Costs(
            move=self.move_cost_s * ratio,
            unmet=self.unmet_cost,
            move_s=self.history_.move_s(self.move_s),
        )

    def _execute(
        self, book: _books.FleetBook, floors: Mapping[str, int], now_s: float
    ) -> None:
        """Starts the transfers of the plan that are due."""
        turn_s = self.learner_.peak_s() or self.turn_s
        move_s = self.history_.move_s(self.move_s)
        transfers = [
            transfer
            for plan in self.plans_.values()
            for transfer in plan.transfers
        ]
        for transfer in sorted(transfers, key=lambda one: one.start_s):
            source = book.pools_[transfer.source]
            target = book.pools_[transfer.target]
            count = min(
                transfer.count, source.serving - floors[transfer.source]
            )
            if source is book.spare:
                budget = max(1, source.promise.availability_budget)
                rounds = math.ceil(transfer.count / budget)
                if transfer.start_s - now_s > rounds * move_s:
                    continue
                count = min(transfer.count, book.lendable())
            reason = "turn over" if target is book.spare else "turn ahead"
            barred = self.history_.barred(target.name, turn_s, now_s)
            book.move(source, target, count, reason, barred)


def _groups(book: _books.FleetBook) -> list[tuple[str, ...]]:
    """Returns the application pools in groups, in the order of the settings."""
    names = [pool.name for pool in book.applications]
    return [
        tuple(names[start : start + GROUP_POOLS])
        for start in range(0, len(names), GROUP_POOLS)
    ]

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
from baobabdoor.capacity import _promises
from baobabdoor.capacity import _reactive
from baobabdoor.capacity import _turns

# Keeps the worth of a move finite where buffer cost does not count.
MIN_WEIGHT = 0.01
# Longest time for which a plan is kept while nothing changes.
REPLAN_S = 5.0


class PredictivePolicy(_interface.CapacityPolicy):
    """Gives each pool the VMs of its next peak shortly before it starts.

    The turns are learned from the demand; a plan over the next two peaks of
    every pool says which VMs wait, which go straight to the next pool and which
    return to the spare pool.

    Args:
        move_cost_s: VM-seconds of buffer that one saved move is worth if the
            deployment weighs both equally. Default: 80.
        unmet_cost: VM-seconds of buffer that a VM-second of unmet demand is
            worth. Default: 20.
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
        move_cost_s: float = 80.0,
        unmet_cost: float = 20.0,
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
        self.plan_: list[_peak_plan.Transfer] = []
        self.planned_for_: tuple = ()
        self.planned_s_ = -math.inf

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
        """Makes a new plan if something changed since the last one."""
        facts = tuple(
            (pool.heading, floors[pool.name], self.learner_.peaking(pool.name))
            for pool in book.pools_.values()
        )
        fresh = now_s - self.planned_s_ < REPLAN_S
        if facts == self.planned_for_ and fresh:
            return
        self.planned_for_ = facts
        self.planned_s_ = now_s
        self.plan_ = _peak_plan.PeakPlan(
            book.spare.name,
            {
                name: self._supply(book, pool, floors[name])
                for name, pool in book.pools_.items()
            },
            {
                pool.name: self._peaks(pool.name, now_s)
                for pool in book.applications
            },
            self._costs(book.deployment.weights),
            now_s,
        ).transfers()

    def _supply(
        self, book: _books.FleetBook, pool: _books.PoolBook, floor: int
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
        for transfer in self.plan_:
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

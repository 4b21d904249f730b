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
from baobabdoor.capacity import _promises
from baobabdoor.capacity import _reactive
from baobabdoor.capacity import _turns

# Keeps the worth of a move finite where buffer cost does not count.
MIN_WEIGHT = 0.01


@attrs.frozen
class Need:
    """VMs that a pool is to hold from some moment on.

    Attributes:
        workers: VMs needed.
        start_s: From when on, in monotonic seconds.
        end_s: Until when.
    """

    workers: int
    start_s: float
    end_s: float


class PredictivePolicy(_interface.CapacityPolicy):
    """Gives each pool the VMs of its next peak shortly before it starts.

    VMs that a pool no longer needs go straight to the pool whose turn is next,
    if that turn comes before a detour through the spare pool pays. What is
    still missing comes from the spare pool just in time.

    Args:
        move_cost_s: VM-seconds of buffer that one saved move is worth if the
            deployment weighs both equally; from it follows how long a VM waits
            in a pool instead of returning to the spare pool. Default: 80.
        lead_s: Time that VMs arrive before the expected start of a peak, in
            seconds, in addition to the learned error. Default: 1.
        error_factor: Multiple of the learned error of the start by which VMs
            arrive earlier. Default: 2.
        tolerance: Demand in workers that may stay unmet in a peak.
            Default: 0.2.
        move_s: Time of a move until the first ones were seen. Default: 6.
        turn_s: Length of a peak until the first ones were seen. Default: 20.
    """

    PARAMETER_CONSTRAINTS = {
        "move_cost_s": base.Interval(0),
        "lead_s": base.Interval(0),
        "error_factor": base.Interval(0),
        "tolerance": base.Interval(0),
        "move_s": base.Interval(0),
        "turn_s": base.Interval(0),
    }

    def __init__(
        self,
        move_cost_s: float = 80.0,
        lead_s: float = 1.0,
        error_factor: float = 2.0,
        tolerance: float = 0.2,
        move_s: float = 6.0,
        turn_s: float = 20.0,
    ):
        self.move_cost_s = move_cost_s
        self.lead_s = lead_s
        self.error_factor = error_factor
        self.tolerance = tolerance
        self.move_s = move_s
        self.turn_s = turn_s
        self.history_ = _history.MoveHistory()
        self.learner_ = _turns.TurnLearner()

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
        step = _Step(self, book, floors, now_s)
        for pool in book.applications:
            workers = _reactive.workers_of(demand, pool.name, deployment)
            size = deployment.pools[pool.name].workers
            self.learner_.observe(pool.name, workers, size, now_s)
            step.expect(pool, workers)
        step.serve()
        step.release()
        self.history_.expire(now_s, step.turn_s)
        self.history_.note(book.moves_, now_s)
        return book.moves_


class _Step:
    """One planning step of the predictive policy."""

    def __init__(
        self,
        policy: PredictivePolicy,
        book: _books.FleetBook,
        floors: Mapping[str, int],
        now_s: float,
    ):
        self.policy = policy
        self.book = book
        self.floors = floors
        self.now_s = now_s
        weights = book.deployment.weights
        ratio = weights.moves / max(weights.buffer_cost, MIN_WEIGHT)
        self.move_cost_s = policy.move_cost_s * ratio
        self.move_s = policy.history_.move_s(policy.move_s)
        self.turn_s = policy.learner_.peak_s() or policy.turn_s
        self.needs_: dict[str, Need] = {}

    def expect(self, pool: _books.PoolBook, workers: float) -> None:
        """Notes what a pool needs now and from its next peak on."""
        policy = self.policy
        peak = policy.learner_.forecast(pool.name, self.now_s)
        floor = self.floors[pool.name]
        if peak is None:
            self.needs_[pool.name] = Need(floor, math.inf, math.inf)
            return
        level = max(peak.level, workers)
        wanted = max(floor, math.ceil(level - policy.tolerance))
        early_s = policy.lead_s + policy.error_factor * peak.margin_s
        self.needs_[pool.name] = Need(
            min(wanted, pool.promise.max_workers),
            peak.start_s - early_s,
            peak.end_s,
        )

    def serve(self) -> None:
        """Plans moves into pools whose peak is under way or comes soon."""
        pools = sorted(
            self.book.applications,
            key=lambda pool: self.needs_[pool.name].start_s,
        )
        for pool in pools:
            need = self.needs_[pool.name]
            wait_s = need.start_s - self.now_s
            missing = need.workers - pool.heading
            if missing <= 0 or wait_s > self.move_cost_s:
                continue
            if wait_s <= 0 and not self._pays(need):
                continue
            missing -= self._rotate(pool, missing)
            missing -= self._expected_rotation(pool, need)
            rounds = math.ceil(missing / max(1, self._spare_budget()))
            if missing > 0 and wait_s <= rounds * self.move_s:
                lent = min(missing, self.book.lendable())
                missing -= self._move(self.book.spare, pool, lent, "peak ahead")
                self._borrow(pool, missing)

    def release(self) -> None:
        """Plans moves of VMs that no turn needs soon to the spare pool."""
        for pool in self.book.applications:
            surplus = pool.serving - self._kept(pool)
            self._move(pool, self.book.spare, surplus, "turn is over")

    def _pays(self, need: Need) -> bool:
        """Whether the rest of a peak outlasts a move into it."""
        return need.end_s - self.now_s > self.move_s

    def _kept(self, pool: _books.PoolBook) -> int:
        """Returns the VMs that cost less in a pool than by a detour.

        A VM that its pool needs again saves the move to the spare pool and the
        move back.
        """
        need = self.needs_[pool.name]
        if need.start_s - self.now_s <= 2 * self.move_cost_s:
            return max(need.workers, self.floors[pool.name])
        return self.floors[pool.name]

    def _rotate(self, pool: _books.PoolBook, missing: int) -> int:
        """Moves VMs from pools whose peak is over straight to the next one."""
        start_s = max(self.needs_[pool.name].start_s, self.now_s)
        taken = 0
        for source in self.book.applications:
            own_s = self.needs_[source.name].start_s
            if source is pool or start_s + self.move_cost_s >= own_s:
                continue
            surplus = source.serving - self.floors[source.name]
            wanted = min(missing - taken, surplus)
            taken += self._move(source, pool, wanted, "next turn")
        return taken

    def _expected_rotation(self, pool: _books.PoolBook, need: Need) -> int:
        """Returns the VMs that peaking pools will release in time."""
        expected = 0
        for source in self.book.applications:
            if source is pool or not self._peaking(source):
                continue
            release_s = max(self.now_s, self.needs_[source.name].end_s)
            rounds = math.floor((need.start_s - release_s) / self.move_s)
            surplus = source.heading - self.floors[source.name]
            budget = source.promise.availability_budget
            expected += max(0, min(surplus, rounds * budget))
        return expected

    def _borrow(self, pool: _books.PoolBook, missing: int) -> None:
        """Takes VMs from the pools whose own peaks are farthest."""
        start_s = self.needs_[pool.name].start_s
        for source in sorted(
            self.book.applications,
            key=lambda source: -self.needs_[source.name].start_s,
        ):
            if self.needs_[source.name].start_s <= start_s:
                continue
            surplus = source.serving - self.floors[source.name]
            wanted = min(missing, surplus)
            missing -= self._move(source, pool, wanted, "borrowed")

    def _peaking(self, pool: _books.PoolBook) -> bool:
        return self.policy.learner_.peaking(pool.name)

    def _spare_budget(self) -> int:
        return self.book.spare.promise.availability_budget

    def _move(
        self,
        source: _books.PoolBook,
        target: _books.PoolBook,
        count: int,
        reason: str,
    ) -> int:
        if count <= 0:
            return 0
        barred = self.policy.history_.barred(
            target.name, self.turn_s, self.now_s
        )
        return self.book.move(source, target, count, reason, barred)

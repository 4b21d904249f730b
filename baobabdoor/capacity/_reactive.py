"""Moves VMs after demand, with hysteresis."""

import collections
from collections.abc import Mapping
import math
import statistics

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _books
from baobabdoor.capacity import _history
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _pool_book
from baobabdoor.capacity import _promises

# Lengths of excess kept for each pool.
MEMORY = 8


class ReactivePolicy(_interface.CapacityPolicy):
    """Grows a pool once its excess has lasted, shrinks it much later.

    Args:
        grow_after_s: Time that demand must exceed the pool before it grows, in
            seconds. Default: 2.
        hold_s: Time that a VM must not have been needed before it returns to
            the spare pool, in seconds. Default: 20.
        move_s: Time of a move until the first ones were seen. Default: 6.
        excess_s: Time that an excess is expected to last until the first ones
            were seen. Default: 20.
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
        self.history_ = _history.MoveHistory()
        self.pools_: dict[str, PoolLoad] = {}
        self.turn_s_ = excess_s

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        demand: Mapping[str, _interface.PoolDemand],
        deployment: settings.Deployment,
        preset: settings.Preset,
        now_s: float,
    ) -> list[_interface.Move]:
        """Returns moves after the demand of now; see the base class."""
        base.validate(self)
        self.history_.observe(snapshot, now_s)
        self.history_.expire(now_s, self.turn_s_)
        book = _books.FleetBook(snapshot, deployment, preset)
        floors = _promises.floors(book)
        _promises.restore_promises(book, floors)
        for pool in book.applications:
            load = self.pools_.setdefault(pool.name, PoolLoad())
            workers = workers_of(demand, pool.name, deployment)
            floor = floors[pool.name]
            needed = min(
                max(floor, math.ceil(workers)), pool.promise.max_workers
            )
            load.observe(needed, pool.heading, self.hold_s, now_s)
        self.turn_s_ = self._turn_s()
        self._grow(book, now_s)
        self._shrink(book, now_s)
        self.history_.note(book.moves_, now_s)
        return book.moves_

    def _turn_s(self) -> float:
        """Returns the time in which no VM moves back."""
        lengths_s = [
            load.expected_s(self.excess_s) for load in self.pools_.values()
        ]
        return max(self.hold_s, *lengths_s, self.excess_s)

    def _grow(self, book: _books.FleetBook, now_s: float) -> None:
        move_s = self.history_.move_s(self.move_s)
        for pool in book.applications:
            load = self.pools_[pool.name]
            if load.excess_since_s is None:
                continue
            lasted_s = now_s - load.excess_since_s
            left_s = load.expected_s(self.excess_s) - lasted_s
            if lasted_s < self.grow_after_s or left_s <= move_s:
                continue
            missing = load.needed - pool.heading
            missing -= self._take(book, pool, missing, "held", now_s)
            lent = min(missing, book.lendable())
            missing -= self._move(book, book.spare, pool, lent, now_s)
            self._take(book, pool, missing, "needed", now_s)

    def _take(
        self,
        book: _books.FleetBook,
        target: _pool_book.PoolBook,
        missing: int,
        kept: str,
        now_s: float,
    ) -> int:
        """Takes what other pools have beyond what they held or need now."""
        taken = 0
        for source in book.applications:
            if source is target:
                continue
            surplus = source.serving - getattr(self.pools_[source.name], kept)
            wanted = min(missing - taken, surplus)
            taken += self._move(book, source, target, wanted, now_s)
        return taken

    def _shrink(self, book: _books.FleetBook, now_s: float) -> None:
        for pool in book.applications:
            surplus = pool.serving - self.pools_[pool.name].held
            self._move(book, pool, book.spare, surplus, now_s)

    def _move(
        self,
        book: _books.FleetBook,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        count: int,
        now_s: float,
    ) -> int:
        if count <= 0:
            return 0
        barred = self.history_.barred(target.name, self.turn_s_, now_s)
        return book.move(source, target, count, "follow demand", barred)


class PoolLoad:
    """What one pool needed lately, and how long it lacked VMs.

    Attributes:
        needed: VMs needed now.
        held: Most VMs needed within the holding time.
        excess_since_s: When demand began to exceed the pool; None if it does
            not.
        lengths_s: Lengths of the latest excesses.
    """

    def __init__(self):
        self.needed = 0
        self.held = 0
        self.excess_since_s: float | None = None
        self.lengths_s: collections.deque = collections.deque(maxlen=MEMORY)
        # Needs that no later need exceeds, oldest and highest first.
        self.highs_: collections.deque = collections.deque()
        self.peak_since_s_: float | None = None
        self.peak_needed_ = 0

    def observe(
        self, needed: int, heading: int, hold_s: float, now_s: float
    ) -> None:
        """Notes the need of now."""
        self.needed = needed
        while self.highs_ and self.highs_[-1][1] <= needed:
            self.highs_.pop()
        self.highs_.append((now_s, needed))
        while self.highs_[0][0] < now_s - hold_s:
            self.highs_.popleft()
        self.held = self.highs_[0][1]
        if needed <= heading:
            self.excess_since_s = None
        elif self.excess_since_s is None:
            self.excess_since_s = now_s
        self._observe_length(needed > heading, now_s)

    def expected_s(self, default_s: float) -> float:
        """Returns how long an excess is expected to last."""
        if not self.lengths_s:
            return default_s
        return statistics.mean(self.lengths_s)

    def _observe_length(self, exceeds: bool, now_s: float) -> None:
        """Measures how long the need stays at a level that called for VMs."""
        if self.peak_since_s_ is None:
            if exceeds:
                self.peak_since_s_ = now_s
                self.peak_needed_ = self.needed
        elif self.needed < self.peak_needed_ - 1:
            self.lengths_s.append(now_s - self.peak_since_s_)
            self.peak_since_s_ = None


def workers_of(
    demand: Mapping[str, _interface.PoolDemand],
    pool: str,
    deployment: settings.Deployment,
) -> float:
    """Returns the demand on a pool in workers; 0 if none is known."""
    load = demand.get(pool)
    if load is None:
        return 0.0
    return (load.in_progress + load.queued) / deployment.pools[pool].slots

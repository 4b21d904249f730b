"""The cheapest way to give each coming peak its VMs."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math

import attrs

from baobabdoor.capacity import _flow
from baobabdoor.capacity import _turns

# A round is as many moves as a budget allows at once. So many rounds that come
# late are told apart, and where so many come in time no late ones are needed.
LATE_ROUNDS = 2
ENOUGH_ROUNDS = 4
# What a VM costs that is still in a pool at the end of the horizon, as a part
# of a move: it may be used again there or have to move.
END_PART = 0.5


@attrs.frozen
class Costs:
    """What the plan weighs, in VM-seconds of buffer.

    Attributes:
        move: Worth of a move.
        unmet: Worth of a VM-second of unmet demand.
        move_s: Time of a move in seconds.
    """

    move: float
    unmet: float
    move_s: float


@attrs.frozen
class PoolSupply:
    """VMs of a pool beyond what it must hold.

    Attributes:
        floor: VMs that the pool must hold.
        surplus: VMs beyond the floor, counting those on their way to it.
        limit: VMs beyond the floor that it may hold at most.
        budget: VMs that may leave it at once.
    """

    floor: int
    surplus: int
    limit: int
    budget: int


@attrs.frozen
class Transfer:
    """VMs that the plan moves from where they are now.

    Attributes:
        source: Pool that they leave.
        target: Pool that they join.
        count: Number of VMs.
        start_s: When they are needed, in monotonic seconds; `-inf` if they
            are no longer needed where they are.
    """

    source: str
    target: str
    count: int
    start_s: float


class PeakPlan:
    """A plan over the present and coming peaks of all pools.

    Each VM beyond the floors takes a path through the peaks: it waits in its
    pool, goes straight to another pool, or returns to the spare pool in
    between. Waiting costs its time, moves cost their worth, and VMs missing in
    a peak cost the demand that stays unmet. The cheapest set of paths is a
    minimum-cost flow.

    Args:
        spare: Name of the spare pool.
        supplies: Surplus of every pool, the spare pool included.
        peaks: Present and coming peaks of each pool, in order.
        costs: What the plan weighs.
        now_s: Monotonic time in seconds.
    """

    def __init__(
        self,
        spare: str,
        supplies: Mapping[str, PoolSupply],
        peaks: Mapping[str, Sequence[_turns.Peak]],
        costs: Costs,
        now_s: float,
    ):
        self.spare = spare
        self.supplies = supplies
        self.peaks = peaks
        self.costs = costs
        self.now_s = now_s
        self.network_ = _flow.FlowNetwork()
        self.first_arcs_: list[tuple[str, str, float, _flow.Arc]] = []

    def transfers(self) -> list[Transfer]:
        """Returns the first moves of the cheapest plan, soonest need first."""
        network = self.network_
        source, sink = network.add_node(), network.add_node()
        nodes = self._add_peaks()
        for pool, supply in self.supplies.items():
            start = network.add_node()
            network.add_arc(source, start, supply.surplus, 0.0)
            self._add_supply(pool, start, sink, nodes)
        for pool, peak, _, leave in nodes:
            network.add_arc(leave, sink, 1000, END_PART * self.costs.move)
            self._add_links(pool, peak.end_s, leave, nodes)
        total = sum(supply.surplus for supply in self.supplies.values())
        network.send(source, sink, total)
        found = [
            Transfer(origin, target, arc.flow, start_s)
            for origin, target, start_s, arc in self.first_arcs_
            if arc.flow > 0
        ]
        return sorted(found, key=lambda transfer: transfer.start_s)

    def _add_peaks(self) -> list[tuple[str, _turns.Peak, int, int]]:
        nodes = []
        for pool, peaks in self.peaks.items():
            supply = self.supplies[pool]
            for peak in peaks:
                enter = self.network_.add_node()
                leave = self.network_.add_node()
                nodes.append((pool, peak, enter, leave))
                left_s = peak.end_s - max(self.now_s, peak.start_s)
                parts = _parts(peak, supply.floor, supply.limit)
                for part, alike in itertools.groupby(parts):
                    worth = part * max(0.0, left_s) * self.costs.unmet
                    count = len(list(alike))
                    self.network_.add_arc(enter, leave, count, -worth)
        return nodes

    def _add_supply(self, pool: str, start: int, sink: int, nodes) -> None:
        """Adds what VMs can do from where they are now."""
        if pool == self.spare:
            self.network_.add_arc(start, sink, 1000, 0.0)
            for target, peak, enter, _ in nodes:
                for arc in self._direct(start, enter, pool, self.now_s, peak):
                    self.first_arcs_.append((pool, target, peak.start_s, arc))
            return
        arc = self.network_.add_arc(start, sink, 1000, self.costs.move)
        self.first_arcs_.append((pool, self.spare, -math.inf, arc))
        for target, peak, enter, _ in nodes:
            if target == pool:
                wait_s = max(0.0, peak.start_s - self.now_s)
                self.network_.add_arc(start, enter, 1000, wait_s)
            else:
                for arc in self._direct(start, enter, pool, self.now_s, peak):
                    self.first_arcs_.append((pool, target, peak.start_s, arc))
            arc = self._via_spare(start, enter, self.now_s, peak)
            if arc is not None:
                self.first_arcs_.append((pool, self.spare, -math.inf, arc))

    def _add_links(self, pool: str, end_s: float, leave: int, nodes) -> None:
        """Adds what VMs can do after a peak."""
        for target, peak, enter, _ in nodes:
            if peak.start_s < end_s:
                continue
            if target == pool:
                wait_s = peak.start_s - end_s
                self.network_.add_arc(leave, enter, 1000, wait_s)
            else:
                list(self._direct(leave, enter, pool, end_s, peak))
            self._via_spare(leave, enter, end_s, peak)

    def _direct(
        self,
        start: int,
        enter: int,
        pool: str,
        free_s: float,
        peak: _turns.Peak,
    ) -> Iterator[_flow.Arc]:
        """Adds moves straight to a peak, each round later than the one before.

        A VM of the spare pool waits there until it is needed and costs nothing
        until then.
        """
        costs = self.costs
        budget = self.supplies[pool].budget
        gap_s = peak.start_s - free_s
        wait_s = 0.0 if pool == self.spare else max(0.0, gap_s)
        cost = costs.move + wait_s
        in_time = max(0, math.floor(gap_s / costs.move_s))
        if in_time:
            yield self.network_.add_arc(start, enter, budget * in_time, cost)
        if in_time >= ENOUGH_ROUNDS:
            return
        for number in range(in_time + 1, in_time + 1 + LATE_ROUNDS):
            late_s = number * costs.move_s - gap_s
            if late_s < peak.end_s - max(self.now_s, peak.start_s):
                late = cost + costs.unmet * late_s
                yield self.network_.add_arc(start, enter, budget, late)

    def _via_spare(
        self, start: int, enter: int, free_s: float, peak: _turns.Peak
    ) -> _flow.Arc | None:
        """Adds a detour through the spare pool if there is time for it."""
        detour_s = 2 * self.costs.move_s
        if peak.start_s - free_s < 2 * detour_s:
            return None
        return self.network_.add_arc(
            start, enter, 1000, 2 * self.costs.move + detour_s
        )


def _parts(peak: _turns.Peak, floor: int, limit: int) -> Iterator[float]:
    """Returns how much of each further VM beyond the floor a peak uses.

    The parts are means over the levels that earlier peaks had, so that the
    last VMs count by how often they are used.
    """
    for number in range(floor, floor + limit):
        part = sum(
            min(1.0, max(0.0, level - number)) for level in peak.levels
        ) / len(peak.levels)
        if part <= 0:
            return
        yield part

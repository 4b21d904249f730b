"""Plans the cheapest moves that supply the current and expected peaks."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math

import attrs

from baobabdoor import forecast
from baobabdoor.capacity import _min_cost_flow

# A round is as many moves as the availability budget allows at once. The plan
# models at most this many rounds that arrive after the start of a peak.
MAX_LATE_ROUNDS = 2
# With this many rounds that arrive in time, late ones are not needed.
SUFFICIENT_ROUNDS = 4
# Cost of a VM that is still in a pool at the end of the horizon, as a fraction
# of the cost of a move: the VM may be used there again or have to move.
END_COST_FRACTION = 0.5


@attrs.frozen
class Costs:
    """Costs that the plan minimizes, in VM-seconds of buffer.

    Attributes:
        move: Cost of a move.
        unmet: Cost of a VM-second of unmet demand.
        move_s: Duration of a move in seconds.
    """

    move: float
    unmet: float
    move_s: float


@attrs.frozen
class PoolSupply:
    """VMs of a pool beyond those that it must keep.

    Attributes:
        floor: VMs that the pool must keep.
        surplus: VMs beyond the floor, including those on their way to the pool.
        max_surplus: Largest number of VMs beyond the floor.
        budget: VMs that may leave the pool at once.
    """

    floor: int
    surplus: int
    max_surplus: int
    budget: int


@attrs.frozen
class Transfer:
    """VMs that the plan moves out of their current pool.

    Attributes:
        source: Pool that they leave.
        target: Pool that they join.
        count: Number of VMs.
        start_s: When the target needs them, in monotonic seconds; `-inf` if
            the source no longer needs them.
    """

    source: str
    target: str
    count: int
    start_s: float


class PeakPlan:
    """A plan for the current and expected peaks of all pools.

    Each VM beyond the floors takes a path through the peaks: between two peaks
    it waits in its pool, moves directly to another pool, or returns to the
    spare pool. Costs are the waiting time, the moves and the demand that stays
    unmet in peaks with too few VMs. The cheapest set of paths is a minimum-cost
    flow.

    Args:
        spare: Name of the spare pool.
        supplies: Surplus of every pool, including the spare pool.
        peaks: Current and expected peaks of each pool, in order.
        costs: Costs that the plan minimizes.
        now_s: Monotonic time in seconds.
    """

    def __init__(
        self,
        spare: str,
        supplies: Mapping[str, PoolSupply],
        peaks: Mapping[str, Sequence[forecast.Peak]],
        costs: Costs,
        now_s: float,
    ):
        self.spare = spare
        self.supplies = supplies
        self.peaks = peaks
        self.costs = costs
        self.now_s = now_s
        self.network_ = _min_cost_flow.FlowNetwork()
        self.first_move_arcs_: list[
            tuple[str, str, float, _min_cost_flow.Arc]
        ] = []

    def transfers(self) -> list[Transfer]:
        """Returns the first moves of the cheapest plan, most urgent first."""
        network = self.network_
        source, sink = network.add_node(), network.add_node()
        nodes = self._add_peaks()
        for pool, supply in self.supplies.items():
            start = network.add_node()
            network.add_arc(source, start, supply.surplus, 0.0)
            self._add_initial_arcs(pool, start, sink, nodes)
        for pool, peak, _, peak_exit in nodes:
            network.add_arc(
                peak_exit, sink, 1000, END_COST_FRACTION * self.costs.move
            )
            self._add_arcs_after_peak(pool, peak.end_s, peak_exit, nodes)
        total = sum(supply.surplus for supply in self.supplies.values())
        network.send(source, sink, total)
        transfers = [
            Transfer(origin, target, arc.flow, start_s)
            for origin, target, start_s, arc in self.first_move_arcs_
            if arc.flow > 0
        ]
        return sorted(transfers, key=lambda transfer: transfer.start_s)

    def _add_peaks(self) -> list[tuple[str, forecast.Peak, int, int]]:
        nodes = []
        for pool, peaks in self.peaks.items():
            supply = self.supplies[pool]
            for peak in peaks:
                peak_entry = self.network_.add_node()
                peak_exit = self.network_.add_node()
                nodes.append((pool, peak, peak_entry, peak_exit))
                remaining_s = peak.end_s - max(self.now_s, peak.start_s)
                fractions = _usage_fractions(
                    peak, supply.floor, supply.max_surplus
                )
                for fraction, equal in itertools.groupby(fractions):
                    value = fraction * max(0.0, remaining_s) * self.costs.unmet
                    count = len(list(equal))
                    self.network_.add_arc(peak_entry, peak_exit, count, -value)
        return nodes

    def _add_initial_arcs(
        self, pool: str, start: int, sink: int, nodes
    ) -> None:
        """Adds the arcs that VMs can take from their current pool."""
        if pool == self.spare:
            self.network_.add_arc(start, sink, 1000, 0.0)
            for target, peak, peak_entry, _ in nodes:
                for arc in self._add_direct_moves(
                    start, peak_entry, pool, self.now_s, peak
                ):
                    self.first_move_arcs_.append(
                        (pool, target, peak.start_s, arc)
                    )
            return
        arc = self.network_.add_arc(start, sink, 1000, self.costs.move)
        self.first_move_arcs_.append((pool, self.spare, -math.inf, arc))
        for target, peak, peak_entry, _ in nodes:
            if target == pool:
                wait_s = max(0.0, peak.start_s - self.now_s)
                self.network_.add_arc(start, peak_entry, 1000, wait_s)
            else:
                for arc in self._add_direct_moves(
                    start, peak_entry, pool, self.now_s, peak
                ):
                    self.first_move_arcs_.append(
                        (pool, target, peak.start_s, arc)
                    )
            arc = self._add_detour(start, peak_entry, self.now_s, peak)
            if arc is not None:
                self.first_move_arcs_.append((pool, self.spare, -math.inf, arc))

    def _add_arcs_after_peak(
        self, pool: str, end_s: float, peak_exit: int, nodes
    ) -> None:
        """Adds the arcs that VMs can take after a peak."""
        for target, peak, peak_entry, _ in nodes:
            if peak.start_s < end_s:
                continue
            if target == pool:
                wait_s = peak.start_s - end_s
                self.network_.add_arc(peak_exit, peak_entry, 1000, wait_s)
            else:
                list(
                    self._add_direct_moves(
                        peak_exit, peak_entry, pool, end_s, peak
                    )
                )
            self._add_detour(peak_exit, peak_entry, end_s, peak)

    def _add_direct_moves(
        self,
        start: int,
        peak_entry: int,
        pool: str,
        free_s: float,
        peak: forecast.Peak,
    ) -> Iterator[_min_cost_flow.Arc]:
        """Adds direct moves to a peak: rounds in time, then each late round.

        A VM waits in the spare pool at no cost until it is needed.
        """
        costs = self.costs
        budget = self.supplies[pool].budget
        gap_s = peak.start_s - free_s
        wait_s = 0.0 if pool == self.spare else max(0.0, gap_s)
        cost = costs.move + wait_s
        in_time = max(0, math.floor(gap_s / costs.move_s))
        if in_time:
            yield self.network_.add_arc(
                start, peak_entry, budget * in_time, cost
            )
        if in_time >= SUFFICIENT_ROUNDS:
            return
        for number in range(in_time + 1, in_time + 1 + MAX_LATE_ROUNDS):
            late_s = number * costs.move_s - gap_s
            if late_s < peak.end_s - max(self.now_s, peak.start_s):
                late_cost = cost + costs.unmet * late_s
                yield self.network_.add_arc(
                    start, peak_entry, budget, late_cost
                )

    def _add_detour(
        self,
        start: int,
        peak_entry: int,
        free_s: float,
        peak: forecast.Peak,
    ) -> _min_cost_flow.Arc | None:
        """Adds a path through the spare pool if there is enough time for it."""
        detour_s = 2 * self.costs.move_s
        if peak.start_s - free_s < 2 * detour_s:
            return None
        return self.network_.add_arc(
            start, peak_entry, 1000, 2 * self.costs.move + detour_s
        )


def _usage_fractions(
    peak: forecast.Peak, floor: int, max_surplus: int
) -> Iterator[float]:
    """Yields the fraction that a peak uses of each VM beyond the floor.

    Fractions are averaged over the levels of the peak, so that a VM that few
    earlier peaks needed has a low value.
    """
    for number in range(floor, floor + max_surplus):
        fraction = sum(
            min(1.0, max(0.0, level - number)) for level in peak.levels
        ) / len(peak.levels)
        if fraction <= 0:
            return
        yield fraction

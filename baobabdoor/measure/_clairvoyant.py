"""Optimal moves for a demand that is known in advance."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs
import numpy as np
from scipy import optimize
from scipy import sparse

# Penalty for unmet demand beyond the limit, in VM-seconds of buffer. The soft
# limit makes every solution feasible; the optimum still keeps the limit.
EXCESS_UNMET_PENALTY = 100.0
# Relative gap at which the solver stops, and time limit after which the best
# solution so far is used with its gap.
GAP = 0.005
TIME_LIMIT_S = 8.0


@attrs.frozen(kw_only=True)
class PoolLimits:
    """Constraints of one pool.

    Attributes:
        initial_workers: VMs in service in the first step.
        min_workers: Minimum number of VMs in service.
        max_workers: Maximum number of VMs in the pool.
        budget: Maximum number of VMs that leave the pool at the same time.
        demand: Demand in workers for each step; None for the spare pool.
    """

    initial_workers: int
    min_workers: int
    max_workers: int
    budget: int
    demand: Sequence[float] | None = None


@attrs.frozen
class Problem:
    """Demand, constraints and costs.

    Attributes:
        pools: Constraints and demand of each pool.
        move_steps: Steps from the start of a move until the VM serves.
        step_s: Length of a step in seconds.
        unmet: Maximum unmet demand, in VM-seconds.
        move_cost_s: Cost of a move in VM-seconds of buffer.
    """

    pools: Mapping[str, PoolLimits]
    move_steps: int
    step_s: float
    unmet: float
    move_cost_s: float


@attrs.frozen
class Solution:
    """Costs of the best solution of a problem.

    Attributes:
        buffer: Unused VM-seconds in application pools.
        moves: Number of moves.
        unmet: Unmet demand, in VM-seconds.
        gap: Relative gap between the cost and its proven lower bound.
    """

    buffer: float
    moves: int
    unmet: float
    gap: float


def solve(problem: Problem) -> Solution:
    """Solves a problem as a mixed-integer linear program with HiGHS.

    The program has no variables for the moves between each pair of pools: all
    moves take equally long, so it suffices that, in each step, as many VMs
    start to leave a pool as start to join one.

    Args:
        problem: Demand, constraints and costs.

    Raises:
        RuntimeError: The solver found no solution.
    """
    program = _Program(problem)
    result = optimize.milp(
        program.cost,
        integrality=program.integrality,
        bounds=optimize.Bounds(program.lower, program.upper),
        constraints=program.constraints(),
        options={"mip_rel_gap": GAP, "time_limit": TIME_LIMIT_S},
    )
    if result.x is None:
        raise RuntimeError(f"clairvoyant reference: {result.message}")
    return program.solution(result.x, result.mip_gap)


class _Program:
    """Costs, bounds and constraint rows of the program.

    The variables of each pool and step are the VMs that start to leave, the VMs
    that start to join, the VMs in service and, for application pools, the unmet
    demand.
    """

    def __init__(self, problem: Problem):
        self.problem = problem
        self.names = list(problem.pools)
        self.application_pools = [
            name
            for name in self.names
            if problem.pools[name].demand is not None
        ]
        self.steps = len(problem.pools[self.application_pools[0]].demand)
        blocks = [
            (kind, name)
            for name in self.names
            for kind in ("out", "in", "serving", "unmet")
            if kind != "unmet" or name in self.application_pools
        ]
        self.offset = {
            block: index * self.steps for index, block in enumerate(blocks)
        }
        self.excess = len(blocks) * self.steps
        size = self.excess + 1
        self.cost = np.zeros(size)
        self.integrality = np.zeros(size)
        self.lower = np.zeros(size)
        self.upper = np.full(size, np.inf)
        self.rows: list[tuple[list[int], list[float], float, float]] = []
        for name in self.names:
            self._add_pool(name, problem.pools[name])
        self._add_totals()

    def constraints(self) -> optimize.LinearConstraint:
        """Returns all constraints as one sparse matrix."""
        row_numbers, column_numbers, values, low, high = [], [], [], [], []
        for number, (columns, factors, lower, upper) in enumerate(self.rows):
            row_numbers.extend([number] * len(columns))
            column_numbers.extend(columns)
            values.extend(factors)
            low.append(lower)
            high.append(upper)
        shape = (len(self.rows), len(self.cost))
        matrix = sparse.csr_array(
            (values, (row_numbers, column_numbers)), shape=shape
        )
        return optimize.LinearConstraint(matrix, low, high)

    def solution(self, x: np.ndarray, gap: float) -> Solution:
        """Returns the costs of a solution vector."""
        step_s = self.problem.step_s
        held = used = moves = unmet = 0.0
        for name in self.names:
            leaving = np.round(self._block(x, "out", name))
            moves += leaving.sum()
            if name not in self.application_pools:
                continue
            demand = np.asarray(self.problem.pools[name].demand)
            serving = np.round(self._block(x, "serving", name))
            away = sum(
                leaving[: self.steps - lag].sum()
                for lag in range(1, self.problem.move_steps)
            )
            held += serving.sum() + away
            used += np.minimum(serving, demand).sum()
            unmet += np.maximum(demand - serving, 0.0).sum()
        return Solution(
            float(held - used) * step_s, int(moves), float(unmet) * step_s, gap
        )

    def _add_pool(self, name: str, pool: PoolLimits) -> None:
        steps, lag = self.steps, self.problem.move_steps
        out, joining, serving = (
            self.offset[(kind, name)] for kind in ("out", "in", "serving")
        )
        self.integrality[out : out + steps] = 1
        self.integrality[joining : joining + steps] = 1
        self.upper[out : out + steps] = pool.budget
        self.lower[serving : serving + steps] = pool.min_workers
        self.lower[serving] = self.upper[serving] = pool.initial_workers
        self.cost[out : out + steps] = self.problem.move_cost_s
        for step in range(steps):
            leaving = [out + t for t in range(max(0, step - lag + 1), step + 1)]
            arriving = [
                joining + t for t in range(max(0, step - lag + 1), step + 1)
            ]
            self._row(leaving, [1] * len(leaving), 0, pool.budget)
            self._row(
                [serving + step, *arriving],
                [1] * (1 + len(arriving)),
                0,
                pool.max_workers,
            )
            if step + 1 == steps:
                self._row([serving + step, out + step], [1, -1], 0, np.inf)
                continue
            columns = [serving + step + 1, serving + step, out + step]
            factors = [1, -1, 1]
            if step + 1 >= lag:
                columns.append(joining + step + 1 - lag)
                factors.append(-1)
            self._row(columns, factors, 0, 0)
        if pool.demand is not None:
            self._add_demand(name, pool)

    def _add_demand(self, name: str, pool: PoolLimits) -> None:
        steps, step_s = self.steps, self.problem.step_s
        serving = self.offset[("serving", name)]
        unmet = self.offset[("unmet", name)]
        out = self.offset[("out", name)]
        # All VMs of the pool cost, used or not: the used part is demand minus
        # unmet demand, a constant for a given unmet demand. VMs that leave
        # still count for the pool.
        self.cost[serving : serving + steps] += step_s
        for lag in range(1, self.problem.move_steps):
            self.cost[out : out + steps - lag] += step_s
        for step, demand in enumerate(pool.demand):
            if demand <= pool.min_workers:
                self.upper[unmet + step] = 0
                continue
            columns = [serving + step, unmet + step]
            self._row(columns, [1, 1], demand, np.inf)
            # Mixed-integer rounding cut of this constraint: it excludes
            # fractional numbers of VMs that meet a fractional demand exactly.
            rounded_up = math.ceil(demand)
            fraction = demand - rounded_up + 1
            self._row(columns, [fraction, 1], fraction * rounded_up, np.inf)

    def _add_totals(self) -> None:
        for step in range(self.steps):
            columns = [
                self.offset[(kind, name)] + step
                for kind in ("out", "in")
                for name in self.names
            ]
            count = len(self.names)
            self._row(columns, [1] * count + [-1] * count, 0, 0)
        columns = [
            self.offset[("unmet", name)] + step
            for name in self.application_pools
            for step in range(self.steps)
        ]
        limit = self.problem.unmet / self.problem.step_s
        factors = [1.0] * len(columns)
        self._row([*columns, self.excess], [*factors, -1.0], -np.inf, limit)
        self.cost[self.excess] = EXCESS_UNMET_PENALTY * self.problem.step_s

    def _row(self, columns, factors, lower: float, upper: float) -> None:
        self.rows.append((columns, factors, lower, upper))

    def _block(self, x: np.ndarray, kind: str, name: str) -> np.ndarray:
        start = self.offset[(kind, name)]
        return x[start : start + self.steps]

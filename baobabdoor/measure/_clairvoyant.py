"""The best moves for a demand that is known in advance."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs
import numpy as np
from scipy import optimize
from scipy import sparse

# Price of unmet demand beyond the limit, in VM-seconds of buffer. It lets the
# solver start from any solution; the optimum stays within the limit.
EXCESS_PRICE = 100.0
# Accepted distance from the optimum, and time after which the best solution
# and its bound are taken as they are.
GAP = 0.005
TIME_LIMIT_S = 8.0


@attrs.frozen(kw_only=True)
class PoolLimits:
    """What holds for one pool at any time.

    Attributes:
        at_start: VMs in service at the start.
        min_workers: VMs to keep in service.
        max_workers: VMs that it may hold.
        budget: VMs that may be on the way out at once.
        demand: Demand in workers for each step; None for the spare pool.
    """

    at_start: int
    min_workers: int
    max_workers: int
    budget: int
    demand: Sequence[float] | None = None


@attrs.frozen
class Problem:
    """A demand to serve.

    Attributes:
        pools: Limits of each pool.
        move_steps: Steps from the start of a move until the VM serves.
        step_s: Length of a step in seconds.
        unmet: Demand that may stay unmet, in VM-seconds.
        move_cost_s: VM-seconds of buffer that a move costs.
    """

    pools: Mapping[str, PoolLimits]
    move_steps: int
    step_s: float
    unmet: float
    move_cost_s: float


@attrs.frozen
class Solution:
    """The optimum of a problem.

    Attributes:
        buffer: VM-seconds held in application pools beyond use.
        moves: Number of moves.
        unmet: Demand left unmet, in VM-seconds.
        gap: Relative distance of the cost from its proven bound.
    """

    buffer: float
    moves: int
    unmet: float
    gap: float


def solve(problem: Problem) -> Solution:
    """Solves a problem as a mixed-integer program with HiGHS.

    The moves between two pools need no variables of their own: all moves take
    equally long, so it suffices that as many VMs leave as join in a step.

    Args:
        problem: The demand and what holds.

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
    """The matrices of a problem.

    For each pool and step there are VMs that start to leave, VMs that start
    to join, VMs in service, and unmet demand.
    """

    def __init__(self, problem: Problem):
        self.problem = problem
        self.names = list(problem.pools)
        self.applications = [
            name
            for name in self.names
            if problem.pools[name].demand is not None
        ]
        self.steps = len(problem.pools[self.applications[0]].demand)
        blocks = [
            (kind, name)
            for name in self.names
            for kind in ("out", "in", "serving", "unmet")
            if kind != "unmet" or name in self.applications
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
        row_of, column_of, values, low, high = [], [], [], [], []
        for number, (columns, factors, lower, upper) in enumerate(self.rows):
            row_of.extend([number] * len(columns))
            column_of.extend(columns)
            values.extend(factors)
            low.append(lower)
            high.append(upper)
        shape = (len(self.rows), len(self.cost))
        matrix = sparse.csr_array((values, (row_of, column_of)), shape=shape)
        return optimize.LinearConstraint(matrix, low, high)

    def solution(self, x: np.ndarray, gap: float) -> Solution:
        """Returns what a solution of the program costs."""
        step_s = self.problem.step_s
        held = used = moves = unmet = 0.0
        for name in self.names:
            leaving = np.round(self._block(x, "out", name))
            moves += leaving.sum()
            if name not in self.applications:
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
        self.lower[serving] = self.upper[serving] = pool.at_start
        self.cost[out : out + steps] = self.problem.move_cost_s
        for step in range(steps):
            leaving = [out + t for t in range(max(0, step - lag + 1), step + 1)]
            coming = [
                joining + t for t in range(max(0, step - lag + 1), step + 1)
            ]
            self._row(leaving, [1] * len(leaving), 0, pool.budget)
            self._row(
                [serving + step, *coming],
                [1] * (1 + len(coming)),
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
        # Held VMs cost; what is used of them is demand less unmet demand, a
        # constant at equal unmet demand. VMs on the way out are still held.
        self.cost[serving : serving + steps] += step_s
        for lag in range(1, self.problem.move_steps):
            self.cost[out : out + steps - lag] += step_s
        for step, demand in enumerate(pool.demand):
            if demand <= pool.min_workers:
                self.upper[unmet + step] = 0
                continue
            columns = [serving + step, unmet + step]
            self._row(columns, [1, 1], demand, np.inf)
            # The same for a whole number of VMs: it cuts off fractional
            # solutions that meet a broken demand exactly.
            whole = math.ceil(demand)
            part = demand - whole + 1
            self._row(columns, [part, 1], part * whole, np.inf)

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
            for name in self.applications
            for step in range(self.steps)
        ]
        limit = self.problem.unmet / self.problem.step_s
        factors = [1.0] * len(columns)
        self._row([*columns, self.excess], [*factors, -1.0], -np.inf, limit)
        self.cost[self.excess] = EXCESS_PRICE * self.problem.step_s

    def _row(self, columns, factors, lower: float, upper: float) -> None:
        self.rows.append((columns, factors, lower, upper))

    def _block(self, x: np.ndarray, kind: str, name: str) -> np.ndarray:
        start = self.offset[(kind, name)]
        return x[start : start + self.steps]

"""Suite `capacity`: buffer cost, moves and unmet demand of each policy."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from baobabdoor import capacity
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.measure import _clairvoyant
from baobabdoor.measure import _fleet_model
from baobabdoor.measure import _pool_demand
from baobabdoor.measure import _result

# Cycles of demand before the measurement, in which policies learn the peaks,
# and cycles that are measured.
LEARNING_CYCLES = 3
MEASURED_CYCLES = 3
PRESET = "ordinary"
# VM-seconds of buffer that a move costs if the weights are equal. On the tuning
# seeds, the buffer cost of static pools divided by the number of moves that
# follow every peak, in both directions, was between 59 and 112.
MOVE_COST_S = 80.0
# Period in seconds at which the loss of each failure domain is evaluated.
LOSS_CHECK_PERIOD_S = 5
# Fraction of the demand that the reference may leave unmet beyond the policy's
# unmet demand. It slightly favours the reference; without it the solver takes a
# minute to find a first solution if a policy meets nearly all demand.
UNMET_TOLERANCE = 0.001
# The measurement ends this long after the start of a peak, so that the policy
# has no moves in progress for demand that the reference does not know.
PEAK_MARGIN_S = 10
# Ticks from the planning of a move until the VM serves, as the model has it.
MOVE_STEPS = 5


def _parameter_items(parameters) -> tuple[tuple[str, float], ...]:
    return tuple(dict(parameters).items())


@attrs.frozen
class Candidate:
    """A capacity policy with its parameters.

    Attributes:
        policy: Name of the policy.
        parameters: Names and values of parameters that differ from the default.
    """

    policy: str
    parameters: tuple[tuple[str, float], ...] = attrs.field(
        default=(), converter=_parameter_items
    )

    @property
    def label(self) -> str:
        """Name of the policy in the results."""
        values = "/".join(f"{value:g}" for _, value in self.parameters)
        return f"{self.policy} {values}".strip()


# The point of the frontier that the weights select: with default parameters the
# predictive policy derives the cost of a move from the weights of the
# deployment. The defaults leave at most 1% of the demand of the tuning seeds
# unmet in the median. The policy weighs a move slightly higher than the
# reference, because a wrong forecast costs a further move.
SELECTED = Candidate("predictive", {"move_cost_s": 85, "unmet_cost": 15})


def candidates() -> list[Candidate]:
    """Returns the policies and parameters whose trade-offs are measured."""
    points = [Candidate("static")]
    points.extend(
        Candidate("reactive", {"hold_s": hold_s}) for hold_s in (5, 20, 60)
    )
    points.extend(
        Candidate(
            "predictive", {"move_cost_s": move_cost_s, "unmet_cost": unmet}
        )
        for move_cost_s, unmet in (
            (40, 15),
            (85, 8),
            (85, 15),
            (85, 30),
            (170, 15),
        )
    )
    return points


@attrs.frozen
class Outcome:
    """Costs of a policy over the measured cycles.

    Attributes:
        buffer: Unused VM-seconds in application pools.
        moves: Number of moves started.
        unmet: Demand beyond the VMs in service, in VM-seconds.
        demand: Total demand, in VM-seconds.
        moves_back: Moves of a VM back to the pool that it left less than the
            length of a peak ago.
        refused: Moves that the controller would have refused.
        missing_after_rack_loss: VMs missing from the promised minimum after the
            worst loss of a rack and after all remaining spare VMs have moved;
            the maximum over the run.
        missing_after_zone_loss: The same for the loss of an availability zone.
    """

    buffer: float
    moves: int
    unmet: float
    demand: float
    moves_back: int
    refused: int
    missing_after_rack_loss: int = 0
    missing_after_zone_loss: int = 0


class CapacityRun:
    """Simulates one capacity policy under one demand.

    Args:
        deployment: Settings of the deployment.
        demand: Demand to serve.
        policy: Policy to measure.
        seed: Seed of the durations of moves.
    """

    def __init__(
        self,
        deployment: settings.Deployment,
        demand: _pool_demand.Demand,
        policy: capacity.CapacityPolicy,
        seed: int,
    ):
        self.deployment = deployment
        self.demand = demand
        self.policy = policy
        self.seed = seed
        preset = deployment.presets[PRESET]
        self.model_ = _fleet_model.FleetModel(deployment, preset, seed=seed)
        self.model_.mark_maintained()
        pools = len(demand.workers)
        self.start_s_ = (
            int(demand.starts_s[LEARNING_CYCLES * pools][0]) - PEAK_MARGIN_S
        )
        self.end_s_ = int(demand.starts_s[-1][0]) + PEAK_MARGIN_S
        self.initial_workers_: dict[str, int] = {}
        self.last_departures_: dict[str, tuple[str, float]] = {}
        self.outcome_ = Outcome(0.0, 0, 0.0, 0.0, 0, 0)

    def run(self) -> Outcome:
        """Runs the simulation and returns the costs of the measured cycles."""
        for second in range(self.end_s_):
            if second == self.start_s_:
                self.begin_measurement()
            self.tick(second)
            self.model_.step()
        return self.outcome_

    def begin_measurement(self) -> None:
        """Resets the counters and records the size of each pool."""
        self.outcome_ = Outcome(0.0, 0, 0.0, 0.0, 0, 0)
        for vm in self.model_.vms_.values():
            pool = vm.target_pool or vm.pool
            self.initial_workers_[pool] = self.initial_workers_.get(pool, 0) + 1

    def tick(self, second: int) -> None:
        """Plans moves for one second of demand and adds up its costs."""
        model, deployment = self.model_, self.deployment
        snapshot = model.snapshot()
        held = unmet = total = 0.0
        demand = {}
        for pool, workers in self.demand.workers.items():
            slots_per_worker = deployment.pools[pool].slots
            serving = snapshot.in_service(pool)
            demand[pool] = self.demand.reported_demand(
                pool, second, serving * slots_per_worker
            )
            held += len(snapshot.of_pool(pool))
            unmet += max(0.0, workers[second] - serving)
            total += workers[second]
        moves = self.policy.plan(
            snapshot, demand, deployment, model.preset, model.now_s_
        )
        started = [m for m in moves if model.move(m.vm_id, m.to_pool)]
        previous = self.outcome_
        self.outcome_ = Outcome(
            buffer=previous.buffer + held - (total - unmet),
            moves=previous.moves + len(started),
            unmet=previous.unmet + unmet,
            demand=previous.demand + total,
            moves_back=previous.moves_back + self._moves_back(started),
            refused=previous.refused + len(moves) - len(started),
            missing_after_rack_loss=max(
                previous.missing_after_rack_loss,
                self._missing_after("rack", second),
            ),
            missing_after_zone_loss=max(
                previous.missing_after_zone_loss,
                self._missing_after("availability_zone", second),
            ),
        )

    def _moves_back(self, moves: list[capacity.Move]) -> int:
        now_s = self.model_.now_s_
        count = 0
        for move in moves:
            pool, departure_s = self.last_departures_.get(move.vm_id, ("", 0.0))
            back = pool == move.to_pool
            count += back and now_s - departure_s < self.demand.shortest_peak_s
            self.last_departures_[move.vm_id] = (move.from_pool, now_s)
        return count

    def _missing_after(self, domain: str, second: int) -> int:
        if second % LOSS_CHECK_PERIOD_S:
            return 0
        return missing_after_loss(
            self.model_.snapshot(), self.deployment, self.model_.preset, domain
        )

    def problem(self, move_cost_s: float) -> _clairvoyant.Problem:
        """Returns the optimization problem of the clairvoyant reference."""
        preset = self.deployment.presets[PRESET]
        pools = {}
        for pool, promise in preset.pools.items():
            spare = pool == self.deployment.spare_pool
            workers = self.demand.workers.get(pool, [])
            measured = workers[self.start_s_ : self.end_s_]
            pools[pool] = _clairvoyant.PoolLimits(
                initial_workers=self.initial_workers_.get(pool, 0),
                min_workers=promise.min_workers
                + (preset.buffer_workers if spare else 0),
                max_workers=promise.max_workers,
                budget=promise.availability_budget,
                demand=None if spare else measured,
            )
        return _clairvoyant.Problem(
            pools=pools,
            move_steps=MOVE_STEPS,
            step_s=_fleet_model.TICK_S,
            unmet=self.outcome_.unmet + UNMET_TOLERANCE * self.outcome_.demand,
            move_cost_s=move_cost_s,
        )


def missing_after_loss(
    snapshot: ownership.FleetSnapshot,
    deployment: settings.Deployment,
    preset: settings.Preset,
    domain: str,
) -> int:
    """Returns the VMs missing from the promised minimum after the worst loss.

    Args:
        snapshot: All VMs; a moving VM counts for the pool that it joins.
        deployment: Settings of the deployment.
        preset: Preset in force.
        domain: Field of a VM that identifies its failure domain.
    """
    pool_sizes: collections.Counter = collections.Counter()
    sizes_by_domain: dict[str, collections.Counter] = {}
    for vm in snapshot.vms.values():
        pool = vm.target_pool or vm.pool
        pool_sizes[pool] += 1
        domain_sizes = sizes_by_domain.setdefault(
            getattr(vm, domain), collections.Counter()
        )
        domain_sizes[pool] += 1
    worst = 0
    for domain_sizes in sizes_by_domain.values():
        missing = 0
        for pool, promise in preset.pools.items():
            surplus = (
                pool_sizes[pool] - domain_sizes[pool] - promise.min_workers
            )
            spare = pool == deployment.spare_pool
            missing -= surplus if spare else min(0, surplus)
        worst = max(worst, missing)
    return worst


def run(
    deployment: settings.Deployment, seeds: Iterable[int]
) -> Iterator[_result.Result]:
    """Measures the frontier and compares one point with the reference."""
    for seed in seeds:
        runs = _run_all(deployment, seed)
        static = runs[Candidate("static")].outcome_
        for candidate, capacity_run in runs.items():
            yield from _frontier_results(
                deployment, candidate.label, capacity_run.outcome_, static, seed
            )
        yield from _reference_results(
            deployment, SELECTED.label, runs[SELECTED], seed
        )


def _move_cost_s(deployment: settings.Deployment) -> float:
    """Returns the cost of a move in VM-seconds of buffer."""
    weights = deployment.weights
    return MOVE_COST_S * weights.moves / weights.buffer_cost


def _run_all(
    deployment: settings.Deployment, seed: int
) -> dict[Candidate, CapacityRun]:
    cycles = LEARNING_CYCLES + MEASURED_CYCLES
    demand = _pool_demand.generate(deployment, cycles, seed)
    runs = {}
    for candidate in candidates():
        parameters = dict(candidate.parameters)
        policy = capacity.make_policy(candidate.policy, **parameters)
        runs[candidate] = CapacityRun(deployment, demand, policy, seed)
        runs[candidate].run()
    return runs


def _frontier_results(
    deployment: settings.Deployment,
    label: str,
    outcome: Outcome,
    static: Outcome,
    seed: int,
) -> Iterator[_result.Result]:
    name = deployment.deployment
    for measure, value, unit, reference in (
        ("buffer cost", outcome.buffer, "VM-s", static.buffer),
        ("moves", outcome.moves, "moves", 0.0),
        ("unmet demand", outcome.unmet, "VM-s", outcome.demand),
        ("moves back within a turn", outcome.moves_back, "moves", 0.0),
        ("moves refused", outcome.refused, "moves", 0.0),
        (
            "missing after rack loss",
            outcome.missing_after_rack_loss,
            "VMs",
            0.0,
        ),
        (
            "missing after zone loss",
            outcome.missing_after_zone_loss,
            "VMs",
            0.0,
        ),
    ):
        yield _result.Result(measure, name, label, value, unit, reference, seed)


def _reference_results(
    deployment: settings.Deployment,
    label: str,
    selected: CapacityRun,
    seed: int,
) -> Iterator[_result.Result]:
    problem = selected.problem(_move_cost_s(deployment))
    solution = _clairvoyant.solve(problem)
    outcome = selected.outcome_
    for measure, value, unit, reference in (
        ("chosen: buffer cost", outcome.buffer, "VM-s", solution.buffer),
        ("chosen: moves", outcome.moves, "moves", solution.moves),
        ("chosen: unmet demand", outcome.unmet, "VM-s", solution.unmet),
        ("chosen: gap of the reference", solution.gap, "1", 0.0),
    ):
        yield _result.Result(
            measure, deployment.deployment, label, value, unit, reference, seed
        )

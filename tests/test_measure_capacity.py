"""Tests of the suites `capacity`, `rollout` and `capacity-slopes`."""

import itertools

import attrs
import fleets
import pytest

from baobabdoor import capacity
from baobabdoor.measure import _capacity
from baobabdoor.measure import _clairvoyant
from baobabdoor.measure import _pool_demand
from baobabdoor.measure import _rollout
from baobabdoor.measure import _slopes

FEDERATION = fleets.deployment()


def tiny_problem(unmet):
    """Returns a problem of two pools with one peak each and one spare VM."""
    first = [0.0, 0.0, 2.0, 2.0, 0.0, 0.0, 0.0, 0.0]
    second = [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 2.0, 2.0]
    limits = {
        "initial_workers": 1,
        "min_workers": 1,
        "max_workers": 3,
        "budget": 1,
    }
    pools = {
        "first": _clairvoyant.PoolLimits(**limits, demand=first),
        "second": _clairvoyant.PoolLimits(**limits, demand=second),
        "spare": _clairvoyant.PoolLimits(
            **{**limits, "min_workers": 0, "max_workers": 9}
        ),
    }
    return _clairvoyant.Problem(pools, 2, 1.0, unmet, 3.0)


def cost_by_enumeration(problem):
    """Returns the lowest cost of all move sequences of the single spare VM.

    The cost consists of unused VM steps and moves.
    """
    best = float("inf")
    steps = 8
    names = list(problem.pools)
    for plan in itertools.product([None, *names], repeat=steps):
        pool, arrival_step, target, held, moves = "spare", -1, "", 2 * steps, 0
        unmet = used = 0.0
        for step, destination in enumerate(plan):
            if step == arrival_step:
                pool, target = target, ""
            held += pool != "spare"
            for name in ("first", "second"):
                serving = 1 + (pool == name and not target)
                demand = problem.pools[name].demand[step]
                used += min(serving, demand)
                unmet += max(0.0, demand - serving)
            if destination is not None and not target and destination != pool:
                target, arrival_step, moves = destination, step + 2, moves + 1
        if unmet <= problem.unmet:
            best = min(best, held - used + moves * problem.move_cost_s)
    return best


class TestClairvoyant:

    @pytest.mark.parametrize("unmet", [0.0, 2.0, 4.0])
    def test_agrees_with_enumeration(self, unmet):
        problem = tiny_problem(unmet)
        solution = _clairvoyant.solve(problem)
        cost = solution.buffer + solution.moves * problem.move_cost_s
        assert cost == pytest.approx(cost_by_enumeration(problem))
        assert solution.unmet <= unmet

    def test_no_policy_is_better_at_equal_unmet_demand(self):
        demand = _pool_demand.generate(FEDERATION, 5, 1)
        policy = capacity.make_policy("predictive")
        run = _capacity.CapacityRun(FEDERATION, demand, policy, 1)
        outcome = run.run()
        problem = run.problem(80.0)
        solution = _clairvoyant.solve(problem)
        cost = outcome.buffer + 80.0 * outcome.moves
        reference = solution.buffer + 80.0 * solution.moves
        assert reference <= cost * (1 + _clairvoyant.GAP)


class TestDemand:

    def test_peaks_are_five_times_the_mean_and_exceed_the_pool(self):
        demand = _pool_demand.generate(FEDERATION, 20, 3)
        for pool, workers in demand.workers.items():
            mean = sum(workers) / len(workers)
            peaks = [value for value in workers if value > mean]
            assert 4 < sum(peaks) / len(peaks) / mean < 6
            assert min(peaks) > FEDERATION.pools[pool].workers
            assert min(workers) == pytest.approx(mean / 20, rel=0.2)


class TestLowerBound:

    @pytest.mark.parametrize("name", ["federation", "nam-rung"])
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("scenario", _rollout.SCENARIOS)
    def test_no_roll_out_is_faster(self, scenario, seed, name):
        planner = _rollout.POLICIES["waves"]
        deployment = fleets.deployment(name)
        roll_out = _rollout.RollOutRun(deployment, scenario, planner, seed)
        time_s = roll_out.run()
        assert roll_out.bound_.total_s(roll_out.model_) <= time_s

    def test_undisturbed_bound_matches_its_formula(self):
        bound = _rollout.LowerBound(FEDERATION)
        preset = FEDERATION.presets["ordinary"]
        assert bound.undisturbed_s(preset) == 6 * 90 / 2


class TestMissingAfterLoss:

    def test_counts_vms_that_the_spare_pool_cannot_replace(self):
        preset = FEDERATION.presets["ordinary"]
        snapshot = fleets.snapshot(FEDERATION)
        assert not _capacity.missing_after_loss(
            snapshot, FEDERATION, preset, "availability_zone"
        )
        # All VMs are in one rack, so its loss leaves no spare VM.
        vms = {
            vm_id: attrs.evolve(vm, rack="one")
            for vm_id, vm in snapshot.vms.items()
        }
        lost = _capacity.missing_after_loss(
            attrs.evolve(snapshot, vms=vms), FEDERATION, preset, "rack"
        )
        assert lost == 4 * 4 + 1


class TestSlopes:

    def test_generated_fleet_has_the_requested_size(self):
        deployment = _slopes.generate_deployment(500)
        sizes = [pool.workers for pool in deployment.pools.values()]
        assert sum(sizes) == 500
        assert len(sizes) == 241

"""Roll-out while a capacity policy moves VMs to the pools that peak."""

from collections.abc import Iterator

from baobabdoor import capacity
from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.measure import _capacity
from baobabdoor.measure import _fleet_model
from baobabdoor.measure import _pool_demand
from baobabdoor.measure import _result

# Cycles of demand before the roll-out starts, and in total; the roll-out takes
# three to five of them.
LEARNING_CYCLES = 3
CYCLES = 14


def measure(
    deployment: settings.Deployment, bound_s: float, seed: int
) -> Iterator[_result.Result]:
    """Measures the duration of the roll-out and the unmet demand during it.

    Args:
        deployment: Settings of the deployment.
        bound_s: Lower bound without moves, in seconds.
        seed: Seed of demand and durations.
    """
    demand = _pool_demand.generate(deployment, CYCLES, seed)
    for name in ("static", "reactive", "predictive"):
        policy = capacity.make_policy(name)
        run = _capacity.CapacityRun(deployment, demand, policy, seed)
        duration_s, refused = _roll_out(run)
        outcome = run.outcome_
        for measure_name, value, unit, reference in (
            ("roll-out time, under-demand", duration_s, "s", bound_s),
            (
                "unmet demand, under-demand",
                outcome.unmet,
                "VM-s",
                outcome.demand,
            ),
            ("starts refused, under-demand", refused, "times", 0.0),
        ):
            yield _result.Result(
                measure_name,
                deployment.deployment,
                f"waves, {name}",
                value,
                unit,
                reference,
                seed,
            )


def _roll_out(run: _capacity.CapacityRun) -> tuple[float, int]:
    """Returns the duration of the roll-out and the number of refused starts."""
    model, planner = run.model_, maintenance.WavePlanner()
    pools = len(run.demand.workers)
    start_s = int(run.demand.starts_s[LEARNING_CYCLES * pools][0])
    refused = 0
    for second in range(run.end_s_):
        if second == start_s:
            model.mark_due()
            run.begin_measurement()
        # Moves have priority over maintenance, as in the controller, because
        # they use the budget for seconds and reboots use it for minutes.
        run.tick(second)
        if second >= start_s:
            for vm in planner.plan(
                model.snapshot(), run.deployment, model.preset, model.wall_ms
            ):
                refused += not model.maintain(vm.vm_id)
            if _is_complete(model.snapshot()):
                return second - start_s, refused
        model.step()
    return run.end_s_ - start_s, refused


def _is_complete(snapshot: ownership.FleetSnapshot) -> bool:
    return all(
        vm.last_maintained_ms >= _fleet_model.START_WALL_MS
        for vm in snapshot.vms.values()
    )

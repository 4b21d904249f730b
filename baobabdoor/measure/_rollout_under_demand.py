"""A roll-out while a capacity policy moves VMs after the turns."""

from collections.abc import Iterator

from baobabdoor import capacity
from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.measure import _capacity
from baobabdoor.measure import _fleet_model
from baobabdoor.measure import _pool_demand
from baobabdoor.measure import _result

# Cycles of demand before the roll-out starts, and in all; the roll-out is over
# after three to five further ones.
LEARNING_CYCLES = 3
CYCLES = 14


def measure(
    deployment: settings.Deployment, bound_s: float, seed: int
) -> Iterator[_result.Result]:
    """Measures the time of the roll-out and the demand unmet meanwhile.

    Args:
        deployment: Settings of the deployment.
        bound_s: Lower bound without moves, in seconds.
        seed: Seed of demand and durations.
    """
    demand = _pool_demand.generate(deployment, CYCLES, seed)
    for name in ("static", "reactive", "predictive"):
        policy = capacity.make_policy(name)
        run = _capacity.CapacityRun(deployment, demand, policy, seed)
        time_s, refused = _roll_out(run)
        outcome = run.outcome_
        for measure_name, value, unit, reference in (
            ("roll-out time, under-demand", time_s, "s", bound_s),
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
    """Returns the time of the roll-out and the starts that were refused."""
    model, planner = run.model_, maintenance.WavePlanner()
    pools = len(run.demand.workers)
    start = int(run.demand.starts_s[LEARNING_CYCLES * pools][0])
    refused = 0
    for second in range(run.last_):
        if second == start:
            model.mark_due()
            run.begin_measurement()
        # In the controller, too, moves come before maintenance: they hold a
        # budget for seconds, a reboot for minutes.
        run.tick(second)
        if second >= start:
            for vm in planner.plan(
                model.snapshot(), run.deployment, model.preset, model.wall_ms
            ):
                refused += not model.maintain(vm.vm_id)
            if _is_over(model.snapshot()):
                return second - start, refused
        model.step()
    return run.last_ - start, refused


def _is_over(snapshot: ownership.FleetSnapshot) -> bool:
    return all(
        vm.last_maintained_ms >= _fleet_model.START_WALL_MS
        for vm in snapshot.vms.values()
    )

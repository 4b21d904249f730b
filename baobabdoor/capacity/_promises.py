"""Moves that every policy plans to keep the promises of the preset."""

from collections.abc import Mapping

from baobabdoor.capacity import _planning_state
from baobabdoor.capacity import _pool_state


def restore_promises(
    state: _planning_state.PlanningState, floors: Mapping[str, int]
) -> None:
    """Plans moves into pools that are below their floor.

    Takes VMs from the spare pool first, including its buffer, which is reserved
    for this. The rest comes from pools that are above their floor.

    Args:
        state: State of the planning step.
        floors: VMs in service that each pool must keep.
    """
    for target in state.applications:
        missing = floors[target.name] - target.projected
        if missing <= 0:
            continue
        from_spare = min(missing, state.available_spare(keep_buffer=False))
        missing -= state.move(
            state.spare, target, from_spare, "restore promise"
        )
        for source in sorted(
            state.applications, key=lambda pool: -pool.projected
        ):
            if missing <= 0:
                break
            if source is target:
                continue
            surplus = source.serving - floors[source.name]
            wanted = min(missing, max(0, surplus))
            missing -= _restore(state, source, target, wanted)


def _restore(
    state: _planning_state.PlanningState,
    source: _pool_state.PoolState,
    target: _pool_state.PoolState,
    count: int,
) -> int:
    # The buffer is reserved for this loss, so after it the spare pool need not
    # be able to replace another zone.
    return state.move(
        source, target, count, "restore promise", check_zone_loss=False
    )


def floors(state: _planning_state.PlanningState) -> dict[str, int]:
    """Returns how many VMs in service each pool must keep, whatever its demand.

    While VMs of a pool are due in a roll-out, the floor is raised by what is
    left of the pool's availability budget. At `min_workers` alone, none of its
    VMs could be rebooted and the roll-out would never end.
    """
    result = {}
    roll_out = state.current_roll_out()
    for pool in state.pools_.values():
        floor = pool.promise.min_workers
        if roll_out is not None and any(
            roll_out.is_due(vm) for vm in pool.members
        ):
            unavailable = sum(not vm.in_service for vm in pool.members)
            budget = pool.promise.availability_budget
            floor += max(0, budget - unavailable)
        result[pool.name] = min(floor, pool.promise.max_workers)
    return result

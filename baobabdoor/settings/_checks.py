"""Validation across the fields of a deployment."""

from collections.abc import Iterator

from baobabdoor.settings import _deployment
from baobabdoor.settings import _errors

# Weights are written by hand with two decimals, so that rounding may move their
# sum away from 1.
WEIGHT_TOLERANCE = 0.011


def check_deployment(
    deployment: _deployment.Deployment,
) -> list[_errors.SettingsProblem]:
    """Returns the problems that involve more than one field.

    Finds references to unknown names, pools without workers, availability
    budgets that block maintenance, and presets that need more VMs than the
    fleet has.
    """
    problems = list(_check_references(deployment))
    problems.extend(_check_pools(deployment))
    problems.extend(_check_weights(deployment))
    for preset_name, preset in deployment.presets.items():
        problems.extend(_check_preset(deployment, preset_name, preset))
    return problems


def _check_references(
    deployment: _deployment.Deployment,
) -> Iterator[_errors.SettingsProblem]:
    if deployment.spare_pool not in deployment.pools:
        yield _errors.SettingsProblem(
            "spare_pool", "the name of a pool", repr(deployment.spare_pool)
        )
    if deployment.initial_preset not in deployment.presets:
        yield _errors.SettingsProblem(
            "initial_preset",
            "the name of a preset",
            repr(deployment.initial_preset),
        )
    zones = [zone.name for zone in deployment.availability_zones]
    if not zones:
        yield _errors.SettingsProblem(
            "availability_zones", "at least one zone", "none"
        )
    for index, zone in enumerate(deployment.availability_zones):
        if zones.index(zone.name) != index:
            yield _errors.SettingsProblem(
                f"availability_zones.{index}.name",
                "each zone once",
                f"{zone.name!r} again",
            )
        yield from _check_neighbours(index, zone, zones)


def _check_neighbours(
    index: int, zone: _deployment.AvailabilityZone, zones: list[str]
) -> Iterator[_errors.SettingsProblem]:
    for neighbour in zone.neighbours:
        if neighbour not in zones or neighbour == zone.name:
            yield _errors.SettingsProblem(
                f"availability_zones.{index}.neighbours",
                "names of other zones",
                repr(neighbour),
            )


def _check_pools(
    deployment: _deployment.Deployment,
) -> Iterator[_errors.SettingsProblem]:
    if not deployment.pools:
        yield _errors.SettingsProblem("pools", "at least one pool", "none")
    for pool_name, pool in deployment.pools.items():
        if pool.workers == 0:
            yield _errors.SettingsProblem(
                f"pools.{pool_name}.workers", "at least 1 VM", "0"
            )
        if pool.slots > pool.connections:
            yield _errors.SettingsProblem(
                f"pools.{pool_name}.slots",
                f"at most the {pool.connections} connections",
                str(pool.slots),
            )


def _check_weights(
    deployment: _deployment.Deployment,
) -> Iterator[_errors.SettingsProblem]:
    weights = deployment.weights
    total = (
        weights.flood + weights.buffer_cost + weights.moves + weights.roll_out
    )
    if abs(total - 1.0) > WEIGHT_TOLERANCE:
        yield _errors.SettingsProblem(
            "weights", "weights that add up to 1", f"a sum of {total:g}"
        )


def _check_preset(
    deployment: _deployment.Deployment,
    preset_name: str,
    preset: _deployment.Preset,
) -> Iterator[_errors.SettingsProblem]:
    field = f"presets.{preset_name}"
    missing = sorted(set(deployment.pools) - set(preset.pools))
    if missing:
        yield _errors.SettingsProblem(
            f"{field}.pools", "a promise for every pool", f"none for {missing}"
        )
    for pool_name, promise in preset.pools.items():
        pool_field = f"{field}.pools.{pool_name}"
        if pool_name not in deployment.pools:
            yield _errors.SettingsProblem(
                pool_field, "the name of a pool", repr(pool_name)
            )
            continue
        yield from _check_promise(pool_field, promise, preset)
    yield from _check_fleet_size(deployment, field, preset)


def _check_promise(
    field: str, promise: _deployment.PoolPromise, preset: _deployment.Preset
) -> Iterator[_errors.SettingsProblem]:
    if promise.max_workers < promise.min_workers:
        yield _errors.SettingsProblem(
            f"{field}.max_workers",
            f"at least min_workers ({promise.min_workers})",
            str(promise.max_workers),
        )
    if preset.maintenance.enabled and promise.availability_budget == 0:
        yield _errors.SettingsProblem(
            f"{field}.availability_budget",
            "at least 1 VM while maintenance is enabled",
            "0, which no wave can satisfy",
        )


def _check_fleet_size(
    deployment: _deployment.Deployment, field: str, preset: _deployment.Preset
) -> Iterator[_errors.SettingsProblem]:
    fleet_size = sum(pool.workers for pool in deployment.pools.values())
    promised = sum(promise.min_workers for promise in preset.pools.values())
    needed = promised + preset.buffer_workers
    if needed > fleet_size:
        yield _errors.SettingsProblem(
            field,
            f"promises and buffer within the fleet of {fleet_size} VMs",
            f"{promised} promised and {preset.buffer_workers} as buffer",
        )
    for pool_name, promise in preset.pools.items():
        # Maintenance takes up to `availability_budget` VMs of a pool out of
        # service while `min_workers` VMs must stay in service, so the pool must
        # have at least the sum of both.
        pool = deployment.pools.get(pool_name)
        if pool is None or not preset.maintenance.enabled:
            continue
        total = promise.min_workers + promise.availability_budget
        if total > pool.workers:
            yield _errors.SettingsProblem(
                f"{field}.pools.{pool_name}.availability_budget",
                f"at most {pool.workers - promise.min_workers} VMs"
                f" beside {promise.min_workers} promised of {pool.workers}",
                str(promise.availability_budget),
            )

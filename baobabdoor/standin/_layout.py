"""Placement of the VMs of a deployment in zones and racks."""

from collections.abc import Callable

from baobabdoor import settings
from baobabdoor.standin import _vms


def lay_out(
    deployment: settings.Deployment, address: Callable[[int], str]
) -> list[_vms.VmSpec]:
    """Returns the workers of a deployment.

    Each pool is spread evenly over the zones and, within a zone, over the
    racks. So the failure of a rack affects few VMs of any pool.

    Args:
        deployment: The deployment.
        address: Returns the address of the VM with an index, starting at 0.
    """
    zones = [zone.name for zone in deployment.availability_zones]
    pools = [
        pool
        for pool, options in deployment.pools.items()
        for _ in range(options.workers)
    ]
    specs = []
    for index, pool in enumerate(pools):
        zone = zones[index % len(zones)]
        zone_size = len(range(index % len(zones), len(pools), len(zones)))
        racks = -(-zone_size // deployment.workers_per_rack)
        number = index // len(zones)
        options = deployment.pools[pool]
        specs.append(
            _vms.VmSpec(
                vm_id=f"{zone}-vm-{number + 1:03d}",
                address=address(index),
                availability_zone=zone,
                rack=f"{zone}-rack-{number % racks + 1}",
                pool_hint=pool,
                cores=options.cores,
                memory_gb=options.memory_gb,
                accelerators=options.accelerators,
                reboot_s=options.reboot_s,
            )
        )
    return specs

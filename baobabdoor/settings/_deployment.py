"""Settings classes of a deployment: zones, pools, presets and quotas."""

import attrs

from baobabdoor.settings import _fields

CAPACITY_POLICIES = ("static", "reactive", "predictive")
SLOT_POLICIES = ("static", "credits", "two-choices")


@attrs.frozen(kw_only=True)
class AvailabilityZone:
    """One availability zone of the region.

    Attributes:
        name: Name of the zone.
        neighbours: Other zones in the order of request failover.
    """

    name: str = _fields.name()
    neighbours: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Pool:
    """A pool of identical workers.

    Attributes:
        workers: Initial number of VMs in the pool.
        cores: Processor cores of a worker.
        memory_gb: Memory of a worker in GB.
        accelerators: Accelerators of a worker. Default: 0.
        slots: Maximum concurrent requests of a worker. Default: 8.
        connections: Maximum connections that a worker accepts. Default: 64.
        reboot_s: Expected duration of a reboot in seconds. Default: 90.
    """

    workers: int = _fields.number(0, unit="VMs")
    cores: float = _fields.number(0.1, unit="cores")
    memory_gb: float = _fields.number(0.1, unit="GB")
    accelerators: int = _fields.number(0, unit="accelerators", default=0)
    slots: int = _fields.number(1, unit="slots", default=8)
    connections: int = _fields.number(1, unit="connections", default=64)
    reboot_s: float = _fields.number(1, unit="seconds", default=90.0)


@attrs.frozen(kw_only=True)
class PoolPromise:
    """Guaranteed and maximum capacity of one pool under a preset.

    Attributes:
        min_workers: Minimum number of VMs in service.
        availability_budget: Maximum number of VMs that are out of service at
            the same time, planned and unplanned outages together.
        max_workers: Maximum number of VMs after moves into the pool.
            Default: 1,000.
    """

    min_workers: int = _fields.number(0, unit="VMs")
    availability_budget: int = _fields.number(0, unit="VMs")
    max_workers: int = _fields.number(1, unit="VMs", default=1000)


@attrs.frozen(kw_only=True)
class MaintenancePolicy:
    """Maintenance of VMs under a preset.

    Attributes:
        enabled: Whether maintenance waves may start.
        period_days: Period within which every VM is maintained once, in days.
            Default: 14.
        max_failed_reboots: Number of consecutive failed reboots that stops the
            roll-out. Default: 2.
    """

    enabled: bool
    period_days: float = _fields.number(0.01, unit="days", default=14.0)
    max_failed_reboots: int = _fields.number(1, unit="reboots", default=2)


@attrs.frozen(kw_only=True)
class Preset:
    """A set of capacity guarantees and policies; exactly one preset is active.

    Attributes:
        pools: Capacity guarantees by pool name.
        maintenance: Maintenance policy.
        capacity_policy: Policy that moves VMs between pools.
            Default: `reactive`.
        slot_policy: Policy that divides slots among entries.
            Default: `credits`.
        buffer_workers: VMs kept as headroom for the loss of a failure domain
            and for forecast error. Default: 2.
    """

    pools: dict[str, PoolPromise] = _fields.mapping_by_name()
    maintenance: MaintenancePolicy
    capacity_policy: str = _fields.one_of(
        *CAPACITY_POLICIES, default="reactive"
    )
    slot_policy: str = _fields.one_of(*SLOT_POLICIES, default="credits")
    buffer_workers: int = _fields.number(0, unit="VMs", default=2)


@attrs.frozen(kw_only=True)
class CallerShare:
    """A caller's share of the slots under contention.

    Attributes:
        weight: Weight in max-min fair sharing. Default: 1.
        urgency_guarantee: Minimum share of the caller's slots for each urgency
            level. Default: 0.05.
    """

    weight: float = _fields.number(0.001, default=1.0)
    urgency_guarantee: float = _fields.number(0, 0.125, default=0.05)


@attrs.frozen(kw_only=True)
class TeamQuota:
    """Maximum resources that the jobs of one team use at the same time.

    Attributes:
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators. Default: 0.
    """

    cores: float = _fields.number(0, unit="cores")
    memory_gb: float = _fields.number(0, unit="GB")
    accelerators: int = _fields.number(0, unit="accelerators", default=0)


@attrs.frozen(kw_only=True)
class Weights:
    """Weights of the objectives when policies are compared.

    Attributes:
        flood: Service level of other work during a request flood.
        buffer_cost: VM-seconds held idle.
        moves: Number of VM moves.
        roll_out: Duration of a roll-out.
    """

    flood: float = _fields.number(0, 1)
    buffer_cost: float = _fields.number(0, 1)
    moves: float = _fields.number(0, 1)
    roll_out: float = _fields.number(0, 1)


@attrs.frozen(kw_only=True)
class Deployment:
    """Operator-defined settings of one deployment.

    Attributes:
        deployment: Name of the deployment.
        region: Name of the region.
        availability_zones: Zones of the region.
        spare_pool: Pool whose VMs move to the others when needed.
        pools: Pools by name.
        presets: Presets by name.
        initial_preset: Preset that is active at the first start.
        weights: Weights of the objectives.
        callers: Shares by caller; unlisted callers get the default share.
        teams: Resource quotas by team.
        workers_per_rack: VMs per rack; a rack is a failure domain. Default: 4.
    """

    deployment: str = _fields.name()
    region: str = _fields.name()
    availability_zones: list[AvailabilityZone]
    spare_pool: str = _fields.name()
    pools: dict[str, Pool] = _fields.mapping_by_name()
    presets: dict[str, Preset] = _fields.mapping_by_name()
    initial_preset: str = _fields.name()
    weights: Weights
    callers: dict[str, CallerShare] = _fields.mapping_by_name(factory=dict)
    teams: dict[str, TeamQuota] = _fields.mapping_by_name(factory=dict)
    workers_per_rack: int = _fields.number(1, unit="VMs", default=4)

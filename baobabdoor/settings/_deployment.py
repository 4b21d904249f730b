"""Settings of a deployment: zones, pools, presets, shares and quotas."""

import attrs

from baobabdoor.settings import _fields

CAPACITY_POLICIES = ("static", "reactive", "predictive")
SLOT_POLICIES = ("static", "credits", "two-choices")


@attrs.frozen(kw_only=True)
class AvailabilityZone:
    """One availability zone of the region.

    Attributes:
        name: Name of the zone.
        neighbours: Other zones in the order in which requests go there.
    """

    name: str = _fields.name()
    neighbours: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Pool:
    """A pool of like workers.

    Attributes:
        workers: Number of VMs that the pool owns at the start.
        cores: Processor cores of a worker.
        memory_gb: Memory of a worker in GB.
        accelerators: Accelerators of a worker. Default: 0.
        slots: Requests a worker serves at once. Default: 8.
        connections: Connections a worker accepts. Default: 64.
        reboot_s: Expected time of a reboot in seconds. Default: 90.
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
    """What a preset promises for one pool.

    Attributes:
        min_workers: VMs the pool keeps in service.
        availability_budget: VMs that may be out of service at once, for
            planned and unplanned reasons together.
        max_workers: VMs the pool may hold after moves. Default: 1,000.
    """

    min_workers: int = _fields.number(0, unit="VMs")
    availability_budget: int = _fields.number(0, unit="VMs")
    max_workers: int = _fields.number(1, unit="VMs", default=1000)


@attrs.frozen(kw_only=True)
class MaintenancePolicy:
    """How maintenance goes on under a preset.

    Attributes:
        enabled: Whether waves may start.
        period_days: Every VM is maintained once in this time. Default: 14.
        max_failed_reboots: Failed reboots in a row that stop the roll-out.
            Default: 2.
    """

    enabled: bool
    period_days: float = _fields.number(0.01, unit="days", default=14.0)
    max_failed_reboots: int = _fields.number(1, unit="reboots", default=2)


@attrs.frozen(kw_only=True)
class Preset:
    """A set of promises and policies; exactly one preset is in force.

    Attributes:
        pools: Promise for each pool.
        maintenance: Whether and how VMs are maintained.
        capacity_policy: How VMs move between pools. Default: `reactive`.
        slot_policy: How entries share slots. Default: `credits`.
        buffer_workers: VMs held for the loss of a failure domain and forecast
            error. Default: 2.
    """

    pools: dict[str, PoolPromise] = _fields.named()
    maintenance: MaintenancePolicy
    capacity_policy: str = _fields.one_of(
        *CAPACITY_POLICIES, default="reactive"
    )
    slot_policy: str = _fields.one_of(*SLOT_POLICIES, default="credits")
    buffer_workers: int = _fields.number(0, unit="VMs", default=2)


@attrs.frozen(kw_only=True)
class CallerShare:
    """A caller's part of the slots under contention.

    Attributes:
        weight: Weight in the max-min share. Default: 1.
        urgency_guarantee: Share of the caller's slots that each urgency level
            keeps against the others. Default: 0.05.
    """

    weight: float = _fields.number(0.001, default=1.0)
    urgency_guarantee: float = _fields.number(0, 0.125, default=0.05)


@attrs.frozen(kw_only=True)
class TeamQuota:
    """What the jobs of one team may hold at once.

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
    """How much each measure counts in the choice of a policy.

    Attributes:
        flood: Service that other work keeps during a flood.
        buffer_cost: VM-seconds held beyond use.
        moves: VM moves.
        roll_out: Roll-out time.
    """

    flood: float = _fields.number(0, 1)
    buffer_cost: float = _fields.number(0, 1)
    moves: float = _fields.number(0, 1)
    roll_out: float = _fields.number(0, 1)


@attrs.frozen(kw_only=True)
class Deployment:
    """Everything that operators decide about one deployment.

    Attributes:
        deployment: Name of the deployment.
        region: Name of the region.
        availability_zones: The region's zones.
        spare_pool: Pool that lends VMs to the others.
        pools: The pools by name.
        presets: The presets by name.
        initial_preset: Preset in force when the deployment first starts.
        weights: Weights of the measures.
        callers: Shares of known callers; others get the default share.
        teams: Quotas of the teams that submit jobs.
        workers_per_rack: VMs that fail together. Default: 4.
    """

    deployment: str = _fields.name()
    region: str = _fields.name()
    availability_zones: list[AvailabilityZone]
    spare_pool: str = _fields.name()
    pools: dict[str, Pool] = _fields.named()
    presets: dict[str, Preset] = _fields.named()
    initial_preset: str = _fields.name()
    weights: Weights
    callers: dict[str, CallerShare] = _fields.named(factory=dict)
    teams: dict[str, TeamQuota] = _fields.named(factory=dict)
    workers_per_rack: int = _fields.number(1, unit="VMs", default=4)

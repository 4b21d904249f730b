"""What the status pages show."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import ownership
from baobabdoor import settings


@attrs.frozen
class PeerStatus:
    """One other entry as this one sees it.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Its zone.
        control: URL of its control port.
        state: `alive`, `suspect`, `unreachable`, or `unknown` if never heard.
        last_seen_s: Seconds since it was last heard; None if never.
        incarnation: Start of its process.
        generation: Configuration that it has in force.
        views: View version of each zone that it has confirmed.
        is_registered: Whether it has its row in the table.
    """

    entry_id: str
    availability_zone: str
    control: str
    state: str
    last_seen_s: float | None
    incarnation: int
    generation: int
    views: dict[str, int]
    is_registered: bool


@attrs.frozen
class ControlStatus:
    """The control lease as this entry sees it.

    Attributes:
        holder: Entry that holds it; empty if not known.
        incarnation: Start of the holder's process.
        epoch: Version of the control row.
        acting: Whether this entry acts as the controller now.
        refusals: Why planned operations were not started in the last round.
    """

    holder: str
    incarnation: int
    epoch: int
    acting: bool
    refusals: dict[str, str]


@attrs.frozen
class PoolStatus:
    """Capacity of one pool.

    Attributes:
        pool: Name of the pool.
        in_service: VMs in service.
        promised: VMs that the preset promises.
        unavailable: VMs out of service for any reason.
        budget: VMs that may be out of service.
        reason: Why it is short or has VMs out; empty if it has none.
    """

    pool: str
    in_service: int
    promised: int
    unavailable: int
    budget: int
    reason: str


@attrs.frozen
class VmStatus:
    """One VM.

    Attributes:
        vm_id: Identifier of the VM.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        address: Address of its server.
        pool: Pool that it belongs to.
        phase: Phase of the VM.
        target_pool: Pool that it moves to; empty if none.
        intent: Planned operation; empty if none.
        boot_id: Boot of the VM.
        last_maintained_ms: Wall time of the last maintenance reboot.
        refusal: Why this entry must not send to it now; empty if it may.
    """

    vm_id: str
    availability_zone: str
    rack: str
    address: str
    pool: str
    phase: str
    target_pool: str
    intent: str
    boot_id: str
    last_maintained_ms: int
    refusal: str


@attrs.frozen
class EntryStatus:
    """One entry's own report.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Its zone.
        incarnation: Start of its process.
        state: `ready`, or why it is not.
        registered: Whether it has its row in the table.
        generation: Configuration in force.
        preset: Preset in force.
        views: Confirmed view version of each zone.
        control: The control lease.
        peers: The other entries.
        pools: The pools.
    """

    entry_id: str
    availability_zone: str
    incarnation: int
    state: str
    registered: bool
    generation: int
    preset: str
    views: dict[str, int]
    control: ControlStatus
    peers: list[PeerStatus]
    pools: list[PoolStatus]


def pool_statuses(
    vms: Sequence[ownership.VmState],
    deployment: settings.Deployment | None,
    preset_name: str,
) -> list[PoolStatus]:
    """Returns the status of every pool of a deployment."""
    if deployment is None or preset_name not in deployment.presets:
        return []
    snapshot = ownership.FleetSnapshot({vm.vm_id: vm for vm in vms})
    promises = deployment.presets[preset_name].pools
    statuses = []
    for pool in sorted(deployment.pools):
        promise = promises.get(pool)
        promised = promise.min_workers if promise is not None else 0
        in_service = snapshot.in_service(pool)
        statuses.append(
            PoolStatus(
                pool=pool,
                in_service=in_service,
                promised=promised,
                unavailable=snapshot.unavailable(pool),
                budget=promise.availability_budget if promise else 0,
                reason=_reason(snapshot.of_pool(pool), in_service < promised),
            )
        )
    return statuses


def _reason(members: Sequence[ownership.VmState], is_short: bool) -> str:
    counts: dict[str, int] = {}
    for vm in members:
        if not vm.in_service:
            cause = _cause(vm)
            counts[cause] = counts.get(cause, 0) + 1
    parts = [f"{count} {cause}" for cause, count in sorted(counts.items())]
    if is_short:
        parts.append(f"{len(members)} VMs in the pool")
    return ", ".join(parts)


def _cause(vm: ownership.VmState) -> str:
    if not vm.reachable:
        return "terminated"
    if vm.phase is ownership.Phase.SERVING:
        return "announced as leaving"
    if vm.target_pool not in ("", vm.pool):
        return f"{vm.phase.value} to {vm.target_pool}"
    if vm.target_pool == vm.pool:
        return f"{vm.phase.value} for maintenance"
    return vm.phase.value


def to_json(status: EntryStatus) -> Mapping:
    """Returns the form sent to operators."""
    return attrs.asdict(status)

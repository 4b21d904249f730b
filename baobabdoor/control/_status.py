"""Status reports for operators."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import ownership
from baobabdoor import settings


@attrs.frozen
class PeerStatus:
    """Status of another entry as seen by this one.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Zone of the entry.
        control: URL of its control port.
        state: `alive`, `suspect`, `unreachable`, or `unknown` if no message was
            ever received from it.
        last_seen_s: Seconds since its last message; None if there was none.
        incarnation: Incarnation of its process.
        generation: Generation of its active configuration.
        views: Confirmed view version of each zone.
        is_registered: Whether its row is in the store.
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
    """Status of the control lease as seen by this entry.

    Attributes:
        holder: Entry that holds the lease; empty if unknown.
        incarnation: Incarnation of the holder's process.
        epoch: Version of the control row.
        acting: Whether this entry is the active controller.
        refusals: Reasons why planned operations were not started in the last
            round, by VM.
    """

    holder: str
    incarnation: int
    epoch: int
    acting: bool
    refusals: dict[str, str]


@attrs.frozen
class PoolStatus:
    """Status of one pool.

    Attributes:
        pool: Name of the pool.
        in_service: VMs in service.
        promised: VMs in service that the preset promises.
        unavailable: VMs out of service for any reason.
        budget: VMs that may be out of service.
        reason: Why VMs are missing or out of service; empty if none are.
    """

    pool: str
    in_service: int
    promised: int
    unavailable: int
    budget: int
    reason: str


@attrs.frozen
class VmStatus:
    """Status of one VM.

    Attributes:
        vm_id: Identifier of the VM.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        address: Address of its backend server.
        pool: Pool of the VM.
        phase: Phase of the VM.
        target_pool: Pool that the VM moves to; empty if none.
        intent: Planned operation; empty if none.
        boot_id: Identifier of the current boot.
        last_maintained_ms: Wall time of the last maintenance reboot.
        refusal: Why this entry must not send requests to the VM now; empty if
            it may.
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
    """Status of this entry.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Zone of the entry.
        incarnation: Incarnation of its process.
        state: `ready`, or the reason why it is not ready.
        registered: Whether its row is in the store.
        generation: Generation of the active configuration.
        preset: Name of the active preset.
        views: Confirmed view version of each zone.
        control: Status of the control lease.
        peers: Status of the other entries.
        pools: Status of the pools.
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


def _reason(
    members: Sequence[ownership.VmState], is_below_minimum: bool
) -> str:
    counts: dict[str, int] = {}
    for vm in members:
        if not vm.in_service:
            cause = _cause(vm)
            counts[cause] = counts.get(cause, 0) + 1
    parts = [f"{count} {cause}" for cause, count in sorted(counts.items())]
    if is_below_minimum:
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
    """Returns the JSON form for operators."""
    return attrs.asdict(status)

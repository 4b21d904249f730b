"""Fleet state that capacity and maintenance policies plan on."""

import enum

import attrs


class Phase(enum.Enum):
    """Phase of a VM; only a serving VM receives requests of its pool."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    JOINING = "joining"
    REBOOTING = "rebooting"
    FAILED = "failed"


@attrs.frozen
class VmState:
    """State of a VM from its row and the platform's VM list.

    Attributes:
        vm_id: Identifier of the VM.
        availability_zone: Zone of the VM.
        rack: Rack of the VM; rack names are unique in the deployment.
        address: IP address and port of the backend server, as `host:port`.
        pool: Pool that the VM belongs to.
        phase: Phase of the VM.
        boot_id: Boot to which the row applies.
        version: Version of the row.
        target_pool: Pool that the VM moves to; equal to `pool` for
            maintenance; empty while serving.
        intent: Identifier of the planned operation; empty if none.
        last_maintained_ms: Wall time of the last maintenance reboot.
        phase_since_ms: Wall time at which the phase began.
        reachable: False if the VM list or health checks report it down.
        leaving: True if the VM list shows the VM as leaving.
    """

    vm_id: str
    availability_zone: str
    rack: str
    address: str
    pool: str
    phase: Phase
    boot_id: str
    version: int = 0
    target_pool: str = ""
    intent: str = ""
    last_maintained_ms: int = 0
    phase_since_ms: int = 0
    reachable: bool = True
    leaving: bool = False

    @property
    def in_service(self) -> bool:
        """Whether the VM counts towards the capacity of its pool."""
        return (
            self.phase is Phase.SERVING and self.reachable and not self.leaving
        )


@attrs.frozen
class FleetSnapshot:
    """State of all VMs of a region at one point in time.

    Attributes:
        vms: The VMs by identifier.
    """

    vms: dict[str, VmState]

    def of_pool(self, pool: str) -> list[VmState]:
        """Returns the VMs of a pool, sorted by identifier."""
        members = [vm for vm in self.vms.values() if vm.pool == pool]
        return sorted(members, key=lambda vm: vm.vm_id)

    def in_service(self, pool: str) -> int:
        """Returns how many VMs of a pool are in service."""
        return sum(vm.in_service for vm in self.of_pool(pool))

    def unavailable(self, pool: str) -> int:
        """Returns how many VMs of a pool are out of service, for any reason."""
        members = self.of_pool(pool)
        return len(members) - sum(vm.in_service for vm in members)

"""The interface of maintenance policies."""

import abc

import attrs

from baobabdoor import ownership
from baobabdoor import settings


@attrs.frozen
class StartMaintenance:
    """A planned maintenance reboot of one VM.

    Attributes:
        vm_id: Identifier of the VM to drain and reboot.
        pool: Pool of the VM.
        roll_out: Identifier of the roll-out.
    """

    vm_id: str
    pool: str
    roll_out: str


class MaintenancePolicy(abc.ABC):
    """Selects the VMs to maintain next."""

    @abc.abstractmethod
    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        deployment: settings.Deployment,
        preset: settings.Preset,
        wall_ms: int,
    ) -> list[StartMaintenance]:
        """Returns the VMs to take out of service now.

        State that must survive a change of the controller is read from the
        snapshot.

        Args:
            snapshot: All VMs with their phases and last maintenance times.
            deployment: Settings in force.
            preset: Preset in force.
            wall_ms: Wall-clock time in milliseconds.
        """

"""Plans maintenance reboots under each pool's availability budget."""

from baobabdoor.maintenance._interface import MaintenancePolicy
from baobabdoor.maintenance._interface import StartMaintenance

__all__ = ["MaintenancePolicy", "StartMaintenance"]

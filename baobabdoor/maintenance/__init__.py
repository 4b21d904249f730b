"""Plans maintenance reboots within the availability budget of each pool."""

from baobabdoor.maintenance._availability import allowed_disruptions
from baobabdoor.maintenance._availability import members_by_pool
from baobabdoor.maintenance._interface import MaintenancePolicy
from baobabdoor.maintenance._interface import StartMaintenance
from baobabdoor.maintenance._roll_out import RollOut
from baobabdoor.maintenance._waves import OneAtATimePlanner
from baobabdoor.maintenance._waves import WavePlanner
from baobabdoor.maintenance._waves import is_stopped

__all__ = [
    "MaintenancePolicy",
    "OneAtATimePlanner",
    "RollOut",
    "StartMaintenance",
    "WavePlanner",
    "allowed_disruptions",
    "is_stopped",
    "members_by_pool",
]

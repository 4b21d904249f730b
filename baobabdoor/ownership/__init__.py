"""Which pool a VM belongs to, and the moves between pools."""

from baobabdoor.ownership._fleet import FleetSnapshot
from baobabdoor.ownership._fleet import Phase
from baobabdoor.ownership._fleet import VmState

__all__ = ["FleetSnapshot", "Phase", "VmState"]

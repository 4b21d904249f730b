"""How the entries share the slots of each worker."""

from baobabdoor.slots._interface import SlotPolicy
from baobabdoor.slots._interface import WorkerSlots

__all__ = ["SlotPolicy", "WorkerSlots"]

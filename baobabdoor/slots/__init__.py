"""Policies by which the entries share the slots of each worker."""

from baobabdoor.slots._base import BaseSlotPolicy
from baobabdoor.slots._credits import Credits
from baobabdoor.slots._interface import SlotPolicy
from baobabdoor.slots._interface import WorkerSlots
from baobabdoor.slots._policies import POLICIES
from baobabdoor.slots._policies import make_policy
from baobabdoor.slots._static import StaticSplit
from baobabdoor.slots._two_choices import TwoChoices

__all__ = [
    "BaseSlotPolicy",
    "Credits",
    "POLICIES",
    "SlotPolicy",
    "StaticSplit",
    "TwoChoices",
    "WorkerSlots",
    "make_policy",
]

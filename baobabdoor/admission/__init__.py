"""Admission control: queues, dispatches or refuses requests under load."""

from baobabdoor.admission._fair_share import FairShareQueue
from baobabdoor.admission._fair_share import PoolSnapshot
from baobabdoor.admission._fifo import FifoQueue
from baobabdoor.admission._interface import URGENCY_LEVELS
from baobabdoor.admission._interface import AdmissionPolicy
from baobabdoor.admission._interface import WorkItem

__all__ = [
    "AdmissionPolicy",
    "FairShareQueue",
    "FifoQueue",
    "PoolSnapshot",
    "URGENCY_LEVELS",
    "WorkItem",
]

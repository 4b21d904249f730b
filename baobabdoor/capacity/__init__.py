"""Capacity policies, which size pools by moving VMs between them."""

from baobabdoor.capacity._factory import make_policy
from baobabdoor.capacity._interface import CapacityPolicy
from baobabdoor.capacity._interface import Move
from baobabdoor.capacity._interface import PoolDemand
from baobabdoor.capacity._predictive import PredictivePolicy
from baobabdoor.capacity._reactive import ReactivePolicy
from baobabdoor.capacity._static import StaticPolicy

__all__ = [
    "CapacityPolicy",
    "Move",
    "PoolDemand",
    "PredictivePolicy",
    "ReactivePolicy",
    "StaticPolicy",
    "make_policy",
]

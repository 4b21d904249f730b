"""Policies that size pools and move VMs between them."""

from baobabdoor.capacity._interface import CapacityPolicy
from baobabdoor.capacity._interface import Move
from baobabdoor.capacity._interface import PoolDemand

__all__ = ["CapacityPolicy", "Move", "PoolDemand"]

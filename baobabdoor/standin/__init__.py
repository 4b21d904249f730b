"""Simulated platform and backend servers with fault injection, for tests."""

from baobabdoor.standin._core import PlatformCore
from baobabdoor.standin._faults import PlatformFaults
from baobabdoor.standin._layout import lay_out
from baobabdoor.standin._main import main
from baobabdoor.standin._memory import MemoryPlatform
from baobabdoor.standin._objects import ObjectStore
from baobabdoor.standin._simulation import advance
from baobabdoor.standin._simulation import run_until_idle
from baobabdoor.standin._table import Table
from baobabdoor.standin._tasks import TaskNeeds
from baobabdoor.standin._tasks import TaskService
from baobabdoor.standin._vms import VmService
from baobabdoor.standin._vms import VmSpec

__all__ = [
    "MemoryPlatform",
    "ObjectStore",
    "PlatformCore",
    "PlatformFaults",
    "Table",
    "TaskNeeds",
    "TaskService",
    "VmService",
    "VmSpec",
    "advance",
    "lay_out",
    "main",
    "run_until_idle",
]

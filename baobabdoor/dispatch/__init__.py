"""The daemon on the users' platform: callers, tenure and control."""

from baobabdoor.dispatch._commits import JOBS_TABLE
from baobabdoor.dispatch._commits import ROSTER_TABLE
from baobabdoor.dispatch._commits import WAVES_TABLE
from baobabdoor.dispatch._daemon import Daemon
from baobabdoor.dispatch._daemon import main
from baobabdoor.dispatch._tenure import HOLDER_KEY
from baobabdoor.dispatch._tenure import PART
from baobabdoor.dispatch._tenure import TABLE as TENURE_TABLE

__all__ = [
    "Daemon",
    "HOLDER_KEY",
    "JOBS_TABLE",
    "PART",
    "ROSTER_TABLE",
    "TENURE_TABLE",
    "WAVES_TABLE",
    "main",
]

"""The daemon on the users' platform: callers, tenure and control."""

from baobabdoor.dispatch._commits import JOBS_TABLE
from baobabdoor.dispatch._commits import ROSTER_TABLE
from baobabdoor.dispatch._commits import WAVES_TABLE
from baobabdoor.dispatch._daemon import Daemon
from baobabdoor.dispatch._daemon import main
from baobabdoor.dispatch._tenure import EXTEND_LIMIT_S
from baobabdoor.dispatch._tenure import HOLDER_KEY
from baobabdoor.dispatch._tenure import LAPSE_MS
from baobabdoor.dispatch._tenure import PART
from baobabdoor.dispatch._tenure import START_LIMIT_S
from baobabdoor.dispatch._tenure import TABLE as TENURE_TABLE
from baobabdoor.dispatch._tenure import inherited_bound_s

__all__ = [
    "Daemon",
    "EXTEND_LIMIT_S",
    "HOLDER_KEY",
    "JOBS_TABLE",
    "LAPSE_MS",
    "PART",
    "ROSTER_TABLE",
    "START_LIMIT_S",
    "TENURE_TABLE",
    "WAVES_TABLE",
    "inherited_bound_s",
    "main",
]

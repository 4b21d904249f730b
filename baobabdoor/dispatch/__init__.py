"""Daemon of an entry VM: accepts jobs and schedules them while it leads."""

from baobabdoor.dispatch._commits import JOBS_TABLE
from baobabdoor.dispatch._commits import ROSTER_TABLE
from baobabdoor.dispatch._commits import WAVES_TABLE
from baobabdoor.dispatch._daemon import Daemon
from baobabdoor.dispatch._daemon import main
from baobabdoor.dispatch._election import ELECTION_TIMEOUT_MS
from baobabdoor.dispatch._election import EXTEND_WINDOW_S
from baobabdoor.dispatch._election import LEADER_KEY
from baobabdoor.dispatch._election import PART
from baobabdoor.dispatch._election import START_WINDOW_S
from baobabdoor.dispatch._election import TABLE as LEADER_TABLE
from baobabdoor.dispatch._election import inherited_bound_s

__all__ = [
    "Daemon",
    "ELECTION_TIMEOUT_MS",
    "EXTEND_WINDOW_S",
    "JOBS_TABLE",
    "LEADER_KEY",
    "LEADER_TABLE",
    "PART",
    "ROSTER_TABLE",
    "START_WINDOW_S",
    "WAVES_TABLE",
    "inherited_bound_s",
    "main",
]

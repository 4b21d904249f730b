"""The daemon on the users' platform: callers, tenure and control."""

from baobabdoor.dispatch._daemon import Daemon
from baobabdoor.dispatch._daemon import main

__all__ = ["Daemon", "main"]

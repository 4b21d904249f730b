"""The entry daemon, a proxy between callers and backend servers."""

from baobabdoor.entry._main import main

__all__ = ["main"]

"""The entry daemon: caller server, forwarder, control port and drain."""

from baobabdoor.entry._main import main

__all__ = ["main"]

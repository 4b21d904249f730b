"""`baobabdoor`, the operators' command line."""

from baobabdoor.cli._main import main

__all__ = ["main"]

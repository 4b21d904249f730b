"""`baobabdoor`, the operators' command-line interface."""

from baobabdoor.cli._main import main

__all__ = ["main"]

"""Runs the daemon."""

from baobabdoor import dispatch

dispatch.main()

"""Entry point of `python -m baobabdoor.dispatch`."""

from baobabdoor import dispatch

dispatch.main()

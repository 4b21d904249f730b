"""Which backend server a request goes to."""

from baobabdoor.routing._health import Health
from baobabdoor.routing._router import FOREIGN_SLOTS
from baobabdoor.routing._router import Router

__all__ = ["FOREIGN_SLOTS", "Health", "Router"]

"""Load balancing of requests over backend servers."""

from baobabdoor.routing._health import Health
from baobabdoor.routing._router import CROSS_ZONE_SLOTS
from baobabdoor.routing._router import Router

__all__ = ["CROSS_ZONE_SLOTS", "Health", "Router"]

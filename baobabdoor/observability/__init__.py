"""Logs, metrics and the loop's timer service of a daemon."""

from baobabdoor.observability._logs import configure_logs
from baobabdoor.observability._logs import get_logger
from baobabdoor.observability._loop_timers import LoopTimerService
from baobabdoor.observability._metrics import Metrics
from baobabdoor.observability._metrics import MetricsHandler

__all__ = [
    "LoopTimerService",
    "Metrics",
    "MetricsHandler",
    "configure_logs",
    "get_logger",
]

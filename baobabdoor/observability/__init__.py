"""Logs, metrics and timers of a daemon."""

from baobabdoor.observability._bounded_writer import BoundedWriter
from baobabdoor.observability._limited_logger import LimitedLogger
from baobabdoor.observability._logs import configure_logs
from baobabdoor.observability._logs import get_logger
from baobabdoor.observability._loop_timers import LoopTimerService
from baobabdoor.observability._metrics import Metrics
from baobabdoor.observability._metrics import MetricsHandler
from baobabdoor.observability._metrics import render_text

__all__ = [
    "BoundedWriter",
    "LimitedLogger",
    "LoopTimerService",
    "Metrics",
    "MetricsHandler",
    "configure_logs",
    "get_logger",
    "render_text",
]

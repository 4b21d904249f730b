"""Log set-up: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any
from typing import TextIO

import structlog


def configure_logs(
    process: str, level: str = "info", output: TextIO | None = None
) -> None:
    """Sends one key=value line an event to standard error.

    Args:
        process: Identifier of the process, added to every line.
        level: Lowest level written. Default: `info`.
        output: Stream that the lines go to. Default: standard error.
    """
    order = ["timestamp", "level", "event", "process"]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=order),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)


def get_logger(component: str) -> Any:
    """Returns a logger whose lines carry the component's name."""
    return structlog.get_logger(component=component)

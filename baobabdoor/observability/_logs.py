"""Structured logs in logfmt: one line of key=value pairs per event."""

import logging
import sys
from typing import Any
from typing import TextIO

import structlog


def configure_logs(
    process: str, level: str = "info", output: TextIO | None = None
) -> None:
    """Configures the logs of the process.

    Args:
        process: Identifier of the process, written in every line.
        level: Minimum level that is written. Default: `info`.
        output: Stream to write to. Default: standard error.
    """
    key_order = ["timestamp", "level", "event", "process"]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=key_order),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)


def get_logger(component: str) -> Any:
    """Returns a logger that writes the component's name in every line."""
    return structlog.get_logger(component=component)

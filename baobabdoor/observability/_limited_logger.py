"""Log of faults that may repeat many times a second."""

from collections.abc import Callable
import math
import time
from typing import Any

# Time for which the same fault of the same subject is not logged again.
INTERVAL_S = 10.0
# Maximum number of lines in that time, so that faults of many subjects do not
# displace the lines of decisions.
MAX_LINES = 50


class LimitedLogger:
    """Writes warnings of which each subject gets one in an interval.

    Args:
        logger: Logger that writes the lines.
        interval_s: Length of the interval in seconds. Default: 10.
        max_lines: Maximum number of lines in an interval. Default: 50.
        clock: Returns the time in seconds. Default: `time.monotonic`.
    """

    def __init__(
        self,
        logger: Any,
        interval_s: float = INTERVAL_S,
        max_lines: int = MAX_LINES,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.logger = logger
        self.interval_s = interval_s
        self.max_lines = max_lines
        self.clock = clock
        self.logged_: set[tuple[str, str]] = set()
        self.started_s_ = -math.inf
        self.suppressed_ = 0

    def warning(self, event: str, subject: str, **fields: object) -> None:
        """Writes a line, unless the subject had one or there were too many.

        Args:
            event: Name of the event.
            subject: What the fault is about, such as the key of a row.
            **fields: Fields of the line. It also gets `suppressed`, the
                number of lines that were not written since the previous one.
        """
        now_s = self.clock()
        if now_s - self.started_s_ >= self.interval_s:
            self.started_s_ = now_s
            self.logged_.clear()
        key = (event, subject)
        if key in self.logged_ or len(self.logged_) >= self.max_lines:
            self.suppressed_ += 1
            return
        self.logged_.add(key)
        suppressed, self.suppressed_ = self.suppressed_, 0
        self.logger.warning(event, suppressed=suppressed, **fields)

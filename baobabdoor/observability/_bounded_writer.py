"""Non-blocking log output with a bounded buffer and rate."""

import os
import time

# Maximum size of the buffer for a slow reader; further lines are dropped.
BUFFER_BYTES = 262_144
# Maximum number of lines per second; cuts off bursts of scheduling decisions.
LINES_PER_S = 600


class BoundedWriter:
    """Writes log lines to a file descriptor.

    Lines beyond the limits are dropped and counted. A line with the count
    follows in a later second, once the buffer has room for it.

    Args:
        descriptor: File descriptor; it is made non-blocking.
        buffer_bytes: Maximum size of the buffer. Default: 262,144.
        lines_per_s: Maximum number of lines per second. Default: 600.
    """

    def __init__(
        self,
        descriptor: int,
        buffer_bytes: int = BUFFER_BYTES,
        lines_per_s: int = LINES_PER_S,
    ):
        self.descriptor = descriptor
        self.buffer_bytes = buffer_bytes
        self.lines_per_s = lines_per_s
        self.buffer = bytearray()
        self.dropped = 0
        self.dropped_total = 0
        self.current_second = 0
        self.lines_in_second = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers a line, or drops and counts it."""
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second, self.lines_in_second = second, 0
            self._report_dropped()
        data = text.encode("utf-8", "replace")
        buffer_full = len(self.buffer) + len(data) > self.buffer_bytes
        if buffer_full or self.lines_in_second >= self.lines_per_s:
            self.dropped += 1
            self.dropped_total += 1
        else:
            self.lines_in_second += 1
            self.buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the daemon continues without
                # logs.
                self.buffer.clear()
                return
            del self.buffer[:written]

    def _report_dropped(self) -> None:
        if not self.dropped:
            return
        line = f"level=warning event=log_lines_left_out count={self.dropped}\n"
        if len(self.buffer) + len(line) <= self.buffer_bytes:
            self.buffer += line.encode()
            self.dropped = 0

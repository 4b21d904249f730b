"""Log output that never blocks and whose volume is bounded."""

import os
import time

# Bytes that wait for a slow reader before lines are left out.
BUFFER_BYTES = 262_144
# Lines written in one second; a peak of decisions is cut here.
LINES_PER_S = 600


class BoundedWriter:
    """A text stream over a file descriptor for the log.

    Lines beyond the limits are left out and counted; the count is written as
    a line of its own as soon as there is room.

    Args:
        descriptor: File descriptor; it is made non-blocking.
        buffer_bytes: Bytes that may wait.
        lines_per_s: Lines that may be written in a second.
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
        self.waiting = bytearray()
        self.left_out = 0
        self.left_out_total = 0
        self.second = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes a line, or counts it as left out."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
            self._report()
        data = text.encode("utf-8", "replace")
        full = len(self.waiting) + len(data) > self.buffer_bytes
        if full or self.lines >= self.lines_per_s:
            self.left_out += 1
            self.left_out_total += 1
        else:
            self.lines += 1
            self.waiting += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes at once."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the service goes on without a log.
                self.waiting.clear()
                return
            del self.waiting[:written]

    def _report(self) -> None:
        if not self.left_out:
            return
        line = f"level=warning event=log_lines_left_out count={self.left_out}\n"
        if len(self.waiting) + len(line) <= self.buffer_bytes:
            self.waiting += line.encode()
            self.left_out = 0

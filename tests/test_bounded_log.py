"""Tests of the non-blocking log output."""

import os

from baobabdoor import observability


class TestBoundedWriter:

    def pipe(self, **limits):
        reader, output = os.pipe()
        os.set_blocking(reader, False)
        return reader, observability.BoundedWriter(output, **limits)

    def read(self, reader):
        content = b""
        while True:
            try:
                chunk = os.read(reader, 65_536)
            except BlockingIOError:
                return content.decode()
            content += chunk

    def test_lines_are_written_immediately(self):
        reader, writer = self.pipe()
        writer.write("event=a\n")
        assert self.read(reader) == "event=a\n"

    def test_a_stalled_reader_does_not_block_the_writer(self):
        _, writer = self.pipe(buffer_bytes=10_000, lines_per_s=10**6)
        for _ in range(20_000):
            writer.write("event=decision " + "x" * 80 + "\n")
        assert writer.dropped_total > 10_000
        assert len(writer.buffer) <= 10_000

    def test_dropped_lines_are_counted_in_the_log(self):
        reader, writer = self.pipe(lines_per_s=2)
        for _ in range(5):
            writer.write("event=decision\n")
        writer.current_second -= 1
        writer.write("event=later\n")
        text = self.read(reader)
        assert "event=log_lines_left_out count=" in text
        assert "event=later" in text

    def test_a_closed_reader_raises_no_error(self):
        reader, writer = self.pipe()
        os.close(reader)
        writer.write("event=a\n")
        writer.write("event=b\n")

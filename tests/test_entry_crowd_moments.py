"""Tests of an entry under crowds while it starts or stops, and of its log."""

import asyncio
import contextlib
import os
import signal

import entry_crowd
import pytest
from test_entry_memory_crowds import BODY
from test_entry_memory_crowds import check
from test_entry_memory_crowds import one_at_a_time
from test_entry_memory_crowds import play

__all__ = ["one_at_a_time"]

CROWD = 150
DRAIN_S = 5
# Time for the entry to leave the deployment after its drain.
LEAVE_S = 20
PIPE_BYTES = 4096


async def keep_reconnecting(system):
    """Sends bodies short of their end on ever new connections."""
    while True:
        try:
            await system.send_bodies(CROWD, BODY[:-1], len(BODY))
        except OSError:
            # The process does not listen yet.
            await asyncio.sleep(0.05)
        system.dismiss()
        system.sockets.clear()


class TestStart:

    @pytest.mark.parametrize("port", ["caller", "control"])
    def test_crowd_that_comes_while_the_process_starts(self, tmp_path, port):
        async def crowd(system):
            flood = asyncio.ensure_future(keep_reconnecting(system))
            system.end()
            system.start()
            await asyncio.sleep(4.0)
            flood.cancel()

        check(play(tmp_path, crowd, port=port))


class TestStop:

    @pytest.mark.parametrize("port", ["caller", "control"])
    def test_unfinished_bodies_do_not_keep_the_process(self, tmp_path, port):
        exit_codes = []

        async def crowd(system):
            await system.send_bodies(CROWD, BODY[:-1], len(BODY))
            system.process.send_signal(signal.SIGTERM)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + DRAIN_S + LEAVE_S
            while system.process.poll() is None and loop.time() < end_s:
                await asyncio.sleep(0.05)
            exit_codes.append(system.process.poll())
            system.end()
            system.start()

        check(play(tmp_path, crowd, port=port, drain_s=DRAIN_S))
        assert exit_codes == [0]


class TestReconnects:

    def test_ordinary_requests_beside_large_bodies(self, tmp_path):
        """Small requests are not dropped in favour of large ones."""
        statuses = []

        async def crowd(system):
            flood = asyncio.ensure_future(keep_reconnecting(system))
            headers = {
                "Baobabdoor-Pool": entry_crowd.POOL,
                "Baobabdoor-Caller": "sailors",
            }
            for _ in range(8):
                status = await system.fetch(
                    "caller", "/x", method="POST", body="{}", headers=headers
                )
                statuses.append(status)
            flood.cancel()

        check(play(tmp_path, crowd))
        # A busy machine may be too slow for some; none is refused or cut.
        assert set(statuses) <= {200, 504, 599}


class TestLog:

    def test_a_reader_that_stops_does_not_stop_the_process(self, tmp_path):
        """Each answer waited for the reader of the log."""
        reader, writer = os.pipe()

        async def crowd(system):
            system.end()
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while os.write(writer, b"x" * PIPE_BYTES):
                    pass
            os.set_blocking(writer, True)
            system.log = writer
            system.start()
            await asyncio.sleep(3.0)
            await system.send_bodies(CROWD, BODY[:-1], len(BODY))

        try:
            check(play(tmp_path, crowd))
        finally:
            os.close(reader)
            os.close(writer)

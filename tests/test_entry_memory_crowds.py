"""Tests of an entry process under crowds of connections that hold memory.

Clients that nobody controls made a process run out of memory. The bound is the
memory that a daemon may use according to `docs/CAPACITY.md`.
"""

import asyncio
import contextlib
import fcntl

import entry_crowd
import pytest
from test_memory_crowds import LOCK

MEMORY_MB = 64
DESCRIPTORS = 400
# Bodies of this many connections exceed the memory of the process.
CALLERS = 300
BODY = b"x" * entry_crowd.MAX_BODY_BYTES
# Connections to the control port, on which bodies of up to 100 MB were read.
CONTROL_CLIENTS = 60
CONTROL_BODY = b"x" * 1_000_000
# Bytes that are announced but not sent.
MISSING_BYTES = 9_000_000
# Connections whose cost is not that of the bytes of their chunks.
TINY_CHUNK_CLIENTS = 1500
# Time after which a connection counts as not accepted.
CONNECT_TIMEOUT_S = 3.0


@pytest.fixture(autouse=True)
def one_at_a_time():
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def play(folder, crowd, **options):
    async def scenario():
        return await entry_crowd.CrowdEntry(folder, **options).play(crowd)

    return asyncio.run(scenario())


def check(observed):
    assert observed.lives
    assert observed.peak_mb <= MEMORY_MB
    assert observed.statuses == {"caller": 200, "operator": 200, "peer": 200}


async def open_idle(system):
    """Opens more connections than the process may have descriptors."""
    with contextlib.suppress(TimeoutError):
        await system.open(2 * DESCRIPTORS, CONNECT_TIMEOUT_S)


class TestCallerPort:

    def test_whole_bodies_while_backend_servers_do_not_answer(self, tmp_path):
        async def crowd(system):
            system.answers.clear()
            await system.send_bodies(CALLERS, BODY)
            await asyncio.sleep(1.0)
            system.answers.set()

        check(play(tmp_path, crowd))

    def test_bodies_sent_piece_by_piece(self, tmp_path):
        async def crowd(system):
            await system.send_pieces(CALLERS, BODY[:-1], 16_384)

        check(play(tmp_path, crowd))

    def test_bodies_that_stop_short_of_their_end(self, tmp_path):
        async def crowd(system):
            await system.send_bodies(CALLERS, BODY[:-1], len(BODY))

        check(play(tmp_path, crowd))

    def test_bodies_in_large_chunks_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_chunks(CALLERS, b"x" * 65_535, 4)

        check(play(tmp_path, crowd))

    def test_bodies_in_tiny_chunks_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_chunks(TINY_CHUNK_CLIENTS, b"x", 600)

        check(play(tmp_path, crowd))

    def test_bodies_sent_far_over_the_limit_in_chunks(self, tmp_path):
        async def crowd(system):
            await system.send_chunks(CALLERS, b"x" * 50_000, 20)

        check(play(tmp_path, crowd))

    def test_bodies_for_paths_that_the_entry_serves(self, tmp_path):
        async def crowd(system):
            system.path = "/v1/jobs"
            await system.send_bodies(CALLERS, BODY[:-1], len(BODY))

        check(play(tmp_path, crowd))

    def test_documents_whose_objects_take_more_memory_than_their_text(
        self, tmp_path
    ):
        document = (b"[" + b"[]," * (1024 * 1024))[:4_000_000] + b"[]]"

        async def crowd(system):
            system.path = "/v1/jobs"
            await system.send_bodies(8, document)

        check(play(tmp_path, crowd, max_body_bytes=4 * 1024 * 1024))

    def test_headers_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_headers(1000, 7000)

        check(play(tmp_path, crowd))

    def test_idle_connections_leave_descriptors_for_the_entry(self, tmp_path):
        async def crowd(system):
            await open_idle(system)

        observed = play(tmp_path, crowd, descriptors=DESCRIPTORS)
        check(observed)
        assert observed.descriptors <= DESCRIPTORS


class TestControlPort:

    def test_whole_bodies(self, tmp_path):
        async def crowd(system):
            await system.send_bodies(CONTROL_CLIENTS, CONTROL_BODY)

        check(play(tmp_path, crowd, port="control"))

    def test_bodies_that_stop_short_of_their_end(self, tmp_path):
        async def crowd(system):
            length = len(CONTROL_BODY) + 1
            await system.send_bodies(CONTROL_CLIENTS, CONTROL_BODY, length)

        check(play(tmp_path, crowd, port="control"))

    def test_bodies_announced_far_over_the_limit(self, tmp_path):
        async def crowd(system):
            length = len(CONTROL_BODY) + MISSING_BYTES
            await system.send_bodies(CONTROL_CLIENTS, CONTROL_BODY, length)

        check(play(tmp_path, crowd, port="control"))

    def test_bodies_in_large_chunks_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_chunks(CONTROL_CLIENTS, b"x" * 65_535, 16)

        check(play(tmp_path, crowd, port="control"))

    def test_bodies_in_tiny_chunks_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_chunks(TINY_CHUNK_CLIENTS, b"x", 600)

        check(play(tmp_path, crowd, port="control"))

    def test_headers_that_do_not_end(self, tmp_path):
        async def crowd(system):
            await system.send_headers(1000, 7000)

        check(play(tmp_path, crowd, port="control"))

    def test_idle_connections_leave_descriptors_for_the_entry(self, tmp_path):
        async def crowd(system):
            await open_idle(system)

        observed = play(
            tmp_path, crowd, port="control", descriptors=DESCRIPTORS
        )
        check(observed)
        assert observed.descriptors <= DESCRIPTORS

"""Tests of daemons under crowds while they start, stop or change the leader."""

import asyncio
import contextlib
import json
import signal
import time

import memory_crowd
import pytest
import soak_callers
import soak_platform
import test_memory_crowds

one_at_a_time = test_memory_crowds.one_at_a_time
MEMORY_MB = test_memory_crowds.MEMORY_MB
CROWD = 200
# Interval in which connections of a crowd are replaced by new ones.
RECONNECT_S = 0.2
READY_PORT = 8622
PEER_PORT = 7060
METRICS_PORT = 9464
# Time that the platform of the test leaves a process to stop.
GRACE_S = 20
# Jobs that start in a million seconds, of many tasks in a short text.
FAR_JOBS = 40
TASKS = 9000
FAR_FUTURE_S = 1_000_000


def play(folder, crowd, count=1, descriptors=4100):
    limits = {"memory-mb": MEMORY_MB, "max-fds": descriptors}

    async def scenario():
        system = memory_crowd.CrowdSoak(folder, limits, count=count)
        return await system.play(crowd)

    return asyncio.run(scenario())


def check(observed):
    test_memory_crowds.check(observed)


async def keep_reconnecting(system, body):
    """Sends bodies short of their end on ever new connections."""
    while True:
        # The process may not listen yet.
        with contextlib.suppress(OSError):
            await system.send_bodies(CROWD, body[:-1], len(body))
        await asyncio.sleep(RECONNECT_S)
        system.dismiss()
        system.sockets.clear()


async def wait_for_leader(system):
    while system._leader() is None:
        await asyncio.sleep(0.05)


async def wait_for_end(process):
    for _ in range(GRACE_S * 20):
        if process.poll() is not None:
            return
        await asyncio.sleep(0.05)


class TestStart:

    def test_crowd_that_comes_while_the_process_starts(self, tmp_path):
        async def crowd(system):
            flood = asyncio.ensure_future(
                keep_reconnecting(system, memory_crowd.legal_body())
            )
            system.daemons[0].end()
            system.daemons[0].start()
            await asyncio.sleep(5.0)
            flood.cancel()

        check(play(tmp_path, crowd))


class TestReload:

    def test_limits_that_are_lowered_while_bodies_are_open(self, tmp_path):
        async def crowd(system):
            body = memory_crowd.legal_body()
            await system.send_bodies(CROWD, body[:-1], len(body))
            system.target.send(signal.SIGHUP)
            system.limits["max-body-bytes"] = 10_000
            system.write_limits()
            await asyncio.sleep(1.0)
            for connection in system.sockets:
                await system.send(connection, body[-1:])

        check(play(tmp_path, crowd))

    def test_limits_that_cannot_be_used_leave_those_in_force(self, tmp_path):
        async def crowd(system):
            for value in (0, -1, "1", 1.5):
                system.limits["max-body-bytes"] = value
                system.write_limits()
            await asyncio.sleep(1.0)
            await system.send_chunks(CROWD, b"x" * 50_000, 20)

        check(play(tmp_path, crowd))


class TestStop:

    @pytest.mark.parametrize("port", [0, PEER_PORT])
    def test_unfinished_bodies_do_not_keep_the_process(self, tmp_path, port):
        exit_codes = []

        async def crowd(system):
            system.connect_to(0, port)
            body = memory_crowd.legal_body()
            await system.send_bodies(CROWD, body[:-1], len(body))
            process = system.daemons[0].process
            system.daemons[0].send(signal.SIGTERM)
            await wait_for_end(process)
            exit_codes.append(process.poll())
            system.daemons[0].end()
            system.daemons[0].start()

        check(play(tmp_path, crowd))
        assert exit_codes == [0]


class TestLeader:

    def test_crowd_on_all_daemons_while_the_leader_changes(self, tmp_path):
        async def crowd(system):
            body = memory_crowd.legal_body()
            for number in range(3):
                system.connect_to(number)
                await system.send_bodies(CROWD, body)
            leader = system.daemons[system._leader()]
            leader.end()
            leader.start()
            await system._wait_until_listening()
            for number in range(3):
                system.connect_to(number)
                await system.send_bodies(CROWD, body[:-1], len(body))
            await wait_for_leader(system)

        check(play(tmp_path, crowd, count=3))

    def test_crowd_on_a_follower_of_a_leader_that_stands_still(self, tmp_path):
        async def crowd(system):
            await wait_for_leader(system)
            leader = system._leader()
            system.connect_to(1 - leader)
            system.daemons[leader].send(signal.SIGSTOP)
            try:
                await system.send_bodies(CROWD, memory_crowd.legal_body())
                await asyncio.sleep(1.0)
            finally:
                system.daemons[leader].send(signal.SIGCONT)

        check(play(tmp_path, crowd, count=2))


class TestDescriptors:

    def test_idle_connections_to_all_addresses(self, tmp_path):
        """The daemon still reaches the store: it stays the leader."""
        descriptors = test_memory_crowds.DESCRIPTORS

        async def crowd(system):
            for port in (0, PEER_PORT, READY_PORT, METRICS_PORT):
                system.connect_to(0, port)
                await system.open(descriptors)

        observed = play(tmp_path, crowd, descriptors=descriptors)
        check(observed)
        assert observed["descriptors"] <= descriptors


class TestAcceptedJobs:

    def test_many_jobs_that_start_in_the_far_future(self, tmp_path):
        """A text of 200 bytes took 2 MB of the leader's memory."""

        async def crowd(system):
            due_ms = int(time.time() + FAR_FUTURE_S) * 1000
            step = {"count": TASKS, "cpu": 200, "estimate-ms": 1000}
            body = json.dumps(
                {
                    "spec": "",
                    "steps": [step],
                    "start-at-ms": due_ms,
                    "repeat-count": 1,
                }
            ).encode()
            connection = soak_callers.Connection(system.target.front)
            for number in range(FAR_JOBS):
                path = f"{soak_platform.PREFIX}{number + (1 << 60):016x}"
                await connection.request("POST", path, body)
            connection.close()

        check(play(tmp_path, crowd))

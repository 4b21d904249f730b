"""Tests of planned stops of daemons, which run as separate processes.

Callers open their connections before the stop and use them until the process
is gone.
"""

import asyncio
import itertools
import signal
import socket
import time

import attrs
import pytest
import soak
import soak_faults
import soak_platform
import yaml

SEED = 5050
CONNECTIONS = 240
REQUEST_INTERVAL_S = 0.02
# A request whose connection ends sooner after it was sent may not have been
# read: `loss-slack-ms` of all deployments.
LOSS_SLACK_S = 0.2
BODY = (
    b'{"spec": "", "steps": [{"count": 1, "cpu": 200, "estimate-ms": 500, '
    b'"after": []}]}'
)


@attrs.define
class Call:
    """One request and how its connection ended.

    Attributes:
        job: Identifier of the job that it names.
        sent_s: When it was sent.
        status: Status of the whole reply; 0 without one.
        ended_s: When the reply was whole, or the connection ended.
        reset: Whether the connection was reset, so that the request, or a part
            of it, was not read by the process.
    """

    job: str
    sent_s: float
    status: int = 0
    ended_s: float = 0.0
    reset: bool = False

    @property
    def cut_off(self) -> bool:
        """Whether the process read the request and did not answer it."""
        waited_s = self.ended_s - self.sent_s
        return not self.status and not self.reset and waited_s > LOSS_SLACK_S


class PlannedStop(soak.Soak):
    """Stops daemons while callers use connections to the first of them.

    Args:
        folder: Directory for settings and logs.
        grace_s: Time from SIGTERM to SIGKILL in seconds.
        method: Method of the requests.
    """

    def __init__(self, folder, grace_s: float, method: str = "POST"):
        super().__init__(SEED, 0.0, folder)
        self.grace_s = grace_s
        self.method = method
        self.calls: list[Call] = []
        self.unused = 0
        for daemon in self.daemons:
            content = yaml.safe_load(daemon.settings.read_text())
            content["bounds"]["grace-s"] = grace_s
            daemon.settings.write_text(yaml.safe_dump(content))

    async def run(self, stop) -> None:
        """Executes the run.

        Args:
            stop: Coroutine function that sends signals.
        """
        self.simulator.start()
        for proxy in [*self.store_proxies, *self.worker_proxies]:
            await proxy.start()
        for daemon in self.daemons:
            daemon.start()
        try:
            await self._wait_until_listening()
            await asyncio.sleep(soak.STARTUP_DELAY_S)
            await self._run_callers(stop)
        finally:
            self._stop()

    async def _run_callers(self, stop) -> None:
        host, _, port = self.daemons[0].front.partition(":")
        connections = [
            await asyncio.open_connection(host, int(port))
            for _ in range(CONNECTIONS)
        ]
        callers = [
            asyncio.ensure_future(self._call(number, *connection))
            for number, connection in enumerate(connections)
        ]
        # Some requests are under way when the signal arrives.
        await asyncio.sleep(0.3)
        await stop(self.daemons)
        await asyncio.wait_for(self._wait_for_exit(), self.grace_s)
        await asyncio.gather(*callers)

    async def _wait_for_exit(self) -> None:
        while self.daemons[0].running:
            await asyncio.sleep(soak_faults.POLL_INTERVAL_S)

    async def _call(self, number: int, reader, writer) -> None:
        """Sends one request, unless the connection has been closed before."""
        await asyncio.sleep(number * REQUEST_INTERVAL_S)
        if not _is_open(writer) or not self.daemons[0].running:
            self.unused += 1
            writer.close()
            return
        call = Call(f"{number:016x}", time.monotonic())
        self.calls.append(call)
        body = BODY if self.method == "POST" else b""
        writer.write(
            f"{self.method} {soak_platform.PREFIX}{call.job} HTTP/1.1\r\n"
            f"Host: {soak_platform.HOST}\r\nX-Deadline-Ms: 3029\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        try:
            call.status = await _read_status(reader)
        except asyncio.IncompleteReadError:
            pass
        except OSError:
            call.reset = True
        call.ended_s = time.monotonic()
        writer.close()

    def check(self) -> None:
        """Checks replies and the exit code of the daemon."""
        assert self.daemons[0].process.returncode == 0
        cut_off = [call for call in self.calls if call.cut_off]
        statuses = sorted(call.status for call in self.calls)
        counts = {status: statuses.count(status) for status in set(statuses)}
        assert not cut_off, (
            f"{len(cut_off)} of {len(self.calls)} requests cut off after "
            f"{max(call.ended_s - call.sent_s for call in cut_off):.2f} s at "
            f"the most; replies by status: {counts}"
        )
        assert self.calls
        assert "_open_at_exit" not in self.daemons[0].log.read_text()


def _is_open(writer) -> bool:
    """Returns whether the other end has not closed the connection."""
    sock = writer.get_extra_info("socket")
    try:
        duplicate = sock.dup()
        with duplicate:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(duplicate.recv(1, flags))
    except BlockingIOError:
        return True
    except OSError:
        return False


async def _read_status(reader) -> int:
    """Returns the status of a whole reply."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    await reader.readexactly(int(fields["content-length"]))
    return int(head[0].split()[1])


def run(folder, stop, grace_s: float, method: str = "POST") -> PlannedStop:
    """Runs daemons and callers through a planned stop."""
    planned_stop = PlannedStop(folder, grace_s, method)
    asyncio.run(planned_stop.run(stop))
    return planned_stop


async def stop_all(daemons) -> None:
    """Stops all daemons, so that none is left to become the leader."""
    for daemon in daemons:
        daemon.send(signal.SIGTERM)


async def stop_repeatedly(daemons) -> None:
    """Sends signals to the first daemon until it has ended."""
    await stop_all(daemons)
    signals = itertools.cycle((signal.SIGTERM, signal.SIGHUP))
    while daemons[0].running:
        daemons[0].send(next(signals))
        await asyncio.sleep(0.001)


class TestPlannedStops:

    @pytest.mark.parametrize("grace_s", [1, 2, 3, 6, 60])
    def test_requests_are_not_cut_off_when_all_daemons_stop(
        self, tmp_path, grace_s
    ):
        run(tmp_path, stop_all, grace_s).check()

    def test_queries_are_not_cut_off_when_all_daemons_stop(self, tmp_path):
        run(tmp_path, stop_all, 6, "GET").check()

    def test_requests_are_not_cut_off_by_repeated_signals(self, tmp_path):
        run(tmp_path, stop_repeatedly, 6).check()

"""External faults of soak tests: loopback proxies and process signals."""

import asyncio
import collections
import contextlib
import math
import os
import pathlib
import signal
import subprocess
import sys
import time

import yaml

DAEMONS = 3
CHUNK_BYTES = 65_536
CHUNK_DELAY_S = 0.3
POLL_INTERVAL_S = 0.02
STORE_PORT = 8650
# Distance between the addresses of a daemon that moves.
ADDRESS_STEP = 32
# Time from SIGTERM to SIGKILL.
GRACE_S = 6.0


class Disruptions:
    """Spans of time in which faults disturb daemons, workers or the store."""

    def __init__(self):
        self.open: collections.Counter = collections.Counter()
        self.ended_s: dict[str, float] = {}
        # Number of unplanned disruptions now, and the end of the last one.
        self.unplanned = 0
        self.unplanned_ended_s = -math.inf

    @contextlib.contextmanager
    def span(self, *subjects: str, planned: bool = False):
        """Records a disruption of subjects while the context is active.

        Args:
            subjects: What is disrupted.
            planned: Whether it is planned work, such as a graceful stop.
        """
        self.open.update(subjects)
        self.unplanned += not planned
        try:
            yield
        finally:
            self.open.subtract(subjects)
            self.ended_s |= dict.fromkeys(subjects, time.monotonic())
            if not planned:
                self.unplanned -= 1
                self.unplanned_ended_s = time.monotonic()

    def unplanned_since_s(self) -> float:
        """Returns the end of the last unplanned disruption; infinite in one."""
        return math.inf if self.unplanned else self.unplanned_ended_s

    def calm_since_s(self, *subjects: str) -> float:
        """Returns the end of the last disruption of any of the subjects.

        Without subjects, all disruptions count. The result is infinite during a
        disruption.
        """
        considered = subjects or tuple(self.open)
        if any(self.open[subject] for subject in considered):
            return math.inf
        ends_s = (self.ended_s.get(subject) for subject in considered)
        return max((end_s for end_s in ends_s if end_s), default=-math.inf)


class Proxy:
    """TCP proxy to one address with fault injection.

    Its own address is the source of the connections to the target, so that the
    target can tell proxies apart.

    Attributes:
        mode: `pass` forwards all bytes; `reset` aborts all connections;
            `silent` blocks both directions; `one-way` blocks responses;
            `delay` delays each chunk.
    """

    def __init__(self, host: str, port: int, target_host: str):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.mode = "pass"
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def stop(self) -> None:
        """Stops to listen and aborts all connections."""
        self.set_mode("reset")
        if self.server is not None:
            self.server.close()

    def set_mode(self, mode: str) -> None:
        """Changes the mode; `reset` aborts all open connections."""
        self.mode = mode
        if mode == "reset":
            self.abort()

    def abort(self) -> None:
        """Aborts all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.target_host, 8700, local_addr=(self.host, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream_writer}
        self.writers |= writers
        forwarders = [
            asyncio.ensure_future(
                self._forward(reader, upstream_writer, False)
            ),
            asyncio.ensure_future(self._forward(upstream_reader, writer, True)),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            self.writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _forward(self, reader, writer, is_response: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(CHUNK_DELAY_S)
                while self.mode == "silent" or (
                    self.mode == "one-way" and is_response
                ):
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()


class DaemonProcess:
    """A daemon in a separate process, which is the only one signalled.

    Args:
        number: Its number, from 0.
        subnet: Second part of its addresses.
        folder: Directory for its settings and log.
        grace_s: Time from SIGTERM to SIGKILL.
    """

    def __init__(
        self,
        number: int,
        subnet: int,
        folder: pathlib.Path,
        grace_s: float = GRACE_S,
    ):
        self.number = number
        self.grace_s = grace_s
        self.subnet = subnet
        self.address_number = number + 1
        self.settings = folder / f"daemon-{number}.yaml"
        self.log = folder / f"daemon-{number}.log"
        self.process: subprocess.Popen | None = None
        self.stopping = False
        # Time of the last SIGTERM.
        self.stopped_s = -math.inf
        self._write_settings()

    def move(self) -> None:
        """Lets the next process listen at a new address."""
        self.address_number += ADDRESS_STEP
        self._write_settings()

    def _write_settings(self) -> None:
        self.ip = f"127.{self.subnet}.1.{self.address_number}"
        self.front = f"{self.ip}:8624"
        content = {
            "node-name": f"entry-{self.number}",
            "zone": "z",
            "ip": self.ip,
            "listen": {"front": self.front, "ready": f"{self.ip}:8622"},
            "internal-port-range": [7060, 7075],
            "platform": {
                "address": f"127.{self.subnet}.9.{self.number + 1}:8650"
            },
            "cloud-api": {"address": f"127.{self.subnet}.7.1:8700"},
            "heartbeat-ms": 500,
            "bounds": {"grace-s": self.grace_s, "contact-ms": 3000},
        }
        self.settings.write_text(yaml.safe_dump(content))

    def start(self) -> None:
        """Starts the process."""
        self.stopping = False
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "baobabdoor.dispatch"],
                stdout=output,
                stderr=output,
                env=os.environ | {"BAOBABDOOR_CONFIG": str(self.settings)},
            )

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.running:
            if number == signal.SIGTERM:
                self.stopping = True
                self.stopped_s = time.monotonic()
            self.process.send_signal(number)

    async def restart(self, timeout_s: float) -> None:
        """Waits for the process to exit or kills it, and restarts it."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self.running and loop.time() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.end()
        self.start()

    def end(self) -> None:
        """Kills the process and waits for its exit."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

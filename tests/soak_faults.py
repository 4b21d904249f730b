"""Faults from outside for soaks: a loopback proxy and signals to processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import yaml

CHUNK_BYTES = 65_536
DELAY_S = 0.3
POLL_S = 0.02
STORE_PORT = 8650


class Proxy:
    """Forwards connections to one address, as far as its mode lets.

    Attributes:
        mode: `pass`; `reset` ends all connections; `silent` holds all bytes;
            `one-way` holds answers; `delay` holds each chunk for a time.
    """

    def __init__(self, host: str, port: int, target_host: str):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.mode = "pass"
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def stop(self) -> None:
        """Ends all connections."""
        self.set_mode("reset")
        if self.server is not None:
            self.server.close()

    def set_mode(self, mode: str) -> None:
        """Changes the mode; `reset` ends what is open."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target_host, 8700
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, False)),
            asyncio.ensure_future(self._pump(far_reader, writer, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self.writers -= pair
            for each in pair:
                each.transport.abort()

    async def _pump(self, reader, writer, answers: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                while self.mode == "silent" or (
                    self.mode == "one-way" and answers
                ):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()


class DaemonProcess:
    """A daemon as a process of its own; only it is ever signalled."""

    def __init__(self, number: int, network: int, folder: pathlib.Path):
        self.number = number
        self.ip = f"127.{network}.1.{number + 1}"
        self.front = f"{self.ip}:8624"
        self.settings = folder / f"daemon-{number}.yaml"
        self.log = folder / f"daemon-{number}.log"
        self.process: subprocess.Popen | None = None
        self.stopping = False
        content = {
            "node-name": f"entry-{number}",
            "zone": "z",
            "ip": self.ip,
            "listen": {"front": self.front, "ready": f"{self.ip}:8622"},
            "internal-port-range": [7060, 7075],
            "platform": {"address": f"127.{network}.9.{number + 1}:8650"},
            "cloud-api": {"address": f"127.{network}.7.1:8700"},
            "bounds": {"grace-s": 6},
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
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.running:
            self.stopping |= number == signal.SIGTERM
            self.process.send_signal(number)

    async def restart(self, limit_s: float) -> None:
        """Waits for the end, kills if need be, and starts anew."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.running and loop.time() < end_s:
            await asyncio.sleep(POLL_S)
        self.end()
        self.start()

    def end(self) -> None:
        """Ends the process for good."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

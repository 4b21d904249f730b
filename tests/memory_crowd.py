"""Crowds of connections against a daemon process with lowered limits.

Connections send requests that are large, slow or never complete, and stay open
until the crowd is dismissed. `CrowdSoak` runs `baobabdoor.dispatch` on the
simulated platform of the soak test; `entry_crowd` runs `baobabdoor-entry`.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket

import soak
import soak_callers
import soak_platform
import yaml

from baobabdoor import platform

MAX_BODY_BYTES = 262_144
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": MAX_BODY_BYTES,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
}
# Maximum time of one operation of a connection; only guards against hangs.
OPERATION_TIMEOUT_S = 30.0
# Time in which bytes that were sent can be read by the daemon. The peak of its
# memory is taken after it.
SETTLE_S = 1.0
# Attempts of the ordinary request, each with the timeout of a caller. Only
# whether it is answered counts, since a busy machine is slow.
REQUEST_ATTEMPTS = 20
ATTEMPT_PAUSE_S = 0.5


class Crowd:
    """Connections to one address of a process.

    Attributes:
        address: `ip:port` that `open` connects to; chosen by a subclass.
        sockets: All connections that were opened.
    """

    address: str

    def __init__(self):
        self.sockets: list[socket.socket] = []

    def head(self, number: int, *lines: str) -> bytes:
        """Returns the header of a request that the process would accept."""
        raise NotImplementedError

    async def open(
        self, count: int, timeout_s: float = OPERATION_TIMEOUT_S
    ) -> list[socket.socket]:
        """Opens connections that stay open until the end.

        Raises:
            TimeoutError: One of them was not accepted in time.
        """
        host, _, port = self.address.partition(":")
        loop = asyncio.get_running_loop()
        opened = []
        for _ in range(count):
            connection = socket.socket()
            connection.setblocking(False)
            self.sockets.append(connection)
            await asyncio.wait_for(
                loop.sock_connect(connection, (host, int(port))),
                timeout_s,
            )
            opened.append(connection)
        return opened

    async def send(self, connection: socket.socket, data: bytes) -> None:
        """Sends bytes; that the daemon closes the connection is allowed."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            await asyncio.wait_for(
                loop.sock_sendall(connection, data), OPERATION_TIMEOUT_S
            )

    async def send_all(self, count: int, make_request) -> None:
        """Opens connections that each send their own bytes at once."""
        connections = await self.open(count)
        await asyncio.gather(
            *(
                self.send(connection, make_request(number))
                for number, connection in enumerate(connections)
            )
        )

    async def send_bodies(
        self, count: int, body: bytes, length: int | None = None
    ) -> None:
        """Sends the same body on each connection.

        Args:
            count: Number of connections.
            body: Bytes that are sent.
            length: Announced length. Default: that of the body.
        """
        line = f"Content-Length: {len(body) if length is None else length}"
        await self.send_all(
            count, lambda number: self.head(number, line) + body
        )

    async def send_pieces(self, count: int, body: bytes, size: int) -> None:
        """Sends a body on each connection, in turns of one piece each."""
        line = f"Content-Length: {len(body)}"
        connections = await self.open(count)
        for number, connection in enumerate(connections):
            await self.send(connection, self.head(number, line))
        for start in range(0, len(body), size):
            for connection in connections:
                await self.send(connection, body[start : start + size])

    async def send_chunks(self, count: int, chunk: bytes, chunks: int) -> None:
        """Sends chunked bodies that do not end."""
        encoded = encode_chunks(chunk, chunks)
        await self.send_all(
            count,
            lambda number: self.head(number, "Transfer-Encoding: chunked")
            + encoded,
        )

    async def send_headers(self, count: int, lines: int) -> None:
        """Sends headers that do not end."""
        more = [f"X{number}: y" for number in range(lines)]
        await self.send_all(
            count,
            lambda number: self.head(number, *more).removesuffix(b"\r\n"),
        )

    def dismiss(self) -> None:
        """Closes all connections."""
        for connection in self.sockets:
            connection.close()


class CrowdSoak(Crowd, soak.Soak):
    """Daemons, one of which is the leader, and a crowd of connections.

    Args:
        folder: Directory for settings and logs.
        limits: Field `limits` of the daemons' settings.
        seed: Seed that chooses the addresses.
        count: Number of daemons.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        limits: dict,
        seed: int = 7100,
        count: int = 1,
    ):
        Crowd.__init__(self)
        soak.Soak.__init__(self, seed, 0.0, folder)
        self.daemons = self.daemons[:count]
        for daemon in self.daemons:
            content = yaml.safe_load(daemon.settings.read_text())
            content |= {"limits": limits}
            daemon.settings.write_text(yaml.safe_dump(content))
        self.limits = dict(LIMITS)
        self.connect_to(0)

    def connect_to(self, number: int, port: int = 0) -> None:
        """Chooses the daemon of the crowd and of ordinary requests.

        Args:
            number: Number of the daemon.
            port: Port of the crowd. Default: that of callers.
        """
        self.target = self.daemons[number]
        ip, _, front_port = self.target.front.partition(":")
        self.address = f"{ip}:{port or front_port}"

    def head(self, number: int, *lines: str) -> bytes:
        """Returns the header of a submission."""
        return head(number, *lines)

    async def play(self, crowd) -> dict:
        """Plays a crowd and returns what was observed.

        Args:
            crowd: Coroutine function that gets this object.

        Returns:
            Whether the processes live, their peak memory in MB, their maximum
            number of descriptors, and the status of an ordinary request.
        """
        self.simulator.start()
        for proxy in [*self.store_proxies, *self.worker_proxies]:
            await proxy.start()
        for daemon in self.daemons:
            daemon.start()
        try:
            await self._wait_until_listening()
            self.write_limits()
            first_status = await self.request()
            await crowd(self)
            await asyncio.sleep(SETTLE_S)
            observed = {"descriptors": self.count_descriptors()}
            observed["status"] = await self.request()
            observed["peak_mb"] = self.peak_memory_mb()
            observed["lives"] = all(daemon.running for daemon in self.daemons)
            observed["first_status"] = first_status
            return observed
        finally:
            self.dismiss()
            self._stop()

    def write_limits(self) -> None:
        """Writes a new configuration with `limits`."""
        store = self.simulator.store
        table, key = platform.CONFIGURATION_TABLE, platform.CONFIGURATION_KEY
        content = json.loads(store.rows[table, "", key].value)
        self.simulator.version += 1
        content |= {"version": self.simulator.version, "limits": self.limits}
        store.write(table, key, content)

    async def request(self) -> int:
        """Submits one ordinary job; returns the status of the answer."""
        job_id = self._new_job(random.Random(len(self.specs)))
        self.simulator.crashing_tasks.clear()
        for _ in range(REQUEST_ATTEMPTS):
            connection = soak_callers.Connection(self.target.front)
            status, _ = await connection.request(
                "POST", soak_platform.PREFIX + job_id, self._body(job_id)
            )
            connection.close()
            if status == 200:
                break
            await asyncio.sleep(ATTEMPT_PAUSE_S)
        return status

    def peak_memory_mb(self) -> float:
        """Returns the largest peak of a daemon's resident memory."""
        running = [daemon for daemon in self.daemons if daemon.running]
        return max(peak_memory_mb(daemon.process.pid) for daemon in running)

    def count_descriptors(self) -> int:
        """Returns the largest number of a daemon's open descriptors."""
        running = [daemon for daemon in self.daemons if daemon.running]
        return max(count_descriptors(daemon.process.pid) for daemon in running)


def peak_memory_mb(pid: int) -> float:
    """Returns the peak of a process's resident memory."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def count_descriptors(pid: int) -> int:
    """Returns the number of a process's open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def head(number: int, *lines: str) -> bytes:
    """Returns the header of a submission."""
    path = f"{soak_platform.PREFIX}{number + (1 << 60):016x}"
    return "\r\n".join(
        [f"POST {path} HTTP/1.1", f"Host: {soak_platform.HOST}", *lines, "", ""]
    ).encode()


def with_length(number: int, length: int, body: bytes) -> bytes:
    """Returns a submission that announces a length."""
    return head(number, f"Content-Length: {length}") + body


def chunked(number: int, chunk: bytes, count: int) -> bytes:
    """Returns a submission in chunks that does not end."""
    return head(number, "Transfer-Encoding: chunked") + encode_chunks(
        chunk, count
    )


def encode_chunks(chunk: bytes, count: int) -> bytes:
    """Returns chunks of a body without the last one."""
    return b"%x\r\n%s\r\n" % (len(chunk), chunk) * count


def legal_body() -> bytes:
    """Returns a job of the maximum size, which starts far in the future."""
    job = {"spec": "", "steps": [{"cpu": 200}], "start-at-ms": 2**50, "pad": ""}
    size = len(json.dumps(job))
    job["pad"] = "x" * (MAX_BODY_BYTES - size)
    return json.dumps(job).encode()

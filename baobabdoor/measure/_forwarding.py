"""Processor time per request of an entry and of minimal forwarders.

Every role is one process on loopback, started by hand. The role `load` reads
the processor time of the measured process from `/proc`:

    python -m baobabdoor.measure._forwarding --role backend --port 22001 &
    python -m baobabdoor.measure._forwarding --role bare --port 22002 &
    python -m baobabdoor.measure._forwarding --role load --ports 22002 --pids $!

Roles: `backend` responds immediately; `bare` forwards with the entry's own
client, `bare-simple` and `bare-curl` with tornado's clients; `entry` is the
entry server with a static slot split; `load` sends requests to each port in
turn and prints the median processor time of a request and its ratio to the
first port (minimum/median/maximum over the rounds).
"""

import asyncio
import os
import pathlib
import signal
import statistics
import time
from typing import Any

from absl import app
from absl import flags
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httpserver
from tornado import httputil
from tornado import simple_httpclient

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import requests
from baobabdoor.entry import _backend_client
from baobabdoor.measure import _standalone_entry

BODY = b"x" * 512
DEADLINE_S = 30.0
CONNECTIONS_TO_BACKEND = 64
HEADERS = (
    "Baobabdoor-Pool: {pool}\r\nBaobabdoor-Caller: measure\r\n"
    "Priority: u=3\r\nAccept: application/json\r\nHost: service\r\n"
)

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Defines the command-line flags; must be called once before parsing."""
    roles = ["backend", "bare", "bare-simple", "bare-curl", "entry", "load"]
    flags.DEFINE_enum("role", None, roles, "Role of this process.")
    flags.DEFINE_integer("port", 22001, "Port to listen on.")
    flags.DEFINE_integer("backend_port", 22001, "Port of the backend server.")
    flags.DEFINE_list("ports", [], "Ports that receive load in turn.")
    flags.DEFINE_list("pids", [], "IDs of the processes on these ports.")
    flags.DEFINE_integer("connections", 8, "Number of concurrent connections.")
    flags.DEFINE_float("seconds", 1.0, "Duration of one round for one port.")
    flags.DEFINE_integer("rounds", 8, "Number of rounds.")
    flags.DEFINE_string(
        "pool", "jury-desk", "Requested pool; unknown pools are refused."
    )
    flags.DEFINE_string("method", "GET", "Request method.")
    flags.DEFINE_integer("body_bytes", 0, "Size of the request body.")


def _start_line(status: int) -> httputil.ResponseStartLine:
    return httputil.ResponseStartLine("HTTP/1.1", status, "OK")


def _respond(request: httputil.HTTPServerRequest) -> None:
    headers = httputil.HTTPHeaders()
    headers["Content-Type"] = "application/octet-stream"
    headers["Content-Length"] = str(len(BODY))
    request.connection.write_headers(_start_line(200), headers, BODY)
    request.connection.finish()


class BareForwarder:
    """Forwards with the entry's client, without the checks of the entry."""

    def __init__(self, address: str):
        self.address = address
        self.timers = observability.LoopTimerService()
        self.client = _backend_client.BackendClient(
            self.timers, lambda vm_id: CONNECTIONS_TO_BACKEND, 4_194_304
        )
        self.tasks: set[asyncio.Task] = set()

    def __call__(self, request: httputil.HTTPServerRequest) -> None:
        """Starts forwarding one request."""
        task = asyncio.ensure_future(self._forward(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _forward(self, request: httputil.HTTPServerRequest) -> None:
        outgoing = _backend_client.OutgoingRequest(
            request.method,
            request.uri,
            list(request.headers.get_all()),
            request.body,
            self.timers.now_s() + DEADLINE_S,
        )
        exchange = requests.Exchange()
        response = await self.client.send(
            "vm-1", self.address, outgoing, exchange, lambda: None
        )
        headers = httputil.HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        start_line = _start_line(response.status)
        request.connection.write_headers(start_line, headers, response.body)
        request.connection.finish()


class LibraryForwarder(BareForwarder):
    """Forwards with one of tornado's clients."""

    def __init__(self, address: str, client: httpclient.AsyncHTTPClient):
        super().__init__(address)
        self.library_client = client

    async def _forward(self, request: httputil.HTTPServerRequest) -> None:
        response = await self.library_client.fetch(
            f"http://{self.address}{request.uri}",
            method=request.method,
            headers=request.headers,
            body=request.body or None,
            raise_error=False,
            follow_redirects=False,
        )
        start_line = _start_line(response.code)
        request.connection.write_headers(
            start_line, response.headers, response.body
        )
        request.connection.finish()


def _forwarder(role: str, address: str) -> Any:
    if role == "bare":
        return BareForwarder(address)
    client_class = (
        curl_httpclient.CurlAsyncHTTPClient
        if role == "bare-curl"
        else simple_httpclient.SimpleAsyncHTTPClient
    )
    client = client_class(
        force_instance=True, max_clients=CONNECTIONS_TO_BACKEND
    )
    return LibraryForwarder(address, client)


class SingleWorkerView:
    """Fleet view with one backend server."""

    def __init__(self, address: str):
        self.worker = ownership.VmState(
            vm_id="vm-1",
            availability_zone="taal",
            rack="rack-1",
            address=address,
            pool="jury-desk",
            phase=ownership.Phase.SERVING,
            boot_id="boot-1",
        )

    def workers(self, pool: str) -> list[ownership.VmState]:
        """Returns the one worker."""
        return [self.worker] if pool == self.worker.pool else []

    def permit(
        self, vm_id: str, now_s: float, pool: str = ""
    ) -> base.Refusal | None:
        """Permits every send."""
        return None


async def _serve_entry(port: int, address: str) -> None:

    server = _standalone_entry.build(port, SingleWorkerView(address))
    await server.start()
    await asyncio.Event().wait()


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


class LoadGenerator:
    """Closed-loop load generator with one request at a time per connection."""

    def __init__(self, port: int, request: bytes, end_s: float):
        self.port = port
        self.request = request
        self.end_s = end_s
        self.statuses: dict[str, int] = {}
        self.latencies_s: list[float] = []

    async def run(self, connections: int) -> None:
        """Sends requests on all connections until the end."""
        await asyncio.gather(
            *(self._run_connection() for _ in range(connections))
        )

    async def _run_connection(self) -> None:
        while time.monotonic() < self.end_s:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
            while time.monotonic() < self.end_s:
                writer.write(self.request)
                if await self._read_response(reader):
                    break
            writer.close()

    async def _read_response(self, reader: asyncio.StreamReader) -> bool:
        started_s = time.monotonic()
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = head.partition("content-length: ")[2].partition("\r\n")[0]
        await reader.readexactly(int(length))
        self.latencies_s.append(time.monotonic() - started_s)
        status = head.split(" ", 2)[1]
        self.statuses[status] = self.statuses.get(status, 0) + 1
        return "connection: close" in head


def _request() -> bytes:
    head = HEADERS.format(pool=FLAGS.pool)
    body = b"b" * FLAGS.body_bytes
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return f"{FLAGS.method} /x HTTP/1.1\r\n{head}\r\n".encode() + body


async def _measure_slice(port: int, pid: int) -> tuple[float, LoadGenerator]:
    load = LoadGenerator(port, _request(), time.monotonic() + FLAGS.seconds)
    before_s = _processor_s(pid)
    await load.run(FLAGS.connections)
    used_s = _processor_s(pid) - before_s
    return used_s / max(1, len(load.latencies_s)) * 1e6, load


async def _measure_ports() -> None:
    """Measures the ports in turn, so that drift of the machine cancels out."""
    targets = list(
        zip(map(int, FLAGS.ports), map(int, FLAGS.pids), strict=True)
    )
    costs_us: dict[int, list[float]] = {port: [] for port, _ in targets}
    loads: dict[int, list[LoadGenerator]] = {port: [] for port, _ in targets}
    for _ in range(FLAGS.rounds):
        for port, pid in targets:
            cost_us, load = await _measure_slice(port, pid)
            costs_us[port].append(cost_us)
            loads[port].append(load)
    first = costs_us[targets[0][0]]
    for port, pid in targets:
        ratios = sorted(
            cost / other
            for cost, other in zip(costs_us[port], first, strict=True)
        )
        latencies_s = sorted(
            latency for load in loads[port] for latency in load.latencies_s
        )
        count = len(latencies_s)
        statuses = sorted({s for load in loads[port] for s in load.statuses})
        print(
            f"port={port} requests={count} statuses={','.join(statuses)}"
            f" per_s={count / FLAGS.seconds / FLAGS.rounds:.0f}"
            f" processor_us={statistics.median(costs_us[port]):.0f}"
            f" ratio={ratios[0]:.2f}/{statistics.median(ratios):.2f}"
            f"/{ratios[-1]:.2f}"
            f" p50_ms={latencies_s[count // 2] * 1e3:.2f}"
            f" p99_ms={latencies_s[count * 99 // 100] * 1e3:.2f}"
            f" resident_mb={_resident_mb(pid):.1f}"
        )


async def _serve(role: str) -> None:
    address = f"127.0.0.1:{FLAGS.backend_port}"
    if role == "entry":
        await _serve_entry(FLAGS.port, address)
        return
    callback = _respond if role == "backend" else _forwarder(role, address)
    server = httpserver.HTTPServer(callback)
    server.listen(FLAGS.port, "127.0.0.1")
    await asyncio.Event().wait()


def _run(argv: list[str]) -> int:
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
    asyncio.run(
        _measure_ports() if FLAGS.role == "load" else _serve(FLAGS.role)
    )
    return 0


if __name__ == "__main__":
    define_flags()
    app.run(_run)

"""Tests of servers with limits of requests, memory and connections."""

import asyncio

import attrs
import ports
import pytest

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import transport
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _response_budget

LIMITS = transport.RequestLimits(
    header_bytes=2000, body_bytes=1000, header_timeout_s=0.3, idle_timeout_s=0.6
)
BOUNDS = _memory_budget.Bounds(100_000, 8, 50_000)
SMALL = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def post(length: int, body: bytes = b"", *lines: bytes) -> bytes:
    head = [b"POST / HTTP/1.1", b"Host: h", b"Content-Length: %d" % length]
    return b"\r\n".join([*head, *lines, b"", body])


class Client:
    """A raw connection to the server."""

    async def open(self, address):
        host, _, port = address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        return self

    def send(self, data):
        self.writer.write(data)

    async def status(self):
        """Returns the status of the next reply; 0 if there is none."""
        try:
            head = await asyncio.wait_for(
                self.reader.readuntil(b"\r\n\r\n"), 5.0
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        for line in head.split(b"\r\n"):
            if line.startswith(b"Content-Length: "):
                await self.reader.readexactly(int(line.split()[1]))
        return int(head.split()[1])

    async def is_closed(self):
        try:
            return not await asyncio.wait_for(self.reader.read(1), 5.0)
        except ConnectionError:
            return True


def run(scenario, handler=None, **options):
    served = []

    async def echo(request):
        served.append(request)
        return transport.Reply(200, request.body)

    async def main():
        address = f"127.0.0.1:{ports.free_port()}"
        options.setdefault("limits", LIMITS)
        options.setdefault("bounds", BOUNDS)
        server = transport.Server(address, handler or echo, **options)
        server.start()
        clients = []

        async def connect():
            clients.append(await Client().open(address))
            return clients[-1]

        try:
            await scenario(server, connect)
        finally:
            server.stop()
            for client in clients:
                client.writer.close()

    asyncio.run(main())
    return served


class TestSizes:

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (post(1001), 413),
            (post(10**1500), 413),
            (post(1001, b"x" * 1001), 413),
            (CHUNKED + b"3e9\r\n" + b"x" * 1001, 413),
            (post(2, b"", b"X: " + b"x" * 2000), 431),
            (b"POST / HTTP/1.1\r\nX: " + b"x" * 3000, 431),
            (b"POST / HTTP/1.1\r\n" + b"a:\r\n" * 300 + b"\r\n", 431),
        ],
        ids=lambda value: f"{value!r:.50}",
    )
    def test_larger_request_is_refused_and_closed(self, data, status):
        async def scenario(server, connect):
            client = await connect()
            client.send(data)
            assert await client.status() == status
            assert await client.is_closed()
            assert server.budget.held_bytes == 0

        assert not run(scenario)

    def test_requests_of_the_maximum_size_are_served(self):
        async def scenario(server, connect):
            client = await connect()
            client.send(post(1000, b"x" * 1000))
            assert await client.status() == 200
            client.send(CHUNKED + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n")
            assert await client.status() == 200
            assert server.budget.held_bytes == 0

        served = run(scenario)
        assert [len(request.body) for request in served] == [1000, 1000]

    def test_new_limits_apply_to_open_connections(self):
        async def scenario(server, connect):
            client = await connect()
            client.send(SMALL)
            assert await client.status() == 200
            started = await connect()
            started.send(post(900, b"x" * 100))
            await asyncio.sleep(0.1)
            server.set_limits(attrs.evolve(LIMITS, body_bytes=100))
            client.send(post(101))
            assert await client.status() == 413
            started.send(b"x" * 10)
            assert await started.status() == 413

        run(scenario)


class TestUnusedBodies:

    def refuse(self, request):
        return transport.Reply(404) if request.method == "POST" else None

    def test_body_of_a_refused_request_is_not_read(self):
        async def scenario(server, connect):
            client = await connect()
            client.send(post(500, b"", b"Expect: 100-continue"))
            assert await client.status() == 404
            assert await client.is_closed()

        assert not run(scenario, check_header=self.refuse)

    def test_refused_request_without_body_keeps_its_connection(self):
        async def scenario(server, connect):
            client = await connect()
            for _ in range(2):
                client.send(post(0))
                assert await client.status() == 404
                assert server.budget.held_bytes == 0

        assert not run(scenario, check_header=self.refuse)

    @pytest.mark.parametrize("method", [b"GET", b"DELETE"])
    def test_method_without_use_for_a_body_is_answered(self, method):
        async def scenario(server, connect):
            client = await connect()
            client.send(method + post(900)[4:])
            assert await client.status() == 200
            assert await client.is_closed()

        (request,) = run(scenario)
        assert request.body == b""

    def test_failing_check_gives_an_error_status(self):
        def fail(request):
            raise ValueError("injected")

        async def scenario(server, connect):
            client = await connect()
            client.send(SMALL)
            assert await client.status() == 500

        run(scenario, check_header=fail)


class TestSlowClients:

    @pytest.mark.parametrize(
        "data", [b"", b"POST / HT", post(9, b"x"), CHUNKED + b"2\r\nx"]
    )
    def test_connection_that_waits_for_its_client_is_closed(self, data):
        async def scenario(server, connect):
            client = await connect()
            client.send(data)
            assert await client.is_closed()
            assert not server.budget.usages_
            assert server.budget.held_bytes == 0

        run(scenario)

    def test_trickle_does_not_extend_the_time_of_a_body(self):
        async def scenario(server, connect):
            client = await connect()
            client.send(post(1000))
            for _ in range(12):
                client.send(b"x")
                await asyncio.sleep(0.1)
            assert await client.is_closed()

        run(scenario)


class TestBounds:

    def test_new_connection_is_served_when_all_are_used(self):
        async def scenario(server, connect):
            for _ in range(3 * BOUNDS.connections):
                await connect()
            client = await connect()
            client.send(SMALL)
            assert await client.status() == 200
            assert len(server.budget.usages_) <= BOUNDS.connections

        run(scenario)

    def test_oldest_unfinished_bodies_are_dropped(self):
        async def scenario(server, connect):
            clients = []
            for _ in range(7):
                client = await connect()
                client.send(post(20_000, b"x" * 19_999))
                clients.append(client)
                await asyncio.sleep(0.02)
            client = await connect()
            client.send(SMALL)
            assert await client.status() == 200
            assert server.budget.held_bytes <= BOUNDS.request_bytes
            assert await clients[0].is_closed()
            clients[-1].send(b"x")
            assert await clients[-1].status() == 200

        limits = attrs.evolve(LIMITS, body_bytes=20_000, idle_timeout_s=9.0)
        run(scenario, limits=limits)

    def test_complete_bodies_wait_and_the_longest_waiting_gets_503(self):
        """Complete bodies that were held by handlers exhausted the memory."""
        release = asyncio.Event()
        served = []

        async def handle(request):
            served.append(len(request.body))
            if len(request.body) > 2:
                await release.wait()
            return transport.Reply(200)

        async def scenario(server, connect):
            clients = []
            for _ in range(7):
                client = await connect()
                client.send(post(20_000, b"x" * 20_000))
                clients.append(client)
                await asyncio.sleep(0.02)
            client = await connect()
            client.send(SMALL)
            assert await client.status() == 200
            assert served == [20_000, 20_000, 2]
            assert await clients[2].status() == 503
            release.set()
            assert await clients[0].status() == 200
            await asyncio.sleep(0.1)
            assert server.budget.held_bytes == 0

        limits = attrs.evolve(LIMITS, body_bytes=20_000, idle_timeout_s=9.0)
        run(scenario, handle, limits=limits)

    def test_a_request_that_got_no_turn_is_counted(self):
        metrics = observability.Metrics()
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return transport.Reply(200)

        async def scenario(server, connect):
            server.small_gate.max_wait_s = 0.01
            server.small_gate.max_bytes = 1
            first, second = await connect(), await connect()
            first.send(SMALL)
            while not server.small_gate.used_bytes_:
                await asyncio.sleep(0)
            second.send(SMALL)
            assert await second.status() == 503
            release.set()
            assert await first.status() == 200

        run(scenario, hold, metrics=metrics, name="callers")
        text = observability.render_text(metrics).decode()
        assert 'refused_total{reason="no-turn",server="callers"} 1' in text

    def test_crowd_on_one_address_leaves_another(self):
        async def scenario(server, connect):
            async def echo(request):
                return transport.Reply(200, request.body)

            other = transport.Server(
                f"127.0.0.1:{ports.free_port()}", echo, bounds=BOUNDS
            )
            other.start()
            client = transport.Client()
            await client.fetch(other.address, "POST", "/", b"x")
            for _ in range(3 * BOUNDS.connections):
                crowd = await connect()
                crowd.send(post(1000, b"x" * 999))
            answer = await client.fetch(other.address, "POST", "/", b"x")
            assert answer.status == 200
            assert len(other.budget.usages_) == 1
            other.stop()
            client.discard_peer(other.address)
            assert len(client.idle_) == 0

        run(scenario)


class TestResponses:

    def test_idle_connections_to_all_peers_are_bounded(self):
        async def scenario(server, connect):
            client = transport.Client(max_idle_connections=1)
            calls = (client.fetch(server.address, "GET", "/") for _ in "abc")
            await asyncio.gather(*calls)
            assert len(client.peers_[server.address].idle) == 1
            assert len(client.idle_) == 1
            await client.fetch(server.address, "GET", "/")
            assert len(client.idle_) == 1

        run(scenario)

    def test_connections_to_gone_peers_make_room_for_others(self):
        """They took up the bound for good, so that none was kept any more."""

        async def scenario(server, connect):
            client = transport.Client(max_idle_connections=1)
            await client.fetch(server.address, "GET", "/")
            gone = client.peers_.pop(server.address)
            await client.fetch(server.address, "GET", "/")
            assert not gone.idle
            assert len(client.peers_[server.address].idle) == 1

        run(scenario)

    def test_responses_over_the_budget_are_aborted(self):
        async def scenario(server, connect):
            client = transport.Client()
            client.response_budget = _response_budget.ResponseBudget(1000)
            answer = await client.fetch(server.address, "GET", "/")
            assert answer.reason is base.Reason.UNKNOWN_RESULT
            assert client.response_budget.held_bytes_ == 0
            server.handler = small
            answer = await client.fetch(server.address, "GET", "/")
            assert answer.body == b"x"
            assert client.response_budget.held_bytes_ == 0

        async def small(request):
            return transport.Reply(200, b"x")

        async def large(request):
            return transport.Reply(200, b"x" * 100_000)

        run(scenario, large)

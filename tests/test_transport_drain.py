"""Tests of what a server that stops owes to each of its connections."""

import asyncio
import socket

import ports
import pytest

from baobabdoor import base
from baobabdoor import transport
from baobabdoor.transport import _memory_budget

GET = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
BODY_UNDER_WAY = POST + b"\r\nab"
BOUNDS = _memory_budget.Bounds(1_000_000, 64, 500_000)
UNUSED_BODY = b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
LARGE = 8_000_000


class Connection:
    """A raw connection to the server."""

    def __init__(self, sock):
        self.sock = sock

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(sock=self.sock)
        return self

    def send(self, data):
        self.writer.write(data)

    async def reply(self):
        """Returns status, headers and body of the next whole reply."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 10.0)
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if line)
        length = int(headers.get("Content-Length", 0))
        body = await asyncio.wait_for(self.reader.readexactly(length), 10.0)
        return int(first.split()[1]), headers, body

    async def last_status(self):
        """Returns the status of a reply that closes the connection."""
        status, headers, _ = await self.reply()
        assert headers.get("Connection") == "close"
        assert await self.rest() == b""
        return status

    async def rest(self):
        """Returns what comes before the connection is closed."""
        return await asyncio.wait_for(self.reader.read(), 10.0)


class Handler:
    """Handles requests once they are released.

    Args:
        body: Body of each reply. Default: the path of the request.
    """

    def __init__(self, body=b""):
        self.body = body
        self.released = asyncio.Event()
        self.paths = []

    async def __call__(self, request):
        self.paths.append(request.path)
        await self.released.wait()
        return transport.Reply(200, self.body or request.path.encode())


def run(scenario, body=b"", released=True, **options):
    """Runs `scenario(server, connect, handler)` beside a server."""

    async def main():
        address = f"127.0.0.1:{ports.free_port()}"
        handler = Handler(body)
        if released:
            handler.released.set()
        options.setdefault("bounds", BOUNDS)
        server = transport.Server(address, handler, **options)
        server.start()
        connections = []

        def connect_socket(receive_buffer_bytes=0):
            sock = socket.socket()
            if receive_buffer_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
            host, _, port = address.rpartition(":")
            # The kernel completes it, also if the server does not run.
            sock.connect((host, int(port)))
            return sock

        async def connect(*data, receive_buffer_bytes=0, used=False):
            connection = Connection(connect_socket(receive_buffer_bytes))
            connections.append(await connection.open())
            if used:
                connection.send(GET)
                assert (await connection.reply())[0] == 200
                handler.paths.clear()
            for part in data:
                connection.send(part)
            return connection

        connect.socket = connect_socket
        try:
            await scenario(server, connect, handler)
        finally:
            server.stop()
            for connection in connections:
                connection.writer.close()

    asyncio.run(main())


async def until(condition):
    """Waits for a condition; fails if it is not met in 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def until_phase(server, phase, count=1):
    def count_phase():
        usages = server.budget.usages_.values()
        return sum(usage.phase.value == phase for usage in usages)

    await until(lambda: count_phase() == count)


class TestStartDraining:

    def test_each_reply_closes_its_connection(self):
        """Callers learnt of a stop only once the server did not listen."""

        async def scenario(server, connect, handler):
            old = await connect(used=True)
            server.start_draining()
            server.start_draining()
            new = await connect()
            for connection in old, new:
                connection.send(GET)
                assert await connection.last_status() == 200
            assert handler.paths == ["/a", "/a"]

        run(scenario)

    def test_reply_to_a_request_under_way_closes_its_connection(self):
        async def scenario(server, connect, handler):
            connections = [await connect(GET), await connect(BODY_UNDER_WAY)]
            await until_phase(server, "body")
            await until(lambda: handler.paths)
            server.start_draining()
            handler.released.set()
            connections[1].send(b"cd")
            for connection in connections:
                assert await connection.last_status() == 200

        run(scenario, released=False)

    def test_pipelined_request_is_not_handled(self):
        """A request after a reply that closes its connection was handled."""

        async def scenario(server, connect, handler):
            checked = []
            server.header_check = lambda request: checked.append(request.path)
            connection = await connect(GET + POST + b"\r\nabcd" + GET)
            await until(lambda: handler.paths)
            server.start_draining()
            handler.released.set()
            assert await connection.last_status() == 200
            await until(lambda: not server.budget.usages_)
            assert handler.paths == checked == ["/a"]

        run(scenario, released=False)

    def test_request_sent_after_the_last_reply_does_not_reset_it(self):
        """A reset discards a reply that its client has not read yet."""

        async def scenario(server, connect, handler):
            server.start_draining()
            sock = connect.socket()
            sock.sendall(GET)
            await until(lambda: handler.paths)
            await until(lambda: not server.budget.usages_)
            for _ in range(10):
                sock.sendall(GET)
                await asyncio.sleep(0.01)
            connection = await Connection(sock).open()
            assert await connection.last_status() == 200
            connection.writer.close()
            assert handler.paths == ["/a"]

        run(scenario)

    def test_large_reply_to_a_slow_reader_is_whole(self):
        async def scenario(server, connect, handler):
            connection = await connect(GET + GET, receive_buffer_bytes=4096)
            await until_phase(server, "writing")
            assert server.pending_requests == 1
            server.start_draining()
            server.stop_accepting()
            server.refuse_unfinished()
            (record,) = server.open_requests()
            assert (record.phase, record.path) == ("writing", "/a")
            status, _, body = await connection.reply()
            assert (status, len(body)) == (200, LARGE)

        async def closing(server, connect, handler):
            server.start_draining()
            connection = await connect(GET, receive_buffer_bytes=4096)
            await until_phase(server, "writing")
            assert server.pending_requests == 1
            status, headers, body = await connection.reply()
            assert (status, len(body)) == (200, LARGE)
            assert headers["Connection"] == "close"
            assert await connection.rest() == b""
            assert server.pending_requests == 0

        run(scenario, b"x" * LARGE)
        run(closing, b"x" * LARGE)

    def test_dozens_of_last_replies_are_not_reset(self):
        """Only 16 connections at a time were read after their reply."""

        async def scenario(server, connect, handler):
            # The body is not used, so the connection is closed before it is
            # read, and the client goes on to send.
            connections = [await connect(UNUSED_BODY) for _ in range(60)]
            await until(lambda: len(handler.paths) == 60)
            server.start_draining()
            handler.released.set()
            await until(lambda: not server.budget.usages_)
            for _ in range(5):
                for connection in connections:
                    connection.send(b"x" * 1000)
                await asyncio.sleep(0.005)
            for connection in connections:
                assert await connection.last_status() == 200

        run(scenario, released=False)

    def test_refused_bodies_of_all_connections_are_not_reset(self):
        """The last of them found no room among those that linger."""

        async def scenario(server, connect, handler):
            connections = [
                await connect(UNUSED_BODY.replace(b"GET", b"POST"))
                for _ in range(BOUNDS.connections)
            ]
            await until_phase(server, "body", BOUNDS.connections)
            server.refuse_unfinished()
            assert len(server.listener.lingering) == BOUNDS.connections
            for connection in connections:
                connection.send(b"x" * 1000)
            for connection in connections:
                assert await connection.last_status() == 503

        run(scenario)

    def test_lingering_connections_make_room_for_new_ones(self):
        """Open and lingering connections were twice the bound together."""

        async def scenario(server, connect, handler):
            server.start_draining()
            for _ in range(BOUNDS.connections):
                await connect(GET)
            await until(lambda: len(handler.paths) == BOUNDS.connections)
            assert len(server.listener.lingering) > 16
            for _ in range(BOUNDS.connections):
                await connect()
            await until(
                lambda: len(server.budget.usages_) == BOUNDS.connections
            )
            assert len(server.listener.lingering) <= 16

        run(scenario)


class TestEarlyReplies:
    """Replies that are decided before the request has been read."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\nab",
                413,
            ),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n", 431),
            (POST + b"Expect: 100-continue\r\n\r\n", 404),
            (POST + b"\r\n", 404),
            (b"POST / HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        ],
        ids=["413", "431", "expect", "body", "no-body"],
    )
    @pytest.mark.parametrize("call", ["start_draining", "refuse_unfinished"])
    def test_reply_is_whole_and_closes_the_connection(self, call, data, status):
        async def scenario(server, connect, handler):
            connection = await connect()
            await until(lambda: server.budget.usages_)
            getattr(server, call)()
            connection.send(data)
            if call == "refuse_unfinished" and status != 431:
                assert await connection.last_status() == 503
            else:
                assert await connection.last_status() == status
            assert not handler.paths

        def check(request):
            del request
            return transport.Reply(404)

        run(scenario, check_header=check)

    def test_large_reply_of_a_check_is_whole(self):
        """The connection was closed before the reply was flushed."""

        async def scenario(server, connect, handler):
            connection = await connect(
                POST + b"Expect: 100-continue\r\n\r\n",
                receive_buffer_bytes=4096,
            )
            await until_phase(server, "writing")
            assert server.pending_requests == 1
            status, _, body = await connection.reply()
            assert (status, len(body)) == (404, LARGE)
            assert await connection.rest() == b""
            assert not handler.paths

        def check(request):
            del request
            return transport.Reply(404, b"x" * LARGE)

        run(scenario, check_header=check)

    def test_large_reply_to_a_request_with_an_unused_body_is_whole(self):
        async def scenario(server, connect, handler):
            connection = await connect(
                b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nab",
                receive_buffer_bytes=4096,
            )
            await until_phase(server, "writing")
            connection.send(b"x" * 8998)
            status, _, body = await connection.reply()
            assert (status, len(body)) == (200, LARGE)
            assert await connection.rest() == b""
            assert server.budget.held_bytes == 0

        run(scenario, b"x" * LARGE)


class TestStopAccepting:

    def test_idle_connections_are_closed(self):
        """They took new requests until the process was gone."""

        async def scenario(server, connect, handler):
            connections = [await connect(used=True) for _ in range(40)]
            server.start_draining()
            server.stop_accepting()
            for connection in connections:
                assert await connection.rest() == b""
            await until(lambda: server.pending_requests == 0)
            assert not server.budget.usages_

        run(scenario)

    def test_connections_in_the_backlog_are_answered(self):
        async def scenario(server, connect, handler):
            connections = []
            for _ in range(30):
                sock = connect.socket()
                sock.sendall(GET)
                connections.append(sock)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 30
            for sock in connections:
                connection = await Connection(sock).open()
                assert await connection.last_status() == 200
                connection.writer.close()
            await until(lambda: server.pending_requests == 0)

        run(scenario)

    def test_request_in_the_kernel_is_answered(self):
        """A connection counted as idle while its request was not read yet."""

        async def scenario(server, connect, handler):
            sock = connect.socket()
            connection = await Connection(sock).open()
            connection.send(GET)
            assert (await connection.reply())[0] == 200
            await asyncio.sleep(0.4)
            # The loop of the server gets no turn before the next calls.
            sock.send(GET)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 1
            assert await connection.last_status() == 200
            connection.writer.close()

        run(scenario)

    def test_accepted_connection_may_send_its_first_request(self):
        async def scenario(server, connect, handler):
            connection = await connect()
            await until(lambda: server.budget.usages_)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 1
            await asyncio.sleep(0.02)
            connection.send(GET)
            assert await connection.last_status() == 200

        run(scenario)

    def test_accepted_connection_that_sends_nothing_is_closed(self):
        async def scenario(server, connect, handler):
            connection = await connect()
            await until(lambda: server.budget.usages_)
            server.stop()
            assert await connection.rest() == b""
            await until(lambda: server.pending_requests == 0)

        run(scenario)

    def test_requests_under_way_are_answered(self):
        async def scenario(server, connect, handler):
            connections = [
                await connect(GET),
                await connect(BODY_UNDER_WAY),
                await connect(GET[:20]),
            ]
            await until_phase(server, "handling")
            await until_phase(server, "body")
            await until_phase(server, "header")
            server.stop()
            assert server.pending_requests == 3
            connections[1].send(b"cd")
            connections[2].send(GET[20:])
            handler.released.set()
            for connection in connections:
                assert await connection.last_status() == 200
            await until(lambda: server.pending_requests == 0)

        run(scenario, released=False)

    def test_connection_that_falls_idle_later_is_closed(self):
        """Its reply was written before the stop and does not close it."""

        async def scenario(server, connect, handler):
            connection = await connect(GET, receive_buffer_bytes=4096)
            await until_phase(server, "writing")
            server.stop()
            status, headers, body = await connection.reply()
            assert (status, len(body)) == (200, LARGE)
            assert "Connection" not in headers
            assert await connection.rest() == b""

        run(scenario, b"x" * LARGE)


class TestRefuseUnfinished:

    @pytest.mark.parametrize(
        "data",
        [
            BODY_UNDER_WAY,
            POST + b"Expect: 100-continue\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na",
        ],
        ids=["body", "expect", "chunked"],
    )
    def test_body_under_way_is_refused(self, data):
        async def scenario(server, connect, handler):
            connection = await connect(data)
            await until_phase(server, "body")
            server.stop()
            server.refuse_unfinished()
            head = b""
            if b"Expect" in data:
                head = await connection.reader.readuntil(b"\r\n\r\n")
                assert b" 100 " in head
            status, headers, _ = await connection.reply()
            assert status == 503
            assert headers["Connection"] == "close"
            assert int(headers["Retry-After"]) > 0
            connection.send(b"rest of the body")
            assert await connection.rest() == b""
            assert not handler.paths

        run(scenario)

    def test_client_that_still_sends_its_body_gets_the_refusal(self):
        """The end of a process with a refused body resets its connection."""

        async def scenario(server, connect, handler):
            connection = await connect(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
            )
            await until_phase(server, "body")
            server.stop()
            server.refuse_unfinished()
            assert server.pending_requests == 1
            for _ in range(10):
                connection.send(b"x" * 10_000)
                await asyncio.sleep(0.005)
            assert await connection.last_status() == 503
            connection.writer.close()
            await until(lambda: server.pending_requests == 0)

        run(scenario)

    def test_incomplete_header_is_closed(self):
        async def scenario(server, connect, handler):
            connection = await connect(GET[:20])
            await until_phase(server, "header")
            server.stop()
            server.refuse_unfinished()
            assert await connection.rest() == b""
            await until(lambda: server.pending_requests == 0)
            assert server.closures_of("stop") == 1

        counts = {}

        class Metrics:

            def count(self, name, labels):
                counts[labels["reason"]] = counts.get(labels["reason"], 0) + 1

        async def with_counts(server, connect, handler):
            server.closures_of = counts.get
            await scenario(server, connect, handler)

        run(with_counts, metrics=Metrics())

    def test_new_requests_are_refused_without_a_handler(self):
        async def scenario(server, connect, handler):
            old = await connect(used=True)
            fresh = await connect()
            server.start_draining()
            server.refuse_unfinished()
            later = await connect()
            for connection, data in [
                (old, GET),
                (fresh, POST + b"\r\nabcd"),
                (later, GET + GET),
            ]:
                connection.send(data)
                assert await connection.last_status() == 503
            assert not handler.paths

        run(scenario)

    def test_reply_is_the_one_that_was_given(self):
        async def scenario(server, connect, handler):
            connection = await connect(BODY_UNDER_WAY)
            await until_phase(server, "body")
            server.refuse_unfinished(transport.Reply(503, b"stopping"))
            assert (await connection.reply())[2] == b"stopping"

        run(scenario)

    def test_request_that_is_handled_is_answered(self):
        async def scenario(server, connect, handler):
            connection = await connect(GET)
            await until(lambda: handler.paths)
            server.stop()
            server.refuse_unfinished()
            await asyncio.sleep(0.1)
            assert server.pending_requests == 1
            handler.released.set()
            assert await connection.last_status() == 200

        run(scenario, released=False)

    def test_request_that_was_read_before_is_handled(self):
        """It may be read in whole before its handler is called."""

        async def scenario(server, connect, handler):
            connection = await connect(GET)
            called = []

            def check(request):
                del request
                asyncio.get_running_loop().call_soon(
                    lambda: called.append(server.refuse_unfinished())
                )

            server.header_check = check
            assert await connection.last_status() == 200
            assert called

        run(scenario)


class TestPendingRequests:

    def test_request_counts_from_its_first_byte_to_its_last(self):
        """Requests without a running handler did not count."""

        async def scenario(server, connect, handler):
            assert server.pending_requests == 0
            connection = await connect(used=True)
            await until_phase(server, "idle")
            assert server.pending_requests == 0
            for part, phase in (
                (POST, "header"),
                (b"\r\nab", "body"),
                (b"cd", "handling"),
            ):
                if phase == "handling":
                    handler.released.clear()
                connection.send(part)
                await until_phase(server, phase)
                assert server.pending_requests == 1
            handler.released.set()
            assert (await connection.reply())[0] == 200
            await until_phase(server, "idle")
            assert server.pending_requests == 0

        run(scenario)

    def test_whole_request_counts_before_its_handler_is_called(self):
        """A server whose request had no running handler counted 0."""

        async def scenario(server, connect, handler):
            seen = []

            def observe():
                seen.append((server.pending_requests, list(handler.paths)))

            def check(request):
                del request
                asyncio.get_running_loop().call_soon(observe)

            server.header_check = check
            # Both are read at once, so the second is not read from the socket.
            connection = await connect(GET + GET)
            for _ in range(2):
                assert (await connection.reply())[0] == 200
            assert [count for count, _ in seen] == [1, 1]

        run(scenario)

    def test_closed_connection_does_not_count(self):
        async def scenario(server, connect, handler):
            connection = await connect(GET)
            await until(lambda: handler.paths)
            assert server.pending_requests == 1
            connection.writer.close()
            await until(lambda: server.pending_requests == 0)
            assert server.in_progress == 1
            handler.released.set()
            await until(lambda: server.in_progress == 0)

        run(scenario, released=False)

    def test_part_of_a_pipelined_request_counts(self):
        async def scenario(server, connect, handler):
            connection = await connect(GET + GET[:20])
            assert (await connection.reply())[0] == 200
            await until(lambda: server.open_requests()[0].phase == "header")
            assert server.pending_requests == 1
            server.stop()
            connection.send(GET[20:])
            assert await connection.last_status() == 200

        run(scenario)


class TestOpenRequests:

    def test_records_tell_how_far_each_request_is(self):
        async def scenario(server, connect, handler):
            await connect(used=True)
            handler.released.clear()
            await connect(GET[:20])
            await connect(BODY_UNDER_WAY)
            connection = await connect(GET)
            await until(lambda: len(server.open_requests()) == 3)
            await until(lambda: handler.paths)
            await until_phase(server, "body")
            records = {each.phase: each for each in server.open_requests()}
            assert set(records) == {"header", "body", "handling"}
            assert records["header"].method == records["header"].path == ""
            assert not records["header"].headers
            assert records["body"].method == "POST"
            handled = records["handling"]
            assert (handled.server, handled.path) == ("callers", "/a")
            assert handled.headers["X-Id"] == "7"
            assert handled.age_s >= 0
            host, port = connection.sock.getsockname()
            assert handled.connection == f"{host}:{port}"

        run(scenario, name="callers")


class TestClient:

    def test_connection_of_a_closing_response_is_not_reused(self):
        """A call on it ended without an answer once the server closed it."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nConnection: Close\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            # The close comes later than the response.
            await asyncio.sleep(0.2)
            writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = transport.Client()
            for _ in range(3):
                answer = await client.fetch(f"127.0.0.1:{port}", "GET", "/")
                assert answer.status == 200
            assert client.peers_[f"127.0.0.1:{port}"].open_count == 0
            assert not client.idle_
            server.close()

        asyncio.run(scenario())

    def test_calls_that_wait_in_a_pool_end_with_a_result(self):
        """Calls beyond the maximum of open connections wait for one."""

        async def scenario(server, connect, handler):
            client = transport.Client()
            calls = [
                asyncio.ensure_future(
                    client.fetch(server.address, "GET", "/a", timeout_s=10.0)
                )
                for _ in range(70)
            ]
            await until(lambda: len(handler.paths) == 24)
            server.start_draining()
            handler.released.set()
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * 70

        run(scenario, released=False)

    def test_calls_that_wait_are_refused_once_the_server_has_stopped(self):
        async def scenario(server, connect, handler):
            client = transport.Client()
            calls = [
                asyncio.ensure_future(
                    client.fetch(server.address, "GET", "/a", timeout_s=10.0)
                )
                for _ in range(70)
            ]
            await until(lambda: len(handler.paths) == 24)
            server.stop()
            handler.released.set()
            answers = await asyncio.gather(*calls)
            refused = [a for a in answers if isinstance(a, base.Refusal)]
            assert len(answers) - len(refused) == 24
            for refusal in refused:
                assert refusal.reason is base.Reason.CONNECTION_FAILED

        run(scenario, released=False)

    def test_cancelled_call_passes_its_turn_on(self):
        """A call that was cancelled once its turn had come kept the turn."""

        async def scenario(server, connect, handler):
            client = transport.Client()

            def fetch():
                return asyncio.ensure_future(
                    client.fetch(server.address, "GET", "/a", timeout_s=10.0)
                )

            calls = [fetch() for _ in range(24)]
            await until(lambda: len(handler.paths) == 24)
            waiting = [fetch(), fetch()]
            peer = client.peers_[server.address]
            await until(lambda: len(peer.waiters) == 2)
            turn = peer.waiters[0]
            turn.add_done_callback(lambda _: waiting[0].cancel())
            calls[0].cancel()
            await until(lambda: len(handler.paths) == 25)
            handler.released.set()
            assert (await waiting[1]).status == 200
            await asyncio.wait(calls + waiting)

        run(scenario, released=False)

"""Tests of the connections of a server that stops."""

import asyncio

import drains
import pytest

from baobabdoor import transport


class TestStartDraining:

    def test_each_reply_closes_its_connection(self):
        """Callers learnt of a stop only once the server did not listen."""

        async def scenario(server, connect, handler):
            old = await connect(used=True)
            server.start_draining()
            server.start_draining()
            new = await connect()
            for connection in old, new:
                connection.send(drains.GET)
                assert await connection.last_status() == 200
            assert handler.paths == ["/a", "/a"]

        drains.run(scenario)

    def test_reply_to_a_request_under_way_closes_its_connection(self):
        async def scenario(server, connect, handler):
            connections = [
                await connect(drains.GET),
                await connect(drains.BODY_UNDER_WAY),
            ]
            await drains.until_phase(server, "body")
            await drains.until(lambda: handler.paths)
            server.start_draining()
            handler.released.set()
            connections[1].send(b"cd")
            for connection in connections:
                assert await connection.last_status() == 200

        drains.run(scenario, released=False)

    def test_pipelined_request_is_not_handled(self):
        """A request after a reply that closes its connection was handled."""

        async def scenario(server, connect, handler):
            checked = []
            server.header_check = lambda request: checked.append(request.path)
            connection = await connect(
                drains.GET + drains.POST + b"\r\nabcd" + drains.GET
            )
            await drains.until(lambda: handler.paths)
            server.start_draining()
            handler.released.set()
            assert await connection.last_status() == 200
            await drains.until(lambda: not server.budget.usages_)
            assert handler.paths == checked == ["/a"]

        drains.run(scenario, released=False)

    def test_request_sent_after_the_last_reply_does_not_reset_it(self):
        """A reset discards a reply that its client has not read yet."""

        async def scenario(server, connect, handler):
            server.start_draining()
            sock = connect.socket()
            sock.sendall(drains.GET)
            await drains.until(lambda: handler.paths)
            await drains.until(lambda: not server.budget.usages_)
            for _ in range(10):
                sock.sendall(drains.GET)
                await asyncio.sleep(0.01)
            connection = await drains.Connection(sock).open()
            assert await connection.last_status() == 200
            connection.writer.close()
            assert handler.paths == ["/a"]

        drains.run(scenario)

    def test_large_reply_to_a_slow_reader_is_whole(self):
        async def scenario(server, connect, handler):
            connection = await connect(
                drains.GET + drains.GET, receive_buffer_bytes=4096
            )
            await drains.until_phase(server, "writing")
            assert server.pending_requests == 1
            server.start_draining()
            server.stop_accepting()
            server.refuse_unfinished()
            (record,) = server.open_requests()
            assert (record.phase, record.path) == ("writing", "/a")
            status, _, body = await connection.reply()
            assert (status, len(body)) == (200, drains.LARGE)

        async def closing(server, connect, handler):
            server.start_draining()
            connection = await connect(drains.GET, receive_buffer_bytes=4096)
            await drains.until_phase(server, "writing")
            assert server.pending_requests == 1
            status, headers, body = await connection.reply()
            assert (status, len(body)) == (200, drains.LARGE)
            assert headers["Connection"] == "close"
            assert await connection.rest() == b""
            assert server.pending_requests == 0

        drains.run(scenario, b"x" * drains.LARGE)
        drains.run(closing, b"x" * drains.LARGE)

    def test_dozens_of_last_replies_are_not_reset(self):
        """Only 16 connections at a time were read after their reply."""

        async def scenario(server, connect, handler):
            # The body is not used, so the connection is closed before it is
            # read, and the client goes on to send.
            connections = [await connect(drains.UNUSED_BODY) for _ in range(60)]
            await drains.until(lambda: len(handler.paths) == 60)
            server.start_draining()
            handler.released.set()
            await drains.until(lambda: not server.budget.usages_)
            for _ in range(5):
                for connection in connections:
                    connection.send(b"x" * 1000)
                await asyncio.sleep(0.005)
            for connection in connections:
                assert await connection.last_status() == 200

        drains.run(scenario, released=False)

    def test_refused_bodies_of_all_connections_are_not_reset(self):
        """The last of them found no room among those that linger."""

        async def scenario(server, connect, handler):
            connections = [
                await connect(drains.UNUSED_BODY.replace(b"GET", b"POST"))
                for _ in range(drains.BOUNDS.connections)
            ]
            await drains.until_phase(server, "body", drains.BOUNDS.connections)
            server.refuse_unfinished()
            assert len(server.listener.lingering) == drains.BOUNDS.connections
            for connection in connections:
                connection.send(b"x" * 1000)
            for connection in connections:
                assert await connection.last_status() == 503

        drains.run(scenario)

    def test_lingering_connections_make_room_for_new_ones(self):
        """Open and lingering connections were twice the bound together."""

        async def scenario(server, connect, handler):
            server.start_draining()
            for _ in range(drains.BOUNDS.connections):
                await connect(drains.GET)
            await drains.until(
                lambda: len(handler.paths) == drains.BOUNDS.connections
            )
            assert len(server.listener.lingering) > 16
            for _ in range(drains.BOUNDS.connections):
                await connect()
            await drains.until(
                lambda: len(server.budget.usages_) == drains.BOUNDS.connections
            )
            assert len(server.listener.lingering) <= 16

        drains.run(scenario)


class TestEarlyReplies:
    """Replies that are decided before the request has been read."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n",
                413,
            ),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n", 431),
            (drains.POST + b"Expect: 100-continue\r\n\r\n", 404),
            (drains.POST + b"\r\n", 404),
            (b"POST / HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        ],
        ids=["413", "431", "expect", "body", "no-body"],
    )
    @pytest.mark.parametrize("call", ["start_draining", "refuse_unfinished"])
    def test_reply_is_whole_and_closes_the_connection(self, call, data, status):
        async def scenario(server, connect, handler):
            connection = await connect()
            await drains.until(lambda: server.budget.usages_)
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

        drains.run(scenario, check_header=check)

    def test_large_reply_of_a_check_is_whole(self):
        """The connection was closed before the reply was flushed."""

        async def scenario(server, connect, handler):
            connection = await connect(
                drains.POST + b"Expect: 100-continue\r\n\r\n",
                receive_buffer_bytes=4096,
            )
            await drains.until_phase(server, "writing")
            assert server.pending_requests == 1
            status, _, body = await connection.reply()
            assert (status, len(body)) == (404, drains.LARGE)
            assert await connection.rest() == b""
            assert not handler.paths

        def check(request):
            del request
            return transport.Reply(404, b"x" * drains.LARGE)

        drains.run(scenario, check_header=check)

    def test_large_reply_to_a_request_with_an_unused_body_is_whole(self):
        async def scenario(server, connect, handler):
            connection = await connect(
                b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nab",
                receive_buffer_bytes=4096,
            )
            await drains.until_phase(server, "writing")
            connection.send(b"x" * 8998)
            status, _, body = await connection.reply()
            assert (status, len(body)) == (200, drains.LARGE)
            assert await connection.rest() == b""
            assert server.budget.held_bytes == 0

        drains.run(scenario, b"x" * drains.LARGE)


class TestStopAccepting:

    def test_idle_connections_are_closed(self):
        """They took new requests until the process was gone."""

        async def scenario(server, connect, handler):
            connections = [await connect(used=True) for _ in range(40)]
            server.start_draining()
            server.stop_accepting()
            for connection in connections:
                assert await connection.rest() == b""
            await drains.until(lambda: server.pending_requests == 0)
            assert not server.budget.usages_

        drains.run(scenario)

    def test_connections_in_the_backlog_are_answered(self):
        async def scenario(server, connect, handler):
            connections = []
            for _ in range(30):
                sock = connect.socket()
                sock.sendall(drains.GET)
                connections.append(sock)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 30
            for sock in connections:
                connection = await drains.Connection(sock).open()
                assert await connection.last_status() == 200
                connection.writer.close()
            await drains.until(lambda: server.pending_requests == 0)

        drains.run(scenario)

    def test_request_in_the_kernel_is_answered(self):
        """A connection counted as idle while its request was not read yet."""

        async def scenario(server, connect, handler):
            sock = connect.socket()
            connection = await drains.Connection(sock).open()
            connection.send(drains.GET)
            assert (await connection.reply())[0] == 200
            await asyncio.sleep(0.4)
            # The loop of the server gets no turn before the next calls.
            sock.send(drains.GET)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 1
            assert await connection.last_status() == 200
            connection.writer.close()

        drains.run(scenario)

    def test_accepted_connection_may_send_its_first_request(self):
        async def scenario(server, connect, handler):
            connection = await connect()
            await drains.until(lambda: server.budget.usages_)
            server.start_draining()
            server.stop_accepting()
            assert server.pending_requests == 1
            await asyncio.sleep(0.02)
            connection.send(drains.GET)
            assert await connection.last_status() == 200

        drains.run(scenario)

    def test_accepted_connection_that_sends_nothing_is_closed(self):
        async def scenario(server, connect, handler):
            connection = await connect()
            await drains.until(lambda: server.budget.usages_)
            server.stop()
            assert await connection.rest() == b""
            await drains.until(lambda: server.pending_requests == 0)

        drains.run(scenario)

    def test_requests_under_way_are_answered(self):
        async def scenario(server, connect, handler):
            connections = [
                await connect(drains.GET),
                await connect(drains.BODY_UNDER_WAY),
                await connect(drains.GET[:20]),
            ]
            await drains.until_phase(server, "handling")
            await drains.until_phase(server, "body")
            await drains.until_phase(server, "header")
            server.stop()
            assert server.pending_requests == 3
            connections[1].send(b"cd")
            connections[2].send(drains.GET[20:])
            handler.released.set()
            for connection in connections:
                assert await connection.last_status() == 200
            await drains.until(lambda: server.pending_requests == 0)

        drains.run(scenario, released=False)

    def test_connection_that_falls_idle_later_is_closed(self):
        """Its reply was written before the stop and does not close it."""

        async def scenario(server, connect, handler):
            connection = await connect(drains.GET, receive_buffer_bytes=4096)
            await drains.until_phase(server, "writing")
            server.stop()
            status, headers, body = await connection.reply()
            assert (status, len(body)) == (200, drains.LARGE)
            assert "Connection" not in headers
            assert await connection.rest() == b""

        drains.run(scenario, b"x" * drains.LARGE)

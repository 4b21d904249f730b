"""Tests of the requests that a server refuses or counts when it stops."""

import asyncio

import drains
import pytest

from baobabdoor import transport


class TestRefuseUnfinished:

    @pytest.mark.parametrize(
        "data",
        [
            drains.BODY_UNDER_WAY,
            drains.POST + b"Expect: 100-continue\r\n\r\n",
            drains.CHUNKED + b"2\r\na",
        ],
        ids=["body", "expect", "chunked"],
    )
    def test_body_under_way_is_refused(self, data):
        async def scenario(server, connect, handler):
            connection = await connect(data)
            await drains.until_phase(server, "body")
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

        drains.run(scenario)

    def test_client_that_still_sends_its_body_gets_the_refusal(self):
        """The end of a process with a refused body resets its connection."""

        async def scenario(server, connect, handler):
            connection = await connect(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
            )
            await drains.until_phase(server, "body")
            server.stop()
            server.refuse_unfinished()
            assert server.pending_requests == 1
            for _ in range(10):
                connection.send(b"x" * 10_000)
                await asyncio.sleep(0.005)
            assert await connection.last_status() == 503
            connection.writer.close()
            await drains.until(lambda: server.pending_requests == 0)

        drains.run(scenario)

    def test_incomplete_header_is_closed(self):
        async def scenario(server, connect, handler):
            connection = await connect(drains.GET[:20])
            await drains.until_phase(server, "header")
            server.stop()
            server.refuse_unfinished()
            assert await connection.rest() == b""
            await drains.until(lambda: server.pending_requests == 0)
            assert server.closures_of("stop") == 1

        counts = {}

        class Metrics:

            def count(self, name, labels):
                counts[labels["reason"]] = counts.get(labels["reason"], 0) + 1

        async def with_counts(server, connect, handler):
            server.closures_of = counts.get
            await scenario(server, connect, handler)

        drains.run(with_counts, metrics=Metrics())

    def test_new_requests_are_refused_without_a_handler(self):
        async def scenario(server, connect, handler):
            old = await connect(used=True)
            fresh = await connect()
            server.start_draining()
            server.refuse_unfinished()
            later = await connect()
            for connection, data in [
                (old, drains.GET),
                (fresh, drains.POST + b"\r\nabcd"),
                (later, drains.GET + drains.GET),
            ]:
                connection.send(data)
                assert await connection.last_status() == 503
            assert not handler.paths

        drains.run(scenario)

    def test_reply_is_the_one_that_was_given(self):
        async def scenario(server, connect, handler):
            connection = await connect(drains.BODY_UNDER_WAY)
            await drains.until_phase(server, "body")
            server.refuse_unfinished(transport.Reply(503, b"stopping"))
            assert (await connection.reply())[2] == b"stopping"

        drains.run(scenario)

    def test_request_that_is_handled_is_answered(self):
        async def scenario(server, connect, handler):
            connection = await connect(drains.GET)
            await drains.until(lambda: handler.paths)
            server.stop()
            server.refuse_unfinished()
            await asyncio.sleep(0.1)
            assert server.pending_requests == 1
            handler.released.set()
            assert await connection.last_status() == 200

        drains.run(scenario, released=False)

    def test_request_that_was_read_before_is_handled(self):
        """It may be read in whole before its handler is called."""

        async def scenario(server, connect, handler):
            connection = await connect(drains.GET)
            called = []

            def check(request):
                del request
                asyncio.get_running_loop().call_soon(
                    lambda: called.append(server.refuse_unfinished())
                )

            server.header_check = check
            assert await connection.last_status() == 200
            assert called

        drains.run(scenario)


class TestPendingRequests:

    def test_request_counts_from_its_first_byte_to_its_last(self):
        """Requests without a running handler did not count."""

        async def scenario(server, connect, handler):
            assert server.pending_requests == 0
            connection = await connect(used=True)
            await drains.until_phase(server, "idle")
            assert server.pending_requests == 0
            for part, phase in (
                (drains.POST, "header"),
                (b"\r\nab", "body"),
                (b"cd", "handling"),
            ):
                if phase == "handling":
                    handler.released.clear()
                connection.send(part)
                await drains.until_phase(server, phase)
                assert server.pending_requests == 1
            handler.released.set()
            assert (await connection.reply())[0] == 200
            await drains.until_phase(server, "idle")
            assert server.pending_requests == 0

        drains.run(scenario)

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
            connection = await connect(drains.GET + drains.GET)
            for _ in range(2):
                assert (await connection.reply())[0] == 200
            assert [count for count, _ in seen] == [1, 1]

        drains.run(scenario)

    def test_closed_connection_does_not_count(self):
        async def scenario(server, connect, handler):
            connection = await connect(drains.GET)
            await drains.until(lambda: handler.paths)
            assert server.pending_requests == 1
            connection.writer.close()
            await drains.until(lambda: server.pending_requests == 0)
            assert server.in_progress == 1
            handler.released.set()
            await drains.until(lambda: server.in_progress == 0)

        drains.run(scenario, released=False)

    def test_part_of_a_pipelined_request_counts(self):
        async def scenario(server, connect, handler):
            connection = await connect(drains.GET + drains.GET[:20])
            assert (await connection.reply())[0] == 200
            await drains.until(
                lambda: server.open_requests()[0].phase == "header"
            )
            assert server.pending_requests == 1
            server.stop()
            connection.send(drains.GET[20:])
            assert await connection.last_status() == 200

        drains.run(scenario)


class TestOpenRequests:

    def test_records_tell_how_far_each_request_is(self):
        async def scenario(server, connect, handler):
            await connect(used=True)
            handler.released.clear()
            await connect(drains.GET[:20])
            await connect(drains.BODY_UNDER_WAY)
            connection = await connect(drains.GET)
            await drains.until(lambda: len(server.open_requests()) == 3)
            await drains.until(lambda: handler.paths)
            await drains.until_phase(server, "body")
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

        drains.run(scenario, name="callers")

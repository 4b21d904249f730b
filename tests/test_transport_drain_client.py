"""Tests of calls to a server that stops."""

import asyncio

import drains

from baobabdoor import base
from baobabdoor import transport


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
            await drains.until(lambda: len(handler.paths) == 24)
            server.start_draining()
            handler.released.set()
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * 70

        drains.run(scenario, released=False)

    def test_calls_that_wait_are_refused_once_the_server_has_stopped(self):
        async def scenario(server, connect, handler):
            client = transport.Client()
            calls = [
                asyncio.ensure_future(
                    client.fetch(server.address, "GET", "/a", timeout_s=10.0)
                )
                for _ in range(70)
            ]
            await drains.until(lambda: len(handler.paths) == 24)
            server.stop()
            handler.released.set()
            answers = await asyncio.gather(*calls)
            refused = [a for a in answers if isinstance(a, base.Refusal)]
            assert len(answers) - len(refused) == 24
            for refusal in refused:
                assert refusal.reason is base.Reason.CONNECTION_FAILED

        drains.run(scenario, released=False)

    def test_cancelled_call_passes_its_turn_on(self):
        """Guards against a turn that is lost with the call that had it."""

        async def scenario(server, connect, handler):
            client = transport.Client()

            def fetch():
                return asyncio.ensure_future(
                    client.fetch(server.address, "GET", "/a", timeout_s=10.0)
                )

            calls = [fetch() for _ in range(24)]
            await drains.until(lambda: len(handler.paths) == 24)
            waiting = [fetch(), fetch()]
            peer = client.peers_[server.address]
            await drains.until(lambda: len(peer.waiters) == 2)
            turn = peer.waiters[0]
            turn.add_done_callback(lambda _: waiting[0].cancel())
            calls[0].cancel()
            await drains.until(lambda: len(handler.paths) == 25)
            handler.released.set()
            assert (await waiting[1]).status == 200
            await asyncio.wait(calls + waiting)

        drains.run(scenario, released=False)

    def test_call_that_still_sends_its_body_gets_the_refusal(self):
        """Guards against an unknown result of a call that was refused."""

        async def scenario(server, connect, handler):
            client = transport.Client()
            body = b"x" * 900_000
            await client.fetch(server.address, "POST", "/", body[:1])
            server.refuse_unfinished()
            calls = [
                client.fetch(server.address, "POST", "/", body, timeout_s=10.0)
                for _ in range(20)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [503] * 20
            assert len(handler.paths) == 1

        drains.run(scenario, receive_buffer_bytes=16_384)

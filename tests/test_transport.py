"""Tests of HTTP between processes."""

import asyncio
import errno
import socket

import ports
import pytest
from tornado import iostream

from baobabdoor import base
from baobabdoor import transport


class TestTransport:

    def run(self, handler, scenario):
        # Tests run in parallel processes, so each uses a free port.
        address = f"127.0.0.1:{ports.free_port()}"

        async def main():
            server = transport.Server(address, handler)
            server.start()
            client = transport.Client()
            try:
                await scenario(client, address)
            finally:
                server.stop()
                client.discard_peer(address)

        asyncio.run(main())

    async def echo(self, request):
        return transport.Reply(200, request.body, "X-Path: p\r\n")

    def test_connection_is_reused(self):
        async def scenario(client, address):
            for number in range(3):
                body = f"{number}".encode()
                answer = await client.fetch(address, "POST", "/x", body)
                assert (answer.status, answer.body) == (200, body)
            assert len(client.peers_[address].idle) == 1

        self.run(self.echo, scenario)

    def test_timed_out_call_is_unknown_and_closes_its_connection(self):
        async def slow(request):
            await asyncio.sleep(0.5)
            return transport.Reply(200, request.body)

        async def scenario(client, address):
            answer = await client.fetch(
                address, "POST", "/x", b"a", timeout_s=0.1
            )
            assert answer.reason is base.Reason.UNKNOWN_RESULT
            assert not client.peers_[address].idle

        self.run(slow, scenario)

    def test_timed_out_call_resets_its_connection(self):
        """Undelivered bytes would be delivered once a partition heals."""

        async def scenario():
            ends = []
            ended = asyncio.Event()

            async def accept(reader, writer):
                try:
                    while await reader.read(1000):
                        pass
                    ends.append("closed")
                except ConnectionResetError:
                    ends.append("reset")
                writer.close()
                ended.set()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            await transport.Client().fetch(
                f"127.0.0.1:{port}", "POST", "/x", b"a", timeout_s=0.1
            )
            await asyncio.wait_for(ended.wait(), 2)
            server.close()
            assert ends == ["reset"]

        asyncio.run(scenario())

    def test_nothing_is_sent_after_the_permit_expired(self):
        served = []

        async def record_path(request):
            served.append(request.path)
            return transport.Reply(200)

        async def scenario(client, address):
            answer = await client.fetch(
                address, "POST", "/x", permit=lambda: False
            )
            assert answer.reason is base.Reason.CONNECTION_FAILED
            assert (await client.fetch(address, "POST", "/y")).status == 200
            assert served == ["/y"]

        self.run(record_path, scenario)

    def test_refused_connection_is_reported_as_not_sent(self):
        async def scenario(client, address):
            answer = await client.fetch("127.0.0.1:1", "GET", "/")
            assert answer.reason is base.Reason.CONNECTION_FAILED

        self.run(self.echo, scenario)

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:99999",
            "127.0.0.1:8\u00b2",
            "127.0.0.1:\u0668\u0660",
            "127.0.0.1:" + "9" * 5000,
            "127.0.0.1\0:80",
            "127.0.0.1:80\r\nX:80",
            "127.0.0.1/a:80",
            "localhost:80",
            "\u00e9:80",
            "\ud800:80",
            "127.0.0.1",
            "",
        ],
        ids=lambda address: f"{address!r:.40}",
    )
    def test_unusable_address_is_reported_as_not_sent(self, address):
        """Some raised OverflowError or TypeError; a name would be looked up."""

        async def scenario(client, _):
            answer = await client.fetch(address, "GET", "/")
            assert answer.reason is base.Reason.CONNECTION_FAILED
            assert address not in client.peers_

        self.run(self.echo, scenario)

    @pytest.mark.parametrize(
        "headers",
        [
            "X-Name: \u2028\r\n",
            "X-Name: \ud800\r\n",
            "X-Name: a\0\r\n",
            "X-Name: a\nX-Other: b\r\n",
            "X-Name: a\r\n\r\n",
            "X-Name: a",
        ],
        ids=repr,
    )
    def test_unusable_header_is_reported_as_not_sent(self, headers):
        served = []

        async def record_path(request):
            served.append(request.path)
            return transport.Reply(200)

        async def scenario(client, address):
            answer = await client.fetch(address, "GET", "/x", headers=headers)
            assert answer.reason is base.Reason.CONNECTION_FAILED
            usable = "X-Name: a b: \u00e9\r\nX-Other:\r\n"
            answer = await client.fetch(address, "GET", "/y", headers=usable)
            assert answer.status == 200
            assert client.peers_[address].open_count == 0
            assert served == ["/y"]

        self.run(record_path, scenario)

    @pytest.mark.parametrize("target", ["/a b", "/a\r\nX: b", "/\u00e9", ""])
    def test_unusable_target_is_reported_as_not_sent(self, target):
        async def scenario(client, address):
            answer = await client.fetch(address, "GET", target)
            assert answer.reason is base.Reason.CONNECTION_FAILED

        self.run(self.echo, scenario)

    def test_cancelled_call_frees_its_connection(self):
        """The count of connections stayed too high, up to the limit."""

        async def slow(request):
            await asyncio.sleep(0.5)
            return transport.Reply(200, request.body)

        async def scenario(client, address):
            call = asyncio.ensure_future(client.fetch(address, "GET", "/x"))
            await asyncio.sleep(0.1)
            assert client.peers_[address].open_count == 1
            call.cancel()
            await asyncio.wait([call])
            assert client.peers_[address].open_count == 0

        self.run(slow, scenario)

    def test_cancelled_connect_frees_its_connection(self, monkeypatch):
        streams = []

        def connect(stream, endpoint):
            del endpoint
            streams.append(stream)
            return asyncio.get_running_loop().create_future()

        monkeypatch.setattr(iostream.IOStream, "connect", connect)

        async def scenario(client, address):
            call = asyncio.ensure_future(client.fetch(address, "GET", "/x"))
            await asyncio.sleep(0.05)
            assert client.peers_[address].open_count == 1
            call.cancel()
            await asyncio.wait([call])
            assert client.peers_[address].open_count == 0
            assert streams[0].closed()

        self.run(self.echo, scenario)

    def test_failing_permit_frees_its_connection(self):
        def fail():
            raise ValueError("injected")

        async def scenario(client, address):
            with pytest.raises(ValueError, match="injected"):
                await client.fetch(address, "GET", "/x", permit=fail)
            assert client.peers_[address].open_count == 0

        self.run(self.echo, scenario)

    def test_failing_handler_returns_an_error_status(self):
        async def fail(request):
            raise ValueError(request.path)

        async def scenario(client, address):
            answer = await client.fetch(address, "GET", "/x")
            assert answer.status == 500

        self.run(fail, scenario)


class TestAdaptiveTimeout:

    def test_idle_link_keeps_the_minimum_timeout(self):
        adaptive_timeout = transport.AdaptiveTimeout()
        for _ in range(200):
            adaptive_timeout.observe(0.004)
        assert adaptive_timeout.timeout_s(0.5, 2.0) == 0.5

    def test_saturated_link_raises_the_timeout(self):
        adaptive_timeout = transport.AdaptiveTimeout()
        for _ in range(200):
            adaptive_timeout.observe(0.2)
        assert 1.0 < adaptive_timeout.timeout_s(0.5, 2.0) < 1.3
        assert adaptive_timeout.timeout_s(0.5, 0.9) == 0.9

    def test_few_slow_answers_hardly_change_the_timeout(self):
        adaptive_timeout = transport.AdaptiveTimeout()
        for index in range(200):
            adaptive_timeout.observe(0.4 if index % 20 == 0 else 0.004)
        assert adaptive_timeout.timeout_s(0.5, 2.0) == 0.5


class TestDescriptors:

    def test_a_process_without_free_descriptors_gets_a_refusal(
        self, monkeypatch
    ):
        """Guards against terms that end since no connection can be opened."""

        def failing(*args):
            raise OSError(errno.EMFILE, "Too many open files")

        async def call():
            client = transport.Client()
            monkeypatch.setattr(socket, "socket", failing)
            try:
                return await client.fetch("127.0.0.1:9", "GET", "/")
            finally:
                monkeypatch.undo()

        result = asyncio.run(call())
        assert isinstance(result, base.Refusal)

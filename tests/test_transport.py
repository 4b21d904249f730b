"""Tests of HTTP between processes."""

import asyncio

import request_fakes

from baobabdoor import base
from baobabdoor import transport


class TestTransport:

    def run(self, handle, story):
        # Tests run at once in several processes, so each takes a free port.
        address = f"127.0.0.1:{request_fakes.free_port()}"

        async def main():
            server = transport.Server(address, handle)
            server.start()
            client = transport.Client()
            try:
                await story(client, address)
            finally:
                server.stop()
                client.forget(address)

        asyncio.run(main())

    async def echo(self, request):
        return transport.Reply(200, request.body, "X-Path: p\r\n")

    def test_answers_come_over_one_kept_connection(self):
        async def story(client, address):
            for number in range(3):
                body = f"{number}".encode()
                answer = await client.fetch(address, "POST", "/x", body)
                assert (answer.status, answer.body) == (200, body)
            assert len(client.peers_[address].idle) == 1

        self.run(self.echo, story)

    def test_a_late_answer_is_unknown_and_closes_its_connection(self):
        async def slow(request):
            await asyncio.sleep(0.5)
            return transport.Reply(200, request.body)

        async def story(client, address):
            answer = await client.fetch(
                address, "POST", "/x", b"a", timeout_s=0.1
            )
            assert answer.reason is base.Reason.UNKNOWN_RESULT
            assert not client.peers_[address].idle

        self.run(slow, story)

    def test_nothing_is_sent_once_its_permit_is_over(self):
        served = []

        async def note(request):
            served.append(request.path)
            return transport.Reply(200)

        async def story(client, address):
            answer = await client.fetch(
                address, "POST", "/x", permit=lambda: False
            )
            assert answer.reason is base.Reason.CONNECTION_FAILED
            assert (await client.fetch(address, "POST", "/y")).status == 200
            assert served == ["/y"]

        self.run(note, story)

    def test_a_refused_connection_was_not_sent(self):
        async def story(client, address):
            answer = await client.fetch("127.0.0.1:1", "GET", "/")
            assert answer.reason is base.Reason.CONNECTION_FAILED

        self.run(self.echo, story)

    def test_a_failing_handler_gives_an_error(self):
        async def fail(request):
            raise ValueError(request.path)

        async def story(client, address):
            answer = await client.fetch(address, "GET", "/x")
            assert answer.status == 500

        self.run(fail, story)


class TestLatency:

    def test_an_idle_link_keeps_the_shortest_limit(self):
        latency = transport.Latency()
        for _ in range(200):
            latency.observe(0.004)
        assert latency.limit_s(0.5, 2.0) == 0.5

    def test_late_answers_of_a_full_link_are_waited_for(self):
        latency = transport.Latency()
        for _ in range(200):
            latency.observe(0.2)
        assert 1.0 < latency.limit_s(0.5, 2.0) < 1.3
        assert latency.limit_s(0.5, 0.9) == 0.9

    def test_a_few_late_answers_change_little(self):
        latency = transport.Latency()
        for index in range(200):
            latency.observe(0.4 if index % 20 == 0 else 0.004)
        assert latency.limit_s(0.5, 2.0) == 0.5

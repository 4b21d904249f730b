"""Tests that a planned stop answers every request that the entry has read."""

import asyncio
import json
import socket

import entry_harness
import pytest
import request_fakes as fakes
from tornado import web

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import transport

OPERATOR = {"Authorization": "Bearer " + "t" * 16}
JOBS_PATH = "/v1/jobs"
SLOW_PATH = "/v1/slow"


class SlowHandler(web.RequestHandler):
    """Completes when the test allows it."""

    def initialize(self, release):
        self.release = release

    async def get(self):
        await self.release.wait()
        self.finish({"done": True})

    post = get


class SilentPlatform:
    """Never answers a transaction."""

    async def transact(self, conditions, writes):
        await asyncio.Event().wait()

    async def read(self, keys):
        await asyncio.Event().wait()


class StoppedHarness(entry_harness.EntryHarness):
    """An entry whose scenario ends with a stop of its own."""

    def __init__(self, balancer_wait_s=0.05, **options):
        super().__init__(**options)
        self.components = self.server.components
        self.components.balancer_wait_s = balancer_wait_s

    def stop(self):
        return asyncio.ensure_future(self.server.stop())

    def run(self, scenario):
        async def run_scenario():
            for backend in self.backends:
                backend.start()
            await self.server.start()
            return await asyncio.wait_for(scenario(), 60)

        return asyncio.run(run_scenario())

    def use_job_routes(self, routes):
        self.server.caller_server_.local_paths.jobs_handler_ = (
            transport.ApplicationHandler(web.Application(routes))
        )

    async def send(self, request, port=None):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port or self.port
        )
        writer.write(request)
        return reader, writer

    async def exchange(self, reader):
        """Returns the response and what follows until the connection ends."""
        response = await entry_harness.read_response(reader)
        return response, await reader.read()

    async def wait_for_request(self):
        await entry_harness.wait_until(
            lambda: self.server.caller_server_.open_requests_
        )

    async def wait_until_resolving(self):
        """Waits for a request whose key is all that it waits for."""
        await entry_harness.wait_until(lambda: self.server.keys_.tasks_)
        await entry_harness.wait_until(lambda: not self.queue.length)


def ticket_of_another_entry():
    issued = idempotency.Tickets("entry-2", "1", bytes(16)).issue(0.0)
    return issued


async def hang(*_, **__):
    await asyncio.Event().wait()


def full_listener():
    """Returns a socket whose further connections are not established."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    clients = []
    for _ in range(4):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
        clients.append(client)
    return listener, clients


class TestConnections:

    def test_replies_after_the_signal_close_their_connection(self):
        # Guards against callers that learn of the stop only when the entry
        # refuses requests, or whose connection stays open after the reply.
        harness = StoppedHarness(balancer_wait_s=1.0)
        harness.add_backend(entry_harness.echo)

        async def scenario():
            reader, writer = await harness.send(entry_harness.request_head())
            before = await entry_harness.read_response(reader)
            stopping = harness.stop()
            await asyncio.sleep(0)
            writer.write(entry_harness.request_head())
            after, rest = await harness.exchange(reader)
            still_stopping = not stopping.done()
            await stopping
            return before, after, rest, still_stopping

        before, after, rest, still_stopping = harness.run(scenario)
        assert "Connection" not in before[1]
        assert (after[0], after[1]["Connection"]) == (200, "close")
        assert (rest, still_stopping) == (b"", True)

    def test_request_in_progress_at_the_signal_closes_its_connection(self):
        # Guards against a reply that announces a close and leaves the
        # connection open.
        harness = StoppedHarness(balancer_wait_s=1.0)
        release = asyncio.Event()

        async def answer(number, head, body):
            await release.wait()
            return entry_harness.echo(number, head, body)

        harness.add_backend(answer)

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            stopping = harness.stop()
            await asyncio.sleep(0)
            release.set()
            response, rest = await harness.exchange(reader)
            still_stopping = not stopping.done()
            await stopping
            return response, rest, still_stopping

        response, rest, still_stopping = harness.run(scenario)
        assert (response[0], response[1]["Connection"]) == (200, "close")
        assert (rest, still_stopping) == (b"", True)

    def test_pipelined_request_is_met_by_a_close_after_one_answer(self):
        # Guards against a reset that discards the answer to the first one.
        harness = StoppedHarness(balancer_wait_s=0.5)
        harness.add_backend(entry_harness.echo)
        head = entry_harness.request_head(method="GET")

        async def scenario():
            reader, writer = await harness.connect()
            stopping = harness.stop()
            await asyncio.sleep(0)
            writer.write(head * 20)
            response, rest = await harness.exchange(reader)
            await stopping
            return response, rest

        response, rest = harness.run(scenario)
        assert (response[0], response[2], rest) == (200, b"/x", b"")
        assert len(harness.backends[0].received) == 1

    def test_request_after_the_balancer_wait_is_refused_as_not_run(self):
        # Guards against open connections that are closed without an answer
        # while other requests still complete.
        harness = StoppedHarness(drain_s=3.0)
        release = asyncio.Event()

        async def answer(number, head, body):
            await release.wait()
            return entry_harness.echo(number, head, body)

        harness.add_backend(answer)

        async def scenario():
            idle_reader, idle_writer = await harness.connect()
            unused_reader, _ = await harness.connect()
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            stopping = harness.stop()
            await entry_harness.wait_until(
                lambda: harness.server.caller_server_.draining
            )
            idle_writer.write(entry_harness.request_head())
            refused = await harness.exchange(idle_reader)
            release.set()
            answered = await harness.exchange(reader)
            await stopping
            return refused, answered, await unused_reader.read()

        refused, answered, unused = harness.run(scenario)
        (status, headers, _), rest = refused
        assert (status, headers["Baobabdoor-Outcome"]) == (503, "not-run")
        assert (headers["Connection"], rest) == ("close", b"")
        assert (answered[0][0], answered[1], unused) == (200, b"", b"")

    def test_request_that_arrives_as_the_entry_ends_is_answered(self):
        # Guards against a request that was received and is not yet counted
        # when the last of the others ends.
        harness = StoppedHarness(drain_s=3.0)

        async def scenario():
            reader, writer = await harness.connect()
            await asyncio.sleep(0.1)
            client = harness.server.client_
            close_backends = client.close
            raw_socket = writer.get_extra_info("socket")

            def receive_and_close():
                # Received by the kernel, not yet by the event loop.
                if not raw_socket_used:
                    raw_socket_used.append(True)
                    raw_socket.send(entry_harness.request_head())
                close_backends()

            raw_socket_used = []
            client.close = receive_and_close
            stopping = harness.stop()
            response, rest = await harness.exchange(reader)
            await stopping
            return response, rest

        (status, headers, _), rest = harness.run(scenario)
        assert (status, headers["Baobabdoor-Outcome"]) == (503, "not-run")
        assert rest == b""

    def test_large_response_reaches_a_caller_that_reads_late(self):
        # Guards against a stop that does not wait for replies to be flushed.
        harness = StoppedHarness(
            drain_s=5.0, max_body_bytes=8_000_000, memory_mb=200.0
        )
        body = b"x" * 6_000_000
        harness.add_backend(lambda *_: fakes.http_response(body))

        async def scenario():
            with socket.create_connection(("127.0.0.1", harness.port)) as sock:
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, entry_harness.request_head("GET"))
                await entry_harness.wait_until(
                    lambda: harness.backends[0].received
                )
                stopping = harness.stop()
                await asyncio.sleep(0.5)
                received = bytearray()
                while chunk := await loop.sock_recv(sock, 1_000_000):
                    received += chunk
                await stopping
                return bytes(received)

        head, _, received = harness.run(scenario).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert received == body


class TestUnfinishedRequests:

    @pytest.mark.parametrize("drain_s", [1.0, 2.0, 3.0])
    def test_request_without_a_result_is_unknown_within_the_budget(
        self, drain_s
    ):
        # Guards against a budget whose first part takes all of it.
        harness = StoppedHarness(drain_s=drain_s, balancer_wait_s=3.0)
        harness.add_backend(lambda *_: None)

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await entry_harness.wait_until(lambda: harness.backends[0].received)
            await asyncio.wait_for(harness.server.stop(), drain_s)
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")

    def test_long_budget_lets_a_request_end(self):
        harness = StoppedHarness(drain_s=60.0)

        async def answer(number, head, body):
            await asyncio.sleep(1.0)
            return entry_harness.echo(number, head, body)

        harness.add_backend(answer)

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            drained = await harness.server.stop()
            return drained, await harness.exchange(reader)

        drained, (response, rest) = harness.run(scenario)
        assert (drained, response[0], rest) == (True, 200, b"")

    def test_request_that_waits_for_a_peer_gets_an_unknown_result(self):
        # Guards against a request that waits for its own deadline, which lies
        # behind the end of the process.
        harness = StoppedHarness(drain_s=1.0)
        harness.control.post_peer = hang
        head = entry_harness.request_head(
            Idempotency_Key=ticket_of_another_entry(),
            Baobabdoor_Deadline_Ms="20000",
        )

        async def scenario():
            reader, _ = await harness.send(head)
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")

    def test_request_whose_claim_has_no_answer_gets_an_unknown_result(self):
        # Another entry may have run the request with this key.
        harness = StoppedHarness(drain_s=1.0)
        harness.components.claims.service = SilentPlatform()
        harness.add_backend(entry_harness.echo)
        head = entry_harness.request_head(Idempotency_Key="order-1")

        async def scenario():
            reader, _ = await harness.send(head)
            await harness.wait_until_resolving()
            await harness.server.stop()
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")

    def test_job_call_without_a_result_gets_an_unknown_result(self):
        # Guards against calls of the entry's own paths that are cut off.
        harness = StoppedHarness(drain_s=1.0)
        harness.use_job_routes(
            [(JOBS_PATH, SlowHandler, {"release": asyncio.Event()})]
        )
        head = entry_harness.request_head(
            path=JOBS_PATH, Content_Length="2", Content_Type="application/json"
        )

        async def scenario():
            reader, _ = await harness.send(head + b"{}")
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")

    def test_request_that_connects_to_its_backend_is_not_run(self):
        # Guards against a request that is sent after the others were given
        # up, or whose answer waits for the connection attempt.
        listener, clients = full_listener()
        harness = StoppedHarness(drain_s=1.0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        harness.view.vms.append(fakes.vm("vm-1", address))

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        try:
            (_, headers, _), rest = harness.run(scenario)
        finally:
            for sock in (listener, *clients):
                sock.close()
        assert (headers["Baobabdoor-Outcome"], rest) == ("not-run", b"")

    def test_request_that_is_given_up_is_not_sent_again(self):
        # Guards against a retry that starts when the first attempt is broken
        # off, and is then cut off itself.
        harness = StoppedHarness(drain_s=1.0)
        for _ in range(3):
            harness.add_backend(lambda *_: None)
        harness.allow_retries()

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head("GET"))
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")
        assert sum(len(b.received) for b in harness.backends) == 1

    @pytest.mark.parametrize("path", ["/x", JOBS_PATH])
    def test_body_that_does_not_arrive_is_refused_as_not_run(self, path):
        # Guards against a request under way that is closed without an answer.
        harness = StoppedHarness(drain_s=1.0)
        harness.use_job_routes([])
        head = entry_harness.request_head(path=path, Content_Length="4")

        async def scenario():
            reader, _ = await harness.send(head + b"ab")
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (status, headers, _), rest = harness.run(scenario)
        assert (status, headers["Baobabdoor-Outcome"]) == (503, "not-run")
        assert rest == b""

    def test_delayed_refusal_is_sent(self):
        # Guards against an answer that is ready and is held back for longer
        # than the process lives.
        harness = StoppedHarness(drain_s=1.0, queue_limit=0)
        harness.queue.refusal_delay_s = lambda item, now_s: 60.0

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (status, headers, _), rest = harness.run(scenario)
        assert (status, headers["Baobabdoor-Outcome"]) == (429, "not-run")
        assert rest == b""


class TestPeerRequests:

    def _message(self, **headers):
        return json.dumps(
            {
                "method": "POST",
                "target": "/x",
                "headers": list({**entry_harness.HEADERS, **headers}.items()),
                "left_ms": 20_000,
                "body": "",
            }
        ).encode()

    def test_request_of_a_peer_whose_claim_has_no_answer(self):
        # Guards against a peer that waits for its own deadline.
        harness = StoppedHarness(drain_s=1.0)
        harness.components.claims.service = SilentPlatform()
        harness.add_backend(entry_harness.echo)

        async def scenario():
            handling = asyncio.ensure_future(
                harness.server.peer_request_handler.handle(
                    "entry-2", 1, self._message(**{"Idempotency-Key": "k"})
                )
            )
            await harness.wait_until_resolving()
            await harness.server.stop()
            return await asyncio.wait_for(handling, 1)

        result = idempotency.from_json(json.loads(harness.run(scenario)))
        assert result.outcome.value == "unknown"
        assert result.refusal.reason is base.Reason.DRAINING


class TestControlPort:

    def _run(self, harness, release, before_stop):
        harness.components.operator_routes = [
            (SLOW_PATH, SlowHandler, {"release": release})
        ]

        async def scenario():
            reader, _ = await harness.send(
                entry_harness.request_head(
                    method="GET", path=SLOW_PATH, **OPERATOR
                ),
                harness.control_port,
            )
            await entry_harness.wait_until(
                lambda: harness.server.control_server_.in_progress
            )
            stopping = harness.stop()
            await asyncio.sleep(0)
            before_stop()
            response = await harness.exchange(reader)
            await stopping
            return response

        return harness.run(scenario)

    def test_operator_call_in_progress_completes(self):
        # Guards against a control port that is closed with its calls open.
        harness = StoppedHarness(drain_s=5.0)
        release = asyncio.Event()

        def release_later():
            asyncio.get_running_loop().call_later(0.5, release.set)

        response, rest = self._run(harness, release, release_later)
        assert (response[0], response[1]["Connection"]) == (200, "close")
        assert (json.loads(response[2]), rest) == ({"done": True}, b"")

    def test_operator_call_without_a_result_gets_an_unknown_result(self):
        # Guards against a call whose effect the operator cannot tell.
        harness = StoppedHarness(drain_s=1.0)
        response, rest = self._run(harness, asyncio.Event(), lambda: None)
        assert (response[0], rest) == (503, b"")
        assert response[1]["Baobabdoor-Outcome"] == "unknown"

    def test_metrics_after_the_signal_close_their_connection(self):
        # Guards against scrapers that keep a connection to an ending process.
        harness = StoppedHarness(balancer_wait_s=1.0)

        async def scenario():
            head = entry_harness.request_head(method="GET", path="/metrics")
            reader, writer = await harness.send(head, harness.control_port)
            before = await entry_harness.read_response(reader)
            stopping = harness.stop()
            await asyncio.sleep(0)
            writer.write(head)
            after = await entry_harness.read_response(reader)
            await stopping
            return before, after, await reader.read()

        before, after, rest = harness.run(scenario)
        assert "Connection" not in before[1]
        assert (after[0], after[1]["Connection"]) == (200, "close")
        assert rest == b""


class TestTimeBudget:

    @pytest.mark.parametrize("drain_s", [2.0, 3.0])
    def test_silent_platform_does_not_prolong_a_stop(self, drain_s):
        # Guards against claims and an entry row whose writes get no answer.
        harness = StoppedHarness(drain_s=drain_s)
        harness.control.stop = hang
        harness.components.claims.stop = hang

        async def scenario():
            await asyncio.wait_for(harness.server.stop(), drain_s)

        harness.run(scenario)

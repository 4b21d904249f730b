"""Tests that a planned stop answers every request that the entry has read."""

import asyncio
import os
import socket

import entry_harness
import entry_stop_harness
import pytest
import request_fakes as fakes

from baobabdoor import idempotency


def ticket_of_another_entry():
    return idempotency.Tickets("entry-2", "1", bytes(16)).issue(0.0)


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
        harness = entry_stop_harness.StoppedHarness(balancer_wait_s=1.0)
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
        harness = entry_stop_harness.StoppedHarness(balancer_wait_s=1.0)
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
        harness = entry_stop_harness.StoppedHarness(balancer_wait_s=0.5)
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
        harness = entry_stop_harness.StoppedHarness(drain_s=3.0)
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
        harness = entry_stop_harness.StoppedHarness(drain_s=3.0)

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
                    os.write(raw_socket.fileno(), entry_harness.request_head())
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
        harness = entry_stop_harness.StoppedHarness(
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
        harness = entry_stop_harness.StoppedHarness(
            drain_s=drain_s, balancer_wait_s=3.0
        )
        harness.add_backend(lambda *_: None)

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await entry_harness.wait_until(lambda: harness.backends[0].received)
            await asyncio.wait_for(harness.server.stop(), drain_s)
            return await harness.exchange(reader)

        (_, headers, _), rest = harness.run(scenario)
        assert (headers["Baobabdoor-Outcome"], rest) == ("unknown", b"")

    def test_long_budget_lets_a_request_end(self):
        harness = entry_stop_harness.StoppedHarness(drain_s=60.0)

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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        harness.control.post_peer = entry_stop_harness.hang
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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        harness.components.claims.service = entry_stop_harness.SilentPlatform()
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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        harness.use_job_routes(
            [
                (
                    entry_stop_harness.JOBS_PATH,
                    entry_stop_harness.SlowHandler,
                    {"release": asyncio.Event()},
                )
            ]
        )
        head = entry_harness.request_head(
            path=entry_stop_harness.JOBS_PATH,
            Content_Length="2",
            Content_Type="application/json",
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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
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

    @pytest.mark.parametrize("path", ["/x", entry_stop_harness.JOBS_PATH])
    def test_body_that_does_not_arrive_is_refused_as_not_run(self, path):
        # Guards against a request under way that is closed without an answer.
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0, queue_limit=0)
        harness.queue.refusal_delay_s = lambda item, now_s: 60.0

        async def scenario():
            reader, _ = await harness.send(entry_harness.request_head())
            await harness.wait_for_request()
            await harness.server.stop()
            return await harness.exchange(reader)

        (status, headers, _), rest = harness.run(scenario)
        assert (status, headers["Baobabdoor-Outcome"]) == (429, "not-run")
        assert rest == b""

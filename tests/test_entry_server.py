"""Tests forwarding and at-most-once delivery by the entry server."""

import asyncio
import json

import entry_harness
import entry_stop_harness
import pytest
import request_fakes as fakes

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests


class TestForwarding:

    def test_request_and_response_pass_through_the_entry(self):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(
            lambda *_: fakes.http_response(
                b"times",
                "201 Created",
                "X-A: 1\r\nX-A: 2\r\nX-Own: 3\r\nConnection: X-Own\r\n",
            )
        )

        response = harness.fetch_once(
            "/results?x=1",
            "POST",
            {"X-Hop": "h", "Connection": "X-Hop", "X-End": "e"},
            body=b"data",
        )
        assert (response.code, response.reason) == (201, "Created")
        assert (entry_harness.outcome(response), response.body) == (
            "done",
            b"times",
        )
        assert response.headers.get_list("X-A") == ["1", "2"]
        assert "X-Own" not in response.headers
        head, body = backend.received[0]
        assert head.startswith("POST /results?x=1 HTTP/1.1")
        assert ("X-End: e" in head, "X-Hop" in head) == (True, False)
        assert body == b"data"

    @pytest.mark.parametrize(
        ("method", "answer", "code", "body"),
        [
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, b""),
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
            ("GET", b"HTTP/1.1 304 Not Modified\r\n\r\n", 304, b""),
            (
                "GET",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                200,
                b"abc",
            ),
            (
                "GET",
                b"HTTP/1.1 103 Early Hints\r\n\r\n" + fakes.http_response(),
                200,
                b"ok",
            ),
        ],
    )
    def test_response_framings(self, method, answer, code, body):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(lambda *_: answer)

        async def scenario():
            await harness.fetch(method=method)
            return await harness.fetch(method=method)

        response = harness.run(scenario)
        assert (response.code, response.body) == (code, body)
        assert backend.connections == 1

    def test_concurrent_responses_are_not_mixed_up(self):
        harness = entry_harness.EntryHarness(per_worker=4)

        async def answer(number, head, body):
            await asyncio.sleep(0.001 * (number * 7 % 5))
            return entry_harness.echo(number, head, body)

        for _ in range(2):
            harness.add_backend(answer)

        async def scenario():
            paths = [f"/{number}" for number in range(150)]
            responses = await asyncio.gather(*map(harness.fetch, paths))
            return [response.body.decode() for response in responses], paths

        bodies, expected = harness.run(scenario)
        assert bodies == expected

    def test_late_response_is_not_returned_for_the_next_request(self):
        # With one slot, the next request would reuse the connection.
        harness = entry_harness.EntryHarness(per_worker=1)

        async def answer(number, head, body):
            await asyncio.sleep(0.3 if number == 1 else 0)
            return entry_harness.echo(number, head, body)

        backend = harness.add_backend(answer)

        async def scenario():
            late = await harness.fetch(
                "/late", headers={"Baobabdoor-Deadline-Ms": "100"}
            )
            next_responses = [await harness.fetch(f"/{n}") for n in range(3)]
            await asyncio.sleep(0.3)
            next_responses.append(await harness.fetch("/last"))
            return late, [response.body for response in next_responses]

        late, bodies = harness.run(scenario)
        assert (late.code, entry_harness.outcome(late)) == (504, "unknown")
        assert bodies == [b"/0", b"/1", b"/2", b"/last"]
        assert backend.connections == 2

    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    def test_unsolicited_response_closes_the_connection(self, pause_s):
        harness = entry_harness.EntryHarness(per_worker=1)
        backend = harness.add_backend(lambda *_: None)

        async def answer(number, head, body):
            if number > 1:
                return entry_harness.echo(number, head, body)
            stream = backend.streams[0]
            await stream.write(entry_harness.echo(number, head, body) + b"")
            await asyncio.sleep(pause_s)
            return fakes.http_response(b"forged")

        backend.respond = answer

        async def scenario():
            first = await harness.fetch("/a")
            await asyncio.sleep(0.1)
            return first.body, (await harness.fetch("/b")).body

        assert harness.run(scenario) == (b"/a", b"/b")
        assert backend.connections == 2

    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    def test_excess_bytes_after_a_response_close_the_connection(self, pause_s):
        """Guards against reading excess bytes as the next response."""
        harness = entry_harness.EntryHarness(per_worker=1)
        backend = harness.add_backend(lambda *_: None)

        async def answer(number, head, body):
            if number > 1:
                return entry_harness.echo(number, head, body)
            stream = backend.streams[0]
            if not pause_s:
                return entry_harness.echo(number, head, body) + b"-excess-"
            await stream.write(entry_harness.echo(number, head, body))
            await asyncio.sleep(pause_s)
            return b"-excess-"

        backend.respond = answer

        async def scenario():
            first = await harness.fetch("/a")
            await asyncio.sleep(0.1)
            second = await harness.fetch("/b", method="POST", body=b"charge")
            return first.body, second.body

        assert harness.run(scenario) == (b"/a", b"/b")
        assert backend.connections == 2


BROKEN_RESPONSES = {
    "lost": (b"",),
    "truncated head": (b"HTTP/1.1 200 OK\r\nContent-Le",),
    "truncated body": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",),
    "truncated chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nab",),
    "not HTTP": (b"\x00\xff garbage\r\n\r\n",),
    "too large": fakes.http_response(b"x" * 100_001),
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\nab",
}


class TestAtMostOnce:

    @pytest.mark.parametrize("name", sorted(BROKEN_RESPONSES))
    def test_non_idempotent_request_is_sent_once(self, name):
        harness = entry_harness.EntryHarness()
        for _ in range(3):
            harness.add_backend(lambda *_: BROKEN_RESPONSES[name])

        # Rules out that the retry budget prevents a second attempt.
        harness.allow_retries()
        response = harness.fetch_once(method="POST", body=b"charge")
        assert (response.code, entry_harness.outcome(response)) == (
            502,
            "unknown",
        )
        assert json.loads(response.body)["reason"] == "incomplete-answer"
        assert sum(len(b.received) for b in harness.backends) == 1

    @pytest.mark.parametrize("name", sorted(BROKEN_RESPONSES))
    def test_idempotent_request_is_retried_on_another_server(self, name):
        harness = entry_harness.EntryHarness()
        harness.add_backend(lambda *_: BROKEN_RESPONSES[name])
        harness.add_backend(entry_harness.echo, zone="subic")

        harness.allow_retries()
        response = harness.fetch_once("/again")
        assert (response.code, response.body) == (200, b"/again")
        assert len(harness.backends[0].received) == 1

    def test_timed_out_non_idempotent_request_is_unknown(self):
        harness = entry_harness.EntryHarness()

        async def answer(number, head, body):
            await asyncio.sleep(0.4)
            return fakes.http_response()

        for _ in range(2):
            harness.add_backend(answer)

        async def scenario():
            response = await harness.fetch(
                method="POST",
                headers={"Baobabdoor-Deadline-Ms": "100"},
                body=b"",
            )
            await asyncio.sleep(0.4)
            return response

        response = harness.run(scenario)
        assert (response.code, entry_harness.outcome(response)) == (
            504,
            "unknown",
        )
        assert sum(len(b.received) for b in harness.backends) == 1

    def test_refused_connection_is_not_run_and_is_retried(self):
        harness = entry_harness.EntryHarness()
        harness.view.vms.append(fakes.vm("dead", "127.0.0.1:9"))

        async def scenario():
            alone = await harness.fetch(method="POST", body=b"charge")
            backend = fakes.RawServer(entry_harness.echo)
            backend.start()
            harness.backends.append(backend)
            harness.view.vms.append(
                fakes.vm("vm-1", backend.address, zone="subic")
            )
            return alone, await harness.fetch("/y", "POST", body=b"charge")

        alone, retried = harness.run(scenario)
        assert (alone.code, entry_harness.outcome(alone)) == (503, "not-run")
        assert json.loads(alone.body)["peer"] == "dead"
        assert (retried.code, retried.body) == (200, b"/y")

    def test_permit_is_checked_when_the_request_is_written(self):
        # The view changes while the connection is established.
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)
        refusal = base.Refusal(base.Reason.STALE_VIEW, "view")

        async def scenario():
            client = harness.server.client_
            connect = client._connect

            async def connect_slowly(*arguments):
                connection = await connect(*arguments)
                harness.view.forbidden["vm-1"] = refusal
                return connection

            client._connect = connect_slowly
            return await harness.fetch(method="POST", body=b"charge")

        response = harness.run(scenario)
        assert (response.code, entry_harness.outcome(response)) == (
            503,
            "not-run",
        )
        assert json.loads(response.body)["reason"] == "stale-view"
        assert backend.received == []

    def test_claim_without_an_answer_ends_at_the_deadline(self):
        # Guards against a request that has left the queue for a free slot and
        # is not looked at again until the platform answers.
        harness = entry_harness.EntryHarness()
        components = harness.server.components
        components.claims.service = entry_stop_harness.SilentPlatform()
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            headers = {"Idempotency-Key": "k", "Baobabdoor-Deadline-Ms": "200"}
            reader, writer = await harness.connect()
            writer.write(entry_harness.request_head(**headers))
            response = await asyncio.wait_for(
                entry_harness.read_response(reader), 10
            )
            return response[0], response[1]["Baobabdoor-Outcome"]

        assert harness.run(scenario) == (504, "unknown")
        assert not backend.received

    def test_ticket_runs_once_and_is_replayed(self):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(
            lambda number, *_: fakes.http_response(str(number).encode())
        )

        async def scenario():
            issued = await harness.fetch("/v1/tickets", "POST", body=b"")
            key = {"Idempotency-Key": json.loads(issued.body)["ticket"]}
            responses = [
                await harness.fetch("/x", "POST", key, body=body)
                for body in (b"a", b"a", b"b")
            ]
            # A repeat must not get the outcome `not-run`.
            harness.queue.closed = True
            responses.append(await harness.fetch("/x", "POST", key, body=b"a"))
            harness.server.caller_server_.draining = True
            responses.append(await harness.fetch("/x", "POST", key, body=b"a"))
            return responses

        first, repeat, other, full, draining = harness.run(scenario)
        assert (first.body, repeat.body, full.body) == (b"1", b"1", b"1")
        assert (other.code, entry_harness.outcome(other)) == (422, "not-run")
        assert entry_harness.outcome(draining) == "unknown"
        assert len(backend.received) == 1

    @pytest.mark.parametrize("alive", [True, False])
    def test_ticket_of_another_entry_runs_there_or_is_unknown(self, alive):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)
        issuer = idempotency.Tickets("entry-2", "1", bytes(16))
        reply = requests.Response(200, "OK", [], b"there")
        if alive:
            stored = idempotency.to_json(reply)
            harness.control.peer_response = json.dumps(stored).encode()

        async def scenario():
            key = {"Idempotency-Key": issuer.issue(0.0)}
            return await harness.fetch("/x", "POST", key, body=b"a")

        response = harness.run(scenario)
        assert entry_harness.outcome(response) == (
            "done" if alive else "unknown"
        )
        assert harness.control.posted[0][0] == "entry-2"
        assert backend.received == []

    def test_request_forwarded_by_a_peer_is_run_once(self):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            sender = entry_harness.EntryHarness()

            async def post_peer(peer, path, headers, body, timeout_s):
                return await harness.server.peer_request_handler.handle(
                    peer, 1, body
                )

            sender.control.post_peer = post_peer
            issued = await harness.fetch("/v1/tickets", "POST", body=b"")
            key = {"Idempotency-Key": json.loads(issued.body)["ticket"]}
            sender.server.keys_.tickets.entry_id = "entry-9"
            await sender.server.start()
            try:
                return [
                    await sender.fetch("/peer", "POST", key, body=b"a")
                    for _ in range(2)
                ]
            finally:
                await sender.server.stop()

        responses = harness.run(scenario)
        assert [r.body for r in responses] == [b"/peer", b"/peer"]
        assert len(backend.received) == 1

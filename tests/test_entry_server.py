"""Tests the entry server over loopback with a raw backend server."""

import asyncio
import json
import pathlib
import socket

import pytest
import request_fakes as fakes
from tornado import httpclient

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import observability
from baobabdoor import requests
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.entry import _caller_request
from baobabdoor.entry import _caller_server
from baobabdoor.entry import _entry_server
from baobabdoor.entry import _slot_sharing

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "federation.yaml"
HEADERS = {"Baobabdoor-Pool": "jury-desk", "Baobabdoor-Caller": "sailors"}


class Bench:
    """One entry server and its fakes on loopback."""

    def __init__(self, per_worker=8, queue_limit=1000, **options):
        self.view = fakes.FakeView()
        self.queue = fakes.Queue(queue_limit)
        self.timers = observability.LoopTimerService()
        deployment = settings.load_deployment(str(EXAMPLE))
        self.control = fakes.FakeControl(self.view, deployment)
        self.service = None
        self.port = fakes.free_port()
        self.control_port = fakes.free_port()
        recorder = timeline.EventRecorder(
            "entry-1", base.HybridClock(self.timers.wall_ms)
        )
        self.server = _entry_server.EntryServer(
            _entry_server.Parts(
                entry_settings=fakes.entry_settings(
                    self.port, self.control_port, **options
                ),
                timers=self.timers,
                control=self.control,
                admission_policy=self.queue,
                slot_sharing=_slot_sharing.SlotSharing(
                    "entry-1",
                    "taal",
                    lambda name, entry_id: fakes.StaticSlots(per_worker),
                ),
                tickets=idempotency.Tickets("entry-1", "1", bytes(16)),
                claims=idempotency.Claims(None, self.timers, "entry-1", "1"),
                recorder=recorder,
                metrics=observability.Metrics(),
                balancer_wait_s=0.05,
            )
        )
        self.backends = []

    def add_backend(self, answer, **more):
        backend = fakes.RawServer(answer)
        vm_id = f"vm-{len(self.backends) + 1}"
        self.view.vms.append(fakes.vm(vm_id, backend.address, **more))
        self.backends.append(backend)
        return backend

    async def fetch(self, path="/x", method="GET", headers=(), **options):
        client = httpclient.AsyncHTTPClient(force_instance=True)
        return await client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            headers={**HEADERS, **dict(headers)},
            raise_error=False,
            follow_redirects=False,
            **options,
        )

    def allow_retries(self):
        self.server.path_.forwarder.retry_budget.saved_ = 5.0

    def once(self, *arguments, **options):
        return self.run(lambda: self.fetch(*arguments, **options))

    def run(self, scenario):
        async def whole():
            for backend in self.backends:
                backend.start()
            await self.server.start()
            try:
                return await scenario()
            finally:
                await self.server.stop()
                for backend in self.backends:
                    backend.stop()

        return asyncio.run(whole())

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def raw(self, request):
        """Sends bytes on a new connection; returns status and JSON body."""
        reader, writer = await self.connect()
        writer.write(request)
        status, _, body = await read_answer(reader)
        writer.close()
        return status, json.loads(body)


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    headers = dict(
        line.split(": ", 1) for line in head.split("\r\n")[1:] if line
    )
    body = await reader.readexactly(int(headers.get("Content-Length", 0)))
    return int(head.split(" ")[1]), headers, body


def head_of(method="POST", path="/x", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: service"]
    changed = {name.replace("_", "-"): headers[name] for name in headers}
    for name, value in {**HEADERS, **changed}.items():
        lines.append(f"{name}: {value}")
    return "\r\n".join([*lines, "", ""]).encode()


def echo(number, head, body):
    return fakes.http_answer(head.split(" ")[1].encode())


def outcome(response):
    return response.headers["Baobabdoor-Outcome"]


async def until(condition):
    for _ in range(300):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not come true in 3 s")


class TestForwarding:

    def test_request_reaches_a_backend_server_and_its_answer_returns(self):
        bench = Bench()
        backend = bench.add_backend(
            lambda *_: fakes.http_answer(
                b"times",
                "201 Created",
                "X-A: 1\r\nX-A: 2\r\nX-Own: 3\r\nConnection: X-Own\r\n",
            )
        )

        response = bench.once(
            "/results?x=1",
            "POST",
            {"X-Hop": "h", "Connection": "X-Hop", "X-End": "e"},
            body=b"data",
        )
        assert (response.code, response.reason) == (201, "Created")
        assert (outcome(response), response.body) == ("done", b"times")
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
                b"HTTP/1.1 103 Early Hints\r\n\r\n" + fakes.http_answer(),
                200,
                b"ok",
            ),
        ],
    )
    def test_forms_of_answers(self, method, answer, code, body):
        bench = Bench()
        backend = bench.add_backend(lambda *_: answer)

        async def scenario():
            await bench.fetch(method=method)
            return await bench.fetch(method=method)

        response = bench.run(scenario)
        assert (response.code, response.body) == (code, body)
        assert backend.connections == 1

    def test_answers_are_never_mixed_up(self):
        bench = Bench(per_worker=4)

        async def answer(number, head, body):
            await asyncio.sleep(0.001 * (number * 7 % 5))
            return echo(number, head, body)

        for _ in range(2):
            bench.add_backend(answer)

        async def scenario():
            paths = [f"/{number}" for number in range(150)]
            responses = await asyncio.gather(*map(bench.fetch, paths))
            return [response.body.decode() for response in responses], paths

        got, wanted = bench.run(scenario)
        assert got == wanted

    def test_late_answer_is_not_given_to_the_next_request(self):
        # One slot, so that the next request would reuse the connection.
        bench = Bench(per_worker=1)

        async def answer(number, head, body):
            await asyncio.sleep(0.3 if number == 1 else 0)
            return echo(number, head, body)

        backend = bench.add_backend(answer)

        async def scenario():
            late = await bench.fetch(
                "/late", headers={"Baobabdoor-Deadline-Ms": "100"}
            )
            following = [await bench.fetch(f"/{n}") for n in range(3)]
            await asyncio.sleep(0.3)
            following.append(await bench.fetch("/last"))
            return late, [response.body for response in following]

        late, bodies = bench.run(scenario)
        assert (late.code, outcome(late)) == (504, "unknown")
        assert bodies == [b"/0", b"/1", b"/2", b"/last"]
        assert backend.connections == 2

    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    def test_answer_nobody_asked_for_closes_the_connection(self, pause_s):
        bench = Bench(per_worker=1)
        backend = bench.add_backend(lambda *_: None)

        async def answer(number, head, body):
            if number > 1:
                return echo(number, head, body)
            stream = backend.streams[0]
            await stream.write(echo(number, head, body) + b"")
            await asyncio.sleep(pause_s)
            return fakes.http_answer(b"forged")

        backend.answer = answer

        async def scenario():
            first = await bench.fetch("/a")
            await asyncio.sleep(0.1)
            return first.body, (await bench.fetch("/b")).body

        assert bench.run(scenario) == (b"/a", b"/b")
        assert backend.connections == 2

    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    def test_bytes_beyond_an_answer_close_the_connection(self, pause_s):
        """Guards against the next request on a connection out of step."""
        bench = Bench(per_worker=1)
        backend = bench.add_backend(lambda *_: None)

        async def answer(number, head, body):
            if number > 1:
                return echo(number, head, body)
            stream = backend.streams[0]
            if not pause_s:
                return echo(number, head, body) + b"-excess-"
            await stream.write(echo(number, head, body))
            await asyncio.sleep(pause_s)
            return b"-excess-"

        backend.answer = answer

        async def scenario():
            first = await bench.fetch("/a")
            await asyncio.sleep(0.1)
            second = await bench.fetch("/b", method="POST", body=b"charge")
            return first.body, second.body

        assert bench.run(scenario) == (b"/a", b"/b")
        assert backend.connections == 2


BROKEN = {
    "lost": (b"",),
    "truncated head": (b"HTTP/1.1 200 OK\r\nContent-Le",),
    "truncated body": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",),
    "truncated chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nab",),
    "not HTTP": (b"\x00\xff garbage\r\n\r\n",),
    "too large": fakes.http_answer(b"x" * 100_001),
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\nab",
}


class TestAtMostOnce:

    @pytest.mark.parametrize("name", sorted(BROKEN))
    def test_non_idempotent_request_is_sent_once(self, name):
        bench = Bench()
        for _ in range(3):
            bench.add_backend(lambda *_: BROKEN[name])

        # Nothing but the rule itself may prevent a second attempt.
        bench.allow_retries()
        response = bench.once(method="POST", body=b"charge")
        assert (response.code, outcome(response)) == (502, "unknown")
        assert json.loads(response.body)["reason"] == "incomplete-answer"
        assert sum(len(b.received) for b in bench.backends) == 1

    @pytest.mark.parametrize("name", sorted(BROKEN))
    def test_idempotent_request_is_tried_elsewhere(self, name):
        bench = Bench()
        bench.add_backend(lambda *_: BROKEN[name])
        bench.add_backend(echo, zone="subic")

        bench.allow_retries()
        response = bench.once("/again")
        assert (response.code, response.body) == (200, b"/again")
        assert len(bench.backends[0].received) == 1

    def test_late_answer_of_a_non_idempotent_request_is_unknown(self):
        bench = Bench()

        async def answer(number, head, body):
            await asyncio.sleep(0.4)
            return fakes.http_answer()

        for _ in range(2):
            bench.add_backend(answer)

        async def scenario():
            response = await bench.fetch(
                method="POST",
                headers={"Baobabdoor-Deadline-Ms": "100"},
                body=b"",
            )
            await asyncio.sleep(0.4)
            return response

        response = bench.run(scenario)
        assert (response.code, outcome(response)) == (504, "unknown")
        assert sum(len(b.received) for b in bench.backends) == 1

    def test_refused_connection_is_not_run_and_tried_elsewhere(self):
        bench = Bench()
        bench.view.vms.append(fakes.vm("dead", "127.0.0.1:9"))

        async def scenario():
            alone = await bench.fetch(method="POST", body=b"charge")
            backend = fakes.RawServer(echo)
            backend.start()
            bench.backends.append(backend)
            bench.view.vms.append(
                fakes.vm("vm-1", backend.address, zone="subic")
            )
            return alone, await bench.fetch("/y", "POST", body=b"charge")

        alone, elsewhere = bench.run(scenario)
        assert (alone.code, outcome(alone)) == (503, "not-run")
        assert json.loads(alone.body)["peer"] == "dead"
        assert (elsewhere.code, elsewhere.body) == (200, b"/y")

    def test_permit_is_checked_in_the_step_that_sends(self):
        # The view changes while the connection is being opened.
        bench = Bench()
        backend = bench.add_backend(echo)
        refusal = base.Refusal(base.Reason.STALE_VIEW, "view")

        async def scenario():
            client = bench.server.client_
            connect = client._connect

            async def connect_slowly(*arguments):
                connection = await connect(*arguments)
                bench.view.forbidden["vm-1"] = refusal
                return connection

            client._connect = connect_slowly
            return await bench.fetch(method="POST", body=b"charge")

        response = bench.run(scenario)
        assert (response.code, outcome(response)) == (503, "not-run")
        assert json.loads(response.body)["reason"] == "stale-view"
        assert backend.received == []

    def test_ticket_runs_once_and_is_replayed(self):
        bench = Bench()
        backend = bench.add_backend(
            lambda number, *_: fakes.http_answer(str(number).encode())
        )

        async def scenario():
            issued = await bench.fetch("/v1/tickets", "POST", body=b"")
            key = {"Idempotency-Key": json.loads(issued.body)["ticket"]}
            responses = [
                await bench.fetch("/x", "POST", key, body=body)
                for body in (b"a", b"a", b"b")
            ]
            # A repeat must not be told that its request was not run.
            bench.queue.closed = True
            responses.append(await bench.fetch("/x", "POST", key, body=b"a"))
            bench.server.caller_.draining = True
            responses.append(await bench.fetch("/x", "POST", key, body=b"a"))
            return responses

        first, repeat, other, full, draining = bench.run(scenario)
        assert (first.body, repeat.body, full.body) == (b"1", b"1", b"1")
        assert (other.code, outcome(other)) == (422, "not-run")
        assert outcome(draining) == "unknown"
        assert len(backend.received) == 1

    @pytest.mark.parametrize("alive", [True, False])
    def test_ticket_of_another_entry_is_run_there_or_unknown(self, alive):
        bench = Bench()
        backend = bench.add_backend(echo)
        issuer = idempotency.Tickets("entry-2", "1", bytes(16))
        reply = requests.Reply(200, "OK", [], b"there")
        if alive:
            stored = idempotency.to_json(reply)
            bench.control.peer_answer = json.dumps(stored).encode()

        async def scenario():
            key = {"Idempotency-Key": issuer.issue(0.0)}
            return await bench.fetch("/x", "POST", key, body=b"a")

        response = bench.run(scenario)
        assert outcome(response) == ("done" if alive else "unknown")
        assert bench.control.posted[0][0] == "entry-2"
        assert backend.received == []

    def test_request_forwarded_by_a_peer_is_run_once(self):
        bench = Bench()
        backend = bench.add_backend(echo)

        async def scenario():
            sender = Bench()

            async def post_peer(peer, path, headers, body, timeout_s):
                return await bench.server.peer_receiver.answer(peer, 1, body)

            sender.control.post_peer = post_peer
            issued = await bench.fetch("/v1/tickets", "POST", body=b"")
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

        responses = bench.run(scenario)
        assert [r.body for r in responses] == [b"/peer", b"/peer"]
        assert len(backend.received) == 1


class TestLeaving:

    def test_server_that_says_it_is_leaving_gets_no_more(self):
        bench = Bench()
        leaving = bench.add_backend(
            lambda *_: fakes.http_answer(
                b"", "503 Leaving", "Connection: close\r\n"
            )
        )
        bench.add_backend(echo, zone="subic")

        bench.allow_retries()

        async def scenario():
            return [(await bench.fetch(f"/{n}")).body for n in range(5)]

        assert bench.run(scenario) == [f"/{n}".encode() for n in range(5)]
        assert len(leaving.received) == 1

    def test_vm_marked_in_the_view_gets_no_more(self):
        bench = Bench()
        backend = bench.add_backend(echo)

        async def scenario():
            await bench.fetch("/1")
            vm = bench.view.vms[0]
            bench.view.vms[0] = fakes.vm(vm.vm_id, vm.address, leaving=True)
            return await bench.fetch(
                "/2", headers={"Baobabdoor-Deadline-Ms": "200"}
            )

        response = bench.run(scenario)
        assert (response.code, outcome(response)) == (504, "not-run")
        assert len(backend.received) == 1


class TestBadInput:

    @pytest.mark.parametrize(
        ("request_bytes", "status", "reason"),
        [
            (head_of(Baobabdoor_Pool=""), 400, "bad-request"),
            (head_of(Baobabdoor_Pool="nope"), 400, "unknown-pool"),
            (head_of(Priority="u=9"), 400, "bad-request"),
            (head_of(X_Long="x" * 20_000), 413, "too-large"),
            (head_of(Content_Length="100001"), 413, "too-large"),
            (head_of(Content_Length="x"), 400, "bad-request"),
            (
                head_of(Content_Length="5", Transfer_Encoding="chunked"),
                400,
                "bad-request",
            ),
            (head_of(Baobabdoor_Deadline_Ms="0"), 504, "deadline-expired"),
            (
                head_of(Transfer_Encoding="chunked")
                + b"ffff\r\n"
                + b"x" * 65_535
                + b"\r\nffff\r\n"
                + b"x" * 65_535,
                413,
                "too-large",
            ),
            (head_of(path="/v1/jobs"), 404, "not-found"),
        ],
    )
    def test_one_clear_refusal_and_nothing_is_sent(
        self, request_bytes, status, reason
    ):
        bench = Bench()
        backend = bench.add_backend(echo)

        async def scenario():
            result = await bench.raw(request_bytes)
            await asyncio.sleep(0.05)
            return result

        found, body = bench.run(scenario)
        assert (found, body["reason"]) == (status, reason)
        assert body["outcome"] == "not-run"
        assert backend.received == []
        assert bench.server.caller_.buffered_ == 0

    @pytest.mark.parametrize("lengths", [("5", "6"), ("-1",), ("5,6",)])
    def test_a_body_of_unclear_length_gets_one_answer(self, lengths):
        bench = Bench()
        bench.add_backend(echo)
        fields = "".join(f"Content-Length: {text}\r\n" for text in lengths)
        request = head_of().decode().removesuffix("\r\n") + fields + "\r\n"

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(request.encode() + b"hello")
            received = await reader.read()
            writer.close()
            return received

        received = bench.run(scenario)
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.startswith(b"HTTP/1.1 400 ")

    def test_slow_body_times_out_and_holds_no_slot(self, monkeypatch):
        monkeypatch.setattr(_caller_request, "BODY_TIMEOUT_S", 0.3)
        bench = Bench(per_worker=1)
        backend = bench.add_backend(echo)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(head_of(Content_Length="10") + b"ab")
            await asyncio.sleep(0.1)
            other = await bench.fetch("/other")
            answer = await read_answer(reader)
            rest = await reader.read()
            return other.body, answer, rest

        other, (status, headers, body), rest = bench.run(scenario)
        assert (other, status, rest) == (b"/other", 504, b"")
        assert headers["Baobabdoor-Outcome"] == "not-run"
        assert json.loads(body)["reason"] == "timeout"
        assert len(backend.received) == 1
        assert bench.server.caller_.buffered_ == 0

    def test_truncated_request_is_not_sent(self):
        bench = Bench()
        backend = bench.add_backend(echo)

        async def scenario():
            _, writer = await bench.connect()
            writer.write(head_of(Content_Length="10") + b"ab")
            await asyncio.sleep(0.05)
            writer.close()
            await until(lambda: not bench.server.caller_.open_)
            await asyncio.sleep(0.05)

        bench.run(scenario)
        assert backend.received == []
        assert not bench.queue.length
        assert bench.server.caller_.buffered_ == 0

    def test_refusal_comes_before_the_body_and_keeps_the_connection(self):
        bench = Bench(queue_limit=0)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(head_of(Content_Length="10"))
            refused = await read_answer(reader)
            writer.write(b"x" * 10 + head_of("GET"))
            return refused, await read_answer(reader)

        refused, following = bench.run(scenario)
        assert (refused[0], following[0]) == (429, 429)

    def test_held_refusal_comes_late_and_keeps_the_connection(self):
        """Guards against callers that repeat refused requests at once."""
        bench = Bench(queue_limit=0)
        delays = [0.2, 0.0]
        bench.queue.refusal_delay_s = lambda item, now_s: delays.pop(0)

        async def scenario():
            reader, writer = await bench.connect()
            start_s = bench.timers.now_s()
            writer.write(head_of(Content_Length="10") + b"x" * 10)
            refused = await read_answer(reader)
            held_s = bench.timers.now_s() - start_s
            writer.write(head_of("GET"))
            return held_s, refused, await read_answer(reader)

        held_s, refused, following = bench.run(scenario)
        assert held_s >= 0.2
        assert (refused[0], following[0]) == (429, 429)
        assert bench.server.caller_.buffered_ == 0

    def test_refused_caller_that_expects_100_sends_no_body(self):
        bench = Bench(queue_limit=0)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(head_of(Content_Length="10", Expect="100-continue"))
            return await reader.read()

        answer = bench.run(scenario)
        assert answer.startswith(b"HTTP/1.1 429")
        assert b"100" not in answer.split(b"\r\n")[0]

    def test_all_bodies_together_are_bounded(self, monkeypatch):
        monkeypatch.setattr(_caller_server, "MAX_BUFFERED_BYTES", 150_000)
        bench = Bench()
        bench.add_backend(echo)

        async def scenario():
            writers = []
            for _ in range(3):
                _, writer = await bench.connect()
                writer.write(head_of(Content_Length="90000") + b"x" * 60_000)
                writers.append(writer)
                await asyncio.sleep(0.05)
            held = bench.server.caller_.buffered_
            for writer in writers:
                writer.close()
            await until(lambda: bench.server.caller_.buffered_ == 0)
            return held

        assert bench.run(scenario) <= 150_000

    def test_large_answers_wait_for_memory_and_all_arrive(self):
        # Guards against memory without bound, and against answers that are
        # each half received and wait for each other.
        bench = Bench()
        body = b"x" * 90_000
        whole = fakes.http_answer(body)
        # All are half received at the same time.
        bench.add_backend(lambda *_: [whole[:60_000], whole[60_000:]])
        memory = bench.server.client_.memory_
        memory.limit_bytes = 100_000

        async def scenario():
            return await asyncio.gather(*(bench.fetch() for _ in range(24)))

        assert all(r.body == body for r in bench.run(scenario))
        assert (memory.used_, memory.waiting_) == (0, {})

    def test_slowest_reader_is_cut_off_when_answers_pile_up(self, monkeypatch):
        monkeypatch.setattr(_caller_server, "MAX_UNREAD_BYTES", 5_000_000)
        bench = Bench(max_body_bytes=4_000_000)
        body = b"x" * 4_000_000
        bench.add_backend(lambda *_: fakes.http_answer(body))

        async def scenario():
            slow = []
            for _ in range(2):
                reader, writer = await bench.connect()
                writer.transport.pause_reading()
                writer.write(head_of("GET"))
                slow.append((reader, writer))
                await until(lambda: len(bench.server.caller_.open_))
                await asyncio.sleep(0.2)
            await until(lambda: bench.server.caller_.unread_ < 5_000_000)
            for _, writer in slow:
                writer.transport.resume_reading()
            return [len(await reader.read()) for reader, _ in slow[:1]]

        (received,) = bench.run(scenario)
        assert received < 4_000_000

    def test_caller_that_leaves_the_queue_is_not_served(self):
        bench = Bench(per_worker=0)
        backend = bench.add_backend(echo)

        async def scenario():
            _, writer = await bench.connect()
            writer.write(head_of("GET"))
            await until(lambda: bench.queue.length)
            writer.close()
            await until(lambda: not bench.queue.length)

        bench.run(scenario)
        assert backend.received == []

    def test_idle_connection_is_closed(self, monkeypatch):
        monkeypatch.setattr(_caller_request, "IDLE_S", 0.1)
        bench = Bench()

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(b"GET / HT")
            return await asyncio.wait_for(reader.read(), 3.0)

        assert bench.run(scenario) == b""


class TestShutdown:

    def test_graceful_shutdown_cuts_nothing_off(self):
        # One request is running, one queued, one body half sent.
        bench = Bench(per_worker=1)

        async def answer(number, head, body):
            await asyncio.sleep(0.4)
            return echo(number, head, body)

        bench.add_backend(answer)

        async def scenario():
            running = asyncio.ensure_future(bench.fetch("/running"))
            await until(lambda: bench.server.path_.tasks_)
            queued = asyncio.ensure_future(bench.fetch("/queued"))
            reader, writer = await bench.connect()
            writer.write(head_of(path="/body", Content_Length="4") + b"ab")
            await until(lambda: bench.queue.length == 2)
            stopping = asyncio.ensure_future(bench.server.stop())
            await asyncio.sleep(0.02)
            ready = await bench.fetch("/readyz")
            answers = [await running, await queued]
            await asyncio.sleep(0.1)
            writer.write(b"cd")
            body_answer = await read_answer(reader)
            with pytest.raises(OSError):
                await bench.connect()
            drained = await stopping
            return ready, answers, body_answer, drained

        async def whole():
            for backend in bench.backends:
                backend.start()
            await bench.server.start()
            return await scenario()

        ready, answers, body_answer, drained = asyncio.run(whole())
        assert (ready.code, drained) == (503, True)
        assert [r.body for r in answers] == [b"/running", b"/queued"]
        assert body_answer[2] == b"/body"
        assert body_answer[1]["Connection"] == "close"

    def test_connection_not_yet_accepted_is_answered(self):
        bench = Bench()

        async def scenario():
            # The connection is complete, but the loop has not accepted it.
            with socket.create_connection(("127.0.0.1", bench.port)) as client:
                client.sendall(head_of("GET"))
                bench.server.caller_.draining = True
                bench.server.caller_http_.stop_accepting()
                await asyncio.sleep(0.1)
                return client.recv(1000)

        answer = bench.run(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Baobabdoor-Outcome: not-run" in answer

    def test_drain_that_takes_too_long_answers_unknown(self):
        bench = Bench(drain_s=0.3)
        bench.add_backend(lambda *_: None)

        async def scenario():
            request = asyncio.ensure_future(bench.fetch("/stuck"))
            await until(lambda: bench.server.path_.tasks_)
            drained = await bench.server.stop()
            return drained, await request

        async def whole():
            bench.backends[0].start()
            await bench.server.start()
            return await scenario()

        drained, response = asyncio.run(whole())
        assert not drained
        assert outcome(response) == "unknown"


class TestControlPort:

    def test_metrics_and_timeline(self):
        bench = Bench()
        bench.add_backend(echo)

        async def scenario():
            await bench.fetch("/x")
            await asyncio.sleep(1.1)
            client = httpclient.AsyncHTTPClient(force_instance=True)
            url = f"http://127.0.0.1:{bench.control_port}"
            metrics = await client.fetch(f"{url}/metrics")
            token = {"Authorization": "Bearer " + "t" * 16}
            events = await client.fetch(f"{url}/v1/timeline", headers=token)
            denied = await client.fetch(f"{url}/v1/timeline", raise_error=False)
            return metrics.body, json.loads(events.body), denied.code

        metrics, events, denied = bench.run(scenario)
        assert b'baobabdoor_requests_total{outcome="done"} 1' in metrics
        assert [e["kind"] for e in events["events"]] == ["entry.started"]
        assert denied == 401

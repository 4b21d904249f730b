"""Tests invalid and large requests to the entry server."""

import asyncio
import json

import attrs
import entry_harness
import pytest
import request_fakes as fakes
from tornado import web

from baobabdoor import transport


class EmptyHandler(web.RequestHandler):
    """Answers 200 without a body."""

    def get(self):
        pass


def limit_memory(harness, request_bytes):
    budget = harness.server.caller_server_.budget
    budget.bounds = attrs.evolve(budget.bounds, request_bytes=request_bytes)


class TestBadInput:

    @pytest.mark.parametrize(
        ("request_bytes", "status", "reason"),
        [
            (
                entry_harness.request_head(Baobabdoor_Pool=""),
                400,
                "bad-request",
            ),
            (
                entry_harness.request_head(Baobabdoor_Pool="nope"),
                400,
                "unknown-pool",
            ),
            (entry_harness.request_head(Priority="u=9"), 400, "bad-request"),
            (entry_harness.request_head(X_Long="x" * 20_000), 413, "too-large"),
            (
                entry_harness.request_head(Content_Length="100001"),
                413,
                "too-large",
            ),
            (
                entry_harness.request_head(Content_Length="x"),
                400,
                "bad-request",
            ),
            (
                entry_harness.request_head(
                    Content_Length="5", Transfer_Encoding="chunked"
                ),
                400,
                "bad-request",
            ),
            (
                entry_harness.request_head(Baobabdoor_Deadline_Ms="0"),
                504,
                "deadline-expired",
            ),
            (
                entry_harness.request_head(Transfer_Encoding="chunked")
                + b"ffff\r\n"
                + b"x" * 65_535
                + b"\r\nffff\r\n"
                + b"x" * 65_535,
                413,
                "too-large",
            ),
            (entry_harness.request_head(path="/v1/jobs"), 404, "not-found"),
        ],
    )
    def test_refusal_names_the_reason_and_nothing_is_sent(
        self, request_bytes, status, reason
    ):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            result = await harness.send_raw(request_bytes)
            await asyncio.sleep(0.05)
            return result

        found, body = harness.run(scenario)
        assert (found, body["reason"]) == (status, reason)
        assert body["outcome"] == "not-run"
        assert backend.received == []
        assert harness.server.caller_server_.buffered_bytes_ == 0

    @pytest.mark.parametrize("lengths", [("5", "6"), ("-1",), ("5,6",)])
    def test_body_of_ambiguous_length_gets_one_response(self, lengths):
        harness = entry_harness.EntryHarness()
        harness.add_backend(entry_harness.echo)
        fields = "".join(f"Content-Length: {text}\r\n" for text in lengths)
        request = (
            entry_harness.request_head().decode().removesuffix("\r\n")
            + fields
            + "\r\n"
        )

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(request.encode() + b"hello")
            received = await reader.read()
            writer.close()
            return received

        received = harness.run(scenario)
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.startswith(b"HTTP/1.1 400 ")

    @pytest.mark.parametrize("length", ["9" * 5000, "\xb2", "x"])
    @pytest.mark.parametrize("path", ["/x", "/v1/jobs"])
    def test_length_that_is_no_usable_number_gets_one_response(
        self, path, length, caplog
    ):
        harness = entry_harness.EntryHarness()
        head = entry_harness.request_head(path=path, Content_Length="L")
        request = head.replace(b": L\r", f": {length}\r".encode("latin-1"))

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(request + b"hello")
            received = await reader.read()
            writer.close()
            return received

        received = harness.run(scenario)
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.startswith(b"HTTP/1.1 4")
        assert not caplog.records

    @pytest.mark.parametrize(
        ("version", "host", "status"),
        [
            ("1.1", b"", 400),
            ("1.1", b"Host: a b/c\r\n", 400),
            ("1.1", b"Host: a\r\nHost: b\r\n", 400),
            ("1.0", b"", 200),
            ("1.1", b"Host: service\r\n", 200),
        ],
    )
    def test_question_about_a_job_is_answered_whatever_its_host(
        self, version, host, status
    ):
        # Guards against a header that ends the handler without an answer.
        harness = entry_harness.EntryHarness()
        harness.server.caller_server_.local_paths.jobs_handler_ = (
            transport.ApplicationHandler(
                web.Application([("/v1/jobs/j", EmptyHandler)])
            )
        )
        request = f"GET /v1/jobs/j HTTP/{version}\r\n".encode() + host

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(request + b"\r\n")
            response = await asyncio.wait_for(
                entry_harness.read_response(reader), 5
            )
            return response[0]

        assert harness.run(scenario) == status

    def test_slow_body_times_out_and_occupies_no_slot(self):
        harness = entry_harness.EntryHarness(per_worker=1, body_timeout_s=0.3)
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(
                entry_harness.request_head(Content_Length="10") + b"ab"
            )
            await asyncio.sleep(0.1)
            other = await harness.fetch("/other")
            response = await entry_harness.read_response(reader)
            rest = await reader.read()
            return other.body, response, rest

        other, (status, headers, body), rest = harness.run(scenario)
        assert (other, status, rest) == (b"/other", 504, b"")
        assert headers["Baobabdoor-Outcome"] == "not-run"
        assert json.loads(body)["reason"] == "timeout"
        assert len(backend.received) == 1
        assert harness.server.caller_server_.buffered_bytes_ == 0

    def test_truncated_request_is_not_sent(self):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            _, writer = await harness.connect()
            writer.write(
                entry_harness.request_head(Content_Length="10") + b"ab"
            )
            await asyncio.sleep(0.05)
            writer.close()
            await entry_harness.wait_until(
                lambda: not harness.server.caller_server_.open_requests_
            )
            await asyncio.sleep(0.05)

        harness.run(scenario)
        assert backend.received == []
        assert not harness.queue.length
        assert harness.server.caller_server_.buffered_bytes_ == 0

    def test_refusal_before_the_body_keeps_the_connection(self):
        harness = entry_harness.EntryHarness(queue_limit=0)

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(entry_harness.request_head(Content_Length="10"))
            refused = await entry_harness.read_response(reader)
            writer.write(b"x" * 10 + entry_harness.request_head("GET"))
            return refused, await entry_harness.read_response(reader)

        refused, next_response = harness.run(scenario)
        assert (refused[0], next_response[0]) == (429, 429)

    def test_delayed_refusal_keeps_the_connection(self):
        """Guards against callers that retry refused requests immediately."""
        harness = entry_harness.EntryHarness(queue_limit=0)
        delays = [0.2, 0.0]
        harness.queue.refusal_delay_s = lambda item, now_s: delays.pop(0)

        async def scenario():
            reader, writer = await harness.connect()
            start_s = harness.timers.now_s()
            writer.write(
                entry_harness.request_head(Content_Length="10") + b"x" * 10
            )
            refused = await entry_harness.read_response(reader)
            delay_s = harness.timers.now_s() - start_s
            writer.write(entry_harness.request_head("GET"))
            return delay_s, refused, await entry_harness.read_response(reader)

        delay_s, refused, next_response = harness.run(scenario)
        assert delay_s >= 0.2
        assert (refused[0], next_response[0]) == (429, 429)
        assert harness.server.caller_server_.buffered_bytes_ == 0

    def test_refused_caller_that_expects_100_sends_no_body(self):
        harness = entry_harness.EntryHarness(queue_limit=0)

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(
                entry_harness.request_head(
                    Content_Length="10", Expect="100-continue"
                )
            )
            return await reader.read()

        response = harness.run(scenario)
        assert response.startswith(b"HTTP/1.1 429")
        assert b"100" not in response.split(b"\r\n")[0]

    def test_total_size_of_bodies_is_bounded(self):
        harness = entry_harness.EntryHarness()
        limit_memory(harness, 150_000)
        harness.add_backend(entry_harness.echo)

        async def scenario():
            writers = []
            for _ in range(3):
                _, writer = await harness.connect()
                writer.write(
                    entry_harness.request_head(Content_Length="90000")
                    + b"x" * 60_000
                )
                writers.append(writer)
                await asyncio.sleep(0.05)
            buffered_bytes = harness.server.caller_server_.buffered_bytes_
            for writer in writers:
                writer.close()
            await entry_harness.wait_until(
                lambda: harness.server.caller_server_.buffered_bytes_ == 0
            )
            return buffered_bytes

        assert harness.run(scenario) <= 150_000

    def test_large_responses_wait_for_memory_and_all_complete(self):
        # Guards against unbounded memory, and against a deadlock of partially
        # received responses that wait for each other's memory.
        harness = entry_harness.EntryHarness()
        body = b"x" * 90_000
        response = fakes.http_response(body)
        # All responses are partially received at the same time.
        harness.add_backend(lambda *_: [response[:60_000], response[60_000:]])
        memory = harness.server.client_.memory_
        memory.limit_bytes = 100_000

        async def scenario():
            return await asyncio.gather(*(harness.fetch() for _ in range(24)))

        assert all(r.body == body for r in harness.run(scenario))
        assert (memory.used_, memory.waiters_) == (0, {})

    def test_slowest_reader_is_disconnected_above_the_limit(self):
        harness = entry_harness.EntryHarness(max_body_bytes=4_000_000)
        limit_memory(harness, 5_000_000)
        body = b"x" * 4_000_000
        harness.add_backend(lambda *_: fakes.http_response(body))

        async def scenario():
            slow_readers = []
            for _ in range(2):
                reader, writer = await harness.connect()
                writer.transport.pause_reading()
                writer.write(entry_harness.request_head("GET"))
                slow_readers.append((reader, writer))
                await entry_harness.wait_until(
                    lambda: len(harness.server.caller_server_.open_requests_)
                )
                await asyncio.sleep(0.2)
            await entry_harness.wait_until(
                lambda: harness.server.caller_server_.buffered_bytes_
                < 5_000_000
            )
            for _, writer in slow_readers:
                writer.transport.resume_reading()
            return [len(await reader.read()) for reader, _ in slow_readers[:1]]

        (received,) = harness.run(scenario)
        assert received < 4_000_000

    def test_disconnected_caller_is_removed_from_the_queue(self):
        harness = entry_harness.EntryHarness(per_worker=0)
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            _, writer = await harness.connect()
            writer.write(entry_harness.request_head("GET"))
            await entry_harness.wait_until(lambda: harness.queue.length)
            writer.close()
            await entry_harness.wait_until(lambda: not harness.queue.length)

        harness.run(scenario)
        assert backend.received == []

    def test_unfinished_header_is_closed(self):
        harness = entry_harness.EntryHarness(header_timeout_s=0.1)

        async def scenario():
            reader, writer = await harness.connect()
            writer.write(b"GET / HT")
            return await asyncio.wait_for(reader.read(), 3.0)

        assert harness.run(scenario) == b""

    def test_idle_connection_is_closed(self):
        harness = entry_harness.EntryHarness(idle_timeout_s=0.1)

        async def scenario():
            reader, _ = await harness.connect()
            return await asyncio.wait_for(reader.read(), 3.0)

        assert harness.run(scenario) == b""

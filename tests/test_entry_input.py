"""Tests of bad and large requests at the entry server."""

import asyncio
import json

import entry_bench
import pytest
import request_fakes as fakes

from baobabdoor.entry import _caller_request
from baobabdoor.entry import _caller_server


class TestBadInput:

    @pytest.mark.parametrize(
        ("request_bytes", "status", "reason"),
        [
            (entry_bench.head_of(Baobabdoor_Pool=""), 400, "bad-request"),
            (entry_bench.head_of(Baobabdoor_Pool="nope"), 400, "unknown-pool"),
            (entry_bench.head_of(Priority="u=9"), 400, "bad-request"),
            (entry_bench.head_of(X_Long="x" * 20_000), 413, "too-large"),
            (entry_bench.head_of(Content_Length="100001"), 413, "too-large"),
            (entry_bench.head_of(Content_Length="x"), 400, "bad-request"),
            (
                entry_bench.head_of(
                    Content_Length="5", Transfer_Encoding="chunked"
                ),
                400,
                "bad-request",
            ),
            (
                entry_bench.head_of(Baobabdoor_Deadline_Ms="0"),
                504,
                "deadline-expired",
            ),
            (
                entry_bench.head_of(Transfer_Encoding="chunked")
                + b"ffff\r\n"
                + b"x" * 65_535
                + b"\r\nffff\r\n"
                + b"x" * 65_535,
                413,
                "too-large",
            ),
            (entry_bench.head_of(path="/v1/jobs"), 404, "not-found"),
        ],
    )
    def test_one_clear_refusal_and_nothing_is_sent(
        self, request_bytes, status, reason
    ):
        bench = entry_bench.Bench()
        backend = bench.add_backend(entry_bench.echo)

        async def scenario():
            result = await bench.raw(request_bytes)
            await asyncio.sleep(0.05)
            return result

        found, body = bench.run(scenario)
        assert (found, body["reason"]) == (status, reason)
        assert body["outcome"] == "not-run"
        assert backend.received == []
        assert bench.server.caller_server_.buffered_bytes_ == 0

    @pytest.mark.parametrize("lengths", [("5", "6"), ("-1",), ("5,6",)])
    def test_a_body_of_unclear_length_gets_one_answer(self, lengths):
        bench = entry_bench.Bench()
        bench.add_backend(entry_bench.echo)
        fields = "".join(f"Content-Length: {text}\r\n" for text in lengths)
        request = (
            entry_bench.head_of().decode().removesuffix("\r\n")
            + fields
            + "\r\n"
        )

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
        bench = entry_bench.Bench(per_worker=1)
        backend = bench.add_backend(entry_bench.echo)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(entry_bench.head_of(Content_Length="10") + b"ab")
            await asyncio.sleep(0.1)
            other = await bench.fetch("/other")
            answer = await entry_bench.read_answer(reader)
            rest = await reader.read()
            return other.body, answer, rest

        other, (status, headers, body), rest = bench.run(scenario)
        assert (other, status, rest) == (b"/other", 504, b"")
        assert headers["Baobabdoor-Outcome"] == "not-run"
        assert json.loads(body)["reason"] == "timeout"
        assert len(backend.received) == 1
        assert bench.server.caller_server_.buffered_bytes_ == 0

    def test_truncated_request_is_not_sent(self):
        bench = entry_bench.Bench()
        backend = bench.add_backend(entry_bench.echo)

        async def scenario():
            _, writer = await bench.connect()
            writer.write(entry_bench.head_of(Content_Length="10") + b"ab")
            await asyncio.sleep(0.05)
            writer.close()
            await entry_bench.until(
                lambda: not bench.server.caller_server_.open_requests_
            )
            await asyncio.sleep(0.05)

        bench.run(scenario)
        assert backend.received == []
        assert not bench.queue.length
        assert bench.server.caller_server_.buffered_bytes_ == 0

    def test_refusal_comes_before_the_body_and_keeps_the_connection(self):
        bench = entry_bench.Bench(queue_limit=0)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(entry_bench.head_of(Content_Length="10"))
            refused = await entry_bench.read_answer(reader)
            writer.write(b"x" * 10 + entry_bench.head_of("GET"))
            return refused, await entry_bench.read_answer(reader)

        refused, following = bench.run(scenario)
        assert (refused[0], following[0]) == (429, 429)

    def test_held_refusal_comes_late_and_keeps_the_connection(self):
        """Guards against callers that repeat refused requests at once."""
        bench = entry_bench.Bench(queue_limit=0)
        delays = [0.2, 0.0]
        bench.queue.refusal_delay_s = lambda item, now_s: delays.pop(0)

        async def scenario():
            reader, writer = await bench.connect()
            start_s = bench.timers.now_s()
            writer.write(entry_bench.head_of(Content_Length="10") + b"x" * 10)
            refused = await entry_bench.read_answer(reader)
            held_s = bench.timers.now_s() - start_s
            writer.write(entry_bench.head_of("GET"))
            return held_s, refused, await entry_bench.read_answer(reader)

        held_s, refused, following = bench.run(scenario)
        assert held_s >= 0.2
        assert (refused[0], following[0]) == (429, 429)
        assert bench.server.caller_server_.buffered_bytes_ == 0

    def test_refused_caller_that_expects_100_sends_no_body(self):
        bench = entry_bench.Bench(queue_limit=0)

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(
                entry_bench.head_of(Content_Length="10", Expect="100-continue")
            )
            return await reader.read()

        answer = bench.run(scenario)
        assert answer.startswith(b"HTTP/1.1 429")
        assert b"100" not in answer.split(b"\r\n")[0]

    def test_all_bodies_together_are_bounded(self, monkeypatch):
        monkeypatch.setattr(_caller_server, "MAX_BUFFERED_BYTES", 150_000)
        bench = entry_bench.Bench()
        bench.add_backend(entry_bench.echo)

        async def scenario():
            writers = []
            for _ in range(3):
                _, writer = await bench.connect()
                writer.write(
                    entry_bench.head_of(Content_Length="90000") + b"x" * 60_000
                )
                writers.append(writer)
                await asyncio.sleep(0.05)
            held = bench.server.caller_server_.buffered_bytes_
            for writer in writers:
                writer.close()
            await entry_bench.until(
                lambda: bench.server.caller_server_.buffered_bytes_ == 0
            )
            return held

        assert bench.run(scenario) <= 150_000

    def test_large_answers_wait_for_memory_and_all_arrive(self):
        # Guards against memory without bound, and against answers that are
        # each half received and wait for each other.
        bench = entry_bench.Bench()
        body = b"x" * 90_000
        whole = fakes.http_answer(body)
        # All are half received at the same time.
        bench.add_backend(lambda *_: [whole[:60_000], whole[60_000:]])
        memory = bench.server.client_.memory_
        memory.limit_bytes = 100_000

        async def scenario():
            return await asyncio.gather(*(bench.fetch() for _ in range(24)))

        assert all(r.body == body for r in bench.run(scenario))
        assert (memory.used_, memory.waiters_) == (0, {})

    def test_slowest_reader_is_cut_off_when_answers_pile_up(self, monkeypatch):
        monkeypatch.setattr(_caller_server, "MAX_UNREAD_BYTES", 5_000_000)
        bench = entry_bench.Bench(max_body_bytes=4_000_000)
        body = b"x" * 4_000_000
        bench.add_backend(lambda *_: fakes.http_answer(body))

        async def scenario():
            slow = []
            for _ in range(2):
                reader, writer = await bench.connect()
                writer.transport.pause_reading()
                writer.write(entry_bench.head_of("GET"))
                slow.append((reader, writer))
                await entry_bench.until(
                    lambda: len(bench.server.caller_server_.open_requests_)
                )
                await asyncio.sleep(0.2)
            await entry_bench.until(
                lambda: bench.server.caller_server_.unread_bytes_ < 5_000_000
            )
            for _, writer in slow:
                writer.transport.resume_reading()
            return [len(await reader.read()) for reader, _ in slow[:1]]

        (received,) = bench.run(scenario)
        assert received < 4_000_000

    def test_caller_that_leaves_the_queue_is_not_served(self):
        bench = entry_bench.Bench(per_worker=0)
        backend = bench.add_backend(entry_bench.echo)

        async def scenario():
            _, writer = await bench.connect()
            writer.write(entry_bench.head_of("GET"))
            await entry_bench.until(lambda: bench.queue.length)
            writer.close()
            await entry_bench.until(lambda: not bench.queue.length)

        bench.run(scenario)
        assert backend.received == []

    def test_idle_connection_is_closed(self, monkeypatch):
        monkeypatch.setattr(_caller_request, "IDLE_TIMEOUT_S", 0.1)
        bench = entry_bench.Bench()

        async def scenario():
            reader, writer = await bench.connect()
            writer.write(b"GET / HT")
            return await asyncio.wait_for(reader.read(), 3.0)

        assert bench.run(scenario) == b""

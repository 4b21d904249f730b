"""Tests of the backend stand-in over real sockets."""

import asyncio
import json

import pytest
from tornado import testing

from baobabdoor.standin import _backend
from baobabdoor.standin import _backend_server


def free_port():
    sock, port = testing.bind_unused_port(address="127.0.0.1")
    sock.close()
    return port


async def exchange(port, headers=(), body=b"", path="/work"):
    """Sends one request and returns all bytes until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    try:
        return await reader.read()
    finally:
        writer.close()


def run(scenario, slots=2, max_connections=4):
    """Runs `scenario(server, vm, port)` with one backend server up."""

    async def whole():
        port = free_port()
        vm = _backend.BackendVm(
            "vm-1", f"127.0.0.1:{port}", "desk", slots, max_connections
        )
        server = _backend_server.BackendServer([vm])
        server.start()
        try:
            await scenario(server, vm, port)
        finally:
            await server.stop()

    asyncio.run(whole())


class TestEcho:

    def test_tells_whose_answer_it_is(self):
        async def scenario(server, vm, port):
            headers = ["X-Request-Id: r1", "Baobabdoor-Pool: desk"]
            answer = await exchange(port, headers, b"12345", "/a?b=1")
            plain = json.loads(answer.partition(b"\r\n\r\n")[2])
            assert plain["request_id"] == "r1"
            assert plain["path"] == "/a?b=1"
            assert plain["body_bytes"] == 5
            assert plain["pool"] == "desk"
            assert plain["runs"] == 1

        run(scenario)

    def test_counts_runs_of_a_key_over_request_ids(self):
        async def scenario(server, vm, port):
            for number in range(2):
                headers = [f"X-Request-Id: r{number}", "Idempotency-Key: k"]
                await exchange(port, headers)
            assert server.counter_.repeated() == {"key:k": 2}

        run(scenario)

    def test_counter_forgets_the_oldest(self):
        counter = _backend.RunCounter(max_keys=2)
        for key in "abc":
            counter.add(key)
        assert list(counter.runs_) == ["b", "c"]


class TestLimits:

    def test_requests_beyond_the_slots_wait(self):
        async def scenario(server, vm, port):
            headers = ["Standin-Work-Ms: 100"]
            calls = [exchange(port, headers) for _ in range(4)]
            waiting = asyncio.gather(*calls)
            await asyncio.sleep(0.05)
            assert (vm.running, vm.waiting) == (2, 2)
            answers = await waiting
            assert all(b"200 OK" in answer for answer in answers)
            assert (vm.running, vm.waiting, vm.connections) == (0, 0, 0)

        run(scenario)

    def test_connections_beyond_the_limit_are_closed(self):
        async def scenario(server, vm, port):
            headers = ["Standin-Work-Ms: 100"]
            calls = [exchange(port, headers) for _ in range(6)]
            answers = await asyncio.gather(*calls, return_exceptions=True)
            served = [a for a in answers if isinstance(a, bytes) and a]
            assert len(served) == 4
            assert vm.refused_connections == 2

        run(scenario)

    def test_abandoned_waiting_request_is_not_run(self):
        async def scenario(server, vm, port):
            first = asyncio.ensure_future(
                exchange(port, ["Standin-Work-Ms: 200"])
            )
            await asyncio.sleep(0.05)
            second = asyncio.ensure_future(exchange(port))
            await asyncio.sleep(0.05)
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)
            await first
            await asyncio.sleep(0.05)
            assert vm.runs == 1

        run(scenario, slots=1)


class TestFaults:

    def answer(self, kind, **options):
        result = {}

        async def scenario(server, vm, port):
            vm.fault = _backend.FaultPlan(kind, count=1, **options)
            result["answer"] = await exchange(port)
            result["runs"] = vm.runs
            assert b"200 OK" in await exchange(port)
            assert vm.in_progress == 0

        run(scenario)
        return result["answer"], result["runs"]

    def test_close_before_running(self):
        assert self.answer("close-before") == (b"", 0)

    def test_close_after_running(self):
        assert self.answer("close-after") == (b"", 1)

    def test_refusing_does_not_run(self):
        answer, runs = self.answer("refusing")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in answer
        assert runs == 0

    def test_failing_runs(self):
        answer, runs = self.answer("failing")
        assert answer.startswith(b"HTTP/1.1 500")
        assert runs == 1

    @pytest.mark.parametrize("kind", ["late", "slow-body"])
    def test_late_and_slow_answers_are_whole(self, kind):
        answer, runs = self.answer(kind, delay_s=0.1)
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["runs"] == 1
        assert runs == 1

    def declared_and_sent(self, kind):
        answer, _ = self.answer(kind)
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.partition(b"Content-Length: ")[2].split()[0]), len(body)

    def test_truncated_answer_is_shorter_than_declared(self):
        declared, sent = self.declared_and_sent("truncated")
        assert sent < declared

    def test_answer_of_wrong_length_is_longer_than_declared(self):
        declared, sent = self.declared_and_sent("wrong-length")
        assert sent > declared

    def test_unknown_fault_is_rejected(self):
        with pytest.raises(ValueError):
            _backend.FaultPlan("unheard")


class TestReboot:

    def test_counts_what_a_reboot_cuts_off(self):
        # A drain that ends too early must be visible.
        async def scenario(server, vm, port):
            call = asyncio.ensure_future(
                exchange(port, ["Standin-Work-Ms: 200"])
            )
            await asyncio.sleep(0.05)
            await server.take_down(vm.address)
            assert vm.cut_off == 1
            assert await call == b""
            with pytest.raises(ConnectionRefusedError):
                await exchange(port)
            server.bring_up(vm.address)
            assert b"200 OK" in await exchange(port)

        run(scenario)

"""Tests of leaving servers, of stops and of the control port."""

import asyncio
import json
import socket

import entry_bench
import pytest
import request_fakes as fakes
from tornado import httpclient


class TestLeaving:

    def test_server_that_says_it_is_leaving_gets_no_more(self):
        bench = entry_bench.Bench()
        leaving = bench.add_backend(
            lambda *_: fakes.http_answer(
                b"", "503 Leaving", "Connection: close\r\n"
            )
        )
        bench.add_backend(entry_bench.echo, zone="subic")

        bench.allow_retries()

        async def scenario():
            return [(await bench.fetch(f"/{n}")).body for n in range(5)]

        assert bench.run(scenario) == [f"/{n}".encode() for n in range(5)]
        assert len(leaving.received) == 1

    def test_vm_marked_in_the_view_gets_no_more(self):
        bench = entry_bench.Bench()
        backend = bench.add_backend(entry_bench.echo)

        async def scenario():
            await bench.fetch("/1")
            vm = bench.view.vms[0]
            bench.view.vms[0] = fakes.vm(vm.vm_id, vm.address, leaving=True)
            return await bench.fetch(
                "/2", headers={"Baobabdoor-Deadline-Ms": "200"}
            )

        response = bench.run(scenario)
        assert (response.code, entry_bench.outcome(response)) == (
            504,
            "not-run",
        )
        assert len(backend.received) == 1


class TestShutdown:

    def test_graceful_shutdown_cuts_nothing_off(self):
        # One request is running, one queued, one body half sent.
        bench = entry_bench.Bench(per_worker=1)

        async def answer(number, head, body):
            await asyncio.sleep(0.4)
            return entry_bench.echo(number, head, body)

        bench.add_backend(answer)

        async def scenario():
            running = asyncio.ensure_future(bench.fetch("/running"))
            await entry_bench.until(lambda: bench.server.dispatcher_.tasks_)
            queued = asyncio.ensure_future(bench.fetch("/queued"))
            reader, writer = await bench.connect()
            writer.write(
                entry_bench.head_of(path="/body", Content_Length="4") + b"ab"
            )
            await entry_bench.until(lambda: bench.queue.length == 2)
            stopping = asyncio.ensure_future(bench.server.stop())
            await asyncio.sleep(0.02)
            ready = await bench.fetch("/readyz")
            answers = [await running, await queued]
            await asyncio.sleep(0.1)
            writer.write(b"cd")
            body_answer = await entry_bench.read_answer(reader)
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
        bench = entry_bench.Bench()

        async def scenario():
            # The connection is complete, but the loop has not accepted it.
            with socket.create_connection(("127.0.0.1", bench.port)) as client:
                client.sendall(entry_bench.head_of("GET"))
                bench.server.caller_server_.draining = True
                bench.server.caller_http_server_.stop_accepting()
                await asyncio.sleep(0.1)
                return client.recv(1000)

        answer = bench.run(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Baobabdoor-Outcome: not-run" in answer

    def test_drain_that_takes_too_long_answers_unknown(self):
        bench = entry_bench.Bench(drain_s=0.3)
        bench.add_backend(lambda *_: None)

        async def scenario():
            request = asyncio.ensure_future(bench.fetch("/stuck"))
            await entry_bench.until(lambda: bench.server.dispatcher_.tasks_)
            drained = await bench.server.stop()
            return drained, await request

        async def whole():
            bench.backends[0].start()
            await bench.server.start()
            return await scenario()

        drained, response = asyncio.run(whole())
        assert not drained
        assert entry_bench.outcome(response) == "unknown"


class TestControlPort:

    def test_metrics_and_timeline(self):
        bench = entry_bench.Bench()
        bench.add_backend(entry_bench.echo)

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

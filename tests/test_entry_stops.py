"""Tests leaving servers, the shutdown of an entry and its control port."""

import asyncio
import json
import socket

import entry_harness
import pytest
import request_fakes as fakes
from tornado import httpclient


class TestLeaving:

    def test_server_that_announces_shutdown_gets_no_more_requests(self):
        harness = entry_harness.EntryHarness()
        leaving = harness.add_backend(
            lambda *_: fakes.http_response(
                b"", "503 Leaving", "Connection: close\r\n"
            )
        )
        harness.add_backend(entry_harness.echo, zone="subic")

        harness.allow_retries()

        async def scenario():
            return [(await harness.fetch(f"/{n}")).body for n in range(5)]

        assert harness.run(scenario) == [f"/{n}".encode() for n in range(5)]
        assert len(leaving.received) == 1

    def test_vm_marked_as_leaving_gets_no_more_requests(self):
        harness = entry_harness.EntryHarness()
        backend = harness.add_backend(entry_harness.echo)

        async def scenario():
            await harness.fetch("/1")
            vm = harness.view.vms[0]
            harness.view.vms[0] = fakes.vm(vm.vm_id, vm.address, leaving=True)
            return await harness.fetch(
                "/2", headers={"Baobabdoor-Deadline-Ms": "200"}
            )

        response = harness.run(scenario)
        assert (response.code, entry_harness.outcome(response)) == (
            504,
            "not-run",
        )
        assert len(backend.received) == 1


class TestShutdown:

    def test_graceful_shutdown_completes_all_requests(self):
        # One request is in progress, one is queued, and the body of another is
        # partially sent.
        harness = entry_harness.EntryHarness(per_worker=1)

        async def answer(number, head, body):
            await asyncio.sleep(0.4)
            return entry_harness.echo(number, head, body)

        harness.add_backend(answer)

        async def scenario():
            running = asyncio.ensure_future(harness.fetch("/running"))
            await entry_harness.wait_until(
                lambda: harness.server.dispatcher_.tasks_
            )
            queued = asyncio.ensure_future(harness.fetch("/queued"))
            reader, writer = await harness.connect()
            writer.write(
                entry_harness.request_head(path="/body", Content_Length="4")
                + b"ab"
            )
            await entry_harness.wait_until(lambda: harness.queue.length == 2)
            stopping = asyncio.ensure_future(harness.server.stop())
            await asyncio.sleep(0)
            # Before the event loop can stop accepting connections.
            client = socket.create_connection(("127.0.0.1", harness.port))
            client.sendall(
                entry_harness.request_head(method="GET", path="/readyz")
            )
            ready_reader, _ = await asyncio.open_connection(sock=client)
            ready = await entry_harness.read_response(ready_reader)
            responses = [await running, await queued]
            await asyncio.sleep(0.1)
            writer.write(b"cd")
            body_response = await entry_harness.read_response(reader)
            with pytest.raises(OSError):
                await harness.connect()
            drained = await stopping
            return ready, responses, body_response, drained

        async def run_scenario():
            for backend in harness.backends:
                backend.start()
            await harness.server.start()
            return await scenario()

        ready, responses, body_response, drained = asyncio.run(run_scenario())
        assert (ready[0], drained) == (503, True)
        assert [r.body for r in responses] == [b"/running", b"/queued"]
        assert body_response[2] == b"/body"
        assert body_response[1]["Connection"] == "close"

    def test_connection_not_yet_accepted_gets_a_response(self):
        harness = entry_harness.EntryHarness()

        async def scenario():
            # The connection is established, but the loop has not accepted it.
            with socket.create_connection(
                ("127.0.0.1", harness.port)
            ) as client:
                client.sendall(entry_harness.request_head("GET"))
                harness.server.caller_server_.draining = True
                harness.server.caller_server_.listener.stop()
                await asyncio.sleep(0.1)
                return client.recv(1000)

        response = harness.run(scenario)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"Baobabdoor-Outcome: not-run" in response

    def test_drain_timeout_responds_unknown(self):
        harness = entry_harness.EntryHarness(drain_s=0.3)
        harness.add_backend(lambda *_: None)

        async def scenario():
            request = asyncio.ensure_future(harness.fetch("/stuck"))
            await entry_harness.wait_until(
                lambda: harness.server.dispatcher_.tasks_
            )
            drained = await harness.server.stop()
            return drained, await request

        async def run_scenario():
            harness.backends[0].start()
            await harness.server.start()
            return await scenario()

        drained, response = asyncio.run(run_scenario())
        assert not drained
        assert entry_harness.outcome(response) == "unknown"


class TestControlPort:

    def test_metrics_and_timeline(self):
        harness = entry_harness.EntryHarness()
        harness.add_backend(entry_harness.echo)

        async def scenario():
            await harness.fetch("/x")
            await asyncio.sleep(1.1)
            client = httpclient.AsyncHTTPClient(force_instance=True)
            url = f"http://127.0.0.1:{harness.control_port}"
            metrics = await client.fetch(f"{url}/metrics")
            token = {"Authorization": "Bearer " + "t" * 16}
            events = await client.fetch(f"{url}/v1/timeline", headers=token)
            denied = await client.fetch(f"{url}/v1/timeline", raise_error=False)
            return metrics.body, json.loads(events.body), denied.code

        metrics, events, denied = harness.run(scenario)
        assert b'baobabdoor_requests_total{outcome="done"} 1' in metrics
        assert [e["kind"] for e in events["events"]] == ["entry.started"]
        assert denied == 401

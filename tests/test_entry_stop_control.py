"""Tests of the control port and of the time budget at a planned stop."""

import asyncio
import json
import os
import signal

import entry_harness
import entry_stop_harness
import pytest
from structlog import testing

from baobabdoor import base
from baobabdoor import idempotency

OPERATOR = {"Authorization": "Bearer " + "t" * 16}
SLOW_PATH = "/v1/slow"
LONG_DRAIN_S = 1000.0
# Ends between the time when answers are due and that when they are flushed.
BUSY_UNTIL_ANSWERS = LONG_DRAIN_S - 0.7
BUSY_UNTIL_END = LONG_DRAIN_S
METRICS = entry_harness.request_head(method="GET", path="/metrics")


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
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        harness.components.claims.service = entry_stop_harness.SilentPlatform()
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
            (SLOW_PATH, entry_stop_harness.SlowHandler, {"release": release})
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
        harness = entry_stop_harness.StoppedHarness(drain_s=5.0)
        release = asyncio.Event()

        def release_later():
            asyncio.get_running_loop().call_later(0.5, release.set)

        response, rest = self._run(harness, release, release_later)
        assert (response[0], response[1]["Connection"]) == (200, "close")
        assert (json.loads(response[2]), rest) == ({"done": True}, b"")

    def test_operator_call_without_a_result_gets_an_unknown_result(self):
        # Guards against a call whose effect the operator cannot tell.
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        response, rest = self._run(harness, asyncio.Event(), lambda: None)
        assert (response[0], rest) == (502, b"")
        assert response[1]["Baobabdoor-Outcome"] == "unknown"

    def test_metrics_after_the_signal_close_their_connection(self):
        # Guards against scrapers that keep a connection to an ending process.
        harness = entry_stop_harness.StoppedHarness(balancer_wait_s=1.0)

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


class TestEndOfTheControlPort:

    def test_port_refuses_connections_before_it_closes_idle_ones(self):
        # Guards against a client that loses its connection to a port that
        # still accepts others.
        harness = entry_stop_harness.StoppedHarness(balancer_wait_s=0.5)
        accepted = []

        async def scenario():
            clients = [
                await harness.send(METRICS, harness.control_port)
                for _ in range(3)
            ]
            for reader, _ in clients:
                await entry_harness.read_response(reader)
            listener = harness.server.control_server_.listener
            close = listener.close

            def observe_close(stream, reason):
                accepted.append(harness.accepts(harness.control_port))
                close(stream, reason)

            listener.close = observe_close
            await harness.server.stop()

        harness.run(scenario)
        assert accepted == [False] * 3

    def test_request_is_answered_while_the_port_accepts_connections(self):
        # Guards against a stop whose last step is late, so that no time is
        # left for the requests of the control port.
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)

        async def scenario():
            sent = {}

            async def leave():
                try:
                    await entry_stop_harness.hang()
                except asyncio.CancelledError:
                    sent["accepted"] = harness.accepts(harness.control_port)
                    writer.write(METRICS)
                    raise

            harness.control.stop = leave
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.control_port
            )
            await harness.server.stop()
            try:
                sent["answered"] = bool(await reader.read())
            except ConnectionError:
                sent["answered"] = False
            return sent

        sent = harness.run(scenario)
        assert sent["answered"] or not sent["accepted"]


class TestSignal:

    @pytest.mark.parametrize("late_s", [BUSY_UNTIL_ANSWERS, BUSY_UNTIL_END])
    def test_time_counts_from_the_arrival_of_the_signal(self, late_s):
        # Guards against answers that are due after the kill, or are cut before
        # they are written, because the event loop was busy.
        harness = entry_stop_harness.StoppedHarness(drain_s=LONG_DRAIN_S)
        harness.components.operator_routes = [
            (
                SLOW_PATH,
                entry_stop_harness.SlowHandler,
                {"release": asyncio.Event()},
            )
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
            signalled_s = harness.timers.now_s()
            harness.timers.now_s = lambda: signalled_s
            os.kill(os.getpid(), signal.SIGTERM)
            harness.timers.now_s = lambda: signalled_s + late_s
            response = await entry_harness.read_response(reader)
            await harness.serving
            return response

        response = harness.serve(scenario)
        assert (response[0], response[1]["Connection"]) == (502, "close")


class TestOpenRequests:

    def _logged(self, harness, port, request, is_open):
        """Returns the records of requests that a stop leaves open."""

        async def scenario():
            _, writer = await harness.send(request, port)
            await entry_harness.wait_until(is_open)
            with testing.capture_logs() as logs:
                await harness.server.stop()
            writer.close()
            return logs

        harness.components.operator_routes = [
            (
                SLOW_PATH,
                entry_stop_harness.SlowHandler,
                {"release": asyncio.Event()},
            )
        ]
        return [
            (line["server"], line["phase"], line["method"], line["path"])
            for line in harness.run(scenario)
            if line["event"] == "request_open_at_exit"
        ]

    def test_open_request_of_the_control_port_is_logged(self):
        # Guards against requests that are cut without a trace.
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        server = harness.server

        def is_open():
            server.control_handler_.interrupt = lambda refusal: None
            return server.control_server_.in_progress

        request = entry_harness.request_head(
            method="GET", path=SLOW_PATH, **OPERATOR
        )
        logged = self._logged(harness, harness.control_port, request, is_open)
        assert logged == [("control", "handling", "GET", SLOW_PATH)]

    @pytest.mark.parametrize(
        ("request_part", "record"),
        [
            (b"GET /x HT", ("callers", "header", "", "")),
            (
                entry_harness.request_head(
                    path="/v1/jobs?a=1", **{"Content-Length": "2"}
                ),
                ("callers", "body", "POST", "/v1/jobs"),
            ),
        ],
        ids=["header", "body"],
    )
    def test_open_request_of_the_caller_port_is_logged(
        self, request_part, record
    ):
        # Guards against requests that are cut without a trace.
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        callers = harness.server.caller_server_
        callers.give_up = lambda refusal: None
        logged = self._logged(
            harness, harness.port, request_part, callers.open_requests
        )
        assert logged == [record]

    def test_stop_that_answers_all_requests_logs_none(self):
        harness = entry_stop_harness.StoppedHarness(drain_s=1.0)
        server = harness.server
        logged = self._logged(
            harness,
            harness.control_port,
            METRICS,
            lambda: server.control_server_.budget.usages_,
        )
        assert not logged


class TestTimeBudget:

    @pytest.mark.parametrize("drain_s", [2.0, 3.0])
    def test_silent_platform_does_not_prolong_a_stop(self, drain_s):
        # Guards against claims and an entry row whose writes get no answer.
        harness = entry_stop_harness.StoppedHarness(drain_s=drain_s)
        harness.control.stop = entry_stop_harness.hang
        harness.components.claims.stop = entry_stop_harness.hang

        async def scenario():
            await asyncio.wait_for(harness.server.stop(), drain_s)

        harness.run(scenario)

"""Tests of the soak of planned stops: a short run, and planted faults."""

import asyncio
import contextlib
import math
import random
import signal
import subprocess
import sys
import time

import attrs
import pytest
import soak
import soak_callers
import soak_oracle
import soak_platform
import soak_stop_records
import soak_stops

# Three daemons of this seed have a grace-s of 1 s, two of 2 s and one of 6 s.
SEED = 2010
JOB = "00000000000000f1"
SENT_S = 100.0
# Ignores SIGTERM, and ends with an exit code.
STUBBORN = "signal.signal(signal.SIGTERM, signal.SIG_IGN)"
FAILING = "signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))"
ORDERLY = "signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))"


@pytest.fixture(name="soak_run")
def make_soak_run(tmp_path):
    soak_run = soak.StopSoak(SEED, 1.0, tmp_path)
    yield soak_run
    soak_run.subnet_lock.close()


def rules(soak_run):
    return {violation.rule for violation in soak_run.oracle.violations}


class TestRuns:

    def test_a_series_of_stops_leaves_requests_without_a_response(
        self, tmp_path
    ):
        """Daemons ended with requests in progress and cut their connections."""
        soak_run = soak.run_seed(SEED, 12.0, tmp_path, soak.StopSoak)
        assert not soak_run.oracle.violations, soak.report(SEED, soak_run)
        assert soak_run.accepted
        assert sum(series.stops for series in soak_run.series) == (
            (len(soak_run.series) - 1) * soak_stops.STOPS
        )


class TestCutRequests:
    """A request that is cut is lost, unless the rule LOST excuses it."""

    def make(self, cut_after_s, **changes):
        request = soak_stop_records.CutRequest(
            "POST", "/race/", 0, SENT_S, SENT_S + cut_after_s, 3.0
        )
        return attrs.evolve(request, **changes)

    @pytest.mark.parametrize("cut_after_s", [0.21, 0.3, 2.9])
    def test_a_request_that_waited(self, cut_after_s):
        assert self.make(cut_after_s).is_lost()

    @pytest.mark.parametrize("cut_after_s", [0.0, 0.1, 0.19])
    def test_a_request_that_may_have_been_sent_at_the_exit(self, cut_after_s):
        assert not self.make(cut_after_s).is_lost()

    def test_a_request_whose_deadline_was_reached(self):
        assert not self.make(1.1, deadline_s=1.0).is_lost()

    def test_a_request_that_was_not_sent_as_a_whole(self):
        assert not self.make(0.3, sent_s=math.inf).is_lost()


class TestPlantedFaults:
    """Connections of a stand-in for a daemon that end in different ways."""

    # Over `soak_oracle.LOSS_SLACK_S`, also on a busy machine.
    WAIT_S = 1.0
    RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

    def send(self, soak_run, response: bytes, wait_s: float) -> set[str]:
        """Sends a request to a server that closes the connection.

        Args:
            soak_run: The soak.
            response: What the server sends after it has read the request.
            wait_s: Time from then to the end of the connection.

        Returns:
            The rules that are violated.
        """
        body = b"{}"

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(body))
            writer.write(response)
            await asyncio.sleep(wait_s)
            writer.close()

        async def scenario():
            watch = asyncio.ensure_future(soak_run.loop_watch.run())
            front = soak_run.daemons[0].front
            host, _, port = front.partition(":")
            server = await asyncio.start_server(serve, host, int(port))
            connection = soak_callers.Connection(front)
            await soak_run._send_request(
                "POST", JOB, {0: connection}, random.Random(0), body, 0
            )
            connection.close()
            server.close()
            watch.cancel()

        soak_run.deadline_random.choice = max
        asyncio.run(scenario())
        soak_run._check_results()
        return rules(soak_run)

    def test_a_connection_that_ends_without_a_response(self, soak_run):
        assert self.send(soak_run, b"", self.WAIT_S) == {"LOST"}
        assert soak_run.series[-1].lost == soak_run.series[-1].failed == 1

    @pytest.mark.parametrize("part", [b"", b"\r\n", b"\r\n{"])
    def test_a_response_that_is_not_complete(self, soak_run, part):
        response = self.RESPONSE + part
        assert self.send(soak_run, response, self.WAIT_S) == {"LOST"}

    def test_a_connection_that_ends_as_the_request_arrives(self, soak_run):
        assert not self.send(soak_run, b"", 0.0)
        assert soak_run.series[-1].outcomes == {"cut": 1}

    @pytest.mark.parametrize("wait_s", [0.0, WAIT_S])
    def test_a_complete_response(self, soak_run, wait_s):
        assert not self.send(soak_run, self.RESPONSE + b"\r\n{}", wait_s)
        assert soak_run.series[-1].outcomes == {200: 1}

    def test_a_connection_that_ended_before_is_not_used(self, soak_run):
        """Each stop seemed to cut all idle connections."""

        async def serve(reader, writer):
            writer.close()

        async def scenario():
            front = soak_run.daemons[0].front
            host, _, port = front.partition(":")
            server = await asyncio.start_server(serve, host, int(port))
            connection = soak_callers.Connection(front)
            await connection.open()
            while not connection.streams[0].at_eof():
                await asyncio.sleep(0.01)
            server.close()
            return await connection.request("GET", "/")

        assert asyncio.run(scenario())[1]["error"] == "connect"


class TestProcessEnds:
    """A process that outlives its grace-s was killed without a word."""

    def stop(self, soak_run, code: str, grace_s: float) -> set[str]:
        daemon = soak_run.daemons[0]
        daemon.grace_s = grace_s
        daemon.start = lambda: None

        async def listen(*arguments):
            pass

        soak_run._wait_until_it_listens = listen
        soak_run.random.random = lambda: 1.0
        text = f"import signal, sys, time; {code}; print(flush=True)"
        daemon.process = subprocess.Popen(
            [sys.executable, "-c", f"{text}; time.sleep(60)"],
            stdout=subprocess.PIPE,
        )
        daemon.process.stdout.readline()
        asyncio.run(soak_run._stop_daemon_once(0))
        daemon.process.stdout.close()
        return rules(soak_run)

    def test_a_process_that_has_to_be_killed(self, soak_run):
        assert self.stop(soak_run, STUBBORN, 0.3) == {"STOP"}
        assert soak_run.daemons[0].process.returncode == -signal.SIGKILL

    def test_a_process_that_ends_with_an_error(self, soak_run):
        assert self.stop(soak_run, FAILING, 30.0) == {"STOP"}

    def test_a_process_that_ends_by_itself(self, soak_run):
        assert not self.stop(soak_run, ORDERLY, 30.0)


class TestGeneralSoak:
    """Faults of other daemons excused all requests that a stop cut.

    A fault of a worker or of the store counted as one of each daemon for 5 s,
    and such faults follow each other faster than that.
    """

    @pytest.fixture
    def soak_run(self, tmp_path):
        soak_run = soak.Soak(SEED, 1.0, tmp_path)
        yield soak_run
        soak_run.subnet_lock.close()

    def check(self, soak_run, pending_s: float = 1.0) -> set[str]:
        sent_s = time.monotonic() - pending_s
        soak_run.daemons[0].stopped_s = sent_s
        soak_run._check_interrupted_request(0, JOB, sent_s)
        return rules(soak_run)

    def end_disruption(self, soak_run, ago_s: float, **options) -> None:
        with soak_run.disruptions.span("daemon 1", **options):
            pass
        soak_run.disruptions.unplanned_ended_s -= ago_s

    def test_a_stop_after_a_disruption_of_another_daemon(self, soak_run):
        self.end_disruption(soak_run, soak_platform.CONTACT_S + 1.1)
        assert self.check(soak_run) == {"LOST"}

    def test_a_disruption_shortly_before_the_request(self, soak_run):
        self.end_disruption(soak_run, soak_platform.CONTACT_S + 0.5)
        assert not self.check(soak_run)

    def test_a_request_during_a_disruption(self, soak_run):
        with soak_run.disruptions.span("store"):
            assert not self.check(soak_run)

    def test_other_planned_stops_excuse_nothing(self, soak_run):
        with soak_run.disruptions.span("daemon 1", planned=True):
            assert self.check(soak_run) == {"LOST"}

    def test_a_daemon_that_has_started_again(self, soak_run):
        soak_run.daemons[0].stopping = False
        assert self.check(soak_run) == {"LOST"}

    def test_a_daemon_without_a_stop(self, soak_run):
        soak_run._check_interrupted_request(0, JOB, time.monotonic() - 1.0)
        assert not rules(soak_run)

    @pytest.mark.parametrize(
        ("pending_s", "lost"), [(0.25, True), (0.1, False)]
    )
    def test_the_bound_is_that_of_the_rule(self, soak_run, pending_s, lost):
        assert bool(self.check(soak_run, pending_s)) == lost


class TestLoopWatch:

    def test_a_delay_of_the_loop_is_not_taken_for_a_wait(self):
        async def scenario():
            loop_watch = soak_stop_records.LoopWatch()
            watch = asyncio.ensure_future(loop_watch.run())
            await asyncio.sleep(5 * soak_stop_records.TICK_INTERVAL_S)
            before_s = time.monotonic()
            time.sleep(2 * soak_oracle.LOSS_SLACK_S)
            earliest_s = loop_watch.earliest_s()
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
            return before_s, earliest_s

        before_s, earliest_s = asyncio.run(scenario())
        assert earliest_s <= before_s

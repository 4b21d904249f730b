"""Tests of requests that are in progress when a daemon stops."""

import asyncio

import pytest
import test_dispatch_gateway

from baobabdoor import base
from baobabdoor import transport
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes
from baobabdoor.dispatch import _shutdown


class HangingClient:
    """Sends nothing, or sends a request that is never answered."""

    def __init__(self, sends: bool):
        self.sends = sends

    async def fetch(self, *arguments, permit, **options):
        if self.sends:
            permit()
        await asyncio.Event().wait()


class StoppingFollower(test_dispatch_gateway.Follower):
    """A daemon whose requests to the leader hang while it stops."""

    def __init__(self, sends: bool):
        super().__init__()
        self.timers = base.VirtualTimerService()
        self.shutdown = _shutdown.Shutdown(6.0, self.timers)
        self.gateway = _gateway.Gateway(self.gateway.daemon, self.shutdown)
        self.gateway.daemon.client = HangingClient(sends)

    def call(self, method: str, *arguments) -> _outcomes.Outcome:
        """Returns the outcome of a call once answers are due."""
        queue = test_dispatch_gateway.QUEUE

        async def scenario():
            call = getattr(self.gateway, method)
            task = asyncio.ensure_future(call(*arguments, queue, *self.body))
            await asyncio.sleep(0.01)
            self.shutdown.begin()
            self.timers.advance(self.shutdown.budget.answer_s)
            return await asyncio.wait_for(task, 10.0)

        self.body = [b"{}"] if method == "submit" else []
        self.body.append(3600.0)
        return asyncio.run(scenario())


class TestAnswersDue:
    """Requests waited for their own deadline, which the process missed."""

    @pytest.mark.parametrize("method", ["submit", "cancel"])
    @pytest.mark.parametrize(
        ("sends", "kind"), [(True, "unknown"), (False, "unavailable")]
    )
    def test_outcome_tells_whether_the_request_may_have_been_sent(
        self, method, sends, kind
    ):
        follower = StoppingFollower(sends)
        outcome = follower.call(method, test_dispatch_gateway.JOB)
        assert outcome.kind == kind

    def test_query_of_a_state_ends(self):
        follower = StoppingFollower(True)
        outcome = follower.call("state", test_dispatch_gateway.JOB)
        assert outcome.kind == "unavailable"

    def test_query_of_pending_jobs_ends(self):
        assert StoppingFollower(True).call("pending").kind == "unavailable"

    def test_request_that_comes_after_is_not_sent(self):
        follower = test_dispatch_gateway.Follower()
        follower.gateway.shutdown.answers_due = True
        assert follower.submit().kind == "unavailable"
        assert not follower.client.sent


class TestShutdown:

    def test_time_left_counts_from_the_stop_signal(self):
        timers = base.VirtualTimerService()
        shutdown = _shutdown.Shutdown(6.0, timers)
        timers.advance(100.0)
        shutdown.begin()
        timers.advance(2.0)
        assert shutdown.left_s(5.0) == 3.0
        timers.advance(4.0)
        assert shutdown.left_s(5.0) == 0.0
        assert shutdown.answers_due

    def test_time_counts_from_a_signal_that_is_noticed_late(self):
        timers = base.VirtualTimerService()
        shutdown = _shutdown.Shutdown(1.0, timers)
        shutdown.observe_signal()
        timers.advance(0.9)
        shutdown.observe_signal()
        shutdown.begin()
        assert shutdown.left_s(shutdown.budget.flush_s) == 0.0
        timers.advance(0.0)
        assert shutdown.answers_due


class TestStopServers:

    def test_requests_are_answered_although_the_release_fails(self):
        async def fail():
            raise RuntimeError

        async def scenario():
            server = transport.Server("127.0.0.1:0", None)
            server.start()
            shutdown = _shutdown.Shutdown(0.1)
            await _shutdown.stop_servers([server], shutdown, fail)
            assert shutdown.stopping
            assert not server.drain.accepts
            assert server.drain.refusal

        asyncio.run(scenario())

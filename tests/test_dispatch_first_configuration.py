"""Tests of requests that come before a process has a configuration."""

import asyncio
import types

import dispatch_fixtures
import pytest
from structlog import testing
import test_dispatch_access

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes

JOB = test_dispatch_access.JOB


class UnconfiguredDaemon(test_dispatch_access.FakeDaemon):
    """A daemon that may have no configuration."""

    @property
    def version(self):
        return self.configuration.version if self.configuration else 0


class Entry:
    """An entry whose gateway only notes the queries that reach it."""

    def __init__(self, running_s=0.0):
        self.daemon = UnconfiguredDaemon(
            dispatch_fixtures.Bench(),
            None,
            created_s=platform.boot_time_s() - running_s,
            configured=asyncio.Event(),
            store=types.SimpleNamespace(),
        )
        self.gateway = _gateway.Gateway(self.daemon)
        self.gateway.state = self.state
        self.handler = _callers.CallerHandler(self.daemon, self.gateway)
        self.queries = []

    async def state(self, job_id, queue, timeout_s, caller):
        self.queries.append((job_id, timeout_s))
        return _outcomes.Outcome("state", value="queued")

    def configure(self):
        self.daemon.configuration = test_dispatch_access.configuration(
            public=True
        )
        self.daemon.configured.set()

    def request(self, method="GET", deadline_ms=3000):
        headers = {platform.DEADLINE_HEADER: str(deadline_ms)}
        path = test_dispatch_access.PATH + JOB
        return transport.Request(method, path, "example", headers, b"")

    async def reply(self, **options):
        return await self.handler.serve(self.request(**options))

    async def serve(self, **options):
        return (await self.reply(**options)).status


async def wait_until_idle():
    for _ in range(10):
        await asyncio.sleep(0)


class TestQueries:

    def test_waits_for_the_first_configuration(self):
        async def scenario():
            entry = Entry()
            assert entry.handler.check_header(entry.request()) is None
            answer = asyncio.ensure_future(entry.serve())
            await wait_until_idle()
            assert not answer.done()
            entry.configure()
            assert await answer == 200
            (query,) = entry.queries
            assert query[0] == JOB

        asyncio.run(scenario())

    def test_is_refused_at_its_deadline_logged_and_counted(self):
        async def scenario():
            entry = Entry()
            with testing.capture_logs() as logs:
                reply = await entry.reply(deadline_ms=200)
            assert reply.status == 503
            assert "Retry-After: 1" in reply.headers
            assert [line["job"] for line in logs] == [JOB]
            metrics = observability.render_text(entry.daemon.metrics).decode()
            assert 'method="GET",outcome="unavailable"' in metrics

        asyncio.run(scenario())

    def test_is_refused_at_once_while_the_store_is_down(self):
        async def scenario():
            entry = Entry(running_s=_callers.FIRST_CONFIGURATION_WAIT_S)
            assert entry.handler.check_header(entry.request()).status == 503

        asyncio.run(scenario())

    def test_is_answered_when_the_process_stops(self):
        async def scenario():
            entry = Entry()
            answer = asyncio.ensure_future(entry.serve())
            await wait_until_idle()
            entry.gateway.shutdown._end_waits()
            await wait_until_idle()
            assert answer.done() and answer.result() == 503

        asyncio.run(scenario())


class TestOtherRequests:

    @pytest.mark.parametrize("method", ["POST", "DELETE", "BREW"])
    def test_is_refused_at_the_header(self, method):
        async def scenario():
            entry = Entry()
            reply = entry.handler.check_header(entry.request(method))
            assert reply.status == 503
            assert not entry.queries

        asyncio.run(scenario())

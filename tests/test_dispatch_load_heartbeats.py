"""Tests of a leader whose state takes long to load."""

import asyncio

import attrs
import dispatch_fixtures
import pytest

from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election

HEARTBEAT = (_election.TABLE, _election.PART, _election.HEARTBEAT_KEY)
LEADER = (_election.TABLE, _election.PART, _election.LEADER_KEY)
# Only guards against hangs.
TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.005


class LoadingLeader:
    """A leader whose reads of jobs are not answered until the test says so."""

    def __init__(self):
        self.bench = dispatch_fixtures.Bench()
        self.store = self.bench.store
        self.readable = asyncio.Event()
        self.read_rows = self.store.read
        self.store.read = self.read
        self.controller = self.bench.controller()
        self.bench.daemon.observe_term_end = self.bench.ended.append

    async def read(self, table, *arguments, **options):
        if table == _commits.JOBS_TABLE:
            await self.readable.wait()
        return await self.read_rows(table, *arguments, **options)

    async def wait_for_heartbeats(self, count):
        versions = set()
        while len(versions) < count:
            await asyncio.sleep(POLL_INTERVAL_S)
            if row := self.store.rows.get(HEARTBEAT):
                versions.add(row.version)


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    monkeypatch.setattr(_election, "HEARTBEAT_INTERVAL_S", 0.02)


def run(scenario):
    async def start():
        leader = LoadingLeader()
        leader.controller.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(leader, leader.controller)
        finally:
            leader.controller.end("the test is over")

    asyncio.run(start())


class TestLoadingLeader:

    def test_keeps_its_term_while_it_loads(self):
        """Each leader was replaced while it loaded, so that none remained."""

        async def scenario(leader, controller):
            elected_s = controller.committer.confirmed_s
            await leader.wait_for_heartbeats(3)
            assert controller.committer.confirmed_s > elected_s
            assert not controller.loaded.is_set()
            leader.readable.set()
            await controller.loaded.wait()
            assert not controller.ended

        run(scenario)

    def test_ends_its_term_when_another_leader_was_elected(self):
        """A leader that had been replaced went on to load."""

        async def scenario(leader, controller):
            row = leader.store.rows[LEADER]
            leader.store.rows[LEADER] = attrs.evolve(
                row, version=row.version + 1
            )
            await controller.loaded.wait()
            assert controller.ended

        run(scenario)

    def test_does_not_extend_its_term_after_a_release(self):
        async def scenario(leader, controller):
            await leader.wait_for_heartbeats(1)
            controller.committer.release_possible = True
            (heartbeats,) = controller.tasks[1:]
            await asyncio.wait([heartbeats])
            assert not controller.ended

        run(scenario)

    def test_goes_on_after_a_heartbeat_without_an_answer(self):
        async def scenario(leader, controller):
            leader.store.reachable = False
            await asyncio.sleep(10 * POLL_INTERVAL_S)
            leader.store.reachable = True
            await leader.wait_for_heartbeats(2)
            assert not controller.ended

        run(scenario)

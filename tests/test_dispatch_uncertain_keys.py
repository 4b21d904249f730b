"""Tests of queries with a key that the entry cannot check itself."""

import asyncio

import attrs
import pytest
import test_dispatch_access

from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.dispatch import _job_states
from baobabdoor.dispatch import _outcomes

CLUB, SHOP = test_dispatch_access.CLUB, test_dispatch_access.SHOP
STRAY = test_dispatch_access.STRAY
# Older than a configuration with which a key may be accepted.
OLD_S = 4.3
# Only guards against hangs.
TIMEOUT_S = 10.0


def run(scenario):
    """Plays a scenario with an accepted job; its entry lost the store."""

    async def start(service):
        assert await service.call("POST", CLUB) == 200
        service.entry.age_s = OLD_S
        await scenario(service)

    test_dispatch_access.run(start)


def forbid_reads(service):
    async def read(*arguments, **options):
        raise AssertionError("the store was read")

    service.bench.store.read = read


class TestQuery:

    def test_the_leader_tells_the_state(self):
        async def scenario(service):
            forbid_reads(service)
            assert await service.call("GET", CLUB) == 200

        run(scenario)

    def test_a_job_of_another_customer_is_not_shown(self):
        async def scenario(service):
            assert await service.call("GET", SHOP) == 403

        run(scenario)

    def test_a_key_that_was_taken_away_is_refused(self):
        async def scenario(service):
            service.leader.configuration = test_dispatch_access.configuration(
                2, shop=SHOP
            )
            assert await service.call("GET", CLUB) == 401

        run(scenario)

    @pytest.mark.parametrize("public", [False, True])
    def test_a_leader_with_an_older_configuration_does_not_tell(self, public):
        async def scenario(service):
            service.entry.store.last_answer_s_ = -1e9
            service.entry.configuration = attrs.evolve(
                service.entry.configuration, version=2
            )
            service.leader.configuration = test_dispatch_access.configuration(
                public=public, club=CLUB
            )
            assert await service.call("GET", CLUB) == 503

        run(scenario)

    def test_the_store_alone_does_not_vouch_for_a_key(self):
        async def scenario(service):
            service.entry.store.last_answer_s_ = -1e9
            service.leader.controller = None
            forbid_reads(service)
            assert await service.call("GET", CLUB) == 503

        run(scenario)

    def test_a_leader_that_cannot_check_the_key_either_refuses(self):
        async def scenario(service):
            service.entry.store.last_answer_s_ = -1e9
            service.leader.age_s = OLD_S
            assert await service.call("GET", CLUB) == 503

        run(scenario)

    def test_is_answered_once_the_entry_can_check_the_key(self):
        async def scenario(service):
            gateway = service.handler.gateway
            answers = []

            async def read(message):
                answers.append(message)
                service.entry.age_s = 0.0
                return _outcomes.UNAVAILABLE

            gateway.states.leader.read = read
            assert await service.call("GET", CLUB) == 200
            assert answers[0]["customer"] is None
            assert answers[1]["customer"] == "club"

        run(scenario)

    def test_is_tried_again_while_the_store_answers(self, monkeypatch):
        monkeypatch.setattr(_job_states, "RETRY_PAUSE_S", 0.01)

        async def scenario(service):
            leader, service.leader.controller = service.leader.controller, None
            answer = asyncio.ensure_future(service.call("GET", CLUB))
            async with asyncio.timeout(TIMEOUT_S):
                while len(service.sent) < 3:
                    await asyncio.sleep(0.01)
            service.leader.controller = leader
            assert await answer == 200

        run(scenario)

    def test_is_answered_in_time_while_the_leader_is_silent(self):
        """The deadline was only checked between two calls of the leader."""

        async def scenario(service):
            async def read(message):
                await asyncio.Event().wait()

            service.handler.gateway.states.leader.read = read
            headers = {
                "Authorization": f"Token {CLUB}",
                platform.DEADLINE_HEADER: "300",
            }
            path = test_dispatch_access.PATH + test_dispatch_access.JOB
            request = transport.Request("GET", path, "example", headers, b"")
            async with asyncio.timeout(TIMEOUT_S):
                reply = await service.handler.serve(request)
            assert reply.status == 503

        run(scenario)


class TestOtherCalls:

    @pytest.mark.parametrize("method", ["POST", "DELETE"])
    def test_is_refused_by_the_entry(self, method):
        async def scenario(service):
            sent = len(service.sent)
            assert await service.call(method, CLUB) == 503
            assert len(service.sent) == sent

        run(scenario)

    def test_a_query_without_a_key_is_refused_by_the_entry(self):
        async def scenario(service):
            sent = len(service.sent)
            assert await service.call("GET") == 401
            assert await service.call("GET", STRAY, job="x") == 503
            assert len(service.sent) == sent

        run(scenario)

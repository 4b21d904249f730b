"""Tests of attempts that a leader has settled as never run.

A follower may refuse a request whose earlier attempts are all settled; it must
not while one of them may still have an effect.
"""

import asyncio
import json
import types

import attrs
import pytest
import test_dispatch_gateway

from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.dispatch import _attempts
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes

REFUSED = _outcomes.Outcome("refused", 1)
ACCEPTED = _outcomes.Outcome("accepted")
UNKNOWN = _outcomes.Outcome("unknown")


class LossyClient:
    """Passes requests to a leader, some of whose answers are lost.

    Args:
        losses: For each request `answer` if its answer is lost, `request` if it
            never arrives, or nothing.
        leaders: Gateways of the leaders that get the requests in turn; the last
            one gets all others.
    """

    def __init__(self, losses, *leaders):
        self.losses = list(losses)
        self.leaders = list(leaders)
        self.bodies = []

    async def fetch(self, address, method, target, body=b"", **_):
        del address
        self.bodies.append(json.loads(body))
        loss = self.losses.pop(0) if self.losses else ""
        leader = self.leaders.pop(0) if self.leaders[1:] else self.leaders[0]
        if loss != "request":
            request = transport.Request(method, target, "", {}, body)
            reply = await leader.serve(request)
        if loss:
            return test_dispatch_gateway.unanswered()
        return transport.Response(reply.status, reply.body, None)


class Leader(_gateway.Gateway):
    """Gives the stated outcomes in order, then the last one."""

    def __init__(self, *outcomes):
        async def refresh(version):
            del version

        daemon = types.SimpleNamespace(
            controller=object(),
            store=None,
            refresher=types.SimpleNamespace(refresh=refresh),
        )
        super().__init__(daemon)
        self.outcomes = list(outcomes)

    async def answer(self, method, message, timeout_s):
        del method, message, timeout_s
        return self.outcomes.pop(0) if self.outcomes[1:] else self.outcomes[0]


def call(method, losses, *leaders, timeout_s=0.3):
    follower = test_dispatch_gateway.Follower()
    follower.gateway.daemon.client = LossyClient(losses, *leaders)
    arguments = [test_dispatch_gateway.JOB, test_dispatch_gateway.QUEUE]
    if method == "submit":
        arguments.append(b"{}")
    outcome = asyncio.run(
        getattr(follower.gateway, method)(*arguments, timeout_s)
    )
    return outcome, follower.gateway.daemon.client


@pytest.mark.parametrize("method", ["submit", "cancel"])
class TestUnansweredAttempts:

    def test_settled_attempts_end_as_unknown(self, method):
        """A refusal whose first answer was lost became an unknown outcome."""
        outcome, _ = call(method, ["answer"], Leader(REFUSED))
        assert outcome.kind == "refused"

    def test_settled_attempts_of_a_leader_that_steps_down(self, method):
        leader = Leader(REFUSED, _outcomes.Outcome("not-holder"))
        outcome, _ = call(method, ["answer", "answer"], leader)
        assert outcome.kind == "unavailable"

    def test_an_attempt_with_an_effect_is_refused(self, method):
        outcome, _ = call(method, ["answer"], Leader(UNKNOWN, REFUSED))
        assert outcome.kind == "unknown"

    def test_an_attempt_that_may_be_under_way_is_refused(self, method):
        outcome, _ = call(method, ["request"], Leader(REFUSED))
        assert outcome.kind == "unknown"

    def test_an_attempt_at_another_leader_is_refused(self, method):
        outcome, _ = call(method, ["answer"], Leader(REFUSED), Leader(REFUSED))
        assert outcome.kind == "unknown"

    def test_one_of_two_attempts_is_settled(self, method):
        outcome, _ = call(
            method, ["answer", "answer"], Leader(REFUSED, UNKNOWN, REFUSED)
        )
        assert outcome.kind == "unknown"

    def test_all_answers_are_lost(self, method):
        outcome, _ = call(method, ["answer"] * 1000, Leader(REFUSED))
        assert outcome.kind == "unknown"

    def test_a_later_attempt_is_accepted(self, method):
        outcome, _ = call(method, ["answer"], Leader(REFUSED, ACCEPTED))
        assert outcome.kind == "accepted"

    def test_attempts_share_an_identifier(self, method):
        """An answer about one attempt would be taken for that of another."""
        _, client = call(method, ["answer"] * 3, Leader(REFUSED))
        assert len({body["attempt"] for body in client.bodies}) == 4
        assert client.bodies[1]["earlier"] == [client.bodies[0]["attempt"]]


class TestOlderDaemons:
    """Daemons of two versions work together while an update is rolled out."""

    def test_an_answer_has_a_field_that_older_followers_do_not_know(self):
        settled = _attempts.SettledAttempts()
        outcome = settled.answer({"job": "a"}, REFUSED)
        body = json.loads(_outcomes.encode_outcome(outcome))
        assert body.keys() == attrs.asdict(REFUSED).keys() - {"settled"}

    def test_an_answer_without_the_field_is_unreadable(self):
        body = _outcomes.encode_outcome(REFUSED)
        answer = transport.Response(200, body, None)
        assert _outcomes.decode_outcome(answer) == REFUSED


class TestSettledAttempts:

    @pytest.mark.parametrize("kind", ["accepted", "unknown", "no-job", "state"])
    def test_an_attempt_that_may_have_an_effect_is_settled(self, kind):
        settled = _attempts.SettledAttempts()
        settled.observe({"attempt": "a"}, _outcomes.Outcome(kind))
        assert not settled.among(["a"])

    def test_memory_is_unbounded(self):
        settled = _attempts.SettledAttempts()
        for number in range(_attempts.MAX_KEPT + 10):
            settled.observe({"attempt": str(number)}, REFUSED)
        assert len(settled.settled_s_) == _attempts.MAX_KEPT
        assert settled.among(["9", "10"]) == ["10"]

    def test_attempts_are_kept_for_ever(self, monkeypatch):
        settled = _attempts.SettledAttempts()
        now_s = platform.boot_time_s()
        settled.observe({"attempt": "a"}, REFUSED)
        later_s = now_s + _attempts.KEPT_S + 1.0
        monkeypatch.setattr(platform, "boot_time_s", lambda: later_s)
        settled.observe({"attempt": "b"}, REFUSED)
        assert settled.among(["a", "b"]) == ["b"]

"""Tests of queries of the number of pending jobs at a daemon."""

import asyncio
import math

import pytest
import test_dispatch_gateway

from baobabdoor import transport
from baobabdoor.dispatch import _job_states
from baobabdoor.dispatch import _outcomes

QUEUE = test_dispatch_gateway.QUEUE
PENDING = _outcomes.Outcome("pending", value=7)
NOT_TOLD = [
    test_dispatch_gateway.refused(),
    test_dispatch_gateway.unanswered(),
    transport.Response(500, b"", None),
    *map(_outcomes.Outcome, ["unavailable", "not-holder", "uncertain"]),
]
TIMEOUT_S = 10.0


def ask(*answers, timeout_s=TIMEOUT_S, is_store_silent=False):
    """Returns the outcome of a query and the number of calls of the leader."""
    follower = test_dispatch_gateway.Follower(*answers)
    if is_store_silent:
        follower.store.last_answer_s_ = -math.inf
    query = follower.gateway.pending(QUEUE, timeout_s)
    return asyncio.run(query), len(follower.client.sent)


class TestPending:

    def test_leader_that_returns_later_is_asked_until_it_tells(
        self, monkeypatch
    ):
        """Queries were refused 0.5 s after the end of a leader."""
        monkeypatch.setattr(_job_states, "RETRY_PAUSE_S", 0.0)
        answers = [*NOT_TOLD, *[test_dispatch_gateway.refused()] * 100, PENDING]
        assert ask(*answers) == (PENDING, len(answers))

    @pytest.mark.parametrize("answer", NOT_TOLD)
    def test_refusal_tells_when_to_ask_again(self, answer):
        outcome, _ = ask(*[answer] * 100, timeout_s=0.3)
        assert outcome.kind == "unavailable"
        assert outcome.retry_after_s > 0

    def test_refusal_does_not_wait_for_a_silent_store(self):
        outcome, calls = ask(is_store_silent=True)
        assert outcome.kind == "unavailable"
        assert calls == 1

    @pytest.mark.parametrize("kind", ["no-queue", "unauthenticated"])
    def test_decision_of_the_leader_is_passed_on(self, kind):
        outcome, calls = ask(_outcomes.Outcome(kind))
        assert (outcome.kind, calls) == (kind, 1)

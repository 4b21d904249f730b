"""Tests of classification, outcomes, exchanges and the retry budget."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tornado import httputil

from baobabdoor import base
from baobabdoor import requests

REQUIRED_HEADERS = {
    "Baobabdoor-Pool": "jury-desk",
    "Baobabdoor-Caller": "sailors",
}


def headers(*pairs, **changes):
    result = httputil.HTTPHeaders()
    for name, value in [*{**REQUIRED_HEADERS, **changes}.items(), *pairs]:
        if value is not None:
            result.add(name, value)
    return result


class TestClassification:

    def test_defaults(self):
        info = requests.classify("GET", headers(), 100.0)
        assert info == requests.RequestInfo(
            pool="jury-desk",
            caller="sailors",
            urgency=3,
            deadline_s=130.0,
            idempotent=True,
            key="",
            body_bytes=0,
        )

    @pytest.mark.parametrize(
        ("value", "urgency"),
        [("u=0", 0), ("i, u=7", 7), ("u=1;x, i", 1), ("i", 3), ("u=1, u=5", 5)],
    )
    def test_urgency_follows_rfc_9218(self, value, urgency):
        given_headers = headers(("Priority", value))
        assert requests.classify("GET", given_headers, 0).urgency == urgency

    @pytest.mark.parametrize(
        ("method", "value", "idempotent"),
        [
            ("POST", None, False),
            ("PATCH", None, False),
            ("PUT", None, True),
            ("POST", "true", True),
            ("GET", "false", False),
        ],
    )
    def test_idempotency_comes_from_header_then_method(
        self, method, value, idempotent
    ):
        given_headers = headers(("Baobabdoor-Idempotent", value))
        info = requests.classify(method, given_headers, 0)
        assert info.idempotent is idempotent

    # Guards against requests that run in spite of invalid headers, and against
    # body framing that two parsers interpret differently.
    @pytest.mark.parametrize(
        ("pair", "kind", "name"),
        [
            (("Baobabdoor-Pool", ""), "Duplicated", "Baobabdoor-Pool"),
            (("Baobabdoor-Caller", "b"), "Duplicated", "Baobabdoor-Caller"),
            (("Priority", "u=8"), "Malformed", "Priority"),
            (("Priority", "u="), "Malformed", "Priority"),
            (
                ("Baobabdoor-Deadline-Ms", "-5"),
                "Malformed",
                "Baobabdoor-Deadline-Ms",
            ),
            (
                ("Baobabdoor-Deadline-Ms", "1e3"),
                "Malformed",
                "Baobabdoor-Deadline-Ms",
            ),
            (
                ("Baobabdoor-Idempotent", "yes"),
                "Malformed",
                "Baobabdoor-Idempotent",
            ),
            (("Idempotency-Key", "k" * 256), "Overlong", "Idempotency-Key"),
            (("Idempotency-Key", "a b"), "Malformed", "Idempotency-Key"),
            (("Content-Length", "+5"), "Malformed", "Content-Length"),
            (("Content-Length", "5,5"), "Malformed", "Content-Length"),
            (("Transfer-Encoding", "gzip"), "Malformed", "Transfer-Encoding"),
            (("X-Long", "x" * 8193), "Overlong", "X-Long"),
        ],
    )
    def test_invalid_header_raises_a_typed_error_that_names_it(
        self, pair, kind, name
    ):
        with pytest.raises(requests.HeaderError) as caught:
            requests.classify("POST", headers(pair), 0)
        assert type(caught.value).__name__ == f"{kind}HeaderError"
        assert caught.value.header == name
        assert name in caught.value.refusal.detail

    @pytest.mark.parametrize("name", sorted(REQUIRED_HEADERS))
    def test_missing_or_too_long_name(self, name):
        with pytest.raises(requests.MissingHeaderError):
            requests.classify("GET", headers(**{name: None}), 0)
        with pytest.raises(requests.OverlongHeaderError):
            requests.classify("GET", headers(**{name: "n" * 65}), 0)

    def test_two_framings_are_refused(self):
        pairs = (("Content-Length", "5"), ("Transfer-Encoding", "chunked"))
        with pytest.raises(requests.MalformedHeaderError):
            requests.classify("POST", headers(*pairs), 0)

    def test_all_headers_together_are_bounded(self):
        pairs = [(f"X-{number}", "x" * 200) for number in range(90)]
        with pytest.raises(requests.OverlongHeaderError):
            requests.classify("GET", headers(*pairs), 0)

    @given(
        st.dictionaries(
            st.sampled_from(
                [
                    "Priority",
                    "Baobabdoor-Deadline-Ms",
                    "Baobabdoor-Idempotent",
                    "Idempotency-Key",
                    "Content-Length",
                    "Baobabdoor-Pool",
                ]
            ),
            st.text(st.characters(min_codepoint=33, max_codepoint=126)),
        )
    )
    def test_any_text_gives_a_result_or_a_header_error(self, changes):
        try:
            info = requests.classify("GET", headers(**changes), 0)
        except requests.HeaderError:
            return
        assert 0 <= info.urgency <= 7
        assert info.deadline_s >= 0


class TestOutcome:

    @pytest.mark.parametrize(
        ("outcome", "reason", "status", "retry_after_s"),
        [
            ("not-run", "bad-request", 400, 0),
            ("not-run", "queue-full", 429, 1),
            ("not-run", "platform-unavailable", 503, 1),
            ("not-run", "deadline-expired", 504, 0),
            ("unknown", "incomplete-answer", 502, 0),
            ("unknown", "deadline-expired", 504, 0),
        ],
    )
    def test_wire_format(self, outcome, reason, status, retry_after_s):
        refusal = base.Refusal(base.Reason(reason), "a.b", "vm-1", "why")
        failure = requests.Failure(requests.Outcome(outcome), refusal)
        assert failure.status == status
        assert failure.retry_after_s == retry_after_s
        assert json.loads(failure.body()) == {
            "outcome": outcome,
            "reason": reason,
            "step": "a.b",
            "peer": "vm-1",
            "detail": "why",
        }


class TestExchange:

    @given(st.lists(st.sampled_from(["begin", *requests.Progress])))
    def test_not_run_only_if_no_byte_was_ever_sent(self, steps):
        # Guards against a second attempt that resets the state of the first.
        exchange = requests.Exchange()
        sent = False
        for step in steps:
            if step == "begin":
                exchange.begin()
                continue
            try:
                exchange.observe(step)
                sent = True
            except ValueError:
                pass
        not_run = exchange.outcome is requests.Outcome.NOT_RUN
        assert not_run == (not sent)
        assert exchange.may_retry(idempotent=False) == (not sent)

    def test_complete_response_is_done_and_not_retried(self):
        exchange = requests.Exchange()
        exchange.begin()
        for progress in list(requests.Progress)[1:]:
            exchange.observe(progress)
        assert exchange.outcome is requests.Outcome.DONE
        assert not exchange.may_retry(idempotent=True)


class TestRetryBudget:

    def test_retries_stay_below_the_ratio_and_the_constant(self):
        budget = requests.RetryBudget(ratio=0.1, min_per_s=1.0, burst=5)
        retries = 0
        for step in range(1000):
            budget.observe()
            retries += budget.acquire(step * 0.01)
        assert 100 <= retries <= 1000 * 0.1 + 10 * 1.0 + 5

    def test_idle_time_adds_no_more_than_the_burst(self):
        budget = requests.RetryBudget(ratio=0.1, min_per_s=1.0, burst=3)
        assert not budget.acquire(0.0)
        assert [budget.acquire(1e6) for _ in range(5)].count(True) == 3

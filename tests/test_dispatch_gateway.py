"""Tests of requests that a follower forwards to the leader.

A refusal may be returned only if the request certainly had no effect, and a
job may be reported as missing only if it is known not to be stored.
"""

import asyncio
import json
import math
import time
import types
import zlib

import attrs
import pytest
import scheduling_fixtures
from structlog import testing
from tornado import httputil

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _faults
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes
from baobabdoor.scheduling import _job
from baobabdoor.standin import _row_store

JOB = "00000000000000f1"
SMALL_JOB = '{"steps": [{"count": 1}]}'
QUEUE = scheduling.Queue(scheduling_fixtures.QUEUE, "h", "/q/", "p")


class FakeClient:
    """Returns the given answers of a leader in order."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    async def fetch(self, address, method, target, body=b"", **_):
        self.sent.append((address, target, json.loads(body)))
        answer = self.answers.pop(0) if self.answers else refused()
        if isinstance(answer, base.Refusal | transport.Response):
            return answer
        body = json.dumps(attrs.asdict(answer)).encode()
        return transport.Response(200, body, None)


def refused():
    return base.Refusal(base.Reason.CONNECTION_FAILED, "test")


def unanswered():
    return base.Refusal(base.Reason.UNKNOWN_RESULT, "test")


class Follower:
    """The gateway of a daemon that is not the leader."""

    def __init__(self, *answers):
        self.store = _row_store.MemoryRowStore()
        leader = _election.Leader("b", "b-1", "b:1", 0, False, 1)
        self.client = FakeClient(*answers)
        self.gateway = _gateway.Gateway(
            types.SimpleNamespace(
                controller=None,
                client=self.client,
                store=self.store,
                configuration=scheduling_fixtures.configuration(),
                faults=_faults.FaultLog(observability.Metrics()),
                election=types.SimpleNamespace(
                    current=leader, is_self=lambda leader: False
                ),
            )
        )

    def submit(self, timeout_s=1.0):
        return asyncio.run(self.gateway.submit(JOB, QUEUE, b"{}", timeout_s))

    def state(self):
        return asyncio.run(self.gateway.state(JOB, QUEUE, 1.0))


class TestSubmit:

    def test_answer_of_the_leader_is_passed_on(self):
        follower = Follower(_outcomes.Outcome("accepted"))
        assert follower.submit().kind == "accepted"
        assert follower.client.sent[0][:2] == ("b:1", "/v1/submit")

    def test_unanswered_request_is_retried(self):
        follower = Follower(unanswered(), _outcomes.Outcome("accepted"))
        assert follower.submit().kind == "accepted"

    def test_no_refusal_after_a_request_that_may_have_arrived(self):
        follower = Follower(unanswered(), _outcomes.Outcome("rejected", 1))
        assert follower.submit().kind == "unknown"

    @pytest.mark.parametrize(
        "response", [(500, b""), (200, b"["), (200, b"[]"), (200, b'{"a": 1}')]
    )
    def test_failed_leader_may_have_accepted_the_job(self, response):
        answers = [transport.Response(*response, None) for _ in range(200)]
        assert Follower(*answers).submit(0.3).kind == "unknown"

    def test_unreachable_leader_is_a_refusal(self):
        outcome = Follower().submit()
        assert outcome.kind == "unavailable"
        assert outcome.retry_after_s > 0

    def test_a_repeat_of_an_accepted_job_is_not_refused(self):
        """A refusal tells the caller that the job never runs."""
        follower = Follower()
        TestState().store_job(follower, "running")
        assert follower.submit().kind == "accepted"

    def test_a_refusal_does_not_wait_for_a_silent_store(self):
        follower = Follower()
        follower.store.last_answer_s_ = -math.inf
        follower.store.delay_s = 60.0
        started_s = time.monotonic()
        assert follower.submit().kind == "unavailable"
        waited_s = time.monotonic() - started_s
        assert waited_s < _gateway.LEADER_WAIT_S + 0.1

    def test_a_refusal_arrives_before_the_caller_gives_up(self):
        """Guards against a read of the store beyond the caller's deadline."""
        follower = Follower()
        follower.store.delay_s = 60.0
        timeout_s = 0.35
        started_s = time.monotonic()
        assert follower.submit(timeout_s).kind == "unavailable"
        waited_s = time.monotonic() - started_s
        assert waited_s < timeout_s + _callers.RESPONSE_MARGIN_S

    def test_a_job_that_was_only_cancelled_is_refused(self):
        follower = Follower()
        job = _job.cancelled_job(JOB, QUEUE.name, 0)
        key = (_commits.JOBS_TABLE, _election.PART, JOB)
        row = platform.StoredRow(*key, job.encode(), 1)
        follower.store.rows[key] = row
        assert follower.submit().kind == "unavailable"

    def test_result_is_unknown_if_the_last_request_was_unanswered(self):
        follower = Follower(*[unanswered() for _ in range(200)])
        assert follower.submit(0.3).kind == "unknown"


class TestLeader:

    def submit(self, rejection):
        async def reject(spec, timeout_s):
            return rejection

        controller = types.SimpleNamespace(
            scheduler=types.SimpleNamespace(jobs={}), submit=reject
        )
        message = {"job": JOB, "queue": QUEUE.name, "body": SMALL_JOB}
        gateway = Follower().gateway
        return asyncio.run(gateway._submit(controller, message, 1.0))

    @pytest.mark.parametrize(
        ("retry_after_s", "over_quota", "kind"),
        [(0, False, "invalid"), (3, False, "rejected"), (0, True, "rejected")],
    )
    def test_caller_is_not_asked_to_retry_what_is_always_rejected(
        self, retry_after_s, over_quota, kind
    ):
        rejection = scheduling.Rejection(
            "reason", retry_after_s, {}, over_quota
        )
        outcome = self.submit(rejection)
        assert (outcome.kind, outcome.retry_after_s) == (kind, retry_after_s)

    def test_a_valid_job_that_came_too_late_is_not_called_invalid(self):
        rejection = scheduling.Rejection("hopeless", 0, {}, hopeless=True)
        outcome = self.submit(rejection)
        assert (outcome.kind, outcome.retry_after_s) == ("rejected", 0)


class TestState:

    def store_job(self, follower, state):
        step = scheduling.StepSpec(1, cpu_milli=100)
        spec = scheduling.JobSpec(JOB, QUEUE.name, "text", (step,))
        job = scheduling.Job(spec, 0)
        job.state = scheduling.JobState(state)
        key = (_commits.JOBS_TABLE, _election.PART, JOB)
        row = _row_store.platform.StoredRow(*key, job.encode(), 1)
        follower.store.rows[key] = row

    def test_state_is_read_from_the_store_without_a_leader(self):
        follower = Follower()
        self.store_job(follower, "completed")
        assert follower.state().value == "completed"

    def test_only_the_row_of_the_job_is_read(self, monkeypatch):
        follower = Follower()
        self.store_job(follower, "completed")
        limits = []
        read = follower.store.read

        async def recording_read(*arguments, limit=500, **options):
            limits.append(limit)
            return await read(*arguments, limit=limit, **options)

        monkeypatch.setattr(follower.store, "read", recording_read)
        assert follower.state().value == "completed"
        assert limits == [1]

    @pytest.mark.parametrize("value", [b"", b"[", zlib.compress(b"[" * 10**5)])
    def test_state_in_an_unreadable_row_is_unavailable(self, value):
        """The error was answered with 500."""
        follower = Follower()
        key = (_commits.JOBS_TABLE, _election.PART, JOB)
        follower.store.rows[key] = _row_store.platform.StoredRow(*key, value, 1)
        assert follower.state().kind == "unavailable"

    def test_job_that_is_not_stored_was_not_accepted(self):
        assert Follower().state().kind == "no-job"

    def test_state_is_unavailable_without_leader_and_store(self):
        follower = Follower()
        follower.store.reachable = False
        assert follower.state().kind == "unavailable"


class TestUnknownQueue:

    def ask_leader(self, version):
        follower = Follower()
        follower.gateway.daemon.version = 3
        message = {"queue": "new", "version": version}
        follower.gateway.daemon.controller = types.SimpleNamespace(
            loaded=asyncio.Event(), ended=False, unreadable_jobs=set()
        )
        follower.gateway.daemon.controller.loaded.set()
        return asyncio.run(follower.gateway.answer("pending", message, 1.0))

    def test_leader_with_an_older_configuration_reports_no_missing_queue(self):
        assert self.ask_leader(4).kind == "unavailable"
        assert self.ask_leader(3).kind == "no-queue"

    def ask_follower(self, age_s):
        follower = Follower()
        daemon = follower.gateway.daemon
        daemon.version = 3
        daemon.metrics = observability.Metrics()
        daemon.configuration_silence_s = lambda: age_s
        handler = _callers.CallerHandler(daemon, follower.gateway)
        headers = httputil.HTTPHeaders()
        request = transport.Request("GET", "/new/", "host", headers, b"")
        return asyncio.run(handler.serve(request)).status

    def test_follower_with_a_stale_configuration_reports_no_missing_queue(self):
        assert self.ask_follower(_callers.CONFIGURATION_STALE_S + 0.1) == 503
        assert self.ask_follower(1.0) == 404


class TestRefusalAtTheHeader:
    """Requests that were refused at the header left no log line or count."""

    def send(self, method, path, **changes):
        daemon = Follower().gateway.daemon
        daemon.version = 0
        daemon.metrics = observability.Metrics()
        daemon.configuration_silence_s = lambda: 0.0
        for name, value in changes.items():
            setattr(daemon, name, value)
        handler = _callers.CallerHandler(daemon, _gateway.Gateway(daemon))
        headers = httputil.HTTPHeaders({platform.REQUEST_ID_HEADER: "r1"})
        request = transport.Request(method, path, "example", headers, b"")
        with testing.capture_logs() as logs:
            reply = handler.check_header(request)
        return reply, logs, observability.render_text(daemon.metrics).decode()

    def test_without_a_configuration(self):
        reply, logs, metrics = self.send(
            "POST", f"/q/{JOB}", configuration=None
        )
        assert reply.status == 503
        assert "Retry-After: 1" in reply.headers
        assert [(line["request"], line["job"]) for line in logs] == [
            ("r1", JOB)
        ]
        assert 'outcome="unavailable"' in metrics

    @pytest.mark.parametrize(
        ("method", "path", "status", "outcome"),
        [
            ("GET", "/unknown/", 404, "no-queue"),
            ("PUT", f"/results/{JOB}", 405, "bad-method"),
            ("GET", "/results/x", 410, "bad-identifier"),
            ("POST", "/results/x", 400, "bad-identifier"),
        ],
    )
    def test_of_a_request_that_names_nothing(
        self, method, path, status, outcome
    ):
        reply, _, metrics = self.send(method, path)
        assert reply.status == status
        assert f'outcome="{outcome}"' in metrics


class TestDeadline:

    @pytest.mark.parametrize(
        ("text", "timeout_s"),
        [
            ("1000", 0.85),
            ("\u00b2", 2.85),
            ("\u0661", 2.85),
            ("9" * 5000, 2.85),
            ("-1", 2.85),
            ("", 2.85),
        ],
        ids=lambda value: f"{value!r:.10}",
    )
    def test_unusable_deadline_is_ignored(self, text, timeout_s):
        """The error of `int` was answered with 500."""
        headers = httputil.HTTPHeaders({platform.DEADLINE_HEADER: text})
        request = transport.Request("GET", "/race/", "host", headers, b"")
        handler = _callers.CallerHandler(None, None)
        found_s = handler._timeout_s(request, QUEUE)
        assert found_s == pytest.approx(timeout_s)

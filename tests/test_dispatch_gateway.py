"""Tests of the way from a front to the holder: true refusals, true states."""

import asyncio
import json
import types

import attrs
import scheduling_fixtures
from tornado import httputil

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _tenure
from baobabdoor.standin import _row_store

JOB = "00000000000000f1"
QUEUE = scheduling.Queue(scheduling_fixtures.QUEUE, "h", "/q/", "p")


class FakeClient:
    """Gives the answers of a holder one after the other."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    async def fetch(self, address, method, target, body=b"", **_):
        self.sent.append((address, target, json.loads(body)))
        answer = self.answers.pop(0) if self.answers else refused()
        if isinstance(answer, base.Refusal):
            return answer
        body = json.dumps(attrs.asdict(answer)).encode()
        return transport.Response(200, body, None)


def refused():
    return base.Refusal(base.Reason.CONNECTION_FAILED, "test")


def unanswered():
    return base.Refusal(base.Reason.UNKNOWN_RESULT, "test")


class Front:
    """The gateway of a daemon that does not decide."""

    def __init__(self, *answers):
        self.store = _row_store.MemoryRowStore()
        holder = _tenure.Holder("b", "b-1", "b:1", 0, False, 1)
        self.client = FakeClient(*answers)
        self.gateway = _gateway.Gateway(
            types.SimpleNamespace(
                controller=None,
                client=self.client,
                store=self.store,
                configuration=scheduling_fixtures.configuration(),
                tenures=types.SimpleNamespace(
                    current=holder, is_self=lambda holder: False
                ),
            )
        )

    def submit(self, limit_s=1.0):
        return asyncio.run(self.gateway.submit(JOB, QUEUE, b"{}", limit_s))

    def state(self):
        return asyncio.run(self.gateway.state(JOB, QUEUE, 1.0))


class TestSubmit:

    def test_an_answer_of_the_holder_is_passed_on(self):
        front = Front(_gateway.Outcome("accepted"))
        assert front.submit().kind == "accepted"
        assert front.client.sent[0][:2] == ("b:1", "/v1/submit")

    def test_a_question_without_an_answer_is_repeated(self):
        front = Front(unanswered(), _gateway.Outcome("accepted"))
        assert front.submit().kind == "accepted"

    def test_no_refusal_after_a_question_that_may_have_arrived(self):
        front = Front(unanswered(), _gateway.Outcome("rejected", 1))
        assert front.submit().kind == "unknown"

    def test_a_holder_that_is_not_reached_is_a_refusal(self):
        outcome = Front().submit()
        assert outcome.kind == "unavailable"
        assert outcome.retry_after_s > 0

    def test_nothing_is_known_if_the_last_question_had_no_answer(self):
        front = Front(*[unanswered() for _ in range(200)])
        assert front.submit(0.3).kind == "unknown"


class TestState:

    def store_job(self, front, state):
        step = scheduling.StepSpec(1, cpu_milli=100)
        spec = scheduling.JobSpec(JOB, QUEUE.name, "text", (step,))
        job = scheduling.Job(spec, 0)
        job.state = scheduling.JobState(state)
        key = (_commits.JOBS_TABLE, _tenure.PART, JOB)
        row = _row_store.platform.StoredRow(*key, job.encode(), 1)
        front.store.rows[key] = row

    def test_the_store_answers_if_the_holder_does_not(self):
        front = Front()
        self.store_job(front, "completed")
        assert front.state().value == "completed"

    def test_only_the_row_of_the_job_is_read(self, monkeypatch):
        front = Front()
        self.store_job(front, "completed")
        limits = []
        read = front.store.read

        async def watched(*arguments, limit=500, **options):
            limits.append(limit)
            return await read(*arguments, limit=limit, **options)

        monkeypatch.setattr(front.store, "read", watched)
        assert front.state().value == "completed"
        assert limits == [1]

    def test_a_job_that_is_not_stored_was_not_accepted(self):
        assert Front().state().kind == "no-job"

    def test_nothing_is_said_of_a_job_while_neither_answers(self):
        front = Front()
        front.store.reachable = False
        assert front.state().kind == "unavailable"


class TestUnknownQueue:

    def ask_holder(self, version):
        front = Front()
        front.gateway.daemon.version = 3
        message = {"queue": "new", "version": version}
        front.gateway.daemon.controller = types.SimpleNamespace(
            loaded=asyncio.Event(), ended=False
        )
        front.gateway.daemon.controller.loaded.set()
        return asyncio.run(front.gateway.answer("pending", message, 1.0))

    def test_a_holder_with_an_older_configuration_denies_no_queue(self):
        assert self.ask_holder(4).kind == "unavailable"
        assert self.ask_holder(3).kind == "no-queue"

    def ask_front(self, age_s):
        front = Front()
        daemon = front.gateway.daemon
        daemon.version = 3
        daemon.metrics = observability.Metrics()
        daemon.configuration_age_s = lambda: age_s
        handler = _callers.CallerHandler(daemon, front.gateway)
        headers = httputil.HTTPHeaders()
        request = transport.Request("GET", "/new/", "host", headers, b"")
        return asyncio.run(handler.serve(request)).status

    def test_a_front_without_news_of_the_configuration_denies_no_queue(self):
        assert self.ask_front(_callers.STALE_S + 0.1) == 503
        assert self.ask_front(1.0) == 404

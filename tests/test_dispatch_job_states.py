"""Tests of state requests: each is answered while the leader or store answers.

Callers got 503 after one attempt at each, or no answer before their deadline
because hundreds of requests made one read of the store each.
"""

import asyncio
import json
import random
import types

import attrs
import pytest
import scheduling_fixtures

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _faults
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _job_states
from baobabdoor.dispatch import _outcomes
from baobabdoor.scheduling import _job
from baobabdoor.standin import _row_store
from baobabdoor.transport import _client

QUEUE = scheduling.Queue(scheduling_fixtures.QUEUE, "h", "/q/", "p")
# Deadline of a caller; generous, because a busy machine is slow.
TIMEOUT_S = 30.0
# Only guards against hangs.
HANG_TIMEOUT_S = 60.0
CROWD = 1000
RUNNING = _outcomes.Outcome("state", value="running")
UNCERTAIN = _outcomes.Outcome("uncertain", 1, detail="revocation-uncertain")


def unreachable():
    return base.Refusal(base.Reason.CONNECTION_FAILED, "test")


def key(number):
    return f"{number:016x}"


class CountingStore(_row_store.MemoryRowStore):
    """Counts reads, and answers each one a little later."""

    def __init__(self):
        super().__init__()
        self.delay_s = 0.001
        self.reads = 0
        self.open_reads = 0
        self.most_open_reads = 0

    async def read(self, *arguments, **options):
        self.reads += 1
        self.open_reads += 1
        self.most_open_reads = max(self.most_open_reads, self.open_reads)
        try:
            return await super().read(*arguments, **options)
        finally:
            self.open_reads -= 1


class Leader:
    """A leader's answers to states of jobs."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    async def fetch(self, address, method, target, body=b"", **_):
        self.calls += 1
        outcome = self.answer(self.calls)
        if isinstance(outcome, asyncio.Event):
            await outcome.wait()
        if isinstance(outcome, base.Refusal | transport.Response):
            return outcome
        if target == "/v1/states":
            requests = json.loads(body)["requests"]
            states = [attrs.asdict(outcome) for _ in requests]
            outcome = _outcomes.Outcome("states", value=states)
        body = json.dumps(attrs.asdict(outcome)).encode()
        return transport.Response(200, body, None)


class Entry:
    """The gateway of a daemon that is not the leader.

    Args:
        answer: Returns what the leader answers to its call with a number.
        jobs: Number of jobs in the store.
    """

    def __init__(self, answer, jobs=1):
        self.store = CountingStore()
        self.leader = Leader(answer)
        for number in range(jobs):
            self.store_job(key(number))
        self.gateway = _gateway.Gateway(
            types.SimpleNamespace(
                controller=None,
                client=self.leader,
                store=self.store,
                configuration=scheduling_fixtures.configuration(),
                metrics=observability.Metrics(),
                faults=_faults.FaultLog(observability.Metrics()),
                election=types.SimpleNamespace(
                    current=_election.Leader("b", "b-1", "b:1", 0, False, 1),
                    is_self=lambda leader: False,
                ),
            )
        )

    def store_job(self, job_id):
        step = (scheduling.StepSpec(1),)
        spec = scheduling.JobSpec(job_id, QUEUE.name, "", step)
        job = _job.Job(spec, 0.0)
        job.state = scheduling.JobState.COMPLETED
        row_key = (_commits.JOBS_TABLE, _election.PART, job_id)
        self.store.rows[row_key] = platform.StoredRow(*row_key, job.encode(), 1)

    async def state(self, number, timeout_s):
        return await self.gateway.state(key(number), QUEUE, timeout_s)

    def ask(self, numbers=(0,), timeout_s=TIMEOUT_S):
        """Returns the outcomes of requests that come at the same time."""

        async def ask():
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await asyncio.gather(
                    *(self.state(number, timeout_s) for number in numbers)
                )

        return asyncio.run(ask())


class TestAttempts:

    def test_a_store_that_fails_for_a_moment_is_read_again(self):
        entry = Entry(lambda call: unreachable())
        entry.store.lose_reads = 2
        assert entry.ask()[0].value == "completed"

    def test_a_leader_that_loads_its_state_is_asked_again(self):
        entry = Entry(
            lambda call: RUNNING if call > 2 else _outcomes.UNAVAILABLE
        )
        entry.store.reachable = False
        assert entry.ask()[0] == RUNNING

    def test_a_leader_that_cannot_check_the_key_is_not_the_last_word(self):
        entry = Entry(lambda call: UNCERTAIN)
        assert entry.ask()[0].value == "completed"

    def test_the_store_is_read_while_the_leader_is_late(self):
        """Each request waited until its call of the leader timed out."""
        entry = Entry(lambda call: asyncio.Event())
        assert entry.ask()[0].value == "completed"

    def test_a_leader_that_answers_saves_the_read_of_the_store(
        self, monkeypatch
    ):
        monkeypatch.setattr(_job_states, "HEDGE_DELAY_S", TIMEOUT_S)
        entry = Entry(lambda call: RUNNING)
        assert entry.ask(range(50)) == [RUNNING] * 50
        assert entry.store.reads == 0

    def test_a_request_is_refused_at_once_without_leader_and_store(self):
        entry = Entry(lambda call: unreachable())
        entry.store.reachable = False
        entry.store.last_answer_s_ = -1e9
        (outcome,) = entry.ask()
        assert outcome.kind == "unavailable"
        assert outcome.retry_after_s
        assert entry.leader.calls == 1

    def test_a_refusal_names_the_last_failure_of_leader_and_store(self):
        entry = Entry(lambda call: UNCERTAIN)
        entry.store.reachable = False
        (outcome,) = entry.ask(timeout_s=1.0)
        assert "holder: revocation-uncertain" in outcome.detail
        assert "store: unknown-result" in outcome.detail

    def test_an_unreadable_row_is_not_read_again(self):
        entry = Entry(lambda call: unreachable())
        row_key = (_commits.JOBS_TABLE, _election.PART, key(0))
        entry.store.rows[row_key] = platform.StoredRow(*row_key, b"x", 1)
        assert entry.ask()[0].kind == "unavailable"
        assert entry.store.reads == 1

    def test_a_late_leader_tells_a_state_that_is_unreadable_here(self):
        """The unreadable row ended the wait for the leader."""
        entry = Entry(lambda call: unreachable())
        row_key = (_commits.JOBS_TABLE, _election.PART, key(0))
        entry.store.rows[row_key] = platform.StoredRow(*row_key, b"x", 1)
        states = entry.gateway.states
        read_stored = states.read_stored
        row_is_read = asyncio.Event()

        async def read(*arguments):
            outcome = await read_stored(*arguments)
            asyncio.get_running_loop().call_later(0.01, row_is_read.set)
            return outcome

        async def read_leader(message):
            await row_is_read.wait()
            return RUNNING

        states.read_stored = read
        states.leader.read = read_leader
        assert entry.ask()[0] == RUNNING


class TestCrowd:
    """Requests for the states of many jobs that come at the same time."""

    def test_requests_share_reads_of_the_store(self):
        """Each request made a read of its own."""
        entry = Entry(lambda call: unreachable(), CROWD)
        numbers = random.Random(0).sample(range(CROWD), CROWD // 2)
        outcomes = entry.ask(numbers)
        assert {outcome.value for outcome in outcomes} == {"completed"}
        assert entry.store.reads < len(numbers) / 10

    def test_reads_leave_connections_to_the_election(self):
        entry = Entry(lambda call: unreachable(), CROWD)
        entry.ask(range(CROWD))
        assert entry.store.most_open_reads <= _client.MAX_CONNECTIONS / 2

    def test_requests_share_calls_of_the_leader(self):
        entry = Entry(lambda call: RUNNING, CROWD)
        entry.store.reachable = False
        assert entry.ask(range(CROWD)) == [RUNNING] * CROWD
        assert entry.leader.calls < CROWD / 10

    def test_each_gets_its_own_state(self):
        entry = Entry(lambda call: unreachable(), 600)
        outcomes = entry.ask(range(900))
        kinds = [outcome.kind for outcome in outcomes]
        assert kinds == ["state"] * 600 + ["no-job"] * 300

    @pytest.mark.parametrize(
        "response",
        [
            transport.Response(500, b"", None),
            transport.Response(200, b'{"kind": "invalid"}', None),
            transport.Response(200, b'{"kind": "states", "value": 1}', None),
            transport.Response(200, b'{"kind": "states", "value": []}', None),
        ],
        ids=["failed", "older-program", "no-list", "too-short"],
    )
    def test_a_leader_that_cannot_answer_several_requests(self, response):
        entry = Entry(lambda call: response, 3)
        outcomes = entry.ask(range(3))
        assert {outcome.value for outcome in outcomes} == {"completed"}


class TestLeader:

    def answer(self, method, message, loaded=True):
        entry = Entry(lambda call: unreachable())
        controller = types.SimpleNamespace(
            loaded=asyncio.Event(),
            ended=False,
            unreadable_jobs=set(),
            scheduler=types.SimpleNamespace(jobs={}),
            find_job=lambda job_id: None,
            knows_all_jobs=lambda: True,
            describe_term=lambda: "",
        )
        if loaded:
            controller.loaded.set()
        entry.gateway.daemon.controller = controller
        entry.gateway.daemon.version = 1

        async def answer():
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await entry.gateway.answer(method, message, 3600.0)

        return asyncio.run(answer())

    def message(self, number=0):
        caller = _access.ANYBODY
        return _gateway._message(QUEUE, caller, key(number))

    def test_a_request_does_not_wait_until_the_state_is_loaded(self):
        """Nothing of its deadline was left for the store."""
        outcome = self.answer("state", self.message(), loaded=False)
        assert outcome.kind == "unavailable"

    def test_several_requests(self):
        messages = [self.message(number) for number in range(3)]
        outcome = self.answer("states", {"requests": messages})
        kinds = [state["kind"] for state in outcome.value]
        assert kinds == ["no-job"] * 3

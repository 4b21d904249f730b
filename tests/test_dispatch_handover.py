"""Tests of what a leader answers when its term ends by a planned stop.

Each request that waits for the leader has to be answered when the term ends,
so that followers continue with the next leader. `not-holder` is only allowed
for a request that this leader certainly never stores.
"""

import asyncio
import json

import dispatch_fixtures
import pytest
import scheduling_fixtures

from baobabdoor import base
from baobabdoor import platform
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _loading
from baobabdoor.standin import _row_store

BODY = '{"steps": [{"count": 1}]}'
# Time limit of requests that are to be answered earlier, by an event.
REQUEST_TIMEOUT_S = 3600.0
# Time after which a test that waits for an event has failed.
HANG_TIMEOUT_S = 20.0
# Passes of the event loop after which a task that is ready has run.
LOOP_PASSES = 20


async def run_ready_tasks():
    """Lets tasks run that do not wait for a timer."""
    for _ in range(LOOP_PASSES):
        await asyncio.sleep(0)


class ScriptedStore(_row_store.MemoryRowStore):
    """Store that answers some calls only on demand.

    Attributes:
        silent: Tables of which transactions get no answer.
        silent_reads: Whether reads get no answer.
        written: Called before a transaction is applied, with its tables.
    """

    def __init__(self):
        super().__init__()
        self.silent = set()
        self.silent_reads = False
        self.written = lambda tables: None
        self.transacting = asyncio.Event()

    async def transact(self, puts=(), removes=(), expected=(), timeout_s=1.0):
        """Applies changes, or gives no answer."""
        tables = {row.table for row in puts}
        self.transacting.set()
        if tables & self.silent:
            await asyncio.sleep(timeout_s)
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        self.written(tables)
        return await super().transact(puts, removes, expected, timeout_s)

    async def read(self, table, part="", start="", timeout_s=1.0, limit=500):
        """Returns rows, or gives no answer."""
        if self.silent_reads:
            await asyncio.sleep(timeout_s)
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        return await super().read(table, part, start, timeout_s, limit)

    async def read_all(self, table, part="", timeout_s=1.0):
        """Returns rows, or gives no answer."""
        if self.silent_reads:
            await asyncio.sleep(timeout_s)
            return self._refusal(base.Reason.UNKNOWN_RESULT)
        return await super().read_all(table, part, timeout_s)

    @property
    def released(self):
        """Whether the leader's row shows that its term was released."""
        row = self.get(_election.TABLE, _election.LEADER_KEY, _election.PART)
        return json.loads(row.value)["released"]


class Term:
    """A leader with a gateway, to which followers forward requests."""

    def __init__(self):
        self.bench = dispatch_fixtures.Bench()
        self.store = self.bench.store = ScriptedStore()
        daemon = self.bench.daemon
        daemon.store = self.store
        daemon.version = 1
        self.controller = self.bench.controller()
        daemon.controller = self.controller
        daemon.observe_term_end = self.observe_end
        self.gateway = _gateway.Gateway(daemon)

    def observe_end(self, controller):
        """Clears the controller as the daemon does."""
        self.bench.ended.append(controller)
        self.bench.daemon.controller = None

    async def load(self):
        """Starts the term and waits until it is loaded."""
        self.controller.start()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await self.controller.loaded.wait()

    def ask(self, method, job="00000000000000d1", **fields):
        """Forwards a request as a follower does, and returns its task."""
        message = {"queue": scheduling_fixtures.QUEUE, "digest": ""}
        message |= {"customer": "", "job": job} | fields
        return asyncio.ensure_future(
            self.gateway.answer(method, message, REQUEST_TIMEOUT_S)
        )

    async def submit(self, number=1):
        """Forwards a submission and returns its task."""
        task = self.ask("submit", f"{number:016x}", body=BODY)
        await run_ready_tasks()
        return task


async def kind_of(task):
    """Returns the kind of an outcome that is ready; empty if it is not."""
    await run_ready_tasks()
    if task.done():
        return task.result().kind
    task.cancel()
    return ""


class TestRequestsBeforeTheStateIsLoaded:
    """Requests waited for a state that an ended term never loads."""

    def test_a_state_request_is_answered_before_the_term_ends(self):
        async def scenario():
            term = Term()
            return await kind_of(term.ask("state"))

        assert asyncio.run(scenario()) == "unavailable"

    @pytest.mark.parametrize("method", ["submit", "cancel", "pending"])
    def test_they_are_answered_when_the_term_ends(self, method):
        async def scenario():
            term = Term()
            request = term.ask(method, body=BODY)
            await run_ready_tasks()
            term.controller.end("the test ends it")
            return await kind_of(request)

        assert asyncio.run(scenario()) == "not-holder"

    def test_the_wait_for_the_state_counts_against_the_time_limit(self):
        """Guards against a leader that works on after its follower gave up."""

        async def scenario():
            term = Term()
            limits_s = []

            async def submit(spec, timeout_s):
                del spec
                limits_s.append(timeout_s)

            term.controller.submit = submit
            message = {"queue": scheduling_fixtures.QUEUE, "digest": ""}
            message |= {"customer": "", "job": "00000000000000d1"}
            request = asyncio.ensure_future(
                term.gateway.answer("submit", message | {"body": BODY}, 5.0)
            )
            await asyncio.sleep(0.2)
            term.controller.loaded.set()
            await request
            return limits_s

        (limit_s,) = asyncio.run(scenario())
        # The event loop's clock may be a little coarser than the sleep.
        assert limit_s <= 5.0 - 0.19


class TestStopWhileTakingOver:
    """The term stayed in the store until the election timeout."""

    def stop(self, observe):
        async def scenario():
            term = Term()
            term.store.silent_reads = True
            term.controller.start()
            await run_ready_tasks()
            request = await term.submit()
            stopping = asyncio.ensure_future(
                term.controller.release(REQUEST_TIMEOUT_S)
            )
            return await observe(term, request, stopping)

        return asyncio.run(scenario())

    def test_the_term_is_released_though_its_state_is_not_loaded(self):
        async def observe(term, request, stopping):
            del request
            await asyncio.wait({stopping}, timeout=2.0)
            return term.store.released

        assert self.stop(observe)

    def test_waiting_requests_do_not_wait_for_the_state(self):
        async def observe(term, request, stopping):
            del term, stopping
            return await kind_of(request)

        assert self.stop(observe) == "not-holder"


class TestLoading:

    def test_a_signal_is_noticed_while_many_jobs_are_loaded(self):
        """The event loop was blocked until all rows had been loaded."""
        term = Term()
        row = platform.StoredRow(_commits.JOBS_TABLE, _election.PART, "a", b"")
        rows = (row,) * (3 * _loading.BATCH_ROWS)
        loaded = []
        term.controller.scheduler.load_job = lambda *_: loaded.append(1)

        async def scenario():
            loading = asyncio.ensure_future(
                _loading.load_jobs(term.controller, rows)
            )
            noticed = asyncio.Event()
            asyncio.get_running_loop().call_later(0.0, noticed.set)
            await noticed.wait()
            assert len(loaded) < len(rows)
            await loading
            assert len(loaded) == len(rows)

        asyncio.run(scenario())


class TestRequestsAtTheEndOfATerm:

    def test_a_submission_that_may_be_stored_is_unknown_at_once(self):
        """Guards against up to 0.25 s of waiting after the end of the term."""

        async def scenario():
            term = Term()
            await term.load()
            term.store.transacting.clear()
            term.store.silent = {_commits.JOBS_TABLE}
            request = await term.submit()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await term.store.transacting.wait()
            term.controller.end("the test ends it")
            return await kind_of(request)

        assert asyncio.run(scenario()) == "unknown"

    def test_a_submission_in_no_transaction_is_refused_at_once(self):
        async def scenario():
            term = Term()
            await term.load()
            request = await term.submit()
            term.controller.end("the test ends it")
            return await kind_of(request)

        assert asyncio.run(scenario()) == "not-holder"

    def test_a_cancel_in_no_transaction_is_answered_at_once(self):
        async def scenario():
            term = Term()
            await term.load()
            request = term.ask("cancel")
            await run_ready_tasks()
            term.controller.end("the test ends it")
            return await kind_of(request)

        assert asyncio.run(scenario()) in ("not-holder", "unknown")


class TestRelease:

    def test_each_request_is_answered_when_the_time_limit_is_reached(self):
        """Guards against requests that are cut off by the end of a process."""

        async def scenario():
            term = Term()
            await term.load()
            term.store.transacting.clear()
            term.store.silent = {_commits.JOBS_TABLE, _election.TABLE}
            written = await term.submit(1)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await term.store.transacting.wait()
            waiting = await term.submit(2)
            await term.controller.release(0.05)
            return [await kind_of(written), await kind_of(waiting)]

        assert asyncio.run(scenario()) == ["unknown", "not-holder"]

    def test_accepted_submissions_are_stored_before_the_release(self):
        async def scenario():
            term = Term()
            await term.load()
            requests = [await term.submit(number) for number in range(100)]
            await term.controller.release(HANG_TIMEOUT_S)
            return {await kind_of(request) for request in requests}

        assert asyncio.run(scenario()) == {"accepted"}

    def test_a_submission_during_the_release_is_refused_at_once(self):
        async def scenario():
            term = Term()
            await term.load()
            term.store.silent = {_election.TABLE}
            releasing = asyncio.ensure_future(
                term.controller.release(HANG_TIMEOUT_S)
            )
            await run_ready_tasks()
            request = await term.submit()
            kind = await kind_of(request)
            releasing.cancel()
            term.controller.end("the test is over")
            return kind

        assert asyncio.run(scenario()) == "not-holder"

    def test_a_cancel_during_the_release_is_refused_at_once(self):
        """Guards against a cancel that waits for a write that may not come."""

        async def scenario():
            term = Term()
            await term.load()
            submission = await term.submit()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await submission
            term.store.silent = {_election.TABLE, _commits.JOBS_TABLE}
            releasing = asyncio.ensure_future(
                term.controller.release(HANG_TIMEOUT_S)
            )
            await run_ready_tasks()
            request = term.ask("cancel", f"{1:016x}")
            kind = await kind_of(request)
            releasing.cancel()
            return kind

        assert asyncio.run(scenario()) == "not-holder"

    def test_a_submission_that_a_silent_store_keeps_out_goes_elsewhere(self):
        """Guards against a refusal that ends the request at its follower."""

        async def scenario():
            term = Term()
            await term.load()
            term.store.transacting.clear()
            term.store.silent = {_commits.JOBS_TABLE}
            await term.submit(1)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await term.store.transacting.wait()
            waiting = await term.submit(2)
            releasing = asyncio.ensure_future(
                term.controller.release(HANG_TIMEOUT_S)
            )
            term.store.silent_reads = True
            async with asyncio.timeout(HANG_TIMEOUT_S):
                outcome = await waiting
            term.controller.end("the test is over")
            await releasing
            return outcome.kind

        assert asyncio.run(scenario()) == "not-holder"

    def test_changes_during_the_release_do_not_delay_it(self):
        """Guards against a release that never comes on a busy fleet.

        Runs that end while a transaction is under way change their jobs, so
        there was always another transaction to wait for.
        """

        async def scenario():
            term = Term()
            await term.load()
            submission = await term.submit()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await submission
            scheduler = term.controller.scheduler
            job = scheduler.jobs[f"{1:016x}"]

            def change_job(tables):
                if _commits.JOBS_TABLE in tables:
                    scheduler.mark_dirty(job)

            term.store.written = change_job
            scheduler.mark_dirty(job)
            await term.controller.release(2.0)
            return term.store.released

        assert asyncio.run(scenario())

    def test_a_transaction_without_an_answer_does_not_prevent_it(self):
        """Guards against followers that wait for the election timeout."""

        async def scenario():
            term = Term()
            await term.load()
            term.store.transacting.clear()
            term.store.silent = {_commits.JOBS_TABLE}
            request = await term.submit()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await term.store.transacting.wait()
            term.store.silent_reads = True
            await term.controller.release(0.4)
            return term.store.released, await kind_of(request)

        assert asyncio.run(scenario()) == (True, "unknown")

    def test_the_release_is_repeated_after_the_time_limit(self):
        """Guards against the election timeout after a short outage."""

        async def scenario():
            term = Term()
            await term.load()
            term.store.reachable = False
            await term.controller.release(0.1)
            assert not term.store.released
            term.store.reachable = True
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not term.store.released:
                    await asyncio.sleep(0.01)

        asyncio.run(scenario())


class TestStopDuringAnElection:
    """The won term stayed in the store until the election timeout."""

    def stop(self, lose_answer):
        async def scenario():
            store = ScriptedStore()
            started = []
            stopping = False
            election = _election.LeaderElection(
                store,
                "a",
                "a-1",
                "a:1",
                lambda: not stopping,
                lambda leader, sent_s: started.append(leader),
            )

            def stop(tables):
                nonlocal stopping
                stopping = stopping or _election.TABLE in tables

            store.written = stop
            store.lose_answers = int(lose_answer)
            for _ in range(2):
                answer = await store.read_all(_election.TABLE, _election.PART)
                election._observe(answer.rows, answer, True)
                await asyncio.sleep(2 * _election.CAMPAIGN_JITTER_S)
                async with asyncio.timeout(HANG_TIMEOUT_S):
                    while election.campaigning:
                        await asyncio.sleep(0.01)
            return started, store.released

        return asyncio.run(scenario())

    @pytest.mark.parametrize("lose_answer", [False, True])
    def test_a_term_that_is_not_started_is_released(self, lose_answer):
        assert self.stop(lose_answer) == ([], True)

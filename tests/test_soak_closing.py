"""Tests of the end of soak runs: closings, and planted faults of answers.

The soak asked for one job after the other and again until an answer came, so
that it noticed neither a refusal nor a request without an answer.
"""

import asyncio
import collections
import contextlib
import json
import math
import random
import time

import pytest
import soak
import soak_callers
import soak_closing
import soak_faults
import soak_platform
import yaml

from baobabdoor import scheduling
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election

SEED = 1080
JOBS = [f"{number:016x}" for number in range(12)]
ODD_JOB = JOBS[5]
# Daemon that is asked for this job first, and the one that is asked next.
FIRST = 5 % soak_faults.DAEMONS
NEXT = 6 % soak_faults.DAEMONS
# Only guards against hangs.
HANG_TIMEOUT_S = 60.0


@pytest.fixture(name="soak_run")
def make_soak_run(tmp_path, monkeypatch):
    # Stand-ins answer as late as the machine is busy.
    monkeypatch.setattr(soak_callers, "REQUEST_TIMEOUT_S", HANG_TIMEOUT_S)
    soak_run = soak.ClosingSoak(SEED, 1.0, tmp_path)
    for job_id in JOBS:
        soak_run.specs[job_id] = scheduling.JobSpec(
            job_id, soak_platform.QUEUE, "", (scheduling.StepSpec(1),)
        )
        soak_run._observe_submission(job_id, 200, {})
    yield soak_run
    soak_run.subnet_lock.close()


class StubDaemons:
    """Stand-ins for all daemons that answer state requests.

    Args:
        soak_run: The soak.
        answers: Status and state by daemon and job; status 0 for no answer.
            Other jobs are running.
        waits_for: Number of requests that arrive before the first answer.
    """

    def __init__(self, soak_run, answers=None, waits_for=1):
        self.soak_run = soak_run
        self.answers = answers or {}
        self.waits_for = waits_for
        self.received: collections.Counter = collections.Counter()
        self.have_arrived = asyncio.Event()

    async def _serve(self, number, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                job_id = head.split()[1].decode().rpartition("/")[2]
                self.received[number, job_id] += 1
                if self.received.total() >= self.waits_for:
                    self.have_arrived.set()
                await self.have_arrived.wait()
                status, state = self.answers.get(
                    (number, job_id), (200, "running")
                )
                if not status:
                    continue
                content = json.dumps({"state": state}).encode()
                writer.write(
                    f"HTTP/1.1 {status} Stub\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )

    async def ask(self):
        """Asks for all jobs and returns the violations, as rules and jobs."""
        servers = []
        for daemon in self.soak_run.daemons:

            async def serve(reader, writer, number=daemon.number):
                await self._serve(number, reader, writer)
                writer.close()

            host, _, port = daemon.front.partition(":")
            servers.append(await asyncio.start_server(serve, host, int(port)))
        await self.soak_run._ask_for_all_jobs()
        for server in servers:
            server.close()
        return [
            (violation.rule, job_id)
            for violation in self.soak_run.oracle.violations
            for job_id in JOBS
            if job_id in violation.detail
        ]


def ask(soak_run, answers=None, waits_for=1):
    async def scenario():
        daemons = StubDaemons(soak_run, answers, waits_for)
        async with asyncio.timeout(2 * HANG_TIMEOUT_S):
            return await daemons.ask(), daemons.received

    return asyncio.run(scenario())


class TestRequests:

    def test_each_job_is_asked_for_once_and_at_once(self, soak_run):
        violations, received = ask(soak_run, waits_for=len(JOBS))
        assert not violations
        assert received == {
            (place % soak_faults.DAEMONS, job_id): 1
            for place, job_id in enumerate(JOBS)
        }
        assert soak_run.end_responses == {200: len(JOBS)}

    def test_a_refusal_is_repeated_at_another_daemon(self, soak_run):
        violations, received = ask(soak_run, {(FIRST, ODD_JOB): (503, "")})
        assert not violations
        assert received[NEXT, ODD_JOB] == 1

    def test_a_job_is_not_known_for_ever(self, soak_run):
        soak_run.final_states[ODD_JOB] = "completed"
        soak_run.accepted_s[ODD_JOB] = time.monotonic() - soak_closing.STATUS_S
        violations, received = ask(soak_run, {(FIRST, ODD_JOB): (410, "")})
        assert not violations
        assert received.total() == len(JOBS) - 1

    def test_jobs_that_the_store_holds_are_asked_for_as_well(self, soak_run):
        soak_run.kept_jobs = [f"k{number}" for number in range(2000)]
        answers = {
            (number, job_id): (200, "completed")
            for number in range(soak_faults.DAEMONS)
            for job_id in soak_run.kept_jobs
        }
        _, received = ask(soak_run, answers, soak_closing.REQUESTS_AT_ONCE)
        assert received.total() == soak_closing.REQUESTS_AT_ONCE
        assert not soak_run.oracle.violations

    def test_time_before_the_watch_runs_is_not_an_iteration(self, soak_run):
        """A run showed the time from its start as the longest iteration."""
        watch = soak_run.asking_watch
        before_s = time.monotonic() - 1000.0
        watch.ticks_s.extend([before_s, before_s])

        async def scenario():
            task = asyncio.ensure_future(watch.run())
            while not watch.longest_s:
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(scenario())
        assert watch.longest_s < 1000.0


class TestPlantedFaults:
    """Answers that break a rule."""

    def test_an_accepted_job_that_is_unknown(self, soak_run):
        violations, received = ask(soak_run, {(FIRST, ODD_JOB): (410, "")})
        assert violations == [("LOST", ODD_JOB)]
        assert received.total() == len(JOBS)

    def test_a_request_that_is_refused_twice(self, soak_run):
        refusals = {
            (number, ODD_JOB): (503, "")
            for number in range(soak_faults.DAEMONS)
        }
        violations, received = ask(soak_run, refusals)
        assert violations == [("LOST", ODD_JOB)]
        assert received.total() == len(JOBS) + 1

    def test_a_request_without_an_answer(self, soak_run, monkeypatch):
        monkeypatch.setattr(soak_callers, "REQUEST_TIMEOUT_S", 1.0)
        violations, _ = ask(soak_run, {(FIRST, ODD_JOB): (0, "")})
        assert violations == [("LOST", ODD_JOB)]
        assert soak_run.end_responses == {200: len(JOBS) - 1, "timeout": 1}

    def test_daemons_that_answer_nothing(self, soak_run, monkeypatch):
        monkeypatch.setattr(soak_callers, "REQUEST_TIMEOUT_S", 1.0)
        violations, _ = ask(soak_run, waits_for=len(JOBS) + 1)
        assert violations == [("LOST", job_id) for job_id in JOBS]

    @pytest.mark.parametrize("state", ["running", "cancelled"])
    def test_a_state_that_contradicts_an_earlier_one(self, soak_run, state):
        soak_run.final_states[ODD_JOB] = "completed"
        violations, _ = ask(soak_run, {(FIRST, ODD_JOB): (200, state)})
        assert ("MIXED", ODD_JOB) in violations

    def test_a_job_that_the_store_holds_is_shown_in_another_state(
        self, soak_run
    ):
        soak_run.kept_jobs = ["k0"]
        ask(soak_run)
        (violation,) = soak_run.oracle.violations
        assert violation.rule == "MIXED"


class TestClosings:

    def draw(self, seeds=200):
        return [
            soak_closing.draw_closing(
                random.Random(f"{seed}-closing"), soak_faults.DAEMONS
            )
            for seed in range(seeds)
        ]

    def test_all_kinds_are_drawn_with_and_without_a_slow_store(self):
        drawn = {(closing.kind, closing.slow_store) for closing in self.draw()}
        assert len(drawn) == 2 * len(soak_closing.KINDS)

    def test_jobs_are_only_added_to_the_store_while_no_daemon_leads(self):
        kinds = {closing.kind for closing in self.draw() if closing.kept_jobs}
        assert kinds == {"all", "leader"}

    def test_a_seed_keeps_its_sequence_of_faults(self, soak_run):
        assert soak_run.random.getstate() == random.Random(SEED).getstate()

    @pytest.mark.parametrize(
        ("kind", "leader", "count"),
        [
            ("all", 1, soak_faults.DAEMONS),
            ("half", 1, 2),
            ("leader", 1, 1),
            ("leader", None, 0),
            ("none", 1, 0),
        ],
    )
    def test_the_daemons_that_are_killed(self, soak_run, kind, leader, count):
        soak_run.closing = soak_closing.Closing(kind, (), False, 0)
        soak_run._leader = lambda: leader
        killed = soak_run._daemons_to_kill()
        assert len(set(killed)) == count
        assert kind != "leader" or killed == [leader][:count]

    def test_a_daemon_that_moves_listens_at_its_new_address(self, soak_run):
        daemon, *others = soak_run.daemons
        previous = daemon.front
        daemon.move()
        settings = yaml.safe_load(daemon.settings.read_text())
        assert settings["listen"]["front"] == daemon.front != previous
        assert daemon.front not in {other.front for other in others}


class RowLossSoak(soak.ClosingSoak):
    """The store loses the row of one job while all daemons are down."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        moves = (True,) * self.daemon_count
        self.closing = soak_closing.Closing("all", moves, True, 0)
        self.lost_job = ""

    async def _isolate_leaders(self) -> None:
        pass

    async def _silence_workers(self) -> None:
        pass

    async def _restart_workers(self) -> None:
        pass

    async def _inject_faults(self) -> None:
        """Ends the traffic when a job has been accepted."""
        self.end_s = math.inf
        async with asyncio.timeout(soak.LISTEN_TIMEOUT_S):
            while not self.accepted:
                await asyncio.sleep(0.1)
        self.end_s = time.monotonic()

    def _store_kept_jobs(self):
        self.lost_job = max(self.accepted)
        del self.simulator.store.rows[
            _commits.JOBS_TABLE, _election.PART, self.lost_job
        ]


class TestRuns:

    def test_a_job_that_is_lost_at_the_closing_is_detected(self, tmp_path):
        soak_run = soak.run_seed(SEED, 6.0, tmp_path, RowLossSoak)
        assert [
            violation
            for violation in soak_run.oracle.violations
            if violation.rule == "LOST"
            and f"job {soak_run.lost_job} is unknown" in violation.detail
        ], soak.report(SEED, soak_run)

"""End of a run of soak tests: a closing, and requests for all accepted jobs.

`Callers._wait_for_jobs` asks for one job after the other, and again until each
has an answer. Clients of the platform ask at once, and count a job as lost
whose state has no answer before their deadline.
"""

import asyncio
import collections
import contextlib
import math
import random
import signal
import time

import attrs
import soak_callers
import soak_oracle
import soak_platform
import soak_stop_records
import soak_stops

from baobabdoor import platform
from baobabdoor import scheduling

KINDS = ("all", "half", "leader", "none")
# Time from the end of daemons to their restart: the platform restarts processes
# after a short delay.
RESTART_DELAY_S = 0.7
# Share of killed daemons that return at a new address.
MOVE_SHARE = 0.4
# Share of closings with a slow store, and the time that it takes for each call:
# state requests are to be answered while each answer of the store takes this.
SLOW_STORE_SHARE = 0.5
SLOW_STORE_LATENCY_S = 0.3
# Share of closings in which the next leader also reads the jobs that a queue
# keeps after their end.
KEPT_JOBS_SHARE = 0.5
# Requests at once that the daemons are to answer within their deadline.
REQUESTS_AT_ONCE = 1000
# Attempts of a request within its deadline: the platform's clients repeat one
# at another daemon.
ATTEMPTS = 2
# Connections that are opened at once: fewer than the backlog of a listener.
OPENED_AT_ONCE = 64
# Time for which a job is known after its end: `status_s` of the deployments.
STATUS_S = 120.0
KEPT_STATE = scheduling.JobState.COMPLETED


@attrs.frozen
class Closing:
    """What happens at the end of the traffic.

    Attributes:
        kind: Which daemons are killed at once: all, half, the leader or none.
        moves: Whether each daemon returns at a new address, if it is killed.
        slow_store: Whether the store is slow until all jobs were asked for.
        kept_jobs: Ended jobs that the next leader also has to read.
    """

    kind: str
    moves: tuple[bool, ...]
    slow_store: bool
    kept_jobs: int

    def describe(self) -> str:
        """Returns a description without spaces."""
        parts = [self.kind]
        if self.kind != "none":
            parts.append(f"moves{''.join(str(int(m)) for m in self.moves)}")
        if self.slow_store:
            parts.append("slow-store")
        if self.kept_jobs:
            parts.append(f"kept{self.kept_jobs}")
        return "+".join(parts)


def draw_closing(generator: random.Random, daemons: int) -> Closing:
    """Returns a random closing.

    Args:
        generator: Random generator of closings alone, so that a seed keeps its
            sequence of faults.
        daemons: Number of daemons.
    """
    kind = generator.choice(KINDS)
    moves = tuple(generator.random() < MOVE_SHARE for _ in range(daemons))
    slow_store = generator.random() < SLOW_STORE_SHARE
    keeps = generator.random() < KEPT_JOBS_SHARE
    # Only a leader that begins its term reads rows that it has not written.
    keeps = keeps and kind in ("all", "leader")
    kept_jobs = soak_stops.KEPT_JOBS if keeps else 0
    return Closing(kind, moves, slow_store, kept_jobs)


class JobRequests:
    """Part of `soak.Soak`, which holds the state: requests for all jobs.

    Attributes:
        end_responses: Number of requests by the status of their answer, or by
            the error of their last attempt.
        asking_watch: Observes the event loop while requests wait.
    """

    def __init__(self):
        self.end_responses: collections.Counter = collections.Counter()
        # Jobs that the store holds from the closing on.
        self.kept_jobs: list[str] = []
        # Tells late answers of daemons from answers that were read late.
        self.asking_watch = soak_stop_records.LoopWatch()

    async def _wait_until_in_touch(self) -> None:
        """Waits until all daemons are in touch with the platform."""
        began_s = time.monotonic()
        subjects = [f"daemon {number}" for number in range(len(self.daemons))]
        while True:
            calm_since_s = max(
                began_s, self.disruptions.calm_since_s(*subjects)
            )
            if time.monotonic() >= calm_since_s + soak_platform.CONTACT_S:
                return
            await asyncio.sleep(soak_oracle.QUIET_CHECK_INTERVAL_S)

    async def _ask_for_all_jobs(self) -> None:
        """Asks for all accepted jobs, and for jobs that the store holds.

        Each job that is unknown or has no answer in time is a violation of the
        rule LOST, and each that is in another state than before one of MIXED.
        """
        jobs = self._jobs_to_ask()
        fill = max(0, REQUESTS_AT_ONCE - len(jobs))
        jobs += self.kept_jobs[:fill]
        watch = asyncio.ensure_future(self.asking_watch.run())
        try:
            for first in range(0, len(jobs), REQUESTS_AT_ONCE):
                await self._ask_at_once(jobs[first : first + REQUESTS_AT_ONCE])
        finally:
            watch.cancel()

    def _jobs_to_ask(self) -> list[str]:
        """Returns the accepted jobs that have to be known."""
        limit_s = time.monotonic() - STATUS_S
        return [
            job_id
            for job_id in sorted(self.accepted)
            if job_id not in self.final_states
            or self.accepted_s.get(job_id, math.inf) > limit_s
        ]

    async def _ask_at_once(self, jobs: list[str]) -> None:
        connections = [
            soak_callers.Connection(self._front(place))
            for place in range(len(jobs))
        ]
        semaphore = asyncio.Semaphore(OPENED_AT_ONCE)

        async def open_connection(connection) -> None:
            # The request that finds no connection is repeated elsewhere.
            async with semaphore:
                with contextlib.suppress(OSError):
                    await connection.open()

        await asyncio.gather(*map(open_connection, connections))
        await asyncio.gather(
            *(
                self._ask_for_job(job_id, place, connections[place])
                for place, job_id in enumerate(jobs)
            )
        )

    def _front(self, place: int) -> str:
        return self.daemons[place % len(self.daemons)].front

    async def _ask_for_job(
        self, job_id: str, place: int, connection: soak_callers.Connection
    ) -> None:
        """Asks for a job before one deadline, in up to `ATTEMPTS` attempts.

        Args:
            job_id: The job.
            place: Place of the request, which selects the daemons.
            connection: Open connection to the first daemon.
        """
        earlier = self.final_states.get(job_id)
        due_s = time.monotonic() + soak_callers.REQUEST_TIMEOUT_S
        outcomes = []
        for attempt in range(ATTEMPTS):
            if attempt:
                connection.close()
                connection = soak_callers.Connection(
                    self._front(place + attempt)
                )
            left_s = due_s - time.monotonic()
            if left_s <= soak_callers.RESPONSE_TIME_S:
                break
            status, content = await _request_state(connection, job_id, left_s)
            outcomes.append(status or content["error"])
            if status in (200, 410):
                break
        connection.close()
        self.end_responses[outcomes[-1]] += 1
        if outcomes[-1] == 200:
            self._observe_answer(job_id, content["state"], earlier, place)
            return
        kind = "is unknown" if outcomes[-1] == 410 else "has no answer in time"
        answers = ", ".join(
            f"{outcome} at daemon {(place + number) % len(self.daemons)}"
            for number, outcome in enumerate(outcomes)
        )
        self.oracle.add(
            "LOST", f"accepted job {job_id} {kind} at the end: {answers}"
        )

    def _observe_answer(
        self, job_id: str, state: str, earlier: str | None, place: int
    ) -> None:
        daemon = place % len(self.daemons)
        if job_id not in self.accepted:
            if state != KEPT_STATE.value:
                self.oracle.add(
                    "MIXED",
                    f"{job_id} changed from {KEPT_STATE.value} to {state} "
                    f"at {daemon}",
                )
        # An answer may be older than one that came while it was on its way.
        elif earlier or state in soak_oracle.FINAL_STATES:
            self._observe_state(job_id, state, daemon)


async def _request_state(
    connection: soak_callers.Connection, job_id: str, timeout_s: float
) -> tuple[int, dict]:
    """Returns status and content; status 0 without an answer in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await connection.request(
                "GET",
                soak_platform.PREFIX + job_id,
                deadline_s=timeout_s - soak_callers.RESPONSE_TIME_S,
            )
    except TimeoutError:
        return 0, {"error": "timeout"}


class ClosingFaults:
    """Part of `soak.ClosingSoak`, which holds the state: the closing."""

    def __init__(self, seed: int, *arguments):
        super().__init__(seed, *arguments)
        # Apart from `random`, so that a seed keeps its sequence of faults.
        self.closing_random = random.Random(f"{seed}-closing")
        self.closing = draw_closing(self.closing_random, self.daemon_count)

    async def _close_day(self) -> None:
        """Carries out the closing and asks for all jobs once in touch."""
        self._log_fault(f"closing {self.closing.describe()}")
        with contextlib.ExitStack() as stack:
            if self.closing.slow_store:
                stack.enter_context(self.disruptions.span("store"))
                self.simulator.store_latency_s = SLOW_STORE_LATENCY_S
                stack.callback(setattr, self.simulator, "store_latency_s", 0.0)
            await self._kill_daemons(self._daemons_to_kill())
            await self._wait_until_in_touch()
            self._log_fault("all jobs are asked for")
            await self._ask_for_all_jobs()

    def _daemons_to_kill(self) -> list[int]:
        numbers = list(range(len(self.daemons)))
        if self.closing.kind == "all":
            return numbers
        if self.closing.kind == "half":
            half = math.ceil(len(numbers) / 2)
            return self.closing_random.sample(numbers, half)
        leader = self._leader()
        if self.closing.kind == "leader" and leader is not None:
            return [leader]
        return []

    async def _kill_daemons(self, numbers: list[int]) -> None:
        """Kills daemons at once and restarts them, some at new addresses."""
        daemons = [self.daemons[number] for number in numbers]
        names = (f"daemon {number}" for number in numbers)
        with self.disruptions.span(*names):
            for daemon in daemons:
                daemon.send(signal.SIGKILL)
            for daemon in daemons:
                daemon.end()
            if numbers:
                self._store_kept_jobs()
            await asyncio.sleep(RESTART_DELAY_S)
            for daemon in daemons:
                if self.closing.moves[daemon.number]:
                    daemon.move()
                daemon.start()
            await self._wait_until_listening()

    def _store_kept_jobs(self) -> None:
        """Writes rows of jobs that have ended, while no daemon leads."""
        now_ms = self.simulator.now_ms()
        step = (scheduling.StepSpec(1),)
        job = scheduling.Job(
            scheduling.JobSpec("0", soak_platform.QUEUE, "", step), now_ms
        )
        job.state = KEPT_STATE
        job.ended_ms = now_ms
        value = job.encode()
        self.kept_jobs = [
            f"{number:016x}" for number in range(self.closing.kept_jobs)
        ]
        rows = [
            platform.StoredRow("jobs", "fleet", job_id, value)
            for job_id in self.kept_jobs
        ]
        self.simulator.store._apply(rows, [], [])

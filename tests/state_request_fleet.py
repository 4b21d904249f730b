"""Daemon processes that are asked for the states of all jobs at once.

Measures how long all requests take after all daemons were killed and return
while the store is slow, by the number of concurrent requests:

    python tests/state_request_fleet.py --jobs 220 --concurrency 1 10 40 150 0
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import re
import signal
import tempfile
import time

import attrs
import soak
import soak_callers
import soak_platform
from tornado import web

from baobabdoor import platform
from baobabdoor import scheduling

JOBS_TABLE = "jobs"
PART = "fleet"
# Time that a request names for its answer: that of the rules for callers.
DEADLINE_S = 3.0
# Time of an answer of a slow store.
STORE_LATENCY_S = 0.3
# Concurrent submissions while the fleet is calm, and attempts of each.
SUBMISSIONS = 40
ATTEMPTS = 20
ATTEMPT_PAUSE_S = 0.5
POLL_INTERVAL_S = 0.02
# Time for which a late process runs between two pauses.
RUN_S = 0.1
# Jobs start after every test, so that their states are known beforehand.
FAR_FUTURE_MS = 2**50
# Maximum time until there is a leader; only guards against hangs.
LEADER_TIMEOUT_S = 60.0


@attrs.frozen
class Answer:
    """Answer to one request.

    Attributes:
        status: Status; 0 without a complete answer.
        content: Body, or why there is none.
        wait_s: Time since the request was sent.
    """

    status: int
    content: dict
    wait_s: float


class StateRequestFleet(soak.Soak):
    """Daemons whose store counts, limits and delays reads of jobs.

    Args:
        folder: Directory for settings and logs.
        seed: Seed that chooses the addresses and the jobs.

    Attributes:
        reads: Number of reads of rows of jobs.
        reads_per_s: Reads of rows per second beyond which the store refuses
            them with status 429. Default: no limit.
    """

    def __init__(self, folder: pathlib.Path, seed: int = 7300):
        super().__init__(seed, 0.0, folder)
        self.reads = 0
        self.reads_per_s: int | None = None
        self.read_times_s: list[float] = []
        self.read_rows = self.simulator.store.read
        self.simulator.store.read = self._read
        self.jobs: list[str] = []

    async def _read(self, table, *arguments, **options):
        now_s = time.monotonic()
        self.read_times_s = [
            read_s for read_s in self.read_times_s if read_s > now_s - 1.0
        ] + [now_s]
        self.reads += table == JOBS_TABLE
        if self.reads_per_s and len(self.read_times_s) > self.reads_per_s:
            raise web.HTTPError(429)
        return await self.read_rows(table, *arguments, **options)

    @contextlib.asynccontextmanager
    async def running(self, jobs: int):
        """Runs the fleet with accepted jobs while the context is active."""
        self.simulator.start()
        for proxy in [*self.store_proxies, *self.worker_proxies]:
            await proxy.start()
        for daemon in self.daemons:
            daemon.start()
        try:
            await self._wait_until_listening()
            await self.wait_for_leader()
            await self._submit_jobs(jobs)
            yield self
        finally:
            for daemon in self.daemons:
                # A process that is stopped is killed all the same.
                daemon.end()
            self._stop()

    async def wait_for_leader(self) -> None:
        """Waits until the store names a leader."""
        async with asyncio.timeout(LEADER_TIMEOUT_S):
            while self._leader() is None:
                await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def leader(self):
        """The daemon that the store names as the leader."""
        return self.daemons[self._leader()]

    def followers(self) -> list[int]:
        """Returns the numbers of the daemons other than the leader."""
        return [
            daemon.number
            for daemon in self.daemons
            if daemon is not self.leader
        ]

    async def _submit_jobs(self, count: int) -> None:
        generator = random.Random(self.caller_seed)
        self.jobs = [f"{generator.getrandbits(64):016x}" for _ in range(count)]
        step = {"count": 1, "cpu": 100, "estimate-ms": 1000}
        body = json.dumps(
            {
                "spec": "",
                "steps": [step],
                "start-at-ms": FAR_FUTURE_MS,
                "repeat-count": 1,
            }
        ).encode()
        gate = asyncio.Semaphore(SUBMISSIONS)

        async def submit(number: int) -> None:
            async with gate:
                for _ in range(ATTEMPTS):
                    answer = await self.request(
                        "POST", self.jobs[number], self.daemon_of(number), body
                    )
                    if answer.status == 200:
                        return
                    await asyncio.sleep(ATTEMPT_PAUSE_S)
            raise AssertionError(f"not accepted: {answer}")

        await asyncio.gather(*(submit(number) for number in range(count)))

    def daemon_of(self, number: int, daemons=()) -> int:
        """Returns which of some daemons, or of all, is asked for a job."""
        numbers = list(daemons) or range(len(self.daemons))
        return numbers[number % len(numbers)]

    async def request(
        self, method: str, job_id: str, daemon: int, body: bytes = b""
    ) -> Answer:
        """Sends a request on a connection of its own."""
        connection = soak_callers.Connection(self.daemons[daemon].front)
        started_s = time.monotonic()
        status, content = await connection.request(
            method, soak_platform.PREFIX + job_id, body, DEADLINE_S
        )
        connection.close()
        return Answer(status, content, time.monotonic() - started_s)

    async def ask(self, daemons=(), concurrency: int = 0) -> list[Answer]:
        """Asks daemons for all jobs.

        Args:
            daemons: Numbers of the daemons. Default: all.
            concurrency: Maximum concurrent requests. Default: all at once.
        """
        gate = asyncio.Semaphore(concurrency or len(self.jobs))

        async def ask(number: int) -> Answer:
            async with gate:
                return await self.request(
                    "GET", self.jobs[number], self.daemon_of(number, daemons)
                )

        return await asyncio.gather(
            *(ask(number) for number in range(len(self.jobs)))
        )

    def store_ended_jobs(self, count: int) -> None:
        """Writes rows of ended jobs, spread over all identifiers."""
        step = (scheduling.StepSpec(1),)
        rows = []
        for number in range(count):
            job_id = f"{number * (2**64 // count):016x}"
            spec = scheduling.JobSpec(job_id, soak_platform.QUEUE, "", step)
            job = scheduling.Job(spec, self.simulator.now_ms())
            job.state = scheduling.JobState.COMPLETED
            job.ended_ms = self.simulator.now_ms()
            key = (JOBS_TABLE, PART, job_id)
            rows.append(platform.StoredRow(*key, job.encode()))
        self.simulator.store._apply(rows, [], [])

    async def restart_all(self) -> None:
        """Kills all daemons and starts them again until they listen."""
        for daemon in self.daemons:
            daemon.end()
        for daemon in self.daemons:
            daemon.start()
        await self._wait_until_listening()

    async def ask_until_answered(
        self, concurrency: int = 0
    ) -> tuple[int, list[float]]:
        """Asks all daemons for all jobs, and again after a refusal.

        Args:
            concurrency: Maximum concurrent requests. Default: all at once.

        Returns:
            The number of jobs whose first request was not answered with the
            state, and the time until each was.
        """
        gate = asyncio.Semaphore(concurrency or len(self.jobs))
        refused: set[int] = set()

        async def ask(number: int) -> float:
            async with gate:
                started_s = time.monotonic()
                while True:
                    answer = await self.request(
                        "GET", self.jobs[number], self.daemon_of(number)
                    )
                    wait_s = time.monotonic() - started_s
                    if answer.status == 200 or wait_s > LEADER_TIMEOUT_S:
                        return wait_s
                    refused.add(number)
                    await asyncio.sleep(ATTEMPT_PAUSE_S)

        waits_s = await asyncio.gather(
            *(ask(number) for number in range(len(self.jobs)))
        )
        return len(refused), waits_s

    def log_values(self, event: str, field: str) -> list[str]:
        """Returns the values of a field of an event in the daemons' logs."""
        return [
            value
            for daemon in self.daemons
            for line in daemon.log.read_text().splitlines()
            if event in line
            for value in re.findall(rf"\b{field}=(\S+)", line)
        ]

    @contextlib.asynccontextmanager
    async def late(self, daemon, pause_s: float):
        """Stops a process for a while again and again.

        Args:
            daemon: The daemon.
            pause_s: Time of each pause in seconds.
        """

        async def pause():
            while True:
                daemon.send(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                daemon.send(signal.SIGCONT)
                await asyncio.sleep(RUN_S)

        task = asyncio.ensure_future(pause())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.wait([task])
            daemon.send(signal.SIGCONT)


async def _measure(options: argparse.Namespace, concurrency: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        fleet = StateRequestFleet(pathlib.Path(folder))
        async with fleet.running(options.jobs):
            fleet.store_ended_jobs(options.kept)
            if options.proxy_delay:
                for proxy in fleet.store_proxies:
                    proxy.set_mode("delay")
            else:
                fleet.simulator.store_latency_s = STORE_LATENCY_S
            await fleet.restart_all()
            fleet.reads = 0
            started_s = time.monotonic()
            refused, waits_s = await fleet.ask_until_answered(concurrency)
            elapsed_s = time.monotonic() - started_s
            late = sum(wait_s > DEADLINE_S for wait_s in waits_s)
            reads = fleet.reads
            while len(fleet.log_values("tenure_loaded", "took_ms")) < 2:
                await asyncio.sleep(POLL_INTERVAL_S)
            took_ms = fleet.log_values("tenure_loaded", "took_ms")
    return (
        f"concurrency={concurrency or options.jobs} jobs={options.jobs} "
        f"kept={options.kept} first_refused={refused} "
        f"all_answered_s={elapsed_s:.1f} slowest_s={max(waits_s):.1f} "
        f"late={late} reads={reads} took_ms={','.join(took_ms)}"
    )


def main() -> None:
    """Prints a line for each number of concurrent requests."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=220)
    parser.add_argument(
        "--kept", type=int, default=0, help="ended jobs in the store"
    )
    parser.add_argument(
        "--concurrency", type=int, nargs="*", default=[0], help="0: all"
    )
    parser.add_argument(
        "--proxy-delay", action="store_true", help="delay each chunk instead"
    )
    options = parser.parse_args()
    for concurrency in options.concurrency:
        print(asyncio.run(_measure(options, concurrency)), flush=True)


if __name__ == "__main__":
    main()

"""Soak mode with planned work only: series of overlapping stops of daemons.

Many callers use connections that were opened before a stop until the process is
gone. Each request that was sent as a whole must get a whole response.
"""

import asyncio
import collections
import contextlib
import math
import random
import signal
import time

import soak_callers
import soak_platform
import soak_stop_records

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.standin import _walk

# Enough daemons that some serve while others stop and start.
DAEMONS = 6
CALLERS = 60
# Time between two stops of a series, and stops of a series: those of a
# platform's roll-out over machines of entries.
STOP_INTERVAL_S = 0.88
STOPS = 9
# Times from SIGTERM to SIGKILL, and the share of daemons with the long one.
GRACE_TIMES_S = (1.0, 2.0, 3.0, 6.0)
LONG_GRACE_S = 60.0
LONG_GRACE_SHARE = 0.1
# Shares of stops with a second SIGTERM, and with a SIGHUP beside them; bounds
# of the time to either.
REPEATED_SHARE = 0.3
RELOAD_SHARE = 0.3
SIGNAL_DELAY_RANGE_S = (0.0, 2.0)
# Bounds of the time between two configurations.
CONFIGURATION_PAUSE_RANGE_S = (1.0, 6.0)
# Share of stops that go to the leader of that moment.
LEADER_SHARE = 0.5
# Time that the platform's store takes for each call.
STORE_LATENCY_S = 0.004
# Ended jobs in the store, which each new leader reads: those that a queue with
# 160 submissions a second keeps for `status_s` of 120 s.
KEPT_JOBS = 19_200
# Connections to each stopping daemon that are opened before SIGTERM and carry
# one request each, and the share of submissions among these. Requests are sent
# one after the other until the process is gone.
HELD_CONNECTIONS = 40
HELD_INTERVAL_S = 0.1
HELD_SUBMIT_SHARE = 0.7
# Time for callers to use all daemons again before the next series.
PAUSE_S = 1.5
# Time for a daemon to start; generous, because this is slow on a busy machine.
START_TIMEOUT_S = 60.0
# Time for which a caller avoids a daemon that refused its connection.
AVOID_S = 0.3
# Bounds of the time between two requests of a caller.
REQUEST_PAUSE_RANGE_S = (0.05, 0.4)
# Deadlines of requests: one that ends within a stop, and that of the queue.
DEADLINES_S = (1.0, 3.0)
# Shares of submissions, cancels and queries of pending jobs among requests;
# others query the state of a job.
SUBMIT_SHARE = 0.25
CANCEL_SHARE = 0.07
PENDING_SHARE = 0.1
POLL_INTERVAL_S = 0.02


class StopSeries:
    """Part of `soak.StopSoak`: planned stops instead of faults."""

    daemon_count = DAEMONS
    caller_count = CALLERS
    repeated_share = REPEATED_SHARE
    reload_share = RELOAD_SHARE
    deadlines_s = DEADLINES_S
    kept_job_count = KEPT_JOBS

    def __init__(self, seed: int, *arguments):
        super().__init__(seed, *arguments)
        self.simulator.store_latency_s = STORE_LATENCY_S
        self.deadline_random = random.Random(f"{seed}-deadlines")
        self.held_random = random.Random(f"{seed}-held")
        self.loop_watch = soak_stop_records.LoopWatch()
        self.series: list[soak_stop_records.Series] = [
            soak_stop_records.Series()
        ]
        self.cut_requests: list[soak_stop_records.CutRequest] = []
        # Requests without a response by daemon.
        self.pending: collections.Counter = collections.Counter()
        # Times until which callers avoid daemons.
        self.avoided_until_s = [0.0] * self.daemon_count
        self.caller_connections: list[list[soak_callers.Connection]] = []
        # Times from SIGTERM to the end of a process.
        self.stop_times_s: list[float] = []

    def _choose_grace_times(self, seed: int) -> list[float]:
        generator = random.Random(f"{seed}-grace")
        return [
            (
                LONG_GRACE_S
                if generator.random() < LONG_GRACE_SHARE
                else generator.choice(GRACE_TIMES_S)
            )
            for _ in range(self.daemon_count)
        ]

    # Faults of the general soak.

    async def _replace_entries(self) -> None:
        pass

    async def _isolate_leaders(self) -> None:
        pass

    async def _silence_workers(self) -> None:
        pass

    async def _restart_workers(self) -> None:
        pass

    async def _overtake(self, *arguments) -> bool:
        del arguments
        return False

    # Planned work.

    async def run(self) -> list:
        """Executes the run and returns the violations."""
        # Before any process runs, because it takes seconds.
        self._store_ended_jobs()
        return await super().run()

    async def _inject_faults(self) -> None:
        """Stops all daemons in several series."""
        while len(self.caller_connections) < self.caller_count:
            await asyncio.sleep(POLL_INTERVAL_S)
        last_start_s = time.monotonic() + self.seconds
        # Callers go on until the last daemon has returned.
        self.end_s = math.inf
        watch = asyncio.ensure_future(self.loop_watch.run())
        updates = asyncio.ensure_future(self._update_configurations())
        try:
            while time.monotonic() < last_start_s:
                await self._run_series()
                await asyncio.sleep(PAUSE_S)
        finally:
            self.end_s = time.monotonic()
            updates.cancel()
            await asyncio.sleep(max(DEADLINES_S) + soak_callers.LATE_RESPONSE_S)
            watch.cancel()

    def _store_ended_jobs(self) -> None:
        """Writes rows of jobs that have ended, as a leader does."""
        now_ms = self.simulator.now_ms()
        step = (scheduling.StepSpec(1),)
        rows = []
        for number in range(self.kept_job_count):
            spec = scheduling.JobSpec(
                f"{number:016x}", soak_platform.QUEUE, "", step
            )
            job = scheduling.Job(spec, now_ms)
            job.state = scheduling.JobState.COMPLETED
            job.ended_ms = now_ms
            key = ("jobs", "fleet", spec.job_id)
            rows.append(platform.StoredRow(*key, job.encode()))
        self.simulator.store._apply(rows, [], [])

    async def _run_series(self) -> None:
        await self._open_connections()
        self.series.append(soak_stop_records.Series())
        self._log(f"series of {STOPS} stops, leader {self._leader()}")
        order = list(range(self.daemon_count))
        self.random.shuffle(order)
        stops: dict[int, asyncio.Task] = {}
        for _ in range(STOPS):
            number = order[0]
            leader = self._leader()
            if leader is not None and self.random.random() < LEADER_SHARE:
                number = leader
            if number in stops:
                await stops[number]
            order.remove(number)
            order.append(number)
            stops[number] = asyncio.ensure_future(
                self._stop_daemon_once(number)
            )
            self.series[-1].stops += 1
            await asyncio.sleep(STOP_INTERVAL_S)
        await asyncio.gather(*stops.values())

    async def _open_connections(self) -> None:
        for connections in self.caller_connections:
            for connection in connections:
                if not connection.busy:
                    # Some daemons may still be starting.
                    with contextlib.suppress(OSError):
                        await connection.open()

    async def _stop_daemon_once(self, number: int) -> None:
        """Stops a daemon, waits for its end and starts it again."""
        daemon = self.daemons[number]
        signals = []
        if self.random.random() < self.repeated_share:
            signals.append(self._signal_later(daemon, signal.SIGTERM))
        if self.random.random() < self.reload_share:
            signals.append(self._signal_later(daemon, signal.SIGHUP))
        held = await self._hold_connections(number)
        with self.disruptions.span(f"daemon {number}", planned=True):
            self._log(f"SIGTERM to daemon {number}, grace {daemon.grace_s} s")
            daemon.send(signal.SIGTERM)
            stopped_s = time.monotonic()
            tasks = [asyncio.ensure_future(send) for send in signals]
            late = asyncio.ensure_future(self._use_connections(number, held))
            while daemon.running and (
                time.monotonic() < stopped_s + daemon.grace_s
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
            self._check_end(daemon, time.monotonic() - stopped_s)
            for task in tasks:
                task.cancel()
            daemon.end()
            daemon.start()
            await self._wait_until_it_listens(daemon)
        await late

    async def _hold_connections(
        self, number: int
    ) -> list[soak_callers.Connection]:
        """Opens connections to a daemon that are used once it stops."""
        front = self.daemons[number].front
        held = [soak_callers.Connection(front) for _ in range(HELD_CONNECTIONS)]
        with contextlib.suppress(OSError):
            for connection in held:
                await connection.open()
        return held

    async def _use_connections(self, number: int, held: list) -> None:
        """Sends a request on each connection while the daemon stops."""
        daemon = self.daemons[number]
        requests = []
        for connection in held:
            if not daemon.stopping:
                break
            requests.append(
                asyncio.ensure_future(self._send_once(number, connection))
            )
            await asyncio.sleep(HELD_INTERVAL_S)
        await asyncio.gather(*requests)
        for connection in held:
            connection.close()

    async def _send_once(self, number: int, connection) -> None:
        generator = self.held_random
        connections = {number: connection}
        if generator.random() < HELD_SUBMIT_SHARE or not self.accepted:
            job_id = self._new_job(generator)
            status, content = await self._send_request(
                "POST",
                job_id,
                connections,
                generator,
                self._body(job_id),
                number,
            )
            self._observe_submission(job_id, status, content)
            return
        job_id = generator.choice(("", next(iter(self.accepted))))
        await self._send_request(
            "GET", job_id, connections, generator, b"", number
        )

    async def _signal_later(self, daemon, number: signal.Signals) -> None:
        """Sends a signal to a daemon that stops, unless it has ended."""
        await asyncio.sleep(self.random.uniform(*SIGNAL_DELAY_RANGE_S))
        stopped_s = daemon.stopped_s
        daemon.send(number)
        daemon.stopped_s = stopped_s

    def _check_end(self, daemon, duration_s: float) -> None:
        """Checks that a process has ended by itself in time."""
        self.stop_times_s.append(duration_s)
        if daemon.running:
            self.oracle.add(
                "STOP",
                f"daemon {daemon.number} runs at the end of its grace-s "
                f"{daemon.grace_s}",
            )
        elif daemon.process.returncode:
            self.oracle.add(
                "STOP",
                f"daemon {daemon.number} ended with exit code "
                f"{daemon.process.returncode}",
            )

    async def _wait_until_it_listens(self, daemon) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        connection = soak_callers.Connection(daemon.front)
        while True:
            try:
                await connection.open()
            except OSError:
                if time.monotonic() > end_s:
                    raise
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            connection.close()
            return

    async def _update_configurations(self) -> None:
        while True:
            await asyncio.sleep(
                self.random.uniform(*CONFIGURATION_PAUSE_RANGE_S)
            )
            await self._update_configuration(0.0)

    def _log(self, text: str) -> None:
        elapsed_s = time.monotonic() - self.simulator.start_time_s
        self.fault_log.append(f"{elapsed_s:.2f} {text}")

    # Callers.

    def _choose_daemon(self, generator: random.Random) -> int:
        now_s = time.monotonic()
        numbers = [
            number
            for number, until_s in enumerate(self.avoided_until_s)
            if until_s < now_s
        ]
        return generator.choice(numbers or range(self.daemon_count))

    async def _run_caller(self, number: int) -> None:
        generator = random.Random(f"{self.caller_seed}-{number}")
        connections = [
            soak_callers.Connection(daemon.front) for daemon in self.daemons
        ]
        for connection in connections:
            await connection.open()
        self.caller_connections.append(connections)
        job_ids: list[str] = []
        while time.monotonic() < self.end_s:
            await self._call(generator, connections, job_ids)
            pause_s = generator.uniform(*REQUEST_PAUSE_RANGE_S)
            await asyncio.sleep(pause_s)
        for connection in connections:
            connection.close()

    async def _call(self, generator, connections, job_ids: list[str]) -> None:
        draw = generator.random()
        if draw < SUBMIT_SHARE or not job_ids:
            job_ids.append(self._new_job(generator))
            await self._submit(job_ids[-1], connections, generator)
            return
        job_id = generator.choice(job_ids)
        if draw < SUBMIT_SHARE + CANCEL_SHARE:
            await self._cancel(job_id, connections, generator)
        elif draw < SUBMIT_SHARE + CANCEL_SHARE + PENDING_SHARE:
            await self._send_request("GET", "", connections, generator)
        else:
            await self._query_state(job_id, connections, generator)

    def _new_job(self, generator: random.Random) -> str:
        """Creates a job that is small, so that workers can run all."""
        job_id = f"{generator.getrandbits(64):016x}"
        step = scheduling.StepSpec(
            1, cpu_milli=100, memory_mb=10, checkpointing=False
        )
        self.specs[job_id] = scheduling.JobSpec(
            job_id, soak_platform.QUEUE, _walk.payload_of(job_id), (step,)
        )
        return job_id

    async def _send_request(
        self, method, job_id, connections, generator, body=b"", number=None
    ):
        if number is None:
            number = self._choose_daemon(generator)
        daemon = self.daemons[number]
        connection = connections[number]
        deadline_s = self.deadline_random.choice(self.deadlines_s)
        series = self.series[-1]
        self.pending[number] += 1
        if daemon.stopping:
            series.most_pending = max(series.most_pending, self.pending[number])
        try:
            status, content = await connection.request(
                method, soak_platform.PREFIX + job_id, body, deadline_s
            )
        finally:
            self.pending[number] -= 1
        outcome = status or content["error"]
        self.responses[method, outcome] += 1
        if outcome == "connect":
            self.avoided_until_s[number] = time.monotonic() + AVOID_S
        else:
            series.outcomes[outcome] += 1
        if status:
            wait_s = time.monotonic() - connection.sent_s
            series.longest_wait_s = max(series.longest_wait_s, wait_s)
        if outcome == "cut":
            self._observe_cut(
                soak_stop_records.CutRequest(
                    method,
                    soak_platform.PREFIX + job_id,
                    number,
                    connection.sent_s,
                    self.loop_watch.earliest_s(),
                    deadline_s,
                    daemon.stopped_s,
                ),
                series,
            )
        return status, content | {"daemon": number}

    def _observe_cut(
        self,
        request: soak_stop_records.CutRequest,
        series: soak_stop_records.Series,
    ) -> None:
        self.cut_requests.append(request)
        series.lost += request.is_lost()

    def _check_results(self) -> None:
        super()._check_results()
        for request in self.cut_requests:
            if request.is_lost():
                self.oracle.add("LOST", request.describe())

    def describe_series(self) -> str:
        """Returns a line for each series of stops."""
        lines = []
        for series in self.series[1:]:
            outcomes = sorted(series.outcomes.items(), key=str)
            listed = " ".join(f"{kind}={count}" for kind, count in outcomes)
            lines.append(
                f"stops={series.stops} {listed} refused={series.refused} "
                f"failed={series.failed} lost={series.lost} "
                f"most_pending={series.most_pending} "
                f"longest_wait={series.longest_wait_s:.2f}"
            )
        if self.stop_times_s:
            lines.append(
                f"time from SIGTERM to the end of a process: "
                f"{min(self.stop_times_s):.2f} to "
                f"{max(self.stop_times_s):.2f} s, longest iteration of the "
                f"callers {self.loop_watch.longest_s:.2f} s"
            )
        return "\n".join(lines)

"""Soak mode with one roll of many daemons beside a burst, as in issue 50.

Clients send requests on open connections until the process is gone, workers
join, and each daemon may be limited to a share of the processor time. Run
manually, also with the daemons of another checkout:

    python tests/soak_roll.py --first 1 --seeds 3 --share 0.5 --code PATH
"""

import argparse
import asyncio
import collections
import contextlib
import json
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import soak
import soak_callers
import soak_platform
import soak_stop_records
import soak_stops

# The daemons and the interval of the roll in the record of issue 50; all have
# its `grace-s`.
DAEMONS = 12
GRACE_S = 6.0
# Requests per second before the burst, and the factor of the burst. Fewer than
# in the record, since one machine bears all processes.
USUAL_RATE = 5.0
BURST_FACTOR = 8.0
# Time with the usual rate before and after the roll.
USUAL_S = 2.0
# Ended jobs in the store: few, because one process serves the store for twelve
# daemons that read them in turn.
KEPT_JOBS = 300
# Deadline of the class of requests in the record.
DEADLINE_S = 3.029
# Workers that join, and bounds of the time from the first stop to that.
JOINING_WORKERS = 14
JOIN_RANGE_S = (2.2, 5.4)
# Clients that use one daemon from before its SIGTERM until it is gone, and
# bounds of the time between their requests.
LOYAL_CLIENTS = 3
LOYAL_PAUSE_RANGE_S = (0.1, 0.4)
# Shares of submissions and of queries of pending jobs among requests; others
# query the state of a job.
SUBMIT_SHARE = 0.7
PENDING_SHARE = 0.05
# Period of the limit of processor time, and the time between two checks whose
# turn it is: a twentieth, so that shares of 0.05 are kept.
QUOTA_PERIOD_S = 0.1
QUOTA_TICK_S = 0.005
# Iterations of a busy event loop from the end of a connection until its caller
# runs: those of the transport, the reader, the request and its time limit.
WATCHED_TICKS = 5
# Least share of the processor time for which stops are judged. A daemon that
# the machine has given less until it was killed is counted on its own.
MIN_SHARE = 0.35
BUSY_LOOP = "while True: pass"


class ProcessorShare:
    """Stops each daemon's process for a part of each period.

    The periods of the daemons are shifted against each other.

    Args:
        daemons: The daemons.
        share: Share of each period in which a process may run.
    """

    def __init__(self, daemons: list, share: float):
        self.daemons = daemons
        self.share = share
        self.ended = threading.Event()
        self.suspended: dict[int, subprocess.Popen] = {}
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to limit the processes; has no effect for a share of 1."""
        if self.share < 1.0:
            self.thread.start()

    def stop(self) -> None:
        """Continues all processes."""
        self.ended.set()
        if self.thread.is_alive():
            self.thread.join()
        for process in self.suspended.values():
            process.send_signal(signal.SIGCONT)

    def _run(self) -> None:
        while not self.ended.wait(QUOTA_TICK_S):
            periods = time.monotonic() / QUOTA_PERIOD_S
            for daemon in self.daemons:
                phase = (periods + daemon.number / len(self.daemons)) % 1.0
                self._set(daemon.number, daemon.process, phase >= self.share)

    def _set(self, number: int, process, suspended: bool) -> None:
        """Suspends or continues a process, only if that is a change."""
        if suspended != (self.suspended.get(number) is process):
            process.send_signal(signal.SIGSTOP if suspended else signal.SIGCONT)
            if suspended:
                self.suspended[number] = process
            else:
                del self.suspended[number]


class RollSoak(soak_stops.StopSeries, soak.Soak):
    """One roll of all daemons beside a burst.

    Attributes:
        share: Share of the processor time for each daemon.
    """

    daemon_count = DAEMONS
    caller_count = 0
    joining_workers = JOINING_WORKERS
    repeated_share = 0.0
    reload_share = 0.0
    deadlines_s = (DEADLINE_S,)
    kept_job_count = KEPT_JOBS
    usual_rate = USUAL_RATE
    share = 1.0

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path):
        super().__init__(seed, seconds, folder)
        self.traffic_random = random.Random(f"{seed}-traffic")
        self._add_joining_workers()
        self.idle_connections: list[list[soak_callers.Connection]] = [
            [] for _ in self.daemons
        ]
        self.rate = self.usual_rate
        self.leader_stops = 0
        # Daemons and times of requests without an answer in time, from the last
        # SIGTERM of the daemon.
        self.late_requests: list[tuple[int, float]] = []
        # How long each daemon had run and waited for a processor at SIGTERM.
        self.schedules_s: dict[int, tuple[float, float]] = {}
        # The same from SIGTERM to the kill, for daemons that were killed.
        self.killed_schedules_s: dict[int, tuple[float, float]] = {}
        self.processor_share = ProcessorShare(self.daemons, self.share)

    def _choose_grace_times(self, seed: int) -> list[float]:
        del seed
        return [GRACE_S] * self.daemon_count

    def _add_joining_workers(self) -> None:
        first = len(self.simulator.workers)
        last = first + self.joining_workers
        for number in range(first, last):
            worker = soak_platform.SimulatedWorker(self.simulator, number)
            worker.is_down = True
            self.simulator.workers.append(worker)
        for place in range(
            len(self.worker_proxies), last + soak_platform.SPARE_ADDRESSES
        ):
            self.worker_proxies.append(self._proxy(8, place, 8600, place + 2))

    async def _inject_faults(self) -> None:
        """Rolls all daemons once, with a burst meanwhile."""
        self.end_s = math.inf
        self.loop_watch = soak_stop_records.LoopWatch(WATCHED_TICKS)
        self.series.append(soak_stop_records.Series())
        watch = asyncio.ensure_future(self.loop_watch.run())
        self.processor_share.start()
        traffic = asyncio.ensure_future(self._send_traffic())
        try:
            await asyncio.sleep(USUAL_S)
            self.rate = self.usual_rate * BURST_FACTOR
            await self._roll()
            self.rate = self.usual_rate
            await asyncio.sleep(USUAL_S)
        finally:
            self.end_s = time.monotonic()
            await traffic
            self.processor_share.stop()
            watch.cancel()

    async def _roll(self) -> None:
        left = list(range(self.daemon_count))
        self.random.shuffle(left)
        stops = []
        for worker in self.simulator.workers[-self.joining_workers :]:
            asyncio.get_running_loop().call_later(
                self.random.uniform(*JOIN_RANGE_S), worker._return
            )
        while left:
            leader = self._leader()
            draw = self.random.random()
            number = left[0]
            if leader in left and draw < soak_stops.LEADER_SHARE:
                number = leader
            left.remove(number)
            self.leader_stops += number == leader
            self.series[-1].stops += 1
            stops.append(asyncio.ensure_future(self._stop_daemon_once(number)))
            await asyncio.sleep(soak_stops.STOP_INTERVAL_S)
        await asyncio.gather(*stops)

    async def _stop_daemon_once(self, number: int) -> None:
        loyal = [
            asyncio.ensure_future(self._use_until_gone(number))
            for _ in range(LOYAL_CLIENTS)
        ]
        await super()._stop_daemon_once(number)
        await asyncio.gather(*loyal)

    async def _hold_connections(self, number: int):
        held = await super()._hold_connections(number)
        self.schedules_s[number] = _read_schedule_s(self.daemons[number])
        return held

    def _check_end(self, daemon, duration_s: float) -> None:
        if daemon.running:
            before_s = self.schedules_s[daemon.number]
            now_s = _read_schedule_s(daemon)
            self.killed_schedules_s[daemon.number] = tuple(
                round(now - before, 2)
                for before, now in zip(before_s, now_s, strict=True)
            )
            if self._is_starved(daemon.number):
                self.stop_times_s.append(duration_s)
                return
        super()._check_end(daemon, duration_s)

    def _is_starved(self, number: int) -> bool:
        """Returns whether a killed daemon had less than the least share."""
        ran_s, waited_s = self.killed_schedules_s.get(number, (1.0, 0.0))
        return ran_s * self.share < MIN_SHARE * (ran_s + waited_s)

    async def _use_until_gone(self, number: int) -> None:
        """Sends requests to one daemon until it accepts no connection."""
        process = self.daemons[number].process
        connection = soak_callers.Connection(self.daemons[number].front)
        generator = self.held_random
        with contextlib.suppress(OSError):
            await connection.open()
        while process.poll() is None:
            outcome = await self._send_any(number, connection, generator)
            if outcome == "connect":
                break
            await asyncio.sleep(generator.uniform(*LOYAL_PAUSE_RANGE_S))
        connection.close()

    # Traffic at a rate that does not depend on answers.

    async def _send_traffic(self) -> None:
        generator = self.traffic_random
        requests = set()
        next_s = time.monotonic()
        while time.monotonic() < self.end_s:
            next_s += generator.expovariate(self.rate)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            request = asyncio.ensure_future(self._send_arrival(generator))
            requests.add(request)
            request.add_done_callback(requests.discard)
        await asyncio.gather(*requests)
        for connections in self.idle_connections:
            for connection in connections:
                connection.close()

    async def _send_arrival(self, generator: random.Random) -> None:
        number = self._choose_daemon(generator)
        idle = self.idle_connections[number]
        connection = (
            idle.pop()
            if idle
            else soak_callers.Connection(self.daemons[number].front)
        )
        await self._send_any(number, connection, generator)
        if connection.streams is not None:
            idle.append(connection)

    async def _send_any(
        self, number: int, connection, generator: random.Random
    ) -> int | str:
        """Sends a request and returns its status, or its error."""
        connections = {number: connection}
        draw = generator.random()
        if draw < SUBMIT_SHARE or not self.accepted:
            job_id = self._new_job(generator)
            body = self._body(job_id)
            status, content = await self._send_request(
                "POST", job_id, connections, generator, body, number
            )
            self._observe_submission(job_id, status, content)
        else:
            is_pending = draw < SUBMIT_SHARE + PENDING_SHARE
            job_id = "" if is_pending else next(iter(self.accepted))
            status, content = await self._send_request(
                "GET", job_id, connections, generator, b"", number
            )
        if content.get("error") == "timeout":
            daemon = self.daemons[number]
            self.late_requests.append(
                (number, connection.sent_s - daemon.stopped_s)
            )
        return status or content["error"]

    # Checks.

    async def _wait_for_jobs(self) -> None:
        """Jobs are checked by the series of stops."""

    def _check_results(self) -> None:
        refused = set(self.specs) - self.accepted - self.unconfirmed
        for job_id in sorted(refused & set(self.oracle.start_times_s)):
            self.oracle.add("REFUSED", f"refused job {job_id} started")
        for request in self.cut_requests:
            if request.is_lost() and not self._is_starved(request.daemon):
                self.oracle.add("LOST", request.describe())

    def summarize(self) -> dict:
        """Returns the counts of one roll."""
        outcomes = collections.Counter()
        for series in self.series:
            outcomes.update(series.outcomes)
        lost = [request for request in self.cut_requests if request.is_lost()]
        rules = collections.Counter(
            violation.rule for violation in self.oracle.violations
        )
        return {
            "requests": outcomes.total(),
            "accepted": len(self.accepted),
            "lost": len(lost),
            "lost_after_sigterm_s": sorted(
                round(request.ended_s - request.stopped_s, 2)
                for request in lost
            ),
            "cut": outcomes["cut"],
            "timeout": outcomes["timeout"],
            "late": self.late_requests,
            "504": outcomes[504],
            "503": outcomes[503],
            "429": outcomes[429],
            "lost_at_starved": sum(
                self._is_starved(request.daemon) for request in lost
            ),
            "killed_ran_and_waited_s": self.killed_schedules_s,
            "stops": len(self.stop_times_s),
            "leader_stops": self.leader_stops,
            "stop_s": [
                round(min(self.stop_times_s, default=0.0), 2),
                round(max(self.stop_times_s, default=0.0), 2),
            ],
            "rules": dict(rules),
            "longest_iteration_s": round(self.loop_watch.longest_s, 2),
            "load": round(os.getloadavg()[0], 1),
        }


def _read_schedule_s(daemon) -> tuple[float, float]:
    """Returns how long a process has run, and has waited for a processor."""
    path = pathlib.Path(f"/proc/{daemon.process.pid}/schedstat")
    ran_ns, waited_ns, _ = path.read_text().split()
    return int(ran_ns) / 1e9, int(waited_ns) / 1e9


@contextlib.contextmanager
def busy_processes(count: int):
    """Keeps a number of processors busy."""
    processes = [
        subprocess.Popen([sys.executable, "-c", BUSY_LOOP])
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main() -> None:
    """Runs seeds and prints the counts of each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--busy", type=int, default=0, help="busy processes")
    parser.add_argument(
        "--code", type=pathlib.Path, help="checkout of the daemons"
    )
    parser.add_argument(
        "--folder", type=pathlib.Path, help="directory for settings and logs"
    )
    options = parser.parse_args()
    folder = (options.folder or pathlib.Path(tempfile.mkdtemp())).resolve()
    if options.code is not None:
        # Daemons import the package of their working directory first.
        os.environ["PYTHONPATH"] = str(options.code.resolve())
        os.chdir(options.code)
    RollSoak.share = options.share
    failed_count = 0
    with busy_processes(options.busy):
        for seed in range(options.first, options.first + options.seeds):
            roll = soak.run_seed(seed, 0.0, folder / f"roll-{seed}", RollSoak)
            print(json.dumps({"seed": seed} | roll.summarize()), flush=True)
            for violation in roll.oracle.violations[:12]:
                print(violation)
            failed_count += bool(roll.oracle.violations)
    sys.exit(bool(failed_count))


if __name__ == "__main__":
    main()

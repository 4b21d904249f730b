"""Soak test: real daemons under random faults, checked by an oracle.

Daemons run as separate processes on a simulated platform on loopback. Faults
are injected in sequence and may overlap. Random choices are deterministic for a
seed, but time is real. Run manually:

    python tests/soak.py --seeds 50 --first 1000 --parallel 4
"""

import argparse
import asyncio
import collections
import math
import pathlib
import random
import shutil
import sys
import tempfile
import time

import foreign_entries
import ports
import soak_callers
import soak_closing
import soak_faults
import soak_injection
import soak_oracle
import soak_platform
import soak_stops

from baobabdoor import scheduling

CALLERS = 4
# Warm-up time of the daemons after they accept connections.
STARTUP_DELAY_S = 2.5
# Maximum time until all daemons accept connections; generous, because the start
# of processes is slow on a busy machine.
LISTEN_TIMEOUT_S = 60.0
# Entries of other programs that stay in the list of workers during a run.
FOREIGN_ENTRIES = 5
# Maximum violations of one rule in the summary of a seed.
MAX_SHOWN_VIOLATIONS = 12

Connection = soak_callers.Connection


class Soak(
    soak_callers.Callers,
    soak_closing.JobRequests,
    soak_injection.FaultInjection,
    soak_oracle.Checks,
):
    """One run of the soak test.

    Args:
        seed: Seed of faults, jobs and the behaviour of workers.
        seconds: Duration of the phase with faults.
        folder: Directory for settings and logs.
    """

    daemon_count = soak_faults.DAEMONS
    caller_count = CALLERS

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path):
        super().__init__()
        self.random = random.Random(seed)
        self.seconds = seconds
        self.subnet, self.subnet_lock = ports.reserve_subnet(seed)
        self.caller_seed = 10 + seed % 200
        self.oracle = soak_oracle.Oracle(self)
        self.simulator = soak_platform.PlatformSimulator(
            seed, self.subnet, soak_platform.WORKERS, self.oracle
        )
        # Apart from `random`, so that a seed keeps its sequence of faults.
        self.foreign_random = random.Random(f"{seed}-foreign")
        self.isolation_random = random.Random(f"{seed}-isolation")
        self.cancel_random = random.Random(f"{seed}-cancel")
        self.silence_random = random.Random(f"{seed}-silences")
        self.restart_random = random.Random(f"{seed}-restarts")
        self.repeat_random = random.Random(f"{seed}-repeat")
        self.simulator.foreign_entries = self._choose_foreign_entries()
        self.daemons = [
            soak_faults.DaemonProcess(number, self.subnet, folder, grace_s)
            for number, grace_s in enumerate(self._choose_grace_times(seed))
        ]
        self.store_proxies = [
            self._proxy(9, number, soak_faults.STORE_PORT, 1)
            for number in range(self.daemon_count)
        ]
        self.worker_proxies = [
            self._proxy(8, place, 8600, place + 2)
            for place in range(
                soak_platform.WORKERS + soak_platform.SPARE_ADDRESSES
            )
        ]
        self.specs: dict[str, scheduling.JobSpec] = {}
        self.accepted: set[str] = set()
        # Times at which submissions were acknowledged.
        self.accepted_s: dict[str, float] = {}
        self.unconfirmed: set[str] = set()
        # Jobs that were cancelled before their submission was answered.
        self.overtaken: set[str] = set()
        self.cancel_times_s: dict[str, float] = {}
        self.final_states: dict[str, str] = {}
        self.responses: collections.Counter = collections.Counter()
        # Accepted jobs that were cancelled, and those of them whose cancel had
        # no answer in time.
        self.cancelled_accepted: set[str] = set()
        self.unanswered_cancels: set[str] = set()
        # Times of the first attempts of cancels that their callers repeat.
        self.repeated_cancels_s: dict[str, float] = {}
        # Cancels by callers that do not wait for them.
        self.pending_cancels: list[asyncio.Task] = []
        # End of the phase with faults.
        self.end_s = math.inf
        # Whether no further fault may begin for now.
        self.is_calm = False
        self.fault_log: list[str] = []
        self.disruptions = soak_faults.Disruptions()
        # Time of the last fault of each daemon other than a graceful stop.
        self.last_fault_s = [time.monotonic()] * self.daemon_count

    def _choose_grace_times(self, seed: int) -> list[float]:
        """Returns the time from SIGTERM to SIGKILL of each daemon."""
        del seed
        return [soak_faults.GRACE_S] * self.daemon_count

    def _choose_foreign_entries(self) -> dict[str, bytes]:
        address = self.simulator.worker_address(0)
        names = sorted(foreign_entries.ENTRIES)
        chosen = self.foreign_random.sample(names, FOREIGN_ENTRIES)
        entries = (foreign_entries.ENTRIES[name] for name in chosen)
        return {
            key: foreign_entries.at_worker(value, address)
            for key, value in entries
        }

    def _proxy(self, part: int, number: int, port: int, target: int):
        return soak_faults.Proxy(
            f"127.{self.subnet}.{part}.{number + 1}",
            port,
            f"127.{self.subnet}.7.{target}",
        )

    async def run(self) -> list:
        """Executes the run and returns the violations."""
        self.simulator.start()
        for proxy in [*self.store_proxies, *self.worker_proxies]:
            await proxy.start()
        for daemon in self.daemons:
            daemon.start()
        try:
            daemons = (
                f"daemon {number}" for number in range(self.daemon_count)
            )
            with self.disruptions.span(*daemons):
                await self._wait_until_listening()
            await asyncio.sleep(STARTUP_DELAY_S)
            self.end_s = time.monotonic() + self.seconds
            watch = asyncio.ensure_future(self._watch_cancelled_jobs())
            callers = [
                asyncio.ensure_future(self._run_caller(number))
                for number in range(self.caller_count)
            ]
            callers.append(asyncio.ensure_future(self._replace_entries()))
            callers.append(asyncio.ensure_future(self._isolate_leaders()))
            callers.append(asyncio.ensure_future(self._silence_workers()))
            callers.append(asyncio.ensure_future(self._restart_workers()))
            await self._inject_faults()
            await asyncio.gather(*callers)
            await self._wait_for_cancels()
            await self._close_day()
            await asyncio.gather(
                self._wait_for_jobs(), asyncio.sleep(soak_oracle.QUIET_S)
            )
            await self._wait_for_cancels()
            watch.cancel()
            await asyncio.wait([watch])
            if not watch.cancelled():
                watch.result()
            await self._ask_for_all_jobs()
        finally:
            self._stop()
            await asyncio.sleep(soak_oracle.EXIT_MARGIN_S)
        self._check_results()
        return self.oracle.violations

    async def _close_day(self) -> None:
        """Called after the traffic, while jobs may run."""

    async def _wait_until_listening(self) -> None:
        """Waits until all daemons accept connections."""
        end_s = time.monotonic() + LISTEN_TIMEOUT_S
        for daemon in self.daemons:
            host, _, port = daemon.front.partition(":")
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, port)
                    writer.close()
                    break
                except OSError:
                    if time.monotonic() > end_s:
                        raise
                    await asyncio.sleep(0.1)

    def _stop(self) -> None:
        for daemon in self.daemons:
            daemon.end()
        for proxy in [*self.store_proxies, *self.worker_proxies]:
            proxy.stop()
        self.simulator.stop()
        self.subnet_lock.close()


class ClosingSoak(soak_closing.ClosingFaults, Soak):
    """One run with a closing after the traffic."""


class StopSoak(soak_stops.StopSeries, Soak):
    """One run with planned stops only."""

    async def _close_day(self) -> None:
        await self._wait_until_in_touch()
        await self._ask_for_all_jobs()


def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    kind: type[Soak] = ClosingSoak,
) -> Soak:
    """Executes the run of a seed."""
    folder.mkdir(parents=True, exist_ok=True)

    async def scenario():
        soak = kind(seed, seconds, folder)
        await soak.run()
        return soak

    return asyncio.run(scenario())


def report(seed: int, soak: Soak) -> str:
    """Returns a summary line, with the faults if there are violations."""
    violations = soak.oracle.violations
    line = (
        f"seed={seed} jobs={len(soak.specs)} accepted={len(soak.accepted)} "
        f"ended={len(soak.final_states)} starts={soak.oracle.starts} "
        f"resumed={soak.oracle.resumed_starts} "
        f"overtaken={len(soak.overtaken)} "
        f"cancelled={len(soak.cancelled_accepted)} "
        f"unanswered={len(soak.unanswered_cancels)} "
        f"carried_over={soak.simulator.carried_over.total()} "
        f"misdirected={soak.simulator.misdirected} "
        f"faults={len(soak.fault_log)} "
        f"asked={soak.end_responses.total()} "
        f"without_state={soak.end_responses.total() - soak.end_responses[200]} "
        f"longest_iteration={soak.asking_watch.longest_s:.2f} "
        f"broken={len(violations)}"
    )
    if isinstance(soak, ClosingSoak):
        line += f" closing={soak.closing.describe()}"
    rules = collections.Counter(violation.rule for violation in violations)
    shown = collections.Counter()
    for violation in violations:
        shown[violation.rule] += 1
        if shown[violation.rule] <= MAX_SHOWN_VIOLATIONS:
            line += f"\n{violation}"
    if isinstance(soak, StopSoak):
        line += f"\n{soak.describe_series()}"
    if violations:
        line += "\n" + "\n".join([f"{dict(rules)}", *soak.fault_log])
    return line


async def _run_seeds(
    seeds, seconds: float, parallel: int, folder, options: list[str]
) -> int:
    semaphore = asyncio.Semaphore(parallel)
    failed_count = 0

    async def run_process(seed: int) -> None:
        nonlocal failed_count
        async with semaphore:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, __file__, "--one", str(seed)),
                *("--seconds", str(seconds), "--folder", str(folder)),
                *options,
            )
            # Added after the wait, because other processes change the counter
            # meanwhile.
            failed = bool(await process.wait())
            failed_count += failed

    await asyncio.gather(*(run_process(seed) for seed in seeds))
    return failed_count


def main() -> None:
    """Runs seeds and prints a summary line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--one", type=int, help="run only this seed")
    parser.add_argument(
        "--stops", action="store_true", help="planned stops only"
    )
    parser.add_argument(
        "--folder", type=pathlib.Path, help="directory for settings and logs"
    )
    options = parser.parse_args()
    folder = options.folder or pathlib.Path(tempfile.mkdtemp())
    if options.one is None:
        seeds = range(options.first, options.first + options.seeds)
        failed_count = asyncio.run(
            _run_seeds(
                seeds,
                options.seconds,
                options.parallel,
                folder,
                ["--stops"] if options.stops else [],
            )
        )
        print(f"{options.seeds} seeds, {failed_count} with a broken rule")
        sys.exit(bool(failed_count))
    seed_folder = folder / f"seed-{options.one}"
    kind = StopSoak if options.stops else ClosingSoak
    soak = run_seed(options.one, options.seconds, seed_folder, kind)
    print(report(options.one, soak), flush=True)
    if not soak.oracle.violations:
        shutil.rmtree(seed_folder)
    sys.exit(bool(soak.oracle.violations))


if __name__ == "__main__":
    main()

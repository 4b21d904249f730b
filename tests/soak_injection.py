"""Injection of random faults in soak tests."""

import asyncio
import json
import math
import signal
import time

import foreign_entries
import soak_faults
import soak_oracle
import soak_platform

from baobabdoor import platform

# Runs of this duration have a span without faults in their middle, so that
# tasks of cancelled jobs are also checked while callers submit and cancel jobs.
MIN_CALM_RUN_S = 15.0
CALM_SPAN_S = soak_oracle.QUIET_S + 1.0
# Bounds of the time between two isolations of the leader, and of their
# duration, which is longer than an election.
ISOLATION_PAUSE_RANGE_S = (4.0, 12.0)
ISOLATION_RANGE_S = (3.0, 6.0)
# Bounds of the time between two entries of another program that replace that
# of a worker until its next heartbeat.
REPLACEMENT_RANGE_S = (0.5, 3.0)
# Bounds of the time between two silences of a worker towards one daemon, and of
# their duration, which may be longer than the longest lease.
SILENCE_PAUSE_RANGE_S = (0.5, 3.0)
SILENCE_RANGE_S = (4.0, 8.0)
# Shares of silences that begin after the restart of the worker, and with the
# first answer to the next leader.
RESTART_SHARE = 0.6
TAKEOVER_SHARE = 0.6
# Share of the runs on the worker that take longer than a lease. Others have
# ended before a leader takes the lease for ended.
SILENT_LONG_RUN_SHARE = 0.5
# Time in which the next leader has to call the worker.
TAKEOVER_TIMEOUT_S = 5.0
# Bounds of the time before, in which tasks start on the worker. After a restart
# their lease is that of an order of the life before, and has to go on.
BEFORE_SILENCE_RANGE_S = (0.4, 1.5)
# Bounds of the time between two further restarts while holds wait, and the
# share of restarts at another address.
RESTART_PAUSE_RANGE_S = (2.0, 6.0)
MOVE_SHARE = 0.4


class FaultInjection:
    """Part of `soak.Soak`, which holds the state: the faults it injects."""

    async def _inject_faults(self) -> None:
        """Injects random faults in sequence, some of which overlap."""
        running: list[asyncio.Task] = []
        middle_s = self.end_s - self.seconds / 2
        if self.seconds < MIN_CALM_RUN_S:
            middle_s = math.inf
        while (left_s := self.end_s - time.monotonic()) > 0:
            if time.monotonic() > middle_s:
                middle_s = math.inf
                await self._keep_calm()
                continue
            fault = self.random.choice(
                (
                    self._fault_store,
                    self._fault_store,
                    self._fault_store_connection,
                    self._fault_worker_connection,
                    self._fault_worker_connection,
                    self._suspend_daemon,
                    self._kill_daemon,
                    self._stop_daemon,
                    self._restart_worker,
                    self._crash_workers,
                    self._change_capacities,
                    self._delay_orders,
                    self._truncate_history,
                    self._update_configuration,
                )
            )
            duration_s = min(left_s, self.random.uniform(0.4, 4.0))
            running.append(asyncio.ensure_future(fault(duration_s)))
            pause_s = self.random.choice(
                (0.1, 1.0, duration_s, duration_s + 2.0)
            )
            await asyncio.sleep(min(left_s, pause_s))
        await asyncio.gather(*running)

    async def _keep_calm(self) -> None:
        """Lets all disruptions end, and begins none for some time."""
        began_s = time.monotonic()
        self.is_calm = True
        while self.disruptions.calm_since_s() == math.inf:
            await asyncio.sleep(soak_oracle.QUIET_CHECK_INTERVAL_S)
        self.fault_log.append(f"no faults for {CALM_SPAN_S:.1f} s")
        await asyncio.sleep(CALM_SPAN_S)
        self.is_calm = False
        self.end_s += time.monotonic() - began_s

    async def _replace_entries(self) -> None:
        """Writes entries of another program under identifiers of workers."""
        values = list(foreign_entries.REPLACED.values())
        while time.monotonic() < self.end_s:
            pause_s = self.foreign_random.uniform(*REPLACEMENT_RANGE_S)
            await asyncio.sleep(pause_s)
            worker = self.foreign_random.choice(self.simulator.workers)
            value = self.foreign_random.choice(values)
            if worker.is_down:
                continue
            self.simulator.store.write_bytes(
                platform.WORKERS_TABLE,
                worker.model.record.worker_id,
                foreign_entries.at_worker(value, worker.model.record.address),
            )
            self.fault_log.append(f"entry of worker {worker.number} replaced")

    async def _isolate_leaders(self) -> None:
        """Cuts leaders off from all but their callers, one after the other."""
        while True:
            pause_s = self.isolation_random.uniform(*ISOLATION_PAUSE_RANGE_S)
            duration_s = self.isolation_random.uniform(*ISOLATION_RANGE_S)
            if time.monotonic() + pause_s + duration_s > self.end_s:
                return
            await asyncio.sleep(pause_s)
            await self._wait_while_calm()
            number = self._leader()
            if number is None:
                continue
            with self.disruptions.span(f"daemon {number}"):
                proxy = self.store_proxies[number]
                self._log_fault(
                    f"leader {number} isolated for {duration_s:.1f} s"
                )
                proxy.set_mode("silent")
                self.simulator.cut_token = self.simulator.store.version
                await asyncio.sleep(duration_s)
                self.simulator.cut_token = 0
                proxy.set_mode("reset")
                proxy.set_mode("pass")
                self._log_fault(f"daemon {number} reaches all again")

    async def _restart_workers(self) -> None:
        """Restarts workers under their ids while holds wait there."""
        generator = self.restart_random
        while True:
            await self._wait_while_calm()
            pause_s = generator.uniform(*RESTART_PAUSE_RANGE_S)
            if time.monotonic() + pause_s > self.end_s:
                return
            await asyncio.sleep(pause_s)
            await self._wait_while_calm()
            worker = generator.choice(self.simulator.workers)
            self._restart_in_hold(worker, generator)

    async def _silence_workers(self) -> None:
        """Cuts single workers off from single daemons, one after the other.

        Some have restarted shortly before, and some answer a new leader once.
        """
        generator = self.silence_random
        while True:
            await self._wait_while_calm()
            pause_s = generator.uniform(*SILENCE_PAUSE_RANGE_S)
            duration_s = generator.uniform(*SILENCE_RANGE_S)
            restarts = generator.random() < RESTART_SHARE
            changes_leader = generator.random() < TAKEOVER_SHARE
            worker = generator.choice(self.simulator.workers)
            mode = generator.choice(("requests", "requests", "responses"))
            delay_s = generator.uniform(*BEFORE_SILENCE_RANGE_S)
            if time.monotonic() + pause_s + duration_s > self.end_s:
                return
            await asyncio.sleep(pause_s)
            await self._wait_while_calm()
            with self.disruptions.span("workers"):
                worker.long_run_share = SILENT_LONG_RUN_SHARE
                if restarts:
                    self._restart_in_hold(worker, generator)
                await asyncio.sleep(delay_s)
                if changes_leader:
                    await self._change_leader(worker, mode, duration_s)
                elif (number := self._leader()) is not None:
                    await self._silence(worker, number, mode, duration_s)
                worker.long_run_share = soak_platform.LONG_RUN_SHARE

    async def _wait_while_calm(self) -> None:
        while self.is_calm:
            await asyncio.sleep(soak_oracle.QUIET_CHECK_INTERVAL_S)

    def _restart_in_hold(self, worker, generator) -> None:
        """Restarts a worker under its id while a hold may wait there.

        Its connections stay open, so that orders that are under way reach the
        next life, unless they are held up: an order that arrives after its
        sender gave up could start a task in a life that no leader has reached.
        If the worker moves, another one restarts at its address.
        """
        moves = generator.random() < MOVE_SHARE
        previous = worker.place
        place = generator.choice(self.simulator.free_places())
        other = generator.choice(self.simulator.workers)
        if worker.is_down:
            return
        name = worker.model.record.worker_id
        proxy = self.worker_proxies[previous]
        if proxy.mode == "silent":
            proxy.abort()
        with self.disruptions.span("workers"):
            worker.start(name, place if moves else None)
            self._log_fault(
                f"worker {name} restarted in a hold, "
                f"at address {worker.place} after {previous}"
            )
            if moves and other is not worker and not other.is_down:
                other_name = other.model.record.worker_id
                other.start(other_name, previous)
                self._log_fault(f"worker {other_name} moved to {previous}")

    async def _silence(
        self, worker, daemon: int, mode: str, duration_s: float
    ) -> None:
        """Cuts a worker off from one daemon."""
        key = (worker.number, daemon)
        with self.disruptions.span(f"daemon {daemon}"):
            self.simulator.silences[key] = mode
            self._log_fault(
                f"worker {worker.number} silent towards daemon {daemon} "
                f"({mode}) for {duration_s:.1f} s"
            )
            await asyncio.sleep(duration_s)
            del self.simulator.silences[key]
            self._log_fault(f"worker {worker.number} answers daemon {daemon}")

    async def _change_leader(
        self, worker, mode: str, duration_s: float, kills: bool = False
    ) -> None:
        """Ends the leader; a worker answers the next one only once.

        Args:
            worker: The worker.
            mode: How the worker is silent, as in `silences`.
            duration_s: How long it is silent.
            kills: Whether the leader is killed instead of stopped.
        """
        previous = self._leader()
        if previous is None:
            return
        answered = asyncio.get_running_loop().create_future()

        def observe(daemon: int) -> None:
            if daemon != previous and not answered.done():
                answered.set_result(daemon)

        self.simulator.awaited_answers[worker.number] = observe
        with self.disruptions.span(f"daemon {previous}"):
            self._log_fault(
                f"leader {previous} {'killed' if kills else 'stopped'}",
                previous,
            )
            self.daemons[previous].send(
                signal.SIGKILL if kills else signal.SIGTERM
            )
            # The daemon stays away until then, so that another one leads.
            await asyncio.wait([answered], timeout=TAKEOVER_TIMEOUT_S)
            del self.simulator.awaited_answers[worker.number]
            restart = asyncio.ensure_future(
                self.daemons[previous].restart(soak_faults.GRACE_S)
            )
            if answered.done():
                daemon = answered.result()
                await self._silence(worker, daemon, mode, duration_s)
            await restart

    def _leader(self) -> int | None:
        """Returns the number of the daemon that the store names as leader."""
        row = self.simulator.store.get("tenure", "holder", "fleet")
        if not row.version:
            return None
        return int(json.loads(row.value)["node"].rpartition("-")[2])

    def _log_fault(self, text: str, daemon: int | None = None) -> None:
        self.fault_log.append(
            f"{time.monotonic() - self.simulator.start_time_s:.2f} {text}"
        )
        now_s = time.monotonic()
        for number in (
            range(len(self.daemons)) if daemon is None else (daemon,)
        ):
            self.last_fault_s[number] = now_s

    async def _fault_store(self, duration_s: float) -> None:
        kind = self.random.choice(("down", "lost", "slow"))
        with self.disruptions.span("store"):
            self._log_fault(f"store {kind} for {duration_s:.1f} s")
            self.simulator.store_fault = kind
            await asyncio.sleep(duration_s)
            self.simulator.store_fault = ""
            self._log_fault("store recovered")

    async def _fault_proxy(self, proxy, name: str, duration_s: float) -> None:
        mode = self.random.choice(("reset", "silent", "one-way", "delay"))
        self._log_fault(f"{name} {mode} for {duration_s:.1f} s")
        proxy.set_mode(mode)
        await asyncio.sleep(duration_s)
        proxy.set_mode("pass")
        self._log_fault(f"{name} recovered")

    async def _fault_store_connection(self, duration_s: float) -> None:
        number = self.random.randrange(len(self.daemons))
        name = f"daemon {number} to store"
        with self.disruptions.span(f"daemon {number}"):
            await self._fault_proxy(
                self.store_proxies[number], name, duration_s
            )

    async def _fault_worker_connection(self, duration_s: float) -> None:
        place = self.random.randrange(soak_platform.WORKERS)
        with self.disruptions.span(f"connections of address {place}"):
            await self._fault_proxy(
                self.worker_proxies[place], f"address {place}", duration_s
            )

    async def _suspend_daemon(self, duration_s: float) -> None:
        number = self.random.randrange(len(self.daemons))
        with self.disruptions.span(f"daemon {number}"):
            self._log_fault(f"daemon {number} suspended for {duration_s:.1f} s")
            self.daemons[number].send(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self.daemons[number].send(signal.SIGCONT)
            self._log_fault(f"daemon {number} resumed")

    async def _kill_daemon(self, duration_s: float) -> None:
        number = self.random.randrange(len(self.daemons))
        with self.disruptions.span(f"daemon {number}"):
            self._log_fault(f"daemon {number} killed")
            self.daemons[number].send(signal.SIGKILL)
            await asyncio.sleep(min(1.0, duration_s))
            await self.daemons[number].restart(0.0)

    async def _stop_daemon(self, duration_s: float) -> None:
        del duration_s
        number = self.random.randrange(len(self.daemons))
        with self.disruptions.span(f"daemon {number}", planned=True):
            self.fault_log.append(f"daemon {number} stopped gracefully")
            self.daemons[number].send(signal.SIGTERM)
            await self.daemons[number].restart(soak_faults.GRACE_S)

    async def _restart_worker(self, duration_s: float) -> None:
        worker = self.random.choice(self.simulator.workers)
        if worker.is_down:
            return
        keeps_id = self.random.random() < 0.5
        name = worker.model.record.worker_id
        self._log_fault(f"worker {name} restarted, same id: {keeps_id}")
        with self.disruptions.span(f"connections of address {worker.place}"):
            proxy = self.worker_proxies[worker.place]
            proxy.set_mode("reset")
            worker.start(
                name
                if keeps_id
                else f"w{worker.number}-{worker.incarnation + 1}"
            )
            await asyncio.sleep(min(1.0, duration_s))
            proxy.set_mode("pass")

    async def _crash_workers(self, duration_s: float) -> None:
        crashing = self.random.sample(
            self.simulator.workers, self.random.randint(1, 2)
        )
        for worker in crashing:
            self._log_fault(f"worker {worker.model.record.worker_id} crashed")
            worker.crash(duration_s)
        with self.disruptions.span("workers"):
            await asyncio.sleep(duration_s)

    async def _change_capacities(self, duration_s: float) -> None:
        del duration_s
        for worker in self.simulator.workers:
            cpu_milli = self.random.choice(soak_platform.CAPACITIES_MILLI)
            self._log_fault(f"capacity of worker {worker.number}: {cpu_milli}")
            with self.disruptions.span("workers"):
                worker.change_capacity(cpu_milli)

    async def _delay_orders(self, duration_s: float) -> None:
        with self.disruptions.span("workers"):
            self._log_fault(f"delayed orders for {duration_s:.1f} s")
            self.simulator.delayed_order_rate = 0.15
            await asyncio.sleep(duration_s)
            self.simulator.delayed_order_rate = 0.0

    async def _truncate_history(self, duration_s: float) -> None:
        del duration_s
        self._log_fault("feed history truncated")
        with self.disruptions.span("store"):
            self.simulator.store.history_start = self.simulator.store.version

    async def _update_configuration(self, duration_s: float) -> None:
        del duration_s
        self.fault_log.append("configuration updated")
        self.simulator.write_configuration()

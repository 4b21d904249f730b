"""Simulated users' platform on loopback for soak tests.

Serves the store, workers and machines over HTTP according to the published
protocol. State is kept by the models in `standin`. Faults are attributes that
the soak test sets.
"""

import asyncio
import base64
import collections
from collections.abc import Callable
import functools
import json
import random
import time

import attrs
import soak_store
from tornado import httpserver
from tornado import netutil
from tornado import web

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

POOL = "results"
QUEUE = "race"
HOST = "race.example"
PREFIX = "/race/"
WORKERS = 5
# Addresses beyond one for each worker, so that a worker can move, and one that
# returns always finds a free address.
SPARE_ADDRESSES = 2
MAX_ATTEMPTS = 3
CPU_MILLI = 4000
# Capacities to which a worker may shrink or grow while it runs.
CAPACITIES_MILLI = (1200, 2500, CPU_MILLI)
HEARTBEAT_INTERVAL_S = 0.5
# Time that the platform allows to notice a change, in addition to a heartbeat.
CONTACT_S = 3.0
# Time after which a worker drops a call of a leader that is cut off from it:
# longer than any timeout of the leader.
CUT_RESPONSE_DELAY_S = 3.0
# Time for which the sender of an order other than a hold waits at least.
SENDER_WAIT_S = 0.3
# Share of runs that take longer than a lease, and bounds of their duration.
LONG_RUN_SHARE = 0.03
LONG_RUN_RANGE_S = (5.0, 9.0)
# Duration of the work of tasks with checkpoints, the work between two
# checkpoints, and the time to restore one.
CHECKPOINTED_WORK_RANGE_S = (0.3, 2.5)
CHECKPOINT_INTERVAL_S = 0.25
RESTORE_S = 0.1
# Time from the start of a task to the crash of its worker.
CRASH_DELAY_S = 0.02
POLL_INTERVAL_S = 0.01
REFUSAL_REASONS = {
    scheduling.OrderOutcome.FENCED: "fence",
    scheduling.OrderOutcome.OUTDATED_RUN: "old",
    scheduling.OrderOutcome.EXPIRED: "late",
}


class SimulatedWorker:
    """A worker with successive incarnations, each at one address.

    Attributes:
        place: Number of the address of its current or last incarnation.
        long_run_share: Share of its runs that take longer than a lease.
    """

    def __init__(self, simulator: "PlatformSimulator", number: int):
        self.simulator = simulator
        self.number = number
        self.place = number
        self.long_run_share = LONG_RUN_SHARE
        self.incarnation = 0
        self.model: _worker_model.ModelWorker | None = None
        self.is_down = False
        # Earlier capacities of this incarnation, each with the time of its end.
        self.past_capacities: list[tuple[float, int]] = []
        self.start(f"w{number}-1")

    def start(self, worker_id: str, place: int | None = None) -> None:
        """Starts a new incarnation, which has no runs of the previous one.

        Args:
            worker_id: Its identifier.
            place: Number of its address; by default that of the previous one.
        """
        now_s = time.monotonic()
        self._end_runs()
        if place is not None:
            self.place = place
        self.incarnation += 1
        self.is_down = False
        self.past_capacities = []
        record = scheduling.WorkerRecord(
            worker_id=worker_id,
            address=self.simulator.worker_address(self.place),
            pool=POOL,
            zone="z",
            machine=f"m{self.number}",
            draining=False,
            start_time_ms=int(time.time() * 1000),
            cpu_milli=CPU_MILLI,
            memory_mb=8000,
            gpus=0,
            labels=frozenset(),
        )
        self.model = _worker_model.ModelWorker(
            record,
            now_s,
            self.simulator.random.uniform(0.98, 1.0),
            functools.partial(self.simulator.make_run, self),
            self.simulator.oracle,
            checkpoints=self.simulator.checkpoints,
        )

    def _end_runs(self) -> None:
        if self.model is not None and not self.is_down:
            self.simulator.oracle.on_crash(self.model)

    def crash(self, down_s: float) -> None:
        """Ends the incarnation; the next one has another identifier."""
        if self.is_down:
            return
        self._end_runs()
        self.is_down = True
        asyncio.get_running_loop().call_later(down_s, self._return)

    def _return(self) -> None:
        if self.is_down:
            occupied = self.simulator.worker_at(self.place) is not None
            self.start(
                f"w{self.number}-{self.incarnation + 1}",
                self.simulator.free_places()[0] if occupied else None,
            )

    def change_capacity(self, cpu_milli: int) -> None:
        """Changes the capacity; the next heartbeat shows it."""
        previous_milli = self.model.record.cpu_milli
        self.past_capacities.append((time.monotonic(), previous_milli))
        self.model.record = attrs.evolve(self.model.record, cpu_milli=cpu_milli)

    def noticed_capacity_milli(self, now_s: float) -> int:
        """Returns the capacity that starts at a time have to respect."""
        limit_s = now_s - HEARTBEAT_INTERVAL_S - CONTACT_S
        recent = [
            cpu_milli
            for end_s, cpu_milli in self.past_capacities
            if end_s > limit_s
        ]
        return max([self.model.record.cpu_milli, *recent])

    def runs_model(self, model) -> bool:
        """Returns whether an incarnation is the current one and is up."""
        return self.model is model and not self.is_down

    def succeeds(self, model) -> bool:
        """Returns whether the current incarnation gets the orders of another.

        Orders name an incarnation by its identifier alone.
        """
        record = self.model.record
        return (
            not self.is_down
            and record.worker_id == model.record.worker_id
            and record.address == model.record.address
        )

    def apply(
        self, call: str, body: dict, received_s: float, delayed: bool = False
    ):
        """Applies an order that was received at a time, maybe earlier."""
        model = self.model
        self.simulator.order_received_s = received_s
        self.simulator.order_delayed = delayed
        now_s = time.monotonic()
        for other in self.simulator.models.values():
            other.advance(now_s)
        common = {
            "worker_id": model.record.worker_id,
            "address": model.record.address,
            "token": body["fencing-token"],
        }
        if call == "hold":
            order = scheduling.HoldOrder(
                **common,
                last_seen=body["last-seen"],
                until_ms=body.get("until-ms", 0),
                wait_ms=0,
            )
            return model.hold(order, now_s)
        common |= {"task": body["task"], "run_id": body["run-id"]}
        if call == "run-stop":
            return model.stop(scheduling.StopOrder(**common), now_s)
        order = scheduling.StartOrder(
            **common,
            payload=body["spec"],
            until_ms=body["until-ms"],
            checkpoint=body.get("checkpoint", ""),
            ticket="",
        )
        self.simulator.oracle.check_start_order(order, now_s)
        result = model.start(order, now_s)
        if order.task in self.simulator.crashing_tasks & model.runs.keys():
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self._crash_model, model
            )
        return result

    def _crash_model(self, model) -> None:
        if self.runs_model(model):
            self.crash(self.simulator.random.uniform(0.5, 4.0))

    def write_heartbeat(self, sequence: int) -> None:
        """Writes the worker's entry in the list of workers."""
        if self.is_down:
            return
        record = self.model.record
        self.simulator.store.write(
            platform.WORKERS_TABLE,
            record.worker_id,
            {
                "service": record.pool,
                "address": record.address,
                "zone": record.zone,
                "machine": record.machine,
                "state": "ready",
                "born": record.start_time_ms,
                "capacity": {"cpu": record.cpu_milli, "mem-mb": 8000},
                "labels": [],
                "seq": sequence,
            },
        )


class PlatformSimulator:
    """Store, workers and machines with fault injection.

    Attributes:
        store_fault: Active fault of the store: `down`, `lost`, `slow`,
            `read-only`, in which it refuses transactions, or empty.
        store_latency_s: Time that the store takes for each call.
        delayed_order_rate: Fraction of orders that are applied late and get no
            response.
        cut_token: Orders with a token up to this get no response, because
            their sender is cut off from the workers.
        silences: How workers are cut off from single daemons, by the numbers of
            both: `requests` also keeps orders from the worker, `responses` only
            its responses from the daemon.
        awaited_answers: Called with the number of the daemon when a worker, by
            its number, has answered a hold.
        carried_over: Orders that a life of a worker received and the next one
            under its identifier carried out, by call.
        misdirected: Orders that reached a worker at the former address of
            another one.
    """

    def __init__(self, seed: int, subnet: int, workers: int, oracle):
        self.random = random.Random(seed)
        # Apart from `random`, so that a seed keeps its sequence of faults.
        self.duration_random = random.Random(f"{seed}-durations")
        self.checkpoint_random = random.Random(f"{seed}-checkpoints")
        self.checkpoints = _worker_model.Checkpoints()
        self.subnet = subnet
        self.oracle = oracle
        self.store = soak_store.Store()
        self.store_fault = ""
        self.store_latency_s = 0.0
        self.delayed_order_rate = 0.0
        self.cut_token = 0
        self.silences: dict[tuple[int, int], str] = {}
        self.awaited_answers: dict[int, Callable[[int], None]] = {}
        self.carried_over: collections.Counter = collections.Counter()
        self.misdirected = 0
        self.start_time_s = time.monotonic()
        self.tasks: list[asyncio.Task] = []
        self.servers: list[httpserver.HTTPServer] = []
        # Tasks that crash the workers that start them.
        self.crashing_tasks: set[str] = set()
        # Entries of another program in the list of workers, by their key.
        self.foreign_entries: dict[str, bytes] = {}
        # Entries that describe no machine in the list of machines, as JSON.
        self.foreign_machines: list[str] = []
        # Time at which the order that is being applied was received, and
        # whether its worker carries it out late.
        self.order_received_s = 0.0
        self.order_delayed = False
        # Source address of each transaction, by the version that it made.
        self.transaction_sources: dict[int, str] = {}
        self.workers = [SimulatedWorker(self, n) for n in range(workers)]
        self.version = 1

    @property
    def models(self) -> dict[str, _worker_model.ModelWorker]:
        """Models of the current workers by identifier."""
        return {
            worker.model.record.worker_id: worker.model
            for worker in self.workers
            if not worker.is_down
        }

    def worker_address(self, place: int) -> str:
        """Returns the address of a worker's proxy."""
        return f"127.{self.subnet}.8.{place + 1}:8600"

    def worker_at(self, place: int) -> SimulatedWorker | None:
        """Returns the worker at the address with a number; `None` if none."""
        for worker in self.workers:
            if worker.place == place and not worker.is_down:
                return worker
        return None

    def free_places(self) -> list[int]:
        """Returns the numbers of the addresses without a worker."""
        places = range(len(self.workers) + SPARE_ADDRESSES)
        return [place for place in places if self.worker_at(place) is None]

    def silence(self, worker: SimulatedWorker, token: int) -> str:
        """Returns how a worker is cut off from the sender of a token."""
        sender = self.oracle.system.find_sender(token)
        return self.silences.get((worker.number, sender), "")

    def make_run(
        self, worker: SimulatedWorker, order, now_s: float
    ) -> _worker_model.ModelRun:
        """Creates a run with random duration and outcome."""
        duration_s = self.random.uniform(0.1, 1.2)
        if self.duration_random.random() < worker.long_run_share:
            duration_s = self.duration_random.uniform(*LONG_RUN_RANGE_S)
        run = _worker_model.ModelRun(
            order.task,
            order.run_id,
            now_s,
            duration_s,
            self.random.random() < 0.1,
        )
        step = self.oracle.system.find_step(order.task)
        if step is not None and step.checkpointing:
            self._resume(run, order.checkpoint)
        return run

    def _resume(self, run: _worker_model.ModelRun, checkpoint: str) -> None:
        """Gives a run checkpoints, and the work that is left after one."""
        run.checkpoint_interval_s = CHECKPOINT_INTERVAL_S
        if run.duration_s < LONG_RUN_RANGE_S[0]:
            run.duration_s = self.checkpoint_random.uniform(
                *CHECKPOINTED_WORK_RANGE_S
            )
        self.checkpoints.resume(run, checkpoint, RESTORE_S)
        left_s = max(0.0, run.duration_s - run.resumed_work_s)
        run.duration_s = run.restore_s + left_s

    def start(self) -> None:
        """Starts all servers and the heartbeats of workers."""
        self.write_configuration()
        routes = [
            (r"/api/rows-tx", TransactionHandler, {"simulator": self}),
            (r"/api/rows-get", ReadHandler, {"simulator": self}),
            (r"/api/rows-feed", FeedHandler, {"simulator": self}),
            (r"/api/machines", MachinesHandler, {"simulator": self}),
        ]
        self._listen(f"127.{self.subnet}.7.1", web.Application(routes))
        for place in range(len(self.workers) + SPARE_ADDRESSES):
            arguments = {"simulator": self, "place": place}
            route = (r"/api/(.*)", WorkerHandler, arguments)
            address = f"127.{self.subnet}.7.{place + 2}"
            self._listen(address, web.Application([route]))
        self.tasks.append(asyncio.ensure_future(self._write_heartbeats()))

    def _listen(self, host: str, application: web.Application) -> None:
        application.settings["log_function"] = lambda handler: None
        server = httpserver.HTTPServer(application)
        server.add_sockets(netutil.bind_sockets(8700, host))
        self.servers.append(server)

    def stop(self) -> None:
        """Stops all servers and heartbeats."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()

    def write_configuration(self) -> None:
        """Writes a new version of the configuration."""
        self.version += 1
        route = {
            "name": QUEUE,
            "host": HOST,
            "path-prefix": PREFIX,
            "service": POOL,
            "max-attempts": MAX_ATTEMPTS,
            "stretch": 4,
            "target-latency-ms": 4000,
        }
        content = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": POOL}],
            "limits": {},
        }
        self.store.write(
            platform.CONFIGURATION_TABLE, platform.CONFIGURATION_KEY, content
        )

    async def _write_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            listed = set(self.models) | set(self.foreign_entries)
            for key in list(self.store.rows):
                if key[0] == platform.WORKERS_TABLE and key[2] not in listed:
                    self.store.remove(*key[::2])
            for worker in self.workers:
                worker.write_heartbeat(sequence)
            for key, value in self.foreign_entries.items():
                self.store.write_bytes(platform.WORKERS_TABLE, key, value)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def now_ms(self) -> int:
        """Returns the time of the store's monotonic clock."""
        return int((time.monotonic() - self.start_time_s) * 1000) + 1000


class _Handler(web.RequestHandler):

    def initialize(self, simulator: PlatformSimulator):
        self.simulator = simulator

    async def prepare(self):
        fault = self.simulator.store_fault
        if fault == "down":
            raise web.HTTPError(503)
        if fault == "slow":
            await asyncio.sleep(0.25)
        if self.simulator.store_latency_s:
            await asyncio.sleep(self.simulator.store_latency_s)

    def write_error(self, status_code, **details):
        del details
        self.finish({"status": status_code})

    def respond(self, rows, status=200, **fields):
        self.set_status(status)
        listed = [
            {
                "table": row.table,
                "part": row.part,
                "key": row.key,
                "value": base64.b64encode(row.value).decode(),
                "ver": row.version,
                **({"deleted": True} if row.removed else {}),
            }
            for row in rows
        ]
        store_state = {
            "ver": self.simulator.store.version,
            "now-ms": self.simulator.now_ms(),
        }
        self.finish({"rows": listed} | store_state | fields)


class TransactionHandler(_Handler):
    """Applies transactions."""

    async def post(self):
        if self.simulator.store_fault == "read-only":
            raise web.HTTPError(503)
        body = json.loads(self.request.body)
        tables = {entry["table"] for entry in body["puts"] + body["remove"]}
        if tables & {platform.CONFIGURATION_TABLE, platform.WORKERS_TABLE}:
            raise web.HTTPError(403)
        response_lost = self.simulator.store_fault == "lost"
        response_lost = response_lost and self.simulator.random.random() < 0.4
        if response_lost and self.simulator.random.random() < 0.3:
            delay_s = self.simulator.random.uniform(0.5, 4.0)
            asyncio.get_running_loop().call_later(delay_s, self._apply, body)
        else:
            result = self._apply(body)
        if response_lost:
            self.request.connection.stream.close()
        elif isinstance(result, platform.Commit):
            self.respond([])
        else:
            self.respond(result.rows, 412)

    def _apply(self, body: dict):
        result = self.simulator.store._apply(
            [_row(entry) for entry in body["puts"]],
            [_row(entry) for entry in body["remove"]],
            [_row(entry) for entry in body["expected-rev"]],
        )
        if isinstance(result, platform.Commit):
            sources = self.simulator.transaction_sources
            sources[result.version] = self.request.remote_ip
        return result


def _row(entry: dict) -> platform.StoredRow:
    return platform.StoredRow(
        entry["table"],
        entry.get("part", ""),
        entry["key"],
        base64.b64decode(entry.get("value", "")),
        entry.get("ver", 0),
    )


class ReadHandler(_Handler):
    """Reads rows of a part."""

    async def get(self):
        result = await self.simulator.store.read(
            self.get_argument("table"),
            self.get_argument("part", ""),
            self.get_argument("from", "", strip=False),
            limit=int(self.get_argument("limit", "500")),
        )
        self.respond(result.rows, **{"has-more": result.more})


class FeedHandler(_Handler):
    """Waits for changes of a table."""

    async def get(self):
        store = self.simulator.store
        table, after = self.get_argument("table"), int(
            self.get_argument("after")
        )
        end_s = time.monotonic() + int(self.get_argument("wait-ms")) / 1000
        if after < store.history_start:
            raise web.HTTPError(410)
        while not store.changes(table, after) and time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.respond(store.changes(table, after))


class MachinesHandler(_Handler):
    """Lists the machines."""

    async def get(self):
        machines = [
            {
                "machine": f"m{worker.number}",
                "pool": POOL,
                "state": "down" if worker.is_down else "up",
                "zone": "z",
                "id": ("" if worker.is_down else worker.model.record.worker_id),
            }
            for worker in self.simulator.workers
        ]
        entries = [json.dumps(machine) for machine in machines]
        entries += self.simulator.foreign_machines
        self.set_header("Content-Type", "application/json")
        self.finish(f'{{"machines": [{", ".join(entries)}]}}')


class WorkerHandler(web.RequestHandler):
    """Applies orders to the worker at one address."""

    def initialize(self, simulator: PlatformSimulator, place: int):
        self.simulator = simulator
        self.place = place

    async def post(self, call: str):
        body = json.loads(self.request.body)
        received_s = time.monotonic()
        worker = self.simulator.worker_at(self.place)
        if worker is None:
            self.request.connection.stream.close()
            return
        model = worker.model
        expected = self.request.headers.get("X-Expected-Instance")
        if expected != model.record.worker_id:
            self.simulator.misdirected += expected in self.simulator.models
            self.set_status(421)
            self.finish({})
            return
        if call != "hold" and self.simulator.random.random() < (
            self.simulator.delayed_order_rate
        ):
            delay_s = self.simulator.random.uniform(0.5, 5.0)
            self.simulator.tasks.append(
                asyncio.ensure_future(
                    self._apply_late(
                        worker, model, call, body, received_s, delay_s
                    )
                )
            )
            await asyncio.sleep(1.0)
            self.request.connection.stream.close()
            return
        token = body["fencing-token"]
        if (
            token <= self.simulator.cut_token
            or self.simulator.silence(worker, token) == "requests"
        ):
            await self._give_no_response()
            return
        if call == "hold":
            await self._wait_for_run_end(model, body)
        result = self._apply(worker, model, call, body, received_s)
        if result is None:
            self.request.connection.stream.close()
            return
        if self.simulator.silence(worker, token):
            await self._give_no_response()
            return
        self._respond(worker.model, result)
        if isinstance(result, scheduling.WorkerReport):
            self._observe_answer(worker, token)

    async def _give_no_response(self) -> None:
        await asyncio.sleep(CUT_RESPONSE_DELAY_S)
        self.request.connection.stream.close()

    def _observe_answer(self, worker: SimulatedWorker, token: int) -> None:
        sender = self.simulator.oracle.system.find_sender(token)
        awaited = self.simulator.awaited_answers.get(worker.number)
        if awaited is not None and sender is not None:
            awaited(sender)

    def _apply(
        self, worker, model, call: str, body: dict, received_s: float, **options
    ):
        """Applies an order to the incarnation that received it or the next.

        Returns:
            The result; `None` if there is no such incarnation.
        """
        if worker.runs_model(model):
            if call == "hold":
                # It was received when the wait began, but is applied now.
                received_s = time.monotonic()
            return worker.apply(call, body, received_s, **options)
        if not worker.succeeds(model):
            return None
        self.simulator.carried_over[call] += 1
        return worker.apply(call, body, received_s, delayed=True)

    async def _apply_late(
        self, worker, model, call: str, body: dict, received_s: float, delay_s
    ) -> None:
        """Applies an order after a delay, or at once to the next incarnation.

        It dies with its incarnation if its sender no longer waits for it: the
        sender may have stopped that run there, and no leader can stop it in a
        later incarnation that does not answer.
        """
        while time.monotonic() < received_s + delay_s:
            if not worker.runs_model(model):
                if time.monotonic() > received_s + SENDER_WAIT_S:
                    return
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._apply(worker, model, call, body, received_s, delayed=True)

    async def _wait_for_run_end(self, model, body: dict) -> None:
        end_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while time.monotonic() < end_s:
            model.advance(time.monotonic())
            if any(end.number > body["last-seen"] for end in model.ends):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _respond(self, model, result) -> None:
        if isinstance(result, scheduling.WorkerReport):
            self.finish(
                {
                    "clock-ms": result.clock_ms,
                    "born": result.start_time_ms,
                    "running": [list(entry) for entry in result.running],
                    "ended": [list(entry) for entry in result.ended],
                }
            )
            return
        content = {
            "clock-ms": result.clock_ms,
            "born": model.record.start_time_ms,
        }
        if result.outcome in REFUSAL_REASONS:
            self.set_status(409)
            content["reason"] = REFUSAL_REASONS[result.outcome]
        self.finish(content)

"""The users' platform on loopback, for soaks: store, workers and machines.

Speaks the published protocol over HTTP. State is that of the models in
`standin`; faults are attributes that the soak sets.
"""

import asyncio
import base64
import json
import random
import time

from tornado import httpserver
from tornado import netutil
from tornado import web

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.standin import _row_store
from baobabdoor.standin import _worker_model

POOL = "results"
QUEUE = "race"
HOST = "race.example"
PREFIX = "/race/"
MAX_ATTEMPTS = 3
CPU_MILLI = 4000
HEARTBEAT_S = 0.5
POLL_S = 0.01
REASONS = {
    scheduling.OrderOutcome.FENCED: "fence",
    scheduling.OrderOutcome.OUTDATED_RUN: "old",
    scheduling.OrderOutcome.EXPIRED: "late",
}


class Store(_row_store.MemoryRowStore):
    """Rows with the removals that a feed reports."""

    def __init__(self):
        super().__init__()
        self.removed: dict[tuple[str, str, str], int] = {}
        self.history_from = 0

    def _apply(self, puts, removes, expected):
        result = super()._apply(puts, removes, expected)
        if isinstance(result, platform.Commit):
            for row in puts:
                self.removed.pop((row.table, row.part, row.key), None)
            for row in removes:
                self.removed[row.table, row.part, row.key] = self.version
        return result

    def write(self, table: str, key: str, content: dict) -> None:
        """Writes a row as the operator or a worker."""
        value = json.dumps(content).encode()
        self._apply([platform.StoredRow(table, "", key, value)], [], [])

    def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply([], [platform.StoredRow(table, "", key)], [])

    def changes(self, table: str, after: int) -> list[platform.StoredRow]:
        """Returns the rows of a table changed after a version, in order."""
        rows = [
            row
            for key, row in self.rows.items()
            if key[0] == table and row.version > after
        ]
        rows += [
            platform.StoredRow(*key, version=version, removed=True)
            for key, version in self.removed.items()
            if key[0] == table and version > after
        ]
        return sorted(rows, key=lambda row: row.version)


class WorldWorker:
    """A worker behind one address, with its successive lives."""

    def __init__(self, world: "World", number: int):
        self.world = world
        self.number = number
        self.life = 0
        self.silent_until_s = 0.0
        self.model: _worker_model.ModelWorker | None = None
        self.begin(f"w{number}-1")

    def begin(self, worker_id: str) -> None:
        """Starts a life of the worker; nothing of the one before runs."""
        now_s = time.monotonic()
        self.life += 1
        record = scheduling.WorkerRecord(
            worker_id=worker_id,
            address=self.world.worker_address(self.number),
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
            self.world.random.uniform(0.98, 1.0),
            self.world.make_run,
            self.world.oracle,
        )

    def beat(self, sequence: int) -> None:
        """Writes the worker's entry in the list."""
        record = self.model.record
        self.world.store.write(
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


class World:
    """Store, workers and machines, with the faults in force.

    Attributes:
        store_fault: `down`, `lost`, `slow` or empty.
        late_share: Share of orders that are carried out late, unanswered.
    """

    def __init__(self, seed: int, network: int, workers: int, oracle):
        self.random = random.Random(seed)
        self.network = network
        self.oracle = oracle
        self.store = Store()
        self.store_fault = ""
        self.late_share = 0.0
        self.began_s = time.monotonic()
        self.tasks: list[asyncio.Task] = []
        self.servers: list[httpserver.HTTPServer] = []
        self.workers = [WorldWorker(self, n) for n in range(workers)]
        self.version = 1

    @property
    def models(self) -> dict[str, _worker_model.ModelWorker]:
        """Workers that are alive, by identifier."""
        return {w.model.record.worker_id: w.model for w in self.workers}

    def worker_address(self, number: int) -> str:
        """Address of a worker's proxy."""
        return f"127.{self.network}.8.{number + 1}:8600"

    def make_run(self, order, now_s: float) -> _worker_model.ModelRun:
        """Draws how a run goes."""
        return _worker_model.ModelRun(
            order.task,
            order.run_id,
            now_s,
            self.random.uniform(0.1, 1.2),
            self.random.random() < 0.1,
        )

    def start(self) -> None:
        """Serves all interfaces and begins the heartbeats."""
        self.write_configuration()
        routes = [
            (r"/api/rows-tx", TransactionHandler, {"world": self}),
            (r"/api/rows-get", ReadHandler, {"world": self}),
            (r"/api/rows-feed", FeedHandler, {"world": self}),
            (r"/api/machines", MachinesHandler, {"world": self}),
        ]
        self._listen(f"127.{self.network}.7.1", web.Application(routes))
        for worker in self.workers:
            route = (r"/api/(.*)", WorkerHandler, {"worker": worker})
            address = f"127.{self.network}.7.{worker.number + 2}"
            self._listen(address, web.Application([route]))
        self.tasks.append(asyncio.ensure_future(self._beat()))

    def _listen(self, host: str, application: web.Application) -> None:
        application.settings["log_function"] = lambda handler: None
        server = httpserver.HTTPServer(application)
        server.add_sockets(netutil.bind_sockets(8700, host))
        self.servers.append(server)

    def stop(self) -> None:
        """Ends all service."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()

    def write_configuration(self) -> None:
        """Puts a new version of the configuration in force."""
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

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            listed = set(self.models)
            for key in list(self.store.rows):
                if key[0] == platform.WORKERS_TABLE and key[2] not in listed:
                    self.store.drop(*key[::2])
            for worker in self.workers:
                worker.beat(sequence)
            await asyncio.sleep(HEARTBEAT_S)

    def now_ms(self) -> int:
        """The store's steady clock."""
        return int((time.monotonic() - self.began_s) * 1000) + 1000


class _Handler(web.RequestHandler):

    def initialize(self, world: World):
        self.world = world

    async def prepare(self):
        fault = self.world.store_fault
        if fault == "down":
            raise web.HTTPError(503)
        if fault == "slow":
            await asyncio.sleep(0.25)

    def write_error(self, status_code, **details):
        del details
        self.finish({"status": status_code})

    def reply(self, rows, status=200, **fields):
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
        times = {"ver": self.world.store.version, "now-ms": self.world.now_ms()}
        self.finish({"rows": listed} | times | fields)


class TransactionHandler(_Handler):
    """Applies transactions."""

    async def post(self):
        body = json.loads(self.request.body)
        tables = {entry["table"] for entry in body["puts"] + body["remove"]}
        if tables & {platform.CONFIGURATION_TABLE, platform.WORKERS_TABLE}:
            raise web.HTTPError(403)
        lost = self.world.store_fault == "lost"
        lost = lost and self.world.random.random() < 0.4
        if lost and self.world.random.random() < 0.3:
            delay_s = self.world.random.uniform(0.5, 4.0)
            asyncio.get_running_loop().call_later(delay_s, self._apply, body)
        else:
            result = self._apply(body)
        if lost:
            self.request.connection.stream.close()
        elif isinstance(result, platform.Commit):
            self.reply([])
        else:
            self.reply(result.rows, 412)

    def _apply(self, body: dict):
        return self.world.store._apply(
            [_row(entry) for entry in body["puts"]],
            [_row(entry) for entry in body["remove"]],
            [_row(entry) for entry in body["expected-rev"]],
        )


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
        answer = await self.world.store.read(
            self.get_argument("table"),
            self.get_argument("part", ""),
            self.get_argument("from", "", strip=False),
            limit=int(self.get_argument("limit", "500")),
        )
        self.reply(answer.rows)


class FeedHandler(_Handler):
    """Waits for changes of a table."""

    async def get(self):
        store = self.world.store
        table, after = self.get_argument("table"), int(
            self.get_argument("after")
        )
        end_s = time.monotonic() + int(self.get_argument("wait-ms")) / 1000
        if after < store.history_from:
            raise web.HTTPError(410)
        while not store.changes(table, after) and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        self.reply(store.changes(table, after))


class MachinesHandler(_Handler):
    """Lists machines, all of them up."""

    async def get(self):
        self.finish(
            {
                "machines": [
                    {
                        "machine": f"m{worker.number}",
                        "pool": POOL,
                        "state": "up",
                        "zone": "z",
                        "id": worker.model.record.worker_id,
                    }
                    for worker in self.world.workers
                ]
            }
        )


class WorkerHandler(web.RequestHandler):
    """Takes orders for one worker."""

    def initialize(self, worker: WorldWorker):
        self.worker = worker
        self.world = worker.world

    async def post(self, call: str):
        body = json.loads(self.request.body)
        model = self.worker.model
        expected = self.request.headers.get("X-Expected-Instance")
        if expected != model.record.worker_id:
            self.set_status(421)
            self.finish({})
            return
        if call != "hold" and self.world.random.random() < (
            self.world.late_share
        ):
            delay_s = self.world.random.uniform(0.5, 5.0)
            asyncio.get_running_loop().call_later(
                delay_s, self._late, model, call, body
            )
            await asyncio.sleep(1.0)
            self.request.connection.stream.close()
            return
        if call == "hold":
            await self._wait_for_end(model, body)
        if self.worker.model is not model:
            self.request.connection.stream.close()
            return
        self._answer(model, self._apply(model, call, body))

    def _late(self, model, call: str, body: dict) -> None:
        if self.worker.model is model:
            self._apply(model, call, body)

    async def _wait_for_end(self, model, body: dict) -> None:
        end_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while time.monotonic() < end_s:
            model.advance(time.monotonic())
            if any(end.number > body["last-seen"] for end in model.ends):
                return
            await asyncio.sleep(POLL_S)

    def _apply(self, model, call: str, body: dict):
        now_s = time.monotonic()
        for other in self.world.models.values():
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
            checkpoint="",
            ticket="",
        )
        return model.start(order, now_s)

    def _answer(self, model, result) -> None:
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
        if result.outcome in REASONS:
            self.set_status(409)
            content["reason"] = REASONS[result.outcome]
        self.finish(content)

"""Stand-ins of the platform, workers and clients for the review's scripts.

Standard library only. One process serves the store, the list of machines and
the workers over HTTP on loopback addresses, starts the daemons with the
command of the deploy file, and calls them as clients do. Where the pages are
silent, the stand-ins behave like a sound server, client or platform.
"""

import asyncio
import base64
import contextlib
import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_PORT, WORKER_PORT, MACHINES_PORT, ADVICE_PORT = 8621, 8630, 8640, 8650
FRONT_PORT, READY_PORT, CONTROL_PORT = 8624, 8622, 8623
INTERNAL_PORT, METRICS_PORT, RESERVED_PORT = 7060, 9464, 8690
MAX_HOLD_MS, STOP_MS, CANCEL_MS = 6000, 400, 3000
HEARTBEAT_S = 1.5
SERVICE, HOST, PREFIX = "results-desk", "results.example", "/race/"
# The workers are in the first zone.
ZONES = ("taal", "subic", "manila-bay")
MAX_LISTED_ENDS = 500
MAX_ATTEMPTS = 3
GANG_TIMEOUT_S = 3.0
INFINITE = float("inf")


def b64(value):
    """Returns the content of a row, encoded."""
    return base64.b64encode(json.dumps(value).encode()).decode()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.path = folder / "record.txt"
        self.path.write_text("", "utf-8")
        self.started_s = time.monotonic()

    def add(self, kind, **fields):
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        at_s = time.monotonic() - self.started_s
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at_s:8.3f} {kind} {text}\n")


class HttpServer:
    """Minimal HTTP/1.1 server; the handler returns (status, body) or None.

    None closes the connection without an answer.
    """

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler

    async def start(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=4 * 1024 * 1024
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def query_of(target):
    """Splits a target into its path and the fields of its query."""
    path, _, query = target.partition("?")
    return path, {k: v[0] for k, v in parse.parse_qs(query).items()}


def row_key(key):
    """Returns the fields that name a row."""
    return {"table": key[0], "part": key[1], "key": key[2]}


class Store:
    """The platform's store: rows, transactions and feeds.

    `turned_away` holds numbers of daemons that get 503, `World.cut_off` those
    that no answer reaches. `intercept` may take a transaction: it returns None
    to handle it as usual, or a coroutine whose result is the answer.
    """

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.log = []
        self.version = 100
        self.changed = asyncio.Event()
        self.turned_away = set()
        self.intercept = None

    def now_ms(self):
        """Returns the store's steady clock."""
        return round(time.monotonic() * 1000)

    def apply(self, body):
        """Applies a transaction; returns None or the conflicting rows."""
        current = []
        holds = True
        for entry in body.get("expected-rev", ()):
            key = (entry["table"], entry.get("part", ""), entry["key"])
            row = self.rows.get(key)
            version = row["ver"] if row else 0
            holds &= version == entry["ver"]
            current.append(row or row_key(key) | {"value": "", "ver": 0})
        if not holds:
            return current
        self.version += 1
        for entry in body.get("puts", ()):
            key = (entry["table"], entry.get("part", ""), entry["key"])
            row = row_key(key)
            row |= {"value": entry["value"], "ver": self.version}
            self.rows[key] = row
            self.log.append(row)
        for entry in body.get("remove", ()):
            key = (entry["table"], entry.get("part", ""), entry["key"])
            if self.rows.pop(key, None):
                row = row_key(key)
                row |= {"value": "", "ver": self.version, "deleted": True}
                self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()
        return None

    def put(self, table, key, content):
        """Writes a row for the operator or a worker."""
        entry = {"table": table, "part": "", "key": key, "value": b64(content)}
        self.apply({"puts": [entry]})

    def state(self):
        """Returns the fields that each answer about rows has."""
        return {"ver": self.version, "now-ms": self.now_ms()}

    def handler(self, number):
        """Returns the handler of the calls of one daemon."""

        async def handle(method, target, headers, body):
            if number in self.turned_away:
                return 503, {}
            if await self.world.held_up(number):
                return None
            answer = await self._answer_call(number, target, body)
            return None if await self.world.held_up(number) else answer

        return handle

    async def _answer_call(self, number, target, body):
        path, query = query_of(target)
        if path == "/api/rows-tx":
            return await self._transact(number, json.loads(body))
        if path == "/api/rows-get":
            return self._get(query)
        if path == "/api/rows-feed":
            return await self._feed(number, query)
        return 404, {}

    async def _transact(self, number, body):
        await asyncio.sleep(0.004)
        if self.intercept is not None:
            taken = self.intercept(number, body)
            if taken is not None:
                return await taken
        return self.answer(self.apply(body))

    def answer(self, conflict):
        """Returns the answer to a transaction."""
        if conflict is None:
            return 200, self.state()
        return 412, self.state() | {"rows": conflict}

    def _get(self, query):
        prefix = (query["table"], query.get("part", ""))
        rows = [
            row
            for key, row in sorted(self.rows.items())
            if key[:2] == prefix and key[2] >= query.get("from", "")
        ]
        limit = min(500, int(query.get("limit", 500)))
        more = len(rows) > limit
        return 200, self.state() | {"rows": rows[:limit], "has-more": more}

    async def _feed(self, number, query):
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            newest = {}
            for row in self.log:
                if row["table"] == table and row["ver"] > after:
                    newest[row["part"], row["key"]] = row
            left_s = end_s - time.monotonic()
            if number in self.turned_away:
                return 503, {}
            if newest or left_s <= 0:
                rows = sorted(newest.values(), key=lambda row: row["ver"])
                return 200, self.state() | {"rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left_s, 0.1))


class Worker:
    """A worker as the protocol page describes it.

    While `cut` is set, no order reaches it and no answer leaves it; it runs on.
    """

    def __init__(self, world, number, cpu=16000):
        self.world = world
        self.number = number
        self.worker_id = f"w{number}"
        self.host = f"127.{world.subnet}.2.{number + 1}"
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic() - 100.0
        self.cpu = cpu
        self.cut = False
        self.down = False
        # Whether it is cut off from the store, but not from the daemons.
        self.silent = False
        self.beat_s = time.monotonic()
        # Whether it fails all that it starts, with good health.
        self.grey = False
        # Orders up to this token come from a machine that is cut off.
        self.cut_token = 0
        self.token = 0
        self.until_ms = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.lapsed = set()
        self.highest = {}
        self.news = asyncio.Event()
        self.sequence = 0

    def _expire_entry(self):
        """Removes the entry after three heartbeat intervals of silence."""
        key = ("servers", "", self.worker_id)
        silent_s = time.monotonic() - self.beat_s
        if silent_s > 3 * HEARTBEAT_S and key in self.world.store.rows:
            self.world.store.apply({"remove": [row_key(key)]})
            self.world.record.add("entry_removed", worker=self.worker_id)

    async def crash(self, down_s):
        """Ends this life; the next one has the same id and knows nothing."""
        self.down = True
        for name, run in self.running.items():
            self.world.observe_end(self, name, run["run"], "crashed")
        self.running, self.ended, self.highest = {}, [], {}
        self.lapsed = set()
        await asyncio.sleep(down_s)
        self.token, self.until_ms, self.next_end, self.sequence = 0, 0, 1, 0
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic()
        self.down = False

    def clock_ms(self):
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self.zero_s) * 1000)

    async def start(self):
        """Starts to serve orders and to write heartbeats."""
        await HttpServer(self.host, WORKER_PORT, self._handle).start()
        asyncio.ensure_future(self._tick())
        asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            if self.down or self.silent:
                # Its next heartbeat stays due at the same interval.
                due_s = time.monotonic() + HEARTBEAT_S
                while time.monotonic() < due_s:
                    self._expire_entry()
                    await asyncio.sleep(0.05)
                continue
            self.beat_s = time.monotonic()
            self.world.store.put(
                "servers",
                self.worker_id,
                {
                    "service": SERVICE,
                    "address": f"{self.host}:{WORKER_PORT}",
                    "zone": "taal",
                    "version": "1",
                    "slots": 8,
                    "state": "ready",
                    "cold-remaining-ms": 0,
                    "seq": self.sequence,
                    "born": self.born,
                    "machine": f"m{self.number}",
                    "capacity": {"cpu": self.cpu, "mem-mb": 32768, "gpus": 0},
                    "labels": ["a", "r1-1"],
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            self._advance()

    def _advance(self):
        now_s = time.monotonic()
        for name, run in list(self.running.items()):
            if now_s >= run["end_s"]:
                self._end(name, "done")
            elif now_s >= run["alone_s"]:
                self._end(name, "alone")
        if self.clock_ms() > self.until_ms:
            for name in list(self.running):
                self._end(name, "lapsed")
            # These ends are never taken note of.
            self.lapsed |= {end[0] for end in self.ended}

    def _end(self, name, how):
        run = self.running.pop(name)
        self.highest[name] = max(self.highest.get(name, 0), run["run"])
        self.ended.append([self.next_end, name, run["run"], how, ""])
        self.next_end += 1
        self.world.observe_end(self, name, run["run"], how)
        if how != "done":
            self.world.break_gang(name, run["run"])
        self.news.set()
        self.news = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        order = json.loads(body or b"{}")
        if await self._held_up(order):
            return None
        if headers.get("x-expected-instance", self.worker_id) != self.worker_id:
            return 421, {"born": self.born}
        call = target.removeprefix("/api/")
        if call == "hold":
            end_s = time.monotonic() + order.get("wait-ms", 0) / 1000
            while (left_s := end_s - time.monotonic()) > 0:
                if any(end[0] > order["last-seen"] for end in self.ended):
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.news.wait(), left_s)
            if await self._held_up(order):
                return None
        self._advance()
        status, content = getattr(self, "_" + call.replace("-", "_"))(order)
        common = {"clock-ms": self.clock_ms(), "born": self.born}
        return status, content | common

    async def _held_up(self, order):
        """Waits for the end of a partition; returns whether there was one.

        What is held up is lost: its sender gives up before the end.
        """
        token = order.get("fencing-token", 0)
        held_up = False
        while self.cut or self.down or token <= self.cut_token:
            held_up = True
            await asyncio.sleep(0.05)
        return held_up

    def _refuse(self, reason):
        return 409, {"reason": reason}

    def _fenced(self, order):
        token = order.get("fencing-token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, until_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit_ms))

    def _hold(self, order):
        if self._fenced(order):
            return self._refuse("fence")
        seen = order["last-seen"]
        for end in self.ended:
            if end[0] <= seen and end[0] not in self.lapsed:
                self.world.observe_seen(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "until-ms" in order:
            self._extend(order["until-ms"])
        now_s = time.monotonic()
        running = [
            [name, run["run"], "", run["percent"](now_s), 0]
            for name, run in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ended[:MAX_LISTED_ENDS]}

    def _run_start(self, order):
        name, number = order["task"], order["run-id"]
        if self._fenced(order):
            return self._refuse("fence")
        if order["until-ms"] <= self.clock_ms():
            return self._refuse("late")
        run = self.running.get(name)
        if run is not None and run["run"] == number:
            return 200, {}
        if run is not None or number <= self.highest.get(name, 0):
            self._extend(order["until-ms"])
            return self._refuse("old")
        self._extend(order["until-ms"])
        now_s = time.monotonic()
        length_s = self.world.duration_s(name)

        def percent(at_s):
            run = self.running[name]
            if length_s == INFINITE or run["end_s"] == INFINITE:
                return 100 if length_s == INFINITE else 0
            worked_s = length_s - (run["end_s"] - at_s)
            return max(0, min(99, int(100 * worked_s / length_s)))

        self.running[name] = {
            "run": number,
            "end_s": now_s + length_s,
            "alone_s": INFINITE,
            "percent": percent,
        }
        self.world.observe_start(self, name, number, order)
        if self.grey:
            self._end(name, "failed")
        else:
            self.world.join_gang(name, number, now_s, length_s)
        return 200, {}

    def set_gang_times(self, name, number, end_s, alone_s):
        """Sets when a member of a gang ends, if it runs here."""
        run = self.running.get(name)
        if run is not None and run["run"] == number:
            run["end_s"], run["alone_s"] = end_s, alone_s

    def break_run(self, name, number):
        """Ends a member of a gang of which another member has ended."""
        run = self.running.get(name)
        if run is not None and run["run"] == number:
            self._end(name, "broken")

    def _run_stop(self, order):
        if self._fenced(order):
            return self._refuse("fence")
        name, number = order["task"], order["run-id"]
        self.highest[name] = max(self.highest.get(name, 0), number)
        run = self.running.get(name)
        if run is not None and run["run"] <= number:
            self._end(name, "stopped")
        return 200, {}

    def _pace(self, order):
        return self._refuse("fence") if self._fenced(order) else (200, {})


class Daemon:
    """A daemon of the system, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.world = world
        self.number = number
        self.zone = zone
        self.ip = f"127.{world.subnet}.1.{number + 1}"
        self.process = None

    def settings(self):
        """Returns settings like those of a small deployment."""
        subnet = self.world.subnet
        return {
            "node-name": f"edge-{self.number}",
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "luzon",
            "zones": {zone: "luzon" for zone in ZONES},
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "control": f"{self.ip}:{CONTROL_PORT}",
            },
            "internal-port-range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "bounds": {
                "contact-ms": 3000,
                "ack-timeout-ms": 4000,
                "drain-ms": 2000,
                "grace-s": 6,
                "config-apply-ms": 2000,
                "max-hold-ms": MAX_HOLD_MS,
                "stop-timeout-ms": STOP_MS,
                "gang-timeout-ms": 3000,
                "cancel_ms": CANCEL_MS,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "migrate-s": 1.5,
                "maintenance-s": 2,
                "fencing-enforced": True,
                "lease-ms": 3000,
            },
            "orders": "rpc",
            "advice": f"127.{subnet}.5.1:{ADVICE_PORT}",
            "platform": {
                "address": f"127.{subnet}.3.{self.number + 1}:{STORE_PORT}",
                "form": "table",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "tx-ms": 8.0,
                "part-writes-per-s": 150,
                "row-bytes": 65536,
                "across": False,
                "history-s": 20,
            },
            "cloud-api": {
                "address": f"127.{subnet}.4.{self.number + 1}:{MACHINES_PORT}",
                "rate-per-s": 64.0,
                "duties": [],
                "duty-per-s": 64.0,
            },
        }

    def start(self):
        """Starts the process."""
        path = self.world.folder / f"settings-{self.number}.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(self.settings(), indent=1), "utf-8")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {
            "BAOBABDOOR_CONFIG": str(path),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log_path = self.world.folder / f"daemon-{self.number}.log"
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "baobabdoor.dispatch"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.world.record.add("daemon_started", daemon=self.number)

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process, by default SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()
        self.world.record.add(
            "daemon_signalled", daemon=self.number, signal=int(number)
        )


class World:
    """Everything around the daemons, and what is judged."""

    def __init__(self, case_folder, zones=(ZONES[0],) * 3, workers=4):
        cpu = 16000
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.subnet = self._free_subnet()
        self.store = Store(self)
        self.workers = [Worker(self, n, cpu) for n in range(workers)]
        self.daemons = [Daemon(self, n, zone) for n, zone in enumerate(zones)]
        self.durations = {}
        # Numbers of daemons that are partitioned from all but the clients.
        self.cut_off = set()
        # Number of tasks of a gang by its step (ID.K.STEP), and the members of
        # each run that are there.
        self.gangs = {}
        self.gang_members = {}
        # (time, worker, task, run) of each start; ends with how.
        self.starts, self.ends, self.seen = [], [], []

    def _free_subnet(self):
        """Returns a part of the loopback network that no other run uses.

        A socket of this process keeps it from other runs of the review.
        """
        for subnet in random.sample(range(60, 250), 60):
            self.reservation = socket.socket()
            try:
                self.reservation.bind((f"127.{subnet}.9.1", RESERVED_PORT))
                self.reservation.listen()
                with socket.socket() as probe:
                    probe.bind((f"127.{subnet}.1.1", METRICS_PORT))
                with socket.socket() as probe:
                    probe.bind((f"127.{subnet}.3.1", STORE_PORT))
                return subnet
            except OSError:
                self.reservation.close()
        raise OSError("no free loopback subnet")

    def duration_s(self, task):
        """Returns how long a task that starts now works."""
        job, _, step, _ = task.split(".")
        duration = self.durations[job][int(step)]
        return duration() if callable(duration) else duration

    def join_gang(self, task, run, now_s, length_s):
        """Lets a gang work from the moment when all of its tasks are there."""
        step = task.rpartition(".")[0]
        if step not in self.gangs:
            return
        members = self.gang_members.setdefault((step, run), {})
        members[task] = now_s
        complete = len(members) == self.gangs[step]
        for name, since_s in members.items():
            end_s = now_s + length_s if complete else INFINITE
            alone_s = INFINITE if complete else since_s + GANG_TIMEOUT_S
            for worker in self.workers:
                worker.set_gang_times(name, run, end_s, alone_s)

    def break_gang(self, task, run):
        """Ends the other members of a gang's run."""
        step = task.rpartition(".")[0]
        members = self.gang_members.get((step, run), {})
        members.pop(task, None)
        for name in list(members):
            for worker in self.workers:
                worker.break_run(name, run)

    def observe_start(self, worker, task, run, order):
        """Records a start."""
        self.starts.append((time.monotonic(), worker.worker_id, task, run))
        self.record.add(
            "run_started",
            worker=worker.worker_id,
            task=task,
            run=run,
            token=order["fencing-token"],
        )

    def observe_end(self, worker, task, run, how):
        """Records the end of a run."""
        self.ends.append((time.monotonic(), worker.worker_id, task, run, how))
        self.record.add(
            "run_ended", worker=worker.worker_id, task=task, run=run, how=how
        )

    def observe_seen(self, worker, end):
        """Records that an end was taken note of."""
        at_s = time.monotonic()
        self.seen.append((at_s, worker.worker_id, end[1], end[2], end[3]))
        self.record.add(
            "end_taken_note_of",
            worker=worker.worker_id,
            task=end[1],
            run=end[2],
            how=end[3],
        )

    async def start(self):
        """Starts the stand-ins and the daemons, and waits for a leader."""
        self.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [
                    {
                        "name": "race-result",
                        "host": HOST,
                        "path-prefix": PREFIX,
                        "service": SERVICE,
                        "priority": 0,
                        "max-attempts": MAX_ATTEMPTS,
                        "stretch": 10,
                        "target-latency-ms": 20000,
                        "timeout-ms": 3000,
                    }
                ],
                "services": [{"name": SERVICE, "enforces-capacity": False}],
                "limits": {},
            },
        )
        for daemon in self.daemons:
            host = f"127.{self.subnet}.3.{daemon.number + 1}"
            handler = self.store.handler(daemon.number)
            await HttpServer(host, STORE_PORT, handler).start()
            host = f"127.{self.subnet}.4.{daemon.number + 1}"
            machines = functools.partial(self._machines, daemon.number)
            await HttpServer(host, MACHINES_PORT, machines).start()
        for worker in self.workers:
            await worker.start()
        for daemon in self.daemons:
            daemon.start()
            # All start within 0.3 s; the first one mostly leads.
            await asyncio.sleep(0.25 if daemon.number == 0 else 0.0)
        await self.wait_ready()

    async def held_up(self, number):
        """Waits while a daemon is cut off; returns whether it was."""
        held_up = False
        while number in self.cut_off:
            held_up = True
            await asyncio.sleep(0.05)
        return held_up

    def cut_off_daemon(self, number):
        """Cuts a leader off from the store, the workers and the machines.

        Its orders are known by their tokens, which are versions of the store
        up to now; those of the next leader are higher.
        """
        self.cut_off.add(number)
        for worker in self.workers:
            worker.cut_token = self.store.version
        self.record.add("cut_off", daemon=number)

    def heal(self):
        """Ends the cut of all daemons."""
        self.cut_off.clear()
        for worker in self.workers:
            worker.cut_token = 0
        self.record.add("cut_healed")

    async def _machines(self, number, method, target, headers, body):
        if await self.held_up(number):
            return None
        if not target.startswith("/api/machines"):
            return 429, {}
        return 200, {
            "machines": [
                {
                    "machine": f"m{worker.number}",
                    "pool": SERVICE,
                    "state": "down" if worker.down else "up",
                    "zone": "taal",
                    "labels": ["a", "r1-1"],
                    "capacity": {"cpu": worker.cpu, "mem-mb": 32768, "gpus": 0},
                    "id": "" if worker.down else worker.worker_id,
                }
                for worker in self.workers
            ]
        }

    async def wait_ready(self, timeout_s=30.0):
        """Waits until the daemons are ready and a leader is served."""
        end_s = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while True:
                status, _ = await self.call(
                    daemon, "GET", "/api/ready", port=READY_PORT, quiet=True
                )
                if status == 200:
                    break
                if time.monotonic() > end_s:
                    raise TimeoutError("the daemons aren't ready")
                await asyncio.sleep(0.1)
        status = 0
        while status != 200:
            status, _ = await self.call(
                self.daemons[0], "GET", PREFIX, quiet=True
            )
            if time.monotonic() > end_s:
                raise TimeoutError("there is no leader")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    def leader(self):
        """Returns the number of the daemon that leads, by the store's row."""
        row = self.store.rows.get(("tenure", "fleet", "holder"))
        if row is None:
            return None
        content = json.loads(base64.b64decode(row["value"]))
        if content["released"]:
            return None
        return int(content["node"].rpartition("-")[2])

    async def call(
        self,
        daemon,
        method,
        path,
        body=None,
        port=FRONT_PORT,
        quiet=False,
        timeout_s=3.0,
    ):
        """Sends a client's request; status 0 means no complete answer."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            status, content = await asyncio.wait_for(
                self._call_once(daemon.ip, port, method, path, data), timeout_s
            )
        except (TimeoutError, OSError, EOFError, ValueError):
            status, content = 0, {}
        if not quiet:
            self.record.add(
                "request",
                method=method,
                path=path,
                daemon=daemon.number,
                status=status,
                content=json.dumps(content),
            )
        return status, content

    async def _call_once(self, ip, port, method, path, data):
        streams = await asyncio.open_connection(ip, port)
        try:
            return await exchange(streams, method, path, data)
        finally:
            streams[1].close()

    async def submit(self, job, steps, durations, daemon, attempts=5):
        """Hands a job in, with a sound client's retries at other daemons."""
        self.durations[job] = durations
        number = daemon.number
        body = {"spec": f"spec {job}", "steps": steps}
        for _ in range(attempts):
            target = self.daemons[number % len(self.daemons)]
            status, _ = await self.call(target, "POST", PREFIX + job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
            number += 1
        return False

    def stop(self):
        """Ends all processes that were started."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
        self.temporary.cleanup()


async def exchange(streams, method, path, data=b""):
    """Sends a request on an open connection; returns status and content."""
    reader, writer = streams
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode() + data
    )
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    size = 0
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    text = await reader.readexactly(size)
    return int(head[0].split()[1]), json.loads(text or b"{}")


class Balancer:
    """Chooses the daemon of a new connection, as the page on ingress says."""

    def __init__(self, world):
        self.world = world
        self.misses = {daemon.number: 0 for daemon in world.daemons}

    async def run(self):
        """Checks each daemon once per second."""
        while True:
            await asyncio.gather(*map(self._check, self.world.daemons))
            await asyncio.sleep(1.0)

    async def _check(self, daemon):
        status, _ = await self.world.call(
            daemon,
            "GET",
            "/api/ready",
            port=READY_PORT,
            quiet=True,
            timeout_s=0.9,
        )
        number = daemon.number
        self.misses[number] = 0 if status == 200 else self.misses[number] + 1
        if self.misses[number] == 2:
            self.world.record.add("out_of_rotation", daemon=number)

    def pick(self, zone):
        """Returns a daemon of the zone, of another if none is in rotation."""
        ready = [d for d in self.world.daemons if self.misses[d.number] < 2]
        own = [daemon for daemon in ready if daemon.zone == zone]
        return (own or ready)[0]


def new_job():
    """Returns an ID as a client chooses it."""
    return f"{random.getrandbits(64):016x}"


def main(case, **options):
    """Runs a case: exit code 1 for a broken rule, 0 for none, 2 for no run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(folder, **options)
        try:
            await world.start()
            broken = await asyncio.wait_for(case(world, trouble), 75)
            world.record.add("result", broken=broken or "none")
            print(broken or "the rule held")
            return 1 if broken else 0
        finally:
            world.stop()

    try:
        code = asyncio.run(play())
    except (OSError, TimeoutError, AssertionError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)

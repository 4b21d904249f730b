"""Tests of daemons with entries of other programs in the list of workers.

An entry that describes no worker must cost only itself. Daemons run as separate
processes, as in the soak test, which provides the platform and the oracle.
"""

import asyncio
import json
import signal
import time
import zlib

import pytest
import soak
import soak_platform

from baobabdoor import dispatch
from baobabdoor import platform

SEED = 1010
SECONDS = 5.0
# Time after which all workers run tasks.
RUNNING_DELAY_S = 1.5
# Replaced by the address of a worker in entries.
WORKER_ADDRESS = "@worker"


def entry(**fields) -> bytes:
    """Returns an entry of a worker that does not exist, with some fields."""
    content = {
        "service": soak_platform.POOL,
        "address": "127.0.0.1:1",
        "zone": "z",
        "machine": "m90",
        "state": "ready",
        "born": 1,
        "capacity": {"cpu": 4000, "mem-mb": 8000},
        "labels": [],
        "seq": 1,
    }
    return json.dumps(content | fields).encode()


def with_text(name: str, text: bytes) -> bytes:
    """Returns an entry with a field that `json.dumps` cannot write."""
    placeholder = json.dumps("@").encode()
    return entry(**{name: "@"}).replace(placeholder, text)


def nested(levels: int) -> bytes:
    """Returns a list in a list, and so on."""
    return b"[" * levels + b"]" * levels


# By name: key and value of one entry.
ENTRIES = {
    "port-99999": ("x1", entry(address="127.0.0.1:99999")),
    "port-0": ("x2", entry(address="127.0.0.1:0")),
    "port-superscript": ("x3", entry(address="127.0.0.1:8\u00b2")),
    "port-arabic": ("x4", entry(address="127.0.0.1:\u0668\u0660")),
    "port-5000-digits": ("x5", entry(address="127.0.0.1:" + "9" * 5000)),
    "address-null": ("x6", entry(address="127.0.0.1\0:80")),
    "address-line-break": ("x7", entry(address="127.0.0.1:80\r\nX:80")),
    "address-path": ("x8", entry(address="127.0.0.1/a:80")),
    "address-name": ("x9", entry(address="worker.invalid:80")),
    "address-latin": ("x10", entry(address="127.0.0.\u00e9:80")),
    "address-surrogate": ("x11", with_text("address", b'"\\ud800:80"')),
    "negative-cpu": ("x12", entry(capacity={"cpu": -4000, "mem-mb": -1})),
    "huge-cpu": ("x13", entry(capacity={"cpu": 2**53, "mem-mb": 2**53})),
    "float-cpu": ("x14", entry(capacity={"cpu": 1.5, "mem-mb": 0.5})),
    "negative-born": ("x15", entry(born=-1)),
    "future-born": ("x16", entry(born=2**53)),
    "nested-900": ("x17", with_text("labels", nested(900))),
    "nested-960": ("x18", with_text("labels", nested(960))),
    "nested-980": ("x19", with_text("labels", nested(980))),
    "nested-zone": ("x20", with_text("zone", nested(970))),
    "nested-100000": ("x21", with_text("labels", nested(30_000))),
    "number-5000-digits": ("x22", with_text("born", b"9" * 5000)),
    "number-1e400": ("x23", with_text("born", b"1e400")),
    "labels-objects": ("x24", entry(labels=[1, None, {"a": []}, [2.5]])),
    "service-unknown": ("x25", entry(service="other")),
    "key-line-break": ("x26\r\nX-Other: 1", entry(address=WORKER_ADDRESS)),
    "key-latin": ("x27\u00e9", entry(address=WORKER_ADDRESS)),
    "key-wide": ("\u2028" * 60, entry(address=WORKER_ADDRESS)),
    "key-long": ("y" * 200, entry(address=WORKER_ADDRESS)),
    "key-null": ("x28\0", entry(address=WORKER_ADDRESS)),
    "key-empty": ("", entry(address=WORKER_ADDRESS)),
    "zone-surrogate": ("x29", with_text("zone", b'"\\ud800"')),
    "machine-of-a-worker": ("x30", entry(machine="m0")),
    "bytes": ("x31", b"\xff\xfe"),
}


# Entries under the identifiers of workers that run tasks.
REPLACED = {
    "w0-1": entry(address=WORKER_ADDRESS, born=2**53, machine="m0"),
    "w1-1": entry(machine="m1"),
    "w2-1": b"[",
    "w3-1": entry(address="127.0.0.1:99999", machine="m3"),
}

# Entries of the list of machines, as JSON.
MACHINES = [
    "7",
    "null",
    nested(970).decode(),
    nested(980).decode(),
    '{"machine": [1], "state": "up"}',
    '{"machine": 7, "state": "up", "pool": "results"}',
    '{"machine": "", "state": "up"}',
    '{"machine": "m91", "state": "melted"}',
    '{"machine": "m92", "state": "up", "id": {"a": 1}}',
]

# A job whose plan raises an error.
JOB_CONTENT = {
    "format": 1,
    "queue": soak_platform.QUEUE,
    "state": "queued",
    "submitted_ms": 1,
    "payload": "",
    "steps": [{"task_count": 1, "cpu_milli": "1"}],
}

# Rows of other tables, by table, part and key.
ROWS = {
    ("op", "", "wave/1"): b'{"wave": 1, "machines": [7], "maximum": 1}',
    ("op", "", "wave/2"): b'{"wave": 2, "machines": ["m0"], "maximum": 1}',
    ("op", "", "wave/3"): b"[" * 30_000,
    ("op", "", "other"): b"\xff",
    ("jobs", dispatch.PART, "00000000000000b1"): b"[",
    ("jobs", dispatch.PART, "00000000000000b2"): zlib.compress(b"[" * 30_000),
    ("jobs", dispatch.PART, "00000000000000b3"): zlib.compress(
        json.dumps(JOB_CONTENT).encode()
    ),
    ("roster", dispatch.PART, "00"): b"[" * 30_000,
    ("roster", dispatch.PART, "01"): b'{"w90": [1, 2, 3, 4, 5]}',
    ("roster", dispatch.PART, "x"): b"[]",
    ("waves", dispatch.PART, "2"): b"[",
    ("waves", dispatch.PART, "x"): b"{}",
}


class ForeignEntrySoak(soak.Soak):
    """Adds rows and entries of other programs, and injects no other fault.

    Args:
        folder: Directory for settings and logs.
        entries: Entries of the list of workers, by key.
        replaced: The same, written once the workers run tasks.
        machines: Entries of the list of machines, as JSON.
        rows: Rows that all daemons read when they start again.
    """

    def __init__(
        self, folder, entries=None, replaced=None, machines=(), rows=None
    ):
        super().__init__(SEED, SECONDS, folder)
        self.entries = self._at_worker(entries or {})
        self.replaced = self._at_worker(replaced or {})
        self.machines = machines
        self.rows = rows or {}
        self.leader_versions: set[int] = set()

    def _at_worker(self, entries: dict[str, bytes]) -> dict[str, bytes]:
        address = self.simulator.worker_address(0).encode()
        return {
            key: value.replace(WORKER_ADDRESS.encode(), address)
            for key, value in entries.items()
        }

    async def _inject_faults(self, end_s: float) -> None:
        self.simulator.foreign_entries = dict(self.entries)
        self.simulator.foreign_machines = list(self.machines)
        if self.rows:
            await self._write_rows()
        await asyncio.sleep(RUNNING_DELAY_S)
        self.simulator.foreign_entries |= self.replaced
        while time.monotonic() < end_s:
            self._observe_leader()
            await asyncio.sleep(0.05)

    async def _write_rows(self) -> None:
        """Writes the rows and starts all daemons again."""
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
        for key, value in self.rows.items():
            row = platform.StoredRow(*key, value)
            self.simulator.store._apply([row], [], [])
        for daemon in self.daemons:
            await daemon.restart(0.0)
        await self._wait_until_listening()
        # Until a leader is elected.
        await asyncio.sleep(soak.STARTUP_DELAY_S)

    def _observe_leader(self) -> None:
        key = (dispatch.LEADER_TABLE, dispatch.PART, dispatch.LEADER_KEY)
        self.leader_versions.add(self.simulator.store.rows[key].version)

    def check(self) -> None:
        """Checks that one leader went on and that jobs were run."""
        assert not self.oracle.violations
        assert len(self.leader_versions) == 1
        assert self.oracle.starts
        for daemon in self.daemons:
            log = daemon.log.read_text("utf-8", "replace")
            assert "follower_failed" not in log
            assert "tenure_failed" not in log


def run(folder, **added) -> ForeignEntrySoak:
    """Runs daemons with rows and entries of other programs."""
    foreign_soak = ForeignEntrySoak(folder, **added)
    asyncio.run(foreign_soak.run())
    return foreign_soak


class TestDaemons:
    """Each row and entry ended leaders again and again, or might have."""

    def test_list_of_workers(self, tmp_path):
        run(tmp_path, entries=dict(ENTRIES.values())).check()

    @pytest.mark.parametrize("worker_id", REPLACED)
    def test_entry_that_replaces_that_of_a_worker(self, worker_id, tmp_path):
        """The worker counted as restarted, and its tasks ran twice."""
        run(tmp_path, replaced={worker_id: REPLACED[worker_id]}).check()

    def test_list_of_machines(self, tmp_path):
        run(tmp_path, machines=MACHINES).check()

    def test_rows_that_a_new_leader_reads(self, tmp_path):
        run(tmp_path, rows=ROWS).check()

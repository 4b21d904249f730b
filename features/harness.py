"""Runs simulators and entries as processes on loopback for scenarios."""

from collections.abc import Iterable
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

import attrs
import yaml

ROOT = pathlib.Path(__file__).parents[1]
DEPLOYMENT = ROOT / "examples" / "federation.yaml"
BIN = pathlib.Path(sys.executable).parent
HOST = "127.0.0.1"
ZONES = ("taal", "subic", "manila-bay")
ENTRIES_PER_ZONE = 2
# Ports of one deployment, as offsets within the block: workers from 0, platform
# from 50, entries from 60 (callers) and 70 (control), admin ports from 90.
PORT_BLOCK_SIZE = 100
FIRST_BLOCK_PORT, PORT_RANGE_END = 21300, 21900
TOKEN = "loopback-operator"
PEER_KEY = "00112233445566778899aabbccddeeff"
POLL_INTERVAL_S = 0.1


@attrs.frozen
class Response:
    """Response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        outcome: `done`, `not-run` or `unknown`; without a response
            `no-connection` or `broken`.
        body: Complete body.
        error: Error of the connection.
    """

    status: int
    outcome: str
    body: bytes = b""
    error: str = ""

    def json(self) -> dict[str, Any]:
        """Returns the body as JSON."""
        return json.loads(self.body)


def wait_until(condition: Any, timeout_s: float, description: str) -> Any:
    """Polls until `condition()` is true and returns its value."""
    end_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise AssertionError(f"not within {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)


def call_json(url: str, value: Any = None, token: str = "") -> Any:
    """Reads JSON, or posts a value and returns the JSON response."""
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=body)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.loads(response.read())


def is_up(url: str) -> bool:
    """Returns whether a URL responds with a status below 400."""
    try:
        with urllib.request.urlopen(url, timeout=1):
            return True
    except (urllib.error.URLError, OSError, http.client.HTTPException):
        return False


def check_budgets(state: dict[str, Any], promises: dict[str, Any]) -> None:
    """Checks a consistent snapshot of VMs and rows against a preset.

    The view of an entry is not consistent, because it follows each zone
    separately and combines states of different times.

    Args:
        state: State returned by the platform's admin port.
        promises: Promises of the preset by pool.
    """
    live_boot_ids = {
        vm["vm_id"]: vm["boot_id"]
        for vm in state["vms"]
        if vm["state"] == "live"
    }
    unavailable = {pool: [] for pool in promises}
    serving = dict.fromkeys(promises, 0)
    for key, row in state["rows"].items():
        if not key.startswith("vm/"):
            continue
        vm_id = key.rpartition("/")[2]
        if (
            row["phase"] == "serving"
            and live_boot_ids.get(vm_id) == row["boot_id"]
        ):
            serving[row["pool"]] += 1
        else:
            unavailable[row["pool"]].append((vm_id, row))
    for pool, promise in promises.items():
        assert len(unavailable[pool]) <= promise.availability_budget, (
            pool,
            unavailable[pool],
        )
        assert serving[pool] >= promise.min_workers, (pool, unavailable[pool])


def _find_free_port_block() -> int:
    for first in range(FIRST_BLOCK_PORT, PORT_RANGE_END, PORT_BLOCK_SIZE):
        if all(
            _is_free(port) for port in range(first, first + PORT_BLOCK_SIZE)
        ):
            return first
    raise RuntimeError("no free block of ports")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


@attrs.frozen
class Entry:
    """Addresses of an entry process.

    Attributes:
        entry_id: Identifier of the entry.
        zone: Its availability zone.
        caller: Port for callers.
        control: Port for peers and operators.
        platform: Port of the platform for its zone.
    """

    entry_id: str
    zone: str
    caller: int
    control: int
    platform: int

    @property
    def caller_url(self) -> str:
        """Base URL for callers."""
        return f"http://{HOST}:{self.caller}"

    @property
    def control_url(self) -> str:
        """Base URL for operators."""
        return f"http://{HOST}:{self.control}"


class Fleet:
    """Starts, signals and stops the processes of one deployment.

    Args:
        directory: Directory for settings files and logs.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        first = _find_free_port_block()
        self.worker_base_port = first
        self.platform_ports = [first + 50 + i for i in range(len(ZONES))]
        self.platform_admin = f"http://{HOST}:{first + 90}"
        self.backend_admin = f"http://{HOST}:{first + 91}"
        self.entries: dict[str, Entry] = {}
        for index in range(len(ZONES) * ENTRIES_PER_ZONE):
            zone = index % len(ZONES)
            number = index // len(ZONES) + 1
            entry_id = f"entry-{ZONES[zone]}-{number}"
            self.entries[entry_id] = Entry(
                entry_id,
                ZONES[zone],
                first + 60 + index,
                first + 70 + index,
                self.platform_ports[zone],
            )
        self.boot_ids = {entry_id: f"{entry_id}.1" for entry_id in self.entries}
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Starts all processes and waits until entries forward requests."""
        self._start_simulators()
        for entry_id in self.entries:
            self.start_entry(entry_id)
        for entry in self.entries.values():
            url = f"{entry.caller_url}/healthz"
            wait_until(lambda url=url: is_up(url), 20, f"{url} responds")
        result = self.run_operator_command("config", "apply", str(DEPLOYMENT))
        assert result.returncode == 0, result.stderr
        self.wait_ready(self.entries)

    def wait_ready(self, entry_ids: Iterable[str]) -> None:
        """Waits until entries accept requests."""
        for entry_id in entry_ids:
            url = f"{self.entries[entry_id].caller_url}/readyz"
            wait_until(lambda url=url: is_up(url), 30, f"{entry_id} ready")

    def stop(self) -> None:
        """Stops all started processes.

        Entries are killed: a graceful stop takes 7 s and has its own scenario.
        """
        for name in self.processes:
            is_entry = name in self.entries
            self.signal(name, signal.SIGKILL if is_entry else signal.SIGTERM)
        for name in self.processes:
            self._wait_for_exit(name)

    def start_entry(self, entry_id: str) -> None:
        """Starts the process of an entry."""
        entry = self.entries[entry_id]
        path = self.directory / f"{entry_id}.yaml"
        path.write_text(yaml.safe_dump(self._settings(entry)))
        self._start_process(entry_id, "baobabdoor-entry", "--config", str(path))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process if it is running."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, entry_id: str) -> None:
        """Kills an entry and terminates its VM on the platform."""
        self.signal(entry_id, signal.SIGKILL)
        self.processes[entry_id].wait()
        self.platform("vms/terminate", {"vm_id": entry_id})

    def replace(self, entry_id: str) -> None:
        """Restarts a killed entry on a new VM with the same address."""
        entry = self.entries[entry_id]
        self.boot_ids[entry_id] = f"{entry_id}.{time.monotonic_ns()}"
        spec = {
            "vm_id": entry_id,
            "address": "",
            "availability_zone": entry.zone,
            "rack": f"{entry.zone}-entries",
            "boot_id": self.boot_ids[entry_id],
        }
        self.platform("vms/add", spec)
        self.start_entry(entry_id)

    def platform(self, path: str, value: Any = None) -> Any:
        """Calls the admin port of the simulated platform."""
        return call_json(f"{self.platform_admin}/admin/{path}", value)

    def backend(self, path: str, value: Any = None) -> Any:
        """Calls the admin port of the simulated backend servers."""
        return call_json(f"{self.backend_admin}/admin/{path}", value)

    def run_operator_command(
        self, *arguments: str
    ) -> subprocess.CompletedProcess:
        """Runs the command line of operators."""
        urls = [entry.control_url for entry in self.entries.values()]
        environment = os.environ | {
            "BAOBABDOOR_ENTRY": ",".join(urls),
            "BAOBABDOOR_TOKEN": TOKEN,
        }
        return subprocess.run(
            [str(BIN / "baobabdoor"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def status(self, entry_id: str) -> dict[str, Any]:
        """Returns the status of an entry; empty if it is unreachable."""
        url = f"{self.entries[entry_id].control_url}/v1/status"
        try:
            return call_json(url, token=TOKEN)
        except (OSError, http.client.HTTPException, ValueError):
            return {}

    def pools(self, entry_id: str) -> list[dict[str, Any]]:
        """Returns the pools reported by an entry."""
        url = f"{self.entries[entry_id].control_url}/v1/pools"
        return call_json(url, token=TOKEN)["pools"]

    def send(
        self,
        entry_id: str,
        path: str,
        headers: dict[str, str],
        method: str = "GET",
        body: bytes | None = None,
        timeout_s: float = 20.0,
    ) -> Response:
        """Sends a request as a caller."""
        port = self.entries[entry_id].caller
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        except ConnectionRefusedError as error:
            return Response(0, "no-connection", error=repr(error))
        except (OSError, http.client.HTTPException) as error:
            return Response(0, "broken", error=repr(error))
        finally:
            connection.close()
        outcome = response.getheader("Baobabdoor-Outcome", "")
        return Response(response.status, outcome, content)

    def _settings(self, entry: Entry) -> dict[str, Any]:
        peers = [
            {
                "entry_id": peer.entry_id,
                "availability_zone": peer.zone,
                "control": {"host": HOST, "port": peer.control},
            }
            for peer in self.entries.values()
            if peer is not entry
        ]
        return {
            "entry_id": entry.entry_id,
            "boot_id": self.boot_ids[entry.entry_id],
            "region": "luzon",
            "availability_zone": entry.zone,
            "caller": {"host": HOST, "port": entry.caller},
            "control": {"host": HOST, "port": entry.control},
            "platform": {"host": HOST, "port": entry.platform},
            "peer_key": PEER_KEY,
            "operator_token": TOKEN,
            "peers": peers,
        }

    def _start_simulators(self) -> None:
        common = (
            f"--deployment={DEPLOYMENT}",
            f"--vm_base_port={self.worker_base_port}",
        )
        admin_port = self.backend_admin.rpartition(":")[2]
        self._start_process(
            "backend",
            "baobabdoor-standin",
            "backend",
            *common,
            f"--admin_port={admin_port}",
        )
        admin_port = self.platform_admin.rpartition(":")[2]
        entry_vms = [f"{e.entry_id}={e.zone}" for e in self.entries.values()]
        self._start_process(
            "platform",
            "baobabdoor-standin",
            "platform",
            *common,
            f"--admin_port={admin_port}",
            f"--backend_admin={self.backend_admin}",
            f"--entry_vms={','.join(entry_vms)}",
            "--reboot_s=1",
            *(f"--port={port}" for port in self.platform_ports),
        )
        for url in (self.backend_admin, self.platform_admin):
            state = f"{url}/admin/state"
            wait_until(lambda url=state: is_up(url), 20, f"{state} responds")

    def _start_process(self, name: str, program: str, *arguments: str) -> None:
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(BIN / program), *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _wait_for_exit(self, name: str) -> None:
        process = self.processes[name]
        try:
            process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

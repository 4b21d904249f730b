"""Continuous requests of callers and the check of their responses."""

import itertools
import threading
import time

import attrs
import harness

POOLS = ("results-desk", "handicap-desk", "regatta-desk", "jury-desk")
REQUEST_INTERVAL_S = 0.02


@attrs.frozen
class SentRequest:
    """A request and its response.

    Attributes:
        entry_id: Entry that it was sent to.
        request_id: Identifier that the backend server echoes.
        has_key: Whether it is non-idempotent work with an idempotency key of
            the caller.
        response: Response that the caller received.
        started_s: Monotonic time at which it was sent.
    """

    entry_id: str
    request_id: str
    has_key: bool
    response: harness.Response
    started_s: float


class Traffic:
    """Sends requests with one thread per entry; every second has a key.

    Args:
        fleet: Processes of the deployment.
        entry_ids: Entries that requests are sent to.
        work_ms: Run time of a request in milliseconds. Default: 20.
    """

    def __init__(
        self, fleet: harness.Fleet, entry_ids: list[str], work_ms: int = 20
    ):
        self.fleet = fleet
        self.entry_ids = entry_ids
        self.work_ms = work_ms
        self.sent: list[SentRequest] = []
        self.stop_requested = threading.Event()
        self.run_id = time.monotonic_ns()
        self.threads = [
            threading.Thread(target=self._send_all, args=(entry_id,))
            for entry_id in entry_ids
        ]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stops all threads and waits for the last responses."""
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def find_violations(self, killed: set[str], stopped: set[str]) -> list[str]:
        """Returns descriptions of all responses that violate a guarantee.

        Args:
            killed: Entries that were killed; their connections may fail.
            stopped: Entries that were stopped gracefully; they may refuse
                connections, but respond to every request that they have read.
        """
        ids = [sent.request_id for sent in self.sent]
        runs = self.fleet.backend("runs", {"ids": ids})
        violations = []
        for sent in self.sent:
            violation = _describe_violation(sent, runs[sent.request_id])
            if sent.response.status == 0 and sent.entry_id in killed:
                violation = ""
            if sent.response.status == 0 and sent.entry_id in stopped:
                # A connection that was never accepted is reset.
                violation = violation if runs[sent.request_id] else ""
            if violation:
                violations.append(
                    f"{sent.entry_id} {sent.request_id}: {violation}"
                )
        vms = self.fleet.backend("state")["vms"]
        violations += [
            f"{vm['vm_id']}: interrupted requests"
            for vm in vms
            if vm["cut_off"]
        ]
        return violations

    def count(self, outcome: str, entry_ids: list[str] | None = None) -> int:
        """Returns the number of responses with an outcome."""
        return sum(
            sent.response.outcome == outcome
            for sent in self.sent
            if entry_ids is None or sent.entry_id in entry_ids
        )

    def _send_all(self, entry_id: str) -> None:
        for number in itertools.count():
            if self.stop_requested.is_set():
                return
            self._send(entry_id, number)
            time.sleep(REQUEST_INTERVAL_S)

    def _send(self, entry_id: str, number: int) -> None:
        request_id = f"{self.run_id}-{entry_id}-{number}"
        has_key = number % 2 == 1
        headers = {
            "Baobabdoor-Pool": POOLS[number // 2 % len(POOLS)],
            "Baobabdoor-Caller": "sailors",
            "X-Request-Id": request_id,
            "Standin-Work-Ms": str(self.work_ms),
        }
        if has_key:
            headers["Idempotency-Key"] = request_id
        started_s = time.monotonic()
        response = self.fleet.send(
            entry_id,
            f"/race/{number}",
            headers,
            "POST" if has_key else "GET",
            b"boat" if has_key else None,
        )
        self.sent.append(
            SentRequest(entry_id, request_id, has_key, response, started_s)
        )


def _describe_violation(sent: SentRequest, runs: int) -> str:
    response = sent.response
    if response.outcome == "done":
        echoed_id = response.json()["request_id"]
        if response.status != 200 or echoed_id != sent.request_id:
            return f"received the response to {echoed_id}"
    if response.outcome == "not-run" and runs:
        return f"refused as not run, but ran {runs} times"
    if response.status == 0:
        return f"no response: {response.error}"
    if response.outcome not in ("done", "not-run", "unknown"):
        return f"outcome {response.outcome!r}, status {response.status}"
    if sent.has_key and runs > 1:
        return f"non-idempotent, but ran {runs} times"
    return ""

"""Callers that send requests all the time, and the check of their answers."""

import itertools
import threading
import time

import attrs
import harness

POOLS = ("results-desk", "handicap-desk", "regatta-desk", "jury-desk")
PAUSE_S = 0.02


@attrs.frozen
class Sent:
    """One request and its answer.

    Attributes:
        entry_id: Entry that it was sent to.
        request_id: Identifier that the backend server echoes.
        keyed: Whether it is non-idempotent work with the caller's own key.
        answer: What the caller got.
        started_s: Monotonic time at which it was sent.
    """

    entry_id: str
    request_id: str
    keyed: bool
    answer: harness.Answer
    started_s: float


class Traffic:
    """One thread for each entry; every second request is keyed work.

    Args:
        fleet: The processes.
        entry_ids: Entries to send to.
        work_ms: Run time of a request in milliseconds. Default: 20.
    """

    def __init__(
        self, fleet: harness.Fleet, entry_ids: list[str], work_ms: int = 20
    ):
        self.fleet = fleet
        self.entry_ids = entry_ids
        self.work_ms = work_ms
        self.sent: list[Sent] = []
        self.stopping = threading.Event()
        self.run_id = time.monotonic_ns()
        self.threads = [
            threading.Thread(target=self._send_all, args=(entry_id,))
            for entry_id in entry_ids
        ]

    def start(self) -> None:
        """Starts to send."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stops and waits for the last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def problems(self, killed: set[str], stopped: set[str]) -> list[str]:
        """Returns every answer that breaks a promise.

        Args:
            killed: Entries that were killed; their connections may break.
            stopped: Entries that were asked to stop; they may refuse
                connections, but answer every request that they have read.
        """
        ids = [sent.request_id for sent in self.sent]
        runs = self.fleet.backend("runs", {"ids": ids})
        found = []
        for sent in self.sent:
            problem = _problem(sent, runs[sent.request_id])
            if sent.answer.status == 0 and sent.entry_id in killed:
                problem = ""
            if sent.answer.status == 0 and sent.entry_id in stopped:
                # A connection that was never accepted is reset.
                problem = problem if runs[sent.request_id] else ""
            if problem:
                found.append(f"{sent.entry_id} {sent.request_id}: {problem}")
        vms = self.fleet.backend("state")["vms"]
        found += [f"{vm['vm_id']}: cut off" for vm in vms if vm["cut_off"]]
        return found

    def count(self, outcome: str, entry_ids: list[str] | None = None) -> int:
        """Returns the number of answers with an outcome."""
        return sum(
            sent.answer.outcome == outcome
            for sent in self.sent
            if entry_ids is None or sent.entry_id in entry_ids
        )

    def _send_all(self, entry_id: str) -> None:
        for number in itertools.count():
            if self.stopping.is_set():
                return
            self._send(entry_id, number)
            time.sleep(PAUSE_S)

    def _send(self, entry_id: str, number: int) -> None:
        request_id = f"{self.run_id}-{entry_id}-{number}"
        keyed = number % 2 == 1
        headers = {
            "Baobabdoor-Pool": POOLS[number // 2 % len(POOLS)],
            "Baobabdoor-Caller": "sailors",
            "X-Request-Id": request_id,
            "Standin-Work-Ms": str(self.work_ms),
        }
        if keyed:
            headers["Idempotency-Key"] = request_id
        started_s = time.monotonic()
        answer = self.fleet.send(
            entry_id,
            f"/race/{number}",
            headers,
            "POST" if keyed else "GET",
            b"boat" if keyed else None,
        )
        self.sent.append(Sent(entry_id, request_id, keyed, answer, started_s))


def _problem(sent: Sent, runs: int) -> str:
    answer = sent.answer
    if answer.outcome == "done":
        echoed = answer.json()["request_id"]
        if answer.status != 200 or echoed != sent.request_id:
            return f"got the answer to {echoed}"
    if answer.outcome == "not-run" and runs:
        return f"refused as not run, but ran {runs} times"
    if answer.status == 0:
        return f"lost: {answer.error}"
    if answer.outcome not in ("done", "not-run", "unknown"):
        return f"outcome {answer.outcome!r}, status {answer.status}"
    if sent.keyed and runs > 1:
        return f"non-idempotent, but ran {runs} times"
    return ""

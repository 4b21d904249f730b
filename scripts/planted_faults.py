"""Mutation tests: injects faults into the sources and checks that tests fail.

usage: python scripts/planted_faults.py

Works on a copy of the sources. Covers the guarantees whose properties are not
tested with a faulty variant in a test. Prints one line per fault; exits with
status 1 if a fault survives.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).parents[1]
TIMEOUT_S = 180


@attrs.frozen
class Fault:
    """Mutation of one source file that at least one test must reject.

    Attributes:
        guarantee: Number of the guarantee in docs/GUARANTEES.md.
        name: What the fault does.
        path: File below `baobabdoor/`.
        old: Text to replace.
        new: Replacement.
        tests: Test files to run, of which one must fail.
    """

    guarantee: int
    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...] = (
        "test_entry_server.py",
        "test_entry_input.py",
        "test_entry_stops.py",
    )


FAULTS = (
    Fault(
        3,
        "partial answers are passed on",
        "entry/_backend_client.py",
        "if not reader.complete or not reader.has_defined_length(self.method):",
        "if False:",
    ),
    Fault(
        3,
        "abandoned connections stay open",
        "entry/_backend_client.py",
        'fails its exchange."""\n        self.close()\n',
        'fails its exchange."""\n',
    ),
    Fault(
        4,
        "an exchange forgets that it was sent",
        "requests/_exchange.py",
        "        self.ever_sent = True\n",
        "        self.ever_sent = False\n",
        ("test_requests.py",),
    ),
    Fault(
        4,
        "a send is not noted",
        "entry/_backend_client.py",
        "        exchange.observe(requests.Progress.SENT)\n",
        "",
    ),
    Fault(
        5,
        "non-idempotent requests are retried",
        "entry/_forwarder.py",
        "exchange.may_retry(request.info.idempotent)",
        "exchange.may_retry(True)",
    ),
    Fault(
        6,
        "leaving marks are ignored",
        "control/_fleet_view.py",
        "if self.leaving_vms.is_leaving(vm_id, row.boot_id, now_s):",
        "if False:",
        ("test_control_service.py",),
    ),
    Fault(
        6,
        "a 503 that closes the connection is no mark",
        "entry/_backend_client.py",
        "closing_503=closing and response.status == LEAVING_STATUS",
        "closing_503=False",
    ),
    Fault(
        7,
        "a stop does not wait for requests",
        "entry/_shutdown.py",
        "        await self._wait_for(self._callers_answered)\n",
        "",
    ),
    Fault(
        9,
        "a lease is taken for ended too early",
        "scheduling/_lease.py",
        "CLOCK_DRIFT_FACTOR = 1.025\n",
        "CLOCK_DRIFT_FACTOR = 0.5\n",
        ("test_soak_leases.py",),
    ),
    Fault(
        9,
        "leases that other orders have given are ignored",
        "scheduling/_lease.py",
        "return max(self.own_end_s, self.foreign_end_s)",
        "return self.own_end_s",
        ("test_soak_leases.py",),
    ),
    Fault(
        9,
        "a worker gets starts where the roster does not list it",
        "scheduling/_worker.py",
        "return stored.count(self.roster_entry) == len(stored)",
        "return self.maybe_enrolled",
        ("test_soak_leases.py",),
    ),
)


def rejects(copy: pathlib.Path, fault: Fault) -> bool:
    """Returns whether a test fails with the injected fault."""
    source = copy / "baobabdoor" / fault.path
    text = source.read_text()
    if text.count(fault.old) == 0:
        raise ValueError(
            f"{fault.path}: text to replace for {fault.name!r} not found"
        )
    source.write_text(text.replace(fault.old, fault.new))
    tests = [f"tests/{name}" for name in fault.tests]
    try:
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-n", "4", *tests],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    finally:
        source.write_text(text)
    # A collection error does not count, only a failed test.
    return b"FAILED tests/" in result.stdout


def main() -> int:
    """Prints for each fault whether the tests reject it."""
    survivors = 0
    with tempfile.TemporaryDirectory() as directory:
        copy = pathlib.Path(directory) / "copy"
        ignored = shutil.ignore_patterns(".venv", ".git", "run", "build")
        shutil.copytree(ROOT, copy, ignore=ignored)
        for fault in FAULTS:
            rejected = rejects(copy, fault)
            survivors += not rejected
            verdict = "rejected" if rejected else "SURVIVED"
            print(f"guarantee {fault.guarantee}: {fault.name}: {verdict}")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())

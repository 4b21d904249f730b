"""Tests of daemons with entries of other programs in the list of workers.

An entry that describes no worker must cost only itself. Daemons run as separate
processes, as in the soak test, which provides the platform and the oracle.
"""

import asyncio
import signal
import time

import foreign_entries
import pytest
import soak
import soak_faults

from baobabdoor import dispatch
from baobabdoor import platform

SEED = 1010
SECONDS = 5.0
# Time after which all workers run tasks.
RUNNING_DELAY_S = 1.5


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

    async def _restart_workers(self) -> None:
        pass

    def _at_worker(self, entries: dict[str, bytes]) -> dict[str, bytes]:
        address = self.simulator.worker_address(0)
        return {
            key: foreign_entries.at_worker(value, address)
            for key, value in entries.items()
        }

    async def _inject_faults(self) -> None:
        end_s = self.end_s
        self.simulator.foreign_entries = dict(self.entries)
        self.simulator.foreign_machines = list(self.machines)
        if self.rows:
            daemons = (
                f"daemon {number}" for number in range(soak_faults.DAEMONS)
            )
            with self.disruptions.span(*daemons):
                await self._write_rows()
            # The start of processes is slow on a busy machine.
            end_s = max(end_s, time.monotonic() + SECONDS / 2)
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
        assert "follower_failed" not in self.logs()
        assert "tenure_failed" not in self.logs()

    def logs(self) -> str:
        """Returns the logs of all daemons."""
        return "".join(
            daemon.log.read_text("utf-8", "replace") for daemon in self.daemons
        )


def run(folder, **added) -> ForeignEntrySoak:
    """Runs daemons with rows and entries of other programs."""
    foreign_soak = ForeignEntrySoak(folder, **added)
    asyncio.run(foreign_soak.run())
    return foreign_soak


class TestDaemons:
    """Each row and entry ended leaders again and again, or might have."""

    def test_list_of_workers(self, tmp_path):
        run(tmp_path, entries=dict(foreign_entries.ENTRIES.values())).check()

    @pytest.mark.parametrize("worker_id", foreign_entries.REPLACED)
    def test_entry_that_replaces_that_of_a_worker(self, worker_id, tmp_path):
        """The worker counted as restarted, and its tasks ran twice."""
        run(
            tmp_path, replaced={worker_id: foreign_entries.REPLACED[worker_id]}
        ).check()

    def test_list_of_machines(self, tmp_path):
        foreign_soak = run(tmp_path, machines=foreign_entries.MACHINES)
        foreign_soak.check()
        logs = foreign_soak.logs()
        assert "machine_entry_ignored" in logs
        assert "machines_not_listed" not in logs

    def test_unreadable_list_of_machines(self, tmp_path):
        machines = foreign_entries.UNREADABLE_MACHINES
        foreign_soak = run(tmp_path, machines=machines)
        foreign_soak.check()
        assert "machines_not_listed" in foreign_soak.logs()

    def test_rows_that_a_new_leader_reads(self, tmp_path):
        run(tmp_path, rows=foreign_entries.ROWS).check()

"""Tests of `store ...` and of `config check` with a daemon's settings."""

import asyncio
import json

import pytest

from baobabdoor import dispatch
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.cli import _config_commands
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes
from baobabdoor.cli import _store_commands
from baobabdoor.dispatch import _election
from baobabdoor.standin import _row_store

JOB = "00000000000000a7"


class StoreFixture:
    """Store with rows that a leader has written, and a command runner."""

    def __init__(self):
        self.store = _row_store.MemoryRowStore()
        leader = _election.Leader("entry-1", "x", "10.0.0.1:7060", 3, False, 0)
        self.put(dispatch.LEADER_TABLE, dispatch.LEADER_KEY, leader.encode())
        job = scheduling.Job(
            scheduling.JobSpec(
                JOB, "race", "text", (scheduling.StepSpec(2, cpu_milli=100),)
            ),
            0,
        )
        job.complete_task(job.find_task(0, 0, 1))
        self.put(dispatch.JOBS_TABLE, JOB, job.encode())
        roster = {"w9": ["10.0.0.9:1", "results", "z", 1, "m9"]}
        self.put(dispatch.ROSTER_TABLE, "workers", json.dumps(roster).encode())
        wave = {"began_ms": 1, "machines": {"m1": ["done", ""]}}
        self.put(dispatch.WAVES_TABLE, "4", json.dumps(wave).encode())

    def put(self, table, key, value):
        self.store.version += 1
        row_key = (table, dispatch.PART, key)
        self.store.rows[row_key] = platform.StoredRow(
            *row_key, value, self.store.version
        )

    def run(self, command, *arguments):
        context = _context.Context(None, True, "ana", store=self.store)
        return asyncio.run(command(context, arguments))


class TestStoreCommands:

    def show(self, capsys, command, *arguments):
        assert (
            StoreFixture().run(command, *arguments) is _exit_codes.ExitCode.DONE
        )
        return json.loads(capsys.readouterr().out)

    def test_owner_shows_the_leader_and_its_token(self, capsys):
        leader = self.show(capsys, _store_commands.store_leader)
        assert (leader["node"], leader["token"]) == ("entry-1", 1)

    def test_job_shows_its_state_and_steps(self, capsys):
        job = self.show(capsys, _store_commands.store_job, JOB)
        assert job["state"] == "queued"
        assert job["steps"] == [
            {"step": "0.0", "tasks": 2, "done": 1, "failed_runs": 0}
        ]

    def test_jobs_are_counted_by_queue_and_state(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_jobs)
        assert row == {"queue": "race", "state": "queued", "jobs": 1}

    def test_enrolled_worker_missing_from_the_list_is_shown(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_workers)
        assert (row["worker"], row["state"]) == ("w9", "unlisted")

    def test_unreadable_entry_is_shown(self, capsys):
        fixture = StoreFixture()
        key = (platform.WORKERS_TABLE, "", "w9")
        fixture.store.rows[key] = platform.StoredRow(*key, b"[", 1)
        fixture.run(_store_commands.store_workers)
        (row,) = json.loads(capsys.readouterr().out)
        assert (row["state"], row["enrolled"]) == ("unreadable", "yes")

    def test_machines_of_waves_are_counted_by_phase(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_waves)
        assert row == {"wave": "4", "intended": 0, "down": 0, "done": 1}

    def test_unknown_job_is_an_error(self):
        with pytest.raises(_exit_codes.CommandError, match="no such job"):
            StoreFixture().run(_store_commands.store_job, "00000000000000b8")

    def test_unreachable_store_is_an_error(self):
        fixture = StoreFixture()
        fixture.store.reachable = False
        with pytest.raises(_exit_codes.CommandError) as caught:
            fixture.run(_store_commands.store_leader)
        assert caught.value.code is _exit_codes.ExitCode.UNREACHABLE

    def test_missing_address_is_an_error(self):
        context = _context.Context(None, True, "ana")
        with pytest.raises(_exit_codes.CommandError, match="--store"):
            asyncio.run(_store_commands.store_leader(context, ()))


class TestDaemonSettings:

    def check(self, tmp_path, text):
        path = tmp_path / "boot.yaml"
        path.write_text(text)
        context = _context.Context(None, True, "ana")
        command = _config_commands.config_check
        return asyncio.run(command(context, (str(path),)))

    def test_valid_settings_are_accepted(self, tmp_path, capsys):
        text = (
            "node-name: e1\nzone: taal\nip: 10.0.0.1\n"
            "internal-port-range: [7060, 7075]\n"
            "platform: {address: '10.0.0.7:80'}\n"
        )
        assert self.check(tmp_path, text) is _exit_codes.ExitCode.DONE
        assert json.loads(capsys.readouterr().out)["node"] == "e1"

    def test_error_names_file_and_field(self, tmp_path):
        with pytest.raises(
            _exit_codes.CommandError, match=r"boot\.yaml: .*expected"
        ):
            self.check(tmp_path, "node-name: e1\nzone: 7\n")

"""Tests of `store ...` and of checking a daemon's settings."""

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


class Shop:
    """A store with what a holder has written."""

    def __init__(self):
        self.store = _row_store.MemoryRowStore()
        holder = _election.Leader("entry-1", "x", "10.0.0.1:7060", 3, False, 0)
        self.put(dispatch.LEADER_TABLE, dispatch.LEADER_KEY, holder.encode())
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
        place = (table, dispatch.PART, key)
        self.store.rows[place] = platform.StoredRow(
            *place, value, self.store.version
        )

    def run(self, command, *arguments):
        context = _context.Context(None, True, "ana", store=self.store)
        return asyncio.run(command(context, arguments))


class TestStoreCommands:

    def show(self, capsys, command, *arguments):
        assert Shop().run(command, *arguments) is _exit_codes.ExitCode.DONE
        return json.loads(capsys.readouterr().out)

    def test_the_owner_with_its_token(self, capsys):
        owner = self.show(capsys, _store_commands.store_owner)
        assert (owner["node"], owner["token"]) == ("entry-1", 1)

    def test_one_job_with_its_steps(self, capsys):
        job = self.show(capsys, _store_commands.store_job, JOB)
        assert job["state"] == "queued"
        assert job["steps"] == [
            {"step": "0.0", "tasks": 2, "done": 1, "failed_runs": 0}
        ]

    def test_jobs_are_counted_by_queue_and_state(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_jobs)
        assert row == {"queue": "race", "state": "queued", "jobs": 1}

    def test_an_enrolled_worker_that_is_not_listed_is_shown(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_workers)
        assert (row["worker"], row["state"]) == ("w9", "unlisted")

    def test_waves_by_phase(self, capsys):
        (row,) = self.show(capsys, _store_commands.store_waves)
        assert row == {"wave": "4", "intended": 0, "down": 0, "done": 1}

    def test_an_unknown_job_is_an_error(self):
        with pytest.raises(_exit_codes.CommandError, match="no such job"):
            Shop().run(_store_commands.store_job, "00000000000000b8")

    def test_a_store_that_does_not_answer_is_an_error(self):
        shop = Shop()
        shop.store.reachable = False
        with pytest.raises(_exit_codes.CommandError) as caught:
            shop.run(_store_commands.store_owner)
        assert caught.value.code is _exit_codes.ExitCode.UNREACHABLE

    def test_a_missing_address_is_an_error(self):
        context = _context.Context(None, True, "ana")
        with pytest.raises(_exit_codes.CommandError, match="--store"):
            asyncio.run(_store_commands.store_owner(context, ()))


class TestDaemonSettings:

    def check(self, tmp_path, text):
        path = tmp_path / "boot.yaml"
        path.write_text(text)
        context = _context.Context(None, True, "ana")
        command = _config_commands.config_check
        return asyncio.run(command(context, (str(path),)))

    def test_settings_of_a_daemon_are_checked(self, tmp_path, capsys):
        text = (
            "node-name: e1\nzone: taal\nip: 10.0.0.1\n"
            "internal-port-range: [7060, 7075]\n"
            "platform: {address: '10.0.0.7:80'}\n"
        )
        assert self.check(tmp_path, text) is _exit_codes.ExitCode.DONE
        assert json.loads(capsys.readouterr().out)["node"] == "e1"

    def test_an_error_names_file_and_field(self, tmp_path):
        with pytest.raises(
            _exit_codes.CommandError, match=r"boot\.yaml: .*expected"
        ):
            self.check(tmp_path, "node-name: e1\nzone: 7\n")

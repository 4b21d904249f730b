"""Tests of rows that must not stop the commits of a term."""

import pytest
import scheduling_fixtures
import test_dispatch_commits

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.scheduling import _maintenance

JOB = "00000000000000ee"


class TestRoster:

    def load(self, bench, contents):
        for key, value in contents.items():
            bench.store.version += 1
            row = platform.StoredRow(
                _commits.ROSTER_TABLE,
                _election.PART,
                key,
                value,
                bench.store.version,
            )
            bench.store.rows[row.table, row.part, row.key] = row
            try:
                bench.committer.load_roster(row)
            except Exception as error:
                assert isinstance(error, ValueError)

    def test_unreadable_row_does_not_end_commits(self):
        """Guards against a term that ends at its first large commit."""
        bench = test_dispatch_commits.Bench(
            workers=[f"w{number}" for number in range(60)]
        )
        self.load(bench, {f"{number:02d}": b"{}" for number in range(15)})
        self.load(bench, {"15": b"["})
        for number in range(45):
            bench.submit(f"{number:016x}")
        for _ in range(10):
            bench.write()

    def test_unreadable_row_is_not_replaced_while_its_workers_may_run(self):
        """Guards against a next leader that does not wait for these workers."""
        bench = test_dispatch_commits.Bench()
        self.load(bench, {"07": b'{"w9": [1, 2, 3, 4, 5]}'})
        bench.fleet.scheduler.unfenced.add("roster row 07")
        bench.write()
        assert bench.roster()["07"] != {}


class TestJobRows:

    def test_a_row_of_a_job_with_all_fields_is_loaded(self):
        step = scheduling.StepSpec(
            3,
            cpu_milli=1,
            memory_mb=2,
            gpus=3,
            estimate_ms=4,
            checkpointing=True,
            gang=True,
            rack_sensitive=True,
            required_label="a",
            data_rack="b",
            max_per_worker=1,
            speculative=True,
            long_running=True,
            image="i",
            target_ms=5,
            fills=True,
            max_unavailable=1,
        )
        fleet = scheduling_fixtures.Fleet()
        job = fleet.submit(
            JOB,
            [step, scheduling.StepSpec(1, after=(0,))],
            repeat_count=2,
            start_at_ms=-5,
            interval_ms=-7,
        )
        again = scheduling.decode_job(JOB, job.encode(), 1)
        assert again.spec == job.spec


class TestWaves:

    def test_plan_of_a_large_wave_fits_into_a_row(self):
        """Guards against a row that the store refuses for ever."""
        names = tuple(f"machine-{number:05d}" for number in range(2000))
        plan = _maintenance.WavePlan(scheduling.Wave(1, names, 60.0, 10), 0.0)
        for number, target in enumerate(plan.targets.values()):
            target.phase = _maintenance.Phase.DONE
            target.worker_id = f"worker-{number:012x}"
        assert len(plan.encode()) <= 65_536

    def test_such_a_plan_does_not_stop_the_commits_of_jobs(self):
        """Guards against commits that are all refused."""
        bench = test_dispatch_commits.Bench()
        names = tuple(f"machine-{number:05d}" for number in range(2000))
        maintenance = bench.fleet.scheduler.maintenance
        maintenance.observe_wave(scheduling.Wave(1, names, 60.0, 10))
        for number, target in enumerate(maintenance.plans[1].targets.values()):
            target.phase = _maintenance.Phase.DONE
            target.worker_id = f"worker-{number:012x}"
        job = bench.submit()
        for _ in range(5):
            bench.write()
        assert job.stored_state is scheduling.JobState.QUEUED


class TestKeysOfJobRows:

    def test_a_job_whose_identifier_has_a_dot_costs_no_runs_of_others(self):
        """Guards against a row that ends the runs of worker after worker.

        The name of its task is not found, so the report with its end fails,
        and the leases of the worker are no longer renewed.
        """
        fleet = scheduling_fixtures.Fleet(["w1"])
        row = fleet.submit(
            JOB, [scheduling.StepSpec(1, cpu_milli=500)]
        ).encode()
        with pytest.raises(ValueError):
            fleet.scheduler.load_job("a.b", row, 1)
        orders = fleet.accept(fleet.starts())
        for order in orders:
            if order.task.startswith("a.b"):
                fleet.end(order.worker_id, order.task, order.run_id)
        fleet.advance(1.0)


class TestSizeOfTransactions:

    def test_a_large_roster_beside_large_jobs_is_written(self):
        """Guards against a transaction that the store refuses for ever."""
        bench = test_dispatch_commits.Bench(workers=())
        for number in range(3500):
            bench.fleet.add_worker(
                f"worker-{number:012x}",
                address=f"10.20.{number // 250}.{number % 250}:18600",
                zone="zone-luzon-north",
                machine=f"machine-{number:012x}",
                start_time_ms=1796447221438,
            )
            worker = bench.fleet.scheduler.workers[f"worker-{number:012x}"]
            worker.start_time_ms = 1796447221438
            worker.fenced = True
        jobs = [
            test_dispatch_commits.TestSizeLimits().submit_steps(
                bench, f"{number:016x}", 600
            )
            for number in range(15)
        ]
        for _ in range(5):
            bench.write()
        assert {job.stored_state for job in jobs} == {
            scheduling.JobState.QUEUED
        }

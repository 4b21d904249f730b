"""Tests of the soak: a short run from a seed, and planted faults."""

import asyncio
import signal

import pytest
import soak

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

SEED = 1002
JOB = "00000000000000f1"
TASK = f"{JOB}.0.0.0"


class ForgetfulSoak(soak.Soak):
    """The store loses all jobs and the daemons are killed."""

    async def _disturb(self, end_s: float) -> None:
        await asyncio.sleep(1.5)
        rows = self.world.store.rows
        for key in [key for key in rows if key[0] == "jobs"]:
            del rows[key]
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
            await daemon.restart(0.0)


class TestRuns:

    def test_no_rule_is_broken_in_a_short_run(self, tmp_path):
        played = soak.play(SEED, 6.0, tmp_path)
        assert not played.oracle.violations, soak.report(SEED, played)
        assert played.accepted
        assert played.faults

    def test_a_store_that_forgets_jobs_is_noticed(self, tmp_path):
        async def story():
            played = ForgetfulSoak(SEED + 1, 6.0, tmp_path)
            return await played.run()

        assert "LOST" in {broken.rule for broken in asyncio.run(story())}


class TestOracle:
    """Each promise is shown to be checked by a planted fault."""

    @pytest.fixture
    def played(self, tmp_path):
        played = soak.Soak(SEED + 2, 1.0, tmp_path)
        played.specs[JOB] = scheduling.JobSpec(
            JOB, "race", "", (scheduling.StepSpec(1, cpu_milli=100),)
        )
        return played

    def rules(self, played):
        return {broken.rule for broken in played.oracle.violations}

    def start(self, played, token=1):
        worker = next(iter(played.workers.values()))
        now_s = platform.boot_time_s()
        run = _worker_model.ModelRun(TASK, token, now_s, 1.0, False)
        worker.runs[TASK] = run
        played.oracle.on_start(worker, run, now_s)

    def test_a_refused_job_that_starts(self, played):
        self.start(played)
        played._judge()
        assert self.rules(played) == {"REFUSED"}

    def test_a_job_without_an_answer_may_start(self, played):
        self.start(played)
        played.doubtful.add(JOB)
        played._judge()
        assert not self.rules(played)

    def test_an_accepted_job_that_does_not_end(self, played):
        played.accepted.add(JOB)
        played._judge()
        assert self.rules(played) == {"LOST"}

    def test_a_start_long_after_the_cancel(self, played):
        now_s = platform.boot_time_s()
        played.cancelled[JOB] = now_s - soak.CANCEL_LIMIT_S - 1
        self.start(played)
        assert self.rules(played) == {"UNASKED"}

    @pytest.mark.parametrize(
        ("state", "rule"),
        [("completed", "MIXED"), ("failed", "LOST"), ("cancelled", "LOST")],
    )
    def test_a_final_state_without_cause(self, played, state, rule):
        played._observe_state(JOB, state)
        assert self.rules(played) == {rule}

    def test_a_final_state_that_changes(self, played):
        played.oracle.done.add(TASK)
        played._observe_state(JOB, "completed")
        played._observe_state(JOB, "running")
        assert self.rules(played) == {"MIXED"}

    def test_a_request_cut_by_a_planned_stop_alone(self, played):
        now_s = platform.boot_time_s()
        played.disturbed_s[0] = now_s - 60
        played.daemons[0].stopping = True
        played._judge_cut(0, JOB, now_s - 1.0)
        assert self.rules(played) == {"LOST"}

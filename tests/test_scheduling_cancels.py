"""Tests that no task of a cancelled job runs on once the faults are over."""

import random

import pytest

from baobabdoor.standin import _walk

# Duration of one period with faults and one without, and their number.
PERIOD_S = 22.0
QUIET_S = 12.0
PERIODS = 3
SEEDS = range(16)
# Rates in each time step at which a job is cancelled while it is active, and
# after it has ended.
ACTIVE_CANCEL_RATE = 0.006
ENDED_CANCEL_RATE = 0.06
# Share of cancels outside quiet periods after which the leader is killed: the
# cancel is stored, and no stop was sent.
KILL_SHARE = 0.2
# Rate in each time step at which a job is submitted in a quiet period.
QUIET_SUBMIT_RATE = 0.05
# Share of runs that take longer than a lease, and bounds of their duration.
LONG_RUN_SHARE = 0.3
LONG_RUN_RANGE_S = (3.0, 15.0)
# Time after which daemons and workers count as undisturbed, also after a start
# that was carried out late, and the time that the platform then allows to stop
# a task of a cancelled job.
CONTACT_S = 3.0
STOP_S = 3.0 + 0.4


class CancellingWalk(_walk.Walk):
    """Walk with cancels around the ends of jobs and with quiet periods."""

    def __init__(self, seed, inject_fault=None):
        self.cancel_random = random.Random(f"{seed}-cancels")
        self.duration_random = random.Random(f"{seed}-durations")
        self.quiet_since_s = None
        # Time at which the cancel of a job was stored.
        self.cancelled_s = {}
        self.unconfirmed = {}
        super().__init__(seed, inject_fault)

    def _make_run(self, order, now_s):
        run = super()._make_run(order, now_s)
        if self.duration_random.random() < LONG_RUN_SHARE:
            run.duration_s = self.duration_random.uniform(*LONG_RUN_RANGE_S)
        return run

    def _inject_events(self):
        if (self.now_s - _walk.START_S) % PERIOD_S < PERIOD_S - QUIET_S:
            self.quiet_since_s = None
            super()._inject_events()
        else:
            self._keep_quiet()
        self._cancel_jobs()
        self._check_runs()

    def _keep_quiet(self):
        if self.quiet_since_s is None:
            self.quiet_since_s = self.now_s
            self.store_available = True
            self.order_loss_rate = self.response_loss_rate = 0.0
            self.partitioned_until_s.clear()
        self._send_heartbeats()
        if self.cancel_random.random() < QUIET_SUBMIT_RATE:
            self._submit()

    def _cancel_jobs(self):
        leader = self.leaders[-1]
        for job_id, job in list(leader.scheduler.jobs.items()):
            rate = ENDED_CANCEL_RATE if job.final else ACTIVE_CANCEL_RATE
            known = job_id in self.cancelled_s or job_id in self.unconfirmed
            if not known and self.cancel_random.random() < rate:
                leader.scheduler.cancel(job_id)
                self.unconfirmed[job_id] = (leader, job)
                self._kill_leader_at_times()
        for job_id, (receiver, job) in list(self.unconfirmed.items()):
            if receiver is not leader:
                # The next leader may not know of it, and its caller got no
                # confirmation.
                del self.unconfirmed[job_id]
            elif not job.dirty:
                del self.unconfirmed[job_id]
                self.cancelled_s[job_id] = self.now_s

    def _kill_leader_at_times(self):
        leader = self.leaders[-1]
        killable = self.store_available and self.quiet_since_s is None
        if killable and self.cancel_random.random() < KILL_SHARE:
            leader._commit()
            leader.stopped = True

    def _check_runs(self):
        if self.quiet_since_s is None:
            return
        for model in self.workers.values():
            for run in model.runs.values():
                cancelled_s = self.cancelled_s.get(run.task.split(".")[0])
                if cancelled_s is None:
                    continue
                undisturbed_s = max(self.quiet_since_s, run.started_s)
                since_s = max(cancelled_s, undisturbed_s + CONTACT_S)
                if self.now_s - since_s > STOP_S:
                    self.oracle.add_violation(
                        "UNASKED", self.now_s, f"{run.task} runs on"
                    )


def keep_runs_of_ended_jobs(scheduler):
    """Ends jobs without stopping their runs."""
    finish = scheduler.finish_job

    def patched(job, state, reason):
        finish(job, state, reason)
        for task in job.tasks():
            if task.run is not None:
                task.run.stopping = False

    scheduler.finish_job = patched


class ForgetfulDict(dict):
    """Mapping that keeps nothing."""

    def setdefault(self, key, default=None):
        return default


def forget_unneeded_runs(scheduler):
    """Does not stop reported runs that no task needs."""
    scheduler.unneeded_runs = ForgetfulDict()


class TestCancels:

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_task_of_a_cancelled_job_runs_on(self, seed):
        walk = CancellingWalk(seed)
        assert not walk.run(PERIODS * PERIOD_S), f"seed {seed}"
        assert len(walk.cancelled_s) > 20

    @pytest.mark.parametrize(
        "plant", [keep_runs_of_ended_jobs, forget_unneeded_runs]
    )
    def test_the_oracle_rejects_a_planted_fault(self, plant):
        for seed in range(60):
            walk = CancellingWalk(seed, plant)
            end_s = walk.now_s + PERIODS * PERIOD_S
            while violations := walk.run(end_s - walk.now_s):
                if violations[0].rule == "UNASKED":
                    return
                # The runs that go on also bring workers over their capacity.
                violations.clear()
        pytest.fail(f"{plant.__name__} was not found in 60 walks")

"""Tests of the check at the end of a random walk, with planted faults.

Walks noticed neither a leader that does not know an accepted job nor a state
that was shown and then changed, because they never asked for states.
"""

import pytest

from baobabdoor import scheduling
from baobabdoor.standin import _walk

SECONDS = 30
SEED = 3


def forget_ended_jobs(scheduler):
    """Forgets jobs as soon as their end is stored."""
    finish = scheduler.finish_commit

    def patched(snapshot, version):
        finish(snapshot, version)
        for job, _ in snapshot.jobs:
            if job.final:
                scheduler.jobs.pop(job.spec.job_id, None)

    scheduler.finish_commit = patched


def show_ends_as_running(scheduler):
    """Shows ended jobs in an earlier state."""
    scheduler.visible_state = lambda job: scheduling.JobState.RUNNING


class ForgettingStore(dict):
    """Rows of jobs, without those that have ended."""

    def __setitem__(self, job_id, row):
        super().__setitem__(job_id, row)
        job = scheduling.decode_job(job_id, *row)
        if job.final:
            del self[job_id]


class OverwritingStore(dict):
    """Rows of jobs, of which those that have ended are shown as failed."""

    def __setitem__(self, job_id, row):
        content, version = row
        job = scheduling.decode_job(job_id, content, version)
        if job.final:
            job.state = scheduling.JobState.FAILED
            content = job.encode()
        super().__setitem__(job_id, (content, version))


class TestEnds:

    def test_walks_end_with_accepted_and_ended_jobs(self):
        walk = _walk.Walk(SEED)
        assert not walk.run(SECONDS)
        states = set(walk.oracle.stored_states.values())
        assert scheduling.JobState.COMPLETED in states
        assert states - set(scheduling.FINAL_STATES)

    def test_the_check_does_not_change_the_walk(self):
        checked, unchecked = _walk.Walk(SEED), _walk.Walk(SEED)
        unchecked._check_states = lambda: None
        for walk in (checked, unchecked):
            for _ in range(2):
                walk.run(SECONDS / 2)
        assert checked.random.getstate() == unchecked.random.getstate()
        assert checked.oracle.stored_states == unchecked.oracle.stored_states


class TestPlantedFaults:

    @pytest.mark.parametrize(
        ("fault", "rule"),
        [(forget_ended_jobs, "LOST"), (show_ends_as_running, "MIXED")],
    )
    def test_a_leader_that_cannot_tell_a_state(self, fault, rule):
        violations = _walk.Walk(SEED, fault).run(SECONDS)
        assert {violation.rule for violation in violations} == {rule}

    @pytest.mark.parametrize(
        ("store", "rule"),
        [(ForgettingStore, "LOST"), (OverwritingStore, "MIXED")],
    )
    def test_a_store_from_which_the_next_leader_cannot_tell_a_state(
        self, store, rule
    ):
        walk = _walk.Walk(SEED)
        walk.store = store()
        assert rule in {violation.rule for violation in walk.run(SECONDS)}

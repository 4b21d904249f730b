"""Tests of unreadable job rows in the project's own interface."""

import test_jobs_controller

from baobabdoor import fleet_api
from baobabdoor import jobs
from baobabdoor.jobs import _types


def submit(bench, job_id):
    spec = jobs.JobSpec(
        job_id,
        test_jobs_controller.TEAM,
        test_jobs_controller.POOL,
        "scoring",
        3,
        2,
        run_s=60.0,
        idempotent=True,
    )
    [result] = bench.run(bench.service.submit(spec))
    assert isinstance(result, jobs.Job)


def known_after_change(bad_row):
    """Returns how many of three jobs the next holder knows.

    The inbox is empty, since the previous holder has read the jobs.
    """
    bench = test_jobs_controller.Bench(jobs.JobController, jobs.JobService)
    try:
        for number in range(3):
            submit(bench, f"job-{number}")
        for _ in range(3):
            bench.step(0)
        if bad_row:
            key = _types.JOB_PREFIX + "job-00"
            bench.core.transact(
                [], [fleet_api.Write(key, {"spec": {"unknown": 1}})]
            )
        bench.take_control(1)
        for _ in range(20):
            bench.step(1)
        return len(bench.controllers[1].jobs_)
    finally:
        bench.close()


def test_the_next_holder_knows_all_jobs():
    assert known_after_change(bad_row=False) == 3


def test_an_unreadable_row_does_not_hide_the_jobs_after_it():
    """Guards against jobs that the next holder never starts or renews.

    The first step fails and leaves a part of the jobs; later steps take them
    for all.
    """
    assert known_after_change(bad_row=True) == 3

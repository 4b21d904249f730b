"""Stops gangs that have lost a member, so that they start again as a whole."""

from collections.abc import Sequence

from baobabdoor.scheduling import _job


def stop_incomplete_gangs(scheduler) -> None:
    """Marks the runs of gangs to be stopped that lack a member.

    A member that was refused, or whose start has no known result, does not
    come. The others would wait for it until they time out.
    """
    for job in scheduler.active.values():
        for key, tasks in job.steps.items():
            if job.spec.steps[key[1]].gang and job.remaining[key]:
                _stop_if_incomplete(scheduler, tasks)


def _stop_if_incomplete(scheduler, tasks: Sequence[_job.Task]) -> None:
    # Runs of an earlier term may not have been reported yet.
    if scheduler.inherited_blocked() and any(task.inherited for task in tasks):
        return
    staying = [
        task.run
        for task in tasks
        if task.run is not None and not task.run.stopping
    ]
    if len(staying) == len(tasks):
        return
    if any(
        run.task.spec.long_running and run.percent >= 100 for run in staying
    ):
        # A member of a gang at work was stopped on purpose, one at a time.
        return
    for run in staying:
        run.stopping = True
        scheduler.emit_run("run_given_up", run, reason="gang incomplete")

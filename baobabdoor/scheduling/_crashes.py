"""Attributes crashes of workers to the tasks that ran on them.

A run that ends with its worker leaves no record, so it does not count as a
failed attempt. To keep a task from crashing one worker after another, a crash
is held against the tasks that the worker ran, above all against those that it
had just started. A suspect starts next on a worker that starts nothing else,
or, if there are many, after its first crash only others of them (see
`_trials`), so that a further crash shows whether it is the cause. Then it is
given up, and the tasks that ran beside it are cleared.
"""

from collections.abc import Iterable
import math

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker

# Time after its start within which a task is taken to crash its worker if it
# does so at all.
TRIAL_S = 0.3
# Crashes after a start that certainly arrived after which a task is the cause,
# if its worker started nothing else before the last of them.
MAX_START_CRASHES = 2
# The same for crashes after starts that may not have arrived.
MAX_UNCERTAIN_START_CRASHES = 4
# Crashes at any time after which a task runs on a worker of its own, for one
# that crashes its workers later than at its start. If it was alone at the last
# of them, it is the cause.
ISOLATION_CRASHES = 3
# Crashes, after any start and at any time, after which a task is the cause in
# any case.
MAX_UNPROVEN_START_CRASHES = 5
MAX_UNPROVEN_CRASHES = 5
# A `long_running` task that has run this long does not cause a crash, and
# earlier crashes are no longer held against it.
PROBATION_S = 10.0
# Time for which the runs of a lost worker are kept until it is known whether
# the worker crashed or was partitioned from the leader.
MAX_UNRESOLVED_S = 30.0
# Maximum silence of a worker at the time at which its crash becomes known, for
# the crash to count as one right after a start: the interval and delay of the
# list of machines and a margin.
MAX_CRASH_DELAY_S = 2.0
# Maximum time until a start is sent, since starts wait for their turn.
MAX_SEND_DELAY_S = 0.4
# Time after which the list of machines certainly shows a crash.
LISTING_DELAY_S = 1.0


@attrs.frozen
class _Losses:
    """Tasks that ended with a worker.

    Attributes:
        crash_id: Identifies the incarnation of the worker.
        running: Tasks that it certainly ran.
        starting: Tasks that it had just started, or was to start.
    """

    crash_id: str
    running: frozenset[_job.Task]
    starting: frozenset[_job.Task]

    @property
    def tasks(self) -> frozenset[_job.Task]:
        """All tasks that may have caused a crash."""
        return self.running | self.starting


@attrs.frozen
class _LostWorker:
    """Runs of a silent worker that may have crashed.

    Attributes:
        machine: Its machine.
        losses: Tasks that ended with it if it has crashed.
        ended_s: Time at which the runs have ended in any case.
    """

    machine: str
    losses: _Losses
    ended_s: float


class CrashTracker:
    """Finds the tasks that crash their workers.

    Args:
        scheduler: Scheduler with the jobs and workers.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        # Unfinished tasks against which a crash is held.
        self.accused_tasks: set[_job.Task] = set()
        self.lost_workers: dict[str, list[_LostWorker]] = {}
        # Time of the newest plan.
        self.now_s = -math.inf

    def load(self, job: _job.Job) -> None:
        """Adds the suspects of a job of an earlier term, with their runs."""
        self.accused_tasks |= {task for task in job.tasks() if task.accused}
        ended_s = self.scheduler.inherited_until_s
        for task in job.tasks():
            if task.stored_trial is None:
                continue
            worker_id, start_time_ms, machine = task.stored_trial
            losses = _Losses(
                _crash_id(worker_id, start_time_ms),
                frozenset(),
                frozenset((task,)),
            )
            self.lost_workers.setdefault(worker_id, []).append(
                _LostWorker(machine, losses, ended_s)
            )

    def observe_crash(self, worker: _worker.Worker) -> None:
        """Records that a worker has crashed, or has ended as planned.

        Only the first record of an incarnation's end counts: tasks that were
        cleared since then are not accused again.
        """
        lost_runs = self.lost_workers.pop(worker.worker_id, ())
        crash_id = _crash_id(worker.worker_id, worker.start_time_ms)
        if worker.leaving or worker.observed_crash == crash_id:
            return
        worker.observed_crash = crash_id
        for lost in lost_runs:
            self._accuse(lost.losses)
        self._accuse(_losses(worker, self.now_s))

    def observe_lapse(self, worker: _worker.Worker, now_s: float) -> None:
        """Records that a silent worker's runs have ended with its lease.

        Whether it has crashed is shown by its machine, or by its next report.
        """
        losses = _losses(worker, now_s)
        if losses.tasks and not worker.leaving:
            self.lost_workers.setdefault(worker.worker_id, []).append(
                _LostWorker(worker.record.machine, losses, now_s)
            )
            maintenance = self.scheduler.maintenance
            self.observe_machines(maintenance.machines, maintenance.listed_s)

    def observe_alive(self, worker: _worker.Worker) -> None:
        """Records a report of the known incarnation of a worker."""
        alive = _crash_id(worker.worker_id, worker.start_time_ms)
        for lost in self.lost_workers.pop(worker.worker_id, ()):
            if lost.losses.crash_id != alive:
                self._accuse(lost.losses)
        if not self.accused_tasks:
            return
        for run in worker.runs.values():
            task = run.task
            if not task.accused or not run.confirmed:
                continue
            if has_passed_probation(worker, run):
                self._clear(task, task.crashes | task.start_crashes)
            elif task.start_crashes and not is_starting(worker, run):
                task.start_crashes = frozenset()
                self.scheduler.mark_dirty(task.job)

    def observe_machines(
        self, machines: dict[str, _types.MachineRecord], requested_s: float
    ) -> None:
        """Finds out from the list of machines which lost workers crashed.

        Args:
            machines: The list, by name of the machine.
            requested_s: Time of the request; the list may be as old as that.
        """
        shown_s = requested_s - LISTING_DELAY_S
        for worker in self.scheduler.workers.values():
            known_s = max(worker.first_listed_s, worker.last_report_s)
            record = machines.get(worker.record.machine)
            if record is None or not worker.silent or known_s >= requested_s:
                continue
            if _shows_running(record, worker.worker_id):
                worker.partitioned |= worker.silent_since_s < shown_s
                worker.shown_up_s = max(worker.shown_up_s, shown_s)
            elif record.state is _types.MachineState.DOWN:
                # Earlier than its successor or the end of its lease shows it,
                # so that the crash is stored if the leader is lost.
                self.observe_crash(worker)
        for worker_id, lost_runs in list(self.lost_workers.items()):
            record = machines.get(lost_runs[-1].machine)
            if record is not None and _shows_crash(record, worker_id):
                del self.lost_workers[worker_id]
                for lost in lost_runs:
                    self._accuse(lost.losses)
                continue
            # If the worker outlived them, the runs did not end in a crash.
            running = _shows_running(record, worker_id)
            kept = [
                lost
                for lost in lost_runs
                if not (running and lost.ended_s < shown_s)
                and requested_s - lost.ended_s <= MAX_UNRESOLVED_S
            ]
            if kept:
                self.lost_workers[worker_id] = kept
            else:
                del self.lost_workers[worker_id]

    def _accuse(self, losses: _Losses) -> None:
        """Holds a crash against the tasks that may have caused it."""
        crash_id = losses.crash_id
        accused = sorted(
            (
                task
                for task in losses.tasks
                if not task.done
                and not task.job.final
                and crash_id not in task.crashes | task.start_crashes
            ),
            key=lambda task: task.name,
        )
        if not accused:
            return
        for task in accused:
            if task in losses.running:
                task.crashes |= {crash_id}
            if task in losses.starting:
                task.start_crashes |= {crash_id}
            self.accused_tasks.add(task)
            self.scheduler.mark_dirty(task.job)
            task.accused_revision = self.scheduler.revision
        causes = _find_causes(accused, losses)
        self.scheduler.emit(
            "crash_attributed",
            crash=crash_id,
            runs=len(accused),
            suspects=" ".join(
                f"{task.name}:{len(task.start_crashes)}/{len(task.crashes)}"
                for task in accused
                if is_suspect(task)
            ),
            causes=" ".join(task.name for task in causes),
        )
        for task in causes:
            self._give_up(task)

    def _give_up(self, cause: _job.Task) -> None:
        """Stops starting a task that crashes its workers.

        Its job fails. A `long_running` job keeps the tasks that run.
        """
        job = cause.job
        # Without one of its members a gang never starts again.
        step = job.steps[cause.occurrence, cause.step]
        for task in step if cause.spec.gang else (cause,):
            task.given_up = True
        self.scheduler.emit("task_given_up", task=cause.name)
        if cause.spec.long_running and not all(
            task.given_up for task in job.tasks()
        ):
            self.scheduler.mark_dirty(job)
        elif not job.final:
            self.scheduler.finish_job(
                job, _types.JobState.FAILED, "crashed its workers"
            )
        self.discard_ended()
        for task in list(self.accused_tasks):
            # Several tasks that crash their workers may start together: only
            # a start that is survived clears a task that had just started.
            self._clear(task, cause.crashes - task.start_crashes)

    def _clear(self, task: _job.Task, crash_ids: frozenset[str]) -> None:
        if (task.crashes | task.start_crashes) & crash_ids:
            task.crashes -= crash_ids
            task.start_crashes -= crash_ids
            self.scheduler.mark_dirty(task.job)
        if not task.accused:
            task.trial_wanted_s = None
            self.accused_tasks.discard(task)

    def discard_ended(self) -> None:
        """Drops tasks that do not start again."""
        self.accused_tasks = {
            task
            for task in self.accused_tasks
            if not (task.done or task.given_up or task.job.final)
        }


def _losses(worker: _worker.Worker, known_s: float) -> _Losses:
    """Returns the tasks that ended with a worker.

    Args:
        worker: The worker.
        known_s: Time at which its end became known.
    """
    # Later, the crash may have come long after the start.
    soon = known_s - _alive_s(worker) <= MAX_CRASH_DELAY_S
    causes = [
        run
        for run in worker.runs.values()
        if not has_passed_probation(worker, run)
    ]
    return _Losses(
        _crash_id(worker.worker_id, worker.start_time_ms),
        frozenset(
            run.task
            for run in causes
            if run.confirmed and not run.stopping and not worker.partitioned
        ),
        frozenset(
            run.task
            for run in causes
            if is_starting(worker, run) and (soon or not run.confirmed)
        ),
    )


def _crash_id(worker_id: str, start_time_ms: int) -> str:
    return f"{worker_id}@{start_time_ms}"


def is_starting(worker: _worker.Worker, run: _job.Run) -> bool:
    """Returns whether a worker is not known to have survived a start."""
    survived_s = _alive_s(worker) - run.started_s
    if run.confirmed:
        return survived_s < TRIAL_S
    # The start may have been sent late.
    return survived_s < TRIAL_S + MAX_SEND_DELAY_S


def _alive_s(worker: _worker.Worker) -> float:
    """Returns the last time at which a worker is known to have run."""
    return max(worker.heard_s, worker.shown_up_s)


def has_passed_probation(worker: _worker.Worker, run: _job.Run) -> bool:
    """Returns whether a run has lasted too long to cause a crash."""
    ran_s = worker.heard_s - run.started_s
    return run.task.spec.long_running and ran_s >= PROBATION_S


def _shows_crash(record: _types.MachineRecord, worker_id: str) -> bool:
    """Returns whether a machine's entry shows that its worker has crashed.

    The machine of a worker that is only partitioned is listed as up.
    """
    if record.state is _types.MachineState.DOWN:
        return True
    succeeded = record.worker_id not in ("", worker_id)
    return record.state is _types.MachineState.UP and succeeded


def _shows_running(record: _types.MachineRecord | None, worker_id: str) -> bool:
    """Returns whether a machine's entry shows that a worker is running."""
    return (
        record is not None
        and record.state is _types.MachineState.UP
        and record.worker_id == worker_id
    )


def must_isolate(task: _job.Task) -> bool:
    """Returns whether a task needs a worker of its own."""
    return len(task.crashes) >= ISOLATION_CRASHES


def is_suspect(task: _job.Task) -> bool:
    """Returns whether the next start of a task is a trial."""
    return bool(task.start_crashes) or must_isolate(task)


def _unit_name(task: _job.Task) -> str:
    """Returns the name of the task, or of its step for a member of a gang.

    The members of a gang start together.
    """
    return task.step_name if task.spec.gang else task.name


def _find_causes(
    accused: Iterable[_job.Task], losses: _Losses
) -> list[_job.Task]:
    """Returns the tasks that have caused a crash; none if it is not certain.

    Of the members of a gang, the one with most crashes counts.

    Args:
        accused: Tasks against which the crash is held.
        losses: All tasks that ended in it.
    """
    units: dict[str, _job.Task] = {}
    for task in accused:
        name = _unit_name(task)
        units[name] = max(
            units.get(name, task), task, key=lambda member: len(member.crashes)
        )
    # A task whose job has ended since its start may be the cause as well.
    started = {_unit_name(task) for task in losses.starting if not task.done}
    starting = [
        task for task in units.values() if losses.crash_id in task.start_crashes
    ]
    if len(started) == len(starting) == 1 and _has_repeated_crash(starting[0]):
        return starting
    alone = len(units) == 1
    max_crashes = ISOLATION_CRASHES if alone else MAX_UNPROVEN_CRASHES
    return [
        task
        for task in units.values()
        if len(task.start_crashes) >= MAX_UNPROVEN_START_CRASHES
        or len(task.crashes) >= max_crashes
    ]


def _has_repeated_crash(task: _job.Task) -> bool:
    """Returns whether starts of a task have crashed several workers."""
    certain = task.start_crashes & task.crashes
    return (
        len(certain) >= MAX_START_CRASHES
        or len(task.start_crashes) >= MAX_UNCERTAIN_START_CRASHES
    )

"""State of a worker as known to the scheduler."""

from collections.abc import Sequence
import math

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _lease
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker_scores

# A worker whose last report is older than this gets no new runs.
REPORT_TIMEOUT_S = 1.8
# Time after a report in which the worker is assumed not to have restarted:
# longer than the pause between two holds plus a wait for the store.
SAME_INCARNATION_S = 0.6
# A worker is quarantined after failed runs of this many different jobs without
# a completed run in between.
QUARANTINE_JOBS = 2
QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 16.0
# Time after a failure from which a quarantined worker gets tasks that fit on no
# other worker. It may follow a wait for a trial, so both together are shorter
# than the 3 s within which the platform requires a start if there is room.
QUARANTINE_PAUSE_S = 1.4
# Quarantine of a worker that reports itself as unhealthy.
UNHEALTHY_S = 1.0


class Worker:
    """A worker with its lease, runs and free resources.

    Args:
        record: The worker's entry in the platform's list.
        max_lease_s: Longest lease that it accepts.
    """

    def __init__(self, record: _types.WorkerRecord, max_lease_s: float):
        self.record = record
        self.lease = _lease.Lease(max_lease_s)
        self.listed = True
        self.retired = False
        # Whether it has responded to this term and so rejects orders of
        # earlier ones.
        self.fenced = False
        # Fencing token of orders to it, whether its incarnation has answered a
        # hold with it, and whether it is one of an earlier incarnation.
        self.token = 0
        self.token_confirmed = False
        self.token_outdated = False
        self.start_time_ms = 0
        # The worker's clock in its newest report.
        self.reported_ms = 0
        # When this incarnation was first listed, and when it last reported.
        self.first_listed_s = 0.0
        # Earliest time at which it can have written its newest known entry.
        self.entry_s = -math.inf
        # Whether that entry was too old for a start when last checked.
        self.capacity_outdated = False
        # Entry of a later life elsewhere, which its runs keep out.
        self.refused_record: _types.WorkerRecord | None = None
        # Earliest time at which that life can have written it.
        self.refused_written_s = -math.inf
        # When an entry that contradicts its runs was last put on record.
        self.entry_refused_s = -math.inf
        self.last_report_s = -1e9
        # When an order last had no response; a later report supersedes it.
        self.unanswered_s = -1e9
        # Time at which the list of machines certainly showed it running while
        # it was silent.
        self.shown_up_s = -math.inf
        # When it last responded to any order.
        self.heard_s = -1e9
        # When the first order since the last report had no response.
        self.silent_since_s = -1e9
        # Whether the list of machines showed it running after it fell silent.
        self.partitioned = False
        # Newest incarnation whose crash was held against its tasks.
        self.observed_crash = ""
        # When its incarnation first reported to this term.
        self.first_report_s = -math.inf
        # Whether its lease had expired at its last report.
        self.lease_expired = False
        # Whether its last report listed all ended runs.
        self.lists_all_ends = True
        # Numbers of the last ended run that was processed and of the last one
        # that may be acknowledged, since its effect is stored.
        self.processed = 0
        self.acknowledged = 0
        # Number up to which its reports no longer list ended runs, so that
        # these need no further acknowledgement.
        self.forgotten = 0
        # Numbers of processed ended runs, each with the revision that contains
        # its effect.
        self.unsaved_ends: list[tuple[int, int]] = []
        # Runs that may exist, by name of the task.
        self.runs: dict[str, _job.Run] = {}
        self.cordoned = False
        # Whether its machine is needed elsewhere once its runs have ended.
        self.vacating = False
        # Entries that the stored roster may have for it; `None` stands for
        # none. There are several while the result of a write is not known.
        self.stored_entries: tuple[tuple | None, ...] = (None,)
        self.failed_jobs: set[str] = set()
        self.quarantine_s = QUARANTINE_S
        self.quarantined_until_s = -1e9
        # When a run failed there that had started after the failure before, or
        # it reported itself as unhealthy.
        self.last_failure_s = -1e9
        self.score = _worker_scores.WorkerScore()
        # Whether it starts only what fits on no other worker.
        self.last_resort = False
        self.cpu_used = 0
        self.memory_used = 0
        self.gpus_used = 0
        # The part of these that `long_running` runs use, which does not become
        # free by itself.
        self.cpu_held = 0
        self.memory_held = 0
        self.gpus_held = 0
        # Number of its `long_running` and of its best-effort runs.
        self.lasting_runs = 0
        self.filling_runs = 0

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.record.worker_id

    @property
    def roster_entry(self) -> tuple:
        """Entry of the roster, by which the next leader finds its runs."""
        record = self.record
        return (
            record.address,
            record.pool,
            record.zone,
            self.start_time_ms,
            record.machine,
        )

    @property
    def enrolled(self) -> bool:
        """Whether the stored roster certainly has its entry.

        The next leader waits for the runs of the lives that the roster lists,
        where it lists them. So another life or address, or a write that may
        still remove the entry, needs a further write before the first start.
        """
        stored = self.stored_entries
        return stored.count(self.roster_entry) == len(stored)

    @enrolled.setter
    def enrolled(self, enrolled: bool) -> None:
        self.stored_entries = (self.roster_entry if enrolled else None,)

    @property
    def maybe_enrolled(self) -> bool:
        """Whether the stored roster may have any entry of it."""
        return any(stored is not None for stored in self.stored_entries)

    def usable(self, now_s: float, as_last_resort: bool = False) -> bool:
        """Returns whether new runs may be sent to it.

        Args:
            now_s: Current time.
            as_last_resort: Whether they fit on no other worker, so that it may
                be quarantined.
        """
        if as_last_resort:
            ready_s = self.last_failure_s + QUARANTINE_PAUSE_S
        else:
            ready_s = self.quarantined_until_s
        return (
            now_s >= ready_s
            and self.fenced
            and self.token_confirmed
            and self.enrolled
            and self.listed
            and not self.retired
            and not self.cordoned
            and not self.record.draining
            and self._entry_is_current()
            and self.responsive(now_s)
        )

    def _entry_is_current(self) -> bool:
        """Returns whether its entry is not of an incarnation unheard of."""
        return self.record.start_time_ms <= max(self.start_time_ms, 1) or (
            not self.start_time_ms
        )

    def responsive(self, now_s: float) -> bool:
        """Returns whether it reported recently and has responded since."""
        return (
            not self.report_overdue(now_s)
            and self.last_report_s > self.unanswered_s
        )

    def observe_response(self, now_s: float) -> None:
        """Records a response to an order."""
        self.heard_s = max(self.heard_s, now_s)

    def observe_no_response(self, now_s: float) -> None:
        """Records that an order had no response."""
        if not self.silent:
            self.silent_since_s = now_s
        self.unanswered_s = now_s

    @property
    def silent(self) -> bool:
        """Whether an order since its last report had no response."""
        return self.silent_since_s > self.last_report_s

    @property
    def silent_from_s(self) -> float:
        """Time of its last report or of the first order without a response."""
        return max(self.last_report_s, self.silent_since_s)

    @property
    def leaving(self) -> bool:
        """Whether its end is planned: it is being emptied or shuts down."""
        return self.cordoned or self.record.draining

    def report_overdue(self, now_s: float) -> bool:
        """Returns whether its last report is too old."""
        return now_s - self.last_report_s > REPORT_TIMEOUT_S

    def ends_outstanding(self, now_s: float) -> bool:
        """Returns whether further ended runs under its lease will be listed."""
        expired = self.lease.has_ended(now_s) and self.report_overdue(now_s)
        return not self.lists_all_ends and not expired

    def may_have_restarted(self, now_s: float) -> bool:
        """Returns whether it may have restarted since its last report."""
        overdue = now_s - self.last_report_s > SAME_INCARNATION_S
        return overdue or self.last_report_s <= self.unanswered_s

    def run_has_ended(self, run: _job.Run, now_s: float) -> bool:
        """Returns whether a run has certainly ended with its lease.

        A start without a confirmation may have reached the next incarnation.
        """
        next_ended = run.confirmed or now_s > self.lease.next_end_s
        return next_ended and self.lease.has_ended(now_s)

    def add_run(self, run: _job.Run) -> None:
        """Adds a run and reserves its resources."""
        self.runs[run.task.name] = run
        self._reserve(run.task.spec, 1)

    def find_run(self, task: str, run_id: int) -> _job.Run | None:
        """Returns the run of a task if it has this number, else `None`."""
        run = self.runs.get(task)
        return run if run is not None and run.run_id == run_id else None

    def remove_run(self, run: _job.Run) -> None:
        """Removes a run that certainly has ended and frees its resources."""
        if self.runs.get(run.task.name) is run:
            del self.runs[run.task.name]
            self._reserve(run.task.spec, -1)

    def _reserve(self, spec: _types.StepSpec, sign: int) -> None:
        cpu = 0 if spec.fills else sign * spec.cpu_milli
        self.cpu_used += cpu
        self.memory_used += sign * spec.memory_mb
        self.gpus_used += sign * spec.gpus
        if spec.fills:
            self.filling_runs += sign
        if spec.long_running:
            self.lasting_runs += sign
            self.cpu_held += cpu
            self.memory_held += sign * spec.memory_mb
            self.gpus_held += sign * spec.gpus

    def fits(self, spec: _types.StepSpec) -> bool:
        """Returns whether there is room for another task of a step."""
        record = self.record
        cpu = 0 if spec.fills else spec.cpu_milli
        return (
            self.cpu_used + cpu <= record.cpu_milli
            and self.memory_used + spec.memory_mb <= record.memory_mb
            and self.gpus_used + spec.gpus <= record.gpus
            and (
                not spec.required_label or spec.required_label in record.labels
            )
        )

    def could_fit(
        self,
        spec: _types.StepSpec,
        beside: Sequence[_types.StepSpec] = (),
    ) -> bool:
        """Returns whether a task would have room.

        Args:
            spec: Step of the task.
            beside: Steps of the only other tasks that would run on the worker.
        """
        record = self.record
        steps = (spec, *beside)
        cpu = sum(step.cpu_milli for step in steps if not step.fills)
        return (
            (spec.fills or cpu <= record.cpu_milli)
            and sum(step.memory_mb for step in steps) <= record.memory_mb
            and sum(step.gpus for step in steps) <= record.gpus
            and (
                not spec.required_label or spec.required_label in record.labels
            )
        )

    def lasting_slots(self, spec: _types.StepSpec) -> int:
        """Returns how many tasks of a step fit once all finite runs ended."""
        record = self.record
        if spec.required_label and spec.required_label not in record.labels:
            return 0
        cpu = 0 if spec.fills else spec.cpu_milli
        slots = spec.max_per_worker or spec.task_count
        for free, needed in (
            (record.cpu_milli - self.cpu_held, cpu),
            (record.memory_mb - self.memory_held, spec.memory_mb),
            (record.gpus - self.gpus_held, spec.gpus),
        ):
            if needed:
                slots = min(slots, free // needed)
        return max(0, slots)

    def held_share(self) -> float:
        """Returns the largest share of a resource in `long_running` runs."""
        record = self.record
        return max(
            self.cpu_held / max(1, record.cpu_milli),
            self.memory_held / max(1, record.memory_mb),
            self.gpus_held / max(1, record.gpus),
        )

    def in_service(self, now_s: float) -> bool:
        """Returns whether it is expected to start runs, now or soon."""
        lost = self.silent and self.report_overdue(now_s)
        return (
            self.listed and not self.retired and not self.leaving and not lost
        )

    def observe_success(self) -> None:
        """Records a completed run."""
        self.failed_jobs.clear()
        self.quarantine_s = QUARANTINE_S

    def observe_failure(
        self, job_id: str, now_s: float, started_s: float
    ) -> bool:
        """Records a failed run.

        Args:
            job_id: Its job.
            now_s: Current time.
            started_s: Time at which the run was started.

        Returns:
            Whether the worker is quarantined.
        """
        if started_s >= self.last_failure_s:
            # An older run says nothing new, and the pause has to end.
            self.last_failure_s = now_s
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) < QUARANTINE_JOBS:
            return False
        self.quarantined_until_s = now_s + self.quarantine_s
        self.quarantine_s = min(MAX_QUARANTINE_S, self.quarantine_s * 2)
        # After the quarantine a failure of one more job suffices.
        self.failed_jobs = {job_id}
        return True

    def observe_unhealthy(self, now_s: float) -> None:
        """Records that the worker reports itself as unhealthy."""
        self.last_failure_s = now_s
        self.quarantined_until_s = max(
            self.quarantined_until_s, now_s + UNHEALTHY_S
        )

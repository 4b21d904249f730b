"""Oracle and further checks of soak tests."""

import asyncio
import collections
import time

import soak_platform

from baobabdoor import scheduling
from baobabdoor.standin import _walk
from baobabdoor.standin import _walk_oracle

# Maximum time from the acknowledgement of a cancellation to the start of a task
# by a daemon in touch, on a worker that carries it out at once.
CANCEL_S = 3.0
# The same for all starts. Delayed orders alone may take up to 5 s.
MAX_START_AFTER_CANCEL_S = 9.0
# Maximum time for which a task of a cancelled job runs on: to stop it, and for
# the stop itself. Without disruptions it counts from the cancellation, and from
# `CONTACT_S` after the last disruption and after the start of the run.
MAX_RUN_AFTER_CANCEL_S = CANCEL_S + 0.4
# Time after the last fault in which this is checked.
QUIET_S = soak_platform.CONTACT_S + MAX_RUN_AFTER_CANCEL_S + 1.0
QUIET_CHECK_INTERVAL_S = 0.05
# Time in one stretch of steady state after which a cancel of an accepted job
# counts as acknowledged although it has no answer: `ack-timeout-ms` of the
# deployment bagwis-hq.
ACK_TIMEOUT_S = 4.0
# Cancels without an answer after that time are a violation if they are at least
# this many, and more than this share of the cancels of accepted jobs.
MIN_UNANSWERED_CANCELS = 3
MAX_UNANSWERED_SHARE = 0.1
# An interrupted request counts as the fault of a graceful stop only if the last
# other fault of the daemon is older than this.
FAULT_EFFECT_S = 5.0
# Requests interrupted within this time after they were sent are not checked,
# because they may have been sent just before the process exited: the
# `loss-slack-ms` of the rule LOST.
LOSS_SLACK_S = 0.2
# Time for daemons and connections to end after a run.
EXIT_MARGIN_S = 0.3
# The rule LOST covers a stop until this time after SIGKILL is due.
AFTER_GRACE_S = 1.0
FINAL_STATES = ("completed", "failed", "cancelled")


class Oracle(_walk_oracle.Oracle):
    """Oracle that also tracks starts and failures of jobs."""

    def __init__(self, soak: "Checks"):
        super().__init__(soak)
        self.start_times_s: dict[str, float] = {}
        self.failure_counts: collections.Counter = collections.Counter()
        # Starts that no daemon's transaction accounts for.
        self.unattributed_starts = 0

    def on_start(self, worker, run, now_s: float) -> None:
        """Checks the start of a run, also against cancellations."""
        super().on_start(worker, run, now_s)
        job_id = run.task.split(".")[0]
        self.start_times_s[job_id] = now_s
        cancel_time_s = self.system.cancel_times_s.get(job_id, now_s)
        sender = self.system.find_sender(worker.token)
        self.unattributed_starts += sender is None
        bound_s = MAX_START_AFTER_CANCEL_S
        if self.system.has_prompt_sender(worker, sender, now_s):
            bound_s = CANCEL_S
        if now_s - cancel_time_s > bound_s:
            self.add(
                "UNASKED",
                f"{run.task} run {run.run_id} started "
                f"{now_s - cancel_time_s:.2f} s after its job was cancelled, "
                f"by daemon {sender}",
            )

    def on_end(self, worker, entry: scheduling.EndEntry) -> None:
        """Records the end of a run."""
        super().on_end(worker, entry)
        if entry.outcome == "failed":
            self.failure_counts[entry.task] += 1

    def add(self, rule: str, detail: str) -> None:
        """Records a violation of a rule."""
        self.add_violation(rule, time.monotonic(), detail)


class Checks:
    """Part of `soak.Soak`, which holds the state: its checks.

    Its public methods are the interface used by the oracle.
    """

    @property
    def workers(self):
        """Models of the current workers by identifier."""
        return self.simulator.models

    @property
    def crashing_tasks(self) -> set[str]:
        """Tasks that crash the workers that start them."""
        return self.simulator.crashing_tasks

    def noticed_capacity_milli(self, model) -> int:
        """Returns the capacity that a start on a worker has to respect."""
        (worker,) = (
            worker for worker in self.simulator.workers if worker.model is model
        )
        return worker.noticed_capacity_milli(self.simulator.order_received_s)

    @property
    def checkpoints(self):
        """Checkpoints that workers have produced."""
        return self.simulator.checkpoints

    def find_sender(self, token: int) -> int | None:
        """Returns the daemon that sends orders with a fencing token.

        A token is the version that a transaction of its sender made, and each
        daemon reaches the store through a proxy with an address of its own.
        """
        source = self.simulator.transaction_sources.get(token)
        for number, proxy in enumerate(self.store_proxies):
            if proxy.host == source:
                return number
        return None

    def has_prompt_sender(self, worker, sender, now_s: float) -> bool:
        """Returns whether bounds of time hold for the order being applied.

        They hold for daemons in touch, but not for orders that a worker carries
        out late, or that were held up on the connections of the worker.
        """
        if sender is None or self.simulator.order_delayed:
            return False
        subjects = ["store", f"daemon {sender}"]
        subjects += [
            f"connections of address {other.place}"
            for other in self.simulator.workers
            if other.model is worker
        ]
        calm_since_s = self.disruptions.calm_since_s(*subjects)
        return now_s - calm_since_s >= soak_platform.CONTACT_S

    def find_step(self, task: str) -> scheduling.StepSpec | None:
        """Returns the step of the task with a name; `None` if unknown."""
        return _walk.find_step(self.specs, task)

    def _check_interrupted_request(
        self, number: int, job_id: str, sent_s: float
    ) -> None:
        """Checks that a graceful stop alone does not interrupt a request.

        Args:
            number: Daemon to which the request was sent.
            job_id: Job of the request.
            sent_s: Time at which it was sent as a whole; infinite if it was
                not.
        """
        now_s = time.monotonic()
        # A fault that affects no daemon also counts as one of each daemon, so
        # that the second condition holds more often during other faults.
        no_other_fault = (
            now_s - self.last_fault_s[number] > FAULT_EFFECT_S
            or sent_s - self.disruptions.unplanned_since_s()
            >= soak_platform.CONTACT_S
        )
        pending_before_exit = now_s - sent_s > LOSS_SLACK_S
        if (
            no_other_fault
            and pending_before_exit
            and self._is_stopping(number, now_s)
        ):
            self.oracle.add(
                "LOST", f"request for {job_id} was interrupted by a stop"
            )

    def _is_stopping(self, number: int, now_s: float) -> bool:
        """Returns whether a daemon has been told to stop, also if it ended."""
        daemon = self.daemons[number]
        end_s = daemon.stopped_s + daemon.grace_s + AFTER_GRACE_S
        return daemon.stopping or now_s < end_s

    def _observe_state(self, job_id: str, state: str, daemon: int) -> None:
        previous = self.final_states.get(job_id)
        if previous and state != previous:
            self.oracle.add(
                "MIXED",
                f"{job_id} changed from {previous} to {state} at {daemon}",
            )
        if state not in FINAL_STATES:
            return
        self.final_states[job_id] = state
        task_names = [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(self.specs[job_id].steps)
            for index in range(step.task_count)
        ]
        if state == "completed" and not self.oracle.done.issuperset(task_names):
            self.oracle.add(
                "MIXED", f"{job_id} completed before all its tasks were done"
            )
        failures = max(self.oracle.failure_counts[name] for name in task_names)
        crashes = max(self.oracle.crashes[name] for name in task_names)
        if (
            state == "failed"
            and failures < soak_platform.MAX_ATTEMPTS
            and crashes < _walk_oracle.MIN_CRASHES_TO_FAIL
        ):
            self.oracle.add(
                "LOST",
                f"{job_id} failed after {failures} failed attempts and "
                f"{crashes} crashes",
            )
        if state == "cancelled" and job_id not in self.cancel_times_s:
            self.oracle.add("LOST", f"{job_id} was cancelled without a request")

    async def _watch_cancelled_jobs(self) -> None:
        """Checks until it is cancelled that no cancelled task runs on."""
        reported = set()
        while True:
            now_s = time.monotonic()
            self._count_unanswered_cancels(now_s)
            calm_s = self.disruptions.calm_since_s() + soak_platform.CONTACT_S
            for model in self.simulator.models.values():
                model.advance(now_s)
                for run in set(model.runs.values()) - reported:
                    if self._runs_on(run, calm_s, now_s):
                        reported.add(run)
                        name = model.record.worker_id
                        self.oracle.add(
                            "UNASKED",
                            f"{run.task} run {run.run_id} runs on at {name}",
                        )
            await asyncio.sleep(QUIET_CHECK_INTERVAL_S)

    def _steady_since_s(self) -> float:
        """Returns since when the state is steady for cancels.

        Daemons and connections are not disrupted, and the store has been
        without disruption for some time before.
        """
        subjects = [f"daemon {number}" for number in range(len(self.daemons))]
        subjects += [
            f"connections of address {place}"
            for place in range(
                soak_platform.WORKERS + soak_platform.SPARE_ADDRESSES
            )
        ]
        return max(
            self.disruptions.calm_since_s(*subjects),
            self.disruptions.calm_since_s("store") + soak_platform.CONTACT_S,
        )

    def _count_unanswered_cancels(self, now_s: float) -> None:
        """Counts cancels as acknowledged that have waited for long enough."""
        steady_s = self._steady_since_s()
        for job_id, sent_s in list(self.repeated_cancels_s.items()):
            due_s = max(steady_s, sent_s) + ACK_TIMEOUT_S
            if now_s >= due_s:
                del self.repeated_cancels_s[job_id]
                self.unanswered_cancels.add(job_id)
                self.cancel_times_s[job_id] = min(
                    self.cancel_times_s[job_id], due_s
                )

    def _runs_on(self, run, calm_s: float, now_s: float) -> bool:
        job_id = run.task.split(".")[0]
        cancelled_s = self.cancel_times_s.get(job_id, float("inf"))
        started_s = run.started_s + soak_platform.CONTACT_S
        due_s = max(calm_s, cancelled_s, started_s) + MAX_RUN_AFTER_CANCEL_S
        return now_s > due_s

    def _check_results(self) -> None:
        for job_id in sorted(self.accepted - set(self.final_states)):
            self.oracle.add("LOST", f"accepted job {job_id} did not end")
        refused = set(self.specs) - self.accepted - self.unconfirmed
        for job_id in sorted(refused & set(self.oracle.start_times_s)):
            self.oracle.add("REFUSED", f"refused job {job_id} started")
        unanswered, cancelled = self.unanswered_cancels, self.cancelled_accepted
        if len(unanswered) >= MIN_UNANSWERED_CANCELS and (
            len(unanswered) > MAX_UNANSWERED_SHARE * len(cancelled)
        ):
            self.oracle.add(
                "ACKS",
                f"{len(unanswered)} of {len(cancelled)} cancels without an "
                f"answer: {sorted(unanswered)}",
            )

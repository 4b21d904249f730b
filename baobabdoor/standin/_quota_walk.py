"""Random walks in which customers have quotas, which change.

The oracle sums up what the runs of a customer hold on all model workers at each
start, whoever has ordered it.
"""

import math
import random

import attrs

from baobabdoor import customers
from baobabdoor import scheduling
from baobabdoor.standin import _walk
from baobabdoor.standin import _walk_oracle

# Customers with their maxima of CPU in thousandths of a core; 0 is none. A task
# has up to 2,500, so that some exceed the maximum of one by themselves once it
# is lowered.
MAXIMA_MILLI = {
    "small": (3000, 2500, 1000),
    "large": (9000, 6000),
    "free": (0,),
}
# Share of jobs without a customer.
UNNAMED_SHARE = 0.2
# Time after a change within which a leader may use the maximum before it.
MAX_CONFIGURATION_AGE_S = 5.0
CHANGE_RATE = 0.01
# Probability, in a step of time, that a caller cancels a job, and that some
# callers do and the leader is lost right after it has stored that.
CANCEL_RATE = 0.05
LOSS_RATE = 0.005
# Share of the workers that a new leader does not reach at first, and the jobs
# that are submitted to it meanwhile.
UNREACHED_SHARE = 0.4
SUBMISSIONS = 6
# Jobs per second that a customer may submit: more than a walk submits.
WEIGHT = 1000.0
# So long an objective that admission rejects no job: quotas are to decide.
TARGET_MS = 60_000.0


class QuotaOracle(_walk_oracle.Oracle):
    """Checks also that no start exceeds the quota of its customer."""

    def __init__(self, system: "QuotaWalk"):
        super().__init__(system)
        # Starts of customers with a maximum.
        self.limited_starts = 0

    def on_start(self, worker, run, now_s: float) -> None:
        """Checks the start of a run."""
        super().on_start(worker, run, now_s)
        name = self.system.customer_of(run.task)
        maximum = self.system.highest_maximum(name)
        if not maximum:
            return
        self.limited_starts += 1
        held = sum(
            self.system.find_step(task).cpu_milli
            for other in self.system.workers.values()
            for task in other.runs
            if self.system.customer_of(task) == name
        )
        task_milli = self.system.find_step(run.task).cpu_milli
        # Stricter than the limit of R8, whose overage no walk has needed.
        if held > max(task_milli, maximum):
            self.add_violation(
                "QUOTA", now_s, f"{name} holds {held} of {maximum}"
            )


class QuotaWalk(_walk.Walk):
    """A random walk with customers, whose maxima change."""

    def __init__(self, seed: int, inject_fault=None):
        self.customer_random = random.Random(f"{seed}-customers")
        # Maxima of each customer, with the time from which each is in force.
        self.maxima: dict[str, list[tuple[float, int]]] = {
            name: [(0.0, values[0])] for name, values in MAXIMA_MILLI.items()
        }
        super().__init__(seed, inject_fault)
        self.oracle = QuotaOracle(self)
        for model in self.workers.values():
            model.observer = self.oracle

    def change_leader(self) -> None:
        """Starts a new term, which does not reach all workers at first."""
        self._publish()
        super().change_leader()
        number = len(self.leaders) - 1
        for worker_id in self.workers:
            if self.customer_random.random() < UNREACHED_SHARE:
                until_s = self.now_s + self.customer_random.uniform(0.5, 4.0)
                self.partitioned_until_s[number, worker_id] = until_s
        if number:
            for _ in range(SUBMISSIONS):
                self._submit()

    def highest_maximum(self, name: str) -> int:
        """Returns the highest maximum that may be in force; 0 for none."""
        entries = self.maxima.get(name, [(0.0, 0)])
        limit_s = self.now_s - MAX_CONFIGURATION_AGE_S
        ends_s = [since_s for since_s, _ in entries[1:]] + [self.now_s]
        return max(
            maximum
            for (_, maximum), end_s in zip(entries, ends_s, strict=True)
            if end_s >= limit_s
        )

    def customer_of(self, task: str) -> str:
        """Returns the customer of a task; empty for none."""
        spec = self.specs.get(task.partition(".")[0])
        return spec.customer if spec is not None else ""

    def _publish(self) -> None:
        directory = customers.CustomerDirectory(
            customers.Customer(
                name,
                weight=WEIGHT,
                maximum=customers.ResourceLimit(cpu_milli=entries[-1][1]),
            )
            for name, entries in self.maxima.items()
        )
        queues = {
            name: attrs.evolve(queue, target_ms=TARGET_MS)
            for name, queue in self.configuration.queues.items()
        }
        self.configuration = attrs.evolve(
            self.configuration, queues=queues, customer_directory=directory
        )

    def _inject_events(self) -> None:
        super()._inject_events()
        if self.customer_random.random() < CHANGE_RATE:
            self._change_maximum()
        # A leader without the store keeps its configuration.
        if self.store_available:
            self.leaders[-1].scheduler.configuration = self.configuration
        if self.customer_random.random() < CANCEL_RATE:
            self._cancel()
        if self.customer_random.random() < LOSS_RATE:
            self._lose_leader()

    def _change_maximum(self) -> None:
        name = self.customer_random.choice(sorted(MAXIMA_MILLI))
        maximum = self.customer_random.choice(MAXIMA_MILLI[name])
        self.maxima[name].append((self.now_s, maximum))
        self._publish()

    def _cancel(self) -> None:
        scheduler = self.leaders[-1].scheduler
        if scheduler.active:
            job_id = self.customer_random.choice(sorted(scheduler.active))
            scheduler.cancel(job_id)

    def _lose_leader(self) -> None:
        """Cancels jobs and replaces the leader before its stops arrive."""
        for _ in range(SUBMISSIONS):
            self._cancel()
        number = len(self.leaders) - 1
        for worker_id in self.workers:
            self.partitioned_until_s[number, worker_id] = math.inf
        # It stores the cancels, if the store is available.
        self.leaders[-1].step(current=True)
        self.change_leader()

    def make_spec(self, spec: scheduling.JobSpec) -> scheduling.JobSpec:
        """Returns a job as its customer submits it."""
        if self.customer_random.random() < UNNAMED_SHARE:
            return spec
        name = self.customer_random.choice(sorted(MAXIMA_MILLI))
        return attrs.evolve(spec, customer=name)

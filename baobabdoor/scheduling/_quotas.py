"""Applies the quotas of customers to starts, demand and backlog."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from baobabdoor import customers
from baobabdoor.scheduling import _arrivals
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _types

# Minimum time between two events about the quota of a customer, in seconds.
EVENT_INTERVAL_S = 5.0
# Time for which smaller tasks of a customer may overtake a step that waits for
# its quota, in seconds.
MAX_OVERTAKEN_S = 2.0
# Time whose use of a quota counts as arriving work, in seconds.
ARRIVAL_WINDOW_S = _arrivals.RATE_WINDOW_S


class Quotas:
    """Keeps the runs of customers within their maxima.

    The ledger is built in each planning pass from the runs of the workers, so
    that a new leader needs nothing but their reports.

    Args:
        scheduler: Scheduler with the jobs and workers.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        # Ledger of the current planning pass; `None` without maxima.
        self.ledger: customers.QuotaLedger | None = None
        # Ended jobs of earlier terms that may have runs.
        self.ended_jobs: list[_job.Job] = []
        # Steps of which no task may start.
        self.waiting: set[str] = set()
        # Since when they have waited without a break.
        self.wait_since_s: dict[str, float] = {}
        # Steps that the customer's other steps wait for, by customer: they have
        # a task above the maximum or were overtaken for too long.
        self.oversized: dict[str, str] = {}
        # Customers with `long_running` runs, which never hold nothing.
        self.lasting: set[str] = set()
        # Time of the last event, by customer.
        self.emitted_s: dict[str, float] = {}
        # Customers with a maximum, and the directory that lists them.
        self.limited_: dict[str, customers.Customer] = {}
        self.directory_: customers.CustomerDirectory | None = None
        # Arrived work that a quota can still use, in core-seconds, and the
        # time as of which, by customer.
        self.arrival_budgets: dict[str, tuple[float, float]] = {}

    # Ledger.

    def load(self, job: _job.Job) -> None:
        """Keeps an ended job of an earlier term that may have runs."""
        ended = job.ended_runs
        if ended is not None and not ended.running.unlimited:
            self.ended_jobs.append(job)

    def prepare(self) -> None:
        """Builds the ledger, if a customer has a maximum."""
        limited = self._limited_customers()
        if not limited:
            self.ledger = None
            self.waiting.clear()
            self.wait_since_s.clear()
            self.oversized.clear()
            return
        self.lasting = set()
        self.ledger = customers.QuotaLedger(limited.values())
        self._charge_runs()
        # A step that does not wait any more keeps nothing back.
        self.oversized = {
            name: step
            for name, step in self.oversized.items()
            if step in self.waiting and name not in self.lasting
        }
        self.wait_since_s = {
            step: since_s
            for step, since_s in self.wait_since_s.items()
            if step in self.waiting
        }
        self.waiting = set()
        self._charge_unneeded_runs()
        if self.scheduler.inherited_blocked():
            self._charge_inherited_tasks()
            self._charge_ended_jobs()
        else:
            self.ended_jobs.clear()

    def _limited_customers(self) -> dict[str, customers.Customer]:
        """Returns the customers that have a maximum, by name."""
        directory = self.scheduler.configuration.customer_directory
        if directory is not self.directory_:
            self.directory_ = directory
            listed = directory.customers if directory is not None else ()
            self.limited_ = {
                customer.name: customer
                for customer in listed
                if not customer.maximum.unlimited
                and directory.find(customer.name) is customer
            }
        return self.limited_

    def _charge_runs(self) -> None:
        charge = self.ledger.charge
        for worker in self.scheduler.workers.values():
            for run in worker.runs.values():
                task = run.task
                spec = task.job.spec
                if spec.customer:
                    step = spec.steps[task.step]
                    charge(spec.customer, step)
                    if step.long_running:
                        self.lasting.add(spec.customer)

    def _charge_unneeded_runs(self) -> None:
        scheduler = self.scheduler
        now_s = scheduler.crashes.now_s
        for worker_id, keys in scheduler.unneeded_runs.items():
            worker = scheduler.workers.get(worker_id)
            if worker is None or worker.retired:
                continue
            if worker.lease.has_ended(now_s) and worker.report_overdue(now_s):
                continue
            for task_name, _ in keys:
                self._charge_unneeded_run(task_name)

    def _charge_unneeded_run(self, task_name: str) -> None:
        parts = _job.parse_task_name(task_name)
        job = self.scheduler.jobs.get(parts[0]) if parts else None
        if job is None:
            # The customer is not known any more.
            return
        name, number = job.spec.customer, parts[2]
        steps = job.ended_runs.steps if job.ended_runs else job.spec.steps
        if number < len(steps):
            self.ledger.charge(name, steps[number])
        elif not steps:
            # Its row is of a version that keeps no sizes.
            self.ledger.charge_unknown(name)

    def _charge_inherited_tasks(self) -> None:
        """Charges tasks that may run on workers that have not reported."""
        for job in self.scheduler.active.values():
            name = job.spec.customer
            if not name or not self.ledger.limits(name):
                continue
            for (occurrence, number), tasks in job.steps.items():
                if not self._may_have_started(job, occurrence, number):
                    continue
                count = sum(
                    task.inherited and task.run is None and not task.done
                    for task in tasks
                )
                # Each of them, and each known run, may have a duplicate there.
                count += sum(
                    task.inherited
                    and task.duplicate is None
                    and not task.done
                    and task.may_have_duplicate
                    for task in tasks
                )
                self.ledger.charge_possible(name, tasks[0].spec, count)

    def _may_have_started(
        self, job: _job.Job, occurrence: int, number: int
    ) -> bool:
        """Returns whether an earlier term may have started a step.

        The former leader starts a step before the store shows that the steps
        ahead of it are done.
        """
        if not job.remaining[occurrence, number]:
            return False
        if job.spec.repeat_count:
            due_ms = job.spec.start_at_ms + occurrence * job.spec.interval_ms
            if self.scheduler.wall_ms < due_ms:
                return False
        return all(
            job.step_ready(occurrence, earlier)
            for earlier in job.spec.steps[number].after
            if job.remaining[occurrence, earlier]
        )

    def _charge_ended_jobs(self) -> None:
        """Charges runs of ended jobs on workers that have not reported.

        Runs that outlive the lease which they had at the end of their job are
        reported.
        """
        scheduler = self.scheduler
        bound_s = scheduler.inherited_until_s - scheduler.started_s
        for job in self.ended_jobs:
            if scheduler.store_ms - job.ended_ms <= bound_s * 1000:
                self.ledger.charge_possible(
                    job.spec.customer, job.ended_runs.running
                )

    # Starts.

    def startable(
        self, tasks: list[_job.Task], now_s: float
    ) -> list[_job.Task]:
        """Returns as many tasks of a step as the quota allows to start."""
        first = tasks[0]
        name = first.job.spec.customer
        if self.ledger is None or not self.ledger.limits(name):
            return tasks
        count = self._startable_count(tasks, name)
        if count < len(tasks):
            self._emit_wait(tasks, count, now_s)
        if not count:
            self._observe_wait(tasks, name, now_s)
        return tasks[:count]

    def unplaced(self, tasks: list[_job.Task], now_s: float) -> list[_job.Task]:
        """Returns the tasks of a step that wait for nothing but workers.

        Args:
            tasks: Tasks of a step, some of which have just started.
            now_s: Current time.
        """
        if self.ledger is None:
            return tasks
        waiting = [task for task in tasks if task.run is None]
        return self.startable(waiting, now_s)

    def _startable_count(self, tasks: list[_job.Task], name: str) -> int:
        first = tasks[0]
        if self.oversized.get(name, first.step_name) != first.step_name:
            return 0
        if first.spec.gang:
            allowed = self.ledger.may_start(name, first.spec, len(tasks))
            return len(tasks) if allowed else 0
        return int(min(len(tasks), self.ledger.headroom(name, first.spec)))

    def _observe_wait(
        self, tasks: list[_job.Task], name: str, now_s: float
    ) -> None:
        """Records that no task of a step may start."""
        first = tasks[0]
        since_s = self.wait_since_s.setdefault(first.step_name, now_s)
        # Smaller tasks of the customer would take all room as it comes.
        overtaken = now_s - since_s > MAX_OVERTAKEN_S
        self.waiting.add(first.step_name)
        unit = len(tasks) if first.spec.gang else 1
        fits_alone = self.ledger.fits_alone(name, first.spec, unit)
        if name not in self.lasting and (overtaken or not fits_alone):
            self.oversized.setdefault(name, first.step_name)
        for task in tasks:
            # It does not wait for a worker or a rack of its own.
            task.trial_wanted_s = None
            task.rack_wanted_s = None

    def _emit_wait(
        self, tasks: list[_job.Task], count: int, now_s: float
    ) -> None:
        name = tasks[0].job.spec.customer
        if now_s - self.emitted_s.get(name, -math.inf) < EVENT_INTERVAL_S:
            return
        self.emitted_s[name] = now_s
        held = self.ledger.held(name)
        maximum = self._limited_customers()[name].maximum
        self.scheduler.emit(
            "quota_reached",
            customer=name,
            step=tasks[0].step_name,
            waiting=len(tasks) - count,
            held_cpu_milli=held.cpu_milli,
            held_memory_mb=held.memory_mb,
            held_gpus=held.gpus,
            max_cpu_milli=maximum.cpu_milli,
            max_memory_mb=maximum.memory_mb,
            max_gpus=maximum.gpus,
            inherited=self.scheduler.inherited_blocked(),
            behind=self.oversized.get(name, ""),
        )

    def may_start(self, task: _job.Task) -> bool:
        """Returns whether the quota allows to start one more task."""
        return self.ledger is None or self.ledger.may_start(
            task.job.spec.customer, task.spec
        )

    def may_duplicate(self, task: _job.Task) -> bool:
        """Returns whether the quota allows a duplicate run of a task.

        Nothing delays a step that waits for the whole quota.
        """
        return task.job.spec.customer not in self.oversized and self.may_start(
            task
        )

    def charge(self, task: _job.Task) -> None:
        """Records a start in the current planning pass."""
        if self.ledger is not None:
            self.ledger.charge(task.job.spec.customer, task.spec)

    def may_restart(self, task: _job.Task) -> bool:
        """Returns whether a task that is stopped could start again."""
        return self.ledger is None or not self.ledger.exceeded(
            task.job.spec.customer
        )

    def find_excess(self, spec: _types.JobSpec) -> _types.StepSpec | None:
        """Returns a step of a job that by itself exceeds the maximum."""
        customer = self._limited_customers().get(spec.customer)
        if customer is None:
            return None
        ledger = customers.QuotaLedger([customer])
        for step in spec.steps:
            unit = step.task_count if step.gang else 1
            if not ledger.fits_alone(spec.customer, step, unit):
                return step
        return None

    # Demand and backlog.

    def cap_demand(
        self, demands: Sequence[tuple[_job.Job, float]], unit: int = 1
    ) -> float:
        """Returns the sum of demands, each customer's up to its quota.

        Args:
            demands: Jobs with their demand, in parts of a core.
            unit: Number of such parts in a core.
        """
        limited = self._limited_customers()
        capped, cores = self._sum_limited(demands, limited)
        unlimited = sum(
            demand
            for job, demand in demands
            if job.spec.customer not in limited
        )
        return unlimited + sum(
            min(demand, cores[name] * unit) for name, demand in capped.items()
        )

    def cap_arrival(
        self, spec: _types.JobSpec, work: float, now_s: float
    ) -> float:
        """Returns the part of a submitted job's work that its quota can use.

        Args:
            spec: The job.
            work: Its work in core-seconds.
            now_s: Time of the submission.
        """
        customer = self._limited_customers().get(spec.customer)
        if customer is None:
            return work
        steps = [(step, step.task_count) for step in spec.steps]
        cores = _usable_cores(steps, customer.maximum)
        left, since_s = self.arrival_budgets.get(spec.customer, (0.0, -1e9))
        # At most what the quota uses in the window of the arrival rate.
        left = min(cores * ARRIVAL_WINDOW_S, left + cores * (now_s - since_s))
        counted = min(work, left)
        self.arrival_budgets[spec.customer] = (left - counted, now_s)
        return counted

    def usable_cores(self, spec: _types.JobSpec) -> float:
        """Returns how many cores its customer's quota allows to a job."""
        customer = self._limited_customers().get(spec.customer)
        if customer is None:
            return math.inf
        steps = [(step, step.task_count) for step in spec.steps]
        return _usable_cores(steps, customer.maximum)

    def limited_work(
        self, work: Iterable[tuple[_job.Job, float]]
    ) -> dict[str, tuple[float, float]]:
        """Returns the work of each customer with a maximum.

        Args:
            work: Jobs with their work in core-seconds.

        Returns:
            The work in core-seconds by customer, and the cores in which its
            maximum allows to do it.
        """
        limited = self._limited_customers()
        if not limited:
            return {}
        total, cores = self._sum_limited(work, limited)
        return {name: (total[name], cores[name]) for name in total}

    def _sum_limited(
        self,
        demands: Iterable[tuple[_job.Job, float]],
        limited: dict[str, customers.Customer],
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the demand of each limited customer and its usable cores."""
        total: dict[str, float] = {}
        cores: dict[str, float] = {}
        for job, demand in demands:
            name = job.spec.customer
            if name not in limited:
                continue
            steps = [
                (job.spec.steps[number], remaining)
                for (_, number), remaining in job.remaining.items()
            ]
            usable = _usable_cores(steps, limited[name].maximum)
            total[name] = total.get(name, 0.0) + demand
            cores[name] = max(cores.get(name, 0.0), usable)
        return total, cores


def _usable_cores(
    steps: Iterable[tuple[_types.StepSpec, int]],
    maximum: customers.ResourceLimit,
) -> float:
    """Returns how many cores a maximum allows to steps with their tasks.

    A maximum of memory or accelerators limits the cores, too.
    """
    cpu = memory = gpus = 0
    for step, tasks in steps:
        cpu += tasks * step.cpu_milli
        memory += tasks * step.memory_mb
        gpus += tasks * step.gpus
    cores = math.inf
    for limit, need in (
        (maximum.cpu_milli, cpu),
        (maximum.memory_mb, memory),
        (maximum.gpus, gpus),
    ):
        if limit and need:
            cores = min(cores, limit / need * cpu / 1000)
    return cores

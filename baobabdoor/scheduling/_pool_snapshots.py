"""Snapshots of pools, from which the views for many submissions are made.

A look at all jobs and workers of a pool takes long against a decision on one
submission. So the submissions of a short time share one look.
"""

import math

import attrs

from baobabdoor import overload

# Time for which a snapshot is used, in seconds. Jobs that are accepted in it
# are added.
VALID_S = 0.05
# Late jobs whose latest start differs by less than this count as one, in
# seconds.
PROMISE_STEP_S = 0.02


@attrs.define
class PoolSnapshot:
    """A pool and the work in it at a time. All work is in core-seconds.

    Attributes:
        taken_s: The time.
        cores: Cores that tasks can use now.
        expected_cores: Cores that tasks can use once all ordered machines are
            ready.
        standby_cores: Cores of machines in standby.
        timely_work: Work of jobs that were accepted as timely, by customer.
        late_work: Work of the other jobs, by customer.
        claims: Work of jobs that can be in time and are not excess, by customer
            and priority.
        excess_work: Work of excess jobs, by customer.
        promises: Work of late jobs that still have value, by the time in which
            they have to start and customer.
        limited: Work of each customer with a maximum, and the cores that its
            maximum allows.
    """

    taken_s: float
    cores: float
    expected_cores: float
    standby_cores: float
    timely_work: dict[str, float] = attrs.field(factory=dict)
    late_work: dict[str, float] = attrs.field(factory=dict)
    claims: dict[tuple[str, int], float] = attrs.field(factory=dict)
    excess_work: dict[str, float] = attrs.field(factory=dict)
    promises: dict[tuple[float, str], float] = attrs.field(factory=dict)
    limited: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def is_valid(self, now_s: float, delay_s: float) -> bool:
        """Returns whether it is recent enough for a decision.

        Args:
            now_s: Current time.
            delay_s: Delay of the event loop, by which all that is known is
                outdated anyway.
        """
        return 0 <= now_s - self.taken_s < max(VALID_S, delay_s)

    def add(self, job: overload.JobView) -> None:
        """Adds the work of an accepted job."""
        customer = job.customer
        _add(
            self.timely_work if job.timely else self.late_work,
            customer,
            job.work,
        )
        if job.excess:
            _add(self.excess_work, customer, job.work)
        elif job.slack_s >= 0:
            _add(self.claims, (customer, job.priority), job.work)
        elif job.late_slack_s >= 0:
            # Rounded down, so that no promise is taken for a later one.
            steps = math.floor(job.late_slack_s / PROMISE_STEP_S)
            _add(self.promises, (steps * PROMISE_STEP_S, customer), job.work)

    def add_limited(self, limited: dict[str, tuple[float, float]]) -> None:
        """Adds work of customers with a maximum, with their usable cores."""
        for name, (work, usable_cores) in limited.items():
            total, cores = self.limited.get(name, (0.0, 0.0))
            self.limited[name] = (total + work, max(cores, usable_cores))

    def view(
        self,
        weights: dict[str, float],
        arrival_s: float,
        span_s: float = 0.0,
        exempt: str | None = None,
    ) -> overload.PoolView:
        """Returns the view for a submission.

        Args:
            weights: Weights of customers.
            arrival_s: Time until ordered machines are ready, in seconds.
            span_s: Time in which the work of customers with a maximum counts,
                as far as their maxima can use it.
            exempt: Customer whose work counts in full; `None` for all.
        """
        usable = {}
        if exempt is not None:
            span_s = max(0.0, span_s)
            usable = {
                name: min(1.0, cores * span_s / work)
                for name, (work, cores) in self.limited.items()
                if name != exempt and work > 0
            }
        view = overload.PoolView(self.cores, self.expected_cores)
        view.arrival_s = arrival_s
        view.standby_cores = self.standby_cores
        view.weights = weights
        view.timely_work = _total(self.timely_work, usable)
        view.late_work = _total(self.late_work, usable)
        view.excess_work = _total(self.excess_work, usable)
        view.work_by_claim = {
            claim: work * usable.get(claim[0], 1.0)
            for claim, work in self.claims.items()
        }
        view.promises = [
            (start_s, work * usable.get(customer, 1.0))
            for (start_s, customer), work in sorted(self.promises.items())
        ]
        return view


def _add(totals: dict, key, work: float) -> None:
    totals[key] = totals.get(key, 0.0) + work


def _total(by_customer: dict[str, float], usable: dict[str, float]) -> float:
    return sum(
        work * usable.get(customer, 1.0)
        for customer, work in by_customer.items()
    )

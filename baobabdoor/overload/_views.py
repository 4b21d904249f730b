"""Views of jobs and pools that the decisions take."""

import math

import attrs

# Value of a job apart from its work, value per mean work of its queue, and
# largest value, as the platform rates jobs.
BASE_VALUE = 0.3
WORK_VALUE = 0.7
MAX_VALUE = 4.0


def job_value(work: float, mean_work: float) -> float:
    """Returns the value of a job that ends in time.

    Args:
        work: Its work in core-seconds.
        mean_work: Mean work of the jobs of its queue; 0 if unknown.
    """
    relative = work / mean_work if mean_work > 0 else 1.0
    return min(MAX_VALUE, BASE_VALUE + WORK_VALUE * relative)


# Not frozen, since views are made for each job in each pass and a frozen one
# takes three times as long to make.
@attrs.define
class JobView:
    """An accepted job that waits or runs.

    Attributes:
        priority: Priority of its queue; 0 is the highest.
        slack_s: Time by which its start may be delayed so that it still ends
            within its objective; negative if it certainly misses it.
        late_slack_s: The same for the time at which its value is lost.
        timely: Whether it was accepted as timely.
        customer: Customer; empty for none.
        excess: Whether it exceeds the rate of its customer.
        work: Remaining work in core-seconds.
        cores: Cores that it uses or could use now.
        density: Value per work, relative to a job of mean size.
    """

    priority: int
    slack_s: float
    late_slack_s: float
    timely: bool
    customer: str = ""
    excess: bool = False
    work: float = 0.0
    cores: float = 0.0
    density: float = 1.0


@attrs.frozen
class SubmissionView:
    """A job that is submitted.

    Attributes:
        work: Work in core-seconds.
        critical_path_s: Duration of its longest chain.
        objective_s: Its latency objective.
        waited_s: Time since its first submission.
        priority: Priority of its queue; 0 is the highest.
        customer: Customer; empty for none.
        excess: Whether it exceeds the rate of its customer.
        yields: Whether a larger size class has fallen behind, to which this
            job leaves a reserve.
        delay_s: Time from an acceptance to a start that is due to the leader.
        only_timely: Whether the leader has time only for jobs in time.
    """

    work: float
    critical_path_s: float
    objective_s: float
    waited_s: float
    priority: int = 0
    customer: str = ""
    excess: bool = False
    yields: bool = False
    delay_s: float = 0.0
    only_timely: bool = False


@attrs.define
class PoolView:
    """A pool with the work ahead of a submitted job.

    All work is in core-seconds.

    Attributes:
        cores: Cores that tasks can use now.
        expected_cores: Cores that tasks can use once all ordered machines are
            ready.
        timely_work: Work of jobs that were accepted as timely.
        late_work: Work of the other jobs.
        work_by_claim: Work of jobs that can be in time and are not excess, by
            customer and priority.
        excess_work: Work of excess jobs.
        promises: Late jobs that still have value: the time in which each has
            to start, in seconds, and its work.
        weights: Weights of customers.
        claimed_cores: Rate at which work arrives that is not excess, in cores.
        arrival_s: Time until ordered machines are ready, in seconds.
        standby_cores: Cores of machines in standby, which the pool may get.
        own_work: Waiting work of the submitting customer in all pools.
        quota_cores: Cores that this customer's quota allows for the job.
    """

    cores: float
    expected_cores: float
    timely_work: float = 0.0
    late_work: float = 0.0
    work_by_claim: dict[tuple[str, int], float] = attrs.field(factory=dict)
    excess_work: float = 0.0
    promises: list[tuple[float, float]] = attrs.field(factory=list)
    weights: dict[str, float] = attrs.field(factory=dict)
    claimed_cores: float = 0.0
    arrival_s: float = 0.0
    standby_cores: float = 0.0
    own_work: float = 0.0
    quota_cores: float = math.inf

    def add_work(self, work: float, timely: bool) -> None:
        """Adds the work of a job that was accepted as timely or as late."""
        if timely:
            self.timely_work += work
        else:
            self.late_work += work

    def add(self, job: JobView) -> None:
        """Adds the work of an accepted job, with its customer."""
        self.add_work(job.work, job.timely)
        if job.excess:
            self.excess_work += job.work
        elif job.slack_s >= 0:
            claim = (job.customer, job.priority)
            self.work_by_claim[claim] = (
                self.work_by_claim.get(claim, 0.0) + job.work
            )
        elif job.late_slack_s >= 0:
            self.promises.append((job.late_slack_s, job.work))

    def work_before(self, priority: int) -> float:
        """Returns the work of jobs in time that have a higher priority."""
        return sum(
            work
            for (_, other), work in self.work_by_claim.items()
            if other < priority
        )

    def work_at(self, priority: int) -> dict[str, float]:
        """Returns the work of jobs in time of a priority, by customer."""
        return {
            customer: work
            for (customer, other), work in self.work_by_claim.items()
            if other == priority
        }

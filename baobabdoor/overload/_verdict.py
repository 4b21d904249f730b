"""Accepts or rejects a submitted job by its expected latency."""

import attrs

from baobabdoor.overload import _shares
from baobabdoor.overload import _views

# Time from the submission to the first start plus the time from the last end to
# the response, in seconds.
OVERHEAD_S = 0.15
# Share of the objective within which a job must be expected to end.
USABLE_OBJECTIVE = 0.95
# A job that ends within this multiple of its objective still has some value.
# The platform gives a job some value up to a multiple of three.
LATE_FACTOR = 2.5
MIN_RETRY_S = 1
# Times for which a return is examined. Each takes time in proportion to the
# late jobs, and a long job has value for minutes.
MAX_RETRY_PROBES = 16
# Share of the cores that jobs leave to a size class that has fallen behind.
SIZE_RESERVE = 0.2
# Share of the cores in which the work ahead of a late job must be done before
# it. The rest is left to jobs that arrive later and can be in time.
LATE_CORES_SHARE = 0.2
# Share of the cores that customers beyond their share may fill. The rest is
# left to jobs of the others that arrive before the work is done.
LENT_CORES_SHARE = 0.5
# Part by which a pool must be able to grow with machines in standby so that
# neither applies: work of little value is then done on additional machines.
GROWTH_SHARE = 0.2


@attrs.frozen
class Verdict:
    """Decision on a submitted job.

    Attributes:
        accepted: Whether it is accepted.
        timely: Whether it is expected to meet its objective.
        reason: Reason of a rejection.
        retry_after_s: Time after which a rejected job would be accepted as far
            as is known, in seconds; 0 if a retry is rejected as well.
    """

    accepted: bool
    timely: bool = False
    reason: str = ""
    retry_after_s: int = 0


def time_left_s(job: _views.SubmissionView) -> float:
    """Returns the time in which a job must end to be expected in time."""
    used_s = job.waited_s + job.delay_s + OVERHEAD_S
    return job.objective_s * USABLE_OBJECTIVE - used_s


def value_left_s(job: _views.SubmissionView) -> float:
    """Returns the time in which a job must end to have value."""
    return job.objective_s * LATE_FACTOR - job.waited_s - job.delay_s


def late_slack_s(
    objective_s: float, waited_s: float, critical_path_s: float
) -> float:
    """Returns by how long a start may be delayed until the value is lost."""
    return objective_s * LATE_FACTOR - waited_s - critical_path_s


def judge_by_total(
    job: _views.SubmissionView, pool: _views.PoolView
) -> Verdict:
    """Returns the verdict in a deployment without customers.

    Answers a load that exceeds the pool for seconds: a job is accepted if it
    is expected to end while its result has value, after all work ahead of it.
    """
    left_s, late_s = time_left_s(job), value_left_s(job)
    timely = (
        left_s >= job.critical_path_s
        and pool.timely_work + job.work <= pool.cores * left_s
    )
    work = pool.timely_work + pool.late_work + job.work
    need_s = work / _usable_cores(pool)
    may_be_late = need_s + job.critical_path_s <= late_s
    if timely or (may_be_late and not job.only_timely):
        return Verdict(True, timely)
    retry_s = int(need_s + job.critical_path_s - late_s)
    return Verdict(False, False, "overload", max(MIN_RETRY_S, retry_s))


def judge_by_share(
    job: _views.SubmissionView, pool: _views.PoolView
) -> Verdict:
    """Returns the verdict in a deployment with customers.

    Answers a load that exceeds the pool while customers compete. A job is
    accepted as timely if the share of its customer suffices for it and for the
    customer's work ahead of it, and as late if it starts before its value is
    lost. An excess job is accepted only if the others leave room for it.
    """
    # The delay of the leader may be over when the job returns.
    if value_left_s(job) + job.delay_s < job.critical_path_s:
        return Verdict(False, False, "hopeless")
    if job.excess:
        if _excess_in_time(job, pool):
            return Verdict(True, True)
        return Verdict(False, False, "excess", _retry_s(job, pool))
    if _in_time(job, pool):
        return Verdict(True, True)
    if not job.only_timely and _may_be_late(job, pool):
        return Verdict(True, False)
    return Verdict(False, False, "overload", _retry_s(job, pool))


def share_cores(
    job: _views.SubmissionView, pool: _views.PoolView, span_s: float
) -> float:
    """Returns the cores that a job's customer gets for work of its priority.

    Args:
        job: The job.
        pool: Its pool.
        span_s: Time in which the work has to be done.
    """
    cores = pool.cores - pool.work_before(job.priority) / span_s
    work = pool.work_at(job.priority)
    work[job.customer] = work.get(job.customer, 0.0) + job.work
    demands = {name: value / span_s for name, value in work.items()}
    return _shares.fair_shares(demands, pool.weights, cores)[job.customer]


def _in_time(job: _views.SubmissionView, pool: _views.PoolView) -> bool:
    left_s = time_left_s(job)
    if left_s <= 0 or left_s < job.critical_path_s:
        return False
    if not _within_quota(job, pool, left_s):
        return False
    if job.yields:
        pool = attrs.evolve(pool, cores=pool.cores * (1 - SIZE_RESERVE))
    work = pool.work_at(job.priority)
    before = work.get(job.customer, 0.0)
    work[job.customer] = before + job.work
    available = pool.cores * left_s - pool.work_before(job.priority)
    total = sum(_shares.weight_of(name, pool.weights) for name in work)
    weight = _shares.weight_of(job.customer, pool.weights)
    entitled = available * weight / total
    if work[job.customer] > entitled:
        # The share of a small customer may be less than one job.
        whole = before < entitled or _can_grow(pool)
        lent = 1.0 if whole else LENT_CORES_SHARE
        if sum(work.values()) > available * lent:
            return False
    return _keeps_promises(job, pool, 0.0)


def _excess_in_time(job: _views.SubmissionView, pool: _views.PoolView) -> bool:
    left_s = time_left_s(job)
    work = sum(pool.work_by_claim.values()) + pool.excess_work + job.work
    work += sum(late for _, late in pool.promises)
    # Jobs that arrive later and are not excess go first.
    cores = pool.cores - pool.claimed_cores
    return (
        left_s >= job.critical_path_s
        and work <= cores * left_s
        and _within_quota(job, pool, left_s)
    )


def _may_be_late(job: _views.SubmissionView, pool: _views.PoolView) -> bool:
    """Returns whether a job ends with value after the work ahead of it."""
    slack_s = value_left_s(job) - job.critical_path_s
    if not _within_quota(job, pool, slack_s + job.critical_path_s):
        return False
    work = sum(pool.work_by_claim.values()) + job.work
    work += sum(late for _, late in pool.promises)
    whole = _can_grow(pool) or _is_entitled(job, pool, slack_s)
    share = 1.0 if whole else LATE_CORES_SHARE
    if work > share * _usable_cores(pool) * slack_s:
        return False
    return _keeps_promises(job, pool, slack_s)


def _is_entitled(
    job: _views.SubmissionView, pool: _views.PoolView, span_s: float
) -> bool:
    """Returns whether a customer's work is within its share in a time."""
    work = pool.work_at(job.priority)
    work[job.customer] = work.get(job.customer, 0.0) + job.work
    total = sum(_shares.weight_of(name, pool.weights) for name in work)
    weight = _shares.weight_of(job.customer, pool.weights)
    available = _usable_cores(pool) * span_s - pool.work_before(job.priority)
    return work[job.customer] <= available * weight / total


def _can_grow(pool: _views.PoolView) -> bool:
    return pool.standby_cores >= GROWTH_SHARE * _usable_cores(pool)


def _within_quota(
    job: _views.SubmissionView, pool: _views.PoolView, span_s: float
) -> bool:
    """Returns whether the quota allows a customer's work in a time.

    A customer without waiting work may submit any job: the objective of one
    that is wider than the quota counts the waves in which it runs.
    """
    if not pool.own_work:
        return True
    return pool.own_work + job.work <= pool.quota_cores * span_s


def _keeps_promises(
    job: _views.SubmissionView, pool: _views.PoolView, after_s: float
) -> bool:
    """Returns whether the late jobs still start while they have value.

    A promise that cannot be kept without the job either is ignored.

    Args:
        job: The job.
        pool: Its pool.
        after_s: Only late jobs that have to start after it are delayed.
    """
    cores = _usable_cores(pool)
    ahead = sum(pool.work_by_claim.values())
    for start_s, work in sorted(pool.promises):
        room = cores * start_s - ahead
        if start_s > after_s and 0 <= room < job.work:
            return False
        ahead += work
    return True


def _usable_cores(pool: _views.PoolView) -> float:
    return max(pool.cores, pool.expected_cores, 1.0)


def _retry_s(job: _views.SubmissionView, pool: _views.PoolView) -> int:
    """Returns the time after which a job would be accepted, in seconds.

    If it never would be as far as is known, it is the time until its value is
    lost: earlier returns would only be rejected as well.
    """
    slack_s = value_left_s(job) - job.critical_path_s
    latest_s = max(MIN_RETRY_S, int(slack_s))
    step_s = max(1, latest_s // MAX_RETRY_PROBES)
    for retry_s in range(MIN_RETRY_S, latest_s, step_s):
        if _accepted_after(job, pool, retry_s):
            return retry_s
    return latest_s


def _accepted_after(
    job: _views.SubmissionView, pool: _views.PoolView, delay_s: float
) -> bool:
    """Returns whether a job would be accepted after a time."""
    later = attrs.evolve(job, waited_s=job.waited_s + delay_s)
    rest = age(pool, delay_s)
    if later.excess:
        return _excess_in_time(later, rest)
    if _in_time(later, rest):
        return True
    return not job.only_timely and _may_be_late(later, rest)


def age(pool: _views.PoolView, delay_s: float) -> _views.PoolView:
    """Returns a pool after a time in which arrivals go on as they are.

    Work is done in the order of ranks, with the machines that are ready by
    then. What arrives goes before what is late or excess.
    """
    early_s = min(delay_s, pool.arrival_s)
    done = pool.cores * early_s + _usable_cores(pool) * (delay_s - early_s)
    done = max(0.0, done - pool.claimed_cores * delay_s)
    total = sum(pool.work_by_claim.values())
    left = max(0.0, 1 - done / total) if total else 0.0
    done = max(0.0, done - total)
    promises = []
    for start_s, work in sorted(pool.promises):
        rest = max(0.0, work - done)
        done = max(0.0, done - work)
        if rest and start_s >= delay_s:
            promises.append((start_s - delay_s, rest))
    arrived = delay_s >= pool.arrival_s
    own_work = pool.own_work
    if delay_s > 0:
        own_work = max(0.0, own_work - pool.quota_cores * delay_s)
    return attrs.evolve(
        pool,
        cores=_usable_cores(pool) if arrived else pool.cores,
        own_work=own_work,
        work_by_claim={
            claim: work * left for claim, work in pool.work_by_claim.items()
        },
        excess_work=max(0.0, pool.excess_work - done),
        promises=promises,
        arrival_s=max(0.0, pool.arrival_s - delay_s),
    )

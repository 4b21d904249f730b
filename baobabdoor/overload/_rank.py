"""Ranks the accepted jobs of a pool: which of them start first."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from baobabdoor.overload import _shares
from baobabdoor.overload import _views

# First element of a rank.
LASTING = 0
IN_TIME = 1
LATE = 2
EXCESS = 3
# Seconds of slack that weigh as much as a factor e in value per work. With 0,
# the order is that of the least slack.
DENSITY_SLACK_S = 0.25


@attrs.define
class Claim:
    """What a job takes from a pool.

    Attributes:
        pool: The pool.
        customer: Customer; empty for none.
        cores: Cores that the job uses or could use now.
    """

    pool: str
    customer: str
    cores: float


def rank_by_slack(job: _views.JobView) -> tuple:
    """Returns the rank of a job in a deployment without customers.

    Answers a load that exceeds the pool for seconds. Jobs that can meet their
    objective come first: by priority, those accepted as timely before the
    others, and by the least slack. Late jobs follow by priority, those that
    still have value before the others, and by the least delay.
    """
    if job.slack_s >= 0:
        return (IN_TIME, job.priority, int(not job.timely), 0, job.slack_s)
    no_value = int(job.late_slack_s < 0)
    return (LATE, job.priority, no_value, 0, -job.slack_s)


def rank_by_value(job: _views.JobView) -> tuple:
    """Returns the rank of a job in a deployment with customers.

    Answers a load that exceeds the pool while customers compete. Jobs that can
    meet their objective are ordered by slack and value per work; late ones by
    the time at which their value is lost, so that none of them starves behind
    later ones. Excess jobs come last. The fourth element is the place for
    `divide`.
    """
    if job.excess:
        return (EXCESS, job.priority, int(job.slack_s < 0), 0, job.slack_s)
    if job.slack_s >= 0:
        urgency_s = job.slack_s - DENSITY_SLACK_S * math.log(job.density)
        return (IN_TIME, job.priority, int(not job.timely), 0, urgency_s)
    no_value = int(job.late_slack_s < 0)
    return (LATE, job.priority, no_value, 0, job.late_slack_s)


def divide(
    ranked: Sequence[tuple[tuple, Claim | None]],
    cores: Mapping[str, float],
    weights: Mapping[str, float],
) -> list[tuple]:
    """Returns ranks by which customers get a pool by weight.

    Answers a customer that sends more than its share of a full pool. Among jobs
    of equal priority that can be in time, those beyond the share of their
    customer follow the others. What nobody uses of a share remains for them.

    Args:
        ranked: Ranks of `rank_by_value`, in ascending order, with the claims of
            the jobs; `None` for jobs that take no part.
        cores: Cores of each pool.
        weights: Weights of customers.
    """
    wanted: dict[tuple[str, str], float] = {}
    for rank, claim in ranked:
        if claim is not None and rank[0] == IN_TIME:
            holder = (claim.pool, claim.customer)
            wanted[holder] = wanted.get(holder, 0.0) + claim.cores
    left = _divide_pools(wanted, cores, weights)
    ranks = []
    for rank, claim in ranked:
        if claim is not None and rank[0] == IN_TIME:
            holder = (claim.pool, claim.customer)
            # The demand of a customer within its share equals the share.
            if left[holder] <= 0 < claim.cores:
                rank = (rank[0], rank[1], rank[2], 1, rank[4])
            left[holder] -= claim.cores
        ranks.append(rank)
    return ranks


def _divide_pools(
    wanted: Mapping[tuple[str, str], float],
    cores: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[tuple[str, str], float]:
    """Returns the share of each customer in each pool, in cores."""
    demands: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for (pool, customer), demand in wanted.items():
        demands[pool][customer] = demand
    shares = {}
    for pool, by_customer in demands.items():
        divided = _shares.fair_shares(
            by_customer, weights, cores.get(pool, 0.0)
        )
        for customer, share in divided.items():
            shares[pool, customer] = share
    return shares

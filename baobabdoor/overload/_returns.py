"""Counts verdicts and what becomes of rejected jobs that return."""

import collections

# Maximum number of rejected jobs in memory.
MAX_REMEMBERED_JOBS = 2000
# A caller that returns this much too early has waited for Retry-After: its
# clock and the network differ by as much.
EARLY_S = 0.1


class VerdictCounts:
    """Counts of verdicts by customer, to be published as a metric.

    Example:
        >>> counts = VerdictCounts()
        >>> counts.observe("j1", "club", "rejected", 10.0, retry_after_s=2)
        >>> counts.observe("j1", "club", "accepted", 12.0)
        >>> sorted(counts.take())[0]
        ('club', 'accepted')
    """

    def __init__(self):
        # Time at which each rejected job was told to return.
        self.returns_s_: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.counts_: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def observe(
        self,
        job_id: str,
        customer: str,
        outcome: str,
        now_s: float,
        retry_after_s: int = 0,
    ) -> None:
        """Counts a verdict.

        Args:
            job_id: The job.
            customer: Customer; empty for none.
            outcome: `accepted`, `accepted_late`, `rejected`, `excess`, `shed`
                or `hopeless`. The last four are rejections.
            now_s: Current time.
            retry_after_s: Time after which a rejected job may return.
        """
        self.counts_[customer, outcome] += 1
        accepted = outcome in ("accepted", "accepted_late")
        told_s = self.returns_s_.pop(job_id, None)
        if told_s is not None and now_s >= told_s - EARLY_S:
            suffix = "accepted" if accepted else "rejected"
            self.counts_[customer, f"returned_{suffix}"] += 1
        if not accepted:
            self.returns_s_[job_id] = now_s + retry_after_s
            if len(self.returns_s_) > MAX_REMEMBERED_JOBS:
                self.returns_s_.popitem(last=False)

    def take(self) -> dict[tuple[str, str], int]:
        """Returns and clears the counts since the last call."""
        counts, self.counts_ = self.counts_, collections.Counter()
        return dict(counts)

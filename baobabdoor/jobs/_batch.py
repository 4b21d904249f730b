"""Writes job rows in batches of conditional transactions."""

from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor.jobs import _types

# Rows per transaction. Batching keeps a burst of thousands of cancellations
# below the platform's limit of several hundred writes per second.
MAX_ROWS = 50
MAX_ATTEMPTS = 4


@attrs.frozen
class BatchResult:
    """Result of writing a batch of jobs.

    Attributes:
        committed: Jobs written, with their new versions.
        conflicting: Identifiers of jobs whose rows had changed.
        refusal: Why the remaining jobs were not written; None if there are
            none.
    """

    committed: list[_types.Job]
    conflicting: list[str]
    refusal: base.Refusal | None = None


async def commit_jobs(
    platform: platform_lib.Platform,
    fence: platform_lib.Condition,
    jobs: Sequence[_types.Job],
) -> BatchResult:
    """Writes jobs, conditional on their row versions and the control epoch.

    Args:
        platform: Client of the platform.
        fence: Condition that holds only while this entry has the control lease.
        jobs: New values; `version` is the version of the row to replace.
    """
    committed: list[_types.Job] = []
    conflicting: list[str] = []
    for start in range(0, len(jobs), MAX_ROWS):
        chunk = list(jobs[start : start + MAX_ROWS])
        refusal = await _commit_chunk(
            platform, fence, chunk, committed, conflicting
        )
        if refusal is not None:
            return BatchResult(committed, conflicting, refusal)
    return BatchResult(committed, conflicting)


async def _commit_chunk(
    platform: platform_lib.Platform,
    fence: platform_lib.Condition,
    chunk: list[_types.Job],
    committed: list[_types.Job],
    conflicting: list[str],
) -> base.Refusal | None:
    """Writes one chunk; removes conflicting jobs and retries."""
    unknown = False
    for _ in range(MAX_ATTEMPTS + len(chunk)):
        if not chunk:
            return None
        result = await _transact(platform, fence, chunk)
        if isinstance(result, platform_lib.Committed):
            committed.extend(_with_versions(chunk, result))
            return None
        if isinstance(result, platform_lib.Unknown):
            unknown = True
            continue
        if isinstance(result, base.Refusal):
            return result
        if result.row.key == fence.key:
            return base.Refusal(base.Reason.NOT_HOLDER, "jobs.commit")
        if unknown:
            # The conflict may come from an earlier attempt of this call whose
            # result is unknown. The caller reads all rows again to find out.
            conflicting.extend(job.spec.job_id for job in chunk)
            return None
        conflicting.append(result.row.key.removeprefix(_types.JOB_PREFIX))
        chunk = [job for job in chunk if job.key != result.row.key]
    return base.Refusal(base.Reason.UNKNOWN_RESULT, "jobs.commit", "platform")


async def _transact(
    platform: platform_lib.Platform,
    fence: platform_lib.Condition,
    chunk: list[_types.Job],
) -> platform_lib.TransactionResult:
    conditions = [fence]
    writes = []
    for job in chunk:
        conditions.append(platform_lib.Condition(job.key, job.version))
        writes.append(platform_lib.Write(job.key, job.to_row()))
    return await platform.transact(conditions, writes)


def _with_versions(
    chunk: list[_types.Job], result: platform_lib.Committed
) -> list[_types.Job]:
    return [
        attrs.evolve(job, version=result.versions[job.key]) for job in chunk
    ]


async def clear_inbox(
    platform: platform_lib.Platform,
    fence: platform_lib.Condition,
    rows: Sequence[platform_lib.Row],
) -> None:
    """Deletes inbox rows unless they have changed since they were read."""
    for start in range(0, len(rows), MAX_ROWS):
        chunk = rows[start : start + MAX_ROWS]
        conditions = [fence]
        conditions.extend(
            platform_lib.Condition(row.key, row.version) for row in chunk
        )
        writes = [platform_lib.Write(row.key, None) for row in chunk]
        # After a failure the rows are read again in the next step.
        await platform.transact(conditions, writes)

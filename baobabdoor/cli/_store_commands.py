"""Commands `store owner|job|jobs|workers|waves`.

They show the rows that daemons on the users' platform keep in its store, and
are read-only.
"""

import collections
from collections.abc import Sequence
import json

from baobabdoor import base
from baobabdoor import dispatch
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes

ExitCode = _exit_codes.ExitCode


async def _read_rows(
    context: _context.Context, table: str, part: str = dispatch.PART
) -> list[platform.StoredRow]:
    if context.store is None:
        raise _exit_codes.CommandError(
            ExitCode.USAGE, "--store: expected IP:PORT, found nothing"
        )
    result = await context.store.read_all(table, part)
    if isinstance(result, base.Refusal):
        raise _exit_codes.CommandError(ExitCode.UNREACHABLE, str(result))
    return list(result.rows)


def _show_rows(
    context: _context.Context, columns: Sequence[str], rows: list[tuple]
) -> None:
    """Shows rows; `columns` are the table headers and the JSON fields."""
    value = [dict(zip(columns, row, strict=True)) for row in rows]
    context.show(value, columns, rows)


async def store_leader(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the current leader and its fencing token."""
    del arguments
    rows = await _read_rows(context, dispatch.LEADER_TABLE)
    matches = [row for row in rows if row.key == dispatch.LEADER_KEY]
    if not matches:
        raise _exit_codes.CommandError(ExitCode.REFUSED, "no holder yet")
    leader = json.loads(matches[0].value) | {"token": matches[0].version}
    context.show(
        leader,
        ("daemon", "address", "tenure", "token", "released"),
        [
            (
                leader["node"],
                leader["address"],
                leader["number"],
                leader["token"],
                "yes" if leader["released"] else "no",
            )
        ],
    )
    return ExitCode.DONE


async def store_jobs(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the number of jobs by queue and state."""
    del arguments
    counts: collections.Counter = collections.Counter()
    for row in await _read_rows(context, dispatch.JOBS_TABLE):
        job = scheduling.decode_job(row.key, row.value, row.version)
        counts[job.spec.queue, job.state.value] += 1
    rows = sorted((*key, count) for key, count in counts.items())
    columns = ("queue", "state", "jobs")
    _show_rows(context, columns, rows)
    return ExitCode.DONE


async def store_job(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the state of a job, its steps and their failed runs."""
    rows = await _read_rows(context, dispatch.JOBS_TABLE)
    matches = [row for row in rows if row.key == arguments[0]]
    if not matches:
        raise _exit_codes.CommandError(
            ExitCode.REFUSED, f"{arguments[0]}: no such job"
        )
    job = scheduling.decode_job(
        arguments[0], matches[0].value, matches[0].version
    )
    steps = [
        {
            "step": f"{occurrence}.{step}",
            "tasks": len(tasks),
            "done": sum(task.done for task in tasks),
            "failed_runs": sum(task.failures for task in tasks),
        }
        for (occurrence, step), tasks in job.steps.items()
    ]
    value = {
        "job": arguments[0],
        "queue": job.spec.queue,
        "state": job.state.value,
        "reason": job.reason,
        "version": job.row_version,
        "steps": steps,
    }
    if context.json:
        context.show(value, (), ())
        return ExitCode.DONE
    reason = f" ({job.reason})" if job.reason else ""
    print(f"{arguments[0]} queue={job.spec.queue} {job.state.value}{reason}")
    context.show(
        steps,
        ("step", "tasks", "done", "failed runs"),
        [tuple(step.values()) for step in steps],
    )
    return ExitCode.DONE


async def store_workers(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Lists the workers and whether the leader has enrolled them.

    An enrolled worker may have runs of a term, even if it is not listed.
    """
    del arguments
    enrolled: dict = {}
    for row in await _read_rows(context, dispatch.ROSTER_TABLE):
        enrolled |= json.loads(row.value)
    rows = []
    for row in await _read_rows(context, platform.WORKERS_TABLE, ""):
        is_enrolled = "yes" if enrolled.pop(row.key, None) else "no"
        try:
            record = platform.decode_worker(row.key, row.value)
        except platform.MessageError:
            rows.append((row.key, "", "", "unreadable", is_enrolled))
            continue
        state = "draining" if record.draining else "ready"
        rows.append((row.key, record.pool, record.machine, state, is_enrolled))
    rows += [
        (worker_id, enrollment[1], enrollment[4], "unlisted", "yes")
        for worker_id, enrollment in sorted(enrolled.items())
    ]
    columns = ("worker", "pool", "machine", "state", "enrolled")
    _show_rows(context, columns, rows)
    return ExitCode.DONE


async def store_waves(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the number of machines by phase in each maintenance wave."""
    del arguments
    rows = []
    for row in await _read_rows(context, dispatch.WAVES_TABLE):
        phases = collections.Counter(
            phase for phase, _ in json.loads(row.value)["machines"].values()
        )
        rows.append(
            (row.key, phases["intended"], phases["down"], phases["done"])
        )
    columns = ("wave", "intended", "down", "done")
    _show_rows(context, columns, rows)
    return ExitCode.DONE

"""`store owner|job|jobs|workers|waves`: what the platform's store holds.

For operators of daemons on the users' platform. Nothing is changed.
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


async def _read(
    context: _context.Context, table: str, part: str = dispatch.PART
) -> list[platform.StoredRow]:
    if context.store is None:
        raise _exit_codes.CommandError(
            ExitCode.USAGE, "--store: expected IP:PORT, found nothing"
        )
    answer = await context.store.read_all(table, part)
    if isinstance(answer, base.Refusal):
        raise _exit_codes.CommandError(ExitCode.UNREACHABLE, str(answer))
    return list(answer.rows)


def _show_rows(
    context: _context.Context, names: Sequence[str], rows: list[tuple]
) -> None:
    """Shows rows whose columns are also the names of their JSON fields."""
    value = [dict(zip(names, row, strict=True)) for row in rows]
    context.show(value, names, rows)


async def store_owner(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows which daemon holds the tenure."""
    del arguments
    rows = await _read(context, dispatch.LEADER_TABLE)
    found = [row for row in rows if row.key == dispatch.LEADER_KEY]
    if not found:
        raise _exit_codes.CommandError(ExitCode.REFUSED, "no holder yet")
    holder = json.loads(found[0].value) | {"token": found[0].version}
    context.show(
        holder,
        ("daemon", "address", "tenure", "token", "released"),
        [
            (
                holder["node"],
                holder["address"],
                holder["number"],
                holder["token"],
                "yes" if holder["released"] else "no",
            )
        ],
    )
    return ExitCode.DONE


async def store_jobs(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Counts the jobs of each queue by state."""
    del arguments
    counts: collections.Counter = collections.Counter()
    for row in await _read(context, dispatch.JOBS_TABLE):
        job = scheduling.decode_job(row.key, row.value, row.version)
        counts[job.spec.queue, job.state.value] += 1
    table = sorted((*key, count) for key, count in counts.items())
    names = ("queue", "state", "jobs")
    _show_rows(context, names, table)
    return ExitCode.DONE


async def store_job(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the state of one job, its steps and failed runs."""
    rows = await _read(context, dispatch.JOBS_TABLE)
    found = [row for row in rows if row.key == arguments[0]]
    if not found:
        raise _exit_codes.CommandError(
            ExitCode.REFUSED, f"{arguments[0]}: no such job"
        )
    job = scheduling.decode_job(arguments[0], found[0].value, found[0].version)
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
    """Lists the workers, and whether they may have runs of a tenure."""
    del arguments
    enrolled: dict = {}
    for row in await _read(context, dispatch.ROSTER_TABLE):
        enrolled |= json.loads(row.value)
    table = []
    for row in await _read(context, platform.WORKERS_TABLE, ""):
        record = platform.decode_worker(row.key, row.value)
        if record is None:
            continue
        state = "draining" if record.draining else "ready"
        roster = "yes" if enrolled.pop(row.key, None) else "no"
        table.append((row.key, record.pool, record.machine, state, roster))
    table += [
        (worker_id, entry[1], entry[4], "unlisted", "yes")
        for worker_id, entry in sorted(enrolled.items())
    ]
    names = ("worker", "pool", "machine", "state", "enrolled")
    _show_rows(context, names, table)
    return ExitCode.DONE


async def store_waves(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows how far each wave of upkeep is."""
    del arguments
    table = []
    for row in await _read(context, dispatch.WAVES_TABLE):
        phases = collections.Counter(
            phase for phase, _ in json.loads(row.value)["machines"].values()
        )
        table.append(
            (row.key, phases["intended"], phases["down"], phases["done"])
        )
    names = ("wave", "intended", "down", "done")
    _show_rows(context, names, table)
    return ExitCode.DONE

"""Commands `pool list`, `vm list`, `status` and `timeline`."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import sys
from typing import Any

from baobabdoor import timeline
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes
from baobabdoor.cli import _log_commands

ExitCode = _exit_codes.ExitCode


POOL_COLUMNS = {
    "pool": "pool",
    "in service": "in_service",
    "promised": "promised",
    "unavailable": "unavailable",
    "budget": "budget",
    "reason": "reason",
}
VM_COLUMNS = {
    "vm": "vm_id",
    "zone": "availability_zone",
    "rack": "rack",
    "pool": "pool",
    "phase": "phase",
    "target": "target_pool",
}


async def pool_list(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Lists the pools with their promised and available capacity.

    The arguments are filters, such as `pool=results-desk`.
    """
    return await _show_list(context, "pools", POOL_COLUMNS, arguments)


async def vm_list(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Lists the VMs with their pool and phase.

    The arguments are filters, such as `zone=taal` or `phase=failed`.
    """
    return await _show_list(context, "vms", VM_COLUMNS, arguments, empty="-")


async def _show_list(
    context: _context.Context,
    name: str,
    columns: Mapping[str, str],
    arguments: Sequence[str],
    empty: str = "",
) -> ExitCode:
    """Shows the selected items of `/v1/<name>`, sorted by the first column.

    Args:
        context: Context of the command.
        name: Name of the list.
        columns: Fields of the items by header.
        arguments: Filters; an item is shown if it matches all of them.
        empty: Text of an empty cell.
    """
    filters = _parse_filters(name, columns, arguments)
    reply = await context.client.get(f"/v1/{name}")
    items = [
        item
        for item in reply.body[name]
        if all(str(item[field]) == value for field, value in filters.items())
    ]
    first_field = next(iter(columns.values()))
    items.sort(key=lambda item: item[first_field])
    rows = []
    for item in items:
        cells = [item[field] for field in columns.values()]
        rows.append([empty if cell == "" else cell for cell in cells])
    context.show({**reply.body, name: items}, list(columns), rows)
    return ExitCode.DONE


def _parse_filters(
    name: str, columns: Mapping[str, str], arguments: Sequence[str]
) -> dict[str, str]:
    """Returns the wanted values by field.

    Raises:
        CommandError: A filter does not have the form COLUMN=VALUE.
    """
    filters = {}
    for argument in arguments:
        column, separator, value = argument.partition("=")
        if column not in columns or not separator:
            expected = ", ".join(f"{header}=" for header in columns)
            raise _exit_codes.CommandError(
                ExitCode.USAGE,
                f"{name}: expected {expected}; found {argument!r}",
            )
        filters[columns[column]] = value
    return filters


async def status(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the state and generation of every entry."""
    del arguments
    first_reply = await context.client.get("/v1/status")
    reports = await _read_all_entries(context, first_reply, "/v1/status")
    value = {"entries": [reports[entry_id] for entry_id in sorted(reports)]}
    rows = []
    for entry_id in sorted(reports):
        rows.append(_status_row(entry_id, reports[entry_id], first_reply.body))
    header = ("entry", "zone", "state", "generation", "preset", "control")
    context.show(value, header, rows)
    if not context.json:
        _print_pools_below_promise(first_reply.body)
    return ExitCode.DONE


def _status_row(
    entry_id: str, report: dict[str, Any], first_report: dict[str, Any]
) -> tuple:
    holder = first_report.get("control", {}).get("holder", "")
    control = "holder" if holder == entry_id else ""
    return (
        entry_id,
        report.get("availability_zone", ""),
        report.get("state", "reachable"),
        report.get("generation", "-"),
        report.get("preset", "-"),
        control,
    )


def _print_pools_below_promise(report: dict[str, Any]) -> None:
    for pool in report.get("pools", []):
        if pool["in_service"] < pool["promised"]:
            print(
                f"pool {pool['pool']} is short: {pool['in_service']} of"
                f" {pool['promised']} in service; {pool['reason']}"
            )


async def show_timeline(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the events of all processes in time order.

    The arguments are filters: `kind=PREFIX`, `process=ID`, `peer=ID` or
    `cause=ID`; with `--request`, log files of the processes.
    """
    if context.request:
        return await _log_commands.show_request(
            context, context.request, arguments
        )
    event_filter = _parse_filter(arguments)
    first_reply = await context.client.get("/v1/status")
    reports = await _read_all_entries(context, first_reply, "/v1/timeline")
    streams = []
    for entry_id, report in reports.items():
        if "events" not in report:
            print(f"{entry_id}: cannot be reached", file=sys.stderr)
            continue
        events = [timeline.Event.from_json(data) for data in report["events"]]
        streams.append(events)
    merged = list(timeline.merge_events(streams, event_filter))
    rows = [
        (
            event.time,
            event.process,
            event.kind,
            event.peer or "-",
            event.cause or "-",
            " ".join(f"{key}={value}" for key, value in event.fields.items()),
        )
        for event in merged
    ]
    header = ("time", "process", "event", "peer", "cause", "fields")
    value = {"events": [event.to_json() for event in merged]}
    context.show(value, header, rows)
    return ExitCode.DONE


def _parse_filter(arguments: Sequence[str]) -> timeline.EventFilter:
    fields = {}
    for argument in arguments:
        name, separator, value = argument.partition("=")
        if name not in ("kind", "process", "peer", "cause") or not separator:
            raise _exit_codes.CommandError(
                ExitCode.USAGE,
                "timeline: expected kind=, process=, peer= or cause=,"
                f" found {argument!r}",
            )
        fields[name] = value
    return timeline.EventFilter(**fields)


async def _read_all_entries(
    context: _context.Context, first_reply: Any, path: str
) -> dict[str, dict[str, Any]]:
    """Reads a path from all entries known to the first one.

    Returns:
        Response of each entry by its identifier. An unreachable entry has the
        status that the first entry reports for it.
    """
    first_id = first_reply.body["entry_id"]
    peers = {peer["entry_id"]: peer for peer in first_reply.body["peers"]}
    urls = {entry_id: peer["control"] for entry_id, peer in peers.items()}
    urls[first_id] = first_reply.entry

    async def read_entry(entry_id: str) -> dict[str, Any]:
        try:
            reply = await context.client.get(path, urls[entry_id])
        except _exit_codes.CommandError:
            return {**peers.get(entry_id, {}), "entry_id": entry_id}
        return reply.body

    entry_ids = sorted(urls)
    reports = await asyncio.gather(*(read_entry(name) for name in entry_ids))
    return dict(zip(entry_ids, reports, strict=True))

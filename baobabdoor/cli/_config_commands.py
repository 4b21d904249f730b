"""Commands `config check|apply|show|change` and `preset list|show|switch`."""

from collections.abc import Sequence
import sys
from typing import Any

import attrs

from baobabdoor import platform
from baobabdoor import settings
from baobabdoor.cli import _client
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes

ExitCode = _exit_codes.ExitCode


def _load_deployment(path: str) -> settings.Deployment:
    try:
        return settings.load_deployment(path)
    except settings.SettingsError as error:
        raise _exit_codes.CommandError(ExitCode.USAGE, str(error)) from error


async def config_check(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Validates a deployment file or the settings file of a daemon."""
    if platform.is_settings(arguments[0]):
        return _check_daemon_settings(context, arguments[0])
    deployment = _load_deployment(arguments[0])
    workers = sum(pool.workers for pool in deployment.pools.values())
    summary = {
        "deployment": deployment.deployment,
        "pools": len(deployment.pools),
        "presets": sorted(deployment.presets),
        "workers": workers,
    }
    context.show_line(
        summary,
        f"{arguments[0]}: valid; {len(deployment.pools)} pools, {workers}"
        f" workers, presets {', '.join(sorted(deployment.presets))}",
    )
    return ExitCode.DONE


def _check_daemon_settings(context: _context.Context, path: str) -> ExitCode:
    try:
        daemon = platform.load_settings(path)
    except platform.SettingsError as error:
        raise _exit_codes.CommandError(ExitCode.USAGE, str(error)) from error
    context.show_line(
        attrs.asdict(daemon),
        f"{path}: valid; daemon {daemon.node} in zone {daemon.zone}",
    )
    return ExitCode.DONE


async def config_apply(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Validates a deployment file and applies it."""
    deployment = _load_deployment(arguments[0])
    body = {
        "document": settings.unstructure(deployment),
        "source": arguments[0],
    }
    return await _submit_change(context, "/v1/config", body)


async def config_show(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the configuration in force."""
    del arguments
    reply = await context.client.get("/v1/config")
    body = reply.body
    rows = [
        (field, body.get(field, ""))
        for field in ("generation", "preset", "change_id", "operator")
    ]
    context.show(body, ("field", "value"), rows)
    return ExitCode.DONE


async def preset_list(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Lists the presets and marks the one in force."""
    del arguments
    reply = await context.client.get("/v1/preset")
    in_force = reply.body["in_force"]
    rows = [
        (name, "in force" if name == in_force else "")
        for name in reply.body["presets"]
    ]
    context.show(reply.body, ("preset", "state"), rows)
    return ExitCode.DONE


async def preset_show(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the named preset or the one in force."""
    reply = await context.client.get("/v1/config")
    document = reply.body.get("document")
    if document is None:
        raise _exit_codes.CommandError(
            ExitCode.REFUSED, "no configuration is in force"
        )
    name = arguments[0] if arguments else reply.body["preset"]
    preset = document["presets"].get(name)
    if preset is None:
        known = ", ".join(sorted(document["presets"]))
        raise _exit_codes.CommandError(
            ExitCode.USAGE, f"preset: expected one of {known}, found {name!r}"
        )
    rows = [
        (
            pool,
            promise["min_workers"],
            promise["max_workers"],
            promise["availability_budget"],
        )
        for pool, promise in sorted(preset["pools"].items())
    ]
    header = ("pool", "min workers", "max workers", "availability budget")
    context.show({"preset": name, **preset}, header, rows)
    return ExitCode.DONE


async def preset_switch(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Switches to another preset."""
    return await _submit_change(context, "/v1/preset", {"preset": arguments[0]})


async def change_show(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the result of a change."""
    return await _look_up_change(context, arguments[0])


async def _submit_change(
    context: _context.Context, path: str, body: dict[str, Any]
) -> ExitCode:
    change_id = context.change_id or _context.new_change_id()
    body = {
        **body,
        "change_id": change_id,
        "operator": context.operator,
        "expected_generation": context.expected_generation,
        "repeated": bool(context.change_id),
    }
    try:
        reply = await context.client.send("POST", path, body)
    except _client.ResponseLostError as error:
        print(
            f"answer lost ({error}); looking up change {change_id}",
            file=sys.stderr,
        )
        return await _look_up_change(context, change_id)
    return _print_result(context, change_id, reply.body)


async def _look_up_change(
    context: _context.Context, change_id: str
) -> ExitCode:
    try:
        reply = await context.client.get(f"/v1/config/changes/{change_id}")
    except _exit_codes.CommandError as error:
        raise _exit_codes.CommandError(
            ExitCode.UNKNOWN,
            f"change {change_id}: outcome unknown; {error}",
        ) from error
    return _print_result(context, change_id, reply.body)


def _print_result(
    context: _context.Context, change_id: str, result: dict[str, Any]
) -> ExitCode:
    """Prints the result of a change and returns its exit code."""
    result = {**result, "change_id": change_id}
    code, line = _describe(result)
    context.show_line(result, f"change {change_id}: {line}")
    return code


def _describe(result: dict[str, Any]) -> tuple[ExitCode, str]:
    kind = result["result"]
    if kind == "applied":
        return ExitCode.DONE, f"applied as generation {result['generation']}"
    if kind == "superseded":
        current = result["current"]
        line = (
            f"applied as generation {result['generation']}, since superseded by"
            f" generation {current['generation']} of {current['operator']}"
        )
        return ExitCode.DONE, line
    detail = result["refusal"]["detail"] or result["refusal"]["reason"]
    if kind == "unknown":
        return ExitCode.UNKNOWN, f"outcome unknown: {detail}"
    if result["winner"]:
        return ExitCode.CONFLICT, f"not applied, conflict: {detail}"
    return ExitCode.REFUSED, f"not applied: {detail}"

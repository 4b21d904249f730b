"""Commands `job submit|show|cancel`."""

from collections.abc import Sequence
import pathlib
from typing import Any

import yaml

from baobabdoor.cli import _client
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes

ExitCode = _exit_codes.ExitCode


async def job_submit(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Submits a job from a YAML file."""
    body = _read_job(arguments[0])
    # The client chooses the identifier, so that a repeated command finds the
    # job of the first one.
    body.setdefault("job_id", context.change_id or _context.new_change_id())
    try:
        reply = await context.client.send("POST", "/v1/jobs", body)
    except _client.ResponseLostError as error:
        raise _exit_codes.CommandError(
            ExitCode.UNKNOWN,
            f"job {body['job_id']}: outcome unknown ({error}); use"
            f" `baobabdoor job show {body['job_id']}`",
        ) from error
    return _show_job(context, reply.body)


async def job_show(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Shows the state of a job."""
    reply = await context.client.get(f"/v1/jobs/{arguments[0]}")
    return _show_job(context, reply.body)


async def job_cancel(
    context: _context.Context, arguments: Sequence[str]
) -> ExitCode:
    """Cancels a job."""
    path = f"/v1/jobs/{arguments[0]}"
    try:
        reply = await context.client.send("DELETE", path, None)
    except _client.ResponseLostError as error:
        raise _exit_codes.CommandError(
            ExitCode.UNKNOWN, f"job {arguments[0]}: outcome unknown ({error})"
        ) from error
    return _show_job(context, reply.body)


def _read_job(path: str) -> dict[str, Any]:
    try:
        body = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, yaml.YAMLError) as error:
        line = " ".join(str(error).split())
        raise _exit_codes.CommandError(
            ExitCode.USAGE, f"{path}: {line}"
        ) from error
    if not isinstance(body, dict):
        raise _exit_codes.CommandError(
            ExitCode.USAGE, f"{path}: expected a mapping"
        )
    return body


def _show_job(context: _context.Context, body: dict[str, Any]) -> ExitCode:
    rows = [(field, body[field]) for field in sorted(body)]
    context.show(body, ("field", "value"), rows)
    return ExitCode.DONE

"""`timeline --request ID FILE...`: the lines of one request in all logs."""

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
import shlex

import attrs

from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes

ExitCode = _exit_codes.ExitCode
# Fields that are columns of their own.
COLUMNS = ("timestamp", "process", "event", "component", "level")


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes:
        fields: Its fields by name.
    """

    fields: dict[str, str]

    @property
    def order(self) -> str:
        """Text by which lines of all processes are sorted."""
        return self.fields.get("timestamp", "")

    def concerns(self, ids: set[str]) -> bool:
        """Returns whether a request, a job or a task of one is named."""
        for name in ("request", "job", "task", "step"):
            value = self.fields.get(name, "")
            if value and (value in ids or value.split(".")[0] in ids):
                return True
        return False

    @property
    def workers(self) -> set[str]:
        """Workers that are named, alone or with the tasks placed on them."""
        placed = self.fields.get("placed", "").split()
        named = {self.fields.get("worker", "")}
        return (named | {part.partition(":")[0] for part in placed}) - {""}


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Parses lines of key=value pairs; others are left out."""
    parsed = []
    for line in lines:
        if "event=" not in line:
            continue
        try:
            words = shlex.split(line)
        except ValueError:
            words = line.split()
        pairs = (word.partition("=") for word in words if "=" in word)
        parsed.append(LogLine({name: value for name, _, value in pairs}))
    return parsed


def select(lines: Sequence[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of a request or job, in order.

    A request names its job, so lines of the job and its tasks belong to it,
    with those about the workers that ran them.
    """
    ids = {request_id}
    for line in lines:
        if line.fields.get("request") == request_id:
            ids.add(line.fields.get("job", request_id))
    chosen = [line for line in lines if line.concerns(ids)]
    workers = set().union(*(line.workers for line in chosen))
    chosen += [
        line
        for line in lines
        if line.fields.get("worker") in workers
        and not line.concerns(ids)
        and line.fields["event"].startswith("worker_")
    ]
    return sorted(chosen, key=lambda line: line.order)


async def show_request(
    context: _context.Context, request_id: str, files: Sequence[str]
) -> ExitCode:
    """Prints what all processes logged about a request or job."""
    lines: list[LogLine] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            raise _exit_codes.CommandError(
                ExitCode.USAGE, f"{name}: {error.strerror}"
            ) from error
        lines += parse_lines(text.splitlines())
    chosen = select(lines, request_id)
    if not chosen:
        raise _exit_codes.CommandError(
            ExitCode.REFUSED, f"no line names {request_id}"
        )
    rows = [
        (
            line.fields.get("timestamp", "-"),
            line.fields.get("process", "-"),
            line.fields.get("event", "-"),
            " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name not in COLUMNS
            ),
        )
        for line in chosen
    ]
    value = {"lines": [line.fields for line in chosen]}
    context.show(value, ("time", "process", "event", "fields"), rows)
    return ExitCode.DONE

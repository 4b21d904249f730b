"""Command `timeline --request ID FILE...`: log lines of a request or job."""

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
import shlex

import attrs

from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes

ExitCode = _exit_codes.ExitCode
# Fields that the column `fields` omits.
OMITTED_FIELDS = ("timestamp", "process", "event", "component", "level")


@attrs.frozen
class LogLine:
    """Parsed line of a log.

    Attributes:
        fields: Values by key.
    """

    fields: dict[str, str]

    @property
    def sort_key(self) -> str:
        """Key that sorts the lines of all processes by time."""
        return self.fields.get("timestamp", "")

    def mentions(self, ids: set[str]) -> bool:
        """Returns whether the line names one of the requests or jobs `ids`."""
        for name in ("request", "job", "task", "step"):
            value = self.fields.get(name, "")
            if value and (value in ids or value.split(".")[0] in ids):
                return True
        return False

    @property
    def workers(self) -> set[str]:
        """Workers that the line names, also those in a list of placed tasks."""
        placed = self.fields.get("placed", "").split()
        named = {self.fields.get("worker", "")}
        return (named | {part.partition(":")[0] for part in placed}) - {""}


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Parses lines of key=value pairs and skips all others."""
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


def select_lines(lines: Sequence[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of a request or job in time order.

    The lines of a request name its job. The result includes the lines of that
    job, of its tasks, and of state changes of the workers that ran them.
    """
    ids = {request_id}
    for line in lines:
        if line.fields.get("request") == request_id:
            ids.add(line.fields.get("job", request_id))
    selected = [line for line in lines if line.mentions(ids)]
    workers = set().union(*(line.workers for line in selected))
    selected += [
        line
        for line in lines
        if line.fields.get("worker") in workers
        and not line.mentions(ids)
        and line.fields["event"].startswith("worker_")
    ]
    return sorted(selected, key=lambda line: line.sort_key)


async def show_request(
    context: _context.Context, request_id: str, files: Sequence[str]
) -> ExitCode:
    """Shows the log lines of a request or job from all processes."""
    lines: list[LogLine] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text("utf-8", "replace")
        except OSError as error:
            raise _exit_codes.CommandError(
                ExitCode.USAGE, f"{name}: {error.strerror}"
            ) from error
        lines += parse_lines(text.splitlines())
    selected = select_lines(lines, request_id)
    if not selected:
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
                if name not in OMITTED_FIELDS
            ),
        )
        for line in selected
    ]
    value = {"lines": [line.fields for line in selected]}
    context.show(value, ("time", "process", "event", "fields"), rows)
    return ExitCode.DONE

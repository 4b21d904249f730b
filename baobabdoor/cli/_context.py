"""Context of a command: its clients, options and output."""

from collections.abc import Callable
from collections.abc import Sequence
import getpass
import os
from typing import Any
import uuid

import attrs

from baobabdoor import platform
from baobabdoor.cli import _client
from baobabdoor.cli import _output


@attrs.frozen
class Context:
    """Clients, options and output of one command.

    Attributes:
        client: Client of the operators' API.
        json: Whether to print JSON instead of text.
        operator: Name of the operator.
        change_id: Identifier of a change to repeat; empty for a new change.
        expected_generation: Generation that the change is based on, if given.
        request: Request or job to find in log files; empty for none.
        store: Client of the platform's store, if its address is given.
    """

    client: _client.OperatorClient
    json: bool
    operator: str
    change_id: str = ""
    expected_generation: int | None = None
    request: str = ""
    store: platform.StoreClient | None = None

    def show(
        self,
        value: Any,
        header: Sequence[str],
        rows: Sequence[Sequence[Any]],
    ) -> None:
        """Prints `value` as JSON or `rows` as a table."""
        if self.json:
            _output.print_json(value)
        else:
            _output.print_table(header, rows)

    def show_line(self, value: Any, line: str) -> None:
        """Prints `value` as JSON or `line` as text."""
        if self.json:
            _output.print_json(value)
        else:
            print(line)


def default_operator() -> str:
    """Returns the name of the user who runs the command."""
    try:
        return os.environ.get("BAOBABDOOR_OPERATOR") or getpass.getuser()
    except (KeyError, OSError):
        return "operator"


def new_change_id() -> str:
    """Returns a new unique identifier of a change."""
    return str(uuid.uuid4())


Command = Callable[[Context, Sequence[str]], Any]

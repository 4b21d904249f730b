"""What every command gets: the client and the output form."""

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
    """Client, output form and identity of one command.

    Attributes:
        client: Client of the operators' interface.
        json: Whether to print JSON.
        operator: Name of the operator.
        change_id: Identifier given on the command line; empty for a new one.
        expected_generation: Generation that the operator has seen, if given.
        request: Request or job whose lines in log files are wanted.
        store: Client of the platform's store, if its address was given.
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
        """Prints JSON or a table."""
        if self.json:
            _output.print_json(value)
        else:
            _output.print_table(header, rows)

    def say(self, value: Any, line: str) -> None:
        """Prints JSON or one line."""
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
    """Returns an identifier that no other command uses."""
    return str(uuid.uuid4())


Command = Callable[[Context, Sequence[str]], Any]

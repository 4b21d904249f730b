"""Exit codes and errors of the command-line interface."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


class CommandError(Exception):
    """Ends a command with an error message and an exit code.

    Attributes:
        code: Exit code of the command.
    """

    def __init__(self, code: ExitCode, message: str):
        super().__init__(message)
        self.code = code

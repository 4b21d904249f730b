"""Exit codes of the operators' command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code of a command means."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


class CommandError(Exception):
    """Ends a command with one line of error and an exit code.

    Attributes:
        code: Exit code.
    """

    def __init__(self, code: ExitCode, message: str):
        super().__init__(message)
        self.code = code

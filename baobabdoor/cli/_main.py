"""Parses the command line and runs one command."""

import asyncio
import os
import sys

from absl import app
from absl import flags
import attrs

from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.cli import _client
from baobabdoor.cli import _config_commands
from baobabdoor.cli import _context
from baobabdoor.cli import _exit_codes
from baobabdoor.cli import _fleet_commands
from baobabdoor.cli import _job_commands
from baobabdoor.cli import _store_commands

FLAGS = flags.FLAGS
UNLIMITED = 99


@attrs.frozen
class CommandSpec:
    """Entry of the command table.

    Attributes:
        run: Function that runs the command.
        usage: Arguments as shown in the usage text.
        min_arguments: Minimum number of arguments.
        max_arguments: Maximum number of arguments.
    """

    run: _context.Command
    usage: str = ""
    min_arguments: int = 0
    max_arguments: int = 0


COMMANDS = {
    "config check": CommandSpec(_config_commands.config_check, "FILE", 1, 1),
    "config apply": CommandSpec(_config_commands.config_apply, "FILE", 1, 1),
    "config show": CommandSpec(_config_commands.config_show),
    "config change": CommandSpec(_config_commands.change_show, "ID", 1, 1),
    "preset list": CommandSpec(_config_commands.preset_list),
    "preset show": CommandSpec(_config_commands.preset_show, "[NAME]", 0, 1),
    "preset switch": CommandSpec(_config_commands.preset_switch, "NAME", 1, 1),
    "pool list": CommandSpec(
        _fleet_commands.pool_list, "[COLUMN=VALUE ...]", 0, UNLIMITED
    ),
    "vm list": CommandSpec(
        _fleet_commands.vm_list, "[COLUMN=VALUE ...]", 0, UNLIMITED
    ),
    "job submit": CommandSpec(_job_commands.job_submit, "FILE", 1, 1),
    "job show": CommandSpec(_job_commands.job_show, "ID", 1, 1),
    "job cancel": CommandSpec(_job_commands.job_cancel, "ID", 1, 1),
    "status": CommandSpec(_fleet_commands.status),
    "store owner": CommandSpec(_store_commands.store_leader),
    "store jobs": CommandSpec(_store_commands.store_jobs),
    "store job": CommandSpec(_store_commands.store_job, "ID", 1, 1),
    "store workers": CommandSpec(_store_commands.store_workers),
    "store waves": CommandSpec(_store_commands.store_waves),
    "timeline": CommandSpec(
        _fleet_commands.show_timeline,
        "[kind=PREFIX ...] | --request ID FILE ...",
        0,
        UNLIMITED,
    ),
}


def define_flags() -> None:
    """Defines the flags; must be called once, before they are parsed."""
    flags.DEFINE_multi_string(
        "entry",
        os.environ.get("BAOBABDOOR_ENTRY", "http://127.0.0.1:7101").split(","),
        "URL of an entry's control port; may be repeated, tried in order.",
    )
    flags.DEFINE_string(
        "token",
        os.environ.get("BAOBABDOOR_TOKEN", ""),
        "Bearer token of the operators' interface.",
    )
    flags.DEFINE_boolean("json", False, "Print JSON instead of tables.")
    flags.DEFINE_string(
        "operator", _context.default_operator(), "Name kept in the history."
    )
    flags.DEFINE_string(
        "change_id", "", "Identifier of a change that is submitted again."
    )
    flags.DEFINE_string(
        "request", "", "Request or job whose lines in log files are wanted."
    )
    flags.DEFINE_string(
        "store",
        os.environ.get("BAOBABDOOR_STORE", ""),
        "The platform's store as IP:PORT, for the commands `store ...`.",
    )
    flags.DEFINE_integer(
        "expected_generation",
        None,
        "Refuse the change if another generation is in force.",
    )


def usage() -> str:
    """Returns the usage text."""
    lines = ["usage: baobabdoor [flags] COMMAND", "", "commands:"]
    for name, command in COMMANDS.items():
        lines.append(f"  {name} {command.usage}".rstrip())
    codes = ", ".join(
        f"{code.value} {code.name.lower()}" for code in _exit_codes.ExitCode
    )
    lines.extend(["", f"exit codes: {codes}"])
    return "\n".join(lines)


def find_command(words: list[str]) -> tuple[CommandSpec, list[str]]:
    """Returns the command that `words` name and its arguments.

    Raises:
        CommandError: The command or its number of arguments is invalid.
    """
    for length in (2, 1):
        name = " ".join(words[:length])
        command = COMMANDS.get(name)
        if command is None:
            continue
        arguments = words[length:]
        is_valid = (
            command.min_arguments <= len(arguments) <= command.max_arguments
        )
        if not is_valid:
            raise _exit_codes.CommandError(
                _exit_codes.ExitCode.USAGE,
                f"usage: baobabdoor {name} {command.usage}".rstrip(),
            )
        return command, arguments
    raise _exit_codes.CommandError(_exit_codes.ExitCode.USAGE, usage())


def _make_context() -> _context.Context:
    store = None
    if FLAGS.store:
        store = platform.StoreClient(transport.Client(), FLAGS.store)
    return _context.Context(
        client=_client.OperatorClient(FLAGS.entry, FLAGS.token),
        json=FLAGS.json,
        operator=FLAGS.operator,
        change_id=FLAGS.change_id,
        expected_generation=FLAGS.expected_generation,
        request=FLAGS.request,
        store=store,
    )


def _run(argv: list[str]) -> int:
    try:
        command, arguments = find_command(argv[1:])
        return int(asyncio.run(command.run(_make_context(), arguments)))
    except _exit_codes.CommandError as error:
        print(error, file=sys.stderr)
        return int(error.code)
    except BrokenPipeError:
        return int(_exit_codes.ExitCode.DONE)


def main() -> None:
    """Entry point of `baobabdoor`."""
    define_flags()
    app.run(_run, flags_parser=_parse_flags)


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return FLAGS(argv)
    except flags.Error as error:
        print(f"{error}\n\n{usage()}", file=sys.stderr)
        sys.exit(int(_exit_codes.ExitCode.USAGE))

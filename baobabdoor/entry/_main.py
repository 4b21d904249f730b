"""Command line of `baobabdoor-entry`."""

import asyncio
import os
import sys

from absl import app
from absl import flags

from baobabdoor import settings
from baobabdoor.entry import _daemon
from baobabdoor.entry import _limits

FLAGS = flags.FLAGS
EXIT_INVALID_SETTINGS = 2


def define_flags() -> None:
    """Defines the flags; must be called once before they are parsed."""
    flags.DEFINE_string("config", None, "Settings file of this entry.")
    flags.mark_flag_as_required("config")


def run(argv: list[str]) -> int:
    """Loads the settings and runs the entry, which ends the process.

    Returns:
        The exit code, if the entry cannot run with its settings.
    """
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    try:
        entry_settings = settings.load_entry(FLAGS.config)
        _limits.check(entry_settings, FLAGS.config)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    exit_code = asyncio.run(_daemon.run(entry_settings))
    # The interpreter would free all objects one by one, which takes most of a
    # second of the time before the kill on a busy machine. Log lines have been
    # written without a buffer.
    os._exit(exit_code)


def main() -> None:
    """Entry point of `baobabdoor-entry`."""
    define_flags()
    app.run(run)

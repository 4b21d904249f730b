"""Command line of `baobabdoor-entry`."""

import asyncio
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
    """Loads the settings and runs the entry; returns the exit code."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    try:
        entry_settings = settings.load_entry(FLAGS.config)
        _limits.check(entry_settings, FLAGS.config)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return asyncio.run(_daemon.run(entry_settings))


def main() -> None:
    """Entry point of `baobabdoor-entry`."""
    define_flags()
    app.run(run)

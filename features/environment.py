"""Starts one deployment for all scenarios and stops it afterwards."""

import pathlib
import sys
import tempfile

import harness


def before_all(context):
    context.directory = tempfile.TemporaryDirectory()
    context.fleet = harness.Fleet(pathlib.Path(context.directory.name))
    try:
        context.fleet.start()
    except BaseException:
        _print_logs(context)
        context.fleet.stop()
        raise


def before_scenario(context, scenario):
    context.traffic = None
    context.killed = set()
    context.stopped = set()
    context.cleanups = []


def after_scenario(context, scenario):
    if context.traffic is not None:
        context.traffic.stop()
    for cleanup in context.cleanups:
        cleanup()
    if scenario.status == "failed":
        _print_logs(context)


def after_all(context):
    context.fleet.stop()
    context.directory.cleanup()


def _print_logs(context):
    for path in sorted(pathlib.Path(context.directory.name).glob("*.log")):
        print(f"--- {path.name}", file=sys.stderr)
        print("\n".join(path.read_text().splitlines()[-20:]), file=sys.stderr)

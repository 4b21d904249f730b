"""Makes property tests repeatable and passes over the tests known as red."""

import pathlib

import hypothesis
import pytest

# What the line of an entry that names its test begins with.
ENTRY = "test: "
KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("ci")


def pytest_collection_modifyitems(items):
    """Skips exactly the tests that `KNOWN-RED.txt` names."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    red = {line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY)}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.skip(reason="in KNOWN-RED.txt"))

"""Makes property tests repeatable and passes over the tests known as red."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("ci")


def pytest_collection_modifyitems(items):
    """Skips exactly the tests that `KNOWN-RED.txt` names."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    red = {line.removeprefix("test: ") for line in lines if "test: " in line}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.skip(reason="in KNOWN-RED.txt"))

"""Tests of settings: valid examples and error reports for invalid input."""

import pathlib

import pytest

from baobabdoor import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
FEDERATION = (EXAMPLES / "federation.yaml").read_text()

ENTRY = """\
entry_id: taal-1
region: luzon
availability_zone: taal
caller: {host: 127.0.0.1, port: 7001}
control: {host: 127.0.0.1, port: 7101}
platform: {host: 127.0.0.1, port: 7900}
peer_key: 000102030405060708090a0b0c0d0e0f
operator_token: a-token-of-operators
"""

# Each case: text to replace, its replacement, then the field and expectation
# that the error must report.
BAD_DEPLOYMENTS = {
    "unknown key": ("cores: 16", "cors: 16", "cors", "a key like cores"),
    "missing key": ("region: luzon\n", "", "region", "a value"),
    "unit in a number": ("slots: 8", "slots: 8s", "slots", "an integer"),
    "text for a number": ("cores: 16", "cores: many", "cores", "a number"),
    "fraction for an integer": (
        "workers: 6",
        "workers: 6.5",
        "workers",
        "an integer",
    ),
    "boolean for a number": (
        "workers: 6",
        "workers: true",
        "workers",
        "an integer",
    ),
    "negative number": ("cores: 16", "cores: -1", "cores", "at least 0.1"),
    "not a number": ("cores: 16", "cores: .nan", "cores", "a number"),
    "share above the maximum": (
        "urgency_guarantee: 0.05",
        "urgency_guarantee: 0.5",
        "urgency_guarantee",
        "at most 0.125",
    ),
    "bad name": ("region: luzon", "region: Luz on", "region", "a name"),
    "bad policy": (
        "capacity_policy: predictive",
        "capacity_policy: clever",
        "capacity_policy",
        "one of static",
    ),
    "pool without workers": (
        "results-desk: {workers: 6",
        "results-desk: {workers: 0",
        "pools.results-desk.workers",
        "at least 1 VM",
    ),
    "zero budget with maintenance": (
        "{min_workers: 4, availability_budget: 2",
        "{min_workers: 4, availability_budget: 0",
        "availability_budget",
        "at least 1 VM while maintenance",
    ),
    "budget and minimum above the pool size": (
        "{min_workers: 4, availability_budget: 2",
        "{min_workers: 4, availability_budget: 3",
        "availability_budget",
        "at most 2 VMs",
    ),
    "preset above the fleet size": (
        "{min_workers: 5, availability_budget: 1",
        "{min_workers: 15, availability_budget: 1",
        "presets.peak",
        "within the fleet of 30 VMs",
    ),
    "maximum below minimum": (
        "availability_budget: 1, max_workers: 18",
        "availability_budget: 1, max_workers: 2",
        "max_workers",
        "at least min_workers",
    ),
    "unknown spare pool": (
        "spare_pool: backoffice",
        "spare_pool: attic",
        "spare_pool",
        "the name of a pool",
    ),
    "unknown initial preset": (
        "initial_preset: ordinary",
        "initial_preset: festive",
        "initial_preset",
        "the name of a preset",
    ),
    "preset for an unknown pool": (
        "      jury-desk: {min_workers: 4",
        "      jury-des: {min_workers: 4",
        "presets.ordinary.pools",
        "a promise for every pool",
    ),
    "sum of weights": ("flood: 0.55", "flood: 0.95", "weights", "add up to 1"),
    "unknown neighbour": (
        "[subic, manila-bay]",
        "[subic, manila]",
        "neighbours",
        "names of other zones",
    ),
    "duplicate zone": (
        "- name: subic",
        "- name: taal",
        "availability_zones.1.name",
        "each zone once",
    ),
    "slots beyond connections": (
        "slots: 8, connections: 64",
        "slots: 80, connections: 64",
        "slots",
        "at most the 64 connections",
    ),
    "duplicate key": (
        "region: luzon\n",
        "region: luzon\nregion: visayas\n",
        "region",
        "the key once",
    ),
    "mapping for a list": (
        "[subic, manila-bay]",
        "{a: b}",
        "neighbours",
        "",
    ),
    "malformed YAML": ("pools:\n", "pools: [\n", "", "well-formed YAML"),
}


class TestDeployment:

    @pytest.mark.parametrize("name", ["federation", "nam-rung"])
    def test_examples_are_valid_and_round_trip(self, name):
        deployment = settings.load_deployment(str(EXAMPLES / f"{name}.yaml"))
        values = settings.unstructure(deployment)
        assert settings.structure_deployment(values, name) == deployment

    @pytest.mark.parametrize("case", BAD_DEPLOYMENTS, ids=str)
    def test_bad_input_reports_file_line_field_and_expectation(self, case):
        old, new, field, expected = BAD_DEPLOYMENTS[case]
        assert old in FEDERATION
        text = FEDERATION.replace(old, new, 1)
        with pytest.raises(settings.SettingsError) as caught:
            settings.parse_deployment(text, "fed.yaml")
        lines = caught.value.describe()
        matching = [
            line for line in lines if field in line and expected in line
        ]
        assert matching, lines
        first_changed = FEDERATION[: FEDERATION.index(old)].count("\n") + 1
        problem_line = int(matching[0].split(":")[1])
        assert matching[0].startswith("fed.yaml:")
        assert problem_line >= 1
        if field and case not in ("missing key", "preset above the fleet size"):
            assert abs(problem_line - first_changed) <= 40

    def test_error_reports_the_exact_line(self):
        text = FEDERATION.replace("cores: 16", "cores: many", 1)
        line = text[: text.index("many")].count("\n") + 1
        with pytest.raises(settings.SettingsError) as caught:
            settings.parse_deployment(text, "fed.yaml")
        assert caught.value.problems[0].line == line

    @pytest.mark.parametrize("text", ["", "- a\n", "42", "\x00", "a: &a [*a]"])
    def test_invalid_document_is_rejected(self, text):
        with pytest.raises(settings.SettingsError):
            settings.parse_deployment(text, "fed.yaml")

    def test_missing_file_is_a_single_problem(self):
        with pytest.raises(settings.SettingsError) as caught:
            settings.load_deployment("/nonexistent/fed.yaml")
        assert len(caught.value.problems) == 1


class TestEntrySettings:

    def test_valid(self):
        entry = settings.parse_entry(ENTRY, "entry.yaml")
        assert entry.control.url == "http://127.0.0.1:7101"

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("port: 7001", "port: 70010", "at most 65535"),
            ("host: 127.0.0.1", "host: localhost", "an IP number"),
            ("000102030405060708090a0b0c0d0e0f", "short", "32 characters"),
            ("a-token-of-operators", "short", "16 characters"),
            ("entry_id: taal-1", "entry_id: 7", "a text"),
        ],
    )
    def test_bad_input(self, old, new, expected):
        with pytest.raises(settings.SettingsError) as caught:
            settings.parse_entry(ENTRY.replace(old, new, 1), "entry.yaml")
        assert expected in str(caught.value)

    def test_secrets_are_absent_from_repr(self):
        entry = settings.parse_entry(ENTRY, "entry.yaml")
        assert entry.peer_key not in repr(entry)

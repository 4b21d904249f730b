"""Tests of the suites `flood` and `slots`."""

import attrs
import pytest

from baobabdoor import settings
from baobabdoor.measure import _flood
from baobabdoor.measure import _main
from baobabdoor.measure import _slots


@pytest.fixture(scope="module")
def deployment():
    path = _main.EXAMPLES / "federation.yaml"
    return settings.load_deployment(str(path))


@pytest.fixture(scope="module")
def workload(deployment):
    return _flood.make_workload(deployment, 3)


class TestFlood:

    @pytest.mark.parametrize("pattern", _flood.PATTERNS)
    def test_fair_share_isolates_ordinary_requests_and_fifo_does_not(
        self, workload, pattern
    ):
        """Checks the targets of the design for retained and guaranteed work."""
        kept = {}
        for urgency, measure in (
            (_flood.LEAST_URGENT, "retained"),
            (_flood.MOST_URGENT, "guarantee"),
        ):
            flood = _flood.Flood(urgency, 5, pattern)
            for policy in ("fair-share", "fifo"):
                reference = _flood.simulate(workload, policy, None)
                for result in _flood.compare(
                    workload, policy, flood, reference
                ):
                    if result.measure == f"{measure}-{flood.name}":
                        kept[measure, policy] = result.ratio
        assert kept["retained", "fair-share"] >= 0.99
        assert kept["guarantee", "fair-share"] >= 0.95
        assert kept["retained", "fifo"] < 0.9
        assert kept["guarantee", "fifo"] < 0.9

    def test_same_seed_gives_the_same_result(self, workload):
        flood = _flood.Flood(_flood.LEAST_URGENT, 2, "many")
        runs = [
            _flood.simulate(workload, "fair-share", flood) for _ in range(2)
        ]
        assert runs[0].finished_s == runs[1].finished_s

    def test_guarantee_of_a_flooding_caller_is_a_fraction_of_its_share(
        self, workload
    ):
        flood = _flood.Flood(_flood.MOST_URGENT, 20, "many")
        guaranteed_slots = _flood.guaranteed_slots(workload, flood)
        # The caller has 4/9 of 16 slots; each level is guaranteed 5% of that.
        share = 16 * 4 / 9
        assert guaranteed_slots["race-officers", 3] == pytest.approx(
            0.05 * share
        )


class TestMaxMin:

    @pytest.mark.parametrize(
        ("demands", "weights", "expected"),
        [
            ([9, 9], [1, 1], [4, 4]),
            ([1, 9], [1, 1], [1, 7]),
            ([9, 9], [3, 1], [6, 2]),
            ([9, 1, 9], [1, 1, 2], [7 / 3, 1, 14 / 3]),
            ([1, 1], [1, 1], [1, 1]),
        ],
    )
    def test_computes_weighted_shares(self, demands, weights, expected):
        shares = _flood.max_min_shares(8, demands, weights)
        assert shares == pytest.approx(expected)


class TestSlots:

    def test_only_two_choices_over_commits(self, deployment):
        workload = _slots.make_workload(deployment, 3)
        half = [a for a in workload.demand if a.arrival_s < 20]
        workload = attrs.evolve(workload, demand=half)
        for policy, expected in (
            ("static", False),
            ("credits", False),
            ("two-choices", True),
        ):
            zone = _slots.simulate(workload, policy, 3, "calm")
            over = sum(usage.over_committed for usage in zone.usage.values())
            assert bool(over) is expected
            assert len(zone.finished_s) == len(workload.demand)

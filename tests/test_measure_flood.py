"""Tests of the measurements of admission and slots."""

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
def scene(deployment):
    return _flood.make_scene(deployment, 3)


class TestFlood:

    @pytest.mark.parametrize("shape", _flood.SHAPES)
    def test_fair_share_keeps_other_work_and_fifo_does_not(self, scene, shape):
        """The bounds are the targets of the design page."""
        kept = {}
        for urgency, measure in (
            (_flood.LEAST_URGENT, "retained"),
            (_flood.MOST_URGENT, "guarantee"),
        ):
            flood = _flood.Flood(urgency, 5, shape)
            for policy in ("fair-share", "fifo"):
                reference = _flood.simulate(scene, policy, None)
                for result in _flood.compare(scene, policy, flood, reference):
                    if result.measure == f"{measure}-{flood.name}":
                        kept[measure, policy] = result.ratio
        assert kept["retained", "fair-share"] >= 0.99
        assert kept["guarantee", "fair-share"] >= 0.95
        assert kept["retained", "fifo"] < 0.9
        assert kept["guarantee", "fifo"] < 0.9

    def test_same_seed_gives_the_same_result(self, scene):
        flood = _flood.Flood(_flood.LEAST_URGENT, 2, "many")
        runs = [_flood.simulate(scene, "fair-share", flood) for _ in range(2)]
        assert runs[0].finished_s == runs[1].finished_s

    def test_guarantee_of_a_flooding_caller_is_part_of_its_share(self, scene):
        flood = _flood.Flood(_flood.MOST_URGENT, 20, "many")
        guaranteed = _flood.guaranteed(scene, flood)
        # 4 of 9 weights of 16 slots, of which a level is guaranteed 5%.
        share = 16 * 4 / 9
        assert guaranteed["race-officers", 3] == pytest.approx(0.05 * share)


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
    def test_known_shares(self, demands, weights, expected):
        shares = _flood.max_min(8, demands, weights)
        assert shares == pytest.approx(expected)


class TestSlots:

    def test_only_two_choices_over_commits(self, deployment):
        scene = _slots.make_scene(deployment, 3)
        half = [a for a in scene.demand if a.at_s < 20]
        scene = attrs.evolve(scene, demand=half)
        for policy, expected in (
            ("static", False),
            ("credits", False),
            ("two-choices", True),
        ):
            zone = _slots.simulate(scene, policy, 3, "calm")
            over = sum(use.over_committed for use in zone.use.values())
            assert bool(over) is expected
            assert len(zone.finished_s) == len(scene.demand)

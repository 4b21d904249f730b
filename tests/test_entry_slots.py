"""Tests the active slot policy and its exchange with peers."""

import pytest

from baobabdoor import slots
from baobabdoor.entry import _slot_sharing

WORKER = slots.WorkerSlots("vm-1", "jury-desk", slots=8, connections=72)


@pytest.fixture
def sharing():
    sharing = _slot_sharing.SlotSharing("entry-1", "taal", slots.make_policy)
    sharing.set_workers([WORKER])
    return sharing


class TestSlotSharing:

    def test_slots_in_use_count_after_policy_change(self, sharing):
        # Guards against using twice the slots of a worker after a switch of
        # presets.
        for _ in range(5):
            assert sharing.acquire("vm-1", 0.0) is None
        sharing.set_policy("two-choices")
        assert sharing.available("vm-1", 0.0) == 3
        refusals = [sharing.acquire("vm-1", 0.0) for _ in range(4)]
        assert [refusal is None for refusal in refusals] == [True] * 3 + [False]
        for _ in range(8):
            sharing.release("vm-1", 0.0)
        assert sharing.available("vm-1", 0.0) == 8

    def test_peers_of_the_zone_share_slots_until_unreachable(self, sharing):
        peer = _slot_sharing.SlotSharing("entry-2", "taal", slots.make_policy)
        sharing.receive("entry-2", peer.exchange("entry-1", 0.0), 0.0)
        assert sharing.available("vm-1", 0.0) == 4
        sharing.expire(7.0)
        assert sharing.available("vm-1", 7.0) == 8

    @pytest.mark.parametrize(
        "payload",
        [{}, {"zone": "subic"}, {"zone": "taal", "slots": 7, "policy": []}],
    )
    def test_other_zones_and_malformed_payloads_are_tolerated(
        self, sharing, payload
    ):
        sharing.receive("entry-3", payload, 0.0)
        expected = 4 if payload.get("zone") == "taal" else 8
        assert sharing.available("vm-1", 0.0) == expected

"""Messages, signatures and peer states between entries."""

import json

import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from baobabdoor import base
from baobabdoor import membership

KEY = b"k" * 32


def make_exchange(**changes):
    entry = membership.PeerEntry(
        entry_id="e1", availability_zone="a", control="127.0.0.1:1"
    )
    exchange = membership.Exchange(
        entry=entry, is_registered=True, generation=3, clock="17.1"
    )
    return attrs.evolve(exchange, **changes)


def make_pair():
    return (
        membership.PeerSigner(KEY, "e1", 10),
        membership.PeerSigner(KEY, "e2", 20),
    )


def introduce(sender, receiver):
    """Passes the receiver's incarnation to the sender in a response."""
    content = membership.SignedContent("/x")
    request = sender.sign_request(receiver.entry_id, content)
    receiver.verify_request(request, content)
    answer = receiver.sign_response(request, content)
    assert sender.verify_response(request, answer, content) is None


class TestExchange:

    def test_round_trip(self):
        """Guards against fields that are lost in the JSON form."""
        exchange = make_exchange(
            views={"a": 4},
            leaving=(membership.LeavingNotice(vm_id="v", boot_id="b"),),
            zone_rows=membership.ZoneRows(version=4, rows={"v": {"pool": "p"}}),
            extras={"slots": {"x": [1, 2]}},
        )
        parsed = membership.Exchange.from_bytes(exchange.to_bytes())
        assert parsed == exchange

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("generation", -1),
            ("generation", True),
            ("generation", "3"),
            ("generation", 2**60),
            ("clock", "yesterday"),
            ("views", {"a b": 1}),
            ("views", {str(index): 1 for index in range(500)}),
            ("views", [1]),
            ("entries", [{"entry_id": "e"}]),
            ("entries", {"e": 1}),
            ("leaving", [{"vm_id": "v", "boot_id": "b\n"}]),
            ("granted", 1.5),
            ("zone_rows", {"version": 1, "rows": {"v": 3}}),
            ("extras", {"slots": 3}),
            ("entry", None),
            ("unknown", 1),
        ],
    )
    def test_malformed_fields_are_refused(self, field, value):
        """Guards against the use of invalid or oversized fields of a peer."""
        message = json.loads(make_exchange().to_bytes())
        message[field] = value
        parsed = membership.Exchange.from_bytes(json.dumps(message).encode())
        assert isinstance(parsed, base.Refusal)

    @given(strategies.binary(max_size=200))
    def test_any_bytes_are_refused(self, content):
        """Guards against an exception in the handler of a peer's request."""
        parsed = membership.Exchange.from_bytes(content)
        assert isinstance(parsed, base.Refusal)

    def test_deep_nesting_is_refused(self):
        """Guards against a recursion error of the JSON parser."""
        content = b"[" * 100_000
        assert not membership.Exchange.from_bytes(content)


class TestPeerSigner:

    def test_request_and_answer_are_accepted_once(self):
        """Guards against replays of a message."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x", {"A": "1"}, b"body")
        request = sender.sign_request("e2", content)
        assert receiver.verify_request(request, content) is None
        refusal = receiver.verify_request(request, content)
        assert refusal.reason is base.Reason.FORGED

    def test_reordered_requests_are_accepted(self):
        """Guards against refusing requests that overtake each other."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x")
        first = sender.sign_request("e2", content)
        second = sender.sign_request("e2", content)
        assert receiver.verify_request(second, content) is None
        assert receiver.verify_request(first, content) is None

    @pytest.mark.parametrize(
        "changes",
        [
            {"sender": "e3"},
            {"receiver": "e3"},
            {"incarnation": 11},
            {"receiver_incarnation": 21},
            {"sequence": 99},
            {"signature": "0" * 64},
        ],
    )
    def test_changed_envelope_is_refused(self, changes):
        """Guards against an envelope field outside the signature."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x")
        request = sender.sign_request("e2", content)
        forged = attrs.evolve(request, **changes)
        refusal = receiver.verify_request(forged, content)
        assert refusal.reason is base.Reason.FORGED

    @pytest.mark.parametrize(
        "changes", [{"path": "/y"}, {"body": b"c"}, {"headers": {"A": "2"}}]
    )
    def test_changed_content_is_refused(self, changes):
        """Guards against content outside the signature."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x", {"A": "1"}, b"b")
        request = sender.sign_request("e2", content)
        changed = attrs.evolve(content, **changes)
        assert receiver.verify_request(request, changed) is not None

    def test_other_key_is_refused(self):
        """Guards against entries of another deployment."""
        _, receiver = make_pair()
        stranger = membership.PeerSigner(b"x" * 32, "e1", 10)
        content = membership.SignedContent("/x")
        request = stranger.sign_request("e2", content)
        refusal = receiver.verify_request(request, content)
        assert refusal.reason is base.Reason.FORGED

    def test_message_to_earlier_process_is_refused(self):
        """Guards against replays to a restarted process."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x")
        request = sender.sign_request("e2", content)
        restarted = membership.PeerSigner(KEY, "e2", 21)
        refusal = restarted.verify_request(request, content)
        assert refusal.reason is base.Reason.PEER_GONE

    def test_message_of_earlier_process_is_refused(self):
        """Guards against delayed messages of a replaced process."""
        sender, receiver = make_pair()
        introduce(sender, receiver)
        content = membership.SignedContent("/x")
        late = sender.sign_request("e2", content)
        successor = membership.PeerSigner(KEY, "e1", 11)
        introduce(successor, receiver)
        request = successor.sign_request("e2", content)
        assert receiver.verify_request(request, content) is None
        refusal = receiver.verify_request(late, content)
        assert refusal.reason is base.Reason.FORGED

    def test_answer_to_another_request_is_refused(self):
        """Guards against an old response that renews a lease."""
        sender, receiver = make_pair()
        content = membership.SignedContent("/x")
        first = sender.sign_request("e2", content)
        second = sender.sign_request("e2", content)
        answer = receiver.sign_response(first, content)
        assert sender.verify_response(second, answer, content) is not None

    def test_headers_round_trip(self):
        """Guards against envelopes that HTTP headers alter."""
        sender, _ = make_pair()
        request = sender.sign_request("e2", membership.SignedContent("/x"))
        headers = request.to_headers()
        assert membership.Envelope.from_headers(headers) == request
        headers["Baobabdoor-Peer-Sequence"] = "-1"
        assert not membership.Envelope.from_headers(headers)


class TestPeerTable:

    def make(self):
        peers = membership.PeerTable("e0", "a")
        for entry_id, zone in (("e1", "a"), ("e2", "a"), ("f1", "b")):
            peers.observe_address(
                membership.PeerAddress(entry_id, zone, f"{entry_id}:1"),
                membership.PeerSource.TABLE,
                0.0,
            )
        return peers

    def test_states_follow_time_without_message(self):
        """Guards against an unresponsive peer that counts as alive."""
        peers = self.make()
        state = membership.PeerState
        assert peers.state("e1", 0.0) is state.UNKNOWN
        peers.observe_contact("e1", 1, 0, {}, True, 10.0)
        assert peers.state("e1", 12.0) is state.ALIVE
        assert peers.state("e1", 12.1) is state.SUSPECT
        assert peers.state("e1", 16.1) is state.UNREACHABLE

    def test_peers_do_not_override_the_table(self):
        """Guards against outdated addresses learned from peers."""
        peers = self.make()
        wrong = membership.PeerAddress("e1", "a", "wrong:1")
        peers.observe_address(wrong, membership.PeerSource.PEERS, 1.0)
        assert peers.peers_["e1"].address.control == "e1:1"

    def test_unregistered_unresponsive_peer_is_removed(self):
        """Guards against contacting entries forever after they have left."""
        peers = self.make()
        peers.observe_table([peers.peers_["e2"].address], 5.0)
        peers.expire(601.0)
        assert set(peers.peers_) == {"e2"}

    def test_schedule_contacts_own_zone_and_one_other(self):
        """Guards against a fan-out that grows with the number of zones."""
        peers = self.make()
        for number in range(2, 4):
            address = membership.PeerAddress(f"f{number}", "b", "x:1")
            peers.observe_address(address, membership.PeerSource.SEEDS, 0.0)
        address = membership.PeerAddress("g1", "c", "x:1")
        peers.observe_address(address, membership.PeerSource.SEEDS, 0.0)
        schedule = membership.ExchangeSchedule(peers)
        rounds = [schedule.plan() for _ in range(6)]
        foreign = [[peer.entry_id for peer in plan][2:] for plan in rounds]
        assert foreign == [["f1"], ["g1"], ["f2"], ["g1"], ["f3"], ["g1"]]


class TestClockJumpDetector:

    @pytest.mark.parametrize(
        ("passed_s", "passed_wall_ms", "jumped"),
        [
            (1.0, 1000, False),
            (1.9, 1900, False),
            (2.1, 2100, True),
            (1.0, 30_000, True),
        ],
    )
    def test_jump(self, passed_s, passed_wall_ms, jumped):
        """Guards against undetected process pauses and VM suspensions."""
        detector = membership.ClockJumpDetector(1.0)
        assert not detector.observe(100.0, 5000)
        found = detector.observe(100.0 + passed_s, 5000 + passed_wall_ms)
        assert found is jumped

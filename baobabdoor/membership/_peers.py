"""Known peers, their addresses and liveness."""

from collections.abc import Iterable
import enum

import attrs

SUSPECT_AFTER_S = 2.0
UNREACHABLE_AFTER_S = 6.0
# Peers of other zones are contacted in rotation, one per second, so their
# limits are longer by the duration of one rotation.
REMOTE_CONTACT_PERIOD_S = 1.0
# A peer that is only known from other peers is removed after this time without
# a message; the registered entries and the seeds are kept.
FORGET_AFTER_S = 600.0
MAX_PEERS = 1024


class PeerState(enum.Enum):
    """Liveness of a peer."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"


class PeerSource(enum.IntEnum):
    """Source of a peer's address; higher values override lower ones."""

    PEERS = 0
    SEEDS = 1
    TABLE = 2


@attrs.frozen
class PeerAddress:
    """Zone and control port of an entry.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Zone of the entry.
        control: IP address and port of its control port, as `host:port`.
    """

    entry_id: str
    availability_zone: str
    control: str


@attrs.define
class Peer:
    """State of a known peer.

    Attributes:
        address: Address of the peer.
        source: Source of the address.
        known_since_s: Time in seconds at which the peer became known.
        last_seen_s: Time in seconds of its last message; None if there was
            none.
        incarnation: Incarnation of its process; 0 if unknown.
        generation: Generation of its active configuration.
        views: Confirmed view version of each zone.
        is_registered: Whether its row is in the store.
    """

    address: PeerAddress
    source: PeerSource
    known_since_s: float
    last_seen_s: float | None = None
    incarnation: int = 0
    generation: int = 0
    views: dict[str, int] = attrs.field(factory=dict)
    is_registered: bool = False


class PeerTable:
    """Table of the other entries of the deployment.

    Args:
        entry_id: Identifier of this entry.
        availability_zone: Zone of this entry.
    """

    def __init__(self, entry_id: str, availability_zone: str):
        self.entry_id = entry_id
        self.availability_zone = availability_zone
        self.peers_: dict[str, Peer] = {}

    def observe_address(
        self, address: PeerAddress, source: PeerSource, now_s: float
    ) -> None:
        """Records an address unless a higher source has set another one."""
        if address.entry_id == self.entry_id:
            return
        known = self.peers_.get(address.entry_id)
        if known is None:
            if len(self.peers_) < MAX_PEERS:
                peer = Peer(address, source, now_s)
                self.peers_[address.entry_id] = peer
        elif source >= known.source:
            known.address = address
            known.source = source

    def observe_table(
        self, addresses: Iterable[PeerAddress], now_s: float
    ) -> None:
        """Records the entries that are registered in the store.

        An entry that is no longer registered keeps its address until its last
        message is older than `FORGET_AFTER_S`.
        """
        registered = set()
        for address in addresses:
            registered.add(address.entry_id)
            self.observe_address(address, PeerSource.TABLE, now_s)
        for entry_id, peer in self.peers_.items():
            if peer.source is PeerSource.TABLE and entry_id not in registered:
                peer.source = PeerSource.PEERS

    def observe_contact(
        self,
        entry_id: str,
        incarnation: int,
        generation: int,
        views: dict[str, int],
        is_registered: bool,
        now_s: float,
    ) -> None:
        """Records a verified message of a peer."""
        peer = self.peers_.get(entry_id)
        if peer is None:
            return
        peer.last_seen_s = now_s
        peer.incarnation = incarnation
        peer.generation = generation
        peer.views = views
        peer.is_registered = is_registered

    def expire(self, now_s: float) -> None:
        """Removes unresponsive entries that are only known from peers."""
        for entry_id, peer in list(self.peers_.items()):
            last_active_s = peer.last_seen_s
            if last_active_s is None:
                last_active_s = peer.known_since_s
            if (
                peer.source is PeerSource.PEERS
                and now_s - last_active_s > FORGET_AFTER_S
            ):
                del self.peers_[entry_id]

    def state(self, entry_id: str, now_s: float) -> PeerState:
        """Returns the liveness of a peer."""
        peer = self.peers_.get(entry_id)
        if peer is None or peer.last_seen_s is None:
            return PeerState.UNKNOWN
        since_last_message_s = now_s - peer.last_seen_s
        extra_s = 0.0
        if peer.address.availability_zone != self.availability_zone:
            extra_s = REMOTE_CONTACT_PERIOD_S * len(self._remote_peers())
        if since_last_message_s > UNREACHABLE_AFTER_S + extra_s:
            return PeerState.UNREACHABLE
        if since_last_message_s > SUSPECT_AFTER_S + extra_s:
            return PeerState.SUSPECT
        return PeerState.ALIVE

    def in_zone(self, availability_zone: str) -> list[Peer]:
        """Returns the peers of a zone in order of identifier."""
        return [
            self.peers_[entry_id]
            for entry_id in sorted(self.peers_)
            if self.peers_[entry_id].address.availability_zone
            == availability_zone
        ]

    def _remote_peers(self) -> list[Peer]:
        return [
            peer
            for peer in self.peers_.values()
            if peer.address.availability_zone != self.availability_zone
        ]

    def remote_zones(self) -> list[str]:
        """Returns the other zones with known entries in order of name."""
        return sorted(
            {peer.address.availability_zone for peer in self._remote_peers()}
        )


class ExchangeSchedule:
    """Selects the peers of each exchange round.

    Args:
        peers: Known peers.
    """

    def __init__(self, peers: PeerTable):
        self.peers = peers
        self.round_ = 0
        self.next_in_zone_: dict[str, int] = {}

    def plan(self) -> list[PeerAddress]:
        """Returns all peers of the local zone and one peer of another zone."""
        local = self.peers.in_zone(self.peers.availability_zone)
        targets = [peer.address for peer in local]
        zones = self.peers.remote_zones()
        if zones:
            zone = zones[self.round_ % len(zones)]
            members = self.peers.in_zone(zone)
            index = self.next_in_zone_.get(zone, 0)
            self.next_in_zone_[zone] = index + 1
            targets.append(members[index % len(members)].address)
        self.round_ += 1
        return targets

"""The entries known to this one and when each was last heard."""

from collections.abc import Iterable
import enum

import attrs

SUSPECT_AFTER_S = 2.0
UNREACHABLE_AFTER_S = 6.0
# A peer of another zone is contacted once in a round over all such peers, one a
# second, so its limits are longer by the time of a round.
REMOTE_CONTACT_PERIOD_S = 1.0
# An address learned from peers only is forgotten after this time without a
# sign of life; the table and the seeds name the others.
FORGET_AFTER_S = 600.0
MAX_PEERS = 1024


class PeerState(enum.Enum):
    """What this entry believes of a peer."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"


class PeerSource(enum.IntEnum):
    """Where a peer is known from; a higher one overrides a lower one."""

    PEERS = 0
    SEEDS = 1
    TABLE = 2


@attrs.frozen
class PeerAddress:
    """Where an entry is.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Its zone.
        control: IP number and port of its control port, as `host:port`.
    """

    entry_id: str
    availability_zone: str
    control: str


@attrs.define
class Peer:
    """One known entry.

    Attributes:
        address: Where it is.
        source: Where it is known from.
        known_since_s: When it became known here, in seconds.
        last_seen_s: When it was last heard; None if never.
        incarnation: Start of its process; 0 if not known.
        generation: Its configuration.
        views: The view versions that it has confirmed.
        is_registered: Whether it has its row in the table.
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
    """Knows the other entries of the deployment.

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
        """Notes where an entry is, unless a better source says otherwise."""
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
        """Notes the entries registered in the table.

        An entry that is no longer registered keeps its address until it has
        been silent for long.
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
        """Notes a verified message of a peer."""
        peer = self.peers_.get(entry_id)
        if peer is None:
            return
        peer.last_seen_s = now_s
        peer.incarnation = incarnation
        peer.generation = generation
        peer.views = views
        peer.is_registered = is_registered

    def expire(self, now_s: float) -> None:
        """Forgets silent entries that only peers have named."""
        for entry_id, peer in list(self.peers_.items()):
            heard_s = peer.last_seen_s
            if heard_s is None:
                heard_s = peer.known_since_s
            if (
                peer.source is PeerSource.PEERS
                and now_s - heard_s > FORGET_AFTER_S
            ):
                del self.peers_[entry_id]

    def state(self, entry_id: str, now_s: float) -> PeerState:
        """Returns what is believed of a peer."""
        peer = self.peers_.get(entry_id)
        if peer is None or peer.last_seen_s is None:
            return PeerState.UNKNOWN
        silent_s = now_s - peer.last_seen_s
        extra_s = 0.0
        if peer.address.availability_zone != self.availability_zone:
            extra_s = REMOTE_CONTACT_PERIOD_S * len(self._remote_peers())
        if silent_s > UNREACHABLE_AFTER_S + extra_s:
            return PeerState.UNREACHABLE
        if silent_s > SUSPECT_AFTER_S + extra_s:
            return PeerState.SUSPECT
        return PeerState.ALIVE

    def in_zone(self, availability_zone: str) -> list[Peer]:
        """Returns the peers of a zone, by identifier."""
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
        """Returns the other zones that have known entries, by name."""
        return sorted(
            {peer.address.availability_zone for peer in self._remote_peers()}
        )


class ExchangeSchedule:
    """Chooses the peers of each exchange round.

    Args:
        peers: Known peers.
    """

    def __init__(self, peers: PeerTable):
        self.peers = peers
        self.round_ = 0
        self.next_in_zone_: dict[str, int] = {}

    def plan(self) -> list[PeerAddress]:
        """Returns all peers of the own zone and one of another zone."""
        own = self.peers.in_zone(self.peers.availability_zone)
        targets = [peer.address for peer in own]
        zones = self.peers.remote_zones()
        if zones:
            zone = zones[self.round_ % len(zones)]
            members = self.peers.in_zone(zone)
            index = self.next_in_zone_.get(zone, 0)
            self.next_in_zone_[zone] = index + 1
            targets.append(members[index % len(members)].address)
        self.round_ += 1
        return targets

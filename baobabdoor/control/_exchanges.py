"""State exchange with peers: builds messages and processes received ones."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import membership
from baobabdoor import timeline
from baobabdoor.control import _leaving_vms
from baobabdoor.control import _member

# The load of an entry is ignored once its last message is older than this.
LOAD_TTL_S = 15.0
# Period of sending the known entries to a peer. They change rarely and take
# most of the bytes of a message.
GOSSIP_PERIOD_S = 10.0
# Known entries in one message; enough for all entries of current deployments.
MAX_GOSSIP_ENTRIES = 16
LOAD = "load"

LoadSource = Callable[[], dict[str, capacity.PoolDemand]]


class ExchangeProvider(Protocol):
    """A component that sends payloads in exchanges within the home zone."""

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Returns the payload for a peer."""

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Processes a peer's payload."""


class ExchangeProcessor:
    """Builds and processes the messages of exchanges.

    Args:
        member: Registration, views and leases of this entry.
        peers: Known peers.
        leaving_vms: VMs that are about to leave service.
        timers: Timer service.
        recorder: Event timeline; its hybrid clock follows the peers' clocks.
    """

    def __init__(
        self,
        member: _member.Member,
        peers: membership.PeerTable,
        leaving_vms: _leaving_vms.LeavingVms,
        timers: base.TimerService,
        recorder: timeline.EventRecorder,
    ):
        self.member = member
        self.peers = peers
        self.leaving_vms = leaving_vms
        self.timers = timers
        self.recorder = recorder
        self.providers_: dict[str, ExchangeProvider] = {}
        self.load_source_: LoadSource = dict
        self.loads_: dict[str, tuple[float, dict[str, capacity.PoolDemand]]] = (
            {}
        )
        self.gossip_cursor_ = 0
        self.last_gossip_s_: dict[str, float] = {}

    def request(self, peer: membership.PeerAddress) -> membership.Exchange:
        """Returns the request to a peer."""
        wants_lease = self.member.wants_lease(peer.availability_zone)
        return self._message(
            peer.entry_id, peer.availability_zone, wants_lease=wants_lease
        )

    def respond(
        self, sender: str, incarnation: int, exchange: membership.Exchange
    ) -> membership.Exchange:
        """Processes a verified request and returns the response."""
        self.observe(sender, incarnation, exchange)
        zone = exchange.entry.availability_zone
        return self._message(
            sender,
            zone,
            granted=self.member.grant(sender, incarnation, exchange),
            zone_rows=self.member.zone_rows(exchange),
        )

    def receive_response(
        self,
        sender: str,
        incarnation: int,
        exchange: membership.Exchange,
        timestamp: _member.SendTimestamp,
    ) -> None:
        """Processes the verified response to a request.

        Args:
            sender: Peer that responded.
            incarnation: Incarnation of the peer.
            exchange: Content of the response.
            timestamp: When the request was sent.
        """
        self.observe(sender, incarnation, exchange)
        self.member.receive_response(exchange, timestamp)

    def observe(
        self, sender: str, incarnation: int, exchange: membership.Exchange
    ) -> None:
        """Processes the content that requests and responses share."""
        now_s = self.timers.now_s()
        entries = (exchange.entry, *exchange.entries)
        for entry in entries:
            self.peers.observe_address(
                entry.address(), membership.PeerSource.PEERS, now_s
            )
        self.peers.observe_contact(
            sender,
            incarnation,
            exchange.generation,
            exchange.views,
            exchange.is_registered,
            now_s,
        )
        self.recorder.clock.observe(base.HybridTime.parse(exchange.clock))
        self.leaving_vms.observe_peer(exchange.leaving, now_s)
        self._observe_load(sender, exchange.extras.get(LOAD), now_s)
        for name, provider in self.providers_.items():
            payload = exchange.extras.get(name)
            if payload is not None:
                provider.receive(sender, payload, now_s)

    def demand(self) -> dict[str, capacity.PoolDemand]:
        """Returns the demand on each pool over all entries with recent load."""
        now_s = self.timers.now_s()
        loads = [self.load_source_()]
        for entry_id, (received_s, load) in list(self.loads_.items()):
            if now_s - received_s > LOAD_TTL_S:
                del self.loads_[entry_id]
            else:
                loads.append(load)
        total: dict[str, capacity.PoolDemand] = {}
        for load in loads:
            for pool, demand in load.items():
                known = total.get(pool, capacity.PoolDemand(0, 0))
                total[pool] = capacity.PoolDemand(
                    known.in_progress + demand.in_progress,
                    known.queued + demand.queued,
                )
        return total

    def _observe_load(
        self, sender: str, payload: dict[str, Any] | None, now_s: float
    ) -> None:
        if payload is None:
            return
        load = {}
        for pool, counts in payload.items():
            is_pair = isinstance(counts, list) and len(counts) == 2
            if not is_pair or not all(type(count) is int for count in counts):
                continue
            load[pool] = capacity.PoolDemand(
                max(0, counts[0]), max(0, counts[1])
            )
        self.loads_[sender] = (now_s, load)

    def _message(
        self, peer_id: str, zone: str, **fields: Any
    ) -> membership.Exchange:
        member = self.member
        now_s = self.timers.now_s()
        extras: dict[str, dict[str, Any]] = {
            LOAD: {
                pool: [demand.in_progress, demand.queued]
                for pool, demand in self.load_source_().items()
            }
        }
        if zone == member.home_zone:
            for name, provider in self.providers_.items():
                extras[name] = provider.exchange(peer_id, now_s)
        identity = member.identity
        return membership.Exchange(
            entry=membership.PeerEntry(
                entry_id=identity.entry_id,
                availability_zone=identity.availability_zone,
                control=identity.control,
            ),
            is_registered=member.is_registered_,
            generation=member.generation_,
            clock=str(self.recorder.clock.now()),
            views=member.confirmed_views((zone, member.home_zone)),
            entries=self._gossip(peer_id, now_s),
            leaving=self.leaving_vms.shared_notices(),
            extras=extras,
            **fields,
        )

    def _gossip(
        self, peer_id: str, now_s: float
    ) -> tuple[membership.PeerEntry, ...]:
        """Returns known entries in rotation once per gossip period, or none."""
        last_gossip_s = self.last_gossip_s_.get(peer_id)
        if (
            last_gossip_s is not None
            and now_s - last_gossip_s < GOSSIP_PERIOD_S
        ):
            return ()
        self.last_gossip_s_[peer_id] = now_s
        peers = [self.peers.peers_[name] for name in sorted(self.peers.peers_)]
        # Entries that never sent a message to this one are not forwarded, so
        # that a wrong address does not circulate among peers.
        seen = [peer for peer in peers if peer.last_seen_s is not None]
        start = self.gossip_cursor_ if len(seen) > MAX_GOSSIP_ENTRIES else 0
        self.gossip_cursor_ = (start + MAX_GOSSIP_ENTRIES) % max(1, len(seen))
        chosen = (seen + seen)[
            start : start + min(len(seen), MAX_GOSSIP_ENTRIES)
        ]
        return tuple(
            membership.PeerEntry(
                entry_id=peer.address.entry_id,
                availability_zone=peer.address.availability_zone,
                control=peer.address.control,
            )
            for peer in chosen
        )

"""Peers of an entry: addresses, liveness, signed messages and view leases."""

from baobabdoor.membership._clock_jump import ClockJumpDetector
from baobabdoor.membership._leases import GRANT_HOLD_S
from baobabdoor.membership._leases import LEASE_S
from baobabdoor.membership._leases import GrantedLeases
from baobabdoor.membership._leases import HeldLeases
from baobabdoor.membership._messages import MAX_ENTRIES
from baobabdoor.membership._messages import MAX_LEAVING_NOTICES
from baobabdoor.membership._messages import MAX_MESSAGE_BYTES
from baobabdoor.membership._messages import Exchange
from baobabdoor.membership._messages import LeavingNotice
from baobabdoor.membership._messages import PeerEntry
from baobabdoor.membership._messages import ZoneRows
from baobabdoor.membership._peers import ExchangeSchedule
from baobabdoor.membership._peers import Peer
from baobabdoor.membership._peers import PeerAddress
from baobabdoor.membership._peers import PeerSource
from baobabdoor.membership._peers import PeerState
from baobabdoor.membership._peers import PeerTable
from baobabdoor.membership._signing import Envelope
from baobabdoor.membership._signing import PeerSigner
from baobabdoor.membership._signing import SignedContent

__all__ = [
    "ClockJumpDetector",
    "SignedContent",
    "Envelope",
    "Exchange",
    "ExchangeSchedule",
    "GRANT_HOLD_S",
    "GrantedLeases",
    "LEASE_S",
    "HeldLeases",
    "LeavingNotice",
    "MAX_ENTRIES",
    "MAX_LEAVING_NOTICES",
    "MAX_MESSAGE_BYTES",
    "Peer",
    "PeerAddress",
    "PeerEntry",
    "PeerSigner",
    "PeerSource",
    "PeerState",
    "PeerTable",
    "ZoneRows",
]

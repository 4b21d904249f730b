"""Membership, control lease and region controller of an entry."""

from baobabdoor.control._controller import Controller
from baobabdoor.control._controller import ControlRound
from baobabdoor.control._controller import Planners
from baobabdoor.control._exchanges import ExchangeProcessor
from baobabdoor.control._exchanges import ExchangeProvider
from baobabdoor.control._fleet_view import FleetView
from baobabdoor.control._lease import ControlLease
from baobabdoor.control._leaving_vms import LeavingVms
from baobabdoor.control._member import Identity
from baobabdoor.control._member import Member
from baobabdoor.control._peer_http import PeerClient
from baobabdoor.control._peer_http import check_peer_header
from baobabdoor.control._service import ControlService
from baobabdoor.control._status import ControlStatus
from baobabdoor.control._status import EntryStatus
from baobabdoor.control._status import PeerStatus
from baobabdoor.control._status import PoolStatus
from baobabdoor.control._status import VmStatus

__all__ = [
    "ControlLease",
    "ControlRound",
    "ControlService",
    "ControlStatus",
    "Controller",
    "EntryStatus",
    "ExchangeProvider",
    "ExchangeProcessor",
    "FleetView",
    "Identity",
    "LeavingVms",
    "Member",
    "PeerClient",
    "PeerStatus",
    "Planners",
    "PoolStatus",
    "VmStatus",
    "check_peer_header",
]

"""At most one run of a non-idempotent request: tickets and claimed keys."""

from baobabdoor.idempotency._claims import Claim
from baobabdoor.idempotency._claims import Claims
from baobabdoor.idempotency._fingerprint import fingerprint
from baobabdoor.idempotency._stored import from_json
from baobabdoor.idempotency._stored import to_json
from baobabdoor.idempotency._tickets import Started
from baobabdoor.idempotency._tickets import Ticket
from baobabdoor.idempotency._tickets import Tickets
from baobabdoor.idempotency._tickets import parse_ticket

__all__ = [
    "Claim",
    "Claims",
    "Started",
    "Ticket",
    "Tickets",
    "fingerprint",
    "from_json",
    "parse_ticket",
    "to_json",
]

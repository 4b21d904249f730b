"""At-most-once execution of non-idempotent requests by tickets and claims."""

from baobabdoor.idempotency._claims import Claim
from baobabdoor.idempotency._claims import Claims
from baobabdoor.idempotency._fingerprint import fingerprint
from baobabdoor.idempotency._results import from_json
from baobabdoor.idempotency._results import to_json
from baobabdoor.idempotency._tickets import StartedTicket
from baobabdoor.idempotency._tickets import Ticket
from baobabdoor.idempotency._tickets import Tickets
from baobabdoor.idempotency._tickets import parse_ticket

__all__ = [
    "Claim",
    "Claims",
    "StartedTicket",
    "Ticket",
    "Tickets",
    "fingerprint",
    "from_json",
    "parse_ticket",
    "to_json",
]

"""Tickets, each issued and started at most once by one entry incarnation."""

import collections
import hmac
import re

import attrs

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.idempotency import _results

STEP = "idempotency.ticket"
# Longer than a typical caller retries, and short enough to keep a record of
# every started ticket until it expires.
VALIDITY_S = 600
# Each record takes about 250 bytes.
MAX_STARTED = 32_768
MAX_STORED_BYTES = 4 * 1024 * 1024
# Low bits of the number that contain a counter; the bits above contain the
# second of issue.
COUNTER_BITS = 32
MAC_LENGTH = 32
_TICKET = re.compile(
    r"([a-z0-9-]{1,63})\.([A-Za-z0-9_-]{1,64})\.([0-9]{1,20})"
    rf"\.([0-9a-f]{{{MAC_LENGTH}}})"
)


@attrs.frozen
class Ticket:
    """A parsed ticket, which may still be forged.

    Attributes:
        entry_id: Entry that issued it.
        incarnation: Incarnation of that entry.
        number: Second of issue and a counter.
        mac: Message authentication code of the other fields.
    """

    entry_id: str
    incarnation: str
    number: int
    mac: str

    @property
    def issued_s(self) -> int:
        """Time of issue in seconds on the issuing process's monotonic clock."""
        return self.number >> COUNTER_BITS


def parse_ticket(key: str) -> Ticket | None:
    """Parses a key as a ticket; returns None for a key of the caller."""
    match = _TICKET.fullmatch(key)
    if match is None:
        return None
    entry_id, incarnation, number, mac = match.groups()
    return Ticket(entry_id, incarnation, int(number), mac)


@attrs.frozen
class StartedTicket:
    """A ticket that was started now; its request may be sent once.

    Attributes:
        number: Number of the ticket.
    """

    number: int


@attrs.define
class _Record:
    """A started ticket; `result` is None while the request is in progress."""

    fingerprint: str
    result: requests.Response | requests.Failure | None = None


class Tickets:
    """Issues tickets and keeps a record of each started one until it expires.

    Args:
        entry_id: Identifier of the entry.
        incarnation: Incarnation of the entry's process.
        secret: Random key of this process, at least 16 bytes.
        validity_s: Time within which a ticket can be started, in whole seconds.
            Default: 600.
        max_started: Maximum number of tickets started within that time.
            Default: 32,768.
        max_stored_bytes: Maximum size of all stored response bodies. Default:
            4 MiB.

    Example:
        >>> tickets = Tickets("entry-1", "7", bytes(16))
        >>> ticket = parse_ticket(tickets.issue(now_s=5.0))
        >>> tickets.begin(ticket, "f", now_s=6.0)
        StartedTicket(number=21474836481)
        >>> tickets.begin(ticket, "f", now_s=6.0).refusal.reason.value
        'key-in-use'
    """

    PARAMETER_CONSTRAINTS = {
        "validity_s": base.Interval(1, integer=True),
        "max_started": base.Interval(1, integer=True),
        "max_stored_bytes": base.Interval(0, integer=True),
    }

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        secret: bytes,
        validity_s: int = VALIDITY_S,
        max_started: int = MAX_STARTED,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ):
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.secret = secret
        self.validity_s = validity_s
        self.max_started = max_started
        self.max_stored_bytes = max_stored_bytes
        self.counter_ = 0
        self.records_: dict[int, _Record] = {}
        # Numbers of started tickets by second of issue, for their expiry.
        self.numbers_by_second_: dict[int, list[int]] = collections.defaultdict(
            list
        )
        self.stored_sizes_: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self.stored_bytes_ = 0

    def issue(self, now_s: float) -> str:
        """Returns a new ticket."""
        if not self.counter_:
            base.validate(self)
        self.counter_ += 1
        number = (int(now_s) << COUNTER_BITS) | self.counter_
        mac = self._mac(number)
        return f"{self.entry_id}.{self.incarnation}.{number}.{mac}"

    def check(self, ticket: Ticket, now_s: float) -> requests.Failure | None:
        """Returns a failure if a ticket can never be started, else None."""
        if ticket.entry_id != self.entry_id:
            return _results.unknown(
                base.Reason.PEER_GONE, "", ticket.entry_id, STEP
            )
        if ticket.incarnation != self.incarnation:
            detail = "issued before the entry restarted"
            return _results.unknown(
                base.Reason.PEER_GONE, detail, ticket.entry_id, STEP
            )
        if not hmac.compare_digest(self._mac(ticket.number), ticket.mac):
            return _results.not_run(base.Reason.FORGED, step=STEP)
        if self._expired(ticket.issued_s, now_s):
            # It may have been started before it expired.
            return _results.unknown(base.Reason.TICKET_EXPIRED, step=STEP)
        return None

    def started(self, ticket: Ticket) -> bool:
        """Returns whether a checked ticket has been started."""
        return ticket.number in self.records_

    def begin(
        self, ticket: Ticket, fingerprint: str, now_s: float
    ) -> StartedTicket | requests.Response | requests.Failure:
        """Starts a ticket or returns the result of its request."""
        failure = self.check(ticket, now_s)
        if failure is not None:
            return failure
        record = self.records_.get(ticket.number)
        if record is not None:
            return self._repeated_result(record, fingerprint)
        if len(self.records_) >= self.max_started:
            detail = "too many tickets started"
            return _results.not_run(base.Reason.NO_CAPACITY, detail, step=STEP)
        self.records_[ticket.number] = _Record(fingerprint)
        self.numbers_by_second_[ticket.issued_s].append(ticket.number)
        return StartedTicket(ticket.number)

    def finish(
        self,
        started: StartedTicket,
        result: requests.Response | requests.Failure,
    ) -> None:
        """Stores the result of a started ticket's request.

        A ticket whose request was not run can be started again.
        """
        record = self.records_.get(started.number)
        if record is None:
            return
        if result.outcome is requests.Outcome.NOT_RUN:
            del self.records_[started.number]
            return
        record.result = result
        if isinstance(result, requests.Response):
            self._store_response(started.number, len(result.body))

    def expire(self, now_s: float) -> None:
        """Removes the records of tickets that can no longer be started."""
        for second in list(self.numbers_by_second_):
            if self._expired(second, now_s):
                for number in self.numbers_by_second_.pop(second):
                    self.records_.pop(number, None)
        while (
            self.stored_sizes_ and self.stored_sizes_[0][0] not in self.records_
        ):
            self.stored_bytes_ -= self.stored_sizes_.popleft()[1]

    def _expired(self, issued_s: int, now_s: float) -> bool:
        return now_s >= issued_s + self.validity_s

    def _repeated_result(
        self, record: _Record, fingerprint: str
    ) -> requests.Response | requests.Failure:
        if record.fingerprint != fingerprint:
            return _results.not_run(base.Reason.FINGERPRINT_MISMATCH, step=STEP)
        if record.result is None:
            detail = "the first request with this ticket is in progress"
            return _results.unknown(base.Reason.KEY_IN_USE, detail, step=STEP)
        return record.result

    def _store_response(self, number: int, length: int) -> None:
        self.stored_sizes_.append((number, length))
        self.stored_bytes_ += length
        while self.stored_bytes_ > self.max_stored_bytes:
            evicted, evicted_bytes = self.stored_sizes_.popleft()
            self.stored_bytes_ -= evicted_bytes
            record = self.records_.get(evicted)
            if record is not None:
                detail = "the request ran; its answer is no longer stored"
                record.result = _results.unknown(
                    base.Reason.UNKNOWN_RESULT, detail, step=STEP
                )

    def _mac(self, number: int) -> str:
        message = f"{self.entry_id}.{self.incarnation}.{number}".encode()
        digest = hmac.digest(self.secret, message, "sha256")
        return digest.hex()[:MAC_LENGTH]

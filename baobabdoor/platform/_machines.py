"""Client of the platform's machine service: lists, moves and maintenance."""

from collections.abc import Callable
import enum
import json
from urllib import parse

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.platform import _messages

CALL_TIMEOUT_S = 1.5
# The list is read twice a second.
LOG = observability.LimitedLogger(observability.get_logger("platform.machines"))


class MachineOutcome(enum.Enum):
    """Result of an order to a machine."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_DUE = "not-due"
    INVALID = "invalid"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


_OUTCOMES_BY_REASON = {
    "fence": MachineOutcome.FENCED,
    "busy": MachineOutcome.BUSY,
    "wave": MachineOutcome.NOT_DUE,
}


class MachineClient:
    """Lists machines and orders moves and maintenance.

    Args:
        client: HTTP client.
        address: The service as `ip:port`.
        leader_name: Name of the leader that sends the orders.
    """

    def __init__(
        self, client: transport.Client, address: str, leader_name: str
    ):
        self.client = client
        self.address = address
        self.leader_name = leader_name
        # Number of entries of the list that could not be read.
        self.entries_ignored_ = 0

    async def list_machines(
        self,
    ) -> tuple[scheduling.MachineRecord, ...] | base.Refusal:
        """Returns all machines."""
        records: list[scheduling.MachineRecord] = []
        page = ""
        while True:
            query = ""
            if page:
                fields = {"page-token": page}
                query = f"?{parse.urlencode(fields, errors='replace')}"
            answer = await self.client.fetch(
                self.address,
                "GET",
                f"/api/machines{query}",
                timeout_s=CALL_TIMEOUT_S,
            )
            if isinstance(answer, base.Refusal):
                return answer
            if answer.status != 200:
                return _messages.refusal_for_status(
                    "machines.list", self.address, answer.status
                )
            try:
                content = _messages.decode_object(answer.body)
                entries = _messages.field(content, "machines", list)
                page = _messages.field(content, "next-page-token", str, "")
            except _messages.MessageError as error:
                return base.Refusal(
                    base.Reason.UNKNOWN_RESULT,
                    "machines.decode",
                    self.address,
                    str(error),
                )
            records += self._decode_entries(entries)
            if not page:
                return tuple(records)

    def _decode_entries(self, entries: list) -> list[scheduling.MachineRecord]:
        """Returns the machines; malformed entries are logged and counted."""
        records = []
        for entry in entries:
            try:
                records.append(_decode(entry))
            except ValueError as error:
                self.entries_ignored_ += 1
                LOG.warning(
                    "machine_entry_ignored",
                    str(error),
                    entry=_messages.describe(entry),
                    error=str(error),
                )
        return records

    async def start_maintenance(
        self, machine: str, wave: int, token: int, permit: Callable[[], bool]
    ) -> MachineOutcome:
        """Starts maintenance of a machine; its runs end immediately.

        Args:
            machine: Name of the machine.
            wave: Number of the wave.
            token: Fencing token of the term that sends the order.
            permit: Returns whether the order may still be sent. Not every
                platform rejects outdated tokens.
        """
        body = {"machine": machine, "wave": wave}
        return await self._order("/api/machine-upkeep", body, token, permit)

    async def move(
        self, machine: str, pool: str, token: int, permit: Callable[[], bool]
    ) -> MachineOutcome:
        """Moves a machine to a pool; its runs end immediately.

        Args:
            machine: Name of the machine.
            pool: Destination pool.
            token: Fencing token of the term that sends the order.
            permit: Returns whether the order may still be sent.
        """
        body = {"machine": machine, "pool": pool}
        return await self._order("/api/machine-move", body, token, permit)

    async def _order(
        self, target: str, body: dict, token: int, permit: Callable[[], bool]
    ) -> MachineOutcome:
        headers = (
            "Content-Type: application/json\r\n"
            f"X-Lease-Holder: {self.leader_name}\r\n"
            f"X-Fencing-Token: {token}\r\n"
        )
        answer = await self.client.fetch(
            self.address,
            "POST",
            target,
            json.dumps(body).encode(),
            headers,
            CALL_TIMEOUT_S,
            permit,
        )
        if isinstance(answer, base.Refusal):
            if answer.reason is base.Reason.CONNECTION_FAILED:
                return MachineOutcome.THROTTLED
            return MachineOutcome.UNKNOWN
        if answer.status == 200:
            return MachineOutcome.ACCEPTED
        if answer.status == 409:
            return _refused_outcome(answer.body)
        if answer.status in (429, 503):
            return MachineOutcome.THROTTLED
        if answer.status == 400:
            return MachineOutcome.INVALID
        return MachineOutcome.UNKNOWN


def _refused_outcome(body: bytes) -> MachineOutcome:
    """Returns the outcome of a refused order, `BUSY` for unknown reasons."""
    try:
        content = _messages.decode_object(body or b"{}")
        reason = _messages.field(content, "reason", str, "")
    except _messages.MessageError as error:
        LOG.warning("machine_answer_unreadable", "", error=str(error))
        return MachineOutcome.BUSY
    return _OUTCOMES_BY_REASON.get(reason, MachineOutcome.BUSY)


def _decode(entry: object) -> scheduling.MachineRecord:
    """Returns a machine.

    Raises:
        ValueError: If the entry is malformed.
    """
    machine = _messages.field(entry, "machine", str)
    if not machine:
        raise _messages.MessageError("machine: found an empty name")
    return scheduling.MachineRecord(
        machine,
        _messages.field(entry, "pool", str, ""),
        scheduling.MachineState(_messages.field(entry, "state", str)),
        _messages.field(entry, "zone", str, ""),
        _messages.field(entry, "id", str, ""),
    )

"""Client of the platform's machine service: lists, moves and maintenance."""

import enum
import json
from urllib import parse

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.platform import _messages

CALL_TIMEOUT_S = 1.5
LOG = observability.get_logger("platform.machines")


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

    async def list_machines(
        self,
    ) -> tuple[scheduling.MachineRecord, ...] | base.Refusal:
        """Returns all machines."""
        records: list[scheduling.MachineRecord] = []
        page = ""
        while True:
            query = f"?{parse.urlencode({'page-token': page})}" if page else ""
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
                entries = content["machines"]
            except (_messages.MessageError, KeyError) as error:
                return base.Refusal(
                    base.Reason.UNKNOWN_RESULT,
                    "machines.decode",
                    self.address,
                    str(error),
                )
            decoded = (_decode(entry) for entry in entries)
            records += [record for record in decoded if record is not None]
            page = content.get("next-page-token")
            if not page:
                return tuple(records)

    async def start_maintenance(
        self, machine: str, wave: int, token: int
    ) -> MachineOutcome:
        """Starts maintenance of a machine; its runs end immediately."""
        body = {"machine": machine, "wave": wave}
        return await self._order("/api/machine-upkeep", body, token)

    async def move(self, machine: str, pool: str, token: int) -> MachineOutcome:
        """Moves a machine to a pool; its runs end immediately."""
        body = {"machine": machine, "pool": pool}
        return await self._order("/api/machine-move", body, token)

    async def _order(
        self, target: str, body: dict, token: int
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
        )
        if isinstance(answer, base.Refusal):
            if answer.reason is base.Reason.CONNECTION_FAILED:
                return MachineOutcome.THROTTLED
            return MachineOutcome.UNKNOWN
        if answer.status == 200:
            return MachineOutcome.ACCEPTED
        if answer.status == 409:
            reason = json.loads(answer.body or b"{}").get("reason", "")
            return _OUTCOMES_BY_REASON.get(reason, MachineOutcome.BUSY)
        if answer.status in (429, 503):
            return MachineOutcome.THROTTLED
        if answer.status == 400:
            return MachineOutcome.INVALID
        return MachineOutcome.UNKNOWN


def _decode(entry: dict) -> scheduling.MachineRecord | None:
    """Returns a machine; logs and returns `None` if the entry is malformed."""
    try:
        return scheduling.MachineRecord(
            entry["machine"],
            entry.get("pool") or "",
            scheduling.MachineState(entry["state"]),
            entry.get("zone") or "",
            entry.get("id") or "",
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        LOG.warning("machine_entry_ignored", entry=entry, error=repr(error))
        return None

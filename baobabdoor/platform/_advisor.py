"""Client of the advice service, which selects workers for a step."""

import json

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.platform import _messages

# The service answers the calls of one machine one at a time, so an answer may
# be delayed.
ANSWER_TIMEOUT_S = 3.0
LOG = observability.get_logger("platform.advisor")


class AdviceClient:
    """Requests tickets, which permit a worker to run a step.

    Args:
        client: HTTP client.
        address: The service as `ip:port`.
    """

    def __init__(self, client: transport.Client, address: str):
        self.client = client
        self.address = address

    async def ask(
        self, question: scheduling.AdviceRequest
    ) -> tuple[dict[str, str], float] | base.Refusal:
        """Returns tickets by worker and their validity in seconds."""
        body = {"step": question.step, "workers": list(question.workers)}
        answer = await self.client.fetch(
            self.address,
            "POST",
            "/api/advise",
            json.dumps(body).encode(),
            "Content-Type: application/json\r\n",
            ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, base.Refusal):
            return answer
        if answer.status != 200:
            return _messages.refusal_for_status(
                "advice.ask", self.address, answer.status
            )
        try:
            content = _messages.decode_object(answer.body)
            rows = _messages.field(content, "allowed", list)
            tickets = dict(map(_decode_ticket, rows))
            return (
                tickets,
                _messages.field(content, "valid-ms", float, 0) / 1000,
            )
        except _messages.MessageError as error:
            LOG.warning("advice_unreadable", error=str(error))
            return base.Refusal(
                base.Reason.UNKNOWN_RESULT, "advice.decode", self.address
            )


def _decode_ticket(row: object) -> tuple[str, str]:
    if isinstance(row, list) and len(row) == 2:
        worker_id, ticket = row
        readable = isinstance(ticket, str) or _messages.is_integer(ticket)
        if isinstance(worker_id, str) and readable:
            return worker_id, str(ticket)
    raise _messages.MessageError(
        f"allowed: expected worker and ticket, found {_messages.describe(row)}"
    )

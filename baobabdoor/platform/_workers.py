"""Client of the platform's workers: starts, stops, leases and pace of runs."""

from collections.abc import Callable
import json
import time

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.platform import _messages

# Minimum and maximum timeout of an order.
ORDER_TIMEOUT_RANGE_S = (0.45, 1.2)
# The same for a hold, beyond the wait of its long poll.
HOLD_TIMEOUT_RANGE_S = (0.6, 1.8)
# Maximum ended runs in one report according to the platform's documentation.
MAX_LISTED_ENDS = 500
# A worker is called several times a second.
LOG = observability.LimitedLogger(observability.get_logger("platform.workers"))

_OUTCOMES_BY_REASON = {
    "fence": scheduling.OrderOutcome.FENCED,
    "old": scheduling.OrderOutcome.OUTDATED_RUN,
    "late": scheduling.OrderOutcome.EXPIRED,
    "room": scheduling.OrderOutcome.NO_ROOM,
    "ticket": scheduling.OrderOutcome.NO_TICKET,
}


class WorkerClient:
    """Sends orders to workers.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: transport.Client):
        self.client = client
        self.adaptive_timeout = transport.AdaptiveTimeout()

    async def start(
        self, order: scheduling.StartOrder, permit: Callable[[], bool]
    ) -> scheduling.OrderResult:
        """Starts a run, unless `permit` returns false right before sending."""
        body = {
            "task": order.task,
            "run-id": order.run_id,
            "spec": order.payload,
            "until-ms": order.until_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(order, "/api/run-start", body, permit)

    async def stop(self, order: scheduling.StopOrder) -> scheduling.OrderResult:
        """Stops a run, or prevents the start of one that has not arrived."""
        body = {
            "task": order.task,
            "run-id": order.run_id,
            "fencing-token": order.token,
        }
        return await self._order(order, "/api/run-stop", body)

    async def pace(self, order: scheduling.PaceOrder) -> scheduling.OrderResult:
        """Sets the pace of a run as a share of full speed."""
        body = {
            "task": order.task,
            "run-id": order.run_id,
            "percent": order.percent,
            "fencing-token": order.token,
        }
        return await self._order(order, "/api/pace", body)

    async def hold(
        self,
        order: scheduling.HoldOrder,
        permit: Callable[[], bool] | None = None,
    ) -> scheduling.WorkerReport | scheduling.OrderResult:
        """Extends the lease, acknowledges ended runs and returns a report.

        Args:
            order: The order.
            permit: Returns whether it may still be sent; `None` if it always
                may.
        """
        body = {"fencing-token": order.token, "last-seen": order.last_seen}
        if order.until_ms:
            body["until-ms"] = order.until_ms
        if order.wait_ms:
            body["wait-ms"] = order.wait_ms
        answer = await self._post(
            order,
            "/api/hold",
            body,
            HOLD_TIMEOUT_RANGE_S,
            order.wait_ms / 1000,
            permit,
        )
        if isinstance(answer, scheduling.OrderResult):
            return answer
        status, content = answer
        if status != 200:
            return _result(status, content)
        try:
            return _decode_report(content)
        except _messages.MessageError as error:
            LOG.warning(
                "worker_report_ignored",
                order.worker_id,
                worker=order.worker_id,
                error=str(error),
            )
            return scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)

    async def _order(
        self,
        order: scheduling.WorkerOrder,
        target: str,
        body: dict,
        permit: Callable[[], bool] | None = None,
    ) -> scheduling.OrderResult:
        answer = await self._post(
            order, target, body, ORDER_TIMEOUT_RANGE_S, permit=permit
        )
        if isinstance(answer, scheduling.OrderResult):
            return answer
        return _result(*answer)

    async def _post(
        self,
        order: scheduling.WorkerOrder,
        target: str,
        body: dict,
        timeout_range_s: tuple[float, float],
        wait_s: float = 0.0,
        permit: Callable[[], bool] | None = None,
    ) -> tuple[int, dict] | scheduling.OrderResult:
        """Posts an order.

        Args:
            order: The order, which names the worker.
            target: Path.
            body: Body.
            timeout_range_s: Minimum and maximum timeout, beyond `wait_s`.
            wait_s: Time for which the worker may delay its answer.
            permit: Returns whether the order may still be sent.
        """
        headers = (
            "Content-Type: application/json\r\n"
            f"X-Expected-Instance: {order.worker_id}\r\n"
        )
        withheld = False

        def check_permit() -> bool:
            nonlocal withheld
            withheld = not permit()
            return not withheld

        started_s = time.monotonic()
        answer = await self.client.fetch(
            order.address,
            "POST",
            target,
            json.dumps(body).encode(),
            headers,
            wait_s + self.adaptive_timeout.timeout_s(*timeout_range_s),
            check_permit if permit else None,
        )
        if isinstance(answer, base.Refusal):
            outcome = scheduling.OrderOutcome.UNKNOWN
            if withheld:
                # This says nothing of the worker.
                outcome = scheduling.OrderOutcome.WITHHELD
            elif answer.reason is base.Reason.CONNECTION_FAILED:
                outcome = scheduling.OrderOutcome.NOT_SENT
            return scheduling.OrderResult(outcome, detail=str(answer))
        if not wait_s:
            self.adaptive_timeout.observe(time.monotonic() - started_s)
        try:
            content = _messages.decode_object(answer.body or b"{}")
        except _messages.MessageError as error:
            LOG.warning(
                "worker_answer_unreadable",
                order.worker_id,
                worker=order.worker_id,
                target=target,
                error=str(error),
            )
            content = {}
        return answer.status, content


def _result(status: int, content: dict) -> scheduling.OrderResult:
    outcomes = scheduling.OrderOutcome
    reason = content.get("reason")
    if not isinstance(reason, str):
        reason = ""
    clock_ms = content.get("clock-ms")
    if status == 200:
        outcome = outcomes.ACCEPTED
    elif status == 409:
        outcome = _OUTCOMES_BY_REASON.get(reason, outcomes.INVALID)
    elif status == 421:
        outcome = outcomes.WRONG_WORKER
    elif status in (429, 503):
        outcome = outcomes.UNHEALTHY
    elif status == 400:
        outcome = outcomes.INVALID
    else:
        outcome = outcomes.UNKNOWN
    return scheduling.OrderResult(
        outcome,
        int(clock_ms) if _messages.has_type(clock_ms, float) else None,
        f"{status} {reason:.80}".strip(),
    )


def _decode_report(content: dict) -> scheduling.WorkerReport:
    """Decodes a report.

    Raises:
        MessageError: If it does not conform to the published format.
    """
    ended = tuple(map(_decode_end, _messages.field(content, "ended", list, [])))
    return scheduling.WorkerReport(
        int(_messages.field(content, "clock-ms", float)),
        _messages.field(content, "born", int, 0),
        tuple(map(_decode_run, _messages.field(content, "running", list, []))),
        ended,
        lists_all_ends=len(ended) < MAX_LISTED_ENDS,
    )


def _decode_run(entry: object) -> scheduling.RunEntry:
    # The fifth field of a run is missing if tasks do not share a worker.
    values = [*_list(entry)[:5], 0.0][:5]
    _check_types(values, (str, int, str, float, float))
    return scheduling.RunEntry(*values)


def _decode_end(entry: object) -> scheduling.EndEntry:
    values = _list(entry)[:5]
    _check_types(values, (int, str, int, str, str))
    return scheduling.EndEntry(*values)


def _list(entry: object) -> list:
    if not isinstance(entry, list):
        raise _messages.MessageError(
            f"expected a list, found {_messages.describe(entry)}"
        )
    return entry


def _check_types(values: list, kinds: tuple[type, ...]) -> None:
    """Raises an error unless the values have the given types, in order."""
    if len(values) != len(kinds) or not all(
        _messages.has_type(value, kind)
        for value, kind in zip(values, kinds, strict=True)
    ):
        raise _messages.MessageError(f"found {_messages.describe(values)}")

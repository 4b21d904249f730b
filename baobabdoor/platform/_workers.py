"""Client of the platform's workers: starts, stops, leases and pace of runs."""

from collections.abc import Callable
import json
import time

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport

# Minimum and maximum timeout of an order.
ORDER_TIMEOUT_RANGE_S = (0.45, 1.2)
# The same for a hold, beyond the wait of its long poll.
HOLD_TIMEOUT_RANGE_S = (0.6, 1.8)
LOG = observability.get_logger("platform.workers")

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
        self, order: scheduling.HoldOrder
    ) -> scheduling.WorkerReport | scheduling.OrderResult:
        """Extends the lease, acknowledges ended runs and returns a report."""
        body = {"fencing-token": order.token, "last-seen": order.last_seen}
        if order.until_ms:
            body["until-ms"] = order.until_ms
        if order.wait_ms:
            body["wait-ms"] = order.wait_ms
        answer = await self._post(
            order, "/api/hold", body, HOLD_TIMEOUT_RANGE_S, order.wait_ms / 1000
        )
        if isinstance(answer, scheduling.OrderResult):
            return answer
        status, content = answer
        if status != 200:
            return _result(status, content)
        try:
            return _decode_report(content)
        except (TypeError, ValueError, KeyError) as error:
            LOG.warning(
                "worker_report_ignored",
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
        started_s = time.monotonic()
        answer = await self.client.fetch(
            order.address,
            "POST",
            target,
            json.dumps(body).encode(),
            headers,
            wait_s + self.adaptive_timeout.timeout_s(*timeout_range_s),
            permit,
        )
        if isinstance(answer, base.Refusal):
            not_sent = answer.reason is base.Reason.CONNECTION_FAILED
            return scheduling.OrderResult(
                scheduling.OrderOutcome.NOT_SENT
                if not_sent
                else scheduling.OrderOutcome.UNKNOWN,
                detail=str(answer),
            )
        if not wait_s:
            self.adaptive_timeout.observe(time.monotonic() - started_s)
        try:
            content = json.loads(answer.body) if answer.body else {}
        except ValueError as error:
            LOG.warning("worker_answer_unreadable", error=str(error))
            content = {}
        return answer.status, content


def _result(status: int, content: dict) -> scheduling.OrderResult:
    outcomes = scheduling.OrderOutcome
    reason = content.get("reason", "")
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
        outcome, content.get("clock-ms"), f"{status} {reason}".strip()
    )


def _decode_report(content: dict) -> scheduling.WorkerReport:
    # The fifth field of a run is missing if tasks do not share a worker.
    running = tuple(
        scheduling.RunEntry(*(entry[:5] if len(entry) > 4 else [*entry, 0.0]))
        for entry in content.get("running", ())
    )
    ended = tuple(
        scheduling.EndEntry(*entry[:5]) for entry in content.get("ended", ())
    )
    return scheduling.WorkerReport(
        int(content["clock-ms"]), int(content.get("born", 0)), running, ended
    )

"""Client of the platform's workers: starts, stops, holds and paces runs."""

from collections.abc import Callable
import json
import time

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import scheduling
from baobabdoor import transport

# Bounds of the time after which an order is treated as unanswered.
ORDER_TIMEOUT_S = 0.45
LONGEST_ORDER_TIMEOUT_S = 1.2
# Bounds of the time added to a hold's own wait before it is given up.
HOLD_GRACE_S = 0.6
LONGEST_HOLD_GRACE_S = 1.8
LOG = observability.get_logger("platform.workers")

_REASONS = {
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
        self.latency = transport.Latency()

    async def start(
        self, order: scheduling.StartOrder, permit: Callable[[], bool]
    ) -> scheduling.OrderResult:
        """Starts a run, if that is still permitted when it can be sent."""
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
        """Stops a run, or forbids one that has not arrived."""
        body = {
            "task": order.task,
            "run-id": order.run_id,
            "fencing-token": order.token,
        }
        return await self._order(order, "/api/run-stop", body)

    async def pace(self, order: scheduling.PaceOrder) -> scheduling.OrderResult:
        """Sets the share at which a run works."""
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
        """Extends the lease, acknowledges ends and returns both lists."""
        body = {"fencing-token": order.token, "last-seen": order.last_seen}
        if order.until_ms:
            body["until-ms"] = order.until_ms
        if order.wait_ms:
            body["wait-ms"] = order.wait_ms
        grace_s = self.latency.limit_s(HOLD_GRACE_S, LONGEST_HOLD_GRACE_S)
        started_s = time.monotonic()
        answer = await self._post(
            order, "/api/hold", body, order.wait_ms / 1000 + grace_s
        )
        if isinstance(answer, scheduling.OrderResult):
            return answer
        if not order.wait_ms:
            self.latency.observe(time.monotonic() - started_s)
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
        limit_s = self.latency.limit_s(ORDER_TIMEOUT_S, LONGEST_ORDER_TIMEOUT_S)
        started_s = time.monotonic()
        answer = await self._post(order, target, body, limit_s, permit)
        if isinstance(answer, scheduling.OrderResult):
            return answer
        self.latency.observe(time.monotonic() - started_s)
        return _result(*answer)

    async def _post(
        self,
        order: scheduling.WorkerOrder,
        target: str,
        body: dict,
        timeout_s: float,
        permit: Callable[[], bool] | None = None,
    ) -> tuple[int, dict] | scheduling.OrderResult:
        headers = (
            "Content-Type: application/json\r\n"
            f"X-Expected-Instance: {order.worker_id}\r\n"
        )
        answer = await self.client.fetch(
            order.address,
            "POST",
            target,
            json.dumps(body).encode(),
            headers,
            timeout_s,
            permit,
        )
        if isinstance(answer, base.Refusal):
            unsent = answer.reason is base.Reason.CONNECTION_FAILED
            return scheduling.OrderResult(
                scheduling.OrderOutcome.NOT_SENT
                if unsent
                else scheduling.OrderOutcome.UNKNOWN,
                detail=str(answer),
            )
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
        outcome = _REASONS.get(reason, outcomes.INVALID)
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
    # The fifth entry of a run is missing where tasks do not share a worker.
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

"""Carries callers' requests to the holder of the tenure."""

import asyncio
import json

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _tenure

# Time for which a request waits for a holder before it is refused, in
# seconds: a quarter of a usual latency objective.
HOLDER_WAIT_S = 0.5
HOLDER_POLL_S = 0.02
# Limit of one exchange between daemons.
PEER_TIMEOUT_S = 1.2
# Limit of a question whose answer is in the holder's memory.
PEER_READ_TIMEOUT_S = 0.5
LOG = observability.get_logger("gateway")


@attrs.frozen
class Outcome:
    """Result of a caller's request.

    Attributes:
        kind: `accepted`, `rejected`, `refused`, `unknown`, `invalid`,
            `no-queue`, `no-job`, `state`, `pending`, `unavailable` or
            `not-holder`.
        retry_after_s: When to come back; 0 if that is not said.
        value: State of the job or number of jobs.
        detail: Why, for logs.
    """

    kind: str
    retry_after_s: int = 0
    value: str | int = ""
    detail: str = ""


UNAVAILABLE = Outcome("unavailable", 1, detail="no holder reached")


class Gateway:
    """Answers requests here if this daemon decides, else asks the holder.

    Args:
        daemon: The daemon with its controller, tenures and clients.
    """

    def __init__(self, daemon):
        self.daemon = daemon

    async def submit(
        self, job_id: str, queue: scheduling.Queue, body: bytes, limit_s: float
    ) -> Outcome:
        """Hands in a job; repeats the question while the result is unknown."""
        message = {
            "job": job_id,
            "queue": queue.name,
            "body": body.decode("utf-8", "replace"),
        }
        return await self._ask_until("submit", message, limit_s)

    async def cancel(
        self, job_id: str, queue: scheduling.Queue, limit_s: float
    ) -> Outcome:
        """Cancels a job."""
        message = {"job": job_id, "queue": queue.name}
        return await self._ask_until("cancel", message, limit_s)

    async def state(
        self, job_id: str, queue: scheduling.Queue, limit_s: float
    ) -> Outcome:
        """Returns the state of a job, from the store if need be."""
        message = {"job": job_id, "queue": queue.name}
        outcome = await self._ask_once(
            "state", message, min(limit_s, PEER_READ_TIMEOUT_S)
        )
        if outcome.kind in ("unavailable", "unknown", "not-holder"):
            return await self._stored_state(job_id)
        return outcome

    async def pending(self, queue: scheduling.Queue, limit_s: float) -> Outcome:
        """Returns how many jobs of a queue have not begun."""
        return await self._ask_until("pending", {"queue": queue.name}, limit_s)

    async def _ask_until(
        self, verb: str, message: dict, limit_s: float
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        sent = False
        while True:
            left_s = limit_s - (loop.time() - started_s)
            if left_s <= HOLDER_POLL_S:
                break
            outcome = await self._ask_once(
                verb, message, min(left_s, PEER_TIMEOUT_S)
            )
            if outcome.kind == "unknown":
                sent = True
            elif outcome.kind not in ("unavailable", "not-holder"):
                # An earlier question may yet be answered with success.
                doubtful = sent and outcome.kind in ("rejected", "refused")
                return Outcome("unknown") if doubtful else outcome
            waited_s = loop.time() - started_s
            if not sent and waited_s > HOLDER_WAIT_S:
                return UNAVAILABLE
            await asyncio.sleep(HOLDER_POLL_S)
        return Outcome("unknown") if sent else UNAVAILABLE

    async def _ask_once(
        self, verb: str, message: dict, timeout_s: float
    ) -> Outcome:
        daemon = self.daemon
        if daemon.controller is not None:
            return await self.answer(verb, message, timeout_s)
        holder = daemon.tenures.current
        if holder is None or daemon.tenures.is_self(holder):
            return UNAVAILABLE
        message = message | {
            "timeout_s": timeout_s * 0.9,
            "version": daemon.configuration.version,
        }
        answer = await daemon.client.fetch(
            holder.address,
            "POST",
            f"/v1/{verb}",
            json.dumps(message).encode(),
            timeout_s=timeout_s,
        )
        if isinstance(answer, transport.Response):
            if answer.status == 200:
                return Outcome(**json.loads(answer.body))
            return UNAVAILABLE
        if answer.reason is base.Reason.CONNECTION_FAILED:
            return UNAVAILABLE
        return Outcome("unknown", detail=str(answer))

    async def _stored_state(self, job_id: str) -> Outcome:
        answer = await self.daemon.store.read(
            _commits.JOBS_TABLE, _tenure.PART, job_id, limit=1
        )
        if isinstance(answer, base.Refusal):
            return Outcome("unavailable", 1, detail=str(answer))
        for row in answer.rows:
            if row.key == job_id:
                job = scheduling.decode_job(job_id, row.value, row.version)
                return Outcome("state", value=job.state.value)
        return Outcome("no-job")

    async def serve(self, request: transport.Request) -> transport.Reply:
        """Answers another daemon."""
        verb = request.path.removeprefix("/v1/")
        message = json.loads(request.body)
        timeout_s = message.get("timeout_s", PEER_TIMEOUT_S)
        await self.daemon.refresher.refresh(message.get("version", 0))
        if self.daemon.controller is None:
            outcome = Outcome("not-holder")
        else:
            outcome = await self.answer(verb, message, timeout_s)
        return transport.Reply(200, json.dumps(attrs.asdict(outcome)).encode())

    async def answer(
        self, verb: str, message: dict, timeout_s: float
    ) -> Outcome:
        """Answers as the holder."""
        controller = self.daemon.controller
        try:
            await asyncio.wait_for(controller.loaded.wait(), timeout_s)
        except TimeoutError:
            return UNAVAILABLE
        if self.daemon.controller is not controller or controller.ended:
            return Outcome("not-holder")
        if message["queue"] not in self.daemon.configuration.queues:
            return self._unknown_queue(message)
        if verb == "submit":
            return await self._submit(controller, message, timeout_s)
        if verb == "cancel":
            return await self._cancel(controller, message, timeout_s)
        if verb == "state":
            return self._state(controller, message)
        if verb == "pending":
            count = controller.scheduler.pending(message["queue"])
            return Outcome("pending", value=count)
        return Outcome("invalid", detail=f"unknown verb {verb}")

    def _unknown_queue(self, message: dict) -> Outcome:
        if message.get("version", 0) > self.daemon.version:
            detail = "the holder's configuration is older"
            return Outcome("unavailable", 1, detail=detail)
        return Outcome("no-queue")

    async def _submit(self, controller, message, timeout_s) -> Outcome:
        job = controller.scheduler.jobs.get(message["job"])
        if job is not None:
            spec = job.spec
        else:
            try:
                spec = platform.decode_job(
                    message["job"], message["queue"], message["body"].encode()
                )
            except platform.MessageError as error:
                return Outcome("invalid", detail=str(error))
        result = await controller.submit(spec, timeout_s)
        if result is None:
            return Outcome("accepted")
        if isinstance(result, scheduling.Rejection):
            return Outcome(
                "rejected", result.retry_after_s, detail=result.reason
            )
        return _unknown_or_elsewhere(result)

    async def _cancel(self, controller, message, timeout_s) -> Outcome:
        result = await controller.cancel(message["job"], timeout_s)
        if result is None:
            return Outcome("accepted")
        if result.reason is base.Reason.NOT_FOUND:
            return Outcome("no-job")
        return _unknown_or_elsewhere(result)

    def _state(self, controller, message) -> Outcome:
        job = controller.find_job(message["job"])
        if job is None:
            if not controller.certain():
                return UNAVAILABLE
            return Outcome("no-job")
        state = controller.scheduler.visible_state(job)
        return Outcome("state", value=state.value)


def _unknown_or_elsewhere(refusal: base.Refusal) -> Outcome:
    if refusal.reason is base.Reason.NOT_HOLDER:
        return Outcome("not-holder")
    if refusal.reason is base.Reason.PLATFORM_UNAVAILABLE:
        return Outcome("refused", 1, detail=str(refusal))
    return Outcome("unknown", detail=str(refusal))

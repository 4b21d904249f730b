"""Forwards callers' requests to the leader."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

import attrs

from baobabdoor import base
from baobabdoor import customers
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _attempts
from baobabdoor.dispatch import _job_states
from baobabdoor.dispatch import _leader_queries
from baobabdoor.dispatch import _leader_states
from baobabdoor.dispatch import _outcomes
from baobabdoor.dispatch import _shutdown

# How long a request waits for a leader before it is refused, in seconds: a
# quarter of a typical latency objective.
LEADER_WAIT_S = 0.5
LEADER_POLL_S = 0.02
# Timeout of one call between daemons.
PEER_TIMEOUT_S = 1.2
# Timeout of the read that looks for an earlier submission of a job, and the age
# of the store's last answer from which it is not tried, since a refusal is not
# to wait for a store that is down.
REPEAT_READ_TIMEOUT_S = 0.25
MAX_STORE_SILENCE_S = 1.0
LOG = observability.get_logger("gateway")


class Gateway:
    """Answers requests locally on the leader, otherwise forwards them.

    Args:
        daemon: Provides the controller, the election and the clients.
        shutdown: Time limits of a planned stop. Default: none.
    """

    def __init__(self, daemon, shutdown: _shutdown.Shutdown | None = None):
        self.daemon = daemon
        self.shutdown = shutdown or _shutdown.Shutdown()
        self.access = _access.AccessCheck(daemon)
        self.attempts = _attempts.SettledAttempts()
        self.states = _job_states.JobStates(daemon, self._call_leader)

    def refuse_access(
        self, decision: customers.Decision, place: str
    ) -> _outcomes.Outcome:
        """Counts a call that is not accepted and returns its outcome.

        Args:
            decision: The decision.
            place: Which process decided: `entry` or `leader`.
        """
        self.daemon.metrics.count(
            "access_refusals_total",
            {"reason": decision.reason.value, "at": place},
        )
        detail = self.access.describe(decision, place)
        if decision.kind is customers.Kind.UNAUTHENTICATED:
            return _outcomes.Outcome("unauthenticated", detail=detail)
        return _outcomes.Outcome("uncertain", 1, detail=detail)

    async def submit(
        self,
        job_id: str,
        queue: scheduling.Queue,
        body: bytes,
        timeout_s: float,
        caller: _access.Caller = _access.ANYBODY,
    ) -> _outcomes.Outcome:
        """Submits a job; retries while the result is unknown.

        Without a leader, a job whose earlier submission is stored is accepted:
        the caller may have missed that answer.
        """
        message = _message(queue, caller, job_id) | {
            "body": body.decode("utf-8", "replace")
        }
        progress = _outcomes.Progress()

        async def submit() -> _outcomes.Outcome:
            started_s = platform.boot_time_s()
            outcome = await self._call_with_retry(
                "submit", message, timeout_s, progress
            )
            if outcome is not _outcomes.UNAVAILABLE:
                return outcome
            left_s = timeout_s - (platform.boot_time_s() - started_s)
            stored = await self._stored_submission(
                job_id, queue, left_s, caller
            )
            return stored or outcome

        return await self._answer_in_time(submit, progress)

    async def _stored_submission(
        self,
        job_id: str,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller,
    ) -> _outcomes.Outcome | None:
        """Returns the outcome of a submission that the store shows."""
        silence_s = platform.boot_time_s() - self.daemon.store.last_answer_s_
        timeout_s = min(timeout_s, REPEAT_READ_TIMEOUT_S)
        if silence_s > MAX_STORE_SILENCE_S or timeout_s < LEADER_POLL_S:
            return None
        outcome = await self.states.read_stored(
            job_id, queue, caller, timeout_s
        )
        if outcome.kind == "state":
            return _outcomes.Outcome("accepted", detail="found in the store")
        return outcome if outcome is _outcomes.FORBIDDEN else None

    async def cancel(
        self,
        job_id: str,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller = _access.ANYBODY,
    ) -> _outcomes.Outcome:
        """Cancels a job."""
        message = _message(queue, caller, job_id)
        progress = _outcomes.Progress()
        return await self._answer_in_time(
            lambda: self._call_with_retry(
                "cancel", message, timeout_s, progress
            ),
            progress,
        )

    async def state(
        self,
        job_id: str,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller = _access.ANYBODY,
    ) -> _outcomes.Outcome:
        """Returns a job's state, from the store if the leader fails.

        If this process cannot check the caller's key, only the leader, which
        checks it itself, is asked.
        """

        async def read() -> _outcomes.Outcome:
            if caller.decision.allowed:
                message = _message(queue, caller, job_id)
                return await self.states.read(message, queue, timeout_s, caller)
            # No customer, so that a leader with an older configuration, in
            # which the queue may be public, does not tell.
            message = _message(queue, caller, job_id) | {"customer": None}
            return await _leader_queries.read_state(
                self, message, queue, timeout_s, caller
            )

        return await self._answer_in_time(read)

    async def pending(
        self,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller = _access.ANYBODY,
    ) -> _outcomes.Outcome:
        """Returns the number of jobs of a queue that have not started."""
        message = _message(queue, caller)
        return await self._answer_in_time(
            lambda: _leader_queries.read_pending(self, message, timeout_s)
        )

    async def _answer_in_time(
        self,
        call: Callable[[], Awaitable[_outcomes.Outcome]],
        progress: _outcomes.Progress | None = None,
    ) -> _outcomes.Outcome:
        """Returns a call's outcome, or what is known when answers are due.

        Args:
            call: The call.
            progress: How far the call has come. Default: it has no effect.
        """
        progress = progress or _outcomes.Progress()
        if self.shutdown.answers_due:
            return _outcomes.NOT_RUN_AT_STOP
        try:
            async with self.shutdown.limit():
                return await call()
        except TimeoutError:
            return progress.outcome_at_stop

    async def _call_with_retry(
        self,
        method: str,
        message: dict,
        timeout_s: float,
        progress: _outcomes.Progress | None = None,
    ) -> _outcomes.Outcome:
        progress = progress or _outcomes.Progress()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while True:
            remaining_s = timeout_s - (loop.time() - started_s)
            if remaining_s <= LEADER_POLL_S or self.shutdown.answers_due:
                break
            attempt = progress.begin()
            outcome = await self._call_leader(
                method,
                message | attempt,
                min(remaining_s, PEER_TIMEOUT_S),
                progress,
            )
            progress.end(attempt["attempt"], outcome)
            if outcome.kind not in ("unknown", "unavailable", "not-holder"):
                # An earlier attempt may still succeed.
                ambiguous = progress.unanswered and outcome.kind in (
                    "rejected",
                    "refused",
                    "unauthenticated",
                    "uncertain",
                )
                return _outcomes.Outcome("unknown") if ambiguous else outcome
            waited_s = loop.time() - started_s
            if not progress.unanswered and waited_s > LEADER_WAIT_S:
                return _outcomes.UNAVAILABLE
            await asyncio.sleep(LEADER_POLL_S)
        return (
            _outcomes.Outcome("unknown")
            if progress.unanswered
            else _outcomes.UNAVAILABLE
        )

    async def _call_leader(
        self,
        method: str,
        message: dict,
        timeout_s: float,
        progress: _outcomes.Progress | None = None,
    ) -> _outcomes.Outcome:
        progress = progress or _outcomes.Progress()
        daemon = self.daemon
        if daemon.controller is not None:
            progress.in_flight = True
            return await self.answer(method, message, timeout_s)
        leader = daemon.election.current
        if leader is None or daemon.election.is_self(leader):
            return _outcomes.UNAVAILABLE
        message = message | {
            "timeout_s": timeout_s * 0.9,
            "version": daemon.configuration.version,
        }
        answer = await daemon.client.fetch(
            leader.address,
            "POST",
            f"/v1/{method}",
            json.dumps(message).encode(),
            timeout_s=timeout_s,
            permit=lambda: not self.shutdown.answers_due and progress.permit(),
        )
        if isinstance(answer, transport.Response):
            return _outcomes.decode_outcome(answer)
        if answer.reason is base.Reason.CONNECTION_FAILED:
            return _outcomes.UNAVAILABLE
        return _outcomes.Outcome("unknown", detail=str(answer))

    async def serve(self, request: transport.Request) -> transport.Reply:
        """Handles a request from another daemon."""
        method = request.path.removeprefix("/v1/")
        message = json.loads(request.body)
        timeout_s = message.get("timeout_s", PEER_TIMEOUT_S)
        try:
            async with self.shutdown.limit():
                await self.daemon.refresher.refresh(message.get("version", 0))
        except TimeoutError:
            outcome = _outcomes.Outcome(
                "not-holder", detail="the process stops"
            )
        else:
            outcome = _outcomes.Outcome("not-holder")
            if self.daemon.controller is not None:
                outcome = await self.answer(method, message, timeout_s)
        outcome = self.attempts.answer(message, outcome)
        return transport.Reply(200, _outcomes.encode_outcome(outcome))

    async def answer(
        self, method: str, message: dict, timeout_s: float
    ) -> _outcomes.Outcome:
        """Handles a request as the leader."""
        if method == "states":
            return await self._answer_states(message, timeout_s)
        controller = self.daemon.controller
        if method == "state" and not controller.loaded.is_set():
            # The caller's entry reads the store meanwhile.
            return _outcomes.LOADING
        started_s = platform.boot_time_s()
        try:
            # `wait_for` of Python 3.11 may lose a cancel.
            async with asyncio.timeout(timeout_s):
                await controller.loaded.wait()
        except TimeoutError:
            return _outcomes.UNAVAILABLE
        timeout_s -= platform.boot_time_s() - started_s
        if self.daemon.controller is not controller or controller.ended:
            return _outcomes.Outcome("not-holder")
        queue = self.daemon.configuration.queues.get(message["queue"])
        if queue is not None:
            refusal, customer = self._authorize(controller, queue, message)
            if refusal is not None:
                return refusal
            message = message | {"customer": customer}
        if message.get("job") in controller.unreadable_jobs:
            # The job was accepted, and some of its tasks may have run.
            return _outcomes.Outcome(
                "unknown", detail="the row of the job is unreadable"
            )
        if queue is None:
            return self._unknown_queue(message)
        return await self._carry_out(controller, method, message, timeout_s)

    async def _answer_states(
        self, message: dict, timeout_s: float
    ) -> _outcomes.Outcome:
        """Answers several requests for states of jobs in one iteration."""
        version = message.get("version", 0)
        outcomes = [
            await self.answer(
                "state", request | {"version": version}, timeout_s
            )
            for request in message["requests"]
        ]
        return _leader_states.encode_outcomes(outcomes)

    def _authorize(
        self, controller, queue: scheduling.Queue, message: dict
    ) -> tuple[_outcomes.Outcome | None, str]:
        """Returns why a call is refused, if it is, and its customer."""
        decision = self.access.check_message(queue, message)
        if not decision.allowed:
            return self.refuse_access(decision, "leader"), ""
        job = controller.scheduler.jobs.get(message.get("job"))
        if job is not None and not _access.may_access(
            decision, job, queue.name
        ):
            return _access.forbid(self.daemon.metrics, "leader"), ""
        return None, decision.customer

    async def _carry_out(
        self, controller, method: str, message: dict, timeout_s: float
    ) -> _outcomes.Outcome:
        if method == "submit":
            return await self._submit(controller, message, timeout_s)
        if method == "cancel":
            return await self._cancel(controller, message, timeout_s)
        if method == "state":
            return self._state(controller, message)
        if method == "pending":
            if not controller.knows_all_jobs():
                return _outcomes.UNAVAILABLE
            count = controller.scheduler.pending(message["queue"])
            return _outcomes.Outcome("pending", value=count)
        return _outcomes.Outcome("invalid", detail=f"unknown verb {method}")

    def _unknown_queue(self, message: dict) -> _outcomes.Outcome:
        if message.get("version", 0) > self.daemon.version:
            detail = "the holder's configuration is older"
            return _outcomes.Outcome("unavailable", 1, detail=detail)
        return _outcomes.Outcome("no-queue")

    async def _submit(
        self, controller, message, timeout_s
    ) -> _outcomes.Outcome:
        job = controller.scheduler.jobs.get(message["job"])
        if job is not None and job.submitted:
            spec = job.spec
        else:
            try:
                spec = platform.decode_job(
                    message["job"], message["queue"], message["body"].encode()
                )
            except platform.MessageError as error:
                return _outcomes.Outcome("invalid", detail=str(error))
            spec = attrs.evolve(spec, customer=message.get("customer", ""))
        result = await controller.submit(spec, timeout_s)
        if result is None:
            return _outcomes.Outcome("accepted")
        if isinstance(result, scheduling.Rejection):
            # Above its customer's maximum or too late, but well formed.
            rejected = (
                result.retry_after_s or result.over_quota or result.hopeless
            )
            kind = "rejected" if rejected else "invalid"
            return _outcomes.Outcome(
                kind, result.retry_after_s, detail=result.reason
            )
        return _outcomes.outcome_of_refusal(result)

    async def _cancel(
        self, controller, message, timeout_s
    ) -> _outcomes.Outcome:
        job = controller.scheduler.jobs.get(message["job"])
        ended = f"already {job.state.value}" if job and job.final else ""
        result = await controller.cancel(
            message["job"], message["queue"], timeout_s
        )
        if result is None:
            return _outcomes.Outcome("accepted", detail=ended)
        if result.reason is base.Reason.NOT_FOUND:
            return _outcomes.Outcome(
                "no-job", detail=controller.describe_term()
            )
        return _outcomes.outcome_of_refusal(result)

    def _state(self, controller, message) -> _outcomes.Outcome:
        job = controller.find_job(message["job"])
        if job is None:
            # Another leader may have accepted it.
            if not controller.knows_all_jobs():
                return _outcomes.UNAVAILABLE
            return _outcomes.Outcome(
                "no-job", detail=controller.describe_term()
            )
        state = controller.scheduler.visible_state(job)
        is_final = state in scheduling.FINAL_STATES
        if not is_final and not controller.knows_state(job):
            return _outcomes.UNAVAILABLE
        return _outcomes.Outcome("state", value=state.value)


def _message(
    queue: scheduling.Queue, caller: _access.Caller, job_id: str = ""
) -> dict:
    """Returns a message to the leader; a key itself is never in one."""
    message = {
        "queue": queue.name,
        "digest": caller.digest,
        "customer": caller.decision.customer,
    }
    return message | {"job": job_id} if job_id else message

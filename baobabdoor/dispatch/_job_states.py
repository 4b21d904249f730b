"""Reads the states of jobs for callers, from the leader or from the store."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _outcomes

# Timeout of a read that the leader answers from memory.
LEADER_TIMEOUT_S = 0.5
# Timeout of a read of a job's state from the store.
STORE_TIMEOUT_S = 1.0


class JobStates:
    """Reads states of jobs.

    Args:
        daemon: Provides the store.
        call_leader: Sends a message to the leader: method, message and timeout
            in seconds.
    """

    def __init__(
        self,
        daemon,
        call_leader: Callable[[str, dict, float], Awaitable[_outcomes.Outcome]],
    ):
        self.daemon = daemon
        self.call_leader = call_leader

    async def read(
        self,
        message: dict,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller,
    ) -> _outcomes.Outcome:
        """Returns a job's state, from the store if the leader fails.

        Args:
            message: Message to the leader.
            queue: Queue that the caller names.
            timeout_s: Time until the answer is due, in seconds.
            caller: Who asks.
        """
        outcome = await self.call_leader(
            "state", message, min(timeout_s, LEADER_TIMEOUT_S)
        )
        if outcome.kind not in ("unavailable", "unknown", "not-holder"):
            return outcome
        stored = await self.read_stored(
            message["job"], queue, caller, STORE_TIMEOUT_S
        )
        if stored.kind != "unavailable":
            return stored
        failure = outcome.detail or outcome.kind
        detail = f"holder: {failure}; store: {stored.detail}"
        return attrs.evolve(stored, detail=detail)

    async def read_stored(
        self,
        job_id: str,
        queue: scheduling.Queue,
        caller: _access.Caller,
        timeout_s: float,
    ) -> _outcomes.Outcome:
        """Returns the state that the store shows.

        Args:
            job_id: The job.
            queue: Queue that the caller names.
            caller: Who asks.
            timeout_s: Timeout of the read in seconds.
        """
        answer = await self.daemon.store.read(
            _commits.JOBS_TABLE,
            _election.PART,
            job_id,
            timeout_s=timeout_s,
            limit=1,
        )
        if isinstance(answer, base.Refusal):
            return _outcomes.Outcome("unavailable", 1, detail=str(answer))
        for row in answer.rows:
            if row.key == job_id:
                return self._decode(row, queue, caller)
        return _outcomes.Outcome("no-job")

    def _decode(
        self,
        row: platform.StoredRow,
        queue: scheduling.Queue,
        caller: _access.Caller,
    ) -> _outcomes.Outcome:
        try:
            job = scheduling.decode_job(row.key, row.value, row.version)
        except Exception as error:
            self.daemon.faults.observe_row("job_row_ignored", row, error, "job")
            return _outcomes.Outcome(
                "unavailable", 1, detail="the row is unreadable"
            )
        if not job.submitted:
            return _outcomes.Outcome("no-job")
        if not _access.may_access(caller.decision, job, queue.name):
            return _access.forbid(self.daemon.metrics, "entry")
        return _outcomes.Outcome("state", value=job.state.value)

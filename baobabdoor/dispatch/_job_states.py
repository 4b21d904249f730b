"""Reads the states of jobs for callers, from the leader or from the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from baobabdoor import base
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _leader_states
from baobabdoor.dispatch import _outcomes
from baobabdoor.dispatch import _row_reader

# Outcomes that do not tell the state; another attempt may. A leader that cannot
# check the key is one of them, because this process has accepted it.
UNDECIDED = frozenset(["unavailable", "unknown", "not-holder", "uncertain"])
# Time after which the store is read while the leader has not answered: a leader
# answers from memory, mostly within some 10 ms.
HEDGE_DELAY_S = 0.2
# Pause between two attempts at the leader, or in the store.
RETRY_PAUSE_S = 0.25
# Age of the store's last answer from which no further attempt is made, because
# a refusal is not to wait for a store that is down. The process then reports
# that it is not ready.
MAX_STORE_SILENCE_S = 2.5
UNREADABLE = _outcomes.Outcome("unavailable", 1, detail="the row is unreadable")

_Read = Callable[[], Awaitable[_outcomes.Outcome]]


class JobStates:
    """Reads states of jobs.

    A read has no effect, so it is attempted until its answer is due: at the
    leader and, if that has not answered soon, also in the store.

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
        self.leader = _leader_states.LeaderStates(call_leader)
        self.rows = _row_reader.RowReader(
            daemon.store, _commits.JOBS_TABLE, _election.PART
        )

    async def read(
        self,
        message: dict,
        queue: scheduling.Queue,
        timeout_s: float,
        caller: _access.Caller,
    ) -> _outcomes.Outcome:
        """Returns a job's state.

        Args:
            message: Message to the leader.
            queue: Queue that the caller names.
            timeout_s: Time until the answer is due, in seconds.
            caller: Who asks.
        """
        search = _Search(
            lambda: self.leader.read(message),
            lambda: self.read_stored(message["job"], queue, caller, timeout_s),
            self.store_is_silent,
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await search.run()
        except TimeoutError:
            return search.refusal()

    def store_is_silent(self) -> bool:
        """Returns whether the store has not answered for long."""
        last_answer_s = self.daemon.store.last_answer_s_
        return platform.boot_time_s() - last_answer_s > MAX_STORE_SILENCE_S

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
        row = await self.rows.read(job_id, timeout_s)
        if isinstance(row, base.Refusal):
            return _outcomes.Outcome("unavailable", 1, detail=str(row))
        if row is None:
            return _outcomes.Outcome("no-job")
        return self._decode(row, queue, caller)

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
            return UNREADABLE
        if not job.submitted:
            return _outcomes.Outcome("no-job")
        if not _access.may_access(caller.decision, job, queue.name):
            return _access.forbid(self.daemon.metrics, "entry")
        return _outcomes.Outcome("state", value=job.state.value)


class _Search:
    """Attempts to read one state, until one of the attempts tells it.

    Args:
        read_leader: Asks the leader.
        read_store: Reads the store.
        is_hopeless: Returns whether no attempt in the near future can succeed
            once the leader and the store have both failed.
    """

    def __init__(
        self,
        read_leader: _Read,
        read_store: _Read,
        is_hopeless: Callable[[], bool],
    ):
        self.read_leader = read_leader
        self.read_store = read_store
        self.is_hopeless = is_hopeless
        # The last outcome of each source that did not tell the state.
        self.failures_: dict[str, _outcomes.Outcome] = {}
        self.attempts_ = 0

    async def run(self) -> _outcomes.Outcome:
        """Returns the state, or a refusal if no attempt can succeed."""
        first = asyncio.ensure_future(self.read_leader())
        tasks = {first}
        try:
            await asyncio.wait(tasks, timeout=HEDGE_DELAY_S)
            if first.done() and _tells(first.result()):
                return first.result()
            tasks |= {
                asyncio.ensure_future(self._repeat("holder", first)),
                asyncio.ensure_future(self._repeat("store", None)),
            }
            return await self._first_answer(tasks - {first})
        finally:
            for task in tasks:
                task.cancel()

    async def _first_answer(self, pending: set) -> _outcomes.Outcome:
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.result() is not None:
                    return task.result()
        return self.refusal()

    async def _repeat(
        self, source: str, first: asyncio.Future | None
    ) -> _outcomes.Outcome | None:
        """Reads until the state is told; `None` if no attempt can succeed."""
        read = self.read_leader if source == "holder" else self.read_store
        while True:
            outcome = await (first or read())
            first = None
            if _tells(outcome):
                return outcome
            self.attempts_ += 1
            self.failures_[source] = outcome
            if outcome is UNREADABLE or self._should_end():
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
            if self._should_end():
                return None

    def _should_end(self) -> bool:
        if len(self.failures_) < 2:
            return False
        return self.failures_["store"] is UNREADABLE or self.is_hopeless()

    def refusal(self) -> _outcomes.Outcome:
        """Returns the refusal, which names the last failures for the log."""
        failures = [
            f"{source}: {outcome.detail or outcome.kind}"
            for source, outcome in sorted(self.failures_.items())
        ]
        detail = "; ".join([*failures, f"attempts: {self.attempts_}"])
        return _outcomes.Outcome("unavailable", 1, detail=detail)


def _tells(outcome: _outcomes.Outcome) -> bool:
    return outcome.kind not in UNDECIDED

"""Asks the leader for states of jobs; concurrent requests share its calls."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from baobabdoor import observability
from baobabdoor.dispatch import _outcomes

# Maximum concurrent calls, so that one that is late does not delay all others.
MAX_CALLS = 2
# Maximum requests of a call, which the leader answers in one iteration of its
# event loop: 20 ms at 0.1 ms each.
MAX_REQUESTS = 200
# Timeout of a call, which the leader answers from memory.
CALL_TIMEOUT_S = 0.5
LOG = observability.get_logger("states")


@attrs.define(eq=False)
class _Request:
    message: dict
    future: asyncio.Future


class LeaderStates:
    """Asks the leader for states of jobs.

    A call contains all requests that have arrived since the last one started.

    Args:
        call_leader: Sends a message to the leader: method, message and timeout
            in seconds.
    """

    def __init__(
        self,
        call_leader: Callable[[str, dict, float], Awaitable[_outcomes.Outcome]],
    ):
        self.call_leader = call_leader
        self.waiting: list[_Request] = []
        self.calls: set[asyncio.Task] = set()
        self.start_scheduled = False

    async def read(self, message: dict) -> _outcomes.Outcome:
        """Returns the leader's answer to a request for a job's state.

        Args:
            message: Message to the leader.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(_Request(message, future))
        self._schedule_start()
        return await future

    def _schedule_start(self) -> None:
        """Starts calls once all requests of this iteration are known."""
        if not self.start_scheduled and len(self.calls) < MAX_CALLS:
            self.start_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_calls)

    def _start_calls(self) -> None:
        self.start_scheduled = False
        # Callers may have found the answer elsewhere.
        requests = [item for item in self.waiting if not item.future.done()]
        while requests and len(self.calls) < MAX_CALLS:
            call = asyncio.ensure_future(self._call(requests[:MAX_REQUESTS]))
            self.calls.add(call)
            call.add_done_callback(self._observe_call_end)
            requests = requests[MAX_REQUESTS:]
        self.waiting = requests

    def _observe_call_end(self, call: asyncio.Task) -> None:
        self.calls.discard(call)
        if self.waiting:
            self._schedule_start()

    async def _call(self, requests: list[_Request]) -> None:
        try:
            outcomes = await self._ask([item.message for item in requests])
        except Exception as error:
            # Its requests would wait until their timeouts.
            LOG.exception("states_not_read", error=repr(error))
            failure = _outcomes.Outcome("unknown", detail=repr(error))
            outcomes = [failure] * len(requests)
        for item, outcome in zip(requests, outcomes, strict=True):
            if not item.future.done():
                item.future.set_result(outcome)

    async def _ask(self, messages: list[dict]) -> list[_outcomes.Outcome]:
        if len(messages) == 1:
            return [
                await self.call_leader("state", messages[0], CALL_TIMEOUT_S)
            ]
        outcome = await self.call_leader(
            "states", {"requests": messages}, CALL_TIMEOUT_S
        )
        if outcome.kind == "states":
            outcomes = _decode(outcome.value)
            if len(outcomes) == len(messages):
                return outcomes
        if outcome.kind not in ("unavailable", "not-holder"):
            # A leader of an older program does not know this method.
            detail = f"no states: {outcome.kind} {outcome.detail}"
            outcome = _outcomes.Outcome("unknown", detail=detail)
        return [outcome] * len(messages)


def encode_outcomes(outcomes: list[_outcomes.Outcome]) -> _outcomes.Outcome:
    """Returns the leader's answer to a call with several requests."""
    value = [attrs.asdict(outcome) for outcome in outcomes]
    return _outcomes.Outcome("states", value=value)


def _decode(value) -> list[_outcomes.Outcome]:
    """Returns the outcomes in an answer; none if it is unreadable."""
    try:
        return [_outcomes.Outcome(**entry) for entry in value]
    except TypeError as error:
        LOG.warning("peer_answer_unreadable", error=str(error))
        return []

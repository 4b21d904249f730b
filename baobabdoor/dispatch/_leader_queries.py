"""Queries that only the leader may answer.

They have no effect, so the leader is asked until it tells or the answer is due.
"""

import asyncio

from baobabdoor import customers
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _job_states
from baobabdoor.dispatch import _leader_states
from baobabdoor.dispatch import _outcomes


async def read_pending(
    gateway, message: dict, timeout_s: float
) -> _outcomes.Outcome:
    """Returns the number of jobs of a queue that have not started.

    Args:
        gateway: Gateway of this process.
        message: Message to the leader.
        timeout_s: Time until the answer is due, in seconds.
    """
    call_leader = gateway.states.leader.call_leader
    end_s = platform.boot_time_s() + timeout_s
    while True:
        left_s = end_s - platform.boot_time_s()
        outcome = await call_leader(
            "pending", message, min(left_s, _leader_states.CALL_TIMEOUT_S)
        )
        if outcome.kind not in _job_states.UNDECIDED:
            return outcome
        if not _may_ask_again(gateway, end_s):
            detail = outcome.detail or outcome.kind
            return _outcomes.Outcome("unavailable", 1, detail=detail)
        await asyncio.sleep(_job_states.RETRY_PAUSE_S)


async def read_state(
    gateway,
    message: dict,
    queue: scheduling.Queue,
    timeout_s: float,
    caller: _access.Caller,
) -> _outcomes.Outcome:
    """Returns a job's state for a caller whose key is not certain here.

    The leader checks the key itself. Once this process can check the key, it
    reads the state as for any other caller.

    Args:
        gateway: Gateway of this process.
        message: Message to the leader.
        queue: Queue that the caller names.
        timeout_s: Time until the answer is due, in seconds.
        caller: Who asks.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_state(gateway, message, queue, timeout_s, caller)
    except TimeoutError:
        return gateway.refuse_access(caller.decision, "entry")


async def _read_state(
    gateway, message, queue, timeout_s: float, caller: _access.Caller
) -> _outcomes.Outcome:
    end_s = platform.boot_time_s() + timeout_s
    while True:
        outcome = await gateway.states.leader.read(message)
        if outcome.kind not in _job_states.UNDECIDED:
            return outcome
        decision = gateway.access.check_caller(queue, caller.digest)
        if decision.allowed:
            return await gateway.states.read(
                message | {"customer": decision.customer},
                queue,
                end_s - platform.boot_time_s(),
                _access.Caller(caller.digest, decision),
            )
        if (
            decision.kind is customers.Kind.UNAUTHENTICATED
            or not _may_ask_again(gateway, end_s)
        ):
            return gateway.refuse_access(decision, "entry")
        await asyncio.sleep(_job_states.RETRY_PAUSE_S)


def _may_ask_again(gateway, end_s: float) -> bool:
    """Returns whether time is left, and the store has not been lost."""
    left_s = end_s - platform.boot_time_s()
    is_late = left_s < 2 * _job_states.RETRY_PAUSE_S
    return not is_late and not gateway.states.store_is_silent()

"""Coroutines in virtual time, for tests and measurements."""

import asyncio

from baobabdoor import base

# Iterations of the event loop after each timer, enough for a chain of
# coroutines that wait for each other.
LOOP_ITERATIONS = 20


async def run_until_idle() -> None:
    """Runs the event loop until no coroutine is ready."""
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


async def advance(timers: base.VirtualTimerService, duration_s: float) -> None:
    """Advances virtual time and runs coroutines after each timer.

    Args:
        timers: The virtual timer service that the coroutines wait on.
        duration_s: Time to advance in seconds.
    """
    end_s = timers.now_s() + duration_s
    await run_until_idle()
    while timers.queue_ and timers.queue_[0][0] <= end_s:
        due_s = timers.queue_[0][0]
        timers.advance(max(0.0, due_s - timers.now_s()))
        await run_until_idle()
    timers.advance(max(0.0, end_s - timers.now_s()))
    await run_until_idle()

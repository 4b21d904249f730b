"""Virtual time together with coroutines, for tests and measurements."""

import asyncio

from baobabdoor import base

# Turns of the loop after each timer, enough for a chain of coroutines that
# wait for each other to come to rest.
LOOP_TURNS = 20


async def settle() -> None:
    """Lets the loop run until ready coroutines have come to rest."""
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


async def advance(timers: base.VirtualTimerService, duration_s: float) -> None:
    """Moves virtual time forward and lets coroutines run after each timer.

    Args:
        timers: The virtual timer service that the coroutines wait on.
        duration_s: Time to move forward in seconds.
    """
    end_s = timers.now_s() + duration_s
    await settle()
    while timers.queue_ and timers.queue_[0][0] <= end_s:
        due_s = timers.queue_[0][0]
        timers.advance(max(0.0, due_s - timers.now_s()))
        await settle()
    timers.advance(max(0.0, end_s - timers.now_s()))
    await settle()

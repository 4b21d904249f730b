"""Settings and helpers of the stateful tests against the fake platform."""

import asyncio

import attrs
import hypothesis
from hypothesis import stateful

from baobabdoor import base
from baobabdoor import standin

# A planted fault needs no minimal example, and shrinking takes minutes.
PLANTED = hypothesis.settings(
    max_examples=500,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
)
FUZZ = hypothesis.settings(
    max_examples=50,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)


class VirtualBench:
    """Runs coroutines to completion in virtual time."""

    def __init__(self):
        self.timers = base.VirtualTimerService()
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(self._stop_at_error)
        self.error = None
        self.faults = standin.PlatformFaults()

    def run(self, *coroutines):
        return self._run(self._drive(coroutines))

    def _run(self, coroutine):
        try:
            return self.loop.run_until_complete(coroutine)
        except RuntimeError:
            if self.error is None:
                raise
            raise self.error from None

    def _stop_at_error(self, loop, context):
        """Stops the loop at an exception in its own code.

        The time limit of a test raises in whatever code is running. The loop
        only logs an exception of its own code, and the task that it was to
        wake up would never run again.
        """
        if "handle" not in context:
            loop.default_exception_handler(context)
            return
        self.error = context["exception"]
        loop.stop()

    async def _drive(self, coroutines):
        tasks = [asyncio.ensure_future(each) for each in coroutines]
        while not all(task.done() for task in tasks):
            await standin.advance(self.timers, 0.1)
        return [task.result() for task in tasks]

    def wait(self, duration_s):
        self._run(standin.advance(self.timers, duration_s))

    def set_faults(self, fault):
        """Activates `fault` and deactivates all other faults."""
        healthy = attrs.asdict(standin.PlatformFaults())
        self.faults.update({**healthy, **fault})

    def close(self):
        self.loop.close()


def check(machine, settings=FUZZ):
    """Runs a state machine; raises the error of a violated property."""
    stateful.run_state_machine_as_test(machine, settings=settings)

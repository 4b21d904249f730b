"""Tests of the bench of the stateful tests."""

import asyncio
import itertools

import fuzzing
import pytest


class Interrupted(BaseException):
    """Stands for the exception of a test's time limit."""


async def respond_late(timers):
    answer = asyncio.get_running_loop().create_future()
    timers.call_later(2.0, lambda: answer.set_result(None))
    await answer


class TestVirtualBench:

    # Without the handler of the bench the loop waits for ever.
    @pytest.mark.timeout(20)
    @pytest.mark.parametrize("index", [20, 50, 200])
    def test_an_interrupted_wake_up_ends_the_run(self, index):
        bench = fuzzing.VirtualBench()
        call_soon, calls = bench.loop.call_soon, itertools.count()

        def interrupt(*arguments, **options):
            if next(calls) == index:
                raise Interrupted
            return call_soon(*arguments, **options)

        bench.loop.call_soon = interrupt
        with pytest.raises(Interrupted):
            bench.run(respond_late(bench.timers))
        bench.loop.call_soon = call_soon
        bench.close()

    def test_an_error_of_a_coroutine_reaches_the_caller(self):
        async def fail():
            raise ValueError("injected")

        bench = fuzzing.VirtualBench()
        with pytest.raises(ValueError, match="injected"):
            bench.run(fail())
        bench.close()

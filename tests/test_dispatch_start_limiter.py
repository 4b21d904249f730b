"""Tests of the limits on concurrent starts."""

import asyncio

from baobabdoor import scheduling
from baobabdoor.dispatch import _start_limiter
from baobabdoor.scheduling import _crashes

OUTCOMES = scheduling.OrderOutcome


class StartSink:
    """Answers starts once released, and counts those in flight."""

    def __init__(self):
        self.answered = asyncio.Event()
        self.in_flight = 0
        self.peak = 0

    async def send(self):
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        await self.answered.wait()
        self.in_flight -= 1
        return scheduling.OrderResult(OUTCOMES.ACCEPTED)


class TestStartLimiter:

    def run_starts(self, worker_ids, answered_after_s):
        async def run():
            sink, limiter = StartSink(), _start_limiter.StartLimiter()
            calls = [
                limiter.run(worker_id, sink.send) for worker_id in worker_ids
            ]
            results = asyncio.gather(*calls)
            await asyncio.sleep(answered_after_s)
            sink.answered.set()
            return sink.peak, [result.outcome for result in await results]

        return asyncio.run(run())

    def test_concurrent_starts_of_one_worker_are_limited(self):
        peak, outcomes = self.run_starts(["w1"] * 20, 0.05)
        assert peak == _start_limiter.MAX_WORKER_STARTS
        assert outcomes == [OUTCOMES.ACCEPTED] * 20

    def test_concurrent_starts_of_all_workers_are_limited(self):
        peak, outcomes = self.run_starts([f"w{n}" for n in range(200)], 0.05)
        assert peak == _start_limiter.MAX_STARTS
        assert outcomes == [OUTCOMES.ACCEPTED] * 200

    def test_start_without_a_permit_in_time_is_withheld(self):
        late_s = _start_limiter.PERMIT_WAIT_S + 0.2
        peak, outcomes = self.run_starts(["w1"] * 6, late_s)
        assert outcomes.count(OUTCOMES.ACCEPTED) == peak
        assert outcomes.count(OUTCOMES.WITHHELD) == 6 - peak

    def test_unresponsive_workers_do_not_block_others(self):
        silent = [f"silent{n % 12}" for n in range(120)]
        peak, outcomes = self.run_starts([*silent, "w1"], 0.05)
        assert peak == 12 * _start_limiter.MAX_WORKER_STARTS + 1
        assert outcomes[-1] is OUTCOMES.ACCEPTED

    def test_a_start_waits_no_longer_than_crashes_after_it_are_counted(self):
        assert _crashes.MAX_SEND_DELAY_S >= _start_limiter.PERMIT_WAIT_S

"""Tests of the bounds on starts under way."""

import asyncio

from baobabdoor import scheduling
from baobabdoor.dispatch import _start_gate

OUTCOMES = scheduling.OrderOutcome


class Link:
    """Answers starts when told, and counts those under way."""

    def __init__(self):
        self.answers = asyncio.Event()
        self.open = 0
        self.most = 0

    async def send(self):
        self.open += 1
        self.most = max(self.most, self.open)
        await self.answers.wait()
        self.open -= 1
        return scheduling.OrderResult(OUTCOMES.ACCEPTED)


class TestStartGate:

    def play(self, worker_ids, answered_after_s):
        async def run():
            link, gate = Link(), _start_gate.StartGate()
            calls = [gate.run(worker_id, link.send) for worker_id in worker_ids]
            results = asyncio.gather(*calls)
            await asyncio.sleep(answered_after_s)
            link.answers.set()
            return link.most, [result.outcome for result in await results]

        return asyncio.run(run())

    def test_a_worker_gets_few_starts_at_once(self):
        most, outcomes = self.play(["w1"] * 20, 0.05)
        assert most == _start_gate.WORKER_START_LIMIT
        assert outcomes == [OUTCOMES.ACCEPTED] * 20

    def test_all_workers_together_have_a_limit(self):
        most, outcomes = self.play([f"w{n}" for n in range(200)], 0.05)
        assert most == _start_gate.START_LIMIT
        assert outcomes == [OUTCOMES.ACCEPTED] * 200

    def test_a_start_whose_turn_comes_late_is_not_sent(self):
        late_s = _start_gate.TURN_WAIT_S + 0.2
        most, outcomes = self.play(["w1"] * 6, late_s)
        assert outcomes.count(OUTCOMES.ACCEPTED) == most
        assert outcomes.count(OUTCOMES.WITHHELD) == 6 - most

    def test_silent_workers_leave_turns_to_the_others(self):
        silent = [f"dark{n % 12}" for n in range(120)]
        most, outcomes = self.play([*silent, "w1"], 0.05)
        assert most == 12 * _start_gate.WORKER_START_LIMIT + 1
        assert outcomes[-1] is OUTCOMES.ACCEPTED

"""Tests of changes of pace that workers carry out late."""

import test_scheduling_advice_and_pace

from baobabdoor import scheduling

OUTCOMES = scheduling.OrderOutcome


class TestLatePace:

    def test_a_pause_is_repeated_while_the_target_is_missed(self):
        """Guards against HARM by an order that is carried out after newer ones.

        The increase without an answer arrives seconds later than the pause.
        """
        paces = test_scheduling_advice_and_pace.TestPace()
        fleet = paces.fleet()
        assert paces.paces(fleet, 120) == [0]
        increase = paces.paces(fleet, 20, seconds=2, outcome=OUTCOMES.UNKNOWN)
        assert increase == [15]
        assert paces.paces(fleet, 120) == [0]
        # 4 s over the target, with the late increase in effect.
        repeated = [paces.paces(fleet, 120) for _ in range(7)]
        assert [0] in repeated

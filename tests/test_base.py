"""Tests of the shared types."""

import pytest

from baobabdoor import base


class TestRefusal:

    def test_is_falsy_and_names_step_and_peer(self):
        refusal = base.Refusal(base.Reason.TIMEOUT, "forward.read", "vm-3")
        assert not refusal
        assert "forward.read" in str(refusal)
        assert "vm-3" in str(refusal)


class TestVirtualTimerService:

    def test_runs_timers_in_order_of_due_time(self):
        timers = base.VirtualTimerService()
        calls = []
        timers.call_later(2, lambda: calls.append("second"))
        timers.call_later(1, lambda: calls.append("first"))
        timers.advance(2)
        assert calls == ["first", "second"]

    def test_periodic_timer_survives_an_exception(self):
        timers = base.VirtualTimerService()
        calls = []

        def fail():
            calls.append(timers.now_s())
            raise RuntimeError

        timers.every(1, fail)
        for _ in range(2):
            with pytest.raises(RuntimeError):
                timers.advance(1)
        assert calls == [1, 2]

    def test_cancelled_timer_does_not_run(self):
        timers = base.VirtualTimerService()
        calls = []
        timers.every(1, lambda: calls.append(1)).cancel()
        timers.advance(5)
        assert not calls


class TestHybridClock:

    def test_timestamps_increase_when_the_wall_clock_goes_back(self):
        readings = iter([10, 5, 5])
        clock = base.HybridClock(lambda: next(readings))
        timestamps = [clock.now() for _ in range(3)]
        assert timestamps == sorted(set(timestamps))

    def test_follows_a_peer_up_to_the_maximum_skew(self):
        clock = base.HybridClock(lambda: 1000)
        clock.observe(base.HybridTime(2000, 4))
        assert clock.now() == base.HybridTime(2000, 5)
        clock.observe(base.HybridTime(10_000_000, 0))
        assert clock.now() == base.HybridTime(2000, 6)


class TestValidate:

    def test_error_names_class_parameter_expected_and_actual(self):
        class Buffer:
            PARAMETER_CONSTRAINTS = {"size": base.Interval(1, integer=True)}
            size = 0

        with pytest.raises(base.InvalidParameterError) as error:
            base.validate(Buffer())
        assert "Buffer.size: expected an integer in [1, inf], found 0" in str(
            error.value
        )


class TestShutdownBudget:

    @pytest.mark.parametrize("total_s", [0.5, 1, 2, 3, 6, 60])
    def test_each_part_ends_before_the_next_and_all_before_the_kill(
        self, total_s
    ):
        budget = base.divide_shutdown(total_s, 2.6)
        assert 0 < budget.release_s <= budget.serve_s < budget.answer_s
        assert budget.answer_s < budget.flush_s < total_s

    def test_the_balancer_is_waited_for_if_there_is_time(self):
        assert base.divide_shutdown(6.0, 2.6).serve_s == 2.6

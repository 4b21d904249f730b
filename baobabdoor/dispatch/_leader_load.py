"""Measures what the event loop of a leader spends its processor time on."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
import time
import types
from typing import Any

import attrs

from baobabdoor import observability

READING = "reading"
ADMITTING = "admitting"
PLANNING = "planning"
STORING = "storing"
SENDING = "sending"
# What the process does besides: its servers, and requests that it forwards.
OTHER = "other"
PARTS = (READING, ADMITTING, PLANNING, STORING, SENDING, OTHER)
# Interval of the log line and of the metrics, in seconds.
REPORT_INTERVAL_S = 1.0
LOG = observability.get_logger("controller")


@attrs.define
class _Interval:
    """What has been measured since the last report.

    Attributes:
        started_s: Time of the last report.
        spent_s: Processor time by part, in seconds.
        passes: Number of planning passes.
        submissions: Number of submissions.
        repeated: How many of these were of jobs that were submitted before.
        longest_pass_s: Longest duration of a pass.
        longest_delay_s: Longest time by which the event loop was late.
    """

    started_s: float
    spent_s: dict[str, float] = attrs.field(
        factory=lambda: dict.fromkeys(PARTS, 0.0)
    )
    passes: int = 0
    submissions: int = 0
    repeated: int = 0
    longest_pass_s: float = 0.0
    longest_delay_s: float = 0.0


class LeaderLoad:
    """Processor time of a leader by part, and the delay of its event loop.

    Parts may be nested; each instant counts for the innermost one.

    Args:
        metrics: Receives the measurements.
        now_s: Start of the term.
        clock_s: Clock of the thread's processor time, in seconds.

    Example:
        >>> load = LeaderLoad(observability.Metrics(), 0.0)
        >>> load.call(PLANNING, sum, [1, 2])
        3
    """

    def __init__(
        self,
        metrics: observability.Metrics,
        now_s: float,
        clock_s: Callable[[], float] = time.thread_time,
    ):
        self.metrics = metrics
        self.clock_s = clock_s
        self.interval_ = _Interval(now_s)
        self.part_ = OTHER
        self.since_s_ = clock_s()

    def call(self, part: str, function: Callable, *args) -> Any:
        """Calls a function and counts its processor time for a part."""
        outer = self._enter(part)
        try:
            return function(*args)
        finally:
            self._enter(outer)

    async def run(self, part: str, coroutine: Coroutine) -> Any:
        """Awaits a coroutine and counts its processor time for a part."""
        return await self._drive(part, coroutine)

    @types.coroutine
    def _drive(self, part: str, coroutine: Coroutine) -> Generator:
        """Runs a coroutine from one suspension to the next."""
        try:
            waits_for = self.call(part, coroutine.send, None)
            while True:
                try:
                    result = yield waits_for
                except BaseException as error:
                    waits_for = self.call(part, coroutine.throw, error)
                else:
                    waits_for = self.call(part, coroutine.send, result)
        except StopIteration as end:
            return end.value

    def _enter(self, part: str) -> str:
        """Counts the time until now; returns the part that it was spent on."""
        now_s = self.clock_s()
        outer = self.part_
        self.interval_.spent_s[outer] += now_s - self.since_s_
        self.part_, self.since_s_ = part, now_s
        return outer

    def observe_delay(self, delay_s: float) -> None:
        """Records by how much the event loop was late, in seconds."""
        interval = self.interval_
        interval.longest_delay_s = max(interval.longest_delay_s, delay_s)
        self.metrics.observe("holder_loop_delay_seconds", max(0.0, delay_s))

    def observe_submission(self, repeated: bool) -> None:
        """Records a submission.

        Args:
            repeated: Whether the job was submitted before.
        """
        self.interval_.submissions += 1
        self.interval_.repeated += repeated
        label = "true" if repeated else "false"
        self.metrics.count("holder_submissions_total", {"repeated": label})

    def observe_pass(
        self, duration_s: float, limit_s: float, scheduler
    ) -> None:
        """Records a planning pass.

        Args:
            duration_s: Its duration in seconds.
            limit_s: Interval of the passes, which it should not exceed.
            scheduler: Scheduler with the jobs and workers.
        """
        interval = self.interval_
        interval.passes += 1
        interval.longest_pass_s = max(interval.longest_pass_s, duration_s)
        self.metrics.observe("holder_pass_seconds", duration_s)
        if duration_s > limit_s:
            LOG.warning(
                "pass_overran",
                took_ms=round(duration_s * 1000),
                interval_ms=round(limit_s * 1000),
                active=len(scheduler.active),
                workers=len(scheduler.workers),
            )

    def report(self, now_s: float, scheduler) -> None:
        """Publishes the measurements, if the interval is over."""
        interval = self.interval_
        span_s = now_s - interval.started_s
        if span_s < REPORT_INTERVAL_S:
            return
        self._enter(self.part_)
        self.interval_ = _Interval(now_s)
        for part, spent_s in interval.spent_s.items():
            self.metrics.count(
                "holder_processor_seconds_total", {"part": part}, spent_s
            )
        spent_ms = {
            f"{part}_ms": round(spent_s * 1000)
            for part, spent_s in interval.spent_s.items()
        }
        LOG.info(
            "holder_load",
            span_ms=round(span_s * 1000),
            **spent_ms,
            passes=interval.passes,
            longest_pass_ms=round(interval.longest_pass_s * 1000),
            longest_delay_ms=round(interval.longest_delay_s * 1000),
            submissions=interval.submissions,
            repeated=interval.repeated,
            active=len(scheduler.active),
        )

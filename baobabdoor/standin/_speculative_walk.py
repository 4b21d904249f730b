"""Random walks in which steps allow two runs of a task at once.

Some runs take a multiple of their duration, and some never make progress.
"""

import math
import random

import attrs

from baobabdoor import scheduling
from baobabdoor.standin import _walk

SPECULATIVE_SHARE = 0.7
# Share of the runs with a multiple of the duration, and of those that hang.
TAIL_SHARE = 0.25
TAIL_FACTOR = 7.0
HANG_SHARE = 0.05
# Duration of a run that hangs: longer than a walk.
HANG_S = 1e6


class SpeculativeWalk(_walk.Walk):
    """A random walk with duplicate runs."""

    def __init__(self, seed: int, inject_fault=None):
        self.tail_random = random.Random(f"{seed}-tails")
        super().__init__(seed, inject_fault)

    def make_spec(self, spec: scheduling.JobSpec) -> scheduling.JobSpec:
        """Returns a job as its caller submits it."""
        steps = tuple(
            attrs.evolve(
                step,
                # Half the load: there are no duplicates while tasks wait.
                cpu_milli=step.cpu_milli // 2,
                speculative=self.tail_random.random() < SPECULATIVE_SHARE,
            )
            for step in spec.steps
        )
        return attrs.evolve(spec, steps=steps)

    def _make_run(self, order, now_s: float):
        run = super()._make_run(order, now_s)
        draw = self.tail_random.random()
        if draw < HANG_SHARE:
            run.duration_s = HANG_S
            run.checkpoint_interval_s = math.inf
        elif draw < HANG_SHARE + TAIL_SHARE:
            run.duration_s *= TAIL_FACTOR
        return run

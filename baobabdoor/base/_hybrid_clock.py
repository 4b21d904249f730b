"""Hybrid logical clock that orders events across processes.

Reference: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from collections.abc import Callable
import functools

import attrs

# Timestamps further ahead of the local wall clock are ignored, so that one
# wrong clock cannot advance the clocks of all other processes.
MAX_CLOCK_SKEW_MS = 60_000


@functools.total_ordering
@attrs.frozen(order=False)
class HybridTime:
    """Timestamp of a hybrid logical clock, ordered by wall time, then counter.

    Attributes:
        wall_ms: Wall-clock part in milliseconds.
        counter: Orders events with the same wall-clock part.
    """

    wall_ms: int = 0
    counter: int = 0

    def __lt__(self, other: "HybridTime") -> bool:
        return (self.wall_ms, self.counter) < (other.wall_ms, other.counter)

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> "HybridTime":
        """Parses the output of `str`.

        Raises:
            ValueError: `text` is not of the form `<wall_ms>.<counter>`.
        """
        wall_text, _, counter_text = text.partition(".")
        return cls(int(wall_text), int(counter_text))


class HybridClock:
    """Issues increasing timestamps that follow those of peers.

    Args:
        wall_ms: Returns the wall clock in milliseconds.
    """

    def __init__(self, wall_ms: Callable[[], int]):
        self.wall_ms = wall_ms
        self.last_ = HybridTime()

    def now(self) -> HybridTime:
        """Returns a timestamp later than all issued or observed before."""
        wall_ms = self.wall_ms()
        if wall_ms > self.last_.wall_ms:
            self.last_ = HybridTime(wall_ms, 0)
        else:
            counter = self.last_.counter + 1
            self.last_ = HybridTime(self.last_.wall_ms, counter)
        return self.last_

    def observe(self, timestamp: HybridTime) -> None:
        """Advances to a peer's timestamp unless it is too far ahead."""
        too_far_ahead = timestamp.wall_ms > self.wall_ms() + MAX_CLOCK_SKEW_MS
        if timestamp > self.last_ and not too_far_ahead:
            self.last_ = timestamp

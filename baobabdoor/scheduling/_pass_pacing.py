"""Limits the share of the event loop's time that planning passes take."""

import attrs

# Shortest and longest time between the end of a pass and the next one, in
# seconds. The former batches requests for a pass.
MIN_PAUSE_S = 0.003
MAX_PAUSE_S = 0.05
# Largest share of the time that passes take. The rest is left to reports,
# submissions and orders, on which the next pass depends.
MAX_SHARE = 1 / 2


@attrs.define
class PassPacing:
    """Chooses the pause before a planning pass.

    Answers passes that take longer the more jobs wait: without a pause in
    proportion, they would take all time exactly when most has to be read.

    Example:
        >>> pacing = PassPacing()
        >>> pacing.pause_s
        0.003
        >>> pacing.observe(0.01)
        >>> round(pacing.pause_s, 3)
        0.01
    """

    pause_s: float = MIN_PAUSE_S

    def observe(self, duration_s: float) -> None:
        """Records the duration of a pass in seconds."""
        pause_s = duration_s * (1 / MAX_SHARE - 1)
        self.pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s))

"""Keeps the row with the turns that leaders have learned."""

import math

from baobabdoor import base
from baobabdoor import forecast
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _transactions

TABLE = "turns"
KEY = "learned"
# Minimum time between two writes of the row. Turns last 4 to 10 s.
WRITE_INTERVAL_S = 5.0
# Minimum time between two checks for changes. A check encodes all that was
# learned, which would be too much work for each of many transactions a second.
CHECK_INTERVAL_S = 0.5
READ_TIMEOUT_S = 1.0
LOG = observability.get_logger("learned_turns")


class LearnedTurns:
    """Decides when the row is written, and restores it.

    Args:
        store: Provides the clock that all leaders share.
        scheduler: Scheduler whose autoscaler learns the turns.
    """

    def __init__(
        self, store: platform.StoreClient, scheduler: scheduling.Scheduler
    ):
        self.store = store
        self.scheduler = scheduler
        self.document = _transactions.Document(TABLE, KEY)
        self.due_s_ = -math.inf
        # Content of the last write, and the same without the time of writing.
        self.sent_ = b""
        self.sent_state_ = b""

    def take_change(
        self, now_s: float
    ) -> list[tuple[_transactions.Document, bytes]]:
        """Returns the row if it is to be written now.

        The next one follows after the interval, also if this one is lost.
        """
        if now_s < self.due_s_:
            return []
        self.due_s_ = now_s + CHECK_INTERVAL_S
        turns = self.scheduler.autoscaler.turns
        # Ages relative to a fixed time change only with what was learned.
        state = turns.encode(0.0, 0.0)
        stored = self.document.content == self.sent_
        if not state or (stored and state == self.sent_state_):
            return []
        content = turns.encode(now_s, self.store.now_ms())
        if len(content) > forecast.MAX_BYTES:
            return []
        self.due_s_ = now_s + WRITE_INTERVAL_S
        self.sent_, self.sent_state_ = content, state
        return [(self.document, content)]

    async def read(self) -> tuple[platform.StoredRow, ...]:
        """Reads the row, once: a leader can do without it."""
        answer = await self.store.read(
            TABLE, _election.PART, KEY, READ_TIMEOUT_S, 1
        )
        if isinstance(answer, base.Refusal):
            LOG.warning("turns_not_read", reason=str(answer))
            return ()
        return answer.rows

    def load(self, row: platform.StoredRow, now_s: float) -> None:
        """Adopts a stored row; those with other keys are ignored.

        Raises:
            ValueError: If it cannot be read.
        """
        if row.key != KEY:
            return
        self.document.load(row)
        self.scheduler.autoscaler.turns.restore(
            row.value, now_s, self.store.now_ms()
        )

"""Follows one table of the store through its change feed."""

import asyncio
from collections.abc import Callable

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform

RETRY_DELAY_S = 0.2
LOG = observability.get_logger("following")


class TableFollower:
    """Reads a snapshot of a table and then follows its changes.

    Args:
        store: The store.
        table: Table to follow.
        part: Part of the table whose rows are passed on.
        observe: Called after each answer with the changed rows, the answer
            and whether the rows are a snapshot of the whole table.
        wait_s: How long one long poll of the feed waits for changes.
        pause_s: Pause between long polls, so that changes are batched.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        table: str,
        part: str,
        observe: Callable[
            [list[platform.StoredRow], platform.RowSet, bool], None
        ],
        wait_s: float,
        pause_s: float = 0.0,
    ):
        self.store = store
        self.table = table
        self.part = part
        self.observe = observe
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.version = -1
        self.reachable = True
        # Time of the last answer on the clock of `boot_time_s`.
        self.last_answer_s = -1e9
        # Time on the same clock as of which all rows are certainly
        # known. An answer may be delayed, and the process suspended, so it is
        # the time at which the last answered request was sent.
        self.current_as_of_s = -1e9

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        while True:
            try:
                await self._follow()
            except Exception as error:
                # An exception must not stop the loop; the table is read again.
                LOG.exception(
                    "follower_failed", table=self.table, error=repr(error)
                )
                self.version = -1
                await asyncio.sleep(RETRY_DELAY_S)

    async def _follow(self) -> None:
        while True:
            sent_s = platform.boot_time_s()
            if self.version < 0:
                answer = await self.store.read_all(self.table, self.part)
            else:
                # After a failure, the age of the rows matters more than the
                # number of calls.
                wait_s = self.wait_s if self.reachable else 0.0
                answer = await self.store.feed(self.table, self.version, wait_s)
            if isinstance(answer, base.Refusal):
                await self._observe_refusal(answer)
                continue
            if not self.reachable:
                LOG.info("table_regained", table=self.table)
                self.reachable = True
            self.last_answer_s = platform.boot_time_s()
            is_snapshot = self.version < 0
            self.version = answer.version
            rows = [row for row in answer.rows if row.part == self.part]
            self.observe(rows, answer, is_snapshot)
            if not answer.more:
                self.current_as_of_s = sent_s
            if self.pause_s:
                await asyncio.sleep(self.pause_s)

    async def _observe_refusal(self, refusal: base.Refusal) -> None:
        if refusal.reason is base.Reason.OUTDATED_GENERATION:
            LOG.warning("history_lost", table=self.table, after=self.version)
            self.version = -1
            return
        if self.reachable:
            LOG.warning("table_lost", table=self.table, reason=str(refusal))
            self.reachable = False
        await asyncio.sleep(RETRY_DELAY_S)

"""Reads single rows of the store; concurrent reads share its calls."""

import asyncio
import math

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform

# Maximum concurrent calls: a third of the connections to the store, so that the
# election, the configuration and the state of a new leader do not wait for
# reads of single rows.
MAX_CALLS = 8
# A page that is expected to contain fewer requested rows is not read.
MIN_PAGE_KEYS = 2
# Pages shrink by this factor when one cannot be read, so that the third attempt
# reads single rows, and double when one can.
SHRINK_FACTOR = 8
# Growth of the expected share with each decision to read single rows.
SHARE_GROWTH = 1.05
# Two calls fit into the deadline of a typical request, 3 s, so that one may hit
# a connection that has gone silent.
CALL_TIMEOUT_S = 1.0
LOG = observability.get_logger("rows")


class RowReader:
    """Reads rows of one part of a table by their keys.

    While fewer keys are requested than calls are free, each call reads one row.
    Otherwise, calls read pages of the part, each starting at a requested key,
    the first one at that of the oldest request, if a page is expected to
    contain several of them. A row is always read after it was requested.

    Args:
        store: The store.
        table: Name of the table.
        part: Part of the table.

    Attributes:
        page_rows_: Maximum rows of a page.
        page_share_: Expected share of the requested keys that a page contains.
    """

    def __init__(self, store: platform.StoreClient, table: str, part: str):
        self.store = store
        self.table = table
        self.part = part
        # Requests that no call under way includes.
        self.waiting: dict[str, list[asyncio.Future]] = {}
        self.calls: set[asyncio.Task] = set()
        self.start_scheduled = False
        self.page_rows_ = platform.PAGE_ROWS
        self.page_share_ = 1.0

    async def read(
        self, key: str, timeout_s: float
    ) -> platform.StoredRow | base.Refusal | None:
        """Reads a row.

        Args:
            key: Key of the row.
            timeout_s: Timeout in seconds.

        Returns:
            The row, `None` if it does not exist, or a refusal.
        """
        future = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(key, []).append(future)
        self._schedule_start()
        try:
            # `wait_for` of Python 3.11 may lose a cancel.
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return _refusal("read timed out")

    def _schedule_start(self) -> None:
        """Starts calls once all requests of this iteration are known."""
        if not self.start_scheduled and len(self.calls) < MAX_CALLS:
            self.start_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_calls)

    def _start_calls(self) -> None:
        self.start_scheduled = False
        for key, futures in list(self.waiting.items()):
            if all(future.done() for future in futures):
                del self.waiting[key]
        requested = len(self.waiting)
        for keys in self._group_keys(MAX_CALLS - len(self.calls)):
            requests = {key: self.waiting.pop(key) for key in keys}
            call = asyncio.ensure_future(self._call(requests, requested))
            self.calls.add(call)
            call.add_done_callback(self._observe_call_end)

    def _group_keys(self, free: int) -> list[list[str]]:
        """Returns the keys of each call that can start now."""
        keys = list(self.waiting)
        page_keys = len(keys) * self.page_share_
        if len(keys) <= free:
            return [[key] for key in keys]
        if page_keys < MIN_PAGE_KEYS:
            # Another page is tried some time later: the part may have shrunk.
            self.page_share_ = min(1.0, SHARE_GROWTH * self.page_share_)
            return [[key] for key in keys[:free]]
        oldest = keys[0]
        keys.sort()
        index = keys.index(oldest)
        size = math.ceil(page_keys)
        groups = [
            part[start : start + size]
            for part in (keys[index:], keys[:index])
            for start in range(0, len(part), size)
        ]
        return groups[:free]

    def _observe_call_end(self, call: asyncio.Task) -> None:
        self.calls.discard(call)
        if self.waiting:
            self._schedule_start()

    async def _call(
        self, requests: dict[str, list[asyncio.Future]], requested: int
    ) -> None:
        """Reads the row of a single request, or a page from the first one on.

        Args:
            requests: Keys in ascending order, with the futures of each.
            requested: Number of all keys that were requested at this time.
        """
        is_page = len(requests) > 1
        first = next(iter(requests))
        limit = self.page_rows_ if is_page else 1
        answer = await self._read_rows(first, limit)
        if isinstance(answer, base.Refusal):
            if is_page:
                # A page may take too long where fewer rows do not.
                self.page_rows_ = max(1, limit // SHRINK_FACTOR)
                self.page_share_ /= SHRINK_FACTOR
            for futures in requests.values():
                _set_results(futures, answer)
            return
        rows = {row.key: row for row in answer.rows}
        last = answer.rows[-1].key if answer.more else None
        covered = 0
        left = {}
        for key, futures in requests.items():
            if last is None or key <= last:
                covered += 1
                _set_results(futures, rows.get(key))
            else:
                left[key] = futures + self.waiting.pop(key, [])
        # These are older than those that have come meanwhile.
        self.waiting = left | self.waiting
        if is_page:
            self._observe_page(covered, len(requests), requested)

    async def _read_rows(
        self, start: str, limit: int
    ) -> platform.RowSet | base.Refusal:
        try:
            answer = await self.store.read(
                self.table,
                self.part,
                start,
                timeout_s=CALL_TIMEOUT_S,
                limit=limit,
            )
        except Exception as error:
            # Its requests would wait until their timeouts.
            LOG.exception("rows_not_read", table=self.table, error=repr(error))
            return _refusal(repr(error))
        if isinstance(answer, base.Refusal) or answer.rows or not answer.more:
            return answer
        return _refusal("a page without rows that is not the last")

    def _observe_page(self, covered: int, keys: int, requested: int) -> None:
        share = covered / requested
        if covered == keys:
            # The page may have contained more keys than the call had.
            share = max(share, min(1.0, 2 * self.page_share_))
        if self.page_rows_ < platform.PAGE_ROWS:
            self.page_rows_ = min(platform.PAGE_ROWS, 2 * self.page_rows_)
            share = min(1.0, 2 * share)
        self.page_share_ = share


def _set_results(futures: list[asyncio.Future], result) -> None:
    for future in futures:
        if not future.done():
            future.set_result(result)


def _refusal(detail: str) -> base.Refusal:
    return base.Refusal(base.Reason.UNKNOWN_RESULT, "row.read", "", detail)

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
# Maximum rows of a page after none, one or more pages could not be read: a page
# may take too long where fewer rows do not.
PAGE_ROWS = (platform.PAGE_ROWS, 16, 1)
# Time after the last failure until pages of the full size are read again.
RECOVERY_S = 5.0
# Weight of a page with a longer span than expected in the expected span.
SPAN_SMOOTHING = 0.2
# Two calls fit into the deadline of a typical request, 3 s, so that one may hit
# a connection that has gone silent.
CALL_TIMEOUT_S = 1.0
LOG = observability.get_logger("rows")


class RowReader:
    """Reads rows of one part of a table by their keys.

    While fewer keys are requested than calls are free, each call reads one row.
    Otherwise, a call reads a page of the part that starts at a requested key,
    if the page is expected to contain several of them. Keys are hexadecimal
    numbers, as identifiers of jobs are. A row is always read after it was
    requested.

    Args:
        store: The store.
        table: Name of the table.
        part: Part of the table.

    Attributes:
        page_span_: Expected share of all possible keys between the first and
            the last one of a page of the full size.
        failures_: Pages that could not be read since the last recovery.
    """

    def __init__(self, store: platform.StoreClient, table: str, part: str):
        self.store = store
        self.table = table
        self.part = part
        # Requests that no call under way includes.
        self.waiting: dict[str, list[asyncio.Future]] = {}
        self.calls: set[asyncio.Task] = set()
        self.start_scheduled = False
        self.page_span_ = 1.0
        self.failures_ = 0
        self.failed_s_ = -math.inf

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
            return _refusal("no answer in time")

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
        for keys in self._group_keys(MAX_CALLS - len(self.calls)):
            requests = {key: self.waiting.pop(key) for key in keys}
            call = asyncio.ensure_future(self._call(requests))
            self.calls.add(call)
            call.add_done_callback(self._observe_call_end)

    def _group_keys(self, free: int) -> list[list[str]]:
        """Returns the keys of each call that can start now."""
        rows = self._page_rows()
        if len(self.waiting) <= free or rows == 1:
            return [[key] for key in list(self.waiting)[:free]]
        span = self.page_span_ * rows / platform.PAGE_ROWS
        groups: list[list[str]] = []
        start = -math.inf
        for key in sorted(self.waiting):
            position = _position(key)
            if position - start > span:
                groups.append([])
                start = position
            groups[-1].append(key)
        # Those with the longest wait first.
        order = {key: number for number, key in enumerate(self.waiting)}
        groups.sort(key=lambda keys: min(order[key] for key in keys))
        return groups[:free]

    def _observe_call_end(self, call: asyncio.Task) -> None:
        self.calls.discard(call)
        if self.waiting:
            self._schedule_start()

    async def _call(self, requests: dict[str, list[asyncio.Future]]) -> None:
        """Reads the row of a single request, or a page from the first one on.

        Args:
            requests: Keys in ascending order, with the futures of each.
        """
        is_page = len(requests) > 1
        first = next(iter(requests))
        limit = self._page_rows() if is_page else 1
        answer = await self._read_rows(first, limit)
        if isinstance(answer, base.Refusal):
            if is_page:
                self._observe_failure(limit)
            for futures in requests.values():
                _set_results(futures, answer)
            return
        rows = {row.key: row for row in answer.rows}
        last = answer.rows[-1].key if answer.more else None
        for key, futures in requests.items():
            if last is None or key <= last:
                _set_results(futures, rows.get(key))
            else:
                self.waiting.setdefault(key, []).extend(futures)
        if is_page:
            self._observe_page(first, answer, limit)

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

    def _page_rows(self) -> int:
        """Returns the maximum rows of a page."""
        if platform.boot_time_s() - self.failed_s_ > RECOVERY_S:
            self.failures_ = 0
        return PAGE_ROWS[self.failures_]

    def _observe_failure(self, limit: int) -> None:
        """Observes a page that was not read; pages of its size were too large.

        Pages that were under way with it count as one.
        """
        self.failed_s_ = platform.boot_time_s()
        if limit == PAGE_ROWS[self.failures_]:
            self.failures_ = min(self.failures_ + 1, len(PAGE_ROWS) - 1)

    def _observe_page(
        self, first: str, page: platform.RowSet, limit: int
    ) -> None:
        if page.more:
            span = _position(page.rows[-1].key) - _position(first)
            span *= platform.PAGE_ROWS / limit
            growth = SPAN_SMOOTHING * (span - self.page_span_)
            # Keys beyond the end of a page cost another call.
            span = min(span, self.page_span_ + growth)
        else:
            span = max(self.page_span_, 1.0 - _position(first))
        if span > 0:
            self.page_span_ = span


def _position(key: str) -> float:
    """Returns where a key is among all possible ones, from 0 to 1."""
    try:
        return int(key, 16) / 16 ** len(key)
    except ValueError:
        # Another program may write any key.
        return 1.0


def _set_results(futures: list[asyncio.Future], result) -> None:
    for future in futures:
        if not future.done():
            future.set_result(result)


def _refusal(detail: str) -> base.Refusal:
    return base.Refusal(base.Reason.UNKNOWN_RESULT, "row.read", "", detail)

"""Client of the platform's store: rows, transactions and change feeds."""

import base64
from collections.abc import Iterable
import json
import time
from urllib import parse

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import transport
from baobabdoor.platform import _messages

# Timeout of a feed call in seconds, beyond the wait of its long poll.
FEED_GRACE_S = 0.7
READ_TIMEOUT_S = 1.0
TRANSACTION_TIMEOUT_S = 1.5
PAGE_ROWS = 500
LOG = observability.get_logger("platform.store")


@attrs.frozen
class StoredRow:
    """A row of the store.

    Attributes:
        table: Name of the table.
        part: Part of the table; a transaction changes rows of one part only.
        key: Key within the part.
        value: Content in bytes; empty for a removed row.
        version: Version of the last change; 0 for a missing row.
        removed: Whether the row was removed.
    """

    table: str
    part: str
    key: str
    value: bytes = b""
    version: int = 0
    removed: bool = False


@attrs.frozen
class RowSet:
    """Rows at one version of the store.

    Attributes:
        rows: The rows.
        version: Latest version of the store.
        store_ms: Monotonic clock of the store in milliseconds.
        more: Whether more rows follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: float
    more: bool = False


@attrs.frozen
class Commit:
    """An applied transaction."""

    version: int


@attrs.frozen
class Conflict:
    """A transaction that was not applied, with the current rows."""

    rows: tuple[StoredRow, ...]


class StoreClient:
    """Reads and writes rows of the platform's store.

    Args:
        client: HTTP client.
        address: The store as `ip:port`.
    """

    def __init__(self, client: transport.Client, address: str):
        self.client = client
        self.address = address
        self.clock_offset_ms_: float | None = None
        self.last_answer_s_ = -1e9
        self.calls_ = 0

    def now_ms(self) -> float:
        """Returns the store's monotonic clock, extrapolated locally."""
        return (self.clock_offset_ms_ or 0.0) + boot_time_s() * 1000

    async def transact(
        self,
        puts: Iterable[StoredRow] = (),
        removes: Iterable[StoredRow] = (),
        expected: Iterable[StoredRow] = (),
        timeout_s: float = TRANSACTION_TIMEOUT_S,
    ) -> Commit | Conflict | base.Refusal:
        """Applies changes to one part atomically.

        Args:
            puts: Rows to write.
            removes: Rows to remove.
            expected: Rows that must have the given version; 0 if absent.
            timeout_s: Timeout in seconds.

        Returns:
            A commit, a conflict, or a refusal: `PLATFORM_UNAVAILABLE` if
            nothing was done, `UNKNOWN_RESULT` if it may have been applied.
        """
        body = {
            "expected-rev": [
                _key(row) | {"ver": row.version} for row in expected
            ],
            "puts": [
                _key(row) | {"value": base64.b64encode(row.value).decode()}
                for row in puts
            ],
            "remove": [_key(row) for row in removes],
        }
        answer = await self._call(
            "POST", "/api/rows-tx", json.dumps(body).encode(), timeout_s
        )
        if isinstance(answer, base.Refusal):
            return answer
        status, content = answer
        try:
            if status == 200:
                return Commit(_messages.field(content, "ver", int))
            if status == 412:
                return Conflict(tuple(_rows(content)))
        except _messages.MessageError as error:
            return self._unreadable("store.transact", error)
        return _messages.refusal_for_status(
            "store.transact", self.address, status
        )

    async def read(
        self,
        table: str,
        part: str = "",
        start: str = "",
        timeout_s: float = READ_TIMEOUT_S,
        limit: int = PAGE_ROWS,
    ) -> RowSet | base.Refusal:
        """Reads up to `limit` rows of a part, starting at key `start`."""
        query = {"table": table, "part": part, "limit": limit}
        if start:
            query["from"] = start
        return await self._rows("rows-get", query, timeout_s, "store.read")

    async def read_all(
        self, table: str, part: str = "", timeout_s: float = READ_TIMEOUT_S
    ) -> RowSet | base.Refusal:
        """Reads all rows of a part, page by page.

        The version is that of the first page, so a feed from this version
        repeats changes made between the reads of the pages.
        """
        rows: list[StoredRow] = []
        first = None
        start = ""
        while True:
            page = await self.read(table, part, start, timeout_s)
            if isinstance(page, base.Refusal):
                return page
            first = first or page
            rows += page.rows
            if not page.more or not page.rows:
                return attrs.evolve(first, rows=tuple(rows), more=False)
            start = page.rows[-1].key + "\0"

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> RowSet | base.Refusal:
        """Waits for changes to a table after a version.

        Returns:
            Changed rows, none if the wait timed out; a refusal with
            `OUTDATED_GENERATION` if the history is no longer available.
        """
        query = {"table": table, "after": after, "wait-ms": int(wait_s * 1000)}
        return await self._rows(
            "rows-feed", query, wait_s + FEED_GRACE_S, "store.feed"
        )

    async def _rows(
        self, call: str, query: dict, timeout_s: float, step: str
    ) -> RowSet | base.Refusal:
        target = f"/api/{call}?{parse.urlencode(query)}"
        answer = await self._call("GET", target, b"", timeout_s)
        if isinstance(answer, base.Refusal):
            return answer
        status, content = answer
        if status == 410:
            return base.Refusal(
                base.Reason.OUTDATED_GENERATION, step, self.address
            )
        if status != 200:
            return _messages.refusal_for_status(step, self.address, status)
        try:
            return RowSet(
                tuple(_rows(content)),
                _messages.field(content, "ver", int),
                _messages.field(content, "now-ms", float),
                bool(content.get("has-more")),
            )
        except _messages.MessageError as error:
            return self._unreadable(step, error)

    def _unreadable(self, step: str, error: Exception) -> base.Refusal:
        LOG.warning("store_answer_unreadable", step=step, error=str(error))
        return base.Refusal(
            base.Reason.UNKNOWN_RESULT, step, self.address, str(error)
        )

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, dict] | base.Refusal:
        self.calls_ += 1
        sent_s = boot_time_s()
        headers = "Content-Type: application/json\r\n" if body else ""
        answer = await self.client.fetch(
            self.address, method, target, body, headers, timeout_s
        )
        if isinstance(answer, base.Refusal):
            return answer
        self.last_answer_s_ = boot_time_s()
        try:
            content = _messages.decode_object(answer.body or b"{}")
        except _messages.MessageError as error:
            return self._unreadable("store.decode", error)
        self._observe_clock(content.get("now-ms"), sent_s)
        return answer.status, content

    def _observe_clock(self, store_ms: object, sent_s: float) -> None:
        if not _messages.has_type(store_ms, float):
            return
        # Each sample is too low by the delay of the answer, so the largest
        # offset seen is the most accurate.
        offset = store_ms - self.last_answer_s_ * 1000
        if self.clock_offset_ms_ is None or offset > self.clock_offset_ms_:
            self.clock_offset_ms_ = offset


def boot_time_s() -> float:
    """Returns the monotonic clock that includes suspend time, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _key(row: StoredRow) -> dict:
    return {"table": row.table, "part": row.part, "key": row.key}


def _rows(content: dict) -> Iterable[StoredRow]:
    for row in _messages.field(content, "rows", list, []):
        table = _messages.field(row, "table", str)
        key = _messages.field(row, "key", str)
        try:
            value = base64.b64decode(row.get("value") or "")
        except (TypeError, ValueError) as error:
            LOG.warning(
                "row_unreadable", table=table, key=key, error=str(error)
            )
            value = b""
        yield StoredRow(
            table,
            _messages.field(row, "part", str, ""),
            key,
            value,
            # A row that does not exist is listed with version 0.
            _messages.field(row, "ver", int, 0),
            bool(row.get("deleted")),
        )

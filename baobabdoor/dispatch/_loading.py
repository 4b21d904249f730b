"""Reads the state of earlier terms and loads their jobs."""

import asyncio
import itertools

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _table_follower

# Rows that are loaded between two iterations of the event loop. 200 rows take
# some 5 ms; 20,000 rows at once delay callers and a stop signal by 0.5 s.
BATCH_ROWS = 200
# Starts of the ranges of keys of a large table that are read at the same time.
# Jobs have random identifiers of hexadecimal digits, so that the ranges are of
# similar size. More calls would leave fewer connections to other reads.
RANGE_STARTS = ("4", "8", "c")
LOG = observability.get_logger("controller")


async def read_rows(
    store: platform.StoreClient, table: str
) -> tuple[platform.StoredRow, ...]:
    """Reads all rows of a table of the leader, in pages.

    No other process changes them meanwhile: each transaction depends on the row
    of the leader. So a page that fails is read again without the others.

    Args:
        store: The store.
        table: Name of the table.

    Returns:
        The rows in ascending order of keys.
    """
    first = await _read_page(store, table, "")
    if not first.more or not first.rows:
        return first.rows
    following = first.rows[-1].key + "\0"
    starts = [following, *(key for key in RANGE_STARTS if key > following)]
    ranges = await asyncio.gather(
        *(
            _read_range(store, table, start, end)
            for start, end in itertools.zip_longest(starts, starts[1:])
        )
    )
    return first.rows + tuple(itertools.chain.from_iterable(ranges))


async def _read_range(
    store: platform.StoreClient, table: str, start: str, end: str | None
) -> list[platform.StoredRow]:
    """Reads the rows of a range of keys, page by page.

    Args:
        store: The store.
        table: Name of the table.
        start: First key.
        end: Key after the last one; `None` for all further keys.
    """
    rows: list[platform.StoredRow] = []
    while True:
        page = await _read_page(store, table, start)
        rows += (row for row in page.rows if end is None or row.key < end)
        if not page.more or not page.rows:
            return rows
        start = page.rows[-1].key + "\0"
        if end is not None and start >= end:
            return rows


async def _read_page(
    store: platform.StoreClient, table: str, start: str
) -> platform.RowSet:
    """Reads a page, again until the store answers."""
    while True:
        answer = await store.read(table, _election.PART, start)
        if not isinstance(answer, base.Refusal):
            return answer
        LOG.warning(
            "takeover_waits", table=table, start=start, reason=str(answer)
        )
        await asyncio.sleep(_table_follower.RETRY_DELAY_S)


async def load_jobs(controller, rows: tuple[platform.StoredRow, ...]) -> None:
    """Loads rows of jobs; one that is unreadable costs only its job.

    Args:
        controller: Controller of the term.
        rows: Rows of all jobs.
    """
    for number, row in enumerate(rows):
        if number % BATCH_ROWS == 0:
            await asyncio.sleep(0)
        try:
            controller.scheduler.load_job(row.key, row.value, row.version)
        except Exception as error:
            controller.unreadable_jobs.add(row.key)
            controller.faults.observe_row("job_row_ignored", row, error, "job")
    controller.scheduler.finish_loading()

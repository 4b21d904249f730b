"""Loads the jobs of earlier terms."""

import asyncio

from baobabdoor import platform

# Rows that are loaded between two iterations of the event loop. 200 rows take
# some 5 ms; 20,000 rows at once delay callers and a stop signal by 0.5 s.
BATCH_ROWS = 200


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

"""Releases leadership at a planned stop."""

import asyncio
import math

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor.dispatch import _election

# Pause before a release that the store did not answer or refused is repeated.
RETRY_DELAY_S = 0.1
# Share of the time limit of a release for storing pending changes. The rest is
# for the release itself, which a slow store may take as long to answer.
SAVE_SHARE = 0.5
LOG = observability.get_logger("commits")


class ReleaseWriter:
    """Writes the leader's row that shows the end of its term.

    Args:
        committer: Committer of the term.
    """

    def __init__(self, committer):
        self.committer = committer
        # Newest change of a job that is to be stored before the release.
        self.last_revision = math.inf
        # Whether changes are still to be written.
        self.saving = True

    def request(self) -> None:
        """Requests the release of the term after the changes made so far.

        Later changes are left to the next leader, which learns of ended runs
        from the workers: their ends are not acknowledged before the changes
        are stored. A busy fleet changes jobs during each transaction, so a
        release that waited for all changes would never come.
        """
        self.committer.releasing = True
        self.last_revision = self.committer.scheduler.revision
        self.committer.write_requested.set()

    def stop_saving(self) -> None:
        """Leaves all unsaved changes to the next leader.

        Submissions that no write contained are withdrawn. A transaction without
        an answer is applied before the release or never, since it requires the
        leader's row to be unchanged.
        """
        committer = self.committer
        self.saving = False
        if committer.scheduler.withdraw_unwritten_jobs():
            committer.notify_committed()

    def due(self) -> bool:
        """Returns whether a release was requested and may be written.

        The results of all transactions are known then.
        """
        committer = self.committer
        unsaved = any(
            job.first_unsaved_revision <= self.last_revision
            for job in committer.scheduler.dirty.values()
        )
        return (
            committer.releasing
            and not unsaved
            and not committer.sequence.unresolved
        )

    async def write(self) -> bool:
        """Releases the term; returns whether it has ended.

        A release without an answer may be applied seconds later, so it counts
        until the end of the term. Its repetition shows whether it was applied:
        the leader's row has changed then.
        """
        committer = self.committer
        released = attrs.evolve(committer.leader, released=True)
        row = platform.StoredRow(
            _election.TABLE,
            _election.PART,
            _election.LEADER_KEY,
            released.encode(),
        )
        earlier_possible = committer.release_possible
        committer.release_possible = True
        answer = await committer.store.transact(
            [row], (), [committer.leader_row()], timeout_s=committer.timeout_s
        )
        if isinstance(answer, base.Refusal):
            unknown = answer.reason is base.Reason.UNKNOWN_RESULT
            committer.release_possible = earlier_possible or unknown
            LOG.warning(
                "release_unanswered" if unknown else "release_refused",
                token=committer.leader.token,
                reason=str(answer),
            )
            return False
        LOG.info("tenure_released", token=committer.leader.token)
        committer.released.set()
        committer.on_lost("released")
        return True


class TermRelease:
    """Ends a term by plan, so that another leader can follow at once.

    Args:
        controller: Controller of the term.
    """

    def __init__(self, controller):
        self.controller = controller
        # Keeps a reference to the task until the process ends.
        self.writing: asyncio.Task | None = None

    async def run(self, timeout_s: float) -> None:
        """Releases the term; see `Controller.release`."""
        controller = self.controller
        committer = controller.committer
        loaded = controller.loaded.is_set()
        committer.release_writer.request()
        if not loaded:
            # Nothing was written or sent, so nothing has to be saved.
            controller.end("stopped before its state was loaded")
            self.writing = asyncio.ensure_future(self._write())
            await asyncio.wait({self.writing}, timeout=timeout_s)
            return
        if await _wait(committer.released, timeout_s * SAVE_SHARE):
            controller.end("released")
            return
        committer.release_writer.stop_saving()
        self.writing = asyncio.ensure_future(self._write())
        if not await _wait(committer.released, timeout_s * (1 - SAVE_SHARE)):
            LOG.warning("release_late", token=controller.leader.token)
        # The release is repeated until the process ends, so that the next
        # leader does not wait for the election timeout after a short outage.
        controller.end("stopped")

    async def _write(self) -> None:
        """Repeats the release until the store has answered it."""
        while not await self.controller.committer.release_writer.write():
            await asyncio.sleep(RETRY_DELAY_S)


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits for an event; returns whether it is set."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return event.is_set()
    return True

"""Heartbeats of a leader that loads the state of earlier terms."""

import asyncio

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election

# Timeout of a heartbeat: one without an answer and the next one both fit into
# the election timeout.
TIMEOUT_S = 0.8
LOG = observability.get_logger("controller")


async def write_heartbeats(committer: _commits.Committer) -> None:
    """Writes heartbeats until it is cancelled or the term ends.

    The committer itself writes only once all state is loaded. Without these
    heartbeats, another daemon would be elected meanwhile.

    Args:
        committer: Committer of the term, which does not run yet.
    """
    row = platform.StoredRow(
        _election.TABLE, _election.PART, _election.HEARTBEAT_KEY, b"{}"
    )
    due_s = platform.boot_time_s() + _election.HEARTBEAT_INTERVAL_S
    while True:
        await asyncio.sleep(max(0.0, due_s - platform.boot_time_s()))
        if committer.release_possible:
            # After a release, no write may extend the term.
            return
        sent_s = platform.boot_time_s()
        due_s = sent_s + _election.HEARTBEAT_INTERVAL_S
        answer = await committer.store.transact(
            [row], (), [committer.leader_row()], TIMEOUT_S
        )
        if isinstance(answer, platform.Commit):
            committer.confirmed_s = max(committer.confirmed_s, sent_s)
        elif isinstance(answer, platform.Conflict):
            committer.on_lost("another leader was elected")
            return
        else:
            LOG.info("heartbeat_not_written", reason=str(answer))

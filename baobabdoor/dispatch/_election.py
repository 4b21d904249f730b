"""Leader election through the platform's store.

At most one daemon is the leader. The version of the leader's row is the fencing
token of its term. The leader rewrites a heartbeat row on the condition that its
own row is unchanged. A follower that sees an unchanged heartbeat for too long
takes over on the condition that both rows still have the versions it read. The
stored row, its table and the log events call the leader `holder` and the term
`tenure`.
"""

import asyncio
import json
import math
import random
import zlib

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _table_follower

TABLE = "tenure"
PART = "fleet"
LEADER_KEY = "holder"
HEARTBEAT_KEY = "heartbeat"
HEARTBEAT_INTERVAL_S = 0.5
# A follower campaigns once the heartbeat has been unchanged for this time on
# the store's clock. It is longer than two heartbeats that are both delayed by a
# slow store.
ELECTION_TIMEOUT_MS = 1800
# The same after an outage of the store, during which the leader retries its
# write several times a second.
OUTAGE_ELECTION_TIMEOUT_MS = 1100
# A gap of this length between answers of the store, beyond the wait of a long
# poll, counts as an outage: the shorter timeout then starts anew.
FEED_GAP_MS = 1300
# Time after its last confirmed heartbeat within which a leader may start runs.
# It is shorter than the election timeout: a restarted worker has forgotten the
# fencing token, so a deposed leader could start runs there again.
START_WINDOW_S = 1.6
# The same for extending leases, so that runs survive an outage of the store of
# a few seconds.
EXTEND_WINDOW_S = 3.0
# Allowance for clock errors in the bound on runs inherited from earlier terms.
INHERITED_CLOCK_SLACK_S = 0.2
FEED_WAIT_S = 0.4
FEED_PAUSE_S = 0.2
# Maximum random delay of a candidate, in seconds.
CAMPAIGN_JITTER_S = 0.08
# Minimum number of cores to schedule a large fleet. Candidates with fewer cores
# wait for this delay, so that larger machines win the election.
LARGE_MACHINE_CORES = 1.0
SMALL_MACHINE_DELAY_S = 0.3
LOG = observability.get_logger("tenure")


def inherited_bound_s(max_lease_s: float) -> float:
    """Returns how long runs of an earlier term may outlive its end.

    The last heartbeat of a leader is at least START_WINDOW_S old when another
    leader replaces it. A lease that it extended may be the longest one, if its
    order reached the worker's next incarnation, which has another clock.

    Args:
        max_lease_s: Longest lease that a worker accepts.
    """
    extended_s = EXTEND_WINDOW_S - START_WINDOW_S
    return (
        extended_s
        + max_lease_s * scheduling.CLOCK_DRIFT_FACTOR
        + INHERITED_CLOCK_SLACK_S
    )


@attrs.frozen
class Leader:
    """Record of the leader of a term.

    Attributes:
        node: Name of the machine.
        incarnation: Identifier of its process, new at each start.
        address: Its address for other daemons.
        number: Number of the term, starting at 0.
        released: Whether the leader has stepped down.
        token: Fencing token, which is the version of the row.
    """

    node: str
    incarnation: str
    address: str
    number: int
    released: bool
    token: int

    def encode(self) -> bytes:
        """Returns the content of the row."""
        content = attrs.asdict(self)
        del content["token"]
        return json.dumps(content).encode()


_FIELD_TYPES = {
    "node": str,
    "incarnation": str,
    "address": str,
    "number": int,
    "released": bool,
}


def _decode(row: platform.StoredRow) -> Leader | None:
    """Returns the leader in a row; `None` if there is none or it is unreadable.

    Fields that another version of the software added are ignored.
    """
    if row.removed or not row.value:
        return None
    try:
        content = json.loads(row.value)
        known = {
            name: content[name]
            for name in attrs.fields_dict(Leader)
            if name != "token"
        }
        for name, kind in _FIELD_TYPES.items():
            if type(known[name]) is not kind:
                raise TypeError(f"{name}: found {known[name]!r:.80}")
        return Leader(**known, token=row.version)
    except (KeyError, RecursionError, TypeError, ValueError) as error:
        LOG.error("holder_unreadable", version=row.version, error=repr(error))
        return None


class LeaderElection:
    """Follows the leader's rows and campaigns when there is no leader.

    Args:
        store: The store.
        node: Name of this machine.
        incarnation: Identifier of this process, new at each start.
        address: This daemon's address for other daemons.
        eligible: Returns whether this daemon may become leader now.
        on_elected: Called with the leader record and the time of the request
            after this daemon won an election.
        cores: Processor cores of this machine.
    """

    def __init__(
        self,
        store,
        node,
        incarnation,
        address,
        eligible,
        on_elected,
        cores=LARGE_MACHINE_CORES,
    ):
        self.store = store
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.eligible = eligible
        self.on_elected = on_elected
        self.campaign_delay_s = (
            SMALL_MACHINE_DELAY_S if cores < LARGE_MACHINE_CORES else 0.0
        )
        self.leader: Leader | None = None
        self.leader_version = 0
        self.heartbeat_version = 0
        self.unchanged_since_ms: float | None = None
        self.last_answer_ms = -1e9
        self.started_s = platform.boot_time_s()
        # End of the store's last known outage, on the store's clock.
        self.outage_ended_ms = -math.inf
        self.campaigning = False
        # Token of the last term that was started.
        self.started_token = 0
        # Keeps a reference to the task that campaigns or releases a term.
        self.writing: asyncio.Task | None = None
        self.follower = _table_follower.TableFollower(
            store, TABLE, PART, self._observe, FEED_WAIT_S, FEED_PAUSE_S
        )

    async def run(self) -> None:
        """Follows the leader's rows until it is cancelled."""
        await self.follower.run()

    @property
    def current(self) -> Leader | None:
        """The leader, unless there is none or it has stepped down."""
        if self.leader is None or self.leader.released:
            return None
        return self.leader

    def is_self(self, leader: Leader | None) -> bool:
        """Returns whether a leader record belongs to this process."""
        return leader is not None and leader.incarnation == self.incarnation

    def _observe(
        self, rows, answer: platform.RowSet, is_snapshot: bool
    ) -> None:
        del is_snapshot
        versions = self._versions()
        for row in rows:
            self._observe_row(row)
        gap_ms = FEED_GAP_MS + FEED_WAIT_S * 1000
        gap = answer.store_ms - self.last_answer_ms > gap_ms
        waited_ms = (platform.boot_time_s() - self.started_s) * 1000
        # A first answer that came soon does not follow an outage.
        if gap and waited_ms > gap_ms:
            self.outage_ended_ms = answer.store_ms
        self.last_answer_ms = answer.store_ms
        changed = self._versions() != versions
        if changed or self.unchanged_since_ms is None:
            self.unchanged_since_ms = answer.store_ms
        elif gap:
            # The leader could not write either, so a shorter timeout applies.
            since_ms = (
                answer.store_ms
                - ELECTION_TIMEOUT_MS
                + OUTAGE_ELECTION_TIMEOUT_MS
            )
            self.unchanged_since_ms = max(self.unchanged_since_ms, since_ms)
        self._campaign_if_due(answer.store_ms)

    def _observe_row(self, row: platform.StoredRow) -> None:
        if row.key == HEARTBEAT_KEY:
            self.heartbeat_version = max(self.heartbeat_version, row.version)
        elif row.key == LEADER_KEY and row.version > self.leader_version:
            self.leader_version = row.version
            self.leader = _decode(row)
            LOG.info(
                "holder_seen",
                node=self.leader.node if self.leader else "",
                token=row.version,
                released=bool(self.leader and self.leader.released),
            )

    def _campaign_if_due(self, store_ms: float) -> None:
        if self.campaigning:
            return
        if not self.eligible():
            if self._is_unstarted(self.current):
                self.campaigning = True
                self.writing = asyncio.ensure_future(
                    self._release_unstarted(self.current)
                )
            return
        vacant = self.current is None or self._is_own_record(self.current)
        age_ms = store_ms - self.unchanged_since_ms
        if vacant or age_ms > ELECTION_TIMEOUT_MS:
            self.campaigning = True
            self.writing = asyncio.ensure_future(self._campaign(age_ms))

    def _is_own_record(self, leader: Leader) -> bool:
        """Returns whether a record belongs to this machine or process.

        Either an earlier process on this machine was the leader, or this
        process won a term without receiving the answer. In both cases no other
        leader is running, and a new term is started under a higher token.
        """
        same_machine = (leader.node, leader.address) == (
            self.node,
            self.address,
        )
        return same_machine or self.is_self(leader)

    def _versions(self) -> tuple[int, int]:
        """Returns the versions read; heartbeats and elections change them."""
        return self.leader_version, self.heartbeat_version

    async def _campaign(self, age_ms: float) -> None:
        try:
            versions = self._versions()
            rank = zlib.crc32(self.node.encode()) % 7 / 7
            await asyncio.sleep(
                self.campaign_delay_s
                + CAMPAIGN_JITTER_S * (rank + random.random()) / 2
            )
            # The process may have been told to stop during the pause.
            if self._versions() == versions and self.eligible():
                await self._acquire(age_ms)
        finally:
            self.campaigning = False

    async def _acquire(self, age_ms: float) -> None:
        # Numbers must grow. Every term has written a version of its own, so
        # the version of an unreadable record exceeds all earlier numbers.
        number = self.leader.number + 1 if self.leader else self.leader_version
        candidate = Leader(
            self.node, self.incarnation, self.address, number, False, 0
        )
        expected = [
            platform.StoredRow(
                TABLE, PART, LEADER_KEY, version=self.leader_version
            ),
            platform.StoredRow(
                TABLE, PART, HEARTBEAT_KEY, version=self.heartbeat_version
            ),
        ]
        puts = [
            platform.StoredRow(TABLE, PART, LEADER_KEY, candidate.encode()),
            platform.StoredRow(TABLE, PART, HEARTBEAT_KEY, b"{}"),
        ]
        sent_s = platform.boot_time_s()
        answer = await self.store.transact(puts, (), expected)
        if isinstance(answer, platform.Commit):
            leader = attrs.evolve(candidate, token=answer.version)
            self.leader = leader
            self.leader_version = answer.version
            self.heartbeat_version = answer.version
            LOG.info(
                "tenure_won",
                token=leader.token,
                number=number,
                heartbeat_age_ms=round(age_ms),
            )
            if self.eligible():
                self.started_token = leader.token
                self.on_elected(leader, sent_s)
            else:
                await self._release(leader)
        elif isinstance(answer, platform.Conflict):
            for row in answer.rows:
                self._observe_row(row)
            self.unchanged_since_ms = None
            LOG.info("tenure_lost_race", number=number)
        else:
            LOG.warning("tenure_not_taken", reason=str(answer))
            # The next full read shows whether the write was applied.
            self.follower.version = -1
            if answer.reason is base.Reason.UNKNOWN_RESULT:
                await asyncio.sleep(_table_follower.RETRY_DELAY_S)

    def _is_unstarted(self, leader: Leader | None) -> bool:
        """Returns whether this process won a term and did not start it."""
        return self.is_self(leader) and leader.token != self.started_token

    async def _release_unstarted(self, leader: Leader) -> None:
        try:
            await self._release(leader)
        finally:
            self.campaigning = False

    async def _release(self, leader: Leader) -> None:
        """Releases a term that this process won while it was stopping.

        Followers would wait for the election timeout otherwise. Without an
        answer, the next look at the leader's row repeats it.
        """
        released = attrs.evolve(leader, released=True)
        answer = await self.store.transact(
            [platform.StoredRow(TABLE, PART, LEADER_KEY, released.encode())],
            (),
            [platform.StoredRow(TABLE, PART, LEADER_KEY, version=leader.token)],
        )
        LOG.info(
            "tenure_not_started",
            token=leader.token,
            released=isinstance(answer, platform.Commit),
        )

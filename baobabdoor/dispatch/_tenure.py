"""Who decides: one holder at a time, recorded in the platform's store.

The version of the holder's row is the fencing token of its tenure. The holder
rewrites a heartbeat row under the condition that its own row is unchanged. A
follower that reads an unchanged heartbeat for too long takes over under the
condition that both rows are still the ones it read.
"""

import asyncio
import json
import random
import zlib

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _following

TABLE = "tenure"
PART = "fleet"
HOLDER_KEY = "holder"
HEARTBEAT_KEY = "heartbeat"
# Time between heartbeats.
HEARTBEAT_S = 0.5
# An unchanged heartbeat of this age, on the store's clock, ends a tenure:
# above two heartbeats that each take as long as a slow store needs.
LAPSE_MS = 1800
# The same after the store was away, in which case the holder tries to write
# several times a second.
RETURN_LAPSE_MS = 1100
# A follower that heard nothing from the store for so long starts anew to
# count the age of the heartbeat.
GAP_MS = 1300
# Time since the last confirmed heartbeat for which a holder may start runs:
# shorter than a lapse, since a worker that restarts knows no fence, and a
# holder that was replaced could start runs there again.
START_LIMIT_S = 1.6
# The same for extending leases, so that runs outlive an outage of the store
# of some seconds.
EXTEND_LIMIT_S = 3.0
# Clock slack of the bound on runs that an earlier tenure may have kept alive.
INHERITED_SLACK_S = 0.2
FEED_WAIT_S = 0.4
FEED_PAUSE_S = 0.2
# Largest random delay of a candidate, in seconds.
CANDIDATE_SPREAD_S = 0.08
# Cores from which a machine can decide for a large fleet; a smaller one gives
# the others this time to take the tenure first.
LARGE_CORES = 1.0
SMALL_MACHINE_DELAY_S = 0.3
LOG = observability.get_logger("tenure")


def inherited_bound_s(lease_s: float) -> float:
    """Returns how long runs of an earlier tenure may outlive its end.

    Its heartbeat is at least START_LIMIT_S old when it is replaced.
    """
    extended_s = EXTEND_LIMIT_S - START_LIMIT_S
    return (
        extended_s + lease_s * scheduling.CLOCK_DRIFT_FACTOR + INHERITED_SLACK_S
    )


@attrs.frozen
class Holder:
    """Who decides.

    Attributes:
        node: Name of the machine.
        incarnation: Identifies the start of its process.
        address: Its address for other daemons.
        number: Number of the tenure, from 0.
        released: Whether the tenure was given up.
        token: Fencing token: the version of the row.
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


def _decode(row: platform.StoredRow) -> Holder | None:
    if row.removed or not row.value:
        return None
    return Holder(**json.loads(row.value), token=row.version)


class Tenures:
    """Follows the tenure and campaigns when there is none.

    Args:
        store: The store.
        node: Name of this machine.
        incarnation: Identifies the start of this process.
        address: This daemon's address for other daemons.
        eligible: Returns whether this daemon may take over now.
        won: Called with the holder's record after this daemon took over.
        cores: Processor cores of this machine.
    """

    def __init__(
        self,
        store,
        node,
        incarnation,
        address,
        eligible,
        won,
        cores=LARGE_CORES,
    ):
        self.store = store
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.eligible = eligible
        self.won = won
        self.delay_s = SMALL_MACHINE_DELAY_S if cores < LARGE_CORES else 0.0
        self.holder: Holder | None = None
        self.holder_version = 0
        self.heartbeat_version = 0
        self.unchanged_since_ms: float | None = None
        self.answered_ms = -1e9
        self.campaigning = False
        self.follower = _following.TableFollower(
            store, TABLE, PART, self._observe, FEED_WAIT_S, FEED_PAUSE_S
        )

    async def run(self) -> None:
        """Follows the tenure until it is cancelled."""
        await self.follower.run()

    @property
    def current(self) -> Holder | None:
        """The holder, if there is one that has not given up."""
        if self.holder is None or self.holder.released:
            return None
        return self.holder

    def is_self(self, holder: Holder | None) -> bool:
        """Returns whether a record names this process."""
        return holder is not None and holder.incarnation == self.incarnation

    def _observe(self, rows, answer: platform.RowSet, whole: bool) -> None:
        del whole
        seen = self._seen()
        for row in rows:
            self._observe_row(row)
        gap = answer.store_ms - self.answered_ms > GAP_MS + FEED_WAIT_S * 1000
        self.answered_ms = answer.store_ms
        changed = self._seen() != seen
        if changed or self.unchanged_since_ms is None:
            self.unchanged_since_ms = answer.store_ms
        elif gap:
            # The holder could not write either; it gets a shorter time.
            since_ms = answer.store_ms - LAPSE_MS + RETURN_LAPSE_MS
            self.unchanged_since_ms = max(self.unchanged_since_ms, since_ms)
        self._consider(answer.store_ms)

    def _observe_row(self, row: platform.StoredRow) -> None:
        if row.key == HEARTBEAT_KEY:
            self.heartbeat_version = max(self.heartbeat_version, row.version)
        elif row.key == HOLDER_KEY and row.version > self.holder_version:
            self.holder_version = row.version
            self.holder = _decode(row)
            LOG.info(
                "holder_seen",
                node=self.holder.node if self.holder else "",
                token=row.version,
                released=bool(self.holder and self.holder.released),
            )

    def _consider(self, store_ms: float) -> None:
        if self.campaigning or not self.eligible():
            return
        vacant = self.current is None or self._is_own_past(self.current)
        age_ms = store_ms - self.unchanged_since_ms
        if vacant or age_ms > LAPSE_MS:
            self.campaigning = True
            asyncio.ensure_future(self._campaign(age_ms))

    def _is_own_past(self, holder: Holder) -> bool:
        """Returns whether a record can have no living holder but this one.

        It names an earlier process on this machine, or a tenure that this
        process did not learn to have won, which is taken anew under a higher
        token.
        """
        same_machine = (holder.node, holder.address) == (
            self.node,
            self.address,
        )
        return same_machine or self.is_self(holder)

    def _seen(self) -> tuple[int, int]:
        """Returns the versions read; a beat or a takeover changes them."""
        return self.holder_version, self.heartbeat_version

    async def _campaign(self, age_ms: float) -> None:
        try:
            seen = self._seen()
            order = zlib.crc32(self.node.encode()) % 7 / 7
            await asyncio.sleep(
                self.delay_s
                + CANDIDATE_SPREAD_S * (order + random.random()) / 2
            )
            if self._seen() == seen:
                await self._take(age_ms)
        finally:
            self.campaigning = False

    async def _take(self, age_ms: float) -> None:
        number = self.holder.number + 1 if self.holder else 0
        mine = Holder(
            self.node, self.incarnation, self.address, number, False, 0
        )
        expected = [
            platform.StoredRow(
                TABLE, PART, HOLDER_KEY, version=self.holder_version
            ),
            platform.StoredRow(
                TABLE, PART, HEARTBEAT_KEY, version=self.heartbeat_version
            ),
        ]
        puts = [
            platform.StoredRow(TABLE, PART, HOLDER_KEY, mine.encode()),
            platform.StoredRow(TABLE, PART, HEARTBEAT_KEY, b"{}"),
        ]
        sent_s = platform.boot_time_s()
        answer = await self.store.transact(puts, (), expected)
        if isinstance(answer, platform.Commit):
            holder = attrs.evolve(mine, token=answer.version)
            self.holder = holder
            self.holder_version = answer.version
            self.heartbeat_version = answer.version
            LOG.info(
                "tenure_won",
                token=holder.token,
                number=number,
                heartbeat_age_ms=round(age_ms),
            )
            self.won(holder, sent_s)
        elif isinstance(answer, platform.Conflict):
            for row in answer.rows:
                self._observe_row(row)
            self.unchanged_since_ms = None
            LOG.info("tenure_lost_race", number=number)
        else:
            LOG.warning("tenure_not_taken", reason=str(answer))
            # A write that may be applied is found by the next read.
            self.follower.version = -1
            if answer.reason is base.Reason.UNKNOWN_RESULT:
                await asyncio.sleep(_following.RETRY_S)

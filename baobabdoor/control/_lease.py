"""Leader election: the control lease of a region."""

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import ownership

RENEW_PERIOD_S = 2.0
# Seconds since the last renewal after which the holder stops acting, well
# before another entry takes over.
RENEW_DEADLINE_S = 6.0
# Seconds without a renewal after which another entry takes over.
TAKEOVER_TIMEOUT_S = 10.0
# A longer gap between successful reads points to a platform outage rather than
# a holder that has stopped renewing, so the takeover timeout starts again.
MAX_READ_GAP_S = 4.0


@attrs.frozen
class LeaseHolder:
    """Holder of the control lease.

    Attributes:
        entry_id: Identifier of the entry; empty if nobody holds the lease.
        incarnation: Incarnation of the entry's process.
        epoch: Version of the control row.
    """

    entry_id: str = ""
    incarnation: int = 0
    epoch: int = 0


class ControlLease:
    """Acquires and renews the control lease for one entry.

    Args:
        platform: Client of the platform.
        timers: Timer service.
        region: Region of the lease.
        entry_id: Identifier of this entry.
    """

    def __init__(
        self,
        platform: platform_lib.Platform,
        timers: base.TimerService,
        region: str,
        entry_id: str,
    ):
        self.platform = platform
        self.timers = timers
        self.region = region
        self.entry_id = entry_id
        self.holder_ = LeaseHolder()
        self.epoch_ = 0
        self.last_renewed_s_: float | None = None
        self.seen_versions_: tuple[int, int] | None = None
        self.unchanged_since_s_ = 0.0
        self.last_read_s_: float | None = None

    def is_acting(self, now_s: float) -> bool:
        """Returns whether this entry may act as the controller."""
        if not self.epoch_ or self.last_renewed_s_ is None:
            return False
        return now_s - self.last_renewed_s_ < RENEW_DEADLINE_S

    def suspend(self) -> None:
        """Stops acting until the lease has been renewed again."""
        self.last_renewed_s_ = None
        self.seen_versions_ = None

    async def tick(self, incarnation: int) -> None:
        """Renews the lease, or takes it over if its holder stopped renewing.

        Args:
            incarnation: Registered incarnation of this process.
        """
        control_key = ownership.control_key(self.region)
        heartbeat_key = ownership.control_heartbeat_key(self.region)
        rows = await self.platform.read([control_key, heartbeat_key])
        if isinstance(rows, base.Refusal):
            return
        control, heartbeat = rows[control_key], rows[heartbeat_key]
        self.observe(control, heartbeat, incarnation)
        now_s = self.timers.now_s()
        if self.epoch_:
            await self._renew(control, heartbeat, now_s)
        elif self._may_take_over(control, now_s):
            await self._acquire(control, heartbeat, incarnation, now_s)

    def observe(
        self,
        control: platform_lib.Row,
        heartbeat: platform_lib.Row,
        incarnation: int,
    ) -> None:
        """Processes the rows of the lease as they were read."""
        value = control.value or {}
        self.holder_ = LeaseHolder(
            str(value.get("holder", "")),
            int(value.get("incarnation", 0)),
            control.version,
        )
        is_own = (self.holder_.entry_id, self.holder_.incarnation) == (
            self.entry_id,
            incarnation,
        )
        epoch = control.version if is_own else 0
        if epoch != self.epoch_:
            self.epoch_ = epoch
            self.last_renewed_s_ = None
        now_s = self.timers.now_s()
        versions = (control.version, heartbeat.version)
        gap_s = now_s - (
            self.last_read_s_ if self.last_read_s_ is not None else now_s
        )
        if versions != self.seen_versions_ or gap_s > MAX_READ_GAP_S:
            self.seen_versions_ = versions
            self.unchanged_since_s_ = now_s
        self.last_read_s_ = now_s

    def _may_take_over(self, control: platform_lib.Row, now_s: float) -> bool:
        if control.value is None:
            return True
        return now_s - self.unchanged_since_s_ >= TAKEOVER_TIMEOUT_S

    async def _acquire(
        self,
        control: platform_lib.Row,
        heartbeat: platform_lib.Row,
        incarnation: int,
        sent_s: float,
    ) -> None:
        """Acquires the lease; the next read shows an unknown result."""
        epoch = control.version + 1
        holder = {"holder": self.entry_id, "incarnation": incarnation}
        result = await self.platform.transact(
            [
                platform_lib.Condition(control.key, control.version),
                platform_lib.Condition(heartbeat.key, heartbeat.version),
            ],
            [
                platform_lib.Write(control.key, holder),
                platform_lib.Write(heartbeat.key, {"beat": 0, "epoch": epoch}),
            ],
        )
        if isinstance(result, platform_lib.Committed):
            self.epoch_ = result.versions[control.key]
            self.holder_ = LeaseHolder(self.entry_id, incarnation, self.epoch_)
            self.last_renewed_s_ = sent_s

    async def _renew(
        self,
        control: platform_lib.Row,
        heartbeat: platform_lib.Row,
        sent_s: float,
    ) -> None:
        """Writes a heartbeat; the renewal counts from when it was sent."""
        count = int((heartbeat.value or {}).get("beat", 0)) + 1
        result = await self.platform.transact(
            [
                platform_lib.Condition(control.key, control.version),
                platform_lib.Condition(heartbeat.key, heartbeat.version),
            ],
            [
                platform_lib.Write(
                    heartbeat.key, {"beat": count, "epoch": self.epoch_}
                )
            ],
        )
        is_same_epoch = control.version == self.epoch_
        if isinstance(result, platform_lib.Committed) and is_same_epoch:
            self.last_renewed_s_ = sent_s

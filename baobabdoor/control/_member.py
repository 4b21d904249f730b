"""Registration, views, leases, grants and acknowledgements of one entry."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import membership
from baobabdoor import ownership
from baobabdoor import timeline

TICK_PERIOD_S = 1.0
HEARTBEAT_PERIOD_S = 5.0
STEP = "control.member"


@attrs.frozen
class Identity:
    """Identity of this entry.

    Attributes:
        entry_id: Identifier of the entry.
        availability_zone: Zone of the entry.
        control: IP address and port of the control port, as `host:port`.
        boot_id: Boot of the VM as the platform lists it; empty if unknown.
            Without it, the registration stays valid until a process with the
            same control address replaces it.
    """

    entry_id: str
    availability_zone: str
    control: str
    boot_id: str = ""


@attrs.frozen
class SendTimestamp:
    """Time at which a request was sent.

    Attributes:
        sent_s: Monotonic time in seconds.
        jump_count: Number of clock jumps detected before the send.
    """

    sent_s: float
    jump_count: int


class Member:
    """Maintains the membership of this entry in the deployment.

    Runs of the same coroutine must not overlap. No event loop is needed.

    Args:
        identity: Identity of this entry.
        platform: Client of the platform.
        timers: Timer service.
        peers: Known peers.
        recorder: Event timeline of the process.
        is_sending: Returns whether a send to a VM is in progress.
    """

    def __init__(
        self,
        identity: Identity,
        platform: platform_lib.Platform,
        timers: base.TimerService,
        peers: membership.PeerTable,
        recorder: timeline.EventRecorder,
        is_sending: Callable[[str], bool],
    ):
        self.identity = identity
        self.platform = platform
        self.timers = timers
        self.peers = peers
        self.recorder = recorder
        self.views = ownership.ZoneViews(is_sending)
        self.grants = membership.GrantedLeases()
        self.leases = membership.HeldLeases()
        self.jump_detector = membership.ClockJumpDetector(TICK_PERIOD_S)
        self.jump_count_ = 0
        self.incarnation_ = 0
        self.generation_ = 0
        self.is_registered_ = False
        self.registration_refusal_: base.Refusal | None = None
        # Whether the view of the home zone was read after the registration.
        self.is_home_view_valid_ = False
        self.is_closing_ = False
        self.row_version_ = 0
        self.heartbeat_count_ = 0
        self.last_heartbeat_s_: float | None = None
        self.acknowledged_version_ = 0
        self.written_version_ = 0
        self.listed_vms_: dict[str, platform_lib.VmRecord] = {}
        # Zones whose VMs this entry may use in addition to its home zone; None
        # for all zones. Following all zones of a large region would read more
        # than the 3 KB/s that a daemon may use.
        self.followed_zones_: frozenset[str] | None = None
        self.subscribers_: list[Callable[[], None]] = []
        self.on_vm_returned: Callable[[str], None] = lambda vm_id: None

    @property
    def home_zone(self) -> str:
        """Availability zone of this entry."""
        return self.identity.availability_zone

    def choose_incarnation(self) -> None:
        """Chooses the incarnation of this process."""
        self.incarnation_ = max(1, self.timers.wall_ms())

    # Rows in the store.

    async def register(self) -> None:
        """Writes the entry row; the next read shows an unknown result."""
        key = ownership.entry_key(self.identity.entry_id)
        rows = await self.platform.read([key])
        if isinstance(rows, base.Refusal):
            return
        found = ownership.from_json(rows[key].value, ownership.EntryRow)
        if self._is_own(found):
            self._record_registration(rows[key].version)
            return
        if found is None and rows[key].value is not None:
            detail = f"the row {key} is malformed"
            self.registration_refusal_ = base.Refusal(
                base.Reason.CONFLICT, STEP, "platform", detail
            )
            return
        self.registration_refusal_ = ownership.check_registration(
            found, self.own_row(), self.listed_vms_.get(self.identity.entry_id)
        )
        if self.registration_refusal_ is not None:
            return
        if found is not None and found.incarnation >= self.incarnation_:
            self.incarnation_ = found.incarnation + 1
        result = await self.platform.transact(
            [platform_lib.Condition(key, rows[key].version)],
            [platform_lib.Write(key, ownership.to_json(self.own_row()))],
        )
        if isinstance(result, platform_lib.Committed):
            self._record_registration(result.versions[key])

    def _is_own(self, found: ownership.EntryRow | None) -> bool:
        # Two processes may have started in the same millisecond, but only one
        # of them can have bound the control address.
        return found is not None and (found.incarnation, found.control) == (
            self.incarnation_,
            self.identity.control,
        )

    def _record_registration(self, version: int) -> None:
        self.row_version_ = version
        self.is_registered_ = True
        self.is_home_view_valid_ = False
        self.grants.start(self.timers.now_s())
        self.recorder.record(
            "membership.registered", incarnation=self.incarnation_
        )

    async def write_heartbeat(self) -> None:
        """Writes the heartbeat and acknowledgements if they are due."""
        now_s = self.timers.now_s()
        self._acknowledge(now_s)
        is_due = (
            self.last_heartbeat_s_ is None
            or now_s - self.last_heartbeat_s_ >= HEARTBEAT_PERIOD_S
        )
        if not is_due and self.written_version_ == self.acknowledged_version_:
            return
        key = ownership.entry_key(self.identity.entry_id)
        row = self.own_row()
        result = await self.platform.transact(
            [platform_lib.Condition(key, self.row_version_)],
            [platform_lib.Write(key, ownership.to_json(row))],
        )
        if isinstance(result, platform_lib.Committed):
            self.row_version_ = result.versions[key]
            self.heartbeat_count_ = row.beat + 1
            self.last_heartbeat_s_ = now_s
            self.written_version_ = row.views[self.home_zone]
        elif isinstance(result, platform_lib.Conflict):
            self._resolve_row_conflict(result.row)

    def _resolve_row_conflict(self, row: platform_lib.Row) -> None:
        """Handles a conflict with an earlier write or another process."""
        found = ownership.from_json(row.value, ownership.EntryRow)
        if self._is_own(found):
            self.row_version_ = row.version
            return
        self.is_registered_ = False
        self.is_home_view_valid_ = False
        self.incarnation_ += 1
        self.acknowledged_version_ = self.written_version_ = 0
        self.recorder.record("membership.registration-lost")
        self._notify()

    def _acknowledge(self, now_s: float) -> None:
        confirmed = self.views.confirmed(self.home_zone)
        if (
            confirmed > self.acknowledged_version_
            and self.grants.may_acknowledge(confirmed, now_s)
        ):
            self.acknowledged_version_ = confirmed

    def own_row(self) -> ownership.EntryRow:
        """Returns the entry row with the current state."""
        views = self.confirmed_views()
        views[self.home_zone] = self.acknowledged_version_
        return ownership.EntryRow(
            incarnation=self.incarnation_,
            availability_zone=self.home_zone,
            control=self.identity.control,
            boot_id=self.identity.boot_id,
            beat=self.heartbeat_count_,
            generation=self.generation_,
            views=views,
        )

    async def poll_views(self) -> None:
        """Reads the zones whose view version has advanced."""
        registered = self.is_registered_ and self.incarnation_
        rows = await self._read_views()
        if isinstance(rows, base.Refusal):
            return
        for row in rows:
            zone = row.key.removeprefix(ownership.VIEW_PREFIX)
            is_new = row.version > self.views.version(zone)
            if is_new and self._follows(zone):
                await self._read_zone(zone, row.version)
        home_key = ownership.view_key(self.home_zone)
        versions = {row.key: row.version for row in rows}
        is_current = self.views.version(self.home_zone) >= versions.get(
            home_key, 0
        )
        if is_current and registered and self._is_same_registration(registered):
            self.is_home_view_valid_ = True
            self._notify()

    async def _read_views(self) -> Sequence[platform_lib.Row] | base.Refusal:
        if self.followed_zones_ is None:
            return await self.platform.scan(ownership.VIEW_PREFIX)
        zones = sorted(self.followed_zones_ | {self.home_zone})
        rows = await self.platform.read(
            [ownership.view_key(zone) for zone in zones]
        )
        return rows if isinstance(rows, base.Refusal) else list(rows.values())

    def _is_same_registration(self, registered: int) -> bool:
        return self.is_registered_ and self.incarnation_ == registered

    def _follows(self, availability_zone: str) -> bool:
        if self.followed_zones_ is None or availability_zone == self.home_zone:
            return True
        return availability_zone in self.followed_zones_

    async def _read_zone(self, availability_zone: str, version: int) -> None:
        # The rows are read after the view row, so they are at least as recent.
        prefix = f"{ownership.VM_PREFIX}{availability_zone}/"
        rows = await self.platform.scan(prefix)
        if isinstance(rows, base.Refusal):
            return
        self.install_rows(
            availability_zone,
            version,
            {row.key.removeprefix(prefix): row.value for row in rows},
        )

    def install_rows(
        self, availability_zone: str, version: int, values: dict[str, dict]
    ) -> None:
        """Installs the rows of a zone if they are newer."""
        rows = {}
        for vm_id, value in values.items():
            row = ownership.from_json(value, ownership.VmRow)
            if row is not None:
                rows[vm_id] = row
        old = self.views.held_.get(availability_zone)
        view = ownership.ZoneView(version, rows)
        if not self.views.adopt(availability_zone, view):
            return
        for vm_id, row in rows.items():
            old_row = old.rows.get(vm_id) if old is not None else None
            if old_row is not None and _has_returned(old_row, row):
                self.on_vm_returned(vm_id)
        self._notify()

    async def poll_vm_list(self) -> None:
        """Reads the platform's list of VMs."""
        records = await self.platform.list_vms()
        if isinstance(records, base.Refusal):
            return
        self.listed_vms_ = {record.vm_id: record for record in records}
        self._notify()

    async def poll_entries(self) -> bool:
        """Reads the registered entries; returns whether the read succeeded."""
        rows = await self.platform.scan(ownership.ENTRY_PREFIX)
        if isinstance(rows, base.Refusal):
            return False
        addresses = []
        for row in rows:
            entry = ownership.from_json(row.value, ownership.EntryRow)
            if entry is None:
                continue
            entry_id = row.key.removeprefix(ownership.ENTRY_PREFIX)
            addresses.append(
                membership.PeerAddress(
                    entry_id, entry.availability_zone, entry.control
                )
            )
        self.peers.observe_table(addresses, self.timers.now_s())
        return True

    def close(self) -> None:
        """Stops using VMs and granting leases."""
        self.is_closing_ = True
        self._notify()

    async def leave(self) -> base.Refusal | None:
        """Deletes the entry row once no lease granted by this entry is in use.

        Returns:
            None once the entry has no row, otherwise why it may have one.
        """
        now_s = self.timers.now_s()
        self.grants.expire(now_s)
        if self.grants.grants_:
            return base.Refusal(
                base.Reason.NOT_READY, STEP, detail="granted leases in use"
            )
        if not self.is_registered_:
            return None
        key = ownership.entry_key(self.identity.entry_id)
        result = await self.platform.transact(
            [platform_lib.Condition(key, self.row_version_)],
            [platform_lib.Write(key, None)],
        )
        if isinstance(result, platform_lib.Conflict):
            self._resolve_row_conflict(result.row)
        elif isinstance(result, platform_lib.Committed):
            self.is_registered_ = False
        if not self.is_registered_:
            return None
        return base.Refusal(
            base.Reason.UNKNOWN_RESULT, STEP, "platform", str(result)
        )

    # Time.

    def tick(self) -> bool:
        """Checks the clock and expires peers.

        Returns:
            Whether the clock jumped, which ends all leases.
        """
        now_s = self.timers.now_s()
        jumped = self.jump_detector.observe(now_s, self.timers.wall_ms())
        if jumped:
            self.jump_count_ += 1
            self.leases.drop_all()
            self.recorder.record("membership.clock-jumped")
        self.peers.expire(now_s)
        return jumped

    # Exchanges.

    def confirmed_views(
        self, zones: Iterable[str] | None = None
    ) -> dict[str, int]:
        """Returns the confirmed view version of each zone held.

        Args:
            zones: Zones to include. Default: all.
        """
        held = self.views.held_
        wanted = held if zones is None else [z for z in zones if z in held]
        return {zone: self.views.confirmed(zone) for zone in wanted}

    def wants_lease(self, availability_zone: str) -> bool:
        """Returns whether this entry needs a lease to use the VMs of a zone."""
        if self.is_closing_:
            return False
        return (
            availability_zone != self.home_zone or not self.is_home_view_valid_
        )

    def grant(
        self, sender: str, incarnation: int, exchange: membership.Exchange
    ) -> int:
        """Grants the lease that a request asks for if possible.

        Returns:
            The view version of the lease; 0 if none is granted.
        """
        holder = (sender, incarnation)
        version = exchange.views.get(self.home_zone, 0)
        self.grants.confirm(holder, version)
        may_grant = self.is_home_view_valid_ and not self.is_closing_
        if not exchange.wants_lease or not may_grant:
            return 0
        granted = self.grants.grant(
            holder,
            version,
            self.views.version(self.home_zone),
            self.timers.now_s(),
        )
        return version if granted else 0

    def zone_rows(
        self, exchange: membership.Exchange
    ) -> membership.ZoneRows | None:
        """Returns the rows of the home zone if the peer has an older view."""
        view = self.views.held_.get(self.home_zone)
        if view is None or not exchange.wants_lease:
            return None
        if exchange.views.get(self.home_zone, 0) >= view.version:
            return None
        rows = {
            vm_id: ownership.to_json(row) for vm_id, row in view.rows.items()
        }
        return membership.ZoneRows(version=view.version, rows=rows)

    def send_timestamp(self) -> SendTimestamp:
        """Returns the timestamp of a request that is sent now."""
        return SendTimestamp(self.timers.now_s(), self.jump_count_)

    def receive_response(
        self, exchange: membership.Exchange, timestamp: SendTimestamp
    ) -> None:
        """Stores the lease and the rows of a response.

        Args:
            exchange: Verified response.
            timestamp: When the request was sent.
        """
        zone = exchange.entry.availability_zone
        rows = exchange.zone_rows
        if rows is not None and self._follows(zone):
            self.install_rows(zone, rows.version, rows.rows)
        if not self._is_clock_trusted(timestamp):
            return
        if 0 < exchange.granted <= self.views.version(zone):
            was_held = self.leases.is_held(zone, self.timers.now_s())
            self.leases.observe_grant(zone, timestamp.sent_s)
            if not was_held:
                self._notify()

    def _is_clock_trusted(self, timestamp: SendTimestamp) -> bool:
        """Returns whether no clock jump can have occurred since a send."""
        overdue = self.jump_detector.is_overdue(
            self.timers.now_s(), self.timers.wall_ms()
        )
        return timestamp.jump_count == self.jump_count_ and not overdue

    # Use of VMs.

    def check_access(
        self, availability_zone: str, now_s: float
    ) -> base.Refusal | None:
        """Returns why VMs of a zone must not be used now, or None."""
        if self.is_closing_:
            return base.Refusal(base.Reason.DRAINING, STEP)
        if self.registration_refusal_ is not None:
            return self.registration_refusal_
        if availability_zone == self.home_zone and self.is_home_view_valid_:
            return None
        if self.jump_detector.is_overdue(now_s, self.timers.wall_ms()):
            return base.Refusal(base.Reason.CLOCK_JUMPED, STEP)
        if not self.leases.is_held(availability_zone, now_s):
            return base.Refusal(
                base.Reason.LEASE_LAPSED, STEP, detail=availability_zone
            )
        return None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after every change of the usable VMs."""
        self.subscribers_.append(callback)

    def _notify(self) -> None:
        for callback in self.subscribers_:
            callback()


def _has_returned(old: ownership.VmRow, new: ownership.VmRow) -> bool:
    serving = ownership.Phase.SERVING
    return old.phase is not serving and new.phase is serving

"""Deliberately broken variants of the core, each of which must be rejected.

They show that the properties of the simulation can fail. Each variant replaces
one rule of the design by a plausible mistake.
"""

import pytest
import test_fuzz_control as fuzz

from baobabdoor import membership
from baobabdoor import ownership
from baobabdoor import platform
from baobabdoor.control import _controller
from baobabdoor.control import _lease
from baobabdoor.control import _member
from baobabdoor.ownership import _progress
from baobabdoor.ownership import _registration
from baobabdoor.ownership import _steps

MAX_SEEDS = 25


def acknowledge_before_grants_expired(patch):
    patch.setattr(
        membership.GrantBook, "may_acknowledge", lambda *arguments: True
    )


def forget_grants_of_predecessor(patch):
    def start(book, now_s):
        book.quiet_until_s_ = now_s

    patch.setattr(membership.GrantBook, "start", start)


def grant_for_older_view(patch):
    def grant(book, holder, version, own_version, now_s):
        book.grants_[holder] = membership._leases._Grant(
            own_version, now_s + book.hold_s
        )
        return True

    patch.setattr(membership.GrantBook, "grant", grant)


def count_lease_from_answer(patch):
    receive = _member.Member.receive_answer

    def receive_answer(member, exchange, sent_s):
        receive(member, exchange, member.timers.now_s())

    patch.setattr(_member.Member, "receive_answer", receive_answer)


def use_lease_without_end(patch):
    patch.setattr(
        membership.LeaseBook,
        "is_held",
        lambda book, zone, now_s: zone in book.until_s_,
    )


def use_other_zones_without_lease(patch):
    patch.setattr(_member.Member, "access", lambda *arguments: None)


def write_without_epoch(patch):
    change = _steps.change_vm

    def change_vm(table, *arguments, **changes):
        step = change(table, *arguments, **changes)
        key = ownership.control_key(table.region)
        conditions = tuple(c for c in step.conditions if c.key != key)
        return step.__class__(
            step.kind,
            step.vm_id,
            step.transaction,
            conditions,
            step.writes,
            step.intent,
        )

    patch.setattr(_steps, "change_vm", change_vm)


def act_after_lease_lapsed(patch):
    patch.setattr(
        _lease.ControlLease, "is_acting", lambda lease, now_s: lease.epoch_ > 0
    )
    write_without_epoch(patch)


def leave_budget_uncharged(patch):
    patch.setattr(_steps, "out_of_service", lambda table, pool: set())


def ignore_promise(patch):
    snapshot = ownership.FleetSnapshot
    patch.setattr(snapshot, "in_service", lambda fleet, pool: 1000)


def register_after_reading_views(patch):
    """Reads the views first, and uses them once the row is written."""
    poll = _member.Member.poll_views

    async def poll_views(member):
        if member.is_registered_ and not member.is_home_valid_:
            member.is_home_valid_ = True
            return
        await poll(member)

    patch.setattr(_member.Member, "poll_views", poll_views)


def use_own_zone_unregistered(patch):
    poll = _member.Member.poll_views

    async def poll_views(member):
        await poll(member)
        member.is_home_valid_ = True

    patch.setattr(_member.Member, "poll_views", poll_views)


def acknowledge_while_sending(patch):
    patch.setattr(
        ownership.ZoneViews,
        "confirmed",
        lambda views, zone: views.version(zone),
    )


def drain_without_acknowledgements(patch):
    patch.setattr(_progress, "all_acknowledged", lambda table, vm_id: True)


def keep_old_entry_rows(patch):
    """Reads the entry rows once, so that later entries are not waited for."""
    read = _controller.Controller._read

    async def read_once(controller):
        kept = controller.table_
        entries = dict(kept.entries) if kept is not None else None
        table = await read(controller)
        if table is not None and entries is not None:
            for entry_id in set(table.entries) - set(entries):
                del table.entries[entry_id]
        return table

    patch.setattr(_controller.Controller, "_read", read_once)


def drop_terminated_entries_at_once(patch):
    def observe(gone, entries, listed, now_s):
        return frozenset(
            entry_id
            for entry_id, row in entries.items()
            if row is not None
            and _registration.is_terminated(row, listed.get(entry_id))
        )

    patch.setattr(ownership.GoneEntries, "observe", observe)


def drop_silent_entries(patch):
    """Takes an entry without heartbeats for dead; it may only be paused."""
    seen = {}

    def observe(gone, entries, listed, now_s):
        late = set()
        for entry_id, row in entries.items():
            key = (id(gone), entry_id)
            beat, since_s = seen.get(key, (None, now_s))
            if row is None or row.beat != beat:
                seen[key] = (row and row.beat, now_s)
            elif now_s - since_s > 8:
                late.add(entry_id)
        return frozenset(late)

    patch.setattr(ownership.GoneEntries, "observe", observe)


def leave_with_grants_in_use(patch):
    leave = _member.Member.leave

    async def leave_at_once(member):
        member.grants.grants_.clear()
        return await leave(member)

    patch.setattr(_member.Member, "leave", leave_at_once)


def replace_live_registration(patch):
    patch.setattr(
        ownership, "check_registration", lambda found, own, record: None
    )


def reboot_before_intent(patch):
    """Reboots a drained VM first and writes the intent afterwards."""
    action = _progress.next_action

    def next_action(table, vm_id, reboot_s, wall_ms):
        found = action(table, vm_id, reboot_s, wall_ms)
        kind = _progress.OperationKind
        row = table.vms[vm_id].row
        is_drain = getattr(found, "kind", None) is kind.DRAIN
        if is_drain and not row.is_move:
            return _progress.Operation(kind.REBOOT, vm_id, row.boot_id)
        return found

    patch.setattr(ownership, "next_action", next_action)


def forget_unknown_transaction(patch):
    """Takes a transaction without an answer for applied."""
    transact = _controller.Controller._transact

    async def take_for_applied(controller, step):
        result = await transact(controller, step)
        if isinstance(result, platform.Unknown):
            versions = {write.key: 0 for write in step.writes}
            for condition in step.conditions:
                versions[condition.key] = condition.version + 1
            return platform.Committed(versions)
        return result

    patch.setattr(_controller.Controller, "_transact", take_for_applied)


# Faults and requests that a variant needs most; others come from all actions.
def only(*actions):
    weights = {action: 4 for action in actions}
    return {fuzz.wait: 10, fuzz.move: 6, **weights}


VARIANTS = (
    (acknowledge_before_grants_expired, only(fuzz.pause, fuzz.cut_zone)),
    (forget_grants_of_predecessor, only(fuzz.restart, fuzz.cut_zone)),
    (grant_for_older_view, only(fuzz.cut_platform)),
    (count_lease_from_answer, only(fuzz.disturb, fuzz.pause, fuzz.cut_zone)),
    (use_lease_without_end, only(fuzz.cut_zone, fuzz.pause)),
    (use_other_zones_without_lease, only(fuzz.cut_zone, fuzz.pause)),
    (write_without_epoch, only(fuzz.pause, fuzz.disturb)),
    (act_after_lease_lapsed, only(fuzz.pause, fuzz.disturb)),
    (leave_budget_uncharged, only(fuzz.maintain)),
    (ignore_promise, only(fuzz.switch)),
    (register_after_reading_views, only(fuzz.restart, fuzz.disturb)),
    (use_own_zone_unregistered, only(fuzz.restart, fuzz.disturb)),
    (acknowledge_while_sending, only(fuzz.maintain)),
    (drain_without_acknowledgements, only(fuzz.pause)),
    (keep_old_entry_rows, only(fuzz.leave, fuzz.replace, fuzz.pause)),
    (drop_terminated_entries_at_once, only(fuzz.replace, fuzz.cut_zone)),
    (drop_silent_entries, only(fuzz.pause, fuzz.cut_platform)),
    (leave_with_grants_in_use, only(fuzz.leave, fuzz.cut_zone)),
    (replace_live_registration, only(fuzz.rename, fuzz.pause)),
    (reboot_before_intent, only(fuzz.maintain)),
    (forget_unknown_transaction, only(fuzz.disturb)),
)


class TestBrokenVariants:

    @pytest.mark.parametrize(
        ("variant", "actions"),
        VARIANTS,
        ids=[variant.__name__ for variant, _ in VARIANTS],
    )
    def test_variant_is_rejected(self, variant, actions, monkeypatch):
        """Guards against properties that hold whatever the core does."""
        variant(monkeypatch)
        with pytest.raises(AssertionError, match=r"^\w+: "):
            for seed in range(MAX_SEEDS):
                fuzz.walk(seed, actions=actions)

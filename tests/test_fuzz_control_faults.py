"""Deliberately broken variants of the core, each of which must be rejected.

They show that the properties of the simulation can fail. Each variant replaces
one rule of the design by a plausible mistake.
"""

import random

import control_simulation
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

MAX_SEEDS = 30
BURSTS = 10


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
    patch.setattr(_member.Member, "zone_rows", lambda member, exchange: None)


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
    """Reads the views some seconds before the row is written."""
    register = _member.Member.register
    note = _member.Member._note_registered

    async def register_late(member):
        member.asked_s = getattr(member, "asked_s", member.timers.now_s())
        if member.timers.now_s() - member.asked_s >= 4.0:
            await register(member)

    def note_registered(member, version):
        note(member, version)
        member.is_home_valid_ = True

    patch.setattr(_member.Member, "register", register_late)
    patch.setattr(_member.Member, "_note_registered", note_registered)


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


# Each variant comes with the faults that it fails to cope with.
VARIANTS = (
    (acknowledge_before_grants_expired, (fuzz.isolate,)),
    (forget_grants_of_predecessor, (fuzz.isolate, fuzz.restart)),
    (grant_for_older_view, (fuzz.cut_platform,)),
    (count_lease_from_answer, (fuzz.pause, fuzz.isolate)),
    (use_lease_without_end, (fuzz.isolate,)),
    (use_other_zones_without_lease, (fuzz.isolate,)),
    (write_without_epoch, (fuzz.stall_holder,)),
    (act_after_lease_lapsed, (fuzz.stall_holder,)),
    (leave_budget_uncharged, (fuzz.maintain,)),
    (ignore_promise, (fuzz.switch,)),
    (register_after_reading_views, (fuzz.leave, fuzz.start)),
    (use_own_zone_unregistered, (fuzz.leave, fuzz.start, fuzz.disturb)),
    (acknowledge_while_sending, (fuzz.maintain,)),
    (drain_without_acknowledgements, (fuzz.pause,)),
    (keep_old_entry_rows, (fuzz.leave, fuzz.start, fuzz.isolate)),
    (drop_terminated_entries_at_once, (fuzz.isolate, fuzz.replace)),
    (drop_silent_entries, (fuzz.pause,)),
    (leave_with_grants_in_use, (fuzz.isolate, fuzz.leave, fuzz.start)),
    (replace_live_registration, (fuzz.rename, fuzz.pause)),
    (reboot_before_intent, (fuzz.maintain,)),
    (forget_unknown_transaction, (fuzz.maintain, fuzz.disturb)),
)


def focused_walk(seed, actions):
    """Runs bursts of a few faults around moves, with pauses between them."""
    rng = random.Random(f"{seed}.bursts")
    world = control_simulation.World(seed)
    world.advance(12.0)
    for _ in range(BURSTS):
        fuzz.move(world, rng.choice)
        fuzz.move(world, rng.choice)
        world.advance(rng.choice((0.1, 1.2)))
        for action in rng.sample(actions, len(actions)):
            action(world, rng.choice)
            world.advance(rng.choice((0.1, 0.4)))
        world.advance(rng.choice((4.0, 8.0, 16.0)))


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
                focused_walk(seed, actions)

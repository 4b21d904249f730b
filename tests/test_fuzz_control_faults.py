"""Broken variants of the core, each of which the simulation must reject.

They show that the properties of the simulation can fail. Each variant replaces
one rule of the design by a plausible mistake.
"""

import random

import control_simulation
import pytest
import test_fuzz_control as fuzz

from baobabdoor import fleet_api
from baobabdoor import membership
from baobabdoor import ownership
from baobabdoor.control import _controller
from baobabdoor.control import _lease
from baobabdoor.control import _member
from baobabdoor.ownership import _reconciliation
from baobabdoor.ownership import _registration
from baobabdoor.ownership import _transactions

MAX_SEEDS = 40
BURSTS = 10


def acknowledge_before_grants_expired(patch):
    patch.setattr(
        membership.GrantedLeases, "may_acknowledge", lambda *arguments: True
    )


def forget_grants_of_predecessor(patch):
    def start(grants, now_s):
        grants.acknowledge_after_s_ = now_s

    patch.setattr(membership.GrantedLeases, "start", start)


def grant_for_older_view(patch):
    def grant(grants, holder, version, own_version, now_s):
        grants.grants_[holder] = membership._leases._Grant(
            own_version, now_s + grants.hold_s
        )
        return True

    patch.setattr(membership.GrantedLeases, "grant", grant)
    patch.setattr(_member.Member, "zone_rows", lambda member, exchange: None)


def count_lease_from_answer(patch):
    receive = _member.Member.receive_response

    def receive_response(member, exchange, timestamp):
        receive(member, exchange, member.send_timestamp())

    patch.setattr(_member.Member, "receive_response", receive_response)


def trust_monotonic_clock(patch):
    """Ignores that the clock stops while a VM is suspended."""
    patch.setattr(
        membership.ClockJumpDetector, "is_overdue", lambda *arguments: False
    )


def keep_answers_over_jumps(patch):
    """Counts a lease from a time before a clock jump."""
    patch.setattr(_member.Member, "_is_clock_trusted", lambda *arguments: True)


def use_lease_without_end(patch):
    patch.setattr(
        membership.HeldLeases,
        "is_held",
        lambda leases, zone, now_s: zone in leases.expires_s_,
    )


def use_other_zones_without_lease(patch):
    patch.setattr(_member.Member, "check_access", lambda *arguments: None)


def write_without_epoch(patch):
    change = _transactions.change_vm

    def change_vm(table, *arguments, **changes):
        step = change(table, *arguments, **changes)
        key = ownership.control_key(table.region)
        conditions = tuple(c for c in step.conditions if c.key != key)
        return step.__class__(
            step.kind,
            step.vm_id,
            step.transaction_id,
            conditions,
            step.writes,
            step.intent,
        )

    patch.setattr(_transactions, "change_vm", change_vm)


def act_after_lease_lapsed(patch):
    patch.setattr(
        _lease.ControlLease, "is_acting", lambda lease, now_s: lease.epoch_ > 0
    )
    write_without_epoch(patch)


def leave_budget_uncharged(patch):
    patch.setattr(_transactions, "out_of_service", lambda table, pool: set())


def ignore_promise(patch):
    snapshot = ownership.FleetSnapshot
    patch.setattr(snapshot, "in_service", lambda fleet, pool: 1000)


def register_late(patch):
    register = _member.Member.register

    async def wait_and_register(member):
        member.asked_s = getattr(member, "asked_s", member.timers.now_s())
        if member.timers.now_s() - member.asked_s >= 4.0:
            await register(member)

    patch.setattr(_member.Member, "register", wait_and_register)


def register_after_reading_views(patch):
    """Reads the views some seconds before the entry row is written."""
    register_late(patch)
    record = _member.Member._record_registration
    poll = _member.Member.poll_views

    def record_registration(member, version):
        record(member, version)
        member.is_home_view_valid_ = True
        member.skips_poll = True

    async def poll_once(member):
        skips_poll, member.skips_poll = (
            getattr(member, "skips_poll", False),
            False,
        )
        is_due = member.is_registered_ or not member.views.held_
        if is_due and not skips_poll:
            await poll(member)

    patch.setattr(_member.Member, "_record_registration", record_registration)
    patch.setattr(_member.Member, "poll_views", poll_once)


def use_own_zone_unregistered(patch):
    register_late(patch)
    poll = _member.Member.poll_views

    async def poll_views(member):
        await poll(member)
        member.is_home_view_valid_ = True

    patch.setattr(_member.Member, "poll_views", poll_views)


def acknowledge_while_sending(patch):
    patch.setattr(
        ownership.ZoneViews,
        "confirmed",
        lambda views, zone: views.version(zone),
    )


def drain_without_acknowledgements(patch):
    patch.setattr(
        _reconciliation, "all_acknowledged", lambda table, vm_id: True
    )


def keep_old_entry_rows(patch):
    """Ignores entries that register after the first read of the entry rows."""
    read = _controller.Controller._read_table

    async def read_once(controller):
        kept = controller.table_
        entries = dict(kept.entries) if kept is not None else None
        table = await read(controller)
        if table is not None and entries is not None:
            for entry_id in set(table.entries) - set(entries):
                del table.entries[entry_id]
        return table

    patch.setattr(_controller.Controller, "_read_table", read_once)


def drop_terminated_entries_at_once(patch):
    def observe(gone, entries, listed, now_s):
        return frozenset(
            entry_id
            for entry_id, row in entries.items()
            if row is not None
            and _registration.is_terminated(row, listed.get(entry_id))
        )

    patch.setattr(ownership.ExpiredEntries, "observe", observe)


def expire_unresponsive_entries(patch):
    """Treats an entry without heartbeats as dead, although it may be paused."""
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

    patch.setattr(ownership.ExpiredEntries, "observe", observe)


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
    """Reboots a drained VM before the intent is written."""
    action = _reconciliation.next_action

    def next_action(table, vm_id, reboot_s, wall_ms):
        found = action(table, vm_id, reboot_s, wall_ms)
        kind = _reconciliation.OperationKind
        row = table.vms[vm_id].row
        is_drain = getattr(found, "kind", None) is kind.DRAIN
        if is_drain and not row.is_move:
            return _reconciliation.Operation(kind.REBOOT, vm_id, row.boot_id)
        return found

    patch.setattr(ownership, "next_action", next_action)


def forget_unknown_transaction(patch):
    """Treats a transaction without a response as applied."""
    transact = _controller.Controller._transact

    async def take_for_applied(controller, step):
        result = await transact(controller, step)
        if isinstance(result, fleet_api.Unknown):
            versions = {write.key: 0 for write in step.writes}
            for condition in step.conditions:
                versions[condition.key] = condition.version + 1
            return fleet_api.Committed(versions)
        return result

    patch.setattr(_controller.Controller, "_transact", take_for_applied)


# Scenarios: each injects the faults under which one kind of variant fails.


def bursts(*actions):
    """Returns a scenario that repeats moves followed by a few faults."""

    def run(world, rng):
        for _ in range(BURSTS):
            fuzz.move(world, rng.choice)
            fuzz.move(world, rng.choice)
            world.advance(rng.choice((0.1, 1.2)))
            for action in rng.sample(actions, len(actions)):
                action(world, rng.choice)
                world.advance(rng.choice((0.1, 0.4)))
            world.advance(rng.choice((4.0, 8.0, 16.0)))

    return run


def move_all(world):
    for vm_id, row in world.rows().items():
        world.moves[vm_id] = "p" if row.pool == "q" else "q"


def isolate_holder_of_lease(world):
    """Disconnects an entry that uses the zone of all VMs under a lease."""
    control = world.holder()
    other = "e0" if control is None or control.entry_id != "e0" else "e1"
    world.isolated.add(other)
    return world.entries[other]


def lose_grantor(end):
    """Returns a scenario in which a grantor stops while its lease is in use."""

    def run(world, rng):
        world.long_send_rate = 0.0
        isolate_holder_of_lease(world)
        move_all(world)
        world.advance(rng.choice((0.1, 0.3, 0.6)))
        end(world, "e2")
        world.advance(8.0)

    return run


def join_during_moves(world, rng):
    """An entry starts in a zone without entries while its VMs move."""
    world.long_send_rate = 0.0
    world.leave("e2")
    world.advance(8.0)
    world.start_dead("e2")
    world.advance(rng.uniform(0.0, 1.0))
    move_all(world)
    world.advance(12.0)


def answer_after_pause(world, rng):
    """A response is processed long after its request was sent."""
    world.max_extra_latency_s = 0.8
    move_all(world)
    world.advance(rng.uniform(0.0, 1.0))
    entry = isolate_holder_of_lease(world)
    world.isolated.clear()
    world.pause(entry.entry_id)
    world.advance(6.0)
    world.isolated.add(entry.entry_id)
    world.resume(entry.entry_id)
    world.advance(4.0)


def delay_writes_of_old_holder(world, rng):
    """Writes of a paused holder take effect after another entry takes over."""
    holder = world.holder()
    world.stalled.add(holder)
    move_all(world)
    world.advance(rng.uniform(1.0, 2.5))
    world.pause(holder.entry_id)
    world.moves.clear()
    world.advance(20.0)


def delay_writes_of_holder(world, rng):
    """Writes of the holder take effect late while it continues to run."""
    for vm_id in world.rows():
        world.maintain_before[vm_id] = world.entries["e0"].timers.wall_ms()
    world.advance(rng.uniform(0.0, 8.0))
    world.stalled.add(world.holder())
    world.advance(12.0)


def start_duplicate_of_paused(world, rng):
    """A process with the identifier of a paused entry starts elsewhere."""
    world.advance(rng.uniform(0.0, 1.0))
    world.pause("e2")
    fuzz.start_duplicate(world, lambda options: "e2")
    move_all(world)
    world.advance(25.0)
    world.resume("e2")
    world.advance(2.0)


def move_during_long_sends(world, rng):
    """Sends to VMs take longer than moves of the VMs."""
    world.long_send_rate = 0.3
    world.advance(rng.uniform(0.0, 1.0))
    for _ in range(4):
        move_all(world)
        world.advance(6.0)


def send_after_suspension(world, rng):
    """The VM of an entry is suspended while it holds a lease."""
    world.long_send_rate = 0.0
    world.max_extra_latency_s = rng.choice((0.0, 0.8))
    world.advance(rng.uniform(0.0, 1.0))
    move_all(world)
    entry = isolate_holder_of_lease(world)
    world.isolated.clear()
    entry.timers.suspended_s += 6.0
    world.pause(entry.entry_id)
    world.advance(6.0)
    world.isolated.add(entry.entry_id)
    world.resume(entry.entry_id)
    world.advance(4.0)


VARIANTS = (
    (acknowledge_before_grants_expired, bursts(fuzz.isolate)),
    (
        forget_grants_of_predecessor,
        lose_grantor(control_simulation.World.restart),
    ),
    (grant_for_older_view, bursts(fuzz.cut_platform)),
    (count_lease_from_answer, answer_after_pause),
    (trust_monotonic_clock, send_after_suspension),
    (keep_answers_over_jumps, send_after_suspension),
    (use_lease_without_end, bursts(fuzz.isolate)),
    (use_other_zones_without_lease, bursts(fuzz.isolate)),
    (write_without_epoch, delay_writes_of_old_holder),
    (act_after_lease_lapsed, bursts(fuzz.stall_holder)),
    (leave_budget_uncharged, bursts(fuzz.maintain)),
    (ignore_promise, bursts(fuzz.switch)),
    (register_after_reading_views, join_during_moves),
    (use_own_zone_unregistered, join_during_moves),
    (acknowledge_while_sending, move_during_long_sends),
    (drain_without_acknowledgements, bursts(fuzz.pause)),
    (keep_old_entry_rows, bursts(fuzz.leave, fuzz.start, fuzz.isolate)),
    (
        drop_terminated_entries_at_once,
        lose_grantor(control_simulation.World.terminate),
    ),
    (expire_unresponsive_entries, bursts(fuzz.pause)),
    (leave_with_grants_in_use, lose_grantor(control_simulation.World.leave)),
    (replace_live_registration, start_duplicate_of_paused),
    (reboot_before_intent, bursts(fuzz.maintain)),
    (forget_unknown_transaction, delay_writes_of_holder),
)


def run_scenario(seed, scenario):
    rng = random.Random(f"{seed}.scenario")
    # The zone of all VMs has one entry, so that no other entry delays a change.
    world = control_simulation.World(seed, vm_zones="bbbb")
    world.advance(12.0)
    scenario(world, rng)


class TestBrokenVariants:

    @pytest.mark.parametrize(
        ("variant", "scenario"),
        VARIANTS,
        ids=[variant.__name__ for variant, _ in VARIANTS],
    )
    def test_variant_is_rejected(self, variant, scenario, monkeypatch):
        """Guards against properties that no fault of the core can violate."""
        variant(monkeypatch)
        with pytest.raises(AssertionError, match=r"^\w+: "):
            for seed in range(MAX_SEEDS):
                run_scenario(seed, scenario)

    @pytest.mark.parametrize(
        "scenario",
        [scenario for _, scenario in VARIANTS],
        ids=[variant.__name__ for variant, _ in VARIANTS],
    )
    def test_core_holds(self, scenario):
        """Guards against scenarios that reject the correct core."""
        for seed in range(2):
            run_scenario(seed, scenario)

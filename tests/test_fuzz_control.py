"""Fuzzes membership, ownership and control against the properties of `World`.

`python tests/test_fuzz_control.py --seconds 600` runs random walks, starting at
a random seed that it prints; `--seed N` repeats one walk.
"""

import argparse
import random
import secrets
import sys
import time

import control_simulation
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from baobabdoor import ownership

ENTRIES = ("e0", "e1", "e2")
VMS = tuple(f"vm{index}" for index in range(8))
PRESETS = ("ordinary", "peak", "maintenance")


# Actions: each makes one change; `choose` selects an item of a sequence.


def wait(world, choose):
    world.advance(choose((0.1, 0.5, 1.0, 3.0, 5.0, 8.0, 13.0)))


def move(world, choose):
    """Requests a move of a VM to the other pool."""
    vm_id = choose(VMS)
    row = world.rows().get(vm_id)
    if row is not None:
        world.moves[vm_id] = "p" if row.pool == "q" else "q"


def maintain(world, choose):
    now_ms = world.entries["e0"].timers.wall_ms()
    world.maintain_before[choose(VMS)] = now_ms


def kill(world, choose):
    world.kill(choose(ENTRIES))


def restart(world, choose):
    world.restart(choose(ENTRIES))


def replace_vm(world, choose):
    """Terminates the VM of an entry; another VM starts later."""
    entry_id = choose(ENTRIES)
    world.terminate(entry_id)
    world.schedule(
        choose((0.1, 3.0, 30.0)), lambda: start_if_dead(world, entry_id)
    )


def start(world, choose):
    dead = [name for name in ENTRIES if world.entries[name].is_dead]
    if dead:
        start_if_dead(world, choose(dead))


def start_if_dead(world, entry_id):
    if world.entries[entry_id].is_dead:
        world.start_dead(entry_id)


def start_duplicate(world, choose):
    """Starts a second process with the identifier of a live entry."""
    entry_id = choose(ENTRIES)
    old = world.entries[entry_id]
    if old.is_dead or old.port >= 24000:
        return
    duplicate = control_simulation.Entry(
        world, entry_id, old.zone, old.port + 1000, ""
    )
    world.duplicates.append(duplicate)
    duplicate.start()


def leave(world, choose):
    world.leave(choose(ENTRIES))


def pause(world, choose):
    """Pauses an entry, often until after its leases have expired."""
    pause_for(
        world,
        world.entries[choose(ENTRIES)],
        choose((0.5, 1.5, 2.5, 3.5, 5.0, 9.0, 14.0, 25.0)),
    )


def suspend(world, choose):
    """Suspends the VM of an entry, which stops its monotonic clock."""
    duration_s = choose((1.5, 2.5, 3.5, 9.0))
    entry = world.entries[choose(ENTRIES)]
    if not entry.is_paused and not entry.is_dead:
        entry.timers.suspended_s += duration_s
        pause_for(world, entry, duration_s)


def stall_holder(world, choose):
    """Delays the writes of the control lease holder, then pauses it."""
    entry = world.holder()
    if entry is None:
        return
    world.stalled.add(entry)

    def stop():
        world.stalled.discard(entry)
        pause_for(world, entry, choose((9.0, 14.0, 25.0)))

    world.schedule(choose((0.5, 1.5)), stop)


def pause_for(world, entry, duration_s):
    if entry.is_paused or entry.is_dead:
        return
    entry.is_paused = True

    def resume():
        if world.entries[entry.entry_id] is entry and entry.is_paused:
            world.resume(entry.entry_id)

    world.schedule(duration_s, resume)


def isolate(world, choose):
    """Disconnects an entry from its peers and from the platform."""
    entry_id = choose(ENTRIES)
    world.isolated.add(entry_id)
    world.schedule(
        choose((1.0, 3.0, 5.0, 9.0)), lambda: world.isolated.discard(entry_id)
    )


def cut_zone(world, choose):
    world.partitioned_zones = set(choose(((), ("a",), ("b",))))


def cut_platform(world, choose):
    world.zones_without_platform = set(choose(((), ("a",), ("b",), ("a", "b"))))


def outage(world, choose):
    world.is_platform_down = choose((False, False, True))


def degrade_network(world, choose):
    world.loss_rate = choose((0.0, 0.05, 0.2))
    world.delayed_write_rate = choose((0.0, 0.05, 0.2))
    world.max_extra_latency_s = choose((0.0, 0.0, 0.5, 1.5))


def switch(world, choose):
    world.switch_preset(choose(PRESETS))


def reboot(world, choose):
    """Reboots a worker without a request of the controller."""
    world.core.vms.restart(choose(VMS))


ACTIONS = {
    wait: 30,
    move: 10,
    maintain: 8,
    kill: 1,
    restart: 3,
    replace_vm: 2,
    start_duplicate: 1,
    leave: 1,
    start: 2,
    pause: 6,
    suspend: 2,
    stall_holder: 2,
    isolate: 4,
    cut_zone: 3,
    cut_platform: 3,
    outage: 2,
    degrade_network: 4,
    switch: 2,
    reboot: 2,
}


def walk(seed, steps=40, actions=None):
    """Runs a random walk, ends all faults and checks the recovery."""
    weights = actions or ACTIONS
    rng = random.Random(f"{seed}.actions")
    world = control_simulation.World(seed)
    world.advance(rng.choice((2.0, 6.0, 10.0)))
    for _ in range(steps):
        action = rng.choices(list(weights), weights.values())[0]
        action(world, rng.choice)
    finish(world)
    return world


def finish(world):
    """Ends all faults and checks that all VMs return to service."""
    world.heal()
    world.advance(90.0)
    phases = {vm_id: row.phase for vm_id, row in world.rows().items()}
    stuck = {
        vm_id: row
        for vm_id, row in world.rows().items()
        if row.phase is not ownership.Phase.SERVING
    }
    assert len(phases) == len(VMS), f"stuck: rows for {sorted(phases)}"
    assert not stuck, f"stuck: {stuck}"


class ControlMachine(stateful.RuleBasedStateMachine):
    """Every sequence of faults keeps the properties."""

    def __init__(self):
        super().__init__()
        self.world = None

    @stateful.initialize(
        seed=strategies.integers(0, 2**32), settle_s=strategies.floats(1, 10)
    )
    def begin(self, seed, settle_s):
        self.world = control_simulation.World(seed)
        self.world.advance(settle_s)

    @stateful.rule(
        action=strategies.sampled_from(list(ACTIONS)),
        data=strategies.data(),
        settle_s=strategies.sampled_from((0.1, 1.0, 4.0)),
    )
    def act(self, action, data, settle_s):
        action(
            self.world,
            lambda options: data.draw(strategies.sampled_from(options)),
        )
        self.world.advance(settle_s)

    def teardown(self):
        if self.world is not None:
            finish(self.world)


ControlMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    print_blob=True,
)
TestControlMachine = ControlMachine.TestCase


class TestRandomWalks:

    @pytest.mark.parametrize("seed", range(16))
    def test_properties_hold(self, seed):
        """Guards against sequences of faults that violate ownership."""
        world = walk(seed)
        assert world.sends > 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--steps", type=int, default=40)
    options = parser.parse_args()
    if options.seed is not None:
        walk(options.seed, options.steps)
        return 0
    seed = secrets.randbelow(2**32)
    print(f"first seed {seed}")
    end_s = time.monotonic() + options.seconds
    count = 0
    while time.monotonic() < end_s:
        try:
            walk(seed + count, options.steps)
        except AssertionError as error:
            print(f"seed {seed + count} steps {options.steps}: {error}")
            return 1
        count += 1
    print(f"{count} walks held")
    return 0


if __name__ == "__main__":
    sys.exit(main())

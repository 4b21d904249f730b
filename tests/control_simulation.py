"""Simulates the control services of several entries and their network.

Time is virtual. Coroutines of the services suspend at every call to the
platform or to a peer. An event queue determines when, and whether, the call
takes effect and its response arrives. `World` checks the ownership properties
at each send and at each write to the store.
"""

import heapq
import itertools
import random

from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import control
from baobabdoor import fleet_api
from baobabdoor import maintenance
from baobabdoor import membership
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor import timeline

CALL_TIMEOUT_S = 2.0
POOLS = ("p", "q")
CHANGES = ("transact", "drain_vm", "undrain_vm", "reboot_vm")
REGION = "luzon"
# Shorter than a reboot, so that rows of failed VMs are deleted and created
# again.
FORGET_FAILED_S = 4.0


def make_deployment():
    def preset(minimum, budget, enabled):
        promise = settings.PoolPromise(
            min_workers=minimum, availability_budget=budget, max_workers=6
        )
        return settings.Preset(
            pools=dict.fromkeys(POOLS, promise),
            maintenance=settings.MaintenancePolicy(enabled=enabled),
        )

    pool = settings.Pool(workers=3, cores=1, memory_gb=1, reboot_s=6.0)
    return settings.Deployment(
        deployment="test",
        region=REGION,
        availability_zones=[
            settings.AvailabilityZone(name="a", neighbours=["b"]),
            settings.AvailabilityZone(name="b", neighbours=["a"]),
        ],
        spare_pool="q",
        pools=dict.fromkeys(POOLS, pool),
        presets={
            "ordinary": preset(1, 1, True),
            "peak": preset(3, 1, False),
            "maintenance": preset(1, 2, True),
        },
        initial_preset="ordinary",
        weights=settings.Weights(flood=1, buffer_cost=0, moves=0, roll_out=0),
    )


class Suspend:
    """Awaitable that suspends a coroutine until the simulation resumes it."""

    def __init__(self, start):
        self.start = start

    def __await__(self):
        return (yield self)


class EntryTimers(base.TimerService):
    """Timers of one entry; the monotonic clock stops with a suspended VM."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry
        self.suspended_s = 0.0

    def now_s(self):
        return self.world.now_s - self.suspended_s

    def wall_ms(self):
        return 1_700_000_000_000 + int(self.world.now_s * 1000)

    def call_later(self, delay_s, callback):
        subscription = base.Subscription(callback)

        def fire():
            if not subscription.cancelled:
                callback()

        self.world.schedule(delay_s, fire, self.entry)
        return subscription


class EntryPlatform:
    """Platform client of one entry on the simulated network."""

    def __init__(self, world, entry):
        self.world = world
        self.entry = entry

    def __getattr__(self, operation):
        async def call(*arguments):
            return await Suspend(
                lambda resume: self.world.call_platform(
                    self.entry, operation, arguments, resume
                )
            )

        return call


class SimulatedPeerClient(control.PeerClient):
    """Sends signed messages over the simulated network."""

    def __init__(self, world, entry, service):
        super().__init__(service.signer, service.peers)
        self.world = world
        self.entry = entry

    async def _post(self, entry_id, path, headers, body, timeout_s):
        content = membership.SignedContent(path, headers, body)
        envelope = self.signer.sign_request(entry_id, content)
        answer = await Suspend(
            lambda resume: self.world.call_peer(
                self.entry, envelope, content, timeout_s, resume
            )
        )
        if isinstance(answer, base.Refusal):
            return answer
        answer_envelope, status, answer_body = answer
        content = membership.SignedContent(f"{path}#{status}", {}, answer_body)
        refusal = self.signer.verify_response(
            envelope, answer_envelope, content
        )
        if refusal is not None:
            return refusal
        if status == 409:
            return base.Refusal(base.Reason.PEER_GONE, "test", entry_id)
        return answer_body


class Configuration:
    """Reads the active preset from the simulated store."""

    def __init__(self, world, entry_platform):
        self.world = world
        self.platform = entry_platform
        self.deployment = world.deployment
        self.preset_name = "ordinary"
        self.generation = 0

    async def poll(self):
        rows = await self.platform.read(["config/current"])
        if not isinstance(rows, base.Refusal):
            value = rows["config/current"].value
            if value is not None:
                self.preset_name = value["preset"]
                self.generation = value["generation"]

    async def observe_generation(self, peer_id, generation):
        del peer_id, generation


class RequestedMoves(capacity.CapacityPolicy):
    """Plans the moves that a test requests, without any check."""

    def __init__(self, world):
        self.world = world

    def plan(self, snapshot, demand, deployment, preset, now_s):
        del demand, deployment, preset, now_s
        return [
            capacity.Move(vm_id, snapshot.vms[vm_id].pool, pool, "test")
            for vm_id, pool in sorted(self.world.moves.items())
            if vm_id in snapshot.vms
        ]


class RequestedReboots(maintenance.MaintenancePolicy):
    """Plans the reboots that a test requests, without any check."""

    def __init__(self, world):
        self.world = world

    def plan(self, snapshot, deployment, preset, wall_ms):
        del deployment, preset, wall_ms
        return [
            maintenance.StartMaintenance(vm_id, vm.pool, "test")
            for vm_id, vm in sorted(snapshot.vms.items())
            if vm.last_maintained_ms < self.world.maintain_before.get(vm_id, 0)
        ]


class SimulatedControlService(control.ControlService):
    """Control service whose coroutines the simulation runs."""

    def attach(self, world, entry):
        self.world = world
        self.entry = entry
        self.peer_client = SimulatedPeerClient(world, entry, self)

    def _spawn(self, function):
        self.world.run(self.entry, function())

    async def _sleep(self, delay_s):
        await Suspend(
            lambda resume: self.world.schedule(
                delay_s, lambda: resume(None), self.entry
            )
        )


class Entry:
    """One entry process."""

    def __init__(self, world, entry_id, zone, port, boot_id):
        self.world = world
        self.entry_id = entry_id
        self.zone = zone
        self.port = port
        self.boot_id = boot_id
        self.is_dead = False
        self.is_paused = False
        self.is_leaving = False
        self.deferred = []
        self.sending = {}
        self.timers = EntryTimers(world, self)
        self.platform = EntryPlatform(world, self)
        address = {
            name: settings.Address(host="127.0.0.1", port=number)
            for name, number in (
                ("caller", port + 500),
                ("control", port),
                ("platform", 1),
            )
        }
        clock = base.HybridClock(self.timers.wall_ms)
        self.service = SimulatedControlService(
            settings.EntrySettings(
                entry_id=entry_id,
                region=REGION,
                availability_zone=zone,
                peer_key="k" * 32,
                operator_token="t" * 16,
                boot_id=boot_id,
                peers=[
                    settings.PeerAddress(
                        entry_id=name,
                        availability_zone=peer_zone,
                        control=settings.Address(
                            host="127.0.0.1", port=peer_port
                        ),
                    )
                    for name, peer_zone, peer_port in world.seeds
                    if name != entry_id
                ],
                **address,
            ),
            self.platform,
            self.timers,
            timeline.EventRecorder(entry_id, clock),
            observability.Metrics(),
            Configuration(world, self.platform),
            make_capacity_policy=lambda name: RequestedMoves(world),
            maintenance_policy=RequestedReboots(world),
        )
        self.service.attach(world, self)
        self.service.controller.forget_failed_s = world.forget_failed_s
        self.service.set_sending_check(
            lambda vm_id: self.sending.get(vm_id, 0) > 0
        )

    def start(self):
        self.world.run(self, self.service.start())
        self.timers.every(0.2, self.choose)

    def choose(self):
        """Selects a worker now and sends a request to it after a delay."""
        if self.is_leaving:
            return
        rng = self.world.rng
        pool = rng.choice(POOLS)
        workers = self.service.view.workers(pool)
        if workers:
            vm = rng.choice(workers)
            delay_s = rng.choice((0.0, 0.0, 0.1, 1.0))
            send = lambda: self.send(vm.vm_id, pool)  # noqa: E731
            self.world.schedule(delay_s, send, self)

    def send(self, vm_id, pool):
        now_s = self.timers.now_s()
        if self.service.view.permit(vm_id, now_s, pool) is not None:
            return
        self.world.check_send(self, vm_id, pool)
        self.sending[vm_id] = self.sending.get(vm_id, 0) + 1
        duration_s = self.world.rng.choice((0.0, 0.05, 0.2))
        if self.world.rng.random() < self.world.long_send_rate:
            duration_s = 2.5
        self.world.schedule(duration_s, lambda: self.end(vm_id), self)

    def end(self, vm_id):
        self.sending[vm_id] -= 1


class World:
    """Simulates entries, network and platform, and checks the properties."""

    def __init__(self, seed=0, entry_zones="aab", vm_zones="aaab"):
        self.rng = random.Random(seed)
        self.forget_failed_s = self.rng.choice((FORGET_FAILED_S, 3600.0))
        self.now_s = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.deployment = make_deployment()
        self.moves = {}
        self.maintain_before = {}
        self.partitioned_zones = set()
        self.zones_without_platform = set()
        self.long_send_rate = self.rng.choice((0.01, 0.2))
        self.decision_presets = {}
        self.isolated = set()
        self.stalled = set()
        self.is_platform_down = False
        self.loss_rate = 0.0
        self.delayed_write_rate = 0.0
        self.max_extra_latency_s = 0.0
        self.sends = 0
        self.boots = itertools.count(1)
        self.ended_boots = set()
        self.seeds = [
            (f"e{index}", zone, 23000 + index)
            for index, zone in enumerate(entry_zones)
        ]
        self.rows_ = None
        self.core = standin.PlatformCore(
            _PlatformTimers(self), list_lag_s=self.rng.choice((0.1, 1.0, 3.0))
        )
        self.entries = {}
        self.duplicates = []
        for index, zone in enumerate(vm_zones * 2):
            self.core.vms.add(
                standin.VmSpec(
                    vm_id=f"vm{index}",
                    address=f"10.0.0.{index + 1}:80",
                    availability_zone=zone,
                    rack=f"{zone}1",
                    pool_hint=POOLS[index % 2],
                    reboot_s=6.0,
                ),
                listed_at_once=True,
            )
        for entry_id, _, _ in self.seeds:
            self.start_entry(entry_id)

    # Events.

    def schedule(self, delay_s, function, owner=None):
        event = (self.now_s + delay_s, next(self.sequence), function, owner)
        heapq.heappush(self.queue, event)

    def advance(self, duration_s):
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            due_s, _, function, owner = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, due_s)
            if owner is None:
                function()
            elif owner.is_dead:
                continue
            elif owner.is_paused:
                owner.deferred.append(function)
            else:
                function()
        self.now_s = end_s
        for entry in self.entries.values():
            for activity in entry.service.activities_:
                assert not activity.failures_, f"failed: {activity.name}"

    def run(self, entry, coroutine, value=None):
        """Runs a coroutine of an entry until it suspends or returns."""
        if entry.is_dead:
            return
        try:
            suspend = coroutine.send(value)
        except StopIteration:
            return
        suspend.start(lambda result: self.run(entry, coroutine, result))

    # Platform.

    def call_platform(self, entry, operation, arguments, resume):
        state = {"answered": False}

        def answer(result):
            if not state["answered"]:
                state["answered"] = True
                resume(result)

        refusal = base.Refusal(
            base.Reason.PLATFORM_UNAVAILABLE, operation, "platform"
        )
        lost = refusal
        if operation in CHANGES:
            lost = fleet_api.Unknown(refusal)
        preset = entry.service.preset_name
        if operation == "transact":
            # A retried transaction was planned under the earlier preset.
            conditions, writes = arguments
            key = (entry, repr(conditions), repr(writes))
            preset = self.decision_presets.setdefault(key, preset)
        apply = lambda: self.apply(entry, operation, arguments, preset)  # noqa: E731
        if self.is_platform_down:
            self.schedule(0.01, lambda: answer(refusal), entry)
            return
        self.schedule(CALL_TIMEOUT_S, lambda: answer(lost), entry)
        if (
            entry.zone in self.zones_without_platform
            or entry.entry_id in self.isolated
        ):
            return
        chance = self.rng.random()
        is_stalled = entry in self.stalled and operation == "transact"
        delay_rate = 1.0 if is_stalled else self.delayed_write_rate
        if operation in CHANGES and chance < delay_rate:
            self.schedule(self.rng.uniform(0, 20), apply)
            return
        latency_s = (
            self.rng.uniform(0, 0.05)
            + self.rng.random() * self.max_extra_latency_s
        )
        is_lost = delay_rate <= chance < delay_rate + self.loss_rate

        def deliver():
            result = apply()
            if not is_lost:
                delay_s = self.rng.uniform(0, 0.02) + self.rng.random() * (
                    self.max_extra_latency_s
                )
                self.schedule(delay_s, lambda: answer(result), entry)

        self.schedule(latency_s, deliver)

    def apply(self, entry, operation, arguments, preset):
        before = None
        if operation == "transact":
            before = self.rows()
        elif operation in ("drain_vm", "reboot_vm"):
            self.check_operation(operation, *arguments)
        if operation == "list_vms":
            return self.core.list_vms().records
        result = getattr(self.core, operation)(*arguments)
        if isinstance(result, fleet_api.Committed):
            self.rows_ = None
            self.check_commit(entry, arguments[1], preset, before)
        return result

    # Network between entries.

    def call_peer(self, entry, envelope, content, timeout_s, resume):
        state = {"answered": False}

        def answer(result):
            if not state["answered"]:
                state["answered"] = True
                resume(result)

        lost = base.Refusal(base.Reason.UNKNOWN_RESULT, "test")
        self.schedule(timeout_s, lambda: answer(lost), entry)
        if self.rng.random() < self.loss_rate:
            return
        copies = 2 if self.rng.random() < 0.05 else 1
        for _ in range(copies):
            late_s = self.rng.uniform(0, 12) if self.rng.random() < 0.03 else 0
            delay_s = self.rng.uniform(0, 0.02) + late_s
            delay_s += self.rng.random() * self.max_extra_latency_s
            self.schedule(
                delay_s,
                lambda: self.receive(entry, envelope, content, answer),
            )

    def receive(self, sender, envelope, content, answer):
        receiver = self.entries.get(envelope.receiver)
        if receiver is None or receiver.is_dead or sender.is_dead:
            return
        if {sender.entry_id, receiver.entry_id} & self.isolated:
            return
        cut = {sender.zone, receiver.zone} & self.partitioned_zones
        if cut and sender.zone != receiver.zone:
            return
        if receiver.is_paused:
            receiver.deferred.append(
                lambda: self.receive(sender, envelope, content, answer)
            )
            return
        signer = receiver.service.signer

        def reply(status, body):
            path = f"{content.path}#{status}"
            answer_content = membership.SignedContent(path, {}, body)
            signed = signer.sign_response(envelope, answer_content)
            if self.rng.random() < self.loss_rate:
                return
            delay_s = (
                self.rng.uniform(0, 0.02)
                + self.rng.random() * self.max_extra_latency_s
            )
            delivered = (signed, status, body)
            self.schedule(delay_s, lambda: answer(delivered), sender)

        refusal = signer.verify_request(envelope, content)
        if refusal is None:

            async def handle():
                body = await receiver.service._handle_exchange(
                    envelope.sender, envelope.incarnation, content.body
                )
                reply(200, body)

            self.run(receiver, handle())
        elif refusal.reason is base.Reason.PEER_GONE:
            reply(409, b"")

    # Faults and requests.

    def start_entry(self, entry_id, port=None, boot_id=None):
        """Starts a process; any earlier process on its port must be dead."""
        known = {name: (zone, seed) for name, zone, seed in self.seeds}
        zone, seed_port = known[entry_id]
        if boot_id is None:
            boot_id = f"{entry_id}.boot{next(self.boots)}"
            spec = standin.VmSpec(
                vm_id=entry_id,
                address=f"127.0.0.1:{seed_port}",
                availability_zone=zone,
                rack="",
                boot_id=boot_id,
            )
            self.core.vms.add(spec)
        entry = Entry(self, entry_id, zone, port or seed_port, boot_id)
        self.entries[entry_id] = entry
        entry.start()

    def kill(self, entry_id):
        """Kills a process; its VM keeps running."""
        self.entries[entry_id].is_dead = True

    def restart(self, entry_id):
        """Restarts the process on the same VM without its state."""
        self.kill(entry_id)
        old = self.entries[entry_id]
        if old.boot_id not in self.ended_boots:
            self.start_entry(entry_id, old.port, old.boot_id)

    def start_dead(self, entry_id):
        """Replaces a dead process, on the same VM if that still runs."""
        old = self.entries[entry_id]
        if old.boot_id in self.ended_boots:
            self.start_entry(entry_id)
        elif old.is_dead:
            self.start_entry(entry_id, old.port, old.boot_id)

    def holder(self):
        """Returns the entry that holds the control lease, if it is alive."""
        key = ownership.control_key(REGION)
        value = self.core.read([key])[key].value or {}
        entry = self.entries.get(value.get("holder"))
        return None if entry is None or entry.is_dead else entry

    def terminate(self, entry_id):
        """Terminates the VM of an entry."""
        self.kill(entry_id)
        self.ended_boots.add(self.entries[entry_id].boot_id)
        self.core.vms.terminate(entry_id)

    def leave(self, entry_id):
        """Stops an entry gracefully."""
        entry = self.entries[entry_id]
        if entry.is_dead or entry.is_paused or entry.is_leaving:
            return
        entry.is_leaving = True

        async def stop():
            await entry.service.stop()
            entry.is_dead = True

        def wait():
            # The daemon stops the control service after its last request.
            if any(entry.sending.values()):
                self.schedule(0.1, wait, entry)
            else:
                self.run(entry, stop())

        wait()

    def pause(self, entry_id):
        self.entries[entry_id].is_paused = True

    def resume(self, entry_id):
        entry = self.entries[entry_id]
        entry.is_paused = False
        deferred, entry.deferred = entry.deferred, []
        self.rng.shuffle(deferred)
        for function in deferred:
            if not entry.is_dead:
                function()

    def switch_preset(self, preset):
        row = self.core.read(["config/current"])["config/current"]
        value = {"preset": preset, "generation": row.version + 1}
        self.core.transact([], [fleet_api.Write("config/current", value)])

    def heal(self):
        """Ends all faults, resumes paused entries and restarts dead ones."""
        self.partitioned_zones.clear()
        self.zones_without_platform.clear()
        self.isolated.clear()
        self.stalled.clear()
        self.is_platform_down = False
        self.loss_rate = self.delayed_write_rate = self.max_extra_latency_s = (
            0.0
        )
        self.moves.clear()
        self.maintain_before.clear()
        for entry_id, entry in list(self.entries.items()):
            if entry.is_paused:
                self.resume(entry_id)
            if entry.is_leaving and not entry.is_dead:
                self.advance(15.0)
            if entry.is_dead:
                self.start_dead(entry_id)

    # Properties.

    def rows(self):
        """Returns the VM rows in the store, by VM."""
        if self.rows_ is None:
            self.rows_ = {
                row.key.rpartition("/")[2]: ownership.from_json(
                    row.value, ownership.VmRow
                )
                for row in self.core.scan(ownership.VM_PREFIX)
            }
        return self.rows_

    def check_send(self, entry, vm_id, pool):
        """Checks that VMs get requests of one pool and none while draining."""
        self.sends += 1
        row = self.rows().get(vm_id)
        if row is None:
            # The row was deleted after the VM failed; nothing runs on it.
            return
        phase = ownership.Phase
        allowed = row.phase in (phase.SERVING, phase.LEAVING, phase.FAILED)
        # A VM that failed and returns stays in its pool.
        is_back = row.phase is phase.JOINING and not row.target_pool
        assert row.pool == pool and (allowed or is_back), (
            f"send: {entry.entry_id} to {vm_id} for {pool} at"
            f" {self.now_s:.2f} while it is {row}"
        )

    def check_operation(self, operation, vm_id, boot_id):
        """Checks that drained VMs are idle and that reboots have an intent."""
        row = self.rows().get(vm_id)
        vm = self.core.vms.get(vm_id)
        if row is None or vm.record.boot_id != boot_id:
            return
        phase = ownership.Phase
        if operation == "reboot_vm":
            written = row.phase in (phase.REBOOTING, phase.FAILED)
            assert (
                written and row.boot_id == boot_id
            ), f"operation: reboot of {vm_id} {boot_id} while it is {row}"
        if operation == "drain_vm" and row.phase is phase.DRAINING:
            # A send under a lease started before the lease expired, so the VM
            # is already processing it. Sends without a lease must have ended.
            zone = vm.record.availability_zone
            busy = [
                entry.entry_id
                for entry in (*self.entries.values(), *self.duplicates)
                if entry.zone == zone
                and entry.service.member.is_home_view_valid_
                and not entry.is_dead
                and entry.sending.get(vm_id)
            ]
            assert not busy, f"drain: {busy} still sends to {vm_id}"

    def check_commit(self, entry, writes, preset_name, before):
        """Checks that only the lease holder writes VM rows, within the limits.

        A VM leaves service only within the availability budget and the promised
        number of workers of its pool.
        """
        touched = [
            write.key.rpartition("/")[2]
            for write in writes
            if write.key.startswith(ownership.VM_PREFIX)
        ]
        if not touched:
            return
        key = ownership.control_key(REGION)
        holder = self.core.read([key])[key].value
        assert (
            holder is not None and holder["holder"] == entry.entry_id
        ), f"epoch: {entry.entry_id} wrote {touched} while {holder} holds"
        after = self.rows()
        promises = self.deployment.presets[preset_name].pools
        for vm_id in touched:
            row, old = after.get(vm_id), before.get(vm_id)
            started = (
                row is not None
                and row.phase is ownership.Phase.LEAVING
                and (old is not None and old.phase is ownership.Phase.SERVING)
            )
            if not started:
                continue
            members = [vm for vm in after.values() if vm.pool == row.pool]
            serving = sum(vm.phase is ownership.Phase.SERVING for vm in members)
            out = len(members) - serving
            promise = promises[row.pool]
            assert (
                out <= promise.availability_budget
            ), f"budget: {out} of {row.pool} are out"
            assert (
                serving >= promise.min_workers
            ), f"promise: {row.pool} has {serving} left"


class _PlatformTimers(base.TimerService):
    """Timers of the simulated platform."""

    def __init__(self, world):
        self.world = world

    def now_s(self):
        return self.world.now_s

    def wall_ms(self):
        return int(self.world.now_s * 1000)

    def call_later(self, delay_s, callback):
        self.world.schedule(delay_s, callback)
        return base.Subscription(callback)

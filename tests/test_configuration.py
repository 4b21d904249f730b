"""Tests of configuration changes, concurrent and with lost answers."""

import pathlib

import attrs
import fuzzing
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from baobabdoor import base
from baobabdoor import configuration
from baobabdoor import fleet_api
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor import timeline

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/federation.yaml"
DEPLOYMENT = settings.load_deployment(str(EXAMPLE))
PRESETS = sorted(DEPLOYMENT.presets)


def make_recorder(timers):
    return timeline.EventRecorder("test", base.HybridClock(timers.wall_ms))


class Bench(fuzzing.VirtualBench):
    """Operators and entries on one platform."""

    def __init__(self):
        super().__init__()
        self.platform = standin.MemoryPlatform(self.timers)
        self.platform.faults = self.faults

    def committer(self, kind=configuration.ChangeCommitter):
        client = self.platform.client()
        client.faults = self.platform.faults
        return kind(client, self.timers.wall_ms)

    def store(self, kind=configuration.ConfigurationStore):
        return kind(self.platform.client(), make_recorder(self.timers))

    def history(self):
        rows = self.run(self.platform.client().scan("config/history/"))[0]
        return [
            configuration.HistoryRow.from_json(row.value)
            for row in sorted(rows, key=lambda row: row.key)
        ]


@pytest.fixture(name="bench")
def fixture_bench():
    bench = Bench()
    yield bench
    bench.close()


def apply_change(change_id="change-apply", **fields):
    return configuration.Change(
        change_id,
        "ana",
        configuration.ChangeKind.APPLY,
        deployment=DEPLOYMENT,
        **fields,
    )


def switch(change_id, preset, operator="ana", **fields):
    return configuration.Change(
        change_id,
        operator,
        configuration.ChangeKind.SWITCH,
        preset=preset,
        **fields,
    )


class TestDocuments:

    def test_round_trip_and_minimal_differences(self):
        """Guards against rewriting all sections when one pool changes."""
        manifest, objects = configuration.split_document(DEPLOYMENT)
        assert configuration.join_sections(manifest, objects) == DEPLOYMENT
        pool = attrs.evolve(DEPLOYMENT.pools["jury-desk"], cores=12)
        pools = {**DEPLOYMENT.pools, "jury-desk": pool}
        changed = attrs.evolve(DEPLOYMENT, pools=pools)
        other, _ = configuration.split_document(changed)
        differing = [
            name
            for name in manifest.sections
            if manifest.sections[name] != other.sections[name]
        ]
        assert differing == ["pools/jury-desk"]

    def test_missing_section_is_refused(self):
        manifest, _ = configuration.split_document(DEPLOYMENT)
        refusal = configuration.join_sections(manifest, {})
        assert isinstance(refusal, base.Refusal)


class TestChangeCommitter:

    def test_apply_then_switch(self, bench):
        committer = bench.committer()
        results = [
            bench.run(committer.submit(apply_change(), None))[0],
            bench.run(committer.submit(switch("change-1", "peak"), DEPLOYMENT))[
                0
            ],
        ]
        assert results == [
            configuration.Applied(1),
            configuration.Applied(2),
        ]
        assert [row.preset for row in bench.history()] == ["ordinary", "peak"]

    def test_repeated_command_does_not_apply_over_a_later_switch(self, bench):
        """Guards against a repeated command that reverts a later change."""
        committer = bench.committer()
        bench.run(committer.submit(apply_change(), None))
        bench.run(committer.submit(switch("change-1", "peak"), DEPLOYMENT))
        later = switch("change-2", "maintenance", "ben")
        bench.run(committer.submit(later, DEPLOYMENT))
        again = switch("change-1", "peak", repeated=True)
        [result] = bench.run(committer.submit(again, DEPLOYMENT))
        assert isinstance(result, configuration.Superseded)
        assert result.current.operator == "ben"
        assert len(bench.history()) == 3

    def test_one_of_two_concurrent_changes_applies(self, bench):
        """Guards against accepting two changes of the same generation."""
        bench.run(bench.committer().submit(apply_change(), None))
        bench.platform.faults.slow_s = 0.5
        results = bench.run(
            bench.committer().submit(
                switch("change-a", "peak", "ana"), DEPLOYMENT
            ),
            bench.committer().submit(
                switch("change-b", "maintenance", "ben"), DEPLOYMENT
            ),
        )
        kinds = sorted(type(result).__name__ for result in results)
        assert kinds == ["Applied", "NotApplied"]
        [loser] = [
            result
            for result in results
            if isinstance(result, configuration.NotApplied)
        ]
        assert loser.winner.change_id in loser.refusal.detail
        assert loser.winner.operator in loser.refusal.detail

    def test_lost_answer_is_resolved_as_applied(self, bench):
        committer = bench.committer()
        bench.platform.faults.lose_answers = 1
        manifest, objects = configuration.split_document(DEPLOYMENT)
        for content in (*objects.values(), manifest.to_bytes()):
            bench.run(bench.platform.client().put_object(content))
        bench.platform.faults.lose_answers = 0
        bench.run(committer.submit(apply_change(), None))
        bench.platform.faults.lose_answers = 1
        change = switch("change-1", "peak")
        [result] = bench.run(committer.submit(change, DEPLOYMENT))
        assert result == configuration.Applied(2)
        assert len(bench.history()) == 2

    def test_abandoned_change_is_not_applied_by_a_delayed_write(self, bench):
        """Guards against applying a change after reporting "not applied"."""
        committer = bench.committer()
        bench.run(committer.submit(apply_change(), None))
        bench.platform.faults.delay_writes = -1
        bench.platform.faults.delay_s = 60
        change = switch("change-1", "peak")
        [result] = bench.run(committer.submit(change, DEPLOYMENT))
        assert isinstance(result, configuration.OutcomeUnknown)
        bench.platform.faults.delay_writes = 0
        [result] = bench.run(committer.resolve("change-1"))
        assert isinstance(result, configuration.NotApplied)
        bench.wait(120)
        assert [row.change_id for row in bench.history()] == ["change-apply"]

    def test_unknown_preset_is_refused_with_known_ones(self, bench):
        committer = bench.committer()
        bench.run(committer.submit(apply_change(), None))
        change = switch("change-1", "festive")
        [result] = bench.run(committer.submit(change, DEPLOYMENT))
        assert "expected one of maintenance, ordinary, peak" in (
            result.refusal.detail
        )

    def test_unexpected_generation_is_a_conflict(self, bench):
        committer = bench.committer()
        bench.run(committer.submit(apply_change(), None))
        change = switch("change-1", "peak", expected_generation=7)
        [result] = bench.run(committer.submit(change, DEPLOYMENT))
        assert result.winner.generation == 1

    def test_repeated_command_during_an_outage_is_unknown(self, bench):
        """Guards against "not applied" for a change that may have applied."""
        bench.platform.faults.down = True
        change = switch("change-1", "peak", repeated=True)
        [result] = bench.run(bench.committer().submit(change, DEPLOYMENT))
        assert isinstance(result, configuration.OutcomeUnknown)


class PeerStores(configuration.PeerSource):
    """Serves the configurations of other stores in the same process."""

    def __init__(self, stores):
        self.stores = stores

    async def fetch_current(self, peer_id):
        current = self.stores[peer_id].current_
        if current is None:
            return base.Refusal(base.Reason.NOT_FOUND, "test.peer", peer_id)
        return current.row

    async def fetch_object(self, peer_id, digest):
        content = self.stores[peer_id].cached_object(digest)
        return content or base.Refusal(
            base.Reason.NOT_FOUND, "test.peer", peer_id
        )


class TestConfigurationStore:

    def test_follows_a_peer_while_the_platform_is_down(self, bench):
        bench.run(bench.committer().submit(apply_change(), None))
        first, second = bench.store(), bench.store()
        bench.run(first.poll())
        second.peers = PeerStores({"first": first})
        second.platform.faults.down = True
        assert second.ready().reason is base.Reason.NOT_READY
        bench.run(second.observe_generation("first", first.generation))
        assert second.ready() is None
        assert second.deployment == DEPLOYMENT

    def test_stale_read_does_not_revert_the_preset(self, bench):
        """Guards against a stale read that restores an earlier preset."""
        committer = bench.committer()
        bench.run(committer.submit(apply_change(), None))
        store = bench.store()
        bench.run(store.poll())
        old_row = store.current_.row
        bench.run(committer.submit(switch("change-1", "peak"), DEPLOYMENT))
        bench.run(store.poll())

        class StaleTable:

            async def read(self, keys):
                row = fleet_api.Row(keys[0], 1, old_row.to_json())
                return {keys[0]: row}

        store.platform = StaleTable()
        [refusal] = bench.run(store.poll())
        assert refusal.reason is base.Reason.OUTDATED_GENERATION
        assert store.preset_name == "peak"

    def test_object_that_does_not_match_its_hash_is_refused(self, bench):
        bench.run(bench.committer().submit(apply_change(), None))
        store = bench.store()

        async def forged(digest):
            del digest
            return b"{}"

        store.platform.get_object = forged
        [refusal] = bench.run(store.poll())
        assert refusal.reason is base.Reason.FORGED
        assert store.current_ is None


FAULTS = [
    {},
    {"down": True},
    {"silent": True},
    {"slow_s": 1.0},
    {"lose_answers": 1},
    {"lose_answers": 5},
    {"delay_writes": 1, "delay_s": 9.0},
    {"delay_writes": 5, "delay_s": 30.0},
]


class ChangesMachine(stateful.RuleBasedStateMachine):
    """Operators race over a faulty platform; an oracle reads the table."""

    committer_kind = configuration.ChangeCommitter
    store_kind = configuration.ConfigurationStore

    def __init__(self):
        super().__init__()
        self.bench = Bench()
        self.stores = {
            name: self.bench.store(self.store_kind) for name in ("a", "b")
        }
        for store in self.stores.values():
            store.peers = PeerStores(self.stores)
        self.seen = dict.fromkeys(self.stores, 0)
        self.applied = set()
        self.not_applied = set()
        self.unknown = set()
        self.count = 0
        self.bench.run(self.bench.committer().submit(apply_change(), None))

    def teardown(self):
        self.bench.close()

    def note(self, change_id, result):
        self.unknown.discard(change_id)
        if isinstance(result, configuration.NotApplied):
            self.not_applied.add(change_id)
        elif isinstance(result, configuration.OutcomeUnknown):
            self.unknown.add(change_id)
        else:
            self.applied.add(change_id)

    def new_switch(self, preset):
        self.count += 1
        return switch(f"change-{self.count:04d}", preset)

    @stateful.rule(preset=st.sampled_from(PRESETS))
    def submit(self, preset):
        change = self.new_switch(preset)
        committer = self.bench.committer(self.committer_kind)
        [result] = self.bench.run(committer.submit(change, DEPLOYMENT))
        self.note(change.change_id, result)

    @stateful.rule(first=st.sampled_from(PRESETS))
    def race(self, first):
        changes = [self.new_switch(first), self.new_switch("peak")]
        committers = [
            self.bench.committer(self.committer_kind) for _ in changes
        ]
        results = self.bench.run(
            *(
                committer.submit(change, DEPLOYMENT)
                for committer, change in zip(committers, changes, strict=True)
            )
        )
        for change, result in zip(changes, results, strict=True):
            self.note(change.change_id, result)

    @stateful.rule()
    def resolve(self):
        committer = self.bench.committer(self.committer_kind)
        for change_id in sorted(self.unknown):
            [result] = self.bench.run(committer.resolve(change_id))
            self.note(change_id, result)

    @stateful.rule(fault=st.sampled_from(FAULTS))
    def set_faults(self, fault):
        self.bench.set_faults(fault)

    @stateful.rule(
        preset=st.sampled_from(PRESETS), fault=st.sampled_from(FAULTS)
    )
    def submit_through_a_short_fault(self, preset, fault):
        self.set_faults(fault)
        self.submit(preset)
        self.set_faults({})

    @stateful.rule(
        preset=st.sampled_from(PRESETS), fault=st.sampled_from(FAULTS)
    )
    def look_up_after_a_short_fault(self, preset, fault):
        self.submit_through_a_short_fault(preset, fault)
        self.resolve()
        self.wait(40.0)

    @stateful.rule(name=st.sampled_from(["a", "b"]), stale=st.booleans())
    def poll(self, name, stale):
        store = self.stores[name]
        history = self.bench.history()
        if stale:
            row = history[0]
            old = configuration.CurrentRow(
                row.generation,
                row.manifest,
                row.preset,
                row.change_id,
                row.operator,
            )
            self.bench.run(store._adopt(old, ""))
        else:
            self.bench.run(store.poll())

    @stateful.rule(name=st.sampled_from(["a", "b"]))
    def exchange(self, name):
        other = "b" if name == "a" else "a"
        generation = self.stores[other].generation
        store = self.stores[name]
        self.bench.run(store.observe_generation(other, generation))

    @stateful.rule(duration_s=st.sampled_from([1.0, 40.0]))
    def wait(self, duration_s):
        self.bench.wait(duration_s)

    @stateful.invariant()
    def generations_never_go_back(self):
        for name, store in self.stores.items():
            assert store.generation >= self.seen[name]
            self.seen[name] = store.generation

    @stateful.invariant()
    def answers_are_true(self):
        rows = self.bench.history()
        generations = [row.generation for row in rows]
        assert generations == list(range(1, len(rows) + 1))
        accepted = [row.change_id for row in rows]
        assert len(set(accepted)) == len(accepted)
        assert self.applied <= set(accepted)
        assert not self.not_applied & set(accepted)


class HastyCommitter(configuration.ChangeCommitter):
    """Fault: reports "not applied" without abandoning the change."""

    async def resolve(self, change_id):
        earlier = await self._earlier_result(change_id)
        refusal = base.Refusal(base.Reason.CANCELLED, "test.resolve")
        return earlier or configuration.NotApplied(refusal)


class UnconditionalCommitter(configuration.ChangeCommitter):
    """Fault: commits without comparing the version of the current row."""

    async def _commit(self, change, plan):
        writes = self._writes(change, plan)
        await self.platform.transact([], writes)
        return configuration.Applied(plan.row.generation)


class OptimisticCommitter(configuration.ChangeCommitter):
    """Fault: treats a lost answer as a failure."""

    async def _commit(self, change, plan):
        result = await super()._commit(change, plan)
        if isinstance(result, configuration.OutcomeUnknown):
            return configuration.NotApplied(result.refusal)
        return result


class RevertingStore(configuration.ConfigurationStore):
    """Fault: adopts lower generations."""

    async def _adopt(self, row, peer_id):
        self.current_ = None
        return await super()._adopt(row, peer_id)


FAULTY = {
    "resolve without abandoning": {"committer_kind": HastyCommitter},
    "no compare-and-set": {"committer_kind": UnconditionalCommitter},
    "lost answer as failure": {"committer_kind": OptimisticCommitter},
    "adopts lower generations": {"store_kind": RevertingStore},
}


class TestChangesUnderFaults:

    def test_every_answer_is_true(self):
        stateful.run_state_machine_as_test(
            ChangesMachine, settings=fuzzing.FUZZ
        )

    @pytest.mark.parametrize("fault", FAULTY, ids=str)
    def test_planted_fault_is_rejected(self, fault):
        """Shows that the properties above can fail."""
        machine = type("FaultyMachine", (ChangesMachine,), FAULTY[fault])
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                machine, settings=fuzzing.PLANTED
            )

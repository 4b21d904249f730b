"""Tests that the next leader finds each worker that may have runs.

A worker gets starts only while the stored roster certainly lists this life of
it at its address; the next leader would start its tasks a second time.
"""

import asyncio

import dispatch_fixtures
import pytest
import scheduling_fixtures
import test_dispatch_commits

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _commits

JOB = test_dispatch_commits.JOB
ADDRESS = "10.0.0.2:80"
NEXT_ADDRESS = "10.0.0.9:80"


def started_elsewhere(orders):
    return [
        order for order in orders if isinstance(order, scheduling.StartOrder)
    ]


class Term:
    """A term with workers w1 and w2, of which only w1 may get starts."""

    def __init__(self):
        self.bench = test_dispatch_commits.Bench(("w1", "w2"))
        # Tokens are versions of the store, above the term's own.
        self.bench.store.version = 100
        self.fleet = self.bench.fleet
        self.fleet.scheduler.workers["w2"].cordoned = True
        self.write_all()
        self.w1 = self.fleet.scheduler.workers["w1"]

    def write_all(self):
        while not self.bench.write():
            pass
        self.report()

    def report(self, start_time_ms=None, times=1):
        """Reports of w1, and of w2 so that it does not fall silent."""
        for _ in range(times):
            self.fleet.now_s += 0.01
            self.fleet.report("w2")
            self.fleet.report("w1", start_time_ms or max(1, self.born_ms()))

    def born_ms(self):
        return self.fleet.scheduler.workers["w1"].start_time_ms

    def submit(self):
        """Submits a job that waits in the store for a worker."""
        self.w1.cordoned = True
        job = self.bench.submit()
        self.write_all()
        self.w1.cordoned = False
        return job

    def list_w1(self, **fields):
        self.fleet.scheduler.observe_worker(
            scheduling_fixtures.record("w1", **fields), self.fleet.now_s
        )

    def restart(self, **fields):
        """Restarts w1, which reports until it has the newest token."""
        self.list_w1(start_time_ms=2, **fields)
        self.report(start_time_ms=2, times=3)
        assert self.w1.token_confirmed

    def expire(self):
        """Passes the time after which w1 may have restarted unnoticed."""
        for _ in range(20):
            self.fleet.now_s += 0.5
            self.fleet.report("w2")
            self.fleet.plan(may_start=False)
        assert not self.w1.fenced

    def starts(self):
        return self.fleet.accept(self.fleet.starts())

    def successor(self):
        """Returns the controller of the next term, before it calls anybody."""
        bench = dispatch_fixtures.Bench()
        bench.store = bench.daemon.store = self.bench.store
        controller = bench.controller(number=1)
        for row in list(bench.store.rows.values()):
            if row.table == _commits.JOBS_TABLE:
                controller.scheduler.load_job(row.key, row.value, row.version)
            elif row.table == _commits.ROSTER_TABLE:
                controller._load_roster(row)
        controller.scheduler.finish_loading()
        return controller


class NextTerm:
    """The next term; w2 answers, and w1 only where a test lets it."""

    def __init__(self, term):
        self.term = term
        self.controller = term.successor()
        self.scheduler = self.controller.scheduler
        self.now_s = platform.boot_time_s()
        self.list("w2", 1)
        self.report("w2", 1)

    def list(self, worker_id, start_time_ms, **fields):
        record = scheduling_fixtures.record(
            worker_id, start_time_ms=start_time_ms, **fields
        )
        self.scheduler.observe_worker(record, self.now_s, self.now_s)

    def report(self, worker_id, start_time_ms, running=()):
        for _ in range(2):
            self.now_s += 0.01
            worker = self.scheduler.workers[worker_id]
            report = scheduling.WorkerReport(
                int(self.now_s * 1000), start_time_ms, tuple(running), ()
            )
            self.scheduler.observe_report(
                worker_id, report, worker.token, self.now_s
            )
            self.scheduler.observe_commit(self.scheduler.fencing.version + 1)
            if worker_id == "w2":
                worker.enrolled = True

    def starts(self):
        """Returns the starts once orders of the term before have settled."""
        self.now_s = max(self.now_s, self.scheduler.settled_s)
        assert self.now_s < self.scheduler.inherited_until_s
        self.list("w2", 1)
        self.report("w2", 1)
        return started_elsewhere(self.scheduler.plan(self.now_s, True))


class TestRestartAtAnotherAddress:

    def test_no_start_before_the_new_address_is_stored(self):
        """Guards against a next leader that calls the former address."""
        term = Term()
        term.restart(address=NEXT_ADDRESS)
        assert not term.w1.usable(term.fleet.now_s)
        term.write_all()
        assert term.w1.usable(term.fleet.now_s)

    def test_no_task_starts_twice(self):
        """Guards against TWICE, with another worker at the former address."""
        term = Term()
        term.submit()
        term.restart(address=NEXT_ADDRESS)
        starts = term.starts()
        following = NextTerm(term)
        following.list("w1", 2, address=NEXT_ADDRESS)
        following.scheduler.observe_wrong_worker("w1", ADDRESS)
        starts += following.starts()
        assert len(starts) <= 1

    def test_the_first_start_waits_for_one_write(self):
        term = Term()
        term.submit()
        term.restart(address=NEXT_ADDRESS)
        writes = term.bench.store.transaction_count_
        assert not term.starts()
        assert term.bench.write()
        assert term.bench.store.transaction_count_ == writes + 1
        assert len(term.starts()) == 1

    @pytest.mark.parametrize(
        "fields", [{}, {"machine": "m9"}], ids=["place", "machine"]
    )
    def test_each_life_is_stored_before_its_first_start(self, fields):
        """Guards against a next leader that knows an earlier life only."""
        term = Term()
        term.submit()
        term.restart(**fields)
        assert not term.starts()
        term.write_all()
        assert len(term.starts()) == 1


class TestRemovalUnderWay:
    """A write without a worker is not applied yet while the worker reports.

    The next leader did not know the worker at all and started its task again.
    """

    def drop(self, term):
        """Starts to write the roster without w1; returns the transaction."""
        term.expire()
        term.bench.store.delay_writes = 1
        assert not term.bench.write()
        return term.bench.store.delayed.pop()

    def test_no_start_before_the_removal_is_excluded(self):
        term = Term()
        term.submit()
        removal = self.drop(term)
        term.report(times=3)
        starts = term.starts()
        term.bench.store._apply(*removal)
        roster = term.bench.roster()[_commits.roster_shard_key("w1")]
        assert "w1" not in roster
        following = NextTerm(term)
        starts += following.starts()
        assert len(starts) <= 1

    def test_worker_is_usable_once_the_removal_is_excluded(self):
        term = Term()
        removal = self.drop(term)
        term.report(times=3)
        term.write_all()
        term.bench.store._apply(*removal)
        assert term.w1.usable(term.fleet.now_s)
        assert "w1" in term.bench.roster()[_commits.roster_shard_key("w1")]

    def test_no_start_while_the_removal_awaits_its_answer(self):
        term = Term()
        term.submit()
        term.expire()
        usable = []
        transact = term.bench.store.transact

        async def transact_slowly(*args, **options):
            term.report(times=3)
            usable.append(term.w1.usable(term.fleet.now_s))
            return await transact(*args, **options)

        term.bench.store.transact = transact_slowly
        term.bench.write()
        assert usable == [False]
        assert not term.starts()

    def test_refused_removal_removes_nothing(self):
        """Guards against a worker that gets no starts until the next write."""
        term = Term()
        term.expire()
        transact = term.bench.store.transact

        async def refuse(*_, **__):
            del __
            return platform.Conflict(())

        term.bench.store.transact = refuse
        term.bench.write()
        term.bench.store.transact = transact
        term.report(times=3)
        assert term.w1.enrolled


class TestRelease:
    """The release follows the jobs and may leave rows of the roster behind."""

    WORKERS = tuple(f"w{number}" for number in range(40))

    def release(self, bench):
        bench.committer.releasing = True

        async def run():
            running = asyncio.ensure_future(bench.committer.run())
            await asyncio.wait_for(bench.committer.released.wait(), 5.0)
            running.cancel()

        asyncio.run(run())

    def test_each_started_run_is_at_a_stored_address(self):
        """Guards against runs that the next leader does not ask for."""
        bench = test_dispatch_commits.Bench(self.WORKERS)
        bench.store.version = 100
        fleet = bench.fleet
        jobs = [bench.submit(f"{number:016x}") for number in range(45)]
        while not bench.write():
            pass
        for worker_id in self.WORKERS:
            fleet.scheduler.observe_worker(
                scheduling_fixtures.record(
                    worker_id,
                    address=NEXT_ADDRESS,
                    start_time_ms=2,
                    # Room for one task.
                    cpu_milli=100,
                ),
                fleet.now_s,
            )
            for _ in range(3):
                fleet.now_s += 0.001
                fleet.report(worker_id, start_time_ms=2)
        starts = fleet.accept(fleet.starts())
        for job in jobs:
            fleet.scheduler.mark_dirty(job)
        self.release(bench)
        stored = [entry for row in bench.roster().values() for entry in row]
        assert len(stored) == len(self.WORKERS)
        addresses = {
            worker_id: entry[0]
            for row in bench.roster().values()
            for worker_id, entry in row.items()
        }
        assert any(address == ADDRESS for address in addresses.values())
        lost = [
            order.worker_id
            for order in starts
            if addresses[order.worker_id] != order.address
        ]
        assert not lost

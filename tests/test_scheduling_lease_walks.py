"""Random walks in which leases come from several leaders and several lives.

Timing that the walks assume:

- An order whose call is not given up is under way for at most MAX_TRANSIT_S, or
  until its timeout if its worker restarts meanwhile. It reaches the life that
  its worker then has, at the address that it names.
- An order whose call was given up, or whose sender has left, reaches no later
  life than the one that it was sent to, because the restart of a worker resets
  the connections to it. It may reach that life up to MAX_LATE_S later.
- A leader is replaced at the earliest when its last heartbeat is as old as the
  election timeout, when its release was applied, or after its process ended.
  One that waits for the answer to its release ends within RELEASE_WAIT_S.
- A leader and a worker do not hear each other for at most MAX_SILENCE_S.
"""

import math
import random
import types

import attrs
import pytest
import scheduling_fixtures
import test_scheduling_fencing
import test_scheduling_in_flight
import test_scheduling_leases

from baobabdoor import dispatch
from baobabdoor import scheduling
from baobabdoor.standin import _walk

SECONDS = 60
SEEDS = range(40)
PLANTED_SEEDS = range(30, 150)
OUTCOMES = scheduling.OrderOutcome
# Time for which the first life of a worker has run.
OLD_LIFE_S = 3600.0
SLOWEST_CLOCK_RATE = 0.98
ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(9))
MAX_TRANSIT_S = 1.2
MAX_LATE_S = 8.0
MAX_SILENCE_S = 8.0
SILENCE_RANGE_S = (0.5, MAX_SILENCE_S)
RELEASE_WAIT_S = 2.0
ORDER_TIMEOUT_RANGE_S = (0.45, 1.2)
HOLD_TIMEOUT_RANGE_S = (0.6, 1.8)
SLOW_SHARE = 0.2
# Shares of the holds with a lease and of the starts that are under way while
# their worker restarts, and of these the share whose answer is lost.
CROSSING_HOLD_SHARE = 0.012
CROSSING_START_SHARE = 0.06
LOST_ANSWER_SHARE = 0.5
# Share of the unanswered starts among these after which the worker is silent.
LOST_START_SILENCE_SHARE = 0.7
# Share of these restarts that may be at another address.
CROSSING_MOVE_SHARE = 0.3
# Shares of the cut leases soon after which the term ends, and after which the
# worker falls silent towards the leader, with bounds of the time until then.
CUT_TERM_END_SHARE = 0.5
CUT_SILENCE_SHARE = 0.6
CUT_DELAY_RANGE_S = (0.2, 1.2)
# Share of the starts under a lease that was cut within this time after which
# the term ends without a wait for its heartbeat, with the time until then.
CUT_START_TERM_END_SHARE = 0.4
CUT_START_S = 1.5
CUT_START_DELAY_RANGE_S = (0.0, 0.4)
# Maximum time until the next job after a cut lease, which finds its worker
# empty.
CUT_SUBMIT_S = 0.3
# Time for which a cut lease lasts, and share of the workers with one that fall
# silent after their first report to a new leader.
CUT_LEASE_S = 6.0
CUT_FIRST_SILENCE_SHARE = 0.8
CUT_UNHEARD_SHARE = 0.4
CUT_SILENCE_RANGE_S = (5.0, MAX_SILENCE_S)
# Shares of restarts at another address, and of the former addresses that
# another worker takes, with the maximum time until then.
MOVE_SHARE = 0.4
TAKEN_SHARE = 0.8
MAX_FREE_S = 2.0
# Share of the answers of another worker that are under way for long.
LATE_REFUSAL_SHARE = 0.6
# Shares of workers that do not hear a new leader from the start, and that fall
# silent towards it soon after their first report.
UNHEARD_SHARE = 0.15
FIRST_SILENCE_SHARE = 0.3
# Share of the reports from a new address after which the store is slow, so that
# the address is not stored soon.
STALE_ROSTER_SHARE = 0.5
# Share of the starts on a worker whose present address is not stored after
# which the leader is killed.
STALE_ROSTER_KILL_SHARE = 0.7
# Time for which every other term lasts at least, so that it may take the runs
# of a silent worker as ended and start them elsewhere.
KEPT_TERM_S = 8.0
# Shares of silences in which only the answers are lost, of terms that begin
# while the store is slow, and of time steps with a transaction.
LOST_ANSWERS_SHARE = 0.4
SLOW_STORE_SHARE = 0.3
MAX_SLOW_S = 2.0
# Timeout of the transaction by which a leader is elected.
MAX_CAMPAIGN_S = 1.5
COMMIT_SHARES = (0.05, 0.4, 1.0, 1.0)
# Share of releases whose answer is lost.
LOST_RELEASE_SHARE = 0.4
# Rates in each time step.
TERM_END_RATE = 0.005
RESTART_RATE = 0.004
CRASH_RATE = 0.001
SILENCE_RATE = 0.005
OUTAGE_RATE = 0.002
LOSS_CHANGE_RATE = 0.02
SUBMIT_RATE = 0.01
# Share of runs that outlast a lease, and bounds of their duration.
LONG_RUN_SHARE = 0.8
LONG_RUN_RANGE_S = (6.0, 15.0)


class LeaseLeader(test_scheduling_in_flight.InFlightLeader):
    """Leader that loses the store, or goes on holding after its release."""

    def __init__(self, walk, number):
        super().__init__(walk, number)
        rng = walk.lease_random
        self.number = number
        self.cut_off = False
        self.released = False
        self.release_asked_s = None
        self.end_s = math.inf
        self.kept_until_s = walk.now_s + rng.choice((0.0, KEPT_TERM_S))
        self.loaded_s = walk.now_s + rng.choice((0, rng.uniform(0, 0.5)))
        self.slow_until_s = 0.0
        if rng.random() < SLOW_STORE_SHARE:
            # The answer to the campaign, the rows and the first transaction
            # each take their time.
            self.confirmed_s -= rng.uniform(0.0, MAX_CAMPAIGN_S)
            self.loaded_s = walk.now_s + rng.uniform(0.0, MAX_SLOW_S)
            self.slow_until_s = self.loaded_s + rng.uniform(0.0, MAX_SLOW_S)
        self.commit_share = rng.choice(COMMIT_SHARES)

    def step(self, current):
        walk, scheduler = self.walk, self.scheduler
        self.stopped |= walk.now_s >= self.end_s
        if self.stopped or walk.now_s < self.loaded_s:
            return
        scheduler.store_ms = walk.now_s * 1000
        connected = current and walk.store_available and not self.cut_off
        if connected:
            self._sync_lists()
        self._send_holds()
        if connected and not self.released:
            self._commit()
            self._release_if_due()
        confirmed = walk.now_s - self.confirmed_s < dispatch.START_WINDOW_S
        may_start = confirmed and self.release_asked_s is None
        for order in scheduler.plan(walk.now_s, may_start):
            self._send(order)
        self.stopped |= scheduler.fenced_off

    def _commit(self):
        now_s = self.walk.now_s
        draw = self.walk.lease_random.random()
        if now_s < self.slow_until_s or draw >= self.commit_share:
            return
        super()._commit()
        # The row names the life that has reported, and no capacity.
        self.walk.roster = {
            worker_id: attrs.evolve(
                record,
                start_time_ms=self.scheduler.workers[worker_id].start_time_ms,
                cpu_milli=0,
            )
            for worker_id, record in self.walk.roster.items()
        }

    def ask_release(self):
        """Stops starting runs; the row is free once all changes are stored."""
        self.release_asked_s = self.walk.now_s
        self.end_s = self.walk.now_s + RELEASE_WAIT_S

    def _release_if_due(self):
        if self.release_asked_s is None or self.scheduler.dirty:
            return
        rng = self.walk.lease_random
        self.released = True
        if rng.random() >= LOST_RELEASE_SHARE:
            self.end_s = min(self.end_s, self.walk.now_s + rng.uniform(0, 0.2))
        self.walk.succeed_at(self.walk.now_s + rng.uniform(0.05, 0.5))

    def _send_start(self, order):
        if self.scheduler.is_current_start(order):
            super()._send_start(order)
        else:
            result = scheduling.OrderResult(OUTCOMES.NOT_SENT)
            self._observe_start(order, result)

    def _observe_report(self, order, result):
        worker = self.scheduler.workers.get(order.worker_id)
        reported_s = worker.first_report_s if worker is not None else 0
        super()._observe_report(order, result)
        if worker is None or worker.first_report_s == reported_s:
            return
        rng = self.walk.lease_random
        if worker.first_report_s == worker.last_report_s:
            cut = self.walk.has_cut_lease(order.worker_id)
            share = CUT_FIRST_SILENCE_SHARE if cut else FIRST_SILENCE_SHARE
            if rng.random() < share:
                delay_s = rng.choice((0.0, rng.uniform(0.0, 0.6)))
                self.walk.silence(self, order.worker_id, delay_s)
        stored = self.walk.roster.get(order.worker_id)
        stale = stored and stored.address != worker.record.address
        if stale and rng.random() < STALE_ROSTER_SHARE:
            self.slow_until_s = self.walk.now_s + rng.uniform(0.2, 1.5)

    def _observe_stop(self, order, result):
        self.scheduler.observe_stop(order, result)
        worker = self.scheduler.workers.get(order.worker_id)
        if result.outcome is OUTCOMES.ACCEPTED and worker is not None:
            poll = self.scheduler.hold_order(worker, 0, self.walk.now_s, False)
            self.walk.send(self, poll, self._observe_poll)

    def _observe_poll(self, order, result):
        """Applies an answer; a missing one counts for nothing."""
        if isinstance(result, scheduling.WorkerReport):
            self._observe_report(order, result)


class LeasedWorker(test_scheduling_in_flight.GangWorker):
    """Worker that counts the leases that it cuts to the maximum."""

    def _extend_lease(self, until_ms, clock_ms):
        previous_ms = self.lease_end_ms
        super()._extend_lease(until_ms, clock_ms)
        longest_ms = clock_ms + int(self.max_lease_s * 1000)
        if until_ms > longest_ms and self.lease_end_ms > previous_ms:
            self.walk.observe_cut_lease(self.record.worker_id)


class LeaseWalk(test_scheduling_in_flight.InFlightWalk):
    """Walk in which a worker's lease comes from two leaders and two lives.

    Besides the rules of the platform it checks that a leader may start no task
    that still runs, since the start is seen only if there is room elsewhere
    before the run ends.
    """

    checks_startable = True

    def __init__(self, seed, inject_fault=None):
        self.seed = seed
        self.lease_random = random.Random(f"{seed}-leases")
        # Whether other workers take the addresses of workers that have moved.
        self.takes_addresses = self.lease_random.random() < 0.5
        self.addresses = {}
        self.silences = {}
        self.succession_s = None
        self.store_returns_s = 0.0
        self.trace = []
        # Time at which a worker last cut a lease to the maximum.
        self.cut_s = {}
        self.cut_leases = 0
        self.moves = 0
        self.wrong_workers = 0
        self.silence_count = 0
        self.stale_kills = 0
        self.releases = 0
        self.terms_of_releases = 0
        super().__init__(seed, inject_fault)

    def note(self, text):
        """Adds an event to the trace."""
        self.trace.append(f"{self.now_s:.2f} {text}")

    # Workers.

    def add_worker(self, worker_id, address=None):
        rng = self.lease_random
        first = worker_id not in self.addresses
        known = self.addresses.get(worker_id)
        used = {
            model.record.address
            for other, model in self.workers.items()
            if other != worker_id
        }
        free = [
            candidate
            for candidate in ADDRESSES
            if candidate not in used and candidate != known
        ]
        if address is None:
            moves = first or known in used or rng.random() < MOVE_SHARE
            address = rng.choice(free) if moves else known
        super().add_worker(worker_id)
        model = self.workers[worker_id]
        old = first and rng.random() < 0.8
        self.workers[worker_id] = LeasedWorker(
            self,
            attrs.evolve(model.record, address=address),
            self.now_s - (OLD_LIFE_S if old else 0.0),
            rng.choice((SLOWEST_CLOCK_RATE, rng.uniform(0.98, 1.0))),
            self._make_run,
            self.oracle,
            max_listed_ends=self.max_listed_ends,
            checkpoints=self.checkpoints,
        )
        self.next_heartbeat_s[worker_id] += rng.choice((0, rng.uniform(0, 1)))
        self.addresses[worker_id] = address
        self.note(f"{worker_id} starts at {address}")
        if not first and address != known:
            self.moves += 1
            if self.takes_addresses and rng.random() < TAKEN_SHARE:
                free_s = rng.choice((0.0, rng.uniform(0, MAX_FREE_S)))
                self.after(free_s, lambda: self._take_address(known))

    def _take_address(self, address):
        """Restarts a worker at an address, unless it is used."""
        if self._worker_at(address) is None and self.workers:
            worker_id = self.lease_random.choice(sorted(self.workers))
            self.add_worker(worker_id, address)

    def _worker_at(self, address):
        for worker_id, model in self.workers.items():
            if model.record.address == address:
                return worker_id
        return None

    def _make_run(self, order, now_s):
        run = super()._make_run(order, now_s)
        run.fails = self.lease_random.random() < 0.03
        # The tasks of a step take the same time, so that none counts as slow.
        step = order.task.rpartition(".")[0]
        rng = random.Random(f"{self.seed}-{step}")
        if rng.random() < LONG_RUN_SHARE:
            run.duration_s = rng.uniform(*LONG_RUN_RANGE_S)
        return run

    def _crash_worker(self, worker_id):
        self.note(f"{worker_id} crashes")
        super()._crash_worker(worker_id)

    # Orders.

    def silence(self, leader, worker_id, delay_s=0.0, is_long=False):
        """Makes a worker silent towards one leader for some time."""
        rng = self.lease_random
        cut = is_long or self.has_cut_lease(worker_id)
        from_s = self.now_s + delay_s
        until_s = from_s + rng.uniform(
            *(CUT_SILENCE_RANGE_S if cut else SILENCE_RANGE_S)
        )
        lost_answers = rng.random() < LOST_ANSWERS_SHARE
        key = leader.number, worker_id
        self.silences[key] = (from_s, until_s, lost_answers)
        self.silence_count += 1
        what = "answers of" if lost_answers else "calls to"
        self.note(
            f"{what} {worker_id} are lost for leader {leader.number} "
            f"{from_s:.2f} to {until_s:.2f}"
        )

    def send(self, leader, order, observe):
        rng = self.lease_random
        hold = isinstance(order, scheduling.HoldOrder)
        timeout_s = rng.uniform(
            *(HOLD_TIMEOUT_RANGE_S if hold else ORDER_TIMEOUT_RANGE_S)
        )
        slow_s = MAX_TRANSIT_S if rng.random() < SLOW_SHARE else 0.0
        transit_s, return_s = rng.uniform(0, slow_s), rng.uniform(0, slow_s)
        from_s, until_s, lost_answers = self.silences.get(
            (leader.number, order.worker_id), (0.0, 0.0, False)
        )
        silent = from_s <= self.now_s < until_s
        given_to = self.workers.get(order.worker_id)
        if not silent and self._restarts_under(order):
            transit_s = rng.uniform(0, timeout_s)
            if rng.random() < LOST_ANSWER_SHARE:
                return_s = math.inf
                if not hold and rng.random() < LOST_START_SILENCE_SHARE:
                    self.silence(leader, order.worker_id, is_long=True)
            self.note(f"leader {leader.number} has an order under way")
            moves = rng.random() < CROSSING_MOVE_SHARE
            address = None if moves else given_to.record.address
            self.add_worker(order.worker_id, address)
        answered = not silent and transit_s + return_s < timeout_s
        if not answered:
            unknown = scheduling.OrderResult(OUTCOMES.UNKNOWN)
            self.after(timeout_s, lambda: observe(order, unknown))
        if silent and not lost_answers:
            return

        def arrive():
            gone = leader.stopped or leader is not self.leaders[-1]
            abandoned = transit_s >= timeout_s or gone
            if abandoned and self.workers.get(order.worker_id) is not given_to:
                return
            result = self.deliver(leader, order)
            if answered:
                late = self._is_late_refusal(result)
                left_s = timeout_s - transit_s if late else return_s
                delay_s = rng.uniform(return_s, left_s)
                self._after_transit(delay_s, lambda: observe(order, result))

        self._after_transit(transit_s, arrive)

    def _is_late_refusal(self, result):
        """Returns whether the answer of another worker is long under way."""
        outcome = getattr(result, "outcome", None)
        late = self.lease_random.random() < LATE_REFUSAL_SHARE
        return outcome is OUTCOMES.WRONG_WORKER and late

    def _restarts_under(self, order):
        """Returns whether a worker restarts while an order is under way."""
        if not getattr(order, "until_ms", 0):
            return False
        hold = isinstance(order, scheduling.HoldOrder)
        share = CROSSING_HOLD_SHARE if hold else CROSSING_START_SHARE
        known = order.worker_id in self.workers
        return known and self.lease_random.random() < share

    def _after_transit(self, delay_s, action):
        if delay_s:
            self.after(delay_s, action)
        else:
            action()

    def deliver(self, leader, order):
        worker_id = self._worker_at(order.address)
        if worker_id is None:
            return scheduling.OrderResult(OUTCOMES.NOT_SENT)
        if worker_id != order.worker_id:
            self.wrong_workers += 1
            return scheduling.OrderResult(OUTCOMES.WRONG_WORKER)
        return super().deliver(leader, order)

    def _apply(self, model, order):
        result = super()._apply(model, order)
        if isinstance(order, scheduling.StartOrder):
            self.note(
                f"{order.worker_id} start {order.task} run {order.run_id} "
                f"token {order.token}: {result.outcome.value}"
            )
            if result.outcome is OUTCOMES.ACCEPTED:
                self._end_term_after_start(model)
        return result

    def _end_term_after_start(self, model):
        """Often ends the term if the next leader may misjudge the run."""
        rng = self.lease_random
        leader = self.leaders[-1]
        worker_id = model.record.worker_id
        stored = self.roster.get(worker_id)
        stale = stored is None or stored.address != model.record.address
        cut_ago_s = self.now_s - self.cut_s.get(worker_id, -math.inf)
        if stale and rng.random() < STALE_ROSTER_KILL_SHARE:
            self.stale_kills += 1
            self._end_term_of(leader, "kill")
            return
        soon = cut_ago_s < CUT_START_S
        if soon and rng.random() < CUT_START_TERM_END_SHARE:
            kind = rng.choice(("release", "kill"))
            self.after(
                rng.uniform(*CUT_START_DELAY_RANGE_S),
                lambda: self._end_term_of(leader, kind),
            )

    def has_cut_lease(self, worker_id):
        """Returns whether a worker may still have a lease that it has cut."""
        cut_s = self.cut_s.get(worker_id, -math.inf)
        return self.now_s - cut_s < CUT_LEASE_S

    def observe_cut_lease(self, worker_id):
        """Lets a cut lease often be followed by a silence or a new term."""
        rng = self.lease_random
        self.cut_leases += 1
        self.cut_s[worker_id] = self.now_s
        self.note(f"{worker_id} cuts a lease")
        leader = self.leaders[-1]
        delay_s = rng.uniform(*CUT_DELAY_RANGE_S)
        for _ in range(2):
            self.after(rng.uniform(0, CUT_SUBMIT_S), self._submit)
        if rng.random() < CUT_TERM_END_SHARE:
            self.after(delay_s, lambda: self._end_term_of(leader))
        elif rng.random() < CUT_SILENCE_SHARE:
            self.silence(leader, worker_id, delay_s)

    # Leaders.

    def change_leader(self):
        leader = LeaseLeader(self, self.term_count)
        if self.inject_fault is not None:
            self.inject_fault(leader.scheduler)
        if self.leaders:
            previous = self.leaders[-1]
            # It learns of its successor from the store, or from a worker.
            learns_s = self.now_s + self.lease_random.uniform(1.0, 8.0)
            previous.end_s = min(previous.end_s, learns_s)
            self.terms_of_releases += previous.released
        self.leaders.append(leader)
        self.term_count += 1
        self.succession_s = None
        self.note(f"leader {leader.number} token {leader.scheduler.token}")
        for worker_id in leader.scheduler.workers:
            cut = self.has_cut_lease(worker_id)
            share = CUT_UNHEARD_SHARE if cut else UNHEARD_SHARE
            if self.lease_random.random() < share:
                self.silence(leader, worker_id)

    def succeed_at(self, time_s):
        """Plans the start of the next term."""
        self.succession_s = max(time_s, self.now_s)

    def _end_term_of(self, leader, kind=None):
        """Ends a term unless it has ended or is ending."""
        ending = self.succession_s is not None or leader.release_asked_s
        kept = self.now_s < leader.kept_until_s
        if leader is not self.leaders[-1] or leader.stopped or ending or kept:
            return
        rng = self.lease_random
        kind = kind or rng.choice(("lapse", "release", "kill"))
        self.note(f"leader {leader.number} {kind}")
        timeout_s = dispatch.ELECTION_TIMEOUT_MS / 1000 + rng.uniform(0, 0.4)
        if kind == "lapse":
            leader.cut_off = True
            self.succeed_at(leader.confirmed_s + timeout_s)
        elif kind == "release":
            self.releases += 1
            leader.ask_release()
        else:
            leader.stopped = True
            # The next process on the same machine does not wait.
            wait_s = rng.choice((rng.uniform(0.2, 0.5), timeout_s))
            self.succeed_at(self.now_s + wait_s)

    def _change_leader_if_due(self):
        rng = self.lease_random
        leader = self.leaders[-1]
        if leader.stopped and self.succession_s is None:
            # Its release was not stored, or a worker has fenced it off.
            self.succeed_at(self.now_s + rng.uniform(0.1, 2.0))
        due = self.succession_s is not None and self.now_s >= self.succession_s
        if due and self.store_available:
            self.change_leader()

    # Events.

    def _inject_events(self):
        rng = self.lease_random
        self._send_heartbeats()
        if rng.random() < SUBMIT_RATE:
            self._submit()
        if rng.random() < RESTART_RATE and self.workers:
            self.add_worker(rng.choice(sorted(self.workers)))
        if rng.random() < CRASH_RATE and self.workers:
            self._crash_worker(rng.choice(sorted(self.workers)))
        if rng.random() < SILENCE_RATE and self.workers:
            leader = rng.choice(self.leaders[-2:])
            self.silence(leader, rng.choice(sorted(self.workers)))
        if rng.random() < LOSS_CHANGE_RATE:
            self.order_loss_rate = rng.choice((0.0, 0.0, 0.1))
            self.response_loss_rate = rng.choice((0.0, 0.0, 0.3))
        if rng.random() < OUTAGE_RATE:
            self.store_returns_s = self.now_s + rng.uniform(0.3, 4.0)
        self.store_available = self.now_s >= self.store_returns_s
        if rng.random() < TERM_END_RATE:
            self._end_term_of(self.leaders[-1])

    def _submit(self):
        rng = self.lease_random
        job_id = f"{len(self.specs):016x}"
        steps = tuple(
            scheduling.StepSpec(
                rng.randint(1, 4),
                cpu_milli=rng.choice((500, 1000)),
                after=(number - 1,) if number else (),
                checkpointing=rng.random() < 0.5,
            )
            for number in range(rng.randint(1, 2))
        )
        spec = scheduling.JobSpec(
            job_id, _walk.QUEUE, _walk.payload_of(job_id), steps
        )
        self.specs[job_id] = spec
        self.leaders[-1].scheduler.submit(spec, self.now_s)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s and not self.oracle.violations:
            self.now_s += _walk.TIME_STEP_S
            self._advance_workers()
            self._inject_events()
            self._deliver_delayed()
            self._apply_crashes()
            self._advance_workers()
            for leader in self.leaders:
                if not leader.stopped:
                    leader.step(leader is self.leaders[-1])
            if self.checks_startable:
                self._check_startable(self.leaders[-1])
            self._change_leader_if_due()
        return self.oracle.violations

    def _check_startable(self, leader):
        """Checks that a leader does not take a run as ended that runs on."""
        scheduler = leader.scheduler
        blocked = scheduler.inherited_blocked()
        if leader.stopped or leader.released:
            return
        for worker_id, model in self.workers.items():
            for name in model.runs:
                task = scheduler.find_task(name)
                if task is None or task.run is not None or task.done:
                    continue
                if not task.job.final and not (task.inherited and blocked):
                    self.oracle.add_violation(
                        "STARTABLE", self.now_s, f"{name} runs on {worker_id}"
                    )

    def _advance_workers(self):
        for model in self.workers.values():
            model.advance(self.now_s)


class TestLeases:

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_task_runs_twice_under_leases_of_others(self, seed):
        walk = LeaseWalk(seed)
        assert not walk.run(SECONDS), f"seed {seed}"
        assert walk.oracle.starts > 20

    def test_leases_come_from_several_leaders_and_lives(self):
        walks = [LeaseWalk(seed) for seed in SEEDS[:6]]
        for walk in walks:
            walk.run(SECONDS)
        for count in (
            sum(walk.cut_leases for walk in walks),
            sum(walk.moves for walk in walks),
            sum(walk.wrong_workers for walk in walks),
            sum(walk.terms_of_releases for walk in walks),
        ):
            assert count > len(walks)


def without_longest_lease(scheduler, applies):
    """Assumes no lease at the reports to which this applies.

    Only the orders of this term then extend the lease.
    """
    observe = scheduler.observe_report

    def patched(worker_id, report, token, now_s):
        worker = scheduler.workers.get(worker_id)
        planted = worker is not None and applies(worker, report)
        observe(worker_id, report, token, now_s)
        if planted:
            worker.lease.foreign_end_s = now_s

    scheduler.observe_report = patched


def is_of_known_life(worker, report):
    return report.start_time_ms == worker.start_time_ms


def assume_no_lease_at_the_first_report(scheduler):
    """Counts no lease that leaders before have extended."""
    without_longest_lease(
        scheduler,
        lambda worker, report: is_of_known_life(worker, report)
        and worker.first_report_s == -math.inf,
    )


def assume_no_lease_after_a_restart(scheduler):
    """Counts no lease that orders to the life before have extended."""
    without_longest_lease(
        scheduler,
        lambda worker, report: not is_of_known_life(worker, report)
        or (worker.first_report_s > -math.inf and not worker.token_confirmed),
    )


def release_unanswered_starts_with_the_lease(scheduler):
    """Takes an unanswered start as ended with the lease of its worker."""
    observe = scheduler.observe_worker

    def patched(record, now_s, written_s=-math.inf):
        observe(record, now_s, written_s)
        worker = scheduler.workers[record.worker_id]
        worker.run_has_ended = lambda run, now_s: worker.lease.has_ended(now_s)

    scheduler.observe_worker = patched


def wait_only_for_requested_leases(scheduler):
    """Reckons with no longer lease of earlier terms than they request."""
    lease_s = scheduling.LEASE_S
    scheduler.inherited_until_s = scheduler.started_s + (
        dispatch.inherited_bound_s(lease_s)
    )


PLANTED = (
    assume_no_lease_at_the_first_report,
    assume_no_lease_after_a_restart,
    release_unanswered_starts_with_the_lease,
    wait_only_for_requested_leases,
)


class TestPlantedFaults:

    @pytest.mark.parametrize("plant", PLANTED)
    def test_the_walk_rejects_a_planted_fault(self, plant):
        for seed in PLANTED_SEEDS:
            violations = LeaseWalk(seed, plant).run(SECONDS)
            found = violations and violations[0].rule in ("STARTABLE", "TWICE")
            # A violation that is there without the fault shows nothing.
            if found and not LeaseWalk(seed).run(SECONDS):
                return
        pytest.fail(f"not found in {len(PLANTED_SEEDS)} walks")


class TestTraces:
    """The shortest orders of events behind violations that walks have found."""

    def test_a_late_answer_of_a_former_address_ends_no_run(self):
        # The worker that took the former address answers after its predecessor
        # has restarted elsewhere under its id.
        fleet = scheduling_fixtures.Fleet(["w1"])
        worker = fleet.scheduler.workers["w1"]
        late = scheduling.StopOrder(
            worker_id="w1",
            address=worker.record.address,
            token=worker.token,
            task=f"{test_scheduling_leases.JOB}.0.0.0",
            run_id=1,
        )
        moved = scheduling_fixtures.record(
            "w1", start_time_ms=2, address="10.0.0.9:80"
        )
        fleet.scheduler.observe_worker(moved, fleet.now_s)
        for _ in range(3):
            fleet.now_s += 0.1
            fleet.commit()
            fleet.report("w1", start_time_ms=2)
        job = fleet.submit(
            test_scheduling_leases.JOB,
            [scheduling.StepSpec(1, cpu_milli=1000)],
        )
        (start,) = fleet.accept(fleet.starts())
        assert start.address != late.address
        fleet.answer(late, OUTCOMES.WRONG_WORKER)
        (task,) = job.tasks()
        assert task.run is not None

    def test_an_answer_of_another_worker_ends_no_start_under_way(self):
        # The start reaches the worker after all if that has come back to the
        # address meanwhile.
        fleet = scheduling_fixtures.Fleet(["w1"])
        job = fleet.submit(
            test_scheduling_leases.JOB,
            [scheduling.StepSpec(1, cpu_milli=1000)],
        )
        (start,) = fleet.starts()
        other = scheduling.StopOrder(
            worker_id="w1",
            address=start.address,
            token=start.token,
            task=f"{test_scheduling_leases.JOB}.0.0.1",
            run_id=1,
        )
        fleet.answer(other, OUTCOMES.WRONG_WORKER)
        (task,) = job.tasks()
        assert task.run is not None
        fleet.answer(start, OUTCOMES.WRONG_WORKER)
        assert task.run is None

    def test_a_stored_address_of_before_a_move_ends_no_run(self):
        # The leader is lost before it has stored the address at which it
        # started a task, and the former address belongs to another worker.
        workers = test_scheduling_leases.Workers("w1", "w2")
        term = test_scheduling_leases.Term(workers)
        term.advance(0.5)
        workers.silent.add("w2")
        term.advance(2.0)
        stored = [
            types.SimpleNamespace(
                worker_id=worker.worker_id,
                record=worker.record,
                start_time_ms=worker.start_time_ms,
            )
            for worker in term.scheduler.workers_to_enroll()
        ]
        term.submit(
            test_scheduling_leases.JOB,
            [scheduling.StepSpec(1, cpu_milli=1000)],
        )
        workers.start("w1")
        model = workers.models["w1"]
        model.record = attrs.evolve(model.record, address="10.0.0.9:80")
        term.list_workers()
        for _ in range(3):
            term.poll("w1")
        starts = term.starts()
        for order in starts:
            term.send(order)
        before = types.SimpleNamespace(
            scheduler=types.SimpleNamespace(
                jobs=term.scheduler.jobs, workers_to_enroll=lambda: stored
            )
        )
        workers.silent.clear()
        successor = test_scheduling_leases.Term(workers, 1, before)
        successor.poll("w2")
        refused = scheduling.StopOrder(
            worker_id="w1",
            address=stored[0].record.address,
            token=successor.scheduler.token,
            task=f"{test_scheduling_leases.JOB}.0.0.0",
            run_id=1,
        )
        for _ in range(60):
            record = successor.scheduler.workers["w1"].record
            if record.address == model.record.address:
                break
            successor.scheduler.observe_stop(
                refused, scheduling.OrderResult(OUTCOMES.WRONG_WORKER)
            )
            workers.now_s = successor.now_s = successor.now_s + 0.05
            successor.list_workers()
            successor.poll("w2")
            successor.enroll()
            for order in successor.starts():
                successor.send(order)

    def test_a_hold_of_before_a_restart_hides_no_end(self):
        # It has been answered with the same number before, so that it
        # acknowledges nothing that the former life has listed since.
        fleet = test_scheduling_fencing.RestartingFleet()
        fleet.run_task(test_scheduling_fencing.FIRST)
        fleet.poll()
        fleet.poll()
        delayed = fleet.hold("w1")
        fleet.restart()
        order = fleet.start_task(test_scheduling_fencing.SECOND)
        fleet.now_s += test_scheduling_fencing.RUN_S
        fleet.deliver(delayed)
        assert order.task not in fleet.observer.acknowledged

    def test_a_late_report_of_a_young_former_life_ends_no_run(self):
        # The clock of the next life is above the last one that was reported
        # and below the one in the late report, which cannot list the run.
        fleet = test_scheduling_fencing.RestartingFleet()
        fleet.now_s += 1.2
        hold = fleet.hold("w1")
        late = fleet.deliver(hold)
        fleet.submit(
            test_scheduling_fencing.FIRST,
            [scheduling.StepSpec(1, cpu_milli=1000)],
        )
        (start,) = fleet.starts()
        fleet.restart()
        fleet.now_s += 0.15
        result = fleet.deliver(start)
        assert result.clock_ms < late.clock_ms
        fleet.scheduler.observe_start(start, result, fleet.now_s)
        fleet.scheduler.observe_report("w1", late, hold.token, fleet.now_s)
        assert start.task in fleet.model.runs
        task = fleet.scheduler.find_task(start.task)
        assert task.run is not None

    def test_a_start_under_way_extends_the_lease_of_other_runs(self):
        # Both starts reach the life after a restart; the second after the
        # report of the first and before the renewed token.
        workers = test_scheduling_leases.Workers("w1", "w2")
        term = test_scheduling_leases.Term(workers)
        term.advance(0.5)
        workers.silent.add("w2")
        term.advance(2.0)
        model = workers.models["w1"]
        model.started_s -= test_scheduling_leases.OLD_CLOCK_MS / 1000
        term.step()
        term.submit(
            test_scheduling_leases.JOB,
            [scheduling.StepSpec(2, cpu_milli=1000)],
        )
        first, second = term.starts()
        workers.start("w1")
        workers.carry_out(first)
        term.poll("w1")
        run = term.scheduler.workers["w1"].runs[first.task]
        assert run.confirmed
        workers.silent.add("w1")
        workers.now_s = term.now_s = term.now_s + 1.0
        workers.carry_out(second)
        term.scheduler.observe_start(
            second, scheduling.OrderResult(OUTCOMES.UNKNOWN), term.now_s
        )
        workers.silent.discard("w2")
        term.advance(9.0)
        run = term.scheduler.find_task(first.task).run
        assert run is not None
        assert run.worker_id == "w2"

"""Tests of the soak test: a short run, and planted faults."""

import asyncio
import collections
import json
import math
import signal
import time

import pytest
import soak
import soak_callers
import soak_faults
import soak_oracle
import soak_platform
from tornado import httpclient

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.standin import _walk_oracle
from baobabdoor.standin import _worker_model

SEED = 1002
JOB = "00000000000000f1"
FIRST_JOB = "00000000000000f0"
TASK = f"{JOB}.0.0.0"


class JobLossSoak(soak.Soak):
    """The store loses all jobs and all daemons are killed."""

    async def _inject_faults(self) -> None:
        await asyncio.sleep(1.5)
        rows = self.simulator.store.rows
        for key in [key for key in rows if key[0] == "jobs"]:
            del rows[key]
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL)
            await daemon.restart(0.0)


class OvertakingSoak(soak.Soak):
    """A cancel is answered before a suspended daemon reads the submission.

    Args:
        arguments: Arguments of the soak.
        suspends_leader: Whether the suspended daemon is the leader.
        abandons: Whether the caller closes its connection before it cancels.
    """

    def __init__(self, *arguments, suspends_leader, abandons):
        super().__init__(*arguments)
        self.suspends_leader = suspends_leader
        self.abandons = abandons

    async def _run_caller(self, number):
        del number

    async def _submit_first_job(self, connection) -> None:
        """Waits until a leader accepts a job."""
        self._add_job(FIRST_JOB)
        path, body = soak_platform.PREFIX + FIRST_JOB, self._body(FIRST_JOB)
        while (await connection.request("POST", path, body))[0] != 200:
            await asyncio.sleep(0.1)
        self.accepted.add(FIRST_JOB)

    def _add_job(self, job_id):
        self.specs[job_id] = scheduling.JobSpec(
            job_id, soak_platform.QUEUE, "", (scheduling.StepSpec(1),)
        )

    async def _inject_faults(self) -> None:
        connections = [soak.Connection(daemon.front) for daemon in self.daemons]
        await asyncio.wait_for(
            self._submit_first_job(connections[0]), soak.LISTEN_TIMEOUT_S
        )
        leader = self._leader()
        number = (
            leader
            if self.suspends_leader
            else (leader + 1) % soak_faults.DAEMONS
        )
        self._add_job(JOB)
        self.unconfirmed.add(JOB)
        path = soak_platform.PREFIX + JOB
        # The connection is open before the daemon is suspended.
        await connections[number].request("GET", path)
        with self.disruptions.span(f"daemon {number}"):
            self.daemons[number].send(signal.SIGSTOP)
            submission = asyncio.ensure_future(
                connections[number].request("POST", path, self._body(JOB))
            )
            await asyncio.sleep(0.2)
            if self.abandons:
                submission.cancel()
                connections[number].close()
            other = (number + 2) % soak_faults.DAEMONS
            while self.cancel_times_s.get(JOB, math.inf) == math.inf:
                await self._cancel(JOB, connections, None, other)
            await asyncio.sleep(soak_oracle.CANCEL_S + 0.3)
            self.daemons[number].send(signal.SIGCONT)
        await asyncio.wait([submission])
        if not submission.cancelled():
            self.responses["POST", submission.result()[0]] += 1
        await asyncio.sleep(soak_platform.HEARTBEAT_INTERVAL_S)


class UnansweredCancelSoak(soak.Soak):
    """Long jobs are cancelled while no fault occurs.

    Args:
        arguments: Arguments of the soak.
        denies: Whether all cancels are answered with 503, without effect.
    """

    JOBS = 4
    # Longer than the wait of a cancel and the time to stop a task after it.
    DURATION_S = 15.0

    def __init__(self, *arguments, denies):
        super().__init__(*arguments)
        self.denies = denies

    async def _run_caller(self, number):
        del number

    async def _replace_entries(self) -> None:
        pass

    async def _isolate_leaders(self) -> None:
        pass

    async def _silence_workers(self) -> None:
        pass

    async def _restart_workers(self) -> None:
        pass

    async def _send_request(self, method, *arguments):
        if method == "DELETE" and self.denies:
            return 503, {}
        return await super()._send_request(method, *arguments)

    async def _inject_faults(self) -> None:
        connections = [soak.Connection(daemon.front) for daemon in self.daemons]
        jobs = [f"{number:016x}" for number in range(self.JOBS)]
        for job_id in jobs:
            step = scheduling.StepSpec(1, cpu_milli=100)
            self.specs[job_id] = scheduling.JobSpec(
                job_id, soak_platform.QUEUE, "", (step,)
            )
            while job_id not in self.accepted:
                await self._submit(job_id, connections, self.random)
        while len(self.oracle.start_times_s) < self.JOBS:
            await asyncio.sleep(0.1)
        for job_id in jobs:
            await self._cancel(job_id, connections, self.random)
        for connection in connections:
            connection.close()


class TestUnansweredCancels:
    """Cancels without an answer never counted, whatever their jobs did."""

    @pytest.mark.parametrize("denies", [True, False])
    def test_jobs_run_on_although_their_cancels_have_waited(
        self, tmp_path, monkeypatch, denies
    ):
        monkeypatch.setattr(soak_callers, "REPEATED_CANCEL_SHARE", 1.0)
        monkeypatch.setattr(soak_callers, "CANCEL_ACTIVE_SHARE", 0.0)
        monkeypatch.setattr(soak_callers, "RACE_SHARE", 0.0)
        monkeypatch.setattr(soak_callers, "IMPATIENT_SHARE", 0.0)
        duration_s = UnansweredCancelSoak.DURATION_S
        monkeypatch.setattr(soak_platform, "LONG_RUN_SHARE", 1.0)
        monkeypatch.setattr(
            soak_platform, "LONG_RUN_RANGE_S", (duration_s, duration_s)
        )

        async def scenario():
            soak_run = UnansweredCancelSoak(
                SEED + 4, 1.0, tmp_path, denies=denies
            )
            await asyncio.wait_for(soak_run.run(), 2 * soak.LISTEN_TIMEOUT_S)
            return soak_run

        soak_run = asyncio.run(scenario())
        rules = collections.Counter(
            violation.rule for violation in soak_run.oracle.violations
        )
        jobs = UnansweredCancelSoak.JOBS
        assert rules == ({"UNASKED": jobs, "ACKS": 1} if denies else {})
        assert len(soak_run.unanswered_cancels) == (jobs if denies else 0)


class TestOvertakenSubmissions:

    @pytest.mark.parametrize("abandons", [False, True])
    @pytest.mark.parametrize("suspends_leader", [False, True])
    def test_a_job_starts_although_its_cancel_was_answered_before(
        self, tmp_path, monkeypatch, suspends_leader, abandons
    ):
        monkeypatch.setattr(soak_callers, "REQUEST_TIMEOUT_S", 15.0)
        monkeypatch.setattr(soak_oracle, "QUIET_S", 2.0)

        async def scenario():
            soak_run = OvertakingSoak(
                SEED + 3,
                1.0,
                tmp_path,
                suspends_leader=suspends_leader,
                abandons=abandons,
            )
            await soak_run.run()
            return soak_run

        soak_run = asyncio.run(scenario())
        assert not soak_run.oracle.violations, soak_run.responses


class TestRuns:

    def test_no_rule_is_broken_in_a_short_run(self, tmp_path):
        soak_run = soak.run_seed(SEED, 6.0, tmp_path)
        assert not soak_run.oracle.violations, soak.report(SEED, soak_run)
        assert soak_run.accepted
        assert soak_run.fault_log
        assert not soak_run.oracle.unattributed_starts

    def test_a_store_that_loses_jobs_is_detected(self, tmp_path):
        async def scenario():
            soak_run = JobLossSoak(SEED + 1, 6.0, tmp_path)
            return await soak_run.run()

        assert "LOST" in {
            violation.rule for violation in asyncio.run(scenario())
        }


class TestLeaseFaults:
    """Tests of the faults that give a worker a lease of another leader or life.

    The soak saw no fault of this kind while orders did not reach the next life
    of a worker, or while workers were silent towards all daemons or none.
    """

    # On the clock of a life that has run for an hour.
    UNTIL_MS = 3_600_000
    MAX_LEASE_MS = 6000

    @pytest.fixture
    def soak_run(self, tmp_path):
        soak_run = soak.Soak(SEED + 5, 1.0, tmp_path)
        for number, proxy in enumerate(soak_run.store_proxies):
            # Each daemon has a fencing token of its own.
            soak_run.simulator.transaction_sources[number + 1] = proxy.host
        yield soak_run
        soak_run.subnet_lock.close()

    def play(self, soak_run, scenario):
        async def run():
            soak_run.simulator.start()
            try:
                return await asyncio.wait_for(scenario(), 20.0)
            finally:
                soak_run.simulator.stop()

        return asyncio.run(run())

    async def post(self, soak_run, call, daemon, place=0, expected="w0-1"):
        """Sends an order and returns status and content; 0 without any."""
        body = {
            "fencing-token": daemon + 1,
            "last-seen": 0,
            "until-ms": self.UNTIL_MS,
            "wait-ms": 200,
            "task": TASK,
            "run-id": 1,
            "spec": "",
        }
        content = json.dumps(body).encode()
        reader, writer = await asyncio.open_connection(
            f"127.{soak_run.subnet}.7.{place + 2}", 8700
        )
        writer.write(
            f"POST /api/{call} HTTP/1.1\r\nHost: worker\r\n"
            f"X-Expected-Instance: {expected}\r\nConnection: close\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode() + content
        )
        response = await reader.read()
        writer.close()
        head, _, text = response.partition(b"\r\n\r\n")
        if not head:
            return 0, {}
        return int(head.split()[1]), json.loads(text)

    def test_the_clock_of_the_next_life_starts_anew(self, soak_run):
        worker = soak_run.simulator.workers[0]
        later_s = time.monotonic() + 60.0
        assert worker.model.clock_ms(later_s) > 50_000
        worker.start("w0-1")
        assert worker.model.clock_ms(time.monotonic()) < 2000
        assert worker.model.token == worker.model.lease_end_ms == 0

    @pytest.mark.parametrize("call", ["hold", "run-start"])
    def test_an_order_reaches_the_next_life_under_an_id(self, soak_run, call):
        worker = soak_run.simulator.workers[0]
        if call != "hold":
            soak_run.simulator.delayed_order_rate = 1.0
            soak_run.simulator.random.uniform = lambda first, last: last
        soak_run.specs[JOB] = scheduling.JobSpec(
            JOB, soak_platform.QUEUE, "", (scheduling.StepSpec(1),)
        )

        async def scenario():
            order = asyncio.ensure_future(self.post(soak_run, call, 0))
            await asyncio.sleep(0.1)
            worker.start("w0-1")
            return await order

        status, content = self.play(soak_run, scenario)
        model = worker.model
        lease_ms = model.lease_end_ms - model.clock_ms(time.monotonic())
        assert self.MAX_LEASE_MS - 2000 < lease_ms <= self.MAX_LEASE_MS
        assert soak_run.simulator.carried_over == {call: 1}
        if call == "hold":
            assert status == 200
            assert content["born"] == model.record.start_time_ms
        else:
            assert TASK in model.runs

    @pytest.mark.parametrize("mode", ["pass", "silent"])
    def test_an_order_that_is_held_up_does_not_reach_the_next_life(
        self, soak_run, mode
    ):
        proxy = soak_run.worker_proxies[0]

        async def scenario():
            await proxy.start()
            reader, writer = await asyncio.open_connection(
                proxy.host, proxy.port
            )
            proxy.set_mode(mode)
            writer.write(b"POST")
            await asyncio.sleep(0.1)
            worker = soak_run.simulator.workers[0]
            soak_run._restart_in_hold(worker, soak_run.random)
            await asyncio.sleep(0.1)
            closed = reader.at_eof() or reader.exception() is not None
            proxy.stop()
            writer.close()
            return closed

        assert self.play(soak_run, scenario) == (mode == "silent")

    def test_a_late_order_ends_with_a_life_if_nobody_waits_for_it(
        self, soak_run
    ):
        worker = soak_run.simulator.workers[0]
        soak_run.simulator.delayed_order_rate = 1.0
        soak_run.simulator.random.uniform = lambda first, last: last

        async def scenario():
            order = asyncio.ensure_future(self.post(soak_run, "run-start", 0))
            await asyncio.sleep(soak_platform.SENDER_WAIT_S + 0.1)
            worker.start("w0-1")
            await order
            await asyncio.sleep(0.5)

        self.play(soak_run, scenario)
        assert not worker.model.runs
        assert not soak_run.simulator.carried_over

    @pytest.mark.parametrize(
        ("worker_id", "place"), [("w0-2", None), ("w0-1", 5)]
    )
    def test_an_order_does_not_reach_another_worker_or_address(
        self, soak_run, worker_id, place
    ):
        worker = soak_run.simulator.workers[0]

        async def scenario():
            order = asyncio.ensure_future(self.post(soak_run, "hold", 0))
            await asyncio.sleep(0.1)
            worker.start(worker_id, place)
            return await order

        assert self.play(soak_run, scenario) == (0, {})
        assert worker.model.lease_end_ms == 0

    def test_a_worker_that_has_moved(self, soak_run):
        mover, taker, *_ = soak_run.simulator.workers

        async def scenario():
            mover.start("w0-1", 5)
            nobody = await self.post(soak_run, "hold", 0)
            taker.start("w1-1", 0)
            another = await self.post(soak_run, "hold", 0)
            return nobody, another, await self.post(soak_run, "hold", 0, 5)

        nobody, another, own = self.play(soak_run, scenario)
        assert nobody == (0, {})
        assert another == (421, {})
        assert own[0] == 200
        assert soak_run.simulator.misdirected == 1
        assert mover.model.record.address.startswith(
            f"127.{soak_run.subnet}.8.6:"
        )
        assert taker.model.lease_end_ms == 0

    def test_a_crashed_worker_returns_at_a_free_address(self, soak_run):
        mover, taker, *_ = soak_run.simulator.workers
        mover.is_down = True
        taker.start("w1-1", 0)
        mover._return()
        assert mover.place == 1
        assert taker.place == 0

    @pytest.mark.parametrize("mode", ["requests", "responses"])
    def test_a_worker_is_silent_towards_one_daemon(
        self, soak_run, monkeypatch, mode
    ):
        monkeypatch.setattr(soak_platform, "CUT_RESPONSE_DELAY_S", 0.1)
        worker = soak_run.simulator.workers[0]
        soak_run.simulator.silences[0, 1] = mode

        async def scenario():
            silent = await self.post(soak_run, "hold", 1)
            lease_end_ms = worker.model.lease_end_ms
            other = await self.post(soak_run, "hold", 2)
            neighbour = await self.post(soak_run, "hold", 1, 1, "w1-1")
            return silent, lease_end_ms, other, neighbour

        silent, lease_end_ms, other, neighbour = self.play(soak_run, scenario)
        assert silent == (0, {})
        assert bool(lease_end_ms) == (mode == "responses")
        assert other[0] == neighbour[0] == 200

    def test_a_store_that_is_read_only(self, soak_run):
        leader = platform.StoredRow("tenure", "fleet", "holder", b"{}")
        soak_run.simulator.store._apply([leader], [], [])

        async def send(client, target, **options):
            response = await client.fetch(
                f"http://127.{soak_run.subnet}.7.1:8700{target}",
                raise_error=False,
                **options,
            )
            return response.code

        async def scenario():
            client = httpclient.AsyncHTTPClient()
            rows = "/api/rows-get?table=tenure&part=fleet"
            body = json.dumps({"puts": [], "remove": [], "expected-rev": []})
            statuses = []
            for fault in ("", "read-only"):
                soak_run.simulator.store_fault = fault
                statuses.append(await send(client, rows))
                target = "/api/rows-tx"
                statuses.append(
                    await send(client, target, method="POST", body=body)
                )
            return statuses

        assert self.play(soak_run, scenario) == [200, 200, 200, 503]

    @pytest.mark.parametrize("kills", [False, True])
    def test_a_worker_is_silent_after_the_first_answer_to_a_leader(
        self, soak_run, monkeypatch, kills
    ):
        monkeypatch.setattr(soak_platform, "CUT_RESPONSE_DELAY_S", 0.1)
        worker = soak_run.simulator.workers[0]
        soak_run._leader = lambda: 0

        async def restart(timeout_s):
            del timeout_s

        soak_run.daemons[0].restart = restart

        async def scenario():
            change = asyncio.ensure_future(
                soak_run._change_leader(worker, "requests", 1.5, kills)
            )
            await asyncio.sleep(0.1)
            statuses = [
                (await self.post(soak_run, "hold", daemon))[0]
                for daemon in (0, 0, 1, 1)
            ]
            await change
            return [*statuses, (await self.post(soak_run, "hold", 1))[0]]

        assert self.play(soak_run, scenario) == [200, 200, 200, 0, 200]


class TestOracle:
    """Tests that each rule detects a planted violation."""

    @pytest.fixture
    def soak_run(self, tmp_path):
        soak_run = soak.Soak(SEED + 2, 1.0, tmp_path)
        soak_run.specs[JOB] = scheduling.JobSpec(
            JOB, "race", "", (scheduling.StepSpec(1, cpu_milli=100),)
        )
        return soak_run

    def rules(self, soak_run):
        return {violation.rule for violation in soak_run.oracle.violations}

    def start_run(self, soak_run, run_id=1):
        worker = next(iter(soak_run.workers.values()))
        now_s = platform.boot_time_s()
        run = _worker_model.ModelRun(TASK, run_id, now_s, 1.0, False)
        worker.runs[TASK] = run
        soak_run.oracle.on_start(worker, run, now_s)

    def test_a_start_above_a_capacity_that_has_shrunk(self, soak_run):
        worker = soak_run.simulator.workers[0]
        worker.change_capacity(50)
        notice_s = soak_platform.HEARTBEAT_INTERVAL_S + soak_platform.CONTACT_S
        now_s = time.monotonic()
        soak_run.simulator.order_received_s = now_s
        self.start_run(soak_run)
        assert not self.rules(soak_run)
        soak_run.simulator.order_received_s = now_s + notice_s
        self.start_run(soak_run)
        assert self.rules(soak_run) == {"LIMIT"}

    def test_a_task_that_crashes_its_workers_is_started_again(self, soak_run):
        soak_run.crashing_tasks.add(TASK)
        soak_run.oracle.crashes[TASK] = _walk_oracle.MAX_CRASHES
        for run_id in range(1, _walk_oracle.MAX_STARTS_AFTER_CRASHES):
            self.start_run(soak_run, run_id)
        assert not self.rules(soak_run)
        self.start_run(soak_run, _walk_oracle.MAX_STARTS_AFTER_CRASHES)
        assert self.rules(soak_run) == {"BUDGET"}

    def order_start(self, soak_run, **changes):
        """Sends the worker an order to start the task of the job."""
        body = {
            "task": TASK,
            "run-id": 1,
            "spec": "",
            "until-ms": 5000,
            "fencing-token": 1,
        } | changes
        soak_run.simulator.workers[0].apply("run-start", body, time.monotonic())

    def test_a_start_of_what_was_sent(self, soak_run):
        self.order_start(soak_run)
        assert soak_run.oracle.starts == 1
        assert not self.rules(soak_run)

    def test_a_start_with_the_payload_of_another_job(self, soak_run):
        self.order_start(soak_run, spec="another")
        assert self.rules(soak_run) == {"UNASKED"}

    @pytest.mark.parametrize(
        "task",
        [
            "00000000000000f2.0.0.0",
            f"{JOB}.0.0.1",
            f"{JOB}.0.1.0",
            f"{JOB}.1.0.0",
            f"{JOB}.0.0.-1",
            JOB,
            "",
        ],
    )
    def test_a_start_of_a_task_that_nobody_sent(self, soak_run, task):
        self.order_start(soak_run, task=task)
        self.order_start(soak_run)
        assert soak_run.oracle.starts == 2
        assert self.rules(soak_run) == {"UNASKED"}

    def make_checkpointing(self, soak_run):
        step = scheduling.StepSpec(2, cpu_milli=100, checkpointing=True)
        soak_run.specs[JOB] = scheduling.JobSpec(JOB, "race", "", (step,))
        soak_run.simulator.make_run = lambda order, now_s: (
            _worker_model.ModelRun(
                order.task, 1, now_s, 9.0, False, checkpoint_interval_s=0.5
            )
        )

    def stop_run(self, soak_run):
        """Starts and stops the task and returns its checkpoint."""
        self.make_checkpointing(soak_run)
        worker = soak_run.simulator.workers[0]
        self.order_start(soak_run)
        stop = {"task": TASK, "run-id": 1, "fencing-token": 1}
        worker.apply("run-stop", stop, time.monotonic())
        (end,) = worker.model.ends
        return end.checkpoint

    def test_a_start_from_a_checkpoint_of_the_task(self, soak_run):
        checkpoint = self.stop_run(soak_run)
        self.order_start(soak_run, checkpoint=checkpoint, **{"run-id": 2})
        assert soak_run.oracle.starts == 2
        assert not self.rules(soak_run)

    def test_a_start_from_the_checkpoint_of_another_task(self, soak_run):
        checkpoint = self.stop_run(soak_run)
        self.order_start(soak_run, task=f"{JOB}.0.0.1", checkpoint=checkpoint)
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_start_from_a_checkpoint_that_no_worker_produced(self, soak_run):
        self.make_checkpointing(soak_run)
        self.order_start(soak_run, checkpoint="000001f4000000ff")
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_refused_job_that_starts(self, soak_run):
        self.start_run(soak_run)
        soak_run._check_results()
        assert self.rules(soak_run) == {"REFUSED"}

    def test_a_job_without_a_response_may_start(self, soak_run):
        self.start_run(soak_run)
        soak_run.unconfirmed.add(JOB)
        soak_run._check_results()
        assert not self.rules(soak_run)

    def test_an_accepted_job_that_does_not_end(self, soak_run):
        soak_run.accepted.add(JOB)
        soak_run._check_results()
        assert self.rules(soak_run) == {"LOST"}

    def test_a_start_long_after_the_cancel(self, soak_run):
        now_s = platform.boot_time_s()
        soak_run.cancel_times_s[JOB] = (
            now_s - soak_oracle.MAX_START_AFTER_CANCEL_S - 1
        )
        self.start_run(soak_run)
        assert self.rules(soak_run) == {"UNASKED"}

    def order_start_after_cancel(self, soak_run, since_s, **options):
        """Sends a start by daemon 1, some time after the job was cancelled."""
        soak_run.cancel_times_s[JOB] = time.monotonic() - since_s
        self.order_start_by_daemon_1(soak_run, **options)

    def order_start_by_daemon_1(self, soak_run, **options):
        source = soak_run.store_proxies[1].host
        soak_run.simulator.transaction_sources[1] = source
        body = {
            "task": TASK,
            "run-id": 1,
            "spec": "",
            "until-ms": 5000,
            "fencing-token": 1,
        }
        soak_run.simulator.workers[2].apply(
            "run-start", body, time.monotonic(), **options
        )

    def test_a_start_by_a_daemon_in_touch_after_the_cancel(self, soak_run):
        self.order_start_after_cancel(soak_run, soak_oracle.CANCEL_S + 0.1)
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_start_shortly_after_the_cancel_is_allowed(self, soak_run):
        self.order_start_after_cancel(soak_run, soak_oracle.CANCEL_S - 0.1)
        assert not self.rules(soak_run)

    def test_a_start_that_a_worker_carries_out_late_is_allowed(self, soak_run):
        self.order_start_after_cancel(
            soak_run, soak_oracle.CANCEL_S + 0.1, delayed=True
        )
        assert not self.rules(soak_run)

    @pytest.mark.parametrize(
        "subject", ["store", "daemon 1", "connections of address 2"]
    )
    @pytest.mark.parametrize("is_over", [False, True])
    def test_a_start_is_allowed_near_a_disruption(
        self, soak_run, subject, is_over
    ):
        with soak_run.disruptions.span(subject):
            if not is_over:
                self.order_start_after_cancel(
                    soak_run, soak_oracle.CANCEL_S + 0.1
                )
        if is_over:
            self.order_start_after_cancel(soak_run, soak_oracle.CANCEL_S + 0.1)
        assert not self.rules(soak_run)

    @pytest.mark.parametrize(
        "subject", ["daemon 0", "connections of address 1"]
    )
    def test_a_disruption_elsewhere_excuses_no_start(self, soak_run, subject):
        with soak_run.disruptions.span(subject):
            self.order_start_after_cancel(soak_run, soak_oracle.CANCEL_S + 0.1)
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_disruption_that_ended_long_ago_excuses_no_start(self, soak_run):
        with soak_run.disruptions.span("daemon 1"):
            pass
        soak_run.disruptions.ended_s["daemon 1"] -= soak_platform.CONTACT_S
        self.order_start_after_cancel(soak_run, soak_oracle.CANCEL_S + 0.1)
        assert self.rules(soak_run) == {"UNASKED"}

    @pytest.mark.parametrize("status", [200, 410])
    def test_a_start_after_the_cancel_of_a_job_that_was_not_accepted(
        self, soak_run, status
    ):
        async def acknowledge(*arguments):
            return status, {}

        soak_run._send_request = acknowledge
        asyncio.run(soak_run._cancel(JOB, [], None))
        soak_run.cancel_times_s[JOB] -= soak_oracle.CANCEL_S + 0.1
        self.order_start_by_daemon_1(soak_run)
        assert self.rules(soak_run) == {"UNASKED"}

    def wait_for_answer(self, soak_run, status=503, first_s=0.0):
        """Cancels an accepted job, and counts cancels some time later."""

        async def answer(*arguments):
            return status, {}

        async def scenario():
            sent_s = time.monotonic()
            await soak_run._cancel(JOB, [], None)
            if JOB in soak_run.repeated_cancels_s:
                soak_run.repeated_cancels_s[JOB] = sent_s - first_s
            soak_run._count_unanswered_cancels(time.monotonic())
            for repetition in soak_run.pending_cancels:
                repetition.cancel()

        soak_run._send_request = answer
        soak_run.repeat_random.random = lambda: 0.0
        soak_run.accepted.add(JOB)
        asyncio.run(scenario())

    def order_start_after_wait(
        self, soak_run, since_s=soak_oracle.CANCEL_S + 0.1
    ):
        """Sends a start some time after a cancel has waited for an answer."""
        self.wait_for_answer(
            soak_run, first_s=soak_oracle.ACK_TIMEOUT_S + since_s
        )
        self.order_start_by_daemon_1(soak_run)

    def end_disruption(self, soak_run, subject, since_s):
        with soak_run.disruptions.span(subject):
            pass
        soak_run.disruptions.ended_s[subject] -= since_s

    def test_a_start_after_a_cancel_that_had_waited(self, soak_run):
        self.order_start_after_wait(soak_run)
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_start_shortly_after_a_cancel_that_had_waited(self, soak_run):
        self.order_start_after_wait(soak_run, soak_oracle.CANCEL_S - 0.1)
        assert not self.rules(soak_run)

    @pytest.mark.parametrize("status", [0, 404, 503, 504])
    def test_a_cancel_without_an_answer_counts_after_its_wait(
        self, soak_run, status
    ):
        waited_s = soak_oracle.ACK_TIMEOUT_S + 1.0
        self.wait_for_answer(soak_run, status, waited_s)
        now_s = time.monotonic()
        assert now_s - 1.5 < soak_run.cancel_times_s[JOB] < now_s - 0.9
        assert soak_run.unanswered_cancels == {JOB}

    def test_a_cancel_without_an_answer_does_not_count_before(self, soak_run):
        self.wait_for_answer(soak_run, first_s=soak_oracle.ACK_TIMEOUT_S - 0.5)
        assert soak_run.cancel_times_s[JOB] == math.inf
        assert not soak_run.unanswered_cancels

    def test_a_cancel_that_its_caller_does_not_repeat(self, soak_run):
        soak_run.repeat_random.random = lambda: 1.0

        async def deny(*arguments):
            return 503, {}

        soak_run._send_request = deny
        soak_run.accepted.add(JOB)
        asyncio.run(soak_run._cancel(JOB, [], None))
        later_s = time.monotonic() + 2 * soak_oracle.ACK_TIMEOUT_S
        soak_run._count_unanswered_cancels(later_s)
        assert not soak_run.pending_cancels
        assert soak_run.cancel_times_s[JOB] == math.inf

    def test_a_repeated_cancel_that_is_answered_in_time(self, soak_run):
        statuses = iter([503, 0, 200])

        async def answer(*arguments):
            return next(statuses), {"error": "timeout"}

        async def scenario():
            await soak_run._cancel(JOB, [], None)
            await soak_run._wait_for_cancels()

        soak_run._send_request = answer
        soak_run.repeat_random.random = lambda: 0.0
        soak_run.accepted.add(JOB)
        asyncio.run(scenario())
        assert soak_run.cancel_times_s[JOB] <= time.monotonic()
        assert not soak_run.repeated_cancels_s
        assert not soak_run.unanswered_cancels

    @pytest.mark.parametrize(
        ("subject", "excused_s"),
        [
            ("daemon 0", 0.0),
            ("connections of address 1", 0.0),
            ("store", soak_platform.CONTACT_S),
        ],
    )
    def test_a_disruption_divides_the_wait_of_a_cancel(
        self, soak_run, subject, excused_s
    ):
        since_s = soak_oracle.ACK_TIMEOUT_S + excused_s
        self.end_disruption(soak_run, subject, since_s - 0.5)
        self.wait_for_answer(soak_run, first_s=60.0)
        assert soak_run.cancel_times_s[JOB] == math.inf
        soak_run.disruptions.ended_s[subject] -= 0.6
        soak_run._count_unanswered_cancels(time.monotonic())
        assert soak_run.cancel_times_s[JOB] < time.monotonic()

    @pytest.mark.parametrize("subject", ["daemon 0", "store"])
    def test_a_cancel_does_not_count_during_a_disruption(
        self, soak_run, subject
    ):
        with soak_run.disruptions.span(subject):
            self.wait_for_answer(soak_run, first_s=60.0)
        assert soak_run.cancel_times_s[JOB] == math.inf

    def test_a_disruption_excuses_a_start_after_a_cancel(self, soak_run):
        self.end_disruption(
            soak_run, "daemon 0", soak_oracle.ACK_TIMEOUT_S - 0.5
        )
        self.order_start_after_wait(soak_run, 60.0)
        assert not self.rules(soak_run)

    def test_a_run_that_goes_on_after_a_cancel_that_had_waited(self, soak_run):
        self.wait_for_answer(soak_run, first_s=60.0)
        self.watch(soak_run, soak_run.cancel_times_s[JOB])
        assert self.rules(soak_run) == {"UNASKED"}

    def test_a_run_goes_on_after_a_cancel_with_a_disruption(self, soak_run):
        self.end_disruption(
            soak_run, "daemon 0", soak_oracle.ACK_TIMEOUT_S - 0.5
        )
        self.wait_for_answer(soak_run, first_s=60.0)
        self.watch(soak_run, soak_run.cancel_times_s[JOB])
        assert not self.rules(soak_run)

    @pytest.mark.parametrize(
        ("unanswered", "cancelled", "rules"),
        [
            (2, 2, set()),
            (3, 30, set()),
            (3, 29, {"ACKS"}),
            (4, 4, {"ACKS"}),
        ],
    )
    def test_cancels_without_an_answer(
        self, soak_run, unanswered, cancelled, rules
    ):
        jobs = [f"{number:016x}" for number in range(cancelled)]
        soak_run.cancelled_accepted.update(jobs)
        soak_run.unanswered_cancels.update(jobs[:unanswered])
        soak_run._check_results()
        assert self.rules(soak_run) == rules

    def run_on(self, soak_run, since_s):
        """Cancels a job, and checks its run some time after the last fault."""
        self.start_run(soak_run)
        worker = next(iter(soak_run.workers.values()))
        now_s = time.monotonic()
        worker.runs[TASK].started_s = now_s - 60
        soak_run.cancel_times_s[JOB] = now_s - 60
        return soak_run._runs_on(worker.runs[TASK], now_s - since_s, now_s)

    def test_a_run_that_goes_on_after_the_cancel(self, soak_run):
        assert self.run_on(soak_run, soak_oracle.MAX_RUN_AFTER_CANCEL_S + 0.1)

    def test_a_run_may_go_on_shortly_after_the_last_fault(self, soak_run):
        assert not self.run_on(
            soak_run, soak_oracle.MAX_RUN_AFTER_CANCEL_S - 0.1
        )

    def watch(self, soak_run, cancelled_s=None):
        """Watches for a moment for a run of a job cancelled long ago."""
        self.run_on(soak_run, 0.0)
        if cancelled_s is not None:
            soak_run.cancel_times_s[JOB] = cancelled_s

        async def scenario():
            watch = asyncio.ensure_future(soak_run._watch_cancelled_jobs())
            await asyncio.sleep(2 * soak_oracle.QUIET_CHECK_INTERVAL_S)
            watch.cancel()

        worker = next(iter(soak_run.workers.values()))
        worker.runs[TASK].duration_s = 90.0
        worker.lease_end_ms = 60_000
        asyncio.run(scenario())

    def test_a_run_that_goes_on_in_the_middle_of_a_run(self, soak_run):
        with soak_run.disruptions.span("daemon 0"):
            pass
        longest_s = soak_platform.CONTACT_S + soak_oracle.MAX_RUN_AFTER_CANCEL_S
        soak_run.disruptions.ended_s["daemon 0"] -= longest_s + 0.1
        self.watch(soak_run)
        assert self.rules(soak_run) == {"UNASKED"}
        assert len(soak_run.oracle.violations) == 1

    def test_a_run_may_go_on_during_a_disruption(self, soak_run):
        with soak_run.disruptions.span("workers"):
            self.watch(soak_run)
        assert not self.rules(soak_run)

    def test_a_run_may_go_on_shortly_after_a_disruption(self, soak_run):
        with soak_run.disruptions.span("store"):
            pass
        soak_run.disruptions.ended_s["store"] -= soak_platform.CONTACT_S
        self.watch(soak_run)
        assert not self.rules(soak_run)

    def test_an_accepted_job_that_is_unknown_to_its_cancel(self, soak_run):
        async def deny(*arguments):
            return 410, {}

        soak_run._send_request = deny
        soak_run.accepted.add(JOB)
        asyncio.run(soak_run._cancel(JOB, [], None))
        assert self.rules(soak_run) == {"UNASKED"}

    @pytest.mark.parametrize(
        ("state", "rule"),
        [("completed", "MIXED"), ("failed", "LOST"), ("cancelled", "LOST")],
    )
    def test_a_final_state_without_cause(self, soak_run, state, rule):
        soak_run._observe_state(JOB, state, 0)
        assert self.rules(soak_run) == {rule}

    def test_a_final_state_that_changes(self, soak_run):
        soak_run.oracle.done.add(TASK)
        soak_run._observe_state(JOB, "completed", 0)
        soak_run._observe_state(JOB, "running", 1)
        assert self.rules(soak_run) == {"MIXED"}

    def test_a_request_interrupted_by_a_graceful_stop_alone(self, soak_run):
        now_s = platform.boot_time_s()
        soak_run.last_fault_s[0] = now_s - 60
        soak_run.daemons[0].stopping = True
        soak_run._check_interrupted_request(0, JOB, now_s - 1.0)
        assert self.rules(soak_run) == {"LOST"}

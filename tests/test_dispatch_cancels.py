"""Tests of cancels that arrive before the submission of their job."""

import asyncio
import json
import types

import dispatch_fixtures
import pytest
import scheduling_fixtures

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _gateway
from baobabdoor.scheduling import _early_cancels
from baobabdoor.scheduling import _persistence

JOB = "00000000000000d1"
BODY = json.dumps({"spec": "text", "steps": [{"count": 2, "cpu": 100}]})
TIMEOUT_S = 0.7


class Service:
    """Callers' view of a leader with an in-memory store."""

    def __init__(self):
        self.bench = dispatch_fixtures.Bench()
        self.gateway = _gateway.Gateway(self.bench.daemon)
        self.controller = None
        self.terms = 0

    async def elect(self):
        """Replaces the leader by one that loads the stored state."""
        if self.controller is not None:
            self.controller.end("replaced")
        self.controller = self.bench.controller(self.terms)
        self.terms += 1
        self.bench.daemon.controller = self.controller
        self.controller.start()
        await self.controller.loaded.wait()

    @property
    def queue(self):
        queues = self.bench.daemon.configuration.queues
        return queues[scheduling_fixtures.QUEUE]

    async def submit(self, job_id=JOB):
        return await self.gateway.submit(
            job_id, self.queue, BODY.encode(), TIMEOUT_S
        )

    async def cancel(self):
        return await self.gateway.cancel(JOB, self.queue, TIMEOUT_S)

    async def state(self):
        return await self.gateway.state(JOB, self.queue, TIMEOUT_S)

    def runnable(self):
        return JOB in self.controller.scheduler.active

    def remove_expired_rows(self):
        self.controller.update_clocks()
        scheduler = self.controller.scheduler
        expired = scheduler.begin_removal()
        for job in expired:
            key = (_commits.JOBS_TABLE, _election.PART, job.spec.job_id)
            del self.bench.store.rows[key]
        scheduler.finish_removal(expired)


def run(scenario):
    async def start():
        service = Service()
        await service.elect()
        try:
            return await scenario(service)
        finally:
            service.controller.end("the test is over")

    return asyncio.run(start())


class TestCancelBeforeSubmission:
    """A caller cancels through another daemon while its POST is delayed."""

    def test_a_submission_that_its_cancel_overtook_never_runs(self):
        async def scenario(service):
            assert (await service.cancel()).kind == "no-job"
            await service.submit()
            assert not service.runnable()

        run(scenario)

    def test_the_next_leader_does_not_run_it_either(self):
        async def scenario(service):
            assert (await service.cancel()).kind == "no-job"
            await service.elect()
            await service.submit()
            assert not service.runnable()

        run(scenario)

    def test_such_a_job_is_shown_as_cancelled_once_it_is_submitted(self):
        async def scenario(service):
            await service.cancel()
            assert (await service.state()).kind == "no-job"
            assert (await service.submit()).kind == "accepted"
            assert (await service.state()).value == "cancelled"
            await service.elect()
            assert (await service.state()).value == "cancelled"
            assert (await service.cancel()).kind == "accepted"

        run(scenario)

    def test_the_store_shows_no_job_that_nobody_submitted(self):
        async def scenario(service):
            arguments = (JOB, service.queue, _access.ANYBODY)
            await service.cancel()
            stored = await service.gateway.states.read_stored(*arguments, 1.0)
            assert stored.kind == "no-job"
            await service.submit()
            stored = await service.gateway.states.read_stored(*arguments, 1.0)
            assert stored.value == "cancelled"

        run(scenario)

    def test_a_cancel_that_is_not_stored_is_not_acknowledged(self):
        async def scenario(service):
            service.bench.store.reachable = False
            assert (await service.cancel()).kind == "unknown"
            assert (await service.cancel()).kind == "unknown"

        run(scenario)

    def test_a_cancel_is_refused_at_once_while_the_store_is_lost(self):
        async def scenario(service):
            service.controller.committer.reachable = False
            outcome = await service.cancel()
            assert outcome.kind == "refused"
            assert outcome.retry_after_s
            assert JOB not in service.controller.scheduler.jobs

        run(scenario)

    def test_a_submission_is_not_accepted_before_its_row_shows_it(self):
        async def scenario(service):
            await service.cancel()
            service.bench.store.reachable = False
            assert (await service.submit()).kind == "unknown"
            assert (await service.state()).kind != "state"

        run(scenario)

    def test_a_submission_is_refused_while_the_cancel_expires(self):
        async def scenario(service):
            await service.cancel()
            job = service.controller.scheduler.jobs[JOB]
            job.ended_ms -= 1000 * service.bench.daemon.settings.status_s + 1
            service.controller.scheduler.begin_removal()
            assert (await service.submit()).kind == "refused"
            assert (await service.cancel()).kind == "refused"
            assert not service.runnable()

        run(scenario)

    def test_the_number_of_kept_cancels_is_limited(self, monkeypatch):
        monkeypatch.setattr(_early_cancels, "MAX_EARLY_CANCELS", 0)

        async def scenario(service):
            outcome = await service.cancel()
            assert outcome.kind == "refused"
            assert outcome.retry_after_s

        run(scenario)

    def test_a_kept_cancel_expires_with_its_row(self):
        async def scenario(service):
            await service.cancel()
            scheduler = service.controller.scheduler
            scheduler.store_ms += 1000 * scheduler.options.status_s + 1
            scheduler.finish_removal(scheduler.begin_removal())
            assert not scheduler.jobs
            assert not scheduler.early_cancels.kept

        run(scenario)

    def test_each_acknowledged_cancel_is_kept_for_the_retention_time(self):
        async def scenario(service):
            retention_ms = 1000 * service.bench.daemon.settings.status_s
            await service.cancel()
            service.bench.store.time_ms += retention_ms - 500
            assert (await service.cancel()).kind == "no-job"
            service.bench.store.time_ms += 1000
            service.remove_expired_rows()
            await service.submit()
            assert not service.runnable()

        run(scenario)

    def test_expired_cancels_do_not_refuse_the_cancels_of_others(
        self, monkeypatch
    ):
        monkeypatch.setattr(_early_cancels, "MAX_EARLY_CANCELS", 1)

        async def scenario(service):
            service.controller.scheduler.cancel_early(
                "00000000000000d2", "race"
            )
            await service.controller.committer._write()
            retention_ms = 1000 * service.bench.daemon.settings.status_s
            service.bench.store.time_ms += retention_ms + 1
            assert (await service.cancel()).kind == "no-job"

        run(scenario)

    def test_a_late_removal_does_not_drop_a_newer_cancel(self):
        """Guards against a repeated removal whose first order comes late."""

        async def scenario(service):
            retention_ms = 1000 * service.bench.daemon.settings.status_s
            await service.cancel()
            store = service.bench.store
            store.time_ms += retention_ms + 1
            service.controller.update_clocks()
            scheduler = service.controller.scheduler
            store.delay_writes = 1
            assert not await service.controller._remove_rows(
                scheduler.begin_removal()
            )
            assert await service.controller._remove_rows(
                scheduler.begin_removal()
            )
            assert (await service.cancel()).kind == "no-job"
            store.apply_delayed()
            await service.elect()
            await service.submit()
            assert not service.runnable()

        run(scenario)

    def test_expired_cancels_of_an_earlier_leader_do_not_count(
        self, monkeypatch
    ):
        """Guards against 503 while newer cancels have lower identifiers."""
        monkeypatch.setattr(_early_cancels, "MAX_EARLY_CANCELS", 2)

        async def scenario(service):
            retention_ms = 1000 * service.bench.daemon.settings.status_s
            for job_id in ("00000000000000d3", "00000000000000d2"):
                service.controller.update_clocks()
                service.controller.scheduler.cancel_early(job_id, "race")
                await service.controller.committer._write()
                service.bench.store.time_ms += retention_ms - 500
            service.bench.store.time_ms -= retention_ms - 1500
            await service.elect()
            assert (await service.cancel()).kind == "no-job"

        run(scenario)

    def test_an_invalid_submission_after_the_cancel_is_not_accepted(self):
        async def scenario(service):
            await service.cancel()
            outcome = await service.gateway.submit(
                JOB, service.queue, b"[", TIMEOUT_S
            )
            assert outcome.kind == "invalid"
            assert (await service.state()).kind == "no-job"

        run(scenario)


class TestManyCancels:
    """A wave of cancels of unknown jobs held up the writes of all callers."""

    # Latency of a transaction according to the platform's documentation.
    STORE_DELAY_S = 0.008

    @pytest.mark.parametrize("wave", [500, 5000])
    def test_a_submission_is_accepted_beside_a_wave_of_cancels(self, wave):
        async def scenario(service):
            service.bench.store.delay_s = self.STORE_DELAY_S
            for number in range(wave):
                service.controller.scheduler.cancel_early(
                    f"{number:016x}", "race"
                )
            outcome = await service.submit("ffffffffffffff01")
            assert outcome.kind == "accepted"

        run(scenario)


class TestCancelBesideBusyJobs:
    """A cancel that is not stored is lost with its leader."""

    def test_a_cancel_of_an_unknown_job_is_stored_beside_busy_jobs(self):
        """Guards against a cancel that waits as long as jobs keep changing."""

        async def scenario(service):
            service.bench.store.delay_s = 0.008
            scheduler = service.controller.scheduler
            for number in range(2 * _persistence.MAX_COMMIT_JOBS):
                step = scheduling.StepSpec(1, cpu_milli=100)
                spec = scheduling.JobSpec(f"{number:016x}", "race", "", (step,))
                scheduler.submit(spec, platform.boot_time_s())

            async def change_jobs():
                while True:
                    for job in scheduler.active.values():
                        scheduler.mark_dirty(job)
                    await asyncio.sleep(0.004)

            changes = asyncio.ensure_future(change_jobs())
            outcome = await service.cancel()
            changes.cancel()
            assert outcome.kind == "no-job"

        run(scenario)


class TestNestedRoutes:
    """A front took the rest of the path for an invalid identifier."""

    PATH = f"/a/b/{JOB}"

    def configuration(self, prefixes):
        queues = {
            prefix: scheduling.Queue(
                prefix, "example", prefix, scheduling_fixtures.POOL
            )
            for prefix in prefixes
        }
        return scheduling.Configuration(len(prefixes), queues, {})

    async def call(self, service, method, prefixes):
        daemon = types.SimpleNamespace(**vars(service.bench.daemon))
        daemon.configuration = self.configuration(prefixes)
        daemon.version = daemon.configuration.version
        daemon.configuration_silence_s = lambda: 0.0
        handler = _callers.CallerHandler(daemon, _gateway.Gateway(daemon))
        request = types.SimpleNamespace(
            method=method,
            host="example",
            path=self.PATH,
            headers={},
            body=BODY.encode(),
        )
        return (await handler.serve(request)).status

    def test_a_front_without_the_inner_route_acknowledges_no_cancel(self):
        async def scenario(service):
            both = ("/a/", "/a/b/")
            service.bench.daemon.configuration = self.configuration(both)
            assert await self.call(service, "POST", both) == 200
            status = await self.call(service, "DELETE", ("/a/",))
            assert status not in (200, 410) or not service.runnable()

        run(scenario)

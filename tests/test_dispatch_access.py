"""Tests of API keys in entries and leaders, and of the access to jobs."""

import asyncio
import json
import types
import zlib

import attrs
import dispatch_fixtures
import ports
import pytest
import scheduling_fixtures
import test_dispatch_daemon

from baobabdoor import base
from baobabdoor import customers
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _daemon
from baobabdoor.dispatch import _faults
from baobabdoor.dispatch import _gateway
from baobabdoor.platform import _settings

JOB = "00000000000000e1"
BODY = json.dumps({"steps": [{"count": 1, "cpu": 100}]}).encode()
PATH = f"/{scheduling_fixtures.POOL}/"
CLUB, SHOP, STRAY = "key-club-91c2", "key-shop-44d0", "key-stray-07aa"


def configuration(version=1, public=False, **keys):
    found = scheduling_fixtures.configuration()
    queues = {
        name: attrs.evolve(queue, public=public)
        for name, queue in found.queues.items()
    }
    directory = customers.CustomerDirectory(
        customers.Customer(name, frozenset([customers.digest_key(key)]))
        for name, key in keys.items()
    )
    return attrs.evolve(
        found, version=version, queues=queues, customer_directory=directory
    )


class FakeDaemon(types.SimpleNamespace):
    """A daemon whose configuration and its age are set by the test."""

    def __init__(self, bench, configuration, **fields):
        super().__init__(**vars(bench.daemon), age_s=0.0)
        self.configuration = configuration
        self.settings = types.SimpleNamespace(
            **vars(bench.daemon.settings),
            strict_revocation=True,
            revoke_s=5.0,
            config_apply_s=3.0,
        )
        self.faults = _faults.FaultLog(self.metrics)
        self.controller = None
        self.refresher = types.SimpleNamespace(refresh=self.refresh)
        vars(self).update(fields)

    @property
    def version(self):
        return self.configuration.version

    def configuration_age_s(self):
        return self.age_s

    def configuration_silence_s(self):
        return self.age_s

    async def refresh(self, version):
        pass


class Service:
    """An entry that forwards calls to a leader in the same process."""

    def __init__(self):
        self.bench = dispatch_fixtures.Bench()
        self.sent = []
        both = configuration(club=CLUB, shop=SHOP)
        self.leader = FakeDaemon(self.bench, both)
        current = types.SimpleNamespace(address="leader")
        election = types.SimpleNamespace(
            current=current, is_self=lambda leader: False
        )
        client = types.SimpleNamespace(fetch=self.fetch)
        self.entry = FakeDaemon(
            self.bench, both, election=election, client=client
        )
        self.leader_gateway = _gateway.Gateway(self.leader)
        self.handler = _callers.CallerHandler(
            self.entry, _gateway.Gateway(self.entry)
        )

    async def fetch(
        self, address, method, target, body, timeout_s, permit=None
    ):
        self.sent.append(body)
        if self.leader.controller is None:
            return base.Refusal(base.Reason.CONNECTION_FAILED, "test")
        request = transport.Request(method, target, "", {}, body)
        reply = await self.leader_gateway.serve(request)
        return transport.Response(reply.status, reply.body, None)

    async def call(self, method, key=None, job=JOB, path=PATH):
        headers = {"Authorization": f"Token {key}"} if key else {}
        request = transport.Request(
            method, path + job, "example", headers, BODY
        )
        return (await self.handler.serve(request)).status


def run(scenario):
    async def start():
        service = Service()
        # A controller keeps its daemon.
        service.bench.daemon = service.leader
        controller = service.bench.controller()
        service.leader.controller = controller
        controller.start()
        await controller.loaded.wait()
        try:
            await scenario(service)
        finally:
            controller.end("the test is over")

    asyncio.run(start())


class TestCalls:

    @pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
    def test_no_method_is_open_without_a_key(self, method):
        async def scenario(service):
            assert await service.call(method) == 401
            assert await service.call(method, STRAY) == 401
            assert await service.call("GET", job="") == 401
            assert await service.call("GET", CLUB, job="") == 200
            assert not service.leader.controller.scheduler.jobs

        run(scenario)

    def test_a_job_belongs_to_its_customer(self):
        async def scenario(service):
            assert await service.call("POST", CLUB) == 200
            jobs = service.leader.controller.scheduler.jobs
            assert jobs[JOB].spec.customer == "club"
            for method in ("GET", "DELETE", "POST"):
                assert await service.call(method, SHOP) == 403
            assert not jobs[JOB].final
            # Without a leader, the state is read from the store.
            service.leader.controller = None
            assert await service.call("GET", CLUB) == 200
            assert await service.call("POST", CLUB) == 200
            assert await service.call("GET", SHOP) == 403
            assert await service.call("POST", SHOP) == 403
            assert await service.call("GET") == 401

        run(scenario)

    def test_jobs_without_a_customer_are_open_to_their_queue(self):
        async def scenario(service):
            public = configuration(public=True, club=CLUB)
            service.entry.configuration = public
            service.leader.configuration = public
            assert await service.call("POST", STRAY) == 200
            assert await service.call("GET") == 200
            private = configuration(2, club=CLUB)
            service.entry.configuration = private
            service.leader.configuration = private
            assert await service.call("GET", CLUB) == 200
            assert await service.call("GET") == 401

        run(scenario)

    def test_a_job_whose_cancel_came_first_has_its_customer(self):
        async def scenario(service):
            assert await service.call("DELETE", CLUB) == 410
            assert await service.call("POST", CLUB) == 200
            assert await service.call("GET", SHOP) == 403

        run(scenario)

    def test_a_deployment_without_customers_needs_no_key(self):
        async def scenario(service):
            plain = scheduling_fixtures.configuration()
            service.entry.configuration = plain
            service.leader.configuration = plain
            service.entry.age_s = service.leader.age_s = 1e9
            for method in ("POST", "GET", "DELETE"):
                assert await service.call(method) == 200
                assert await service.call(method, STRAY) == 200

        run(scenario)

    def test_a_key_is_checked_anew_on_an_open_connection(self):
        async def scenario(service):
            port = ports.free_port()
            server = transport.Server(
                f"127.0.0.1:{port}", service.handler.serve
            )
            server.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            statuses = []
            for version, key in enumerate([CLUB, STRAY, CLUB], 2):
                service.entry.configuration = configuration(version, club=key)
                service.leader.configuration = service.entry.configuration
                head = f"GET {PATH} HTTP/1.1\r\nHost: example\r\n"
                head += f"Authorization: Token {STRAY}\r\n\r\n"
                writer.write(head.encode())
                answer = await reader.readuntil(b"\r\n\r\n")
                length = answer.lower().split(b"content-length: ")[1]
                await reader.readexactly(int(length.split(b"\r\n")[0]))
                statuses.append(int(answer.split()[1]))
            writer.close()
            server.stop()
            assert statuses == [401, 200, 401]

        run(scenario)


class TestForwarding:

    def test_a_key_that_was_taken_away_is_refused_by_the_leader(self):
        async def scenario(service):
            service.leader.configuration = configuration(2, shop=SHOP)
            assert await service.call("POST", CLUB) == 401
            assert not service.leader.controller.scheduler.jobs

        run(scenario)

    def test_a_leader_that_is_behind_denies_no_new_key(self):
        """Also one that knows no customers yet stores no job without one."""

        async def scenario(service):
            service.entry.configuration = configuration(2, new=STRAY)
            assert await service.call("POST", STRAY) == 503
            service.leader.configuration = scheduling_fixtures.configuration()
            assert await service.call("POST", STRAY) == 503
            assert not service.leader.controller.scheduler.jobs

        run(scenario)

    def test_a_leader_that_is_cut_off_refuses(self):
        async def scenario(service):
            service.leader.age_s = 4.3
            assert await service.call("POST", CLUB) == 503
            service.leader.settings.strict_revocation = False
            assert await service.call("POST", CLUB) == 200

        run(scenario)

    def test_a_call_of_an_earlier_program_version_is_not_trusted(self):
        async def scenario(service):
            message = {"queue": scheduling_fixtures.QUEUE, "version": 1}
            answer = service.leader_gateway.answer
            assert (await answer("pending", message, 1.0)).kind == "uncertain"
            service.leader.configuration = configuration(public=True)
            assert (await answer("pending", message, 1.0)).kind == "pending"

        run(scenario)

    def test_a_late_denial_does_not_hide_an_accepted_job(self):
        """The first attempt may have been carried out without an answer."""

        async def scenario(service):
            answers = ["unknown", "unauthenticated"]

            async def call_leader(*_):
                return _gateway.Outcome(answers.pop(0))

            service.handler.gateway._call_leader = call_leader
            assert await service.call("POST", CLUB) == 504

        run(scenario)


class ScriptedStore:
    """Answers each long poll after a delay; each call is observed before."""

    def __init__(self, clock, delays, observe):
        self.clock = clock
        self.delays = list(delays)
        self.observe = observe
        self.ended = asyncio.Event()

    async def read_all(self, table, part):
        content = test_dispatch_daemon.CONFIGURATION | {
            "tenants": [{"name": "club", "api-keys": [CLUB]}],
            "routes": [
                {"name": "q", "host": "h", "path-prefix": "/", "service": "p"}
            ],
        }
        value = json.dumps(content).encode()
        row = platform.StoredRow(table, part, "config", value, 1)
        return platform.RowSet((row,), 1, 0.0)

    async def feed(self, *_):
        self.observe()
        if not self.delays:
            self.ended.set()
            await asyncio.sleep(60)
        self.clock.now_s += self.delays.pop(0)
        return platform.RowSet((), 1, 0.0)


def make_daemon(**bounds):
    content = test_dispatch_daemon.SETTINGS | {"bounds": bounds}
    return _daemon.Daemon(_settings.decode_settings("test", content))


class TestRevocation:

    def test_a_process_without_recent_contact_refuses_by_itself(
        self, monkeypatch
    ):
        """The late answer is that of a slow link or a suspended process."""
        clock = types.SimpleNamespace(now_s=1000.0)
        monkeypatch.setattr(platform, "boot_time_s", lambda: clock.now_s)
        allowed = []

        async def scenario():
            daemon = make_daemon(**{"strict-revocation": True})
            handler = _callers.CallerHandler(daemon, _gateway.Gateway(daemon))

            def observe():
                queue = daemon.configuration.queues["q"]
                headers = {"Authorization": f"Token {CLUB}"}
                caller = handler.identify(queue, headers)
                allowed.append(caller.decision.allowed)

            follower = daemon.configuration_follower
            follower.store = ScriptedStore(clock, [0.5, 5.0, 0.5], observe)
            task = asyncio.ensure_future(follower.run())
            await follower.store.ended.wait()
            for passed_s in (2.9, 1.0, 100.0):
                clock.now_s += passed_s
                observe()
            task.cancel()

        asyncio.run(scenario())
        assert allowed == [True, True, False, True, True, False, False]

    def test_a_long_poll_leaves_most_of_the_time_to_a_lost_store(self):
        daemon = make_daemon(**{"strict-revocation": True, "revoke-ms": 2000})
        assert daemon.configuration_follower.wait_s <= 0.2
        assert make_daemon().configuration_follower.wait_s == 1.2


class TestSecrecy:

    def test_no_key_in_a_log_line_metric_message_or_row(self, capsys):
        texts = []

        async def scenario(service):
            for key in (CLUB, SHOP, STRAY):
                for method in ("POST", "GET", "DELETE", "PUT"):
                    await service.call(method, key)
                    await service.call(method, f"{key} {key}", job="x")
            for daemon in (service.entry, service.leader):
                texts.append(observability.render_text(daemon.metrics))
            texts.extend(service.sent)
            jobs = [row.value for row in service.bench.store.rows.values()]
            for value in jobs:
                compressed = value[:1] == b"x"
                texts.append(zlib.decompress(value) if compressed else value)

        run(scenario)
        assert any(b'"customer"' in text for text in texts)
        output = capsys.readouterr()
        found = (output.out + output.err).encode() + b"".join(texts)
        assert b"request_answered" in found
        for key in (CLUB, SHOP, STRAY):
            assert key.encode() not in found

    def test_a_rejected_configuration_is_logged_once_without_keys(self, capsys):
        daemon = make_daemon()
        good = {"tenants": [{"name": "club", "api-keys": [CLUB], "extra": 1}]}
        bad = [{"tenants": {SHOP: STRAY}}, {"tenants": [{"name": [STRAY]}]}]
        contents = [good, *bad]
        rows = [
            platform.StoredRow(
                "op",
                "",
                "config",
                json.dumps(
                    {"version": n, "routes": [], "services": []} | content
                ).encode(),
                n,
            )
            for n, content in enumerate(contents, 1)
        ]
        for row in (*rows[:2], rows[1], *rows[2:], rows[2]):
            daemon._observe_configuration([row], None, False)
        assert daemon.version == 1
        assert daemon.configuration.customer_directory.find("club")
        output = capsys.readouterr().out
        assert output.count("operator_row_ignored") == len(bad)
        assert output.count("customer_fields_ignored") == 1
        assert "tenants.0.name: expected str, found list" in output
        for key in (CLUB, SHOP, STRAY):
            assert key not in output

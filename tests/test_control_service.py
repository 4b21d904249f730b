"""The control service over HTTP, the control lease and leaving VMs."""

import json
import pathlib

import attrs
import pytest
from tornado import httpclient
from tornado import testing
from tornado import web

from baobabdoor import base
from baobabdoor import control
from baobabdoor import fleet_api
from baobabdoor import membership
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor import timeline

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/federation.yaml"
TOKEN = "operator-token-123"


@attrs.define
class Store:
    """Fake `configuration.ConfigurationStore` with a fixed configuration."""

    deployment: settings.Deployment | None
    preset_name: str = "ordinary"
    generation: int = 1
    peers: object = None
    current_: object = None

    async def poll(self):
        return None

    async def observe_generation(self, peer_id, generation):
        return None


class Provider:
    """Fake exchange provider that stores received payloads."""

    def __init__(self, name):
        self.name = name
        self.received = {}

    def exchange(self, peer_id, now_s):
        return {"from": self.name}

    def receive(self, peer_id, payload, now_s):
        self.received[peer_id] = payload


class TestServices(testing.AsyncTestCase):
    """Two entries on loopback with the in-memory platform."""

    def setUp(self):
        super().setUp()
        self.timers = observability.LoopTimerService()
        self.deployment = settings.load_deployment(str(EXAMPLE))
        self.core = standin.PlatformCore(self.timers, list_lag_s=0.0)
        specs = standin.lay_out(self.deployment, lambda i: f"127.0.0.1:{i}")
        for spec in specs:
            self.core.vms.add(spec, listed_at_once=True)
        bound = [testing.bind_unused_port() for _ in range(2)]
        ports = [port for _, port in bound]
        self.services = [self.make(index, ports) for index in range(2)]
        self.servers = []
        self.providers = []
        for service, (sock, _) in zip(self.services, bound, strict=True):
            provider = Provider(service.entry_settings.entry_id)
            self.providers.append(provider)
            service.add_exchange_provider("test", provider)
            service.add_peer_endpoint("/peer/v1/echo", self.echo)
            server = web.Application(
                service.routes(), log_function=lambda handler: None
            ).listen(0, "127.0.0.1")
            server.add_socket(sock)
            self.servers.append(server)

    def tearDown(self):
        for server in self.servers:
            server.stop()
        for service in self.services:
            for subscription in service.subscriptions_:
                subscription.cancel()
            service.peer_client.close()
        super().tearDown()

    def make(self, index, ports):
        def address(port):
            return settings.Address(host="127.0.0.1", port=port)

        entry_settings = settings.EntrySettings(
            entry_id=f"e{index}",
            region=self.deployment.region,
            availability_zone="taal",
            caller=address(1),
            control=address(ports[index]),
            platform=address(1),
            peer_key="k" * 32,
            operator_token=TOKEN,
            peers=[
                settings.PeerAddress(
                    entry_id=f"e{1 - index}",
                    availability_zone="taal",
                    control=address(ports[1 - index]),
                )
            ],
        )
        clock = base.HybridClock(self.timers.wall_ms)
        return control.ControlService(
            entry_settings,
            standin.MemoryPlatform(self.timers, self.core),
            self.timers,
            timeline.EventRecorder(entry_settings.entry_id, clock),
            observability.Metrics(),
            Store(self.deployment),
        )

    async def echo(self, sender, incarnation, body):
        if not body:
            return base.Refusal(base.Reason.BAD_REQUEST, "test")
        return sender.encode() + b":" + body

    async def settle(self, done):
        for _ in range(120):
            if done():
                return
            await self.services[0]._sleep(0.05)
        pytest.fail("not settled within 6 s")

    async def get(self, service, path, token):
        url = service.entry_settings.control.url + path
        headers = {"Authorization": f"Bearer {token}"}
        response = await httpclient.AsyncHTTPClient().fetch(
            url, headers=headers, raise_error=False
        )
        return response.code, json.loads(response.body)

    def workers(self, service):
        pools = self.deployment.pools
        return sum(len(service.view.workers(pool)) for pool in pools)

    @testing.gen_test(timeout=20)
    async def test_entries_register_exchange_and_control(self):
        """Guards against components that only fail together over HTTP."""
        for service in self.services:
            await service.start()
        own = [vm for vm in self.core.list_vms().records]
        expected = sum(vm.availability_zone == "taal" for vm in own)
        await self.settle(
            lambda: all(
                self.workers(service) == expected for service in self.services
            )
        )
        await self.settle(lambda: all(p.received for p in self.providers))
        assert all(service.ready() is None for service in self.services)
        acting = [s.controller.is_acting() for s in self.services]
        assert sum(acting) == 1
        status = self.services[0].describe()
        assert [peer.state for peer in status.peers] == ["alive"]

        code, body = await self.get(self.services[0], "/v1/status", TOKEN)
        assert (code, body["entry_id"]) == (200, "e0")
        code, body = await self.get(self.services[0], "/v1/vms", TOKEN)
        assert len(body["vms"]) == len(own)
        code, body = await self.get(self.services[0], "/v1/pools", TOKEN)
        assert {pool["pool"] for pool in body["pools"]} == set(
            self.deployment.pools
        )
        code, body = await self.get(self.services[0], "/v1/pools", "wrong")
        assert (code, "pools" in body) == (401, False)

    @testing.gen_test(timeout=20)
    async def test_peer_requests(self):
        """Guards against trusting unsigned requests or responses."""
        first = self.services[0]
        await first.start()
        answer = await first.post_peer("e1", "/peer/v1/echo", {"A": "1"}, b"x")
        assert answer == b"e0:x"
        answer = await first.post_peer("e1", "/peer/v1/echo", {}, b"")
        assert answer.reason is base.Reason.UNKNOWN_RESULT
        answer = await first.post_peer("e9", "/peer/v1/echo", {}, b"x")
        assert answer.reason is base.Reason.NOT_FOUND
        url = self.services[1].entry_settings.control.url + "/peer/v1/echo"
        response = await httpclient.AsyncHTTPClient().fetch(
            url, method="POST", body=b"x", raise_error=False
        )
        assert response.code == 403
        self.servers[1].stop()
        answer = await first.post_peer("e1", "/peer/v1/echo", {}, b"x")
        assert answer.reason is base.Reason.CONNECTION_FAILED

    @testing.gen_test(timeout=20)
    async def test_leaving_vm_is_no_worker(self):
        """Guards against subscribers that still see a leaving VM."""
        service = self.services[0]
        seen = []
        service.view.subscribe(lambda: seen.append(self.workers(service)))
        await service.start()
        await self.settle(lambda: self.workers(service) > 0)
        count = self.workers(service)
        self.core.vms.leave("taal-vm-001")
        await self.settle(lambda: seen[-1] == count - 1)
        refusal = service.view.permit("taal-vm-001", self.timers.now_s())
        assert refusal.reason is base.Reason.DRAINING

    @testing.gen_test(timeout=20)
    async def test_stop_during_registration(self):
        """Guards against writing the entry row after the entry has stopped."""
        service = self.services[0]
        service.platform.faults.slow_s = 0.4
        await service.start()
        await service.stop()
        await service._sleep(1.0)
        assert not self.core.scan("entry/")

    @testing.gen_test(timeout=20)
    async def test_stop_deletes_the_row(self):
        """Guards against a zone that waits for an entry that stopped."""
        service = self.services[0]
        await service.start()
        await self.settle(lambda: service.member.is_registered_)
        await service.stop()
        assert not self.core.scan("entry/")
        assert service.ready().reason is base.Reason.DRAINING


class TestLeavingVms:

    def make(self, vm_id):
        return membership.LeavingNotice(vm_id=vm_id, boot_id="b1")

    def test_notices_of_peers_expire_and_are_not_forwarded(self):
        """Guards against notices that entries keep alive by repeating them."""
        leaving_vms = control.LeavingVms()
        leaving_vms.observe_peer([self.make("v1")], 10.0)
        assert leaving_vms.is_leaving("v1", "b1", 13.9)
        assert not leaving_vms.is_leaving("v1", "b2", 13.9)
        assert not leaving_vms.is_leaving("v1", "b1", 14.0)
        assert leaving_vms.shared_notices() == ()

    def test_listed_and_own_notices_are_shared(self):
        """Guards against peers that continue to send to a leaving VM."""
        leaving_vms = control.LeavingVms()
        leaving = fleet_api.VmListState.LEAVING
        record = fleet_api.VmRecord("v2", "x:1", leaving, "b1", "a", "r")
        leaving_vms.observe_list({"v2": record})
        leaving_vms.observe_response("v1", "b1", 0.0)
        assert [notice.vm_id for notice in leaving_vms.shared_notices()] == [
            "v1",
            "v2",
        ]
        leaving_vms.clear("v1")
        assert not leaving_vms.is_leaving("v1", "b1", 0.1)


class TestControlLease:

    def make(self, core, timers, entry_id):
        client = standin.MemoryPlatform(timers, core)
        return control.ControlLease(client, timers, "luzon", entry_id)

    def run(self, coroutine):
        with pytest.raises(StopIteration):
            coroutine.send(None)

    def test_takeover_needs_ten_seconds_without_renewal(self):
        """Guards against two entries that act as the controller."""
        timers = base.VirtualTimerService()
        core = standin.PlatformCore(timers)
        first = self.make(core, timers, "e0")
        second = self.make(core, timers, "e1")
        self.run(first.tick(1))
        self.run(second.tick(1))
        assert first.is_acting(timers.now_s())
        for _ in range(4):
            timers.advance(2.0)
            self.run(second.tick(1))
            assert not second.epoch_
        assert not first.is_acting(timers.now_s())
        timers.advance(2.0)
        self.run(second.tick(1))
        assert second.is_acting(timers.now_s())
        self.run(first.tick(1))
        assert not first.epoch_
        assert first.holder_.entry_id == "e1"

    def test_suspended_holder_acts_after_renewal(self):
        """Guards against a holder that keeps acting after a clock jump."""
        timers = base.VirtualTimerService()
        lease = self.make(standin.PlatformCore(timers), timers, "e0")
        self.run(lease.tick(1))
        lease.suspend()
        assert not lease.is_acting(timers.now_s())
        self.run(lease.tick(1))
        assert lease.is_acting(timers.now_s())

    def test_outage_does_not_count_as_silence(self):
        """Guards against a takeover at the end of every platform outage."""
        timers = base.VirtualTimerService()
        core = standin.PlatformCore(timers)
        first = self.make(core, timers, "e0")
        second = self.make(core, timers, "e1")
        self.run(first.tick(1))
        self.run(second.tick(1))
        timers.advance(60.0)
        self.run(second.tick(1))
        assert not second.epoch_

"""The entry as one object: both ports, the request path and its shutdown."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from tornado import httpserver
from tornado import httputil
from tornado import web

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import observability
from baobabdoor import requests
from baobabdoor import routing
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor import timeline
from baobabdoor.entry import _backend_client
from baobabdoor.entry import _caller_server
from baobabdoor.entry import _control_port
from baobabdoor.entry import _forwarder
from baobabdoor.entry import _keys
from baobabdoor.entry import _local_paths
from baobabdoor.entry import _peer_requests
from baobabdoor.entry import _request_path
from baobabdoor.entry import _slot_sharing
from baobabdoor.entry import _work

# A load balancer polls `/readyz` each second and reacts to two failures.
BALANCER_WAIT_S = 3.0
DRAIN_POLL_S = 0.05
# Time to write the last answers once the requests are abandoned.
LAST_ANSWERS_S = 1.0
HOUSEKEEPING_S = 1.0
# Headers beyond this close the connection; up to it, they get a clear answer.
MAX_HEADER_BYTES = 65_536
# Bodies are limited by `CallerServer` with a clear answer; the library's own
# limit, which answers without one, must not come first.
BODY_LIMIT_MARGIN = 2
READ_CHUNK_BYTES = 65_536


@attrs.define(kw_only=True)
class Parts:
    """What an entry is composed of.

    Attributes:
        entry_settings: Settings of the entry.
        timers: Timer service.
        control: The `control.ControlService`.
        admission_policy: Queues requests.
        slot_sharing: Shares slots with the entries of the zone.
        tickets: Tickets of this incarnation.
        claims: Claims on callers' own keys.
        recorder: Time line of the process.
        metrics: Metrics of the process.
        job_routes: Tornado routes of `/v1/jobs` for callers; without them such
            requests get 404. Default: none.
        operator_routes: Further routes of the control port. Default: none.
        seed: Seed of routing's choices. Default: 0.
        balancer_wait_s: Time between not being ready and refusing requests.
    """

    entry_settings: settings.EntrySettings
    timers: base.TimerService
    control: Any
    admission_policy: admission.AdmissionPolicy
    slot_sharing: _slot_sharing.SlotSharing
    tickets: idempotency.Tickets
    claims: idempotency.Claims
    recorder: timeline.EventRecorder
    metrics: observability.Metrics
    job_routes: list | None = None
    operator_routes: list = attrs.field(factory=list)
    seed: int = 0
    balancer_wait_s: float = BALANCER_WAIT_S


class EntryServer:
    """Serves the caller port and the control port.

    Args:
        parts: What the entry is composed of.
    """

    def __init__(self, parts: Parts):
        self.parts = parts
        self.draining_ = False
        self.in_force_: tuple[int, str] | None = None
        self.log_ = observability.get_logger("entry")
        self.client_ = _backend_client.BackendClient(
            parts.timers,
            self._connection_limit,
            parts.entry_settings.max_body_bytes,
        )
        self.router_ = routing.Router(
            parts.control.view,
            parts.slot_sharing,
            parts.entry_settings.availability_zone,
            parts.seed,
        )
        self.path_ = self._make_path()
        self.keys_ = _keys.Keys(
            self.path_, parts.tickets, parts.claims, parts.control, parts.timers
        )
        self.caller_ = self._make_caller_server()
        self.peer_receiver = _peer_requests.PeerReceiver(
            self._make_peer_work, self.keys_.settle
        )
        self.caller_http_ = _caller_server.CallerHttpServer(
            self.caller_,
            max_header_size=MAX_HEADER_BYTES,
            chunk_size=READ_CHUNK_BYTES,
            max_body_size=BODY_LIMIT_MARGIN
            * parts.entry_settings.max_body_bytes,
        )
        # `CallerServer.close_idle` limits the wait for headers instead.
        self.caller_http_.conn_params.header_timeout = None
        self.control_http_: httpserver.HTTPServer | None = None
        self.subscriptions_: list[base.Subscription] = []

    async def start(self) -> None:
        """Starts control, listens on both ports, and starts the timers."""
        parts = self.parts
        control = parts.control
        control.view.subscribe(self._on_view_changed)
        control.add_exchange_provider("slots", parts.slot_sharing)
        control.set_load_source(self.path_.load)
        control.set_sending_check(self.client_.sending)
        control.add_peer_endpoint(
            _peer_requests.PATH, self.peer_receiver.answer
        )
        self._listen_control()
        await control.start()
        self._follow_configuration()
        address = parts.entry_settings.caller
        self.caller_http_.listen_on(address.port, address.host)
        every = parts.timers.every
        self.subscriptions_ = [
            every(_request_path.TICK_S, self._tick),
            every(HOUSEKEEPING_S, self._housekeep),
        ]
        parts.recorder.record("entry.started")
        self.log_.info("started", caller=address.url)

    async def stop(self) -> bool:
        """Shuts down gracefully; returns whether all work was completed."""
        parts = self.parts
        end_s = parts.timers.now_s() + parts.entry_settings.drain_s
        self.draining_ = True
        parts.recorder.record("entry.draining", active=self.path_.active)
        self.log_.info("draining", active=self.path_.active)
        # The balancer still sends requests until it sees the entry not ready.
        await asyncio.sleep(
            min(parts.balancer_wait_s, parts.entry_settings.drain_s)
        )
        self.caller_.draining = True
        self.caller_http_.stop_accepting()
        drained = await self._drain(end_s)
        if not drained:
            await self._abandon()
        for subscription in self.subscriptions_:
            subscription.cancel()
        self.client_.close()
        await self.caller_http_.close_all_connections()
        await parts.claims.stop()
        await parts.control.stop()
        if self.control_http_ is not None:
            self.control_http_.stop()
            await self.control_http_.close_all_connections()
        self.log_.info("stopped", drained=drained)
        return drained

    def ready(self) -> base.Refusal | None:
        """Returns why the entry should get no requests; None if it should."""
        if self.draining_:
            return base.Refusal(base.Reason.DRAINING, "entry.ready")
        return self.parts.control.ready()

    async def _drain(self, end_s: float) -> bool:
        # Connections accepted last have not been read from yet.
        await asyncio.sleep(DRAIN_POLL_S)
        while self.path_.active or self.caller_.open_:
            if self.parts.timers.now_s() >= end_s:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def _abandon(self) -> None:
        """Answers what could not be completed in time."""
        self.path_.abandon_queued()
        self.client_.close()
        await self._drain(self.parts.timers.now_s() + LAST_ANSWERS_S)

    def _make_path(self) -> _request_path.RequestPath:
        parts = self.parts
        forwarder = _forwarder.Forwarder(
            parts.timers,
            self.router_,
            self.client_,
            requests.RetryBudget(),
            parts.recorder,
        )
        return _request_path.RequestPath(
            parts.timers,
            parts.admission_policy,
            parts.slot_sharing,
            self.router_,
            forwarder,
        )

    def _make_caller_server(self) -> _caller_server.CallerServer:
        local = _local_paths.LocalPaths(
            self.ready, self._issue_ticket, self.parts.job_routes
        )
        return _caller_server.CallerServer(
            self.parts.timers,
            self.path_,
            self.keys_,
            local,
            self._known_pool,
            self.parts.entry_settings.max_body_bytes,
        )

    def _make_peer_work(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        finish: Callable[[_work.Result], None],
    ) -> _work.Work | requests.Failure:
        now_s = self.parts.timers.now_s()
        return self.caller_.make_work(method, target, headers, finish, now_s)

    def _issue_ticket(self) -> str | base.Refusal:
        if self.draining_:
            # The ticket would be unknown as soon as this process has ended.
            return base.Refusal(base.Reason.DRAINING, "entry.ticket")
        return self.parts.tickets.issue(self.parts.timers.now_s())

    def _known_pool(self, pool: str) -> bool:
        deployment = self.parts.control.deployment
        return deployment is not None and pool in deployment.pools

    def _connection_limit(self, vm_id: str) -> int:
        limit = self.parts.slot_sharing.connection_limit(vm_id)
        # The policy knows the own zone's workers only.
        return max(limit, routing.FOREIGN_SLOTS)

    def _follow_configuration(self) -> None:
        control = self.parts.control
        in_force = (control.generation, control.preset_name)
        if control.deployment is None or in_force == self.in_force_:
            return
        self.in_force_ = in_force
        self.parts.admission_policy.set_callers(control.deployment.callers)
        preset = control.deployment.presets.get(control.preset_name)
        if preset is not None:
            self.parts.slot_sharing.use(preset.slot_policy)
        self._on_view_changed()

    def _on_view_changed(self) -> None:
        control = self.parts.control
        deployment = control.deployment
        if deployment is None:
            return
        sharing = self.parts.slot_sharing
        workers = []
        listed = set()
        for name, pool in deployment.pools.items():
            for vm in control.view.workers(name):
                listed.add(vm.vm_id)
                if vm.availability_zone == sharing.zone:
                    workers.append(
                        slots.WorkerSlots(
                            vm.vm_id, name, pool.slots, pool.connections
                        )
                    )
        sharing.set_workers(workers)
        self.router_.retain(listed)
        self.client_.retain(listed)
        self.path_.pump()

    def _tick(self) -> None:
        self.caller_.tick()
        self.path_.tick()

    def _housekeep(self) -> None:
        now_s = self.parts.timers.now_s()
        self.caller_.close_idle()
        self.parts.slot_sharing.expire(now_s)
        self.parts.tickets.expire(now_s)
        self.client_.expire_idle(now_s)
        self._follow_configuration()
        metrics = self.parts.metrics
        # Counted on the request path as plain numbers, which costs less.
        for outcome, count in self.path_.ended_.items():
            metrics.count("requests_total", {"outcome": outcome}, count)
        self.path_.ended_.clear()
        if self.caller_.refused_:
            metrics.count("refused_total", None, self.caller_.refused_)
            self.caller_.refused_ = 0
        for pool, demand in self.path_.load().items():
            labels = {"pool": pool}
            metrics.gauge("requests_queued", demand.queued, labels)
            metrics.gauge("requests_in_progress", demand.in_progress, labels)
        metrics.gauge("body_bytes", self.caller_.buffered_)

    def _listen_control(self) -> None:
        parts = self.parts
        application = web.Application(
            [
                *parts.control.routes(),
                *parts.operator_routes,
                *_control_port.routes(
                    parts.metrics,
                    parts.recorder,
                    parts.entry_settings.operator_token,
                ),
            ],
            log_function=lambda handler: None,
        )
        address = parts.entry_settings.control
        self.control_http_ = application.listen(address.port, address.host)

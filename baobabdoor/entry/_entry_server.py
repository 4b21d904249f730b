"""The entry server: its two ports, request processing and shutdown."""

from collections.abc import Callable
from typing import Any

import attrs
from tornado import httputil
from tornado import web

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import control
from baobabdoor import idempotency
from baobabdoor import observability
from baobabdoor import requests
from baobabdoor import routing
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor import timeline
from baobabdoor import transport
from baobabdoor.entry import _backend_client
from baobabdoor.entry import _caller_server
from baobabdoor.entry import _control_access
from baobabdoor.entry import _control_port
from baobabdoor.entry import _forwarder
from baobabdoor.entry import _idempotency_keys
from baobabdoor.entry import _limits
from baobabdoor.entry import _local_paths
from baobabdoor.entry import _peer_requests
from baobabdoor.entry import _pending_request
from baobabdoor.entry import _request_dispatcher
from baobabdoor.entry import _response_memory
from baobabdoor.entry import _shutdown
from baobabdoor.entry import _slot_sharing

# A load balancer polls `/readyz` every second and stops sending requests after
# two failures.
BALANCER_WAIT_S = 3.0
HOUSEKEEPING_INTERVAL_S = 1.0


@attrs.define(kw_only=True)
class Components:
    """Components of an entry server.

    Attributes:
        entry_settings: Settings of the entry.
        timers: Timer service.
        control: The `control.ControlService`.
        admission_policy: Queues requests.
        slot_sharing: Shares slots with the entries of the zone.
        tickets: Tickets issued by this incarnation of the entry.
        claims: Claims on keys chosen by callers.
        recorder: Records timeline events.
        metrics: Metrics of the process.
        job_routes: Tornado routes of `/v1/jobs` for callers; without them such
            requests get 404. Default: none.
        operator_routes: Further routes of the control port. Default: none.
        seed: Seed of the random choices in routing. Default: 0.
        balancer_wait_s: Time in which the load balancer notices that the entry
            is not ready, in seconds.
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
        components: Components of the entry server.
    """

    def __init__(self, components: Components):
        self.components = components
        self.bounds_ = _limits.divide(components.entry_settings)
        self.pool_ = transport.MemoryPool(self.bounds_.pool_bytes)
        self.draining_ = False
        # When the first stop signal arrived.
        self.signalled_s_: float | None = None
        self.applied_configuration_: tuple[int, str] | None = None
        self.log_ = observability.get_logger("entry")
        self.client_ = _backend_client.BackendClient(
            components.timers,
            self._connection_limit,
            components.entry_settings.max_body_bytes,
            _response_memory.ResponseMemoryLimiter(
                self.bounds_.response_bytes, self.pool_
            ),
        )
        self.router_ = routing.Router(
            components.control.view,
            components.slot_sharing,
            components.entry_settings.availability_zone,
            components.seed,
        )
        self.dispatcher_ = self._make_dispatcher()
        self.keys_ = _idempotency_keys.IdempotencyKeys(
            self.dispatcher_,
            components.tickets,
            components.claims,
            components.control,
            components.timers,
        )
        self.caller_server_ = self._make_caller_server()
        self.peer_request_handler = _peer_requests.PeerRequestHandler(
            self._queue_peer_request, self.keys_.resolve
        )
        self.control_server_: transport.Server | None = None
        self.control_handler_: _control_port.InterruptibleHandler | None = None
        self.subscriptions_: list[base.Subscription] = []

    async def start(self) -> None:
        """Starts the control service, both listeners and the timers."""
        components = self.components
        service = components.control
        service.view.subscribe(self._on_view_changed)
        service.add_exchange_provider("slots", components.slot_sharing)
        service.set_load_source(self.dispatcher_.load)
        service.set_sending_check(self.client_.is_sending)
        service.add_peer_endpoint(
            _peer_requests.PATH, self.peer_request_handler.handle
        )
        self.control_server_ = self._make_control_server()
        self.control_server_.start()
        await service.start()
        self._apply_configuration()
        address = components.entry_settings.caller
        self.caller_server_.start(address)
        every = components.timers.every
        self.subscriptions_ = [
            every(_request_dispatcher.TICK_INTERVAL_S, self._tick),
            every(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping),
        ]
        components.recorder.record("entry.started")
        self.log_.info("started", caller=address.url)

    def observe_signal(self) -> None:
        """Observes a stop signal, from whose arrival `drain_s` counts."""
        if self.signalled_s_ is None:
            self.signalled_s_ = self.components.timers.now_s()

    async def stop(self) -> bool:
        """Stops within `drain_s`; returns whether all requests completed.

        The time counts from the stop signal, or from now without one.
        """
        components = self.components
        self.observe_signal()
        self.draining_ = True
        components.recorder.record(
            "entry.draining", active=self.dispatcher_.active
        )
        self.log_.info("draining", active=self.dispatcher_.active)
        budget = base.divide_shutdown(
            components.entry_settings.drain_s, components.balancer_wait_s
        )
        drained = await self._make_shutdown(budget).run()
        for subscription in self.subscriptions_:
            subscription.cancel()
        self.log_.info("stopped", drained=drained)
        return drained

    def ready(self) -> base.Refusal | None:
        """Returns why the entry is not ready; None if it is."""
        if self.draining_:
            return base.Refusal(base.Reason.DRAINING, "entry.ready")
        return self.components.control.ready()

    def _make_shutdown(self, budget: base.ShutdownBudget) -> _shutdown.Shutdown:
        return _shutdown.Shutdown(
            _shutdown.Parts(
                timers=self.components.timers,
                callers=self.caller_server_,
                control_server=self.control_server_,
                control_handler=self.control_handler_,
                dispatcher=self.dispatcher_,
                keys=self.keys_,
                client=self.client_,
                claims=self.components.claims,
                control=self.components.control,
            ),
            budget,
            self.signalled_s_,
        )

    def _make_dispatcher(self) -> _request_dispatcher.RequestDispatcher:
        components = self.components
        forwarder = _forwarder.Forwarder(
            components.timers,
            self.router_,
            self.client_,
            requests.RetryBudget(),
            components.recorder,
        )
        return _request_dispatcher.RequestDispatcher(
            components.timers,
            components.admission_policy,
            components.slot_sharing,
            self.router_,
            forwarder,
        )

    def _make_caller_server(self) -> _caller_server.CallerServer:
        local_paths = _local_paths.LocalPaths(
            self.ready, self._issue_ticket, self.components.job_routes
        )
        return _caller_server.CallerServer(
            self.components.timers,
            self.dispatcher_,
            self.keys_,
            local_paths,
            self._pool_exists,
            self.components.entry_settings,
            self.bounds_.callers,
            self.pool_,
            self.components.metrics,
        )

    def _queue_peer_request(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        on_result: Callable[[_pending_request.Result], None],
    ) -> _pending_request.PendingRequest | requests.Failure:
        now_s = self.components.timers.now_s()
        return self.caller_server_.queue_request(
            method, target, headers, on_result, now_s
        )

    def _issue_ticket(self) -> str | base.Refusal:
        if self.draining_:
            # The ticket would become invalid when this process exits.
            return base.Refusal(base.Reason.DRAINING, "entry.ticket")
        return self.components.tickets.issue(self.components.timers.now_s())

    def _pool_exists(self, pool: str) -> bool:
        deployment = self.components.control.deployment
        return deployment is not None and pool in deployment.pools

    def _connection_limit(self, vm_id: str) -> int:
        limit = self.components.slot_sharing.connection_limit(vm_id)
        # The policy only covers workers in the entry's zone.
        return max(limit, routing.CROSS_ZONE_SLOTS)

    def _apply_configuration(self) -> None:
        service = self.components.control
        configuration = (service.generation, service.preset_name)
        if (
            service.deployment is None
            or configuration == self.applied_configuration_
        ):
            return
        self.applied_configuration_ = configuration
        self.components.admission_policy.set_callers(service.deployment.callers)
        preset = service.deployment.presets.get(service.preset_name)
        if preset is not None:
            self.components.slot_sharing.set_policy(preset.slot_policy)
        self._on_view_changed()

    def _on_view_changed(self) -> None:
        service = self.components.control
        deployment = service.deployment
        if deployment is None:
            return
        sharing = self.components.slot_sharing
        workers = []
        vm_ids = set()
        for name, pool in deployment.pools.items():
            for vm in service.view.workers(name):
                vm_ids.add(vm.vm_id)
                if vm.availability_zone == sharing.zone:
                    workers.append(
                        slots.WorkerSlots(
                            vm.vm_id, name, pool.slots, pool.connections
                        )
                    )
        sharing.set_workers(workers)
        self.router_.remove_unlisted(vm_ids)
        self.client_.remove_unlisted(vm_ids)
        self.dispatcher_.dispatch_queued()

    def _tick(self) -> None:
        self.caller_server_.tick()
        self.keys_.expire(self.components.timers.now_s())
        self.dispatcher_.tick()

    def _run_housekeeping(self) -> None:
        now_s = self.components.timers.now_s()
        self.components.slot_sharing.expire(now_s)
        self.components.tickets.expire(now_s)
        self.client_.expire_idle(now_s)
        self._apply_configuration()
        metrics = self.components.metrics
        # Requests update plain counters, which is cheaper than metrics.
        for outcome, count in self.dispatcher_.outcome_counts_.items():
            metrics.count("requests_total", {"outcome": outcome}, count)
        self.dispatcher_.outcome_counts_.clear()
        if self.caller_server_.refused_count_:
            metrics.count(
                "refused_total", None, self.caller_server_.refused_count_
            )
            self.caller_server_.refused_count_ = 0
        for pool, demand in self.dispatcher_.load().items():
            labels = {"pool": pool}
            metrics.gauge("requests_queued", demand.queued, labels)
            metrics.gauge("requests_in_progress", demand.in_progress, labels)
        metrics.gauge("body_bytes", self.caller_server_.buffered_bytes_)

    def _make_control_server(self) -> transport.Server:
        components = self.components
        entry_settings = components.entry_settings
        application = web.Application(
            [
                *components.control.routes(),
                *components.operator_routes,
                *_control_port.make_routes(
                    components.metrics,
                    components.recorder,
                    entry_settings.operator_token,
                ),
            ],
            log_function=lambda handler: None,
        )
        access = _control_access.ControlAccess(
            entry_settings.operator_token,
            entry_settings.max_document_bytes,
            lambda path, headers: control.check_peer_header(
                components.control.signer, path, headers
            ),
        )
        address = entry_settings.control
        self.control_handler_ = _control_port.InterruptibleHandler(
            transport.ApplicationHandler(application).serve
        )
        return transport.Server(
            f"{address.host}:{address.port}",
            self.control_handler_.handle,
            name="control",
            bounds=self.bounds_.control,
            limits=transport.RequestLimits(
                header_bytes=_caller_server.MAX_HEADER_BYTES,
                body_bytes=self.bounds_.control_body_bytes,
                header_timeout_s=entry_settings.header_timeout_s,
                idle_timeout_s=entry_settings.idle_timeout_s,
                body_timeout_s=entry_settings.body_timeout_s,
                reply_timeout_s=entry_settings.response_timeout_s,
            ),
            check_header=access.check,
            metrics=components.metrics,
            receive_buffer_bytes=transport.RECEIVE_BUFFER_BYTES,
            pool=self.pool_,
        )

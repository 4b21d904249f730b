"""Service for membership, views and control on an entry's control port."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs
from tornado import gen
from tornado import ioloop

from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import fleet_api as platform_lib
from baobabdoor import maintenance
from baobabdoor import membership
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.control import _activity
from baobabdoor.control import _controller
from baobabdoor.control import _exchanges
from baobabdoor.control import _fleet_view
from baobabdoor.control import _lease
from baobabdoor.control import _leaving_vms
from baobabdoor.control import _member
from baobabdoor.control import _operator
from baobabdoor.control import _peer_configuration
from baobabdoor.control import _peer_http
from baobabdoor.control import _status

EXCHANGE_PATH = "/peer/v1/exchange"
EXCHANGE_PERIOD_S = 1.0
# A peer whose last message is newer than this has already started an exchange
# in this round.
RECENT_CONTACT_S = 0.9
# Shorter than a view lease, so that a slow response does not delay the next
# attempt.
EXCHANGE_TIMEOUT_S = 1.5
CONTROL_PERIOD_S = 1.0
VM_LIST_POLL_PERIOD_S = 2.0
CONFIGURATION_POLL_PERIOD_S = 2.0
ENTRIES_POLL_PERIOD_S = 10.0
# New entries announce themselves in exchanges. Reading all rows more often
# would take more than the 3 KB/s that a daemon of a large region may use.
ENTRIES_REFRESH_PERIOD_S = 60.0
# The longest deadline that callers usually set, plus a margin.
PEER_REQUEST_TIMEOUT_S = 35.0
# Grants expire after 4.2 s; the rest allows two calls to a slow platform.
LEAVE_TIMEOUT_S = 8.0
LEAVE_RETRY_PERIOD_S = 0.2
STEP = "control.service"


class ControlService:
    """Runs the membership, VM views and controller of one entry.

    The control port must be bound before `start`: a successful bind proves that
    any earlier process with the same address has ended.

    Args:
        entry_settings: Settings of the entry.
        platform: Client of the platform.
        timers: Timer service.
        recorder: Event timeline of the process.
        metrics: Metrics of the process.
        configuration: A `configuration.ConfigurationStore`.
        make_capacity_policy: Returns the capacity policy with a given name.
            Default: no capacity policy.
        maintenance_policy: Plans maintenance reboots. Default: none.
    """

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        platform: platform_lib.Platform,
        timers: base.TimerService,
        recorder: timeline.EventRecorder,
        metrics: observability.Metrics,
        configuration: Any,
        make_capacity_policy: (
            Callable[[str], capacity.CapacityPolicy | None] | None
        ) = None,
        maintenance_policy: maintenance.MaintenancePolicy | None = None,
    ):
        self.entry_settings = entry_settings
        self.platform = platform
        self.timers = timers
        self.recorder = recorder
        self.metrics = metrics
        self.configuration = configuration
        self.make_capacity_policy = make_capacity_policy
        self.maintenance_policy = maintenance_policy
        self.is_sending_: Callable[[str], bool] = lambda vm_id: False
        self.subscriptions_: list[base.Subscription] = []
        self.activities_: list[_activity.Activity] = []
        self.peer_endpoints_: dict[str, _peer_http.PeerEndpoint] = {}
        self.exchanges_in_progress_: set[str] = set()
        self.entries_read_s_: float | None = None
        self.applied_deployment_: settings.Deployment | None = None
        self._build_components()

    def _build_components(self) -> None:
        entry = self.entry_settings
        identity = _member.Identity(
            entry.entry_id,
            entry.availability_zone,
            entry.control.url.removeprefix("http://"),
            entry.boot_id,
        )
        self.peers = membership.PeerTable(
            entry.entry_id, entry.availability_zone
        )
        self.schedule = membership.ExchangeSchedule(self.peers)
        self.leaving_vms = _leaving_vms.LeavingVms()
        self.member = _member.Member(
            identity,
            self.platform,
            self.timers,
            self.peers,
            self.recorder,
            lambda vm_id: self.is_sending_(vm_id),
        )
        self.member.choose_incarnation()
        self.signer = membership.PeerSigner(
            entry.peer_key.encode(), entry.entry_id, self.member.incarnation_
        )
        self.peer_client = _peer_http.PeerClient(self.signer, self.peers)
        self.exchanges = _exchanges.ExchangeProcessor(
            self.member,
            self.peers,
            self.leaving_vms,
            self.timers,
            self.recorder,
        )
        # Subscribes before the view, whose subscribers must see the updated
        # list.
        self.member.subscribe(
            lambda: self.leaving_vms.observe_list(self.member.listed_vms_)
        )
        self.view = _fleet_view.FleetView(
            self.member, self.leaving_vms, self.timers
        )
        self.lease = _lease.ControlLease(
            self.platform, self.timers, entry.region, entry.entry_id
        )
        self.controller = _controller.Controller(
            self.platform,
            self.timers,
            self.lease,
            self.configuration,
            lambda: self.member.listed_vms_,
            _controller.Planners(
                self.make_capacity_policy or (lambda name: None),
                self.maintenance_policy,
                self.exchanges.demand,
            ),
            self.recorder,
        )
        self.configuration.peers = _peer_configuration.PeerConfigurationClient(
            self.peer_client
        )

    # Interface to the entry daemon.

    @property
    def deployment(self) -> settings.Deployment | None:
        """Active deployment settings; None until a configuration is read."""
        return self.configuration.deployment

    @property
    def generation(self) -> int:
        """Generation of the active configuration; 0 if there is none."""
        return self.configuration.generation

    @property
    def preset_name(self) -> str:
        """Name of the active preset; empty if there is none."""
        return self.configuration.preset_name

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self.member.incarnation_

    async def start(self) -> None:
        """Starts all activities; the platform may be unreachable."""
        now_s = self.timers.now_s()
        for peer in self.entry_settings.peers:
            address = membership.PeerAddress(
                peer.entry_id,
                peer.availability_zone,
                peer.control.url.removeprefix("http://"),
            )
            self.peers.observe_address(
                address, membership.PeerSource.SEEDS, now_s
            )
        periods = (
            ("tick", _member.TICK_PERIOD_S, self._tick),
            ("list", VM_LIST_POLL_PERIOD_S, self.member.poll_vm_list),
            ("membership", _member.TICK_PERIOD_S, self._maintain_membership),
            (
                "configuration",
                CONFIGURATION_POLL_PERIOD_S,
                self._poll_configuration,
            ),
            ("entries", ENTRIES_POLL_PERIOD_S, self._poll_entries),
            ("exchange", EXCHANGE_PERIOD_S, self._exchange_round),
            ("lease", _lease.RENEW_PERIOD_S, self._maintain_lease),
            ("control", CONTROL_PERIOD_S, self.controller.run_round),
            ("control-parts", CONTROL_PERIOD_S, self.controller.run_extensions),
        )
        for name, period_s, function in periods:
            activity = _activity.Activity(name, function, self._spawn)
            self.activities_.append(activity)
            activity.trigger()
            self.subscriptions_.append(
                self.timers.every(period_s, activity.trigger)
            )

    async def stop(self) -> None:
        """Leaves the deployment; the entry must have stopped sending requests.

        The entry row is deleted once no grant of this entry can be in use. If
        the platform does not respond in time, the row remains. The VMs of the
        zone then do not move until the platform lists the VM of this entry as
        terminated, or a process with the same control address replaces it.
        """
        for subscription in self.subscriptions_:
            subscription.cancel()
        self.member.close()
        await self._exchange_round()
        end_s = self.timers.now_s() + LEAVE_TIMEOUT_S
        # A registration in progress would write the row again.
        while self._is_membership_running() and self.timers.now_s() < end_s:
            await self._sleep(LEAVE_RETRY_PERIOD_S)
        refusal = await self.member.leave()
        while refusal is not None and self.timers.now_s() < end_s:
            await self._sleep(LEAVE_RETRY_PERIOD_S)
            refusal = await self.member.leave()
        if refusal is not None:
            self._log("entry row not deleted", str(refusal))
        self.peer_client.close()

    def ready(self) -> base.Refusal | None:
        """Returns why this entry is not ready for callers, or None."""
        if self.member.registration_refusal_ is not None:
            return self.member.registration_refusal_
        if self.deployment is None:
            return base.Refusal(
                base.Reason.NOT_READY, STEP, detail="no configuration yet"
            )
        home_zone = self.member.home_zone
        refusal = self.member.check_access(home_zone, self.timers.now_s())
        if refusal is not None:
            return refusal
        if not self.member.views.version(home_zone):
            return base.Refusal(
                base.Reason.NOT_READY, STEP, detail="no VMs known yet"
            )
        return None

    def routes(self) -> list[tuple]:
        """Returns the tornado routes of the control port."""
        endpoints = _peer_configuration.PeerConfigurationEndpoints(
            self.configuration
        )
        functions = {
            EXCHANGE_PATH: self._handle_exchange,
            _peer_configuration.CURRENT_PATH: endpoints.current,
            _peer_configuration.OBJECT_PATH: endpoints.cached_object,
            **self.peer_endpoints_,
        }
        routes: list[tuple] = [
            (
                path,
                _peer_http.PeerHandler,
                {"signer": self.signer, "function": function},
            )
            for path, function in functions.items()
        ]
        reports = {
            "/v1/status": self._report_status,
            "/v1/pools": self._report_pools,
            "/v1/vms": self._report_vms,
        }
        token = self.entry_settings.operator_token
        for path, report in reports.items():
            options = {"token": token, "report": report}
            routes.append((path, _operator.ReportHandler, options))
        return routes

    def add_exchange_provider(
        self, name: str, provider: _exchanges.ExchangeProvider
    ) -> None:
        """Adds a provider of payloads for exchanges within the home zone."""
        self.exchanges.providers_[name] = provider

    def add_peer_endpoint(
        self, path: str, endpoint: _peer_http.PeerEndpoint
    ) -> None:
        """Adds an endpoint for verified peer requests; call before `routes`.

        Args:
            path: URL path below `/peer/v1/`.
            endpoint: Coroutine function of the sender, its incarnation and the
                request body; returns the response body or a refusal.
        """
        self.peer_endpoints_[path] = endpoint

    def add_controller_extension(
        self, extension: Callable[[_controller.ControlRound], Any]
    ) -> None:
        """Adds a coroutine function to run in each round of the controller."""
        self.controller.add_extension(extension)

    def set_load_source(self, source: _exchanges.LoadSource) -> None:
        """Sets the function that returns this entry's demand by pool."""
        self.exchanges.load_source_ = source

    def set_sending_check(self, check: Callable[[str], bool]) -> None:
        """Sets the function that checks if a send to a VM is in progress."""
        self.is_sending_ = check

    async def post_peer(
        self,
        entry_id: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float = PEER_REQUEST_TIMEOUT_S,
    ) -> bytes | base.Refusal:
        """Sends a signed request to a peer.

        Returns:
            The verified response body, or a refusal. Only
            `Reason.CONNECTION_FAILED` and `Reason.NOT_FOUND` guarantee that the
            peer has not processed the request.
        """
        return await self.peer_client.post(
            entry_id, path, headers, body, timeout_s
        )

    # Activities.

    def _is_membership_running(self) -> bool:
        return any(
            activity.is_running_
            for activity in self.activities_
            if activity.function == self._maintain_membership
        )

    def _spawn(self, function: Callable[[], Any]) -> None:
        ioloop.IOLoop.current().spawn_callback(function)

    async def _sleep(self, delay_s: float) -> None:
        await gen.sleep(delay_s)

    async def _tick(self) -> None:
        if self.member.tick():
            self.lease.suspend()
        self.leaving_vms.expire(self.timers.now_s())
        self.member.generation_ = self.configuration.generation
        self._apply_neighbours()
        self._update_gauges()

    async def _maintain_membership(self) -> None:
        if not self.member.is_registered_:
            await self.member.register()
        self.signer.incarnation = self.member.incarnation_
        await self.member.poll_views()
        if self.member.is_registered_ and not self.member.is_closing_:
            await self.member.write_heartbeat()
        self.signer.incarnation = self.member.incarnation_

    async def _poll_entries(self) -> None:
        read_s = self.entries_read_s_
        now_s = self.timers.now_s()
        if read_s is not None and now_s - read_s < ENTRIES_REFRESH_PERIOD_S:
            return
        if await self.member.poll_entries():
            self.entries_read_s_ = now_s

    async def _poll_configuration(self) -> None:
        await self.configuration.poll()

    async def _maintain_lease(self) -> None:
        if self.member.is_registered_ and not self.member.is_closing_:
            await self.lease.tick(self.member.incarnation_)

    async def _exchange_round(self) -> None:
        for peer in self.schedule.plan():
            if (
                peer.entry_id not in self.exchanges_in_progress_
                and self._is_exchange_due(peer)
            ):
                self.exchanges_in_progress_.add(peer.entry_id)
                self._spawn(lambda peer=peer: self._exchange(peer))

    def _is_exchange_due(self, peer: membership.PeerAddress) -> bool:
        """Returns whether an exchange with a peer is due.

        If the peer recently started an exchange, none is due, because an
        exchange transfers state in both directions. The exception is a lease,
        which this entry must request itself.
        """
        if self.member.wants_lease(peer.availability_zone):
            return True
        known = self.peers.peers_.get(peer.entry_id)
        if known is None or known.last_seen_s is None:
            return True
        return self.timers.now_s() - known.last_seen_s >= RECENT_CONTACT_S

    async def _exchange(self, peer: membership.PeerAddress) -> None:
        try:
            timestamp = self.member.send_timestamp()
            body = self.exchanges.request(peer).to_bytes()
            response = await self.peer_client.post(
                peer.entry_id, EXCHANGE_PATH, {}, body, EXCHANGE_TIMEOUT_S
            )
            if isinstance(response, base.Refusal):
                self.metrics.count(
                    "exchanges_failed_total", {"reason": response.reason.value}
                )
                return
            exchange = membership.Exchange.from_bytes(response)
            if isinstance(exchange, base.Refusal):
                self._log("malformed exchange response", str(exchange))
                return
            incarnation = self.signer.known_incarnations_[peer.entry_id]
            self.exchanges.receive_response(
                peer.entry_id, incarnation, exchange, timestamp
            )
        finally:
            self.exchanges_in_progress_.discard(peer.entry_id)
        await self.configuration.observe_generation(
            peer.entry_id, exchange.generation
        )

    async def _handle_exchange(
        self, sender: str, incarnation: int, body: bytes
    ) -> bytes | base.Refusal:
        exchange = membership.Exchange.from_bytes(body)
        if isinstance(exchange, base.Refusal):
            return exchange
        if exchange.entry.entry_id != sender:
            return base.Refusal(base.Reason.FORGED, STEP, sender)
        response = self.exchanges.respond(sender, incarnation, exchange)
        if exchange.generation > self.configuration.generation:
            self._spawn(
                lambda: self.configuration.observe_generation(
                    sender, exchange.generation
                )
            )
        return response.to_bytes()

    def _apply_neighbours(self) -> None:
        deployment = self.configuration.deployment
        if deployment is None or deployment is self.applied_deployment_:
            return
        self.applied_deployment_ = deployment
        for zone in deployment.availability_zones:
            if zone.name == self.member.home_zone:
                self.view.set_neighbours(zone.neighbours)
                self.member.followed_zones_ = frozenset(zone.neighbours)

    def _update_gauges(self) -> None:
        now_s = self.timers.now_s()
        states: dict[str, int] = {}
        for entry_id in self.peers.peers_:
            state = self.peers.state(entry_id, now_s).value
            states[state] = states.get(state, 0) + 1
        for state in membership.PeerState:
            self.metrics.gauge(
                "peers", states.get(state.value, 0), {"state": state.value}
            )
        self.metrics.gauge("control_acting", self.controller.is_acting())
        for activity in self.activities_:
            self.metrics.gauge(
                "activity_failures",
                activity.failures_,
                {"activity": activity.name},
            )

    def _log(self, event: str, detail: str) -> None:
        observability.get_logger("control").warning(event, detail=detail)

    # Status.

    def describe(self) -> _status.EntryStatus:
        """Returns the status of this entry."""
        now_s = self.timers.now_s()
        refusal = self.ready()
        return _status.EntryStatus(
            entry_id=self.entry_settings.entry_id,
            availability_zone=self.member.home_zone,
            incarnation=self.member.incarnation_,
            state="ready" if refusal is None else str(refusal),
            registered=self.member.is_registered_,
            generation=self.generation,
            preset=self.preset_name,
            views=self.member.confirmed_views(),
            control=self._describe_control(),
            peers=self._describe_peers(now_s),
            pools=self.describe_pools(),
        )

    def _describe_control(self) -> _status.ControlStatus:
        holder = self.lease.holder_
        return _status.ControlStatus(
            holder.entry_id,
            holder.incarnation,
            holder.epoch,
            self.controller.is_acting(),
            {
                vm_id: str(refusal)
                for vm_id, refusal in self.controller.refusals_.items()
            },
        )

    def _describe_peers(self, now_s: float) -> list[_status.PeerStatus]:
        statuses = []
        for entry_id, peer in sorted(self.peers.peers_.items()):
            last_seen_s = (
                None if peer.last_seen_s is None else now_s - peer.last_seen_s
            )
            statuses.append(
                _status.PeerStatus(
                    entry_id,
                    peer.address.availability_zone,
                    f"http://{peer.address.control}",
                    self.peers.state(entry_id, now_s).value,
                    last_seen_s,
                    peer.incarnation,
                    peer.generation,
                    peer.views,
                    peer.is_registered,
                )
            )
        return statuses

    def describe_pools(self) -> list[_status.PoolStatus]:
        """Returns the status of the pools according to the views."""
        return _status.pool_statuses(
            self._vm_states(), self.deployment, self.preset_name
        )

    def describe_vms(self) -> list[_status.VmStatus]:
        """Returns the status of the VMs according to the views."""
        now_s = self.timers.now_s()
        statuses = []
        for vm in self._vm_states():
            refusal = self.view.permit(vm.vm_id, now_s)
            statuses.append(
                _status.VmStatus(
                    vm.vm_id,
                    vm.availability_zone,
                    vm.rack,
                    vm.address,
                    vm.pool,
                    vm.phase.value,
                    vm.target_pool,
                    vm.intent,
                    vm.boot_id,
                    vm.last_maintained_ms,
                    "" if refusal is None else str(refusal),
                )
            )
        return statuses

    def _vm_states(self) -> list[ownership.VmState]:
        states = [
            ownership.vm_state(
                vm_id, zone, row, self.member.listed_vms_.get(vm_id)
            )
            for zone, view in self.member.views.held_.items()
            for vm_id, row in view.rows.items()
        ]
        return sorted(states, key=lambda vm: vm.vm_id)

    def _report_status(self) -> dict[str, Any]:
        return attrs.asdict(self.describe())

    def _report_pools(self) -> dict[str, Any]:
        return {"pools": [attrs.asdict(pool) for pool in self.describe_pools()]}

    def _report_vms(self) -> dict[str, Any]:
        return {"vms": [attrs.asdict(vm) for vm in self.describe_vms()]}

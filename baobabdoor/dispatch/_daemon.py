"""Daemon process of an entry VM on the users' platform."""

import asyncio
import gc
import os
import secrets
import signal

import attrs

from baobabdoor import base
from baobabdoor import customers
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _callers
from baobabdoor.dispatch import _controller
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _faults
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _refresh
from baobabdoor.dispatch import _shutdown
from baobabdoor.dispatch import _table_follower

# The daemon reports that it is not ready if the store has not answered for this
# time.
READINESS_TIMEOUT_S = 2.5
# Maximum ignored fields, and pairs of customers with a key in common, that are
# named in the log.
MAX_LOGGED = 20
# A forwarded body of the maximum size, each byte of which may be escaped.
MAX_PEER_BODY_BYTES = 2 * 1024 * 1024
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
LOG = observability.get_logger("daemon")


class Daemon:
    """Serves callers and, while it is the leader, schedules jobs.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: platform.ProcessSettings):
        self.settings = settings
        self.metrics = observability.Metrics()
        self.faults = _faults.FaultLog(self.metrics)
        self.bounds = transport.divide(
            settings.memory_mb, settings.max_descriptors
        )
        self.client = transport.Client(self.bounds.idle_client_connections)
        self.store = platform.StoreClient(self.client, settings.store_address)
        self.worker_client = platform.WorkerClient(self.client)
        self.advice_client = platform.AdviceClient(
            self.client, settings.advice_address
        )
        self.machine_client = platform.MachineClient(
            self.client, settings.machines_address, settings.node
        )
        self.created_s = platform.boot_time_s()
        self.configuration: scheduling.Configuration | None = None
        # Set once there is a configuration.
        self.configured = asyncio.Event()
        # Time as of which the configuration was read on demand.
        self.read_as_of_s_ = -1e9
        # Version of the last row whose configuration was rejected.
        self.rejected_row_version_ = -1
        self.waves: dict[int, scheduling.Wave] = {}
        self.controller: _controller.Controller | None = None
        # Controller whose term ends by the stop.
        self.stopped_controller: _controller.Controller | None = None
        self.shutdown = _shutdown.Shutdown(settings.grace_s)
        address = f"{settings.ip}:{settings.internal_port}"
        self.election = _election.LeaderElection(
            self.store,
            settings.node,
            secrets.token_hex(8),
            address,
            self._eligible,
            self._observe_elected,
            settings.cores,
        )
        self.configuration_follower = _table_follower.TableFollower(
            self.store,
            platform.CONFIGURATION_TABLE,
            "",
            self._observe_configuration,
            _access.feed_wait_s(settings),
        )
        self.refresher = _refresh.Refresher(
            lambda: self.version, self._read_configuration
        )
        gateway = _gateway.Gateway(self, self.shutdown)
        callers = _callers.CallerHandler(self, gateway)
        self.caller_servers: list[transport.Server] = []
        self.servers = self._make_servers(address, gateway, callers)

    def _make_servers(self, address, gateway, callers):
        settings = self.settings
        bounds = self.bounds
        if settings.front_address:
            server = transport.Server(
                settings.front_address,
                callers.serve,
                name="callers",
                bounds=bounds.callers,
                check_header=callers.check_header,
                metrics=self.metrics,
                receive_buffer_bytes=transport.RECEIVE_BUFFER_BYTES,
            )
            self.caller_servers.append(server)
        probes = {f"{settings.ip}:{settings.metrics_port}": self._serve_metrics}
        if settings.ready_address:
            probes[settings.ready_address] = self._serve_ready
        peer_server = transport.Server(
            address,
            gateway.serve,
            name="peers",
            bounds=bounds.peers,
            limits=transport.RequestLimits(body_bytes=MAX_PEER_BODY_BYTES),
            metrics=self.metrics,
        )
        probe_servers = [
            transport.Server(
                probe_address,
                handler,
                name=handler.__name__.removeprefix("_serve_"),
                bounds=bounds.probes,
                metrics=self.metrics,
                receive_buffer_bytes=transport.RECEIVE_BUFFER_BYTES,
            )
            for probe_address, handler in probes.items()
        ]
        return [peer_server, *self.caller_servers, *probe_servers]

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def configuration_age_s(self) -> float:
        """Returns the time since the configuration was certainly the newest."""
        followed_s = self.configuration_follower.current_as_of_s
        return platform.boot_time_s() - max(followed_s, self.read_as_of_s_)

    def configuration_silence_s(self) -> float:
        """Returns the time since the last answer about the configuration."""
        last_answer_s = self.configuration_follower.last_answer_s
        return platform.boot_time_s() - last_answer_s

    async def run(self) -> None:
        """Serves until the process receives a stop signal."""
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()

        def request_stop(number: int, frame: object) -> None:
            # Called between two instructions, also while the event loop is busy
            # for long, which notices the signal only later.
            del number, frame
            self.shutdown.observe_signal()
            loop.call_soon_threadsafe(stopped.set)

        signal.signal(signal.SIGTERM, request_stop)
        signal.signal(signal.SIGINT, request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._observe_reload)
        for server in self.servers:
            server.start()
        LOG.info("started", zone=self.settings.zone)
        followers = [
            asyncio.ensure_future(self.configuration_follower.run()),
            asyncio.ensure_future(self.election.run()),
        ]
        await stopped.wait()
        await self._stop()
        for task in followers:
            task.cancel()
        # A further signal would end the process as if it had failed, because
        # the event loop restores the default handlers.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    async def _stop(self) -> None:
        LOG.info("stopping", holder=self.controller is not None)
        # Freeing the state of thousands of jobs would delay callers for most
        # of a second, and is not needed any more.
        gc.freeze()
        self.stopped_controller = self.controller
        await _shutdown.stop_servers(self.servers, self.shutdown, self._release)
        LOG.info("stopped")

    async def _release(self) -> None:
        if self.controller is not None:
            left_s = self.shutdown.left_s(self.shutdown.budget.release_s)
            await self.controller.release(left_s)

    def _observe_reload(self) -> None:
        LOG.info("reload_requested", effect="addresses are not reloaded")

    # Configuration.

    def _observe_configuration(self, rows, answer, is_snapshot: bool) -> None:
        del answer, is_snapshot
        for row in rows:
            if row.removed or self._is_rejected(row):
                continue
            try:
                self._observe_operator_row(row)
            except Exception as error:
                self._observe_unusable_row(row, error)

    def _is_rejected(self, row: platform.StoredRow) -> bool:
        return (
            row.key == platform.CONFIGURATION_KEY
            and row.version == self.rejected_row_version_
        )

    def _observe_unusable_row(
        self, row: platform.StoredRow, error: Exception
    ) -> None:
        subject = row.key
        if row.key == platform.CONFIGURATION_KEY:
            # Each rejected configuration is logged, and each only once.
            self.rejected_row_version_ = row.version
            subject = f"{row.key} {row.version}"
        self.faults.observe_row(
            "operator_row_ignored", row, error, subject=subject
        )

    def _observe_operator_row(self, row: platform.StoredRow) -> None:
        if row.key == platform.CONFIGURATION_KEY:
            configuration = platform.decode_configuration(row.value)
            if configuration.version > self.version:
                self.configuration = configuration
                self.configured.set()
                limits = transport.RequestLimits(
                    **attrs.asdict(configuration.limits)
                )
                for server in self.caller_servers:
                    server.set_limits(limits)
                LOG.info(
                    "configuration_in_force",
                    version=configuration.version,
                    queues=len(configuration.queues),
                )
                self._log_customers(configuration.customer_directory)
                if self.controller is not None:
                    self.controller.request_plan()
        elif row.key.startswith(platform.WAVE_KEY_PREFIX):
            wave = platform.decode_wave(row.value)
            if wave.number not in self.waves:
                LOG.info(
                    "wave_seen",
                    wave=wave.number,
                    machines=len(wave.machines),
                    maximum=wave.maximum,
                    duration_s=wave.duration_s,
                )
            self.waves[wave.number] = wave

    def _log_customers(
        self, directory: customers.CustomerDirectory | None
    ) -> None:
        if directory is None:
            return
        LOG.info("customers_in_force", customers=len(directory.customers))
        if directory.ignored_fields:
            LOG.warning(
                "customer_fields_ignored",
                count=len(directory.ignored_fields),
                fields=" ".join(directory.ignored_fields[:MAX_LOGGED]),
            )
        pairs = sorted(directory.shared_keys_)
        if pairs:
            LOG.warning(
                "api_keys_shared",
                count=len(pairs),
                holders=" ".join(f"{a}/{b}" for a, b in pairs[:MAX_LOGGED]),
            )

    async def _read_configuration(self) -> bool:
        sent_s = platform.boot_time_s()
        answer = await self.store.read(
            platform.CONFIGURATION_TABLE,
            "",
            platform.CONFIGURATION_KEY,
            limit=1,
        )
        if isinstance(answer, base.Refusal):
            LOG.warning("configuration_not_read", reason=str(answer))
            return False
        self._observe_configuration(answer.rows, answer, False)
        self.read_as_of_s_ = max(self.read_as_of_s_, sent_s)
        return True

    # Leader election.

    def _eligible(self) -> bool:
        return (
            self.configuration is not None
            and self.controller is None
            and not self.shutdown.stopping
        )

    def _observe_elected(self, leader: _election.Leader, sent_s: float) -> None:
        if self.shutdown.stopping or self.controller is not None:
            return
        self.controller = _controller.Controller(self, leader, sent_s)
        self.controller.start()

    def observe_term_end(self, controller: _controller.Controller) -> None:
        """Clears the controller when its term ends."""
        if self.controller is controller:
            self.controller = None

    # Readiness and metrics.

    async def _serve_metrics(
        self, request: transport.Request
    ) -> transport.Reply:
        del request
        self._observe_gauges()
        body = observability.render_text(self.metrics)
        return transport.Reply(200, body, content_type="text/plain")

    def _observe_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("configuration_version", self.version)
        gauge("configuration_age_seconds", min(self.configuration_age_s(), 1e6))
        gauge("holder", int(self.controller is not None))
        gauge("store_calls", self.store.calls_)
        gauge("http_calls", self.client.calls_)
        gauge("machine_entries_ignored", self.machine_client.entries_ignored_)
        for server in self.servers:
            labels = {"server": server.name}
            gauge("connections_open", len(server.budget.usages_), labels)
            gauge("request_bytes_held", server.budget.held_bytes, labels)
        since_last_answer_s = platform.boot_time_s() - self.store.last_answer_s_
        gauge("store_silent_seconds", min(since_last_answer_s, 1e6))
        if self.controller is not None:
            scheduler = self.controller.scheduler
            gauge("jobs_active", len(scheduler.active))
            gauge("jobs_unsaved", len(scheduler.dirty))
            gauge("workers", len(scheduler.workers))
            gauge("workers_unfenced", len(scheduler.unfenced))

    async def _serve_ready(self, request: transport.Request) -> transport.Reply:
        if request.path != platform.READY_PATH:
            return transport.Reply(404)
        since_last_answer_s = platform.boot_time_s() - self.store.last_answer_s_
        ready = (
            self.configuration is not None
            and not self.shutdown.stopping
            and since_last_answer_s < READINESS_TIMEOUT_S
        )
        return transport.Reply(200 if ready else 503)


def main() -> None:
    """Runs the daemon with the settings file provided by the platform."""
    path = os.environ.get(platform.SETTINGS_VARIABLE, "")
    try:
        settings = platform.load_settings(path)
    except platform.SettingsError as error:
        raise SystemExit(f"baobabdoor: {error}") from error
    observability.configure_logs(
        settings.node, output=observability.BoundedWriter(1)
    )
    asyncio.run(_run_and_exit(Daemon(settings)))


async def _run_and_exit(daemon: Daemon) -> None:
    """Runs a daemon and ends the process with it.

    The end of the event loop would cancel hundreds of tasks, and the
    interpreter would free the state of thousands of jobs one by one, which
    takes up to 0.5 s of the grace period on a busy machine. Log lines have been
    written without a buffer.
    """
    await daemon.run()
    os._exit(0)

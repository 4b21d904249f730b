"""HTTP server of the simulated platform, with an admin port for faults."""

import json
from typing import Any

import attrs
from tornado import httpclient
from tornado import httpserver
from tornado import ioloop
from tornado import netutil
from tornado import web

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import observability
from baobabdoor.standin import _admin
from baobabdoor.standin import _core
from baobabdoor.standin import _faults
from baobabdoor.standin import _memory
from baobabdoor.standin import _vms

# The connection of a call that gets no response is closed after this time,
# which is longer than the timeout of any client.
UNANSWERED_TIMEOUT_S = 10.0
BACKEND_TIMEOUT_S = 1.0


class BackendClient:
    """Client of the admin port of the simulated backend servers.

    Reads their load, so that a drain waits for requests in progress, and
    reports which VMs are down, so that a rebooting VM stops serving.

    Args:
        admin_url: Base URL of the admin port; empty if there is none.
        core: State of the platform.
    """

    def __init__(self, admin_url: str, core: _core.PlatformCore):
        self.admin_url = admin_url
        self.core = core
        self.load_: dict[str, int] = {}
        self.client_ = httpclient.AsyncHTTPClient()
        self.logger_ = observability.get_logger("platform")

    def start(self) -> None:
        """Subscribes to boots and shutdowns of VMs."""
        if self.admin_url:
            self.core.in_progress = self._in_progress
            self.core.vms.subscribe(
                lambda vm_id: self._notify(vm_id, False),
                lambda vm_id: self._notify(vm_id, True),
            )

    async def refresh(self) -> None:
        """Reads the load, which is empty if the backend is unreachable."""
        if not self.admin_url:
            return
        try:
            response = await self.client_.fetch(
                f"{self.admin_url}/admin/load",
                request_timeout=BACKEND_TIMEOUT_S,
            )
            self.load_ = json.loads(response.body)
        except (httpclient.HTTPError, OSError) as error:
            self.logger_.warning("backend_unreachable", error=str(error))
            self.load_ = {}

    def _in_progress(self, vm_id: str) -> int:
        vm = self.core.vms.get(vm_id)
        return self.load_.get(vm.spec.address, 0) if vm else 0

    def _notify(self, vm_id: str, up: bool) -> None:
        vm = self.core.vms.get(vm_id)
        if vm is not None and vm.spec.pool_hint:
            body = json.dumps({"vm": vm.spec.address, "up": up})
            ioloop.IOLoop.current().add_callback(self._post, body)

    async def _post(self, body: str) -> None:
        try:
            await self.client_.fetch(
                f"{self.admin_url}/admin/vms",
                method="POST",
                body=body,
                request_timeout=BACKEND_TIMEOUT_S,
            )
        except (httpclient.HTTPError, OSError) as error:
            self.logger_.warning("backend_unreachable", error=str(error))


class PlatformServer:
    """Serves one core on several ports with separate faults.

    A zone whose entries use a separate port can be partitioned alone.

    Args:
        core: State of the platform.
        host: IP address to listen on.
        ports: Ports to listen on.
        backend_client: Client of the simulated backend servers.
    """

    def __init__(
        self,
        core: _core.PlatformCore,
        host: str,
        ports: list[int],
        backend_client: BackendClient,
    ):
        self.core = core
        self.host = host
        self.ports = ports
        self.backend_client = backend_client
        self.clients = {
            port: _memory.MemoryPlatform(
                core.timers, core, timeout_s=UNANSWERED_TIMEOUT_S
            )
            for port in ports
        }
        self.servers_: dict[int, httpserver.HTTPServer] = {}

    async def start(self) -> None:
        """Starts to listen."""
        self.backend_client.start()
        await self.apply_faults()

    async def stop(self) -> None:
        """Closes all listeners and connections."""
        for port in list(self.servers_):
            await self._close(port)

    async def apply_faults(self) -> None:
        """Opens the ports that are up and closes those that are down."""
        for port, client in self.clients.items():
            if client.faults.down:
                await self._close(port)
            elif port not in self.servers_:
                self._listen(port, client)

    def admin_routes(self) -> list[tuple[str, type, dict[str, Any]]]:
        """Returns the routes of the admin port."""
        options = {"server": self}
        return [
            (r"/admin/state", _StateHandler, options),
            (r"/admin/faults", _FaultsHandler, options),
            (r"/admin/vms/(add|leave|terminate|restart)", _VmsHandler, options),
            (r"/admin/failing", _FailingHandler, options),
        ]

    def _listen(self, port: int, client: _memory.MemoryPlatform) -> None:
        options = {"client": client, "backend_client": self.backend_client}
        application = web.Application(
            [(r"/v1/(\w+)", _OperationHandler, options)],
            log_function=lambda handler: None,
        )
        server = httpserver.HTTPServer(application)
        server.add_sockets(netutil.bind_sockets(port, self.host))
        self.servers_[port] = server

    async def _close(self, port: int) -> None:
        server = self.servers_.pop(port, None)
        if server is not None:
            server.stop()
            await server.close_all_connections()


class _OperationHandler(web.RequestHandler):

    def initialize(
        self, client: _memory.MemoryPlatform, backend_client: BackendClient
    ) -> None:
        """Sets the client that runs the calls."""
        self.client = client
        self.backend_client = backend_client

    async def post(self, name: str) -> None:
        """Runs an operation."""
        operation = fleet_api.OPERATIONS.get(name)
        if operation is None:
            raise web.HTTPError(404)
        try:
            arguments = fleet_api.decode_arguments(operation, self.request.body)
        except fleet_api.MalformedMessageError as error:
            self.set_status(400)
            result = base.Refusal(
                base.Reason.BAD_REQUEST, f"platform.{name}", detail=str(error)
            )
        else:
            if name == "drain_vm":
                await self.backend_client.refresh()
            result = await self.client.call(name, **arguments)
        if _is_unanswered(result):
            self.detach().close()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(fleet_api.encode_result(operation, result))


def _is_unanswered(result: Any) -> bool:
    if isinstance(result, base.Refusal):
        return result.reason is base.Reason.TIMEOUT
    return isinstance(result, fleet_api.Unknown)


class _PlatformAdminHandler(_admin.AdminHandler):

    def initialize(self, server: PlatformServer) -> None:
        """Sets the server that is controlled."""
        self.server = server


class _StateHandler(_PlatformAdminHandler):

    def get(self) -> None:
        """Returns the current VMs, rows, call counts and faults."""
        core = self.server.core
        vms = [vm.record for vm in core.vms.vms_.values()]
        vm_states = [
            attrs.asdict(record) | {"state": record.state.value}
            for record in vms
        ]
        faults = {
            port: attrs.asdict(client.faults)
            for port, client in self.server.clients.items()
        }
        self.respond(
            {
                "vms": vm_states,
                "rows": {row.key: row.value for row in core.table.scan("")},
                "calls": core.calls,
                "faults": faults,
                "task_starts": core.tasks.starts,
            }
        )


class _FaultsHandler(_PlatformAdminHandler):

    async def post(self) -> None:
        """Changes the faults of `port`, or of all ports."""
        changes = self.arguments()
        port = changes.pop("port", None)
        clients = self.server.clients
        selected = clients if port is None else {port: clients[port]}
        # Validated first, so that an invalid value changes no port.
        _faults.PlatformFaults().update(changes)
        for client in selected.values():
            client.faults.update(changes)
        await self.server.apply_faults()
        self.respond({"ports": list(selected)})


class _VmsHandler(_PlatformAdminHandler):

    def post(self, action: str) -> None:
        """Adds a VM, or lets one leave, terminate or restart."""
        arguments = self.arguments()
        vms = self.server.core.vms
        if action == "add":
            vms.add(_vms.VmSpec(**arguments))
        else:
            getattr(vms, action)(arguments["vm_id"])
        self.respond({})


class _FailingHandler(_PlatformAdminHandler):

    def post(self) -> None:
        """Replaces the sets of failing `workers`, `jobs` and `reboots`."""
        arguments = self.arguments()
        core = self.server.core
        sets = {
            "workers": core.tasks.failing_workers,
            "jobs": core.tasks.failing_jobs,
            "reboots": core.vms.failing_reboots,
        }
        for name in arguments:
            sets[name]
        for name, members in arguments.items():
            sets[name].clear()
            sets[name].update(members)
        self.respond({})

"""The platform's service over HTTP, with an admin port for faults."""

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

# A call without an answer is held for this time, longer than the deadline of
# any client, and then closed.
HOLD_S = 10.0
BACKEND_TIMEOUT_S = 1.0


class BackendLink:
    """Asks the backend stand-in for load and tells it which VMs are down.

    Without it a drain cannot see requests in progress, and a rebooting VM
    would go on serving.

    Args:
        admin_url: Start of the URL of its admin port; empty if there is none.
        core: The platform's state.
    """

    def __init__(self, admin_url: str, core: _core.PlatformCore):
        self.admin_url = admin_url
        self.core = core
        self.load_: dict[str, int] = {}
        self.client_ = httpclient.AsyncHTTPClient()
        self.logger_ = observability.get_logger("platform")

    def start(self) -> None:
        """Follows the VMs of the core."""
        if self.admin_url:
            self.core.in_progress = self._in_progress
            self.core.vms.subscribe(
                lambda vm_id: self._tell(vm_id, False),
                lambda vm_id: self._tell(vm_id, True),
            )

    async def refresh(self) -> None:
        """Reads the load; a backend that cannot be reached has none."""
        if not self.admin_url:
            return
        try:
            answer = await self.client_.fetch(
                f"{self.admin_url}/admin/load",
                request_timeout=BACKEND_TIMEOUT_S,
            )
            self.load_ = json.loads(answer.body)
        except (httpclient.HTTPError, OSError) as error:
            self.logger_.warning("backend_unreachable", error=str(error))
            self.load_ = {}

    def _in_progress(self, vm_id: str) -> int:
        vm = self.core.vms.get(vm_id)
        return self.load_.get(vm.spec.address, 0) if vm else 0

    def _tell(self, vm_id: str, up: bool) -> None:
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
    """Serves one core on several ports, each with faults of its own.

    A zone whose entries use a port of their own can so be cut off alone.

    Args:
        core: The platform's state.
        host: IP number to listen on.
        ports: Ports to listen on.
        link: Connection to the backend stand-in.
    """

    def __init__(
        self,
        core: _core.PlatformCore,
        host: str,
        ports: list[int],
        link: BackendLink,
    ):
        self.core = core
        self.host = host
        self.ports = ports
        self.link = link
        self.clients = {
            port: _memory.MemoryPlatform(core.timers, core, timeout_s=HOLD_S)
            for port in ports
        }
        self.servers_: dict[int, httpserver.HTTPServer] = {}

    async def start(self) -> None:
        """Starts to listen."""
        self.link.start()
        await self.apply_faults()

    async def stop(self) -> None:
        """Closes everything."""
        for port in list(self.servers_):
            await self._close(port)

    async def apply_faults(self) -> None:
        """Listens on the ports that are not down, and on no others."""
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
        options = {"client": client, "link": self.link}
        application = web.Application(
            [(r"/v1/(\w+)", _CallHandler, options)],
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


class _CallHandler(web.RequestHandler):

    def initialize(
        self, client: _memory.MemoryPlatform, link: BackendLink
    ) -> None:
        """Stores the core behind its faults."""
        self.client = client
        self.link = link

    async def post(self, name: str) -> None:
        """Runs one call."""
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
                await self.link.refresh()
            result = await self.client.call(name, **arguments)
        if _has_no_answer(result):
            self.detach().close()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(fleet_api.encode_result(operation, result))


def _has_no_answer(result: Any) -> bool:
    if isinstance(result, base.Refusal):
        return result.reason is base.Reason.TIMEOUT
    return isinstance(result, fleet_api.Unknown)


class _PlatformAdminHandler(_admin.AdminHandler):

    def initialize(self, server: PlatformServer) -> None:
        """Stores the server."""
        self.server = server


class _StateHandler(_PlatformAdminHandler):

    def get(self) -> None:
        """Returns VMs and rows as they are, calls so far and faults."""
        core = self.server.core
        vms = [vm.record for vm in core.vms.vms_.values()]
        plain = [
            attrs.asdict(record) | {"state": record.state.value}
            for record in vms
        ]
        faults = {
            port: attrs.asdict(client.faults)
            for port, client in self.server.clients.items()
        }
        self.answer(
            {
                "vms": plain,
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
        # Checked first, so that a wrong value changes no port.
        _faults.PlatformFaults().update(changes)
        for client in selected.values():
            client.faults.update(changes)
        await self.server.apply_faults()
        self.answer({"ports": list(selected)})


class _VmsHandler(_PlatformAdminHandler):

    def post(self, action: str) -> None:
        """Adds a VM, or lets one leave, end or restart."""
        arguments = self.arguments()
        vms = self.server.core.vms
        if action == "add":
            vms.add(_vms.VmSpec(**arguments))
        else:
            getattr(vms, action)(arguments["vm_id"])
        self.answer({})


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
        self.answer({})

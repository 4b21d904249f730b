"""HTTP servers of many simulated backend VMs in one process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from baobabdoor import observability
from baobabdoor.standin import _admin
from baobabdoor.standin import _backend

# Number of chunks of a slow body.
SLOW_BODY_CHUNKS = 10
# Sent after the declared end of a response of wrong length. It is a complete
# response, which a client that reuses the connection would mistake for the
# response to its next request.
EXCESS_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" b'{"request_id":"stale"}'
)
# Time for which the connection of such a response stays open.
EXCESS_CLOSE_DELAY_S = 1.0

_Kind = _backend.BackendFault


class _LimitedServer(httpserver.HTTPServer):
    """Immediately closes connections above the limit of its VM."""

    def initialize(self, app: web.Application, vm: _backend.BackendVm) -> None:
        """Sets the VM that is served."""
        super().initialize(app)
        self.vm = vm

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Serves a connection within the limit."""
        if self.vm.open_connection():
            super().handle_stream(stream, address)
        else:
            stream.close()

    def on_close(self, server_conn: Any) -> None:
        """Counts the end of a connection."""
        self.vm.close_connection()
        super().on_close(server_conn)


@web.stream_request_body
class WorkHandler(web.RequestHandler):
    """Runs any request in a slot and returns a description of it.

    Request headers: `Standin-Work-Ms` is the run time, `Standin-Answer-Bytes`
    the minimum length of the response body and `Standin-Fault` a fault for
    this request only.
    """

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    def initialize(self, server: "BackendServer", vm: _backend.BackendVm):
        """Sets the VM that is served."""
        self.server = server
        self.vm = vm
        self.body_bytes = 0
        self.closed = False

    def data_received(self, chunk: bytes) -> None:
        """Counts the bytes of the body and discards them."""
        self.body_bytes += len(chunk)

    def on_connection_close(self) -> None:
        """Records that the client has disconnected."""
        self.closed = True

    async def get(self) -> None:
        """Runs the request."""
        await self._serve()

    head = post = delete = patch = put = options = get

    async def _serve(self) -> None:
        vm = self.vm
        vm.last_arrival_s = asyncio.get_running_loop().time()
        plan = self._select_fault()
        kind = plan.kind if plan else None
        if kind is _Kind.CLOSE_BEFORE:
            self.detach().close()
            return
        if kind is _Kind.REFUSING:
            await self._send_raw(503, b'{"error":"leaving"}')
            return
        await vm.acquire_slot()
        try:
            if not self.closed:
                await self._run(plan)
        finally:
            vm.release_slot()

    def _select_fault(self) -> _backend.FaultPlan | None:
        requested = self.request.headers.get("Standin-Fault")
        if requested:
            return _backend.FaultPlan(requested)
        return self.vm.consume_fault()

    async def _run(self, plan: _backend.FaultPlan | None) -> None:
        body = self._record_run()
        work_ms = self.request.headers.get("Standin-Work-Ms")
        work_s = float(work_ms) / 1000 if work_ms else self.server.work_s
        if work_s > 0:
            await asyncio.sleep(work_s)
        if plan is None:
            self._respond(body)
            return
        respond = self._FAULT_RESPONSES[plan.kind]
        await respond(self, body, plan)

    def _record_run(self) -> bytes:
        headers = self.request.headers
        request_id = headers.get("X-Request-Id", "")
        key = headers.get("Idempotency-Key", "")
        runs = self.server.count(request_id, key)
        self.vm.runs += 1
        summary = {
            "request_id": request_id,
            "key": key,
            "vm_id": self.vm.vm_id,
            "address": self.vm.address,
            "method": self.request.method,
            "path": self.request.uri,
            "body_bytes": self.body_bytes,
            "pool": headers.get("Baobabdoor-Pool", ""),
            "runs": runs,
        }
        body = json.dumps(summary).encode()
        min_bytes = int(headers.get("Standin-Answer-Bytes", "0"))
        return body.ljust(min_bytes)

    def _respond(self, body: bytes, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        if self.request.method != "HEAD":
            self.write(body)
        self.finish()

    async def _respond_late(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        await asyncio.sleep(plan.delay_s)
        self._respond(body)

    async def _respond_slowly(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        self.set_header("Content-Length", str(len(body)))
        size = -(-len(body) // SLOW_BODY_CHUNKS)
        try:
            for start in range(0, len(body), size):
                await asyncio.sleep(plan.delay_s / SLOW_BODY_CHUNKS)
                self.write(body[start : start + size])
                await self.flush()
        except iostream.StreamClosedError:
            return
        self.finish()

    async def _respond_failed(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        del plan
        self._respond(body, 500)

    async def _respond_truncated(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        del plan
        await self._send_raw(200, body[: len(body) // 2], len(body))

    async def _close_connection(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        del body, plan
        self.detach().close()

    async def _respond_with_excess(
        self, body: bytes, plan: _backend.FaultPlan
    ) -> None:
        del plan
        await self._send_raw(
            200, body + EXCESS_RESPONSE, len(body), EXCESS_CLOSE_DELAY_S
        )

    async def _send_raw(
        self,
        status: int,
        body: bytes,
        declared_length: int | None = None,
        close_delay_s: float = 0.0,
    ) -> None:
        """Sends a response, possibly with a wrong length, and closes."""
        content_length = (
            len(body) if declared_length is None else declared_length
        )
        header_lines = [
            f"HTTP/1.1 {status} Stand-in",
            f"Content-Length: {content_length}",
        ]
        if close_delay_s == 0:
            header_lines.append("Connection: close")
        head = "\r\n".join(header_lines) + "\r\n\r\n"
        stream = self.detach()
        try:
            await stream.write(head.encode() + body)
        except iostream.StreamClosedError:
            return
        # Does not wait here, because the request holds a slot until it returns.
        asyncio.get_running_loop().call_later(close_delay_s, stream.close)

    _FAULT_RESPONSES: dict[_Kind, Callable[..., Awaitable[None]]] = {
        _Kind.LATE: _respond_late,
        _Kind.SLOW_BODY: _respond_slowly,
        _Kind.FAILING: _respond_failed,
        _Kind.TRUNCATED: _respond_truncated,
        _Kind.CLOSE_AFTER: _close_connection,
        _Kind.WRONG_LENGTH: _respond_with_excess,
    }


class BackendServer:
    """Serves every VM on its own address.

    Args:
        vms: The VMs.
        work_s: Default run time of a request in seconds. Default: 0.
    """

    def __init__(self, vms: list[_backend.BackendVm], work_s: float = 0.0):
        self.vms = {vm.address: vm for vm in vms}
        self.work_s = work_s
        self.counter_ = _backend.RunCounter()
        self.servers_: dict[str, _LimitedServer] = {}
        self.logger_ = observability.get_logger("backend")

    def start(self) -> None:
        """Starts to listen on the addresses of all VMs."""
        for address in self.vms:
            self.bring_up(address)

    async def stop(self) -> None:
        """Closes all listeners and connections."""
        for address in list(self.servers_):
            await self.take_down(address)

    def count(self, request_id: str, key: str) -> int:
        """Counts a run by its request id and by its idempotency key.

        Returns:
            The larger of the two counts.
        """
        runs = 1
        if request_id:
            runs = self.counter_.add(f"id:{request_id}")
        if key:
            runs = max(runs, self.counter_.add(f"key:{key}"))
        return runs

    def bring_up(self, address: str) -> None:
        """Listens on the address of a VM."""
        if address in self.servers_:
            return
        vm = self.vms[address]
        options = {"server": self, "vm": vm}
        application = web.Application(
            [(r".*", WorkHandler, options)], log_function=_discard_log
        )
        server = _LimitedServer(application, vm=vm)
        host, _, port = address.rpartition(":")
        server.add_sockets(netutil.bind_sockets(int(port), host))
        self.servers_[address] = server

    async def take_down(self, address: str) -> None:
        """Closes the listener and all connections of a VM."""
        server = self.servers_.pop(address, None)
        if server is None:
            return
        vm = self.vms[address]
        vm.cut_off += vm.in_progress
        if vm.in_progress:
            self.logger_.warning(
                "requests_cut_off", vm_id=vm.vm_id, requests=vm.in_progress
            )
        server.stop()
        await server.close_all_connections()

    def admin_routes(self) -> list[tuple[str, type, dict[str, Any]]]:
        """Returns the routes of the admin port."""
        options = {"server": self}
        return [
            (r"/admin/state", _StateHandler, options),
            (r"/admin/load", _LoadHandler, options),
            (r"/admin/runs", _RunsHandler, options),
            (r"/admin/faults", _FaultsHandler, options),
            (r"/admin/vms", _VmsHandler, options),
        ]


def _discard_log(handler: web.RequestHandler) -> None:
    """Replaces tornado's access log, which writes one line per request."""


class _BackendAdminHandler(_admin.AdminHandler):

    def initialize(self, server: BackendServer) -> None:
        """Sets the server that is controlled."""
        self.server = server

    def select_vms(self, address: str) -> list[_backend.BackendVm]:
        """Returns the VM with an address or id, or all VMs for `*`."""
        selected = [
            vm
            for vm in self.server.vms.values()
            if address in ("*", vm.address, vm.vm_id)
        ]
        if not selected:
            raise web.HTTPError(400, f"unknown VM {address!r}")
        return selected


class _StateHandler(_BackendAdminHandler):

    def get(self) -> None:
        """Returns the state of all VMs and the current time."""
        vms = [vm.describe() for vm in self.server.vms.values()]
        for state in vms:
            state["up"] = state["address"] in self.server.servers_
        now_s = asyncio.get_running_loop().time()
        self.respond({"now_s": now_s, "vms": vms})


class _LoadHandler(_BackendAdminHandler):

    def get(self) -> None:
        """Returns the number of requests in progress by VM address."""
        vms = self.server.vms.values()
        self.respond({vm.address: vm.in_progress for vm in vms})


class _RunsHandler(_BackendAdminHandler):

    def get(self) -> None:
        """Returns the run count of a request id or key, and repeated ids."""
        counter = self.server.counter_
        request_id = self.get_query_argument("id", "")
        key = self.get_query_argument("key", "")
        name = f"id:{request_id}" if request_id else f"key:{key}"
        self.respond(
            {
                "runs": counter.get(name),
                "known": len(counter.runs_),
                "repeated": counter.repeated(),
            }
        )

    def post(self) -> None:
        """Returns the run counts of the given request `ids`."""
        counter = self.server.counter_
        ids = self.arguments()["ids"]
        self.respond({name: counter.get(f"id:{name}") for name in ids})


class _FaultsHandler(_BackendAdminHandler):

    def post(self) -> None:
        """Sets the fault of `vm` (`*` for all); an empty `kind` clears it."""
        arguments = self.arguments()
        vms = self.select_vms(arguments.pop("vm", "*"))
        kind = arguments.pop("kind", "")
        for vm in vms:
            vm.fault = _backend.FaultPlan(kind, **arguments) if kind else None
        self.respond({"vms": len(vms)})


class _VmsHandler(_BackendAdminHandler):

    async def post(self) -> None:
        """Takes `vm` down or brings it up."""
        arguments = self.arguments()
        for vm in self.select_vms(arguments["vm"]):
            if arguments["up"]:
                self.server.bring_up(vm.address)
            else:
                await self.server.take_down(vm.address)
        self.respond({})

"""HTTP client of the platform API."""

from collections.abc import Sequence
import socket
from typing import Any

import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import netutil
from tornado import simple_httpclient

from baobabdoor import base
from baobabdoor.fleet_api import _interface
from baobabdoor.fleet_api import _types
from baobabdoor.fleet_api import _wire

# Maximum response; the complete list of 3,500 VMs takes about 0.7 MB.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Maximum keep-alive connections for reads; further reads wait for one of them.
MAX_READ_CONNECTIONS = 8
# Status that tornado's clients report for a request without a response.
NO_RESPONSE_STATUS = 599


class NumericResolver(netutil.Resolver):
    """Accepts IP addresses only, which avoids blocking look-ups and threads."""

    def initialize(self) -> None:
        """Takes no options."""

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Returns the socket address of an IP address."""
        infos = socket.getaddrinfo(
            host,
            port,
            family,
            socket.SOCK_STREAM,
            flags=socket.AI_NUMERICHOST,
        )
        return [(info[0], info[4]) for info in infos]


class HttpPlatform(_interface.Platform):
    """Client of the platform API with a timeout on every call.

    Changes use tornado's simple client, which sends each call once, on a new
    connection. The curl client retries a request when a keep-alive connection
    turns out to be closed; a transaction that was applied by the first attempt
    would then be reported as a conflict. Reads use the curl client.

    Args:
        url: Base URL of the platform API; the host is an IP address.
        call_timeout_s: Timeout of a call in seconds. Default: 2.
        connect_timeout_s: Timeout of its connection in seconds. Default: 1.
        max_pending: Maximum calls in progress; further calls are refused,
            which bounds memory while the platform is slow. Default: 64.
    """

    PARAMETER_CONSTRAINTS = {
        "call_timeout_s": base.Interval(0.01, 60.0),
        "connect_timeout_s": base.Interval(0.01, 60.0),
        "max_pending": base.Interval(1, 10_000, integer=True),
    }

    def __init__(
        self,
        url: str,
        call_timeout_s: float = 2.0,
        connect_timeout_s: float = 1.0,
        max_pending: int = 64,
    ):
        self.url = url
        self.call_timeout_s = call_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_pending = max_pending
        self.change_client_: simple_httpclient.SimpleAsyncHTTPClient | None = (
            None
        )
        self.read_client_: curl_httpclient.CurlAsyncHTTPClient | None = None
        self.pending_ = 0
        self.list_version_ = ""
        self.vms_: dict[str, _types.VmRecord] = {}

    def close(self) -> None:
        """Closes the connections; calls in progress receive no response."""
        if self.change_client_ is not None:
            self.change_client_.close()
            self.change_client_ = None
        if self.read_client_ is not None:
            self.read_client_.close()
            self.read_client_ = None

    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, _types.Row] | base.Refusal:
        """Returns the rows of all `keys`, including absent rows."""
        return await self._call("read", keys=keys)

    async def scan(self, prefix: str) -> list[_types.Row] | base.Refusal:
        """Returns the existing rows whose key starts with `prefix`."""
        return await self._call("scan", prefix=prefix)

    async def transact(
        self,
        conditions: Sequence[_types.Condition],
        writes: Sequence[_types.Write],
    ) -> _types.TransactionResult:
        """Applies all writes atomically if all conditions hold."""
        return await self._call(
            "transact", conditions=conditions, writes=writes
        )

    async def put_object(
        self, content: bytes
    ) -> str | _types.Unknown | base.Refusal:
        """Stores content and returns its hexadecimal SHA-256."""
        return await self._call("put_object", content=content)

    async def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""
        return await self._call("get_object", digest=digest)

    async def list_vms(self) -> list[_types.VmRecord] | base.Refusal:
        """Returns the eventually consistent list of VMs."""
        since = self.list_version_
        changes = await self._call("list_vms", since=since)
        if isinstance(changes, base.Refusal):
            return changes
        # Skips the changes if a concurrent call has already applied these or
        # newer ones.
        if self.list_version_ == since:
            self._apply_changes(changes)
        return list(self.vms_.values())

    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts draining a VM; no effect if the boot id differs."""
        return await self._call("drain_vm", vm_id=vm_id, boot_id=boot_id)

    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Cancels the draining of a VM; no effect if the boot id differs."""
        return await self._call("undrain_vm", vm_id=vm_id, boot_id=boot_id)

    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts a reboot; no effect if the boot id differs."""
        return await self._call("reboot_vm", vm_id=vm_id, boot_id=boot_id)

    async def start_task(
        self, worker_id: str, task_id: str, spec: _types.TaskSpec
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once across all workers."""
        return await self._call(
            "start_task", worker_id=worker_id, task_id=task_id, spec=spec
        )

    async def task_state(
        self, task_id: str
    ) -> _types.TaskRecord | base.Refusal:
        """Returns the record of a task."""
        return await self._call("task_state", task_id=task_id)

    async def forbid_task(
        self, task_id: str
    ) -> (
        _types.TaskRecord
        | _types.AlreadyStarted
        | _types.Unknown
        | base.Refusal
    ):
        """Guarantees that a task that has not started never starts."""
        return await self._call("forbid_task", task_id=task_id)

    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[_types.TaskRecord] | _types.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""
        return await self._call("renew_tasks", task_ids=task_ids)

    async def throttle_task(
        self, task_id: str, share: float
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Limits a task to a share of its processor cores, in (0, 1]."""
        return await self._call("throttle_task", task_id=task_id, share=share)

    async def checkpoint_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Checkpoints and stops a task; a later task can resume from there."""
        return await self._call("checkpoint_task", task_id=task_id)

    async def stop_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Stops a task; its progress is lost."""
        return await self._call("stop_task", task_id=task_id)

    async def task_usage(
        self, worker_id: str
    ) -> list[_types.TaskUsage] | base.Refusal:
        """Returns the measured usage of a worker's tasks, with a delay."""
        return await self._call("task_usage", worker_id=worker_id)

    def _apply_changes(self, changes: _types.VmListChanges) -> None:
        if changes.complete:
            self.vms_.clear()
        self.vms_.update({vm.vm_id: vm for vm in changes.records})
        self.list_version_ = changes.version

    async def _call(self, name: str, **arguments: Any) -> Any:
        operation = _wire.OPERATIONS[name]
        if self.pending_ >= self.max_pending:
            return self._refusal(
                base.Reason.PLATFORM_UNAVAILABLE,
                name,
                f"{self.pending_} calls are in progress",
            )
        body = _wire.encode_arguments(operation, arguments)
        self.pending_ += 1
        try:
            return await self._send(operation, body)
        finally:
            self.pending_ -= 1

    async def _send(self, operation: _wire.Operation, body: bytes) -> Any:
        if operation.changes:
            return await self._send_change(operation, body)
        return await self._send_read(operation, body)

    async def _send_read(self, operation: _wire.Operation, body: bytes) -> Any:
        """Calls a read-only operation on a keep-alive connection.

        curl retries a request when a keep-alive connection turns out to be
        closed, which is safe for reads but not for changes.
        """
        request = httpclient.HTTPRequest(
            f"{self.url}/v1/{operation.name}",
            method="POST",
            headers={"Content-Type": "application/json", "Expect": ""},
            body=body,
            connect_timeout=self.connect_timeout_s,
            request_timeout=self.call_timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_limit_response_size,
        )
        try:
            response = await self._read_client().fetch(
                request, raise_error=False
            )
        except (httpclient.HTTPError, OSError) as error:
            return self._failure(operation, True, error)
        if response.code == NO_RESPONSE_STATUS:
            return self._failure(operation, True, response.error)
        return self._decode_response(operation, response)

    async def _send_change(
        self, operation: _wire.Operation, body: bytes
    ) -> Any:
        sent = False

        async def write_body(write: Any) -> None:
            # The platform runs a call only after it has received the complete
            # body, so a failure before this point has had no effect.
            nonlocal sent
            sent = True
            await write(body)

        request = httpclient.HTTPRequest(
            f"{self.url}/v1/{operation.name}",
            method="POST",
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            },
            body_producer=write_body,
            connect_timeout=self.connect_timeout_s,
            request_timeout=self.call_timeout_s,
            follow_redirects=False,
            decompress_response=False,
        )
        try:
            response = await self._change_client().fetch(
                request, raise_error=False
            )
        except (httpclient.HTTPError, OSError) as error:
            return self._failure(operation, sent, error)
        return self._decode_response(operation, response)

    def _change_client(self) -> simple_httpclient.SimpleAsyncHTTPClient:
        if self.change_client_ is None:
            base.validate(self)
            self.change_client_ = simple_httpclient.SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=self.max_pending,
                resolver=NumericResolver(),
                max_body_size=MAX_RESPONSE_BYTES,
            )
        return self.change_client_

    def _read_client(self) -> curl_httpclient.CurlAsyncHTTPClient:
        if self.read_client_ is None:
            base.validate(self)
            self.read_client_ = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=MAX_READ_CONNECTIONS
            )
        return self.read_client_

    def _failure(
        self, operation: _wire.Operation, sent: bool, error: Exception
    ) -> base.Refusal | _types.Unknown:
        timed_out = _is_timeout(error)
        reason = base.Reason.PLATFORM_UNAVAILABLE
        if sent and timed_out:
            reason = base.Reason.TIMEOUT
        refusal = self._refusal(reason, operation.name, str(error))
        if sent and operation.changes:
            return _types.Unknown(refusal)
        return refusal

    def _decode_response(
        self, operation: _wire.Operation, response: httpclient.HTTPResponse
    ) -> Any:
        """Returns the result in the response.

        A malformed response, for example from a load balancer in between, does
        not show whether the call was run.
        """
        if isinstance(response.error, simple_httpclient.HTTPTimeoutError):
            return self._failure(operation, True, response.error)
        try:
            return _wire.decode_result(operation, response.body)
        except _wire.MalformedMessageError as error:
            text = f"status {response.code}: {error}"
            return self._failure(operation, True, ValueError(text))

    def _refusal(
        self, reason: base.Reason, name: str, detail: str
    ) -> base.Refusal:
        return base.Refusal(reason, f"platform.{name}", self.url, detail)


def _limit_response_size(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.MAXFILESIZE, MAX_RESPONSE_BYTES)


def _is_timeout(error: Exception) -> bool:
    if isinstance(error, curl_httpclient.CurlError):
        return error.errno == pycurl.E_OPERATION_TIMEDOUT
    return isinstance(error, simple_httpclient.HTTPTimeoutError)

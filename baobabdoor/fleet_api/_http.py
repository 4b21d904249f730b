"""Client of the platform's service over HTTP."""

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

# Largest answer; the whole list of 3,500 VMs takes about 0.7 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Kept connections for reads; more reads than these wait for one.
MAX_READERS = 8
# Status that tornado's clients give to a request without an answer.
LOST_ANSWER_STATUS = 599


class NumericResolver(netutil.Resolver):
    """Accepts IP numbers only, so that no look-up blocks or needs a thread."""

    def initialize(self) -> None:
        """Has no options."""

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Returns the socket address of an IP number."""
        found = socket.getaddrinfo(
            host,
            port,
            family,
            socket.SOCK_STREAM,
            flags=socket.AI_NUMERICHOST,
        )
        return [(entry[0], entry[4]) for entry in found]


class HttpPlatform(_interface.Platform):
    """Calls the platform's service with a deadline for each call.

    It uses tornado's simple client rather than the curl client: curl repeats a
    request by itself when a kept connection turns out to be closed, and a
    transaction that was applied the first time would then be reported as a
    conflict. The simple client sends each call once, on its own connection.

    Args:
        url: Start of the URL of the service, with an IP number.
        call_timeout_s: Deadline of a call in seconds. Default: 2.
        connect_timeout_s: Deadline of its connection in seconds. Default: 1.
        max_pending: Calls in progress above which further ones are refused,
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
        self.client_: simple_httpclient.SimpleAsyncHTTPClient | None = None
        self.reader_: curl_httpclient.CurlAsyncHTTPClient | None = None
        self.pending_ = 0
        self.list_version_ = ""
        self.vms_: dict[str, _types.VmRecord] = {}

    def close(self) -> None:
        """Ends the client; calls in progress get no answer."""
        if self.client_ is not None:
            self.client_.close()
            self.client_ = None
        if self.reader_ is not None:
            self.reader_.close()
            self.reader_ = None

    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, _types.Row] | base.Refusal:
        """Returns the rows of all `keys`, absent ones included."""
        return await self._call("read", keys=keys)

    async def scan(self, prefix: str) -> list[_types.Row] | base.Refusal:
        """Returns the present rows whose key starts with `prefix`."""
        return await self._call("scan", prefix=prefix)

    async def transact(
        self,
        conditions: Sequence[_types.Condition],
        writes: Sequence[_types.Write],
    ) -> _types.TransactionResult:
        """Applies all writes if all conditions hold, or none."""
        return await self._call(
            "transact", conditions=conditions, writes=writes
        )

    async def put_object(
        self, content: bytes
    ) -> str | _types.Unknown | base.Refusal:
        """Stores content and returns its SHA-256 in hexadecimal."""
        return await self._call("put_object", content=content)

    async def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""
        return await self._call("get_object", digest=digest)

    async def list_vms(self) -> list[_types.VmRecord] | base.Refusal:
        """Returns the list of VMs, which lags behind the truth."""
        since = self.list_version_
        changes = await self._call("list_vms", since=since)
        if isinstance(changes, base.Refusal):
            return changes
        # Another call may have finished meanwhile with the same changes or
        # with newer ones.
        if self.list_version_ == since:
            self._apply(changes)
        return list(self.vms_.values())

    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Asks the VM to finish its work; no effect for another boot id."""
        return await self._call("drain_vm", vm_id=vm_id, boot_id=boot_id)

    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Lets a drained VM take work again; no effect for another boot id."""
        return await self._call("undrain_vm", vm_id=vm_id, boot_id=boot_id)

    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts a reboot; no effect for another boot id."""
        return await self._call("reboot_vm", vm_id=vm_id, boot_id=boot_id)

    async def start_task(
        self, worker_id: str, task_id: str, spec: _types.TaskSpec
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once, on any worker."""
        return await self._call(
            "start_task", worker_id=worker_id, task_id=task_id, spec=spec
        )

    async def task_state(
        self, task_id: str
    ) -> _types.TaskRecord | base.Refusal:
        """Returns what is known of a task."""
        return await self._call("task_state", task_id=task_id)

    async def forbid_task(
        self, task_id: str
    ) -> (
        _types.TaskRecord
        | _types.AlreadyStarted
        | _types.Unknown
        | base.Refusal
    ):
        """Makes sure that a task that has not started never will."""
        return await self._call("forbid_task", task_id=task_id)

    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[_types.TaskRecord] | _types.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""
        return await self._call("renew_tasks", task_ids=task_ids)

    async def throttle_task(
        self, task_id: str, share: float
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Limits a task to a share of its processors, in (0, 1]."""
        return await self._call("throttle_task", task_id=task_id, share=share)

    async def checkpoint_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Saves a task's progress and ends it; a later task can go on."""
        return await self._call("checkpoint_task", task_id=task_id)

    async def stop_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Ends a task; its progress is lost."""
        return await self._call("stop_task", task_id=task_id)

    async def task_usage(
        self, worker_id: str
    ) -> list[_types.TaskUsage] | base.Refusal:
        """Returns the measured use of a worker's tasks, which lags."""
        return await self._call("task_usage", worker_id=worker_id)

    def _apply(self, changes: _types.VmListChanges) -> None:
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
            return await self._exchange(operation, body)
        finally:
            self.pending_ -= 1

    async def _exchange(self, operation: _wire.Operation, body: bytes) -> Any:
        if operation.changes:
            return await self._change(operation, body)
        return await self._read(operation, body)

    async def _read(self, operation: _wire.Operation, body: bytes) -> Any:
        """Calls an operation without effects on a kept connection.

        curl repeats a request by itself when a kept connection turns out to be
        closed, which is harmless here and not for a change.
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
            prepare_curl_callback=_limit_answer,
        )
        try:
            answer = await self._reader().fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            return self._failure(operation, True, error)
        if answer.code == LOST_ANSWER_STATUS:
            return self._failure(operation, True, answer.error)
        return self._result(operation, answer)

    async def _change(self, operation: _wire.Operation, body: bytes) -> Any:
        sent = False

        async def write_body(write: Any) -> None:
            # The service cannot run a call before its whole body is there, so
            # a failure before this point is certain to have had no effect.
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
            answer = await self._client().fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            return self._failure(operation, sent, error)
        return self._result(operation, answer)

    def _client(self) -> simple_httpclient.SimpleAsyncHTTPClient:
        if self.client_ is None:
            base.validate(self)
            self.client_ = simple_httpclient.SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=self.max_pending,
                resolver=NumericResolver(),
                max_body_size=MAX_ANSWER_BYTES,
            )
        return self.client_

    def _reader(self) -> curl_httpclient.CurlAsyncHTTPClient:
        if self.reader_ is None:
            base.validate(self)
            self.reader_ = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=MAX_READERS
            )
        return self.reader_

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

    def _result(
        self, operation: _wire.Operation, answer: httpclient.HTTPResponse
    ) -> Any:
        """Returns what the answer carries.

        An answer of any other form, for example of a balancer in between, does
        not say whether the call was run.
        """
        if isinstance(answer.error, simple_httpclient.HTTPTimeoutError):
            return self._failure(operation, True, answer.error)
        try:
            return _wire.decode_result(operation, answer.body)
        except _wire.MalformedMessageError as error:
            text = f"status {answer.code}: {error}"
            return self._failure(operation, True, ValueError(text))

    def _refusal(
        self, reason: base.Reason, name: str, detail: str
    ) -> base.Refusal:
        return base.Refusal(reason, f"platform.{name}", self.url, detail)


def _limit_answer(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)


def _is_timeout(error: Exception) -> bool:
    if isinstance(error, curl_httpclient.CurlError):
        return error.errno == pycurl.E_OPERATION_TIMEDOUT
    return isinstance(error, simple_httpclient.HTTPTimeoutError)

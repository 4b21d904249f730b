"""Fakes of the dependencies of the request path."""

import asyncio

from tornado import iostream
from tornado import tcpserver
from tornado import testing

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import membership
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor import slots


def vm(vm_id, address="127.0.0.1:1", zone="taal", pool="jury-desk", **more):
    return ownership.VmState(
        vm_id=vm_id,
        availability_zone=zone,
        rack="rack-1",
        address=address,
        pool=pool,
        phase=ownership.Phase.SERVING,
        boot_id=more.pop("boot_id", "boot-1"),
        **more,
    )


def entry_settings(port, control_port, **options):
    values = dict(
        entry_id="entry-1",
        region="luzon",
        availability_zone="taal",
        caller=settings.Address(host="127.0.0.1", port=port),
        control=settings.Address(host="127.0.0.1", port=control_port),
        platform=settings.Address(host="127.0.0.1", port=1),
        peer_key="k" * 32,
        operator_token="t" * 16,
        drain_s=5.0,
        max_body_bytes=100_000,
    )
    return settings.EntrySettings(**{**values, **options})


class FakeView:

    def __init__(self, vms=()):
        self.vms = list(vms)
        self.forbidden = {}
        self.leaving = []
        self.callbacks = []

    def workers(self, pool):
        return [vm for vm in self.vms if vm.pool == pool]

    def permit(self, vm_id, now_s, pool=""):
        return self.forbidden.get(vm_id)

    def observe_leaving(self, vm_id):
        self.leaving.append(vm_id)

    def subscribe(self, callback):
        self.callbacks.append(callback)


class CheckedQueue(admission.FifoQueue):
    """Checks that every dispatched item is released once."""

    def __init__(self, limit):
        super().__init__(max(1, limit))
        self.closed = limit == 0
        self.running = set()

    def admit(self, item, now_s):
        if self.closed:
            return base.Refusal(base.Reason.QUEUE_FULL, "admission.queue")
        return super().admit(item, now_s)

    def dequeue(self, free_slots, now_s):
        items = super().dequeue(free_slots, now_s)
        self.running.update(items)
        return items

    def release(self, item, now_s):
        self.running.remove(item)

    @property
    def length(self):
        return sum(self.queued().values())


class FixedSlots(slots.StaticSplit):
    """Allows this entry the same number of slots of every worker."""

    def __init__(self, per_worker=8):
        super().__init__("entry-1")
        self.per_worker = per_worker

    def available(self, worker_id, now_s):
        return self.per_worker - self.in_use_.get(worker_id, 0)

    def acquire(self, worker_id, now_s):
        if not self.available(worker_id, now_s):
            return base.Refusal(base.Reason.NO_CAPACITY, "slots.acquire")
        self.in_use_[worker_id] = self.in_use_.get(worker_id, 0) + 1
        return None

    def connection_limit(self, worker_id):
        return self.per_worker


class FakeControl:

    def __init__(self, view, deployment, preset_name="ordinary"):
        self.view = view
        self.deployment = deployment
        self.generation = 1
        self.preset_name = preset_name
        self.signer = membership.PeerSigner(b"k" * 32, "entry-1", 5)
        self.posted = []
        self.peer_response = base.Refusal(base.Reason.PEER_GONE, "peer")

    async def start(self):
        self.started = True

    async def stop(self):
        self.stopped = True

    def ready(self):
        return None

    def routes(self):
        return []

    def add_exchange_provider(self, name, provider):
        self.exchange = (name, provider)

    def set_load_source(self, source):
        self.load_source = source

    def set_sending_check(self, check):
        self.sending_check = check

    def add_peer_endpoint(self, path, function):
        self.peer_function = (path, function)

    async def post_peer(self, entry_id, path, headers, body, timeout_s):
        self.posted.append((entry_id, path, body))
        return self.peer_response


class RawServer(tcpserver.TCPServer):
    """A backend server that sends the bytes that a test specifies.

    `respond(number, head, body)` returns the bytes to send, or None to send
    nothing; it may be a coroutine. For a tuple of bytes, the connection is
    closed afterwards; the parts of a list are sent with pauses.
    """

    def __init__(self, respond):
        super().__init__()
        self.respond = respond
        self.listener, port = testing.bind_unused_port()
        self.address = f"127.0.0.1:{port}"
        self.received = []
        self.connections = 0
        self.streams = []

    def start(self):
        self.add_socket(self.listener)

    async def handle_stream(self, stream, address):
        self.connections += 1
        self.streams.append(stream)
        try:
            while True:
                await self._serve_one(stream)
        except iostream.StreamClosedError:
            pass

    async def _serve_one(self, stream):
        head = (await stream.read_until(b"\r\n\r\n")).decode()
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await stream.read_bytes(length) if length else b""
        self.received.append((head, body))
        result = self.respond(len(self.received), head, body)
        if asyncio.iscoroutine(result):
            result = await result
        if isinstance(result, tuple):
            await stream.write(result[0])
            stream.close()
        elif isinstance(result, list):
            for part in result:
                await stream.write(part)
                await asyncio.sleep(0.1)
        elif result is not None:
            await stream.write(result)


def http_response(body=b"ok", status="200 OK", extra=""):
    return (
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    ).encode() + body

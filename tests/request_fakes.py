"""Small fakes of the parts that the request path depends on."""

import asyncio
import collections

from tornado import iostream
from tornado import tcpserver
from tornado import testing

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import ownership
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


class FakeView:

    def __init__(self, vms=()):
        self.vms = list(vms)
        self.forbidden = {}
        self.left = []
        self.callbacks = []

    def workers(self, pool):
        return [vm for vm in self.vms if vm.pool == pool]

    def permit(self, vm_id, now_s, pool=""):
        return self.forbidden.get(vm_id)

    def observe_leaving(self, vm_id):
        self.left.append(vm_id)

    def subscribe(self, callback):
        self.callbacks.append(callback)


class FifoQueue(admission.AdmissionPolicy):

    def __init__(self, limit=1000):
        self.limit = limit
        self.items = []
        self.running = set()

    def admit(self, item, now_s):
        if len(self.items) >= self.limit:
            return base.Refusal(base.Reason.QUEUE_FULL, "admission.queue")
        self.items.append(item)
        return None

    def plan(self, free_slots, now_s):
        left = collections.Counter(free_slots)
        taken = []
        for item in list(self.items):
            if left[item.pool] > 0:
                left[item.pool] -= 1
                self.items.remove(item)
                self.running.add(item)
                taken.append(item)
        return taken

    def release(self, item, now_s):
        self.running.remove(item)

    def cancel(self, item):
        self.items.remove(item)

    def expire(self, now_s):
        late = [item for item in self.items if item.deadline_s <= now_s]
        self.items = [item for item in self.items if item not in late]
        return late

    def set_callers(self, callers):
        pass

    def queued(self):
        return collections.Counter(item.pool for item in self.items)


class StaticSlots(slots.SlotPolicy):

    def __init__(self, per_worker=8):
        self.per_worker = per_worker
        self.used = collections.Counter()

    def set_workers(self, workers):
        self.workers = workers

    def set_entries(self, entry_ids):
        self.entry_ids = entry_ids

    def set_demand(self, queued):
        self.demand = queued

    def available(self, worker_id, now_s):
        return self.per_worker - self.used[worker_id]

    def acquire(self, worker_id, now_s):
        if not self.available(worker_id, now_s):
            return base.Refusal(base.Reason.NO_CAPACITY, "slots.acquire")
        self.used[worker_id] += 1
        return None

    def release(self, worker_id, now_s):
        assert self.used[worker_id] > 0
        self.used[worker_id] -= 1

    def connection_limit(self, worker_id):
        return self.per_worker

    def exchange(self, peer_id, now_s):
        return {"used": dict(self.used)}

    def receive(self, peer_id, payload, now_s):
        self.received = payload


class FakeControl:

    def __init__(self, view, deployment, preset_name="ordinary"):
        self.view = view
        self.deployment = deployment
        self.generation = 1
        self.preset_name = preset_name
        self.posted = []
        self.peer_answer = base.Refusal(base.Reason.PEER_GONE, "peer")

    async def start(self):
        self.started = True

    async def stop(self):
        self.stopped = True

    def ready(self):
        return None

    def routes(self):
        return []

    def add_exchange(self, name, provider):
        self.exchange = (name, provider)

    def set_load_source(self, source):
        self.load_source = source

    def set_sending_check(self, check):
        self.sending_check = check

    def add_peer_function(self, path, function):
        self.peer_function = (path, function)

    async def post_peer(self, entry_id, path, headers, body, timeout_s):
        self.posted.append((entry_id, path, body))
        return self.peer_answer


class RawServer(tcpserver.TCPServer):
    """A backend server whose answers are bytes chosen by the test.

    `answer(number, head, body)` returns the bytes to send, or None to send
    nothing; it may be a coroutine. Returning `(bytes,)` closes afterwards.
    """

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
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
        result = self.answer(len(self.received), head, body)
        if asyncio.iscoroutine(result):
            result = await result
        if isinstance(result, tuple):
            await stream.write(result[0])
            stream.close()
        elif result is not None:
            await stream.write(result)


def http_answer(body=b"ok", status="200 OK", extra=""):
    return (
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    ).encode() + body

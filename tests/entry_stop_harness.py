"""Harness of tests that stop an entry while it has open requests."""

import asyncio
import signal
import socket

import entry_harness
from tornado import web

from baobabdoor import transport
from baobabdoor.entry import _daemon

JOBS_PATH = "/v1/jobs"


class SlowHandler(web.RequestHandler):
    """Completes when the test allows it."""

    def initialize(self, release):
        self.release = release

    async def get(self):
        await self.release.wait()
        self.finish({"done": True})

    post = get


class SilentPlatform:
    """Never answers a transaction."""

    async def transact(self, conditions, writes):
        await asyncio.Event().wait()

    async def read(self, keys):
        await asyncio.Event().wait()


class StoppedHarness(entry_harness.EntryHarness):
    """An entry whose scenario ends with a stop of its own."""

    def __init__(self, balancer_wait_s=0.05, **options):
        super().__init__(**options)
        self.components = self.server.components
        self.components.balancer_wait_s = balancer_wait_s

    def stop(self):
        return asyncio.ensure_future(self.server.stop())

    def run(self, scenario):
        async def run_scenario():
            for backend in self.backends:
                backend.start()
            await self.server.start()
            return await asyncio.wait_for(scenario(), 60)

        return asyncio.run(run_scenario())

    def serve(self, scenario):
        """Runs a scenario beside an entry that a signal stops."""

        async def run_scenario():
            self.serving = asyncio.ensure_future(_daemon.serve(self.server))
            await entry_harness.wait_until(lambda: self.server.subscriptions_)
            return await asyncio.wait_for(scenario(), 60)

        handlers = [(n, signal.getsignal(n)) for n in _daemon.STOP_SIGNALS]
        try:
            return asyncio.run(run_scenario())
        finally:
            for number, handler in handlers:
                signal.signal(number, handler)

    def accepts(self, port):
        try:
            socket.create_connection(("127.0.0.1", port)).close()
        except ConnectionRefusedError:
            return False
        return True

    def use_job_routes(self, routes):
        self.server.caller_server_.local_paths.jobs_handler_ = (
            transport.ApplicationHandler(web.Application(routes))
        )

    async def send(self, request, port=None):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port or self.port
        )
        writer.write(request)
        return reader, writer

    async def exchange(self, reader):
        """Returns the response and what follows until the connection ends."""
        response = await entry_harness.read_response(reader)
        return response, await reader.read()

    async def wait_for_request(self):
        await entry_harness.wait_until(
            lambda: self.server.caller_server_.open_requests_
        )

    async def wait_until_resolving(self):
        """Waits for a request whose key is all that it waits for."""
        await entry_harness.wait_until(lambda: self.server.keys_.tasks_)
        await entry_harness.wait_until(lambda: not self.queue.length)


async def hang(*_, **__):
    await asyncio.Event().wait()

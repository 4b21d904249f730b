"""Tests of requests that a planned stop may still cut off."""

import asyncio
import signal
import types

import drains
import test_dispatch_election
import test_dispatch_gateway
import test_dispatch_stops

from baobabdoor import base
from baobabdoor import transport
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _refresh
from baobabdoor.dispatch import _shutdown
from baobabdoor.standin import _row_store
from baobabdoor.transport import _client
from baobabdoor.transport import _memory_budget


async def _hang():
    await asyncio.Event().wait()


class TestPeerRequests:

    def test_forwarded_request_does_not_wait_behind_the_end(self):
        """A read of the configuration outlasted the process."""
        follower = test_dispatch_gateway.Follower()
        gateway = follower.gateway
        gateway.daemon.refresher = _refresh.Refresher(lambda: 1, _hang)
        gateway.shutdown.answers_due = True
        request = transport.Request(
            "POST", "/v1/submit", "h", {}, b'{"version": 2, "queue": "q"}'
        )

        async def scenario():
            reply = await asyncio.wait_for(gateway.serve(request), 2.0)
            assert b"not-holder" in reply.body

        asyncio.run(scenario())


class TestFullServer:

    def test_new_connection_does_not_cut_a_reply_of_a_draining_server(self):
        """A reply under way was evicted in favour of a new connection."""

        async def scenario(server, connect, handler):
            reader = await connect(drains.GET, receive_buffer_bytes=4096)
            reader.reader._transport.pause_reading()
            await drains.until_phase(server, "writing")
            server.start_draining()
            others = [await connect(drains.CHUNKED) for _ in range(7)]
            del others
            await drains.until_phase(server, "body", 7)
            await connect()
            await asyncio.sleep(0.2)
            server.stop_accepting()
            reader.reader._transport.resume_reading()
            status, _, body = await reader.reply()
            assert status == 200
            assert len(body) == drains.LARGE

        drains.run(
            scenario,
            b"x" * drains.LARGE,
            bounds=_memory_budget.Bounds(100_000_000, 8, 50_000_000),
        )


class TestManyForwardedRequests:

    def test_requests_that_wait_for_a_connection_to_the_leader_end(self):
        """`wait_for` lost cancels while others gave back their connections."""

        async def scenario():
            async def hang(reader, writer):
                await reader.read()
                writer.close()

            silent = await asyncio.start_server(hang, "127.0.0.1", 0)
            host, port = silent.sockets[0].getsockname()
            follower = test_dispatch_gateway.Follower()
            daemon = follower.gateway.daemon
            daemon.client = transport.Client()
            daemon.election = types.SimpleNamespace(
                current=types.SimpleNamespace(address=f"{host}:{port}"),
                is_self=lambda leader: False,
            )
            timers = base.VirtualTimerService()
            shutdown = _shutdown.Shutdown(6.0, timers)
            gateway = _gateway.Gateway(daemon, shutdown)
            calls = [
                asyncio.ensure_future(
                    gateway.submit(
                        f"{number:016x}",
                        test_dispatch_gateway.QUEUE,
                        b"{}",
                        3600.0,
                    )
                )
                for number in range(3 * _client.MAX_CONNECTIONS)
            ]
            await asyncio.sleep(0.3)
            shutdown.begin()
            timers.advance(shutdown.budget.answer_s)
            _, late = await asyncio.wait(calls, timeout=0.3)
            for call in late:
                call.cancel()
            silent.close()
            assert not late, f"{len(late)} of {len(calls)} are not answered"

        asyncio.run(scenario())


class TestCampaign:

    def test_a_stopping_process_does_not_become_the_leader(self):
        """A campaign under way took a term that could not be started."""

        async def scenario():
            store = _row_store.MemoryRowStore()
            candidate = test_dispatch_election.Candidate(store, "a")
            answer = await store.read_all(_election.TABLE, _election.PART)
            candidate.election._observe((), answer, True)
            await asyncio.sleep(0)
            candidate.eligible = False
            await candidate.election.writing
            assert not store.rows

        asyncio.run(scenario())


class StopBesideFrozenLeader(test_dispatch_stops.PlannedStop):
    """Stops a follower, which the callers use, while its leader is frozen."""

    async def _run_callers(self, stop):
        leaders = [
            daemon
            for daemon in self.daemons
            if "tenure_won" in daemon.log.read_text()
        ]
        self.daemons.sort(key=lambda daemon: daemon is leaders[-1])
        await super()._run_callers(stop)

    async def stop_follower(self, daemons):
        """Freezes the leader and stops the first daemon."""
        daemons[-1].send(signal.SIGSTOP)
        daemons[0].send(signal.SIGTERM)


class TestFrozenLeader:

    def test_more_requests_than_connections_to_the_leader_are_answered(
        self, tmp_path
    ):
        """Calls that waited for a connection were sent as the process ended."""
        planned_stop = StopBesideFrozenLeader(tmp_path, 2)
        asyncio.run(planned_stop.run(planned_stop.stop_follower))
        planned_stop.check()

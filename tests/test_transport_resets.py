"""Tests of requests whose clients have reset their connections.

A client that times out resets its connection. A server that is late would spend
its time on requests whose answers nobody reads.
"""

import asyncio
import socket
import struct

import drains
import pytest

REQUEST = drains.POST + b"\r\nabcd"


def send(server, data):
    """Sends bytes before the server can read them; returns the socket."""
    host, _, port = server.address.partition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    return sock


def reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


async def until_closed(server):
    async with asyncio.timeout(10.0):
        while server.budget.usages_:
            await asyncio.sleep(0.01)


class TestResetRequests:

    @pytest.mark.parametrize("data", [REQUEST, drains.GET])
    def test_a_request_that_was_reset_is_handled(self, data):
        async def scenario(server, connect, handler):
            reset(send(server, data))
            # Accepted after it.
            connection = await connect(drains.GET)
            assert (await connection.reply())[0] == 200
            connection.writer.close()
            await until_closed(server)
            assert handler.paths == ["/a"]
            assert server.in_progress == 0
            assert server.pending_requests == 0

        drains.run(scenario)

    def test_a_client_that_closed_its_own_side_gets_no_answer(self):
        async def scenario(server, connect, handler):
            del connect, handler
            sock = send(server, REQUEST)
            sock.shutdown(socket.SHUT_WR)
            sock.setblocking(False)
            connection = await drains.Connection(sock).open()
            assert (await connection.reply())[0] == 200
            connection.writer.close()

        drains.run(scenario)

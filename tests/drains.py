"""Server and raw connections for tests of what a drain owes to them."""

import asyncio
import socket

import ports

from baobabdoor import transport
from baobabdoor.transport import _memory_budget

GET = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_UNDER_WAY = POST + b"\r\nab"
BOUNDS = _memory_budget.Bounds(1_000_000, 64, 500_000)
UNUSED_BODY = b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
LARGE = 8_000_000


class Connection:
    """A raw connection to the server."""

    def __init__(self, sock):
        self.sock = sock

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(sock=self.sock)
        return self

    def send(self, data):
        self.writer.write(data)

    async def reply(self):
        """Returns status, headers and body of the next whole reply."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 10.0)
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if line)
        length = int(headers.get("Content-Length", 0))
        body = await asyncio.wait_for(self.reader.readexactly(length), 10.0)
        return int(first.split()[1]), headers, body

    async def last_status(self):
        """Returns the status of a reply that closes the connection."""
        status, headers, _ = await self.reply()
        assert headers.get("Connection") == "close"
        assert await self.rest() == b""
        return status

    async def rest(self):
        """Returns what comes before the connection is closed."""
        return await asyncio.wait_for(self.reader.read(), 10.0)


class Handler:
    """Handles requests once they are released.

    Args:
        body: Body of each reply. Default: the path of the request.
    """

    def __init__(self, body=b""):
        self.body = body
        self.released = asyncio.Event()
        self.paths = []

    async def __call__(self, request):
        self.paths.append(request.path)
        await self.released.wait()
        return transport.Reply(200, self.body or request.path.encode())


def run(scenario, body=b"", released=True, **options):
    """Runs `scenario(server, connect, handler)` beside a server."""

    async def main():
        address = f"127.0.0.1:{ports.free_port()}"
        handler = Handler(body)
        if released:
            handler.released.set()
        options.setdefault("bounds", BOUNDS)
        server = transport.Server(address, handler, **options)
        server.start()
        connections = []

        def connect_socket(receive_buffer_bytes=0):
            sock = socket.socket()
            if receive_buffer_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
            host, _, port = address.rpartition(":")
            # The kernel completes it, also if the server does not run.
            sock.connect((host, int(port)))
            return sock

        async def connect(*data, receive_buffer_bytes=0, used=False):
            connection = Connection(connect_socket(receive_buffer_bytes))
            connections.append(await connection.open())
            if used:
                connection.send(GET)
                assert (await connection.reply())[0] == 200
                handler.paths.clear()
            for part in data:
                connection.send(part)
            return connection

        connect.socket = connect_socket
        try:
            await scenario(server, connect, handler)
        finally:
            server.stop()
            for connection in connections:
                connection.writer.close()

    asyncio.run(main())


async def until(condition):
    """Waits for a condition; fails if it is not met in 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def until_phase(server, phase, count=1):
    def count_phase():
        usages = server.budget.usages_.values()
        return sum(usage.phase.value == phase for usage in usages)

    await until(lambda: count_phase() == count)

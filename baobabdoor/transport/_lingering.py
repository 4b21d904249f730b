"""Connections that are read until their client has got the last reply."""

import asyncio
import socket

# A connection that is closed while its client still sends is read for this time
# so that the client gets the reply: a reset would discard it.
LINGER_S = 0.5
# Maximum number of such connections of a server; others are reset.
MAX_LINGERING = 16
# Bytes that are read at a time.
CHUNK_BYTES = 16_384


class Lingering:
    """Half-closes connections, then reads and discards what clients send."""

    def __init__(self):
        self.sockets_: set[socket.socket] = set()
        self.discarded_ = bytearray(CHUNK_BYTES)

    def __len__(self) -> int:
        return len(self.sockets_)

    def add(self, sock: socket.socket) -> bool:
        """Closes a socket later; returns whether that is possible."""
        if len(self.sockets_) >= MAX_LINGERING:
            return False
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self.sockets_.add(sock)
        loop = asyncio.get_running_loop()
        loop.add_reader(sock, self._discard, sock)
        loop.call_later(LINGER_S, self._end, sock)
        return True

    def _discard(self, sock: socket.socket) -> None:
        try:
            if sock.recv_into(self.discarded_):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        if sock in self.sockets_:
            self.sockets_.remove(sock)
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

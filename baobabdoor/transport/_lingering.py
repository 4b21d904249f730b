"""Connections that are read until their client has got the last reply."""

import asyncio
import socket

# A connection that is closed while its client still sends is read for this time
# so that the client gets the reply: a reset would discard it.
LINGER_S = 0.5
# Bytes that are read at a time.
CHUNK_BYTES = 16_384


class Lingering:
    """Half-closes connections, then reads and discards what clients send."""

    def __init__(self):
        # Whether the client of each may still send.
        self.sockets_: dict[socket.socket, bool] = {}
        self.discarded_ = bytearray(CHUNK_BYTES)

    def __len__(self) -> int:
        return len(self.sockets_)

    @property
    def unfinished_count(self) -> int:
        """Number of connections whose client may still send.

        A reset of theirs could discard the reply.
        """
        return sum(self.sockets_.values())

    def add(
        self, sock: socket.socket, unfinished: bool, max_count: int
    ) -> bool:
        """Closes a socket later; returns whether that is possible.

        Args:
            sock: Connected socket.
            unfinished: Whether its request has not been read in whole.
            max_count: Maximum number of such connections.
        """
        if len(self.sockets_) >= max_count:
            return False
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self.sockets_[sock] = unfinished
        loop = asyncio.get_running_loop()
        loop.add_reader(sock, self._discard, sock)
        loop.call_later(LINGER_S, self._end, sock)
        return True

    def end_oldest(self, max_count: int) -> None:
        """Closes the connections that linger for longest.

        Args:
            max_count: Number of connections that may remain.
        """
        while len(self.sockets_) > max_count:
            self._end(next(iter(self.sockets_)))

    def _discard(self, sock: socket.socket) -> None:
        try:
            if sock.recv_into(self.discarded_):
                self.sockets_[sock] = True
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        if sock in self.sockets_:
            del self.sockets_[sock]
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

"""Headers and bodies of HTTP messages on persistent connections."""

from tornado import http1connection
from tornado import httputil

# Larger bodies are written apart from the header instead of being copied.
MAX_COPIED_BYTES = 65_536
# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)


def hop_by_hop_headers(headers: httputil.HTTPHeaders) -> frozenset[str] | set:
    """Returns the names of the hop-by-hop headers, never forwarded."""
    options = headers.get("Connection")
    if options is None or options.lower() in ("close", "keep-alive"):
        return HOP_BY_HOP
    names = {name.strip().title() for name in options.split(",")}
    return HOP_BY_HOP | names


def write(
    connection: http1connection.HTTP1Connection, head: bytes, body: bytes
) -> None:
    """Writes an encoded message.

    Args:
        connection: Connection that the message is written to.
        head: First line and headers.
        body: Body, of which no copy is made if it is large.
    """
    if len(body) > MAX_COPIED_BYTES:
        connection.write(head)
        connection.write(body)
    else:
        connection.write(head + body)

"""Floods a running entry and reports its processor time and responses.

Usage: flood.py URL PID CONNECTIONS SECONDS [CALLER URGENCY]

URL is the caller port of the entry, PID its process ID. Each connection sends
its next request as soon as it has received the response to the previous one,
even after a refusal: the callers ignore Retry-After. Reads the processor time
from /proc, which requires Linux. Prints one line of JSON.
"""

import asyncio
import collections
import json
import os
import pathlib
import sys
import time
import urllib.parse

POOL = "results-desk"


def processor_s(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The name in parentheses may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def send_until(
    end_s: float,
    host: str,
    port: int,
    request: bytes,
    counts: collections.Counter,
    latencies: list[float],
) -> None:
    """Sends requests on one connection; reconnects when it is closed."""
    while time.monotonic() < end_s:
        reader, writer = await asyncio.open_connection(host, port)
        counts["connections"] += 1
        try:
            while time.monotonic() < end_s:
                sent_s = time.monotonic()
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").lower().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:-2])
                await reader.readexactly(int(headers["content-length"]))
                counts[lines[0].split()[1]] += 1
                if lines[0].split()[1] == "200":
                    latencies.append(time.monotonic() - sent_s)
                if headers.get("connection") == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            counts["broken"] += 1
        finally:
            writer.close()


async def flood(arguments: list[str]) -> dict:
    """Runs the flood and returns its counts and latencies."""
    url, pid, connections, seconds, *rest = arguments
    caller, urgency = rest or ("archive", "7")
    address = urllib.parse.urlsplit(url)
    request = (
        f"GET /flood HTTP/1.1\r\nHost: {address.netloc}\r\n"
        f"Baobabdoor-Pool: {POOL}\r\nBaobabdoor-Caller: {caller}\r\n"
        f"Priority: u={urgency}\r\n\r\n"
    ).encode()
    counts: collections.Counter = collections.Counter()
    latencies: list[float] = []
    before_s = processor_s(int(pid))
    start_s = time.monotonic()
    await asyncio.gather(
        *(
            send_until(
                start_s + float(seconds),
                address.hostname,
                address.port,
                request,
                counts,
                latencies,
            )
            for _ in range(int(connections))
        )
    )
    latencies.sort()
    return {
        "seconds": round(time.monotonic() - start_s, 2),
        "processor_s": round(processor_s(int(pid)) - before_s, 2),
        "p99_served_s": (
            round(latencies[len(latencies) * 99 // 100], 4)
            if latencies
            else None
        ),
        **counts,
    }


if __name__ == "__main__":
    if len(sys.argv) not in (5, 7):
        sys.exit(__doc__)
    print(json.dumps(asyncio.run(flood(sys.argv[1:]))))

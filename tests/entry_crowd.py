"""A crowd of connections against one `baobabdoor-entry` process.

The entry runs as a separate process. The platform and one backend server are
fakes in the process of the test.
"""

import asyncio
import hashlib
import json
import pathlib
import subprocess
import sys

import attrs
import memory_crowd
import ports
import request_fakes as fakes
from tornado import httpclient
import yaml

from baobabdoor import membership
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor.standin import _platform_server

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "federation.yaml"
MAX_BODY_BYTES = 262_144
TOKEN = "t" * 16
PEER_KEY = "k" * 32
OPERATOR = {"Authorization": f"Bearer {TOKEN}"}
POOL = "jury-desk"
# Starts the daemon with a maximum number of descriptors.
PROGRAM = """
import resource
import sys
limit = int(sys.argv.pop())
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
from baobabdoor import entry
entry.main()
"""
DESCRIPTORS = 4096
START_ATTEMPTS = 200
START_PAUSE_S = 0.1
REQUEST_TIMEOUT_S = 5.0
REQUEST_ATTEMPTS = 8
# Incarnation of the peer whose requests the test signs.
PEER_INCARNATION = 1_000_000


@attrs.define
class Observed:
    """What was observed of the process after a crowd.

    Attributes:
        lives: Whether it runs.
        peak_mb: Peak of its resident memory.
        descriptors: Number of its open descriptors beside the crowd.
        statuses: Status of one request each of a caller, an operator and a
            peer, sent beside the crowd.
    """

    lives: bool
    peak_mb: float
    descriptors: int
    statuses: dict[str, int]


class CrowdEntry(memory_crowd.Crowd):
    """One entry process, its platform and a backend server.

    Args:
        folder: Directory for settings and logs.
        port: `caller` or `control`: the port that the crowd connects to.
        descriptors: Maximum number of descriptors of the process.
        **options: Further settings of the entry.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        port: str = "caller",
        descriptors: int = DESCRIPTORS,
        **options,
    ):
        super().__init__()
        self.folder = folder
        self.descriptors = descriptors
        self.ports = {
            name: ports.free_port()
            for name in ("caller", "control", "platform")
        }
        self.port = port
        self.address = f"127.0.0.1:{self.ports[port]}"
        self.settings = {
            "entry_id": "entry-1",
            "region": "luzon",
            "availability_zone": "taal",
            **{
                name: {"host": "127.0.0.1", "port": number}
                for name, number in self.ports.items()
            },
            "peer_key": PEER_KEY,
            "operator_token": TOKEN,
            "max_body_bytes": MAX_BODY_BYTES,
            **options,
        }
        self.process: subprocess.Popen | None = None
        # Descriptor that the process writes its log to; `None` for a file.
        self.log: int | None = None
        # Whether the backend server answers.
        self.answers = asyncio.Event()
        self.answers.set()
        self.path = "/x"
        self.core = standin.PlatformCore(observability.LoopTimerService())
        self.platform = _platform_server.PlatformServer(
            self.core,
            "127.0.0.1",
            [self.ports["platform"]],
            _platform_server.BackendClient("", self.core),
        )
        self.backend = fakes.RawServer(self._answer)

    async def _answer(self, number: int, head: str, body: bytes) -> bytes:
        del number, head, body
        await self.answers.wait()
        return fakes.http_response()

    def head(self, number: int, *lines: str) -> bytes:
        """Returns the header of a request without an operator's token."""
        del number
        path = self.path if self.port == "caller" else "/v1/config"
        fixed = [
            f"POST {path} HTTP/1.1",
            "Host: service",
            f"Baobabdoor-Pool: {POOL}",
            "Baobabdoor-Caller: crowd",
        ]
        return "\r\n".join([*fixed, *lines, "", ""]).encode()

    async def play(self, crowd) -> Observed:
        """Plays a crowd and returns what was observed.

        Args:
            crowd: Coroutine function that gets this object.
        """
        self.backend.start()
        await self.platform.start()
        self.start()
        try:
            await self.prepare()
            await crowd(self)
            await asyncio.sleep(memory_crowd.SETTLE_S)
            return await self.observe()
        finally:
            self.dismiss()
            self.end()
            await self.platform.stop()
            self.backend.stop()

    def start(self) -> None:
        """Starts the process."""
        path = self.folder / "entry.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        command = [sys.executable, "-c", PROGRAM, f"--config={path}"]
        with (self.folder / "entry.log").open("ab") as log:
            output = log if self.log is None else self.log
            self.process = subprocess.Popen(
                [*command, str(self.descriptors)], stdout=output, stderr=output
            )

    def end(self) -> None:
        """Kills the process if it runs and waits for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def prepare(self) -> None:
        """Applies a configuration and waits until the entry is ready."""
        await self._wait_for("control", "/v1/config", headers=OPERATOR)
        deployment = settings.load_deployment(str(EXAMPLE))
        change = {
            "change_id": "change-1",
            "operator": "test",
            "document": settings.unstructure(deployment),
        }
        applied = await self.fetch(
            "control",
            "/v1/config",
            method="POST",
            headers=OPERATOR,
            body=json.dumps(change),
        )
        assert applied == 200
        spec = standin.VmSpec(
            "vm-1", self.backend.address, "taal", "r1", cores=16, pool_hint=POOL
        )
        self.core.vms.add(spec, listed_at_once=True)
        await self._wait_for("caller", "/readyz")
        assert await self.request() == 200

    async def _wait_for(self, port: str, path: str, **options) -> None:
        for _ in range(START_ATTEMPTS):
            if await self.fetch(port, path, **options) == 200:
                return
            await asyncio.sleep(START_PAUSE_S)
        raise AssertionError(f"{path} does not succeed")

    async def fetch(self, port: str, path: str, **options) -> int:
        """Returns the status of a request; 0 without an answer."""
        client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                f"http://127.0.0.1:{self.ports[port]}{path}",
                raise_error=False,
                request_timeout=REQUEST_TIMEOUT_S,
                **options,
            )
            return response.code
        except (OSError, httpclient.HTTPError):
            return 0
        finally:
            client.close()

    async def request(self) -> int:
        """Sends a caller's ordinary request; returns the status."""
        headers = {"Baobabdoor-Pool": POOL, "Baobabdoor-Caller": "sailors"}
        return await self._repeat(
            lambda: self.fetch(
                "caller", "/ordinary", method="POST", body="{}", headers=headers
            )
        )

    async def request_as_operator(self) -> int:
        """Reads the status report; returns the status."""
        return await self._repeat(
            lambda: self.fetch("control", "/v1/status", headers=OPERATOR)
        )

    async def request_as_peer(self) -> int:
        """Reads the configuration as another entry; returns the status."""
        signer = membership.PeerSigner(
            PEER_KEY.encode(), "entry-2", PEER_INCARNATION
        )
        # The response to the first request contains the entry's incarnation.
        return await self._repeat(lambda: self._fetch_as_peer(signer))

    async def _fetch_as_peer(self, signer: membership.PeerSigner) -> int:
        path = "/peer/v1/configuration"
        content = membership.SignedContent(path, {}, b"{}")
        envelope = signer.sign_request("entry-1", content)
        client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                f"http://127.0.0.1:{self.ports['control']}{path}",
                method="POST",
                headers=peer_headers(envelope, content),
                body=content.body,
                raise_error=False,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (OSError, httpclient.HTTPError):
            return 0
        finally:
            client.close()
        answer = membership.Envelope.from_headers(response.headers)
        if isinstance(answer, membership.Envelope):
            answered = membership.SignedContent(
                f"{path}#{response.code}", {}, response.body
            )
            assert signer.verify_response(envelope, answer, answered) is None
        return response.code

    async def _repeat(self, send) -> int:
        """Repeats a request until it succeeds; returns the last status."""
        for _ in range(REQUEST_ATTEMPTS):
            status = await send()
            if status == 200:
                break
            await asyncio.sleep(memory_crowd.ATTEMPT_PAUSE_S)
        return status

    async def observe(self) -> Observed:
        """Returns what is observed beside the crowd."""
        lives = self.process.poll() is None
        pid = self.process.pid
        descriptors = memory_crowd.count_descriptors(pid) if lives else 0
        statuses = {
            "caller": await self.request(),
            "operator": await self.request_as_operator(),
            "peer": await self.request_as_peer(),
        }
        lives = self.process.poll() is None
        peak_mb = memory_crowd.peak_memory_mb(pid) if lives else 0.0
        return Observed(lives, peak_mb, descriptors, statuses)


def peer_headers(
    envelope: membership.Envelope, content: membership.SignedContent
) -> dict[str, str]:
    """Returns the headers of a signed request."""
    return {
        **envelope.to_headers(),
        "Baobabdoor-Peer-Signed": "",
        "Baobabdoor-Peer-Body-Sha256": hashlib.sha256(content.body).hexdigest(),
    }

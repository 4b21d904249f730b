"""Signed HTTP requests between entries."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import json
import re

from tornado import httpclient
from tornado import simple_httpclient
from tornado import web

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import membership

STEP = "control.peer"
SIGNED_HEADER = "Baobabdoor-Peer-Signed"
# Digest of the body, so that the signature can be verified before the body is
# received.
BODY_DIGEST_HEADER = "Baobabdoor-Peer-Body-Sha256"
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
STATUS_OK = 200
STATUS_REFUSED = 400
STATUS_FORGED = 403
# The sender does not know the incarnation of this process.
STATUS_UNKNOWN_RECEIVER = 409

_DIGEST = re.compile("[0-9a-f]{64}")

# Takes the sender, its incarnation and the request body; returns the response
# body or a refusal.
PeerEndpoint = Callable[[str, int, bytes], Awaitable[bytes | base.Refusal]]


class PeerClient:
    """Sends signed requests to peers.

    Uses the simple client because it sends each request once; the curl client
    retries a request by itself if a reused connection turns out to be closed.

    Args:
        signer: Signs requests and verifies responses.
        peers: Known peers.
    """

    def __init__(
        self, signer: membership.PeerSigner, peers: membership.PeerTable
    ):
        self.signer = signer
        self.peers = peers
        self.client_: simple_httpclient.SimpleAsyncHTTPClient | None = None

    def close(self) -> None:
        """Closes the client; requests in progress get no response."""
        if self.client_ is not None:
            self.client_.close()
            self.client_ = None

    async def post(
        self,
        entry_id: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> bytes | base.Refusal:
        """Sends a request; retries once if the peer's incarnation was unknown.

        Returns:
            The verified response body, or a refusal. Only
            `Reason.CONNECTION_FAILED` and `Reason.NOT_FOUND` guarantee that the
            peer has not processed the request.
        """
        result = await self._post(entry_id, path, headers, body, timeout_s)
        if (
            isinstance(result, base.Refusal)
            and result.reason is base.Reason.PEER_GONE
        ):
            result = await self._post(entry_id, path, headers, body, timeout_s)
        return result

    async def _post(
        self,
        entry_id: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> bytes | base.Refusal:
        peer = self.peers.peers_.get(entry_id)
        if peer is None:
            return base.Refusal(base.Reason.NOT_FOUND, STEP, entry_id)
        content = membership.SignedContent(path, headers, body)
        envelope = self.signer.sign_request(entry_id, content)
        request = httpclient.HTTPRequest(
            f"http://{peer.address.control}{path}",
            method="POST",
            headers={
                **headers,
                **envelope.to_headers(),
                SIGNED_HEADER: ",".join(headers),
                BODY_DIGEST_HEADER: content.body_digest(),
            },
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            # Still raises if there is no response at all.
            response = await self._client().fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            return _connection_refusal(entry_id, error)
        return self._verify_response(envelope, path, response)

    def _client(self) -> simple_httpclient.SimpleAsyncHTTPClient:
        if self.client_ is None:
            self.client_ = simple_httpclient.SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=MAX_CONNECTIONS,
                # The default resolver of tornado uses other threads.
                resolver=fleet_api.NumericResolver(),
                max_body_size=MAX_RESPONSE_BYTES,
            )
        return self.client_

    def _verify_response(
        self,
        request: membership.Envelope,
        path: str,
        response: httpclient.HTTPResponse,
    ) -> bytes | base.Refusal:
        peer_id = request.receiver
        envelope = membership.Envelope.from_headers(response.headers)
        if isinstance(envelope, base.Refusal):
            detail = f"unsigned response with status {response.code}"
            return base.Refusal(
                base.Reason.UNKNOWN_RESULT, STEP, peer_id, detail
            )
        body = response.body or b""
        content = membership.SignedContent(f"{path}#{response.code}", {}, body)
        refusal = self.signer.verify_response(request, envelope, content)
        if refusal is not None:
            return refusal
        if response.code == STATUS_OK:
            return body
        if response.code == STATUS_UNKNOWN_RECEIVER:
            return base.Refusal(base.Reason.PEER_GONE, STEP, peer_id)
        return base.Refusal(
            base.Reason.UNKNOWN_RESULT,
            STEP,
            peer_id,
            body[:200].decode(errors="replace"),
        )


def _connection_refusal(peer_id: str, error: Exception) -> base.Refusal:
    nothing_sent = isinstance(error, ConnectionRefusedError)
    if isinstance(error, simple_httpclient.HTTPTimeoutError):
        # Tornado's messages for a timeout before anything was written.
        text = str(error)
        nothing_sent = "connecting" in text or "request queue" in text
    reason = (
        base.Reason.CONNECTION_FAILED
        if nothing_sent
        else base.Reason.UNKNOWN_RESULT
    )
    return base.Refusal(reason, STEP, peer_id, str(error))


def signed_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers that a request's signature covers."""
    names = headers.get(SIGNED_HEADER, "")
    return {name: headers.get(name, "") for name in names.split(",") if name}


def check_peer_header(
    signer: membership.PeerSigner, path: str, headers: Mapping[str, str]
) -> base.Refusal | None:
    """Returns why a request is not one of a peer, from its header.

    Args:
        signer: Verifies signatures.
        path: Path of the request.
        headers: Headers of the request.
    """
    envelope = membership.Envelope.from_headers(headers)
    if isinstance(envelope, base.Refusal):
        return envelope
    digest = headers.get(BODY_DIGEST_HEADER, "")
    if not _DIGEST.fullmatch(digest):
        return base.Refusal(
            base.Reason.FORGED, STEP, envelope.sender, "no digest of the body"
        )
    content = membership.SignedContent(
        path, signed_headers(headers), claimed_body_digest=digest
    )
    return signer.check_header(envelope, content)


class PeerHandler(web.RequestHandler):
    """Verifies requests of peers and signs the responses."""

    def initialize(
        self, signer: membership.PeerSigner, function: PeerEndpoint
    ) -> None:
        """Stores the signer and the endpoint function."""
        self.signer = signer
        self.function = function

    async def post(self) -> None:
        """Handles a request."""
        envelope = membership.Envelope.from_headers(self.request.headers)
        if isinstance(envelope, base.Refusal):
            self._refuse(envelope)
            return
        body = self.request.body
        content = membership.SignedContent(
            self.request.path, signed_headers(self.request.headers), body
        )
        refusal = self.signer.verify_request(envelope, content)
        if refusal is None:
            result = await self.function(
                envelope.sender, envelope.incarnation, body
            )
            self._respond(envelope, result)
        elif refusal.reason is base.Reason.PEER_GONE:
            self._send(envelope, STATUS_UNKNOWN_RECEIVER, b"")
        else:
            self._refuse(refusal)

    def _respond(
        self, envelope: membership.Envelope, result: bytes | base.Refusal
    ) -> None:
        if isinstance(result, base.Refusal):
            text = json.dumps(result.to_json())
            self._send(envelope, STATUS_REFUSED, text.encode())
        else:
            self._send(envelope, STATUS_OK, result)

    def _send(
        self, envelope: membership.Envelope, status: int, body: bytes
    ) -> None:
        content = membership.SignedContent(
            f"{self.request.path}#{status}", {}, body
        )
        response = self.signer.sign_response(envelope, content)
        self.set_status(status)
        for name, value in response.to_headers().items():
            self.set_header(name, value)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def _refuse(self, refusal: base.Refusal) -> None:
        self.set_status(STATUS_FORGED)
        self.finish({"refusal": refusal.to_json()})

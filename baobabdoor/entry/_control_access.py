"""Authenticates the clients of the control port by the header of a request."""

from collections.abc import Callable
from collections.abc import Mapping
import hmac
import json

from baobabdoor import base
from baobabdoor import transport

METRICS_PATH = "/metrics"
PEER_PREFIX = "/peer/"
UNAUTHORIZED = 401
FORBIDDEN = 403
TOO_LARGE = 413

# Takes the path and the headers of a request; returns why it is not a peer's.
PeerCheck = Callable[[str, Mapping[str, str]], base.Refusal | None]


class ControlAccess:
    """Decides from a header whether a request's body is read.

    Args:
        operator_token: Bearer token of operators.
        max_document_bytes: Maximum size of an operator's request in bytes.
        check_peer: Checks the signature of a request of another entry.
    """

    def __init__(
        self,
        operator_token: str,
        max_document_bytes: int,
        check_peer: PeerCheck,
    ):
        self.operator_token = operator_token
        self.max_document_bytes = max_document_bytes
        self.check_peer = check_peer

    def check(
        self, request: transport.Request
    ) -> transport.Reply | transport.HeaderCheck | None:
        """Returns the reply to a request without a valid credential.

        Metrics need none: they are read without a body.
        """
        if request.path == METRICS_PATH:
            return None
        if request.path.startswith(PEER_PREFIX):
            refusal = self.check_peer(request.path, request.headers)
            if refusal is not None:
                return _refuse(FORBIDDEN, refusal)
        elif not self._is_operator(request.headers):
            refusal = base.Refusal(
                base.Reason.BAD_REQUEST,
                "operator.authorize",
                detail="expected a valid bearer token",
            )
            return _refuse(UNAUTHORIZED, refusal)
        elif self._is_too_large(request.headers):
            refusal = base.Refusal(
                base.Reason.TOO_LARGE,
                "operator.read",
                detail=f"expected at most {self.max_document_bytes} bytes",
            )
            return _refuse(TOO_LARGE, refusal)
        return transport.AUTHENTICATED

    def _is_too_large(self, headers: Mapping[str, str]) -> bool:
        length = headers.get("Content-Length", "0")
        return transport.exceeds(length, self.max_document_bytes)

    def _is_operator(self, headers: Mapping[str, str]) -> bool:
        expected = f"Bearer {self.operator_token}".encode()
        found = headers.get("Authorization", "").encode()
        return hmac.compare_digest(expected, found)


def _refuse(status: int, refusal: base.Refusal) -> transport.Reply:
    body = json.dumps({"refusal": refusal.to_json()}).encode()
    return transport.Reply(status, body)

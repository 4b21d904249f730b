"""Transfer of configurations between entries."""

import json
import re
from typing import Any

from baobabdoor import base
from baobabdoor import configuration
from baobabdoor.control import _peer_http

CURRENT_PATH = "/peer/v1/configuration"
OBJECT_PATH = "/peer/v1/object"
TIMEOUT_S = 2.0
STEP = "control.configuration"

_DIGEST = re.compile("[0-9a-f]{64}")


class PeerConfigurationClient(configuration.PeerSource):
    """Fetches configurations from other entries by signed requests.

    Args:
        peer_client: Client for signed requests.
    """

    def __init__(self, peer_client: _peer_http.PeerClient):
        self.peer_client = peer_client

    async def fetch_current(
        self, peer_id: str
    ) -> configuration.CurrentRow | base.Refusal:
        """Returns the row of the active configuration of a peer."""
        response = await self.peer_client.post(
            peer_id, CURRENT_PATH, {}, b"{}", TIMEOUT_S
        )
        if isinstance(response, base.Refusal):
            return response
        try:
            return configuration.CurrentRow.from_json(json.loads(response))
        except (TypeError, ValueError) as error:
            return base.Refusal(
                base.Reason.BAD_REQUEST, STEP, peer_id, str(error)[:200]
            )

    async def fetch_object(
        self, peer_id: str, digest: str
    ) -> bytes | base.Refusal:
        """Returns an object that a peer stores, without checking its hash."""
        body = json.dumps({"digest": digest}).encode()
        return await self.peer_client.post(
            peer_id, OBJECT_PATH, {}, body, TIMEOUT_S
        )


class PeerConfigurationEndpoints:
    """Serves the requests of `PeerConfigurationClient`.

    Args:
        store: A `configuration.ConfigurationStore`.
    """

    def __init__(self, store: Any):
        self.store = store

    async def current(
        self, sender: str, incarnation: int, body: bytes
    ) -> bytes | base.Refusal:
        """Returns the row of the active configuration."""
        del incarnation, body
        current = self.store.current_
        if current is None:
            return base.Refusal(base.Reason.NOT_READY, STEP, sender)
        return json.dumps(current.row.to_json()).encode()

    async def cached_object(
        self, sender: str, incarnation: int, body: bytes
    ) -> bytes | base.Refusal:
        """Returns an object of the active configuration."""
        del incarnation
        try:
            digest = str(json.loads(body)["digest"])
        except (KeyError, TypeError, ValueError):
            return base.Refusal(base.Reason.BAD_REQUEST, STEP, sender)
        content = None
        if _DIGEST.fullmatch(digest):
            content = self.store.cached_object(digest)
        if content is None:
            return base.Refusal(base.Reason.NOT_FOUND, STEP, sender, digest)
        return content

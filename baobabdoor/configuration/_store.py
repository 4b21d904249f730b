"""The configuration in force in one process."""

import abc
from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.configuration import _documents
from baobabdoor.configuration import _rows

STEP = "configuration.adopt"


@attrs.frozen
class Configuration:
    """A configuration row with its document.

    Attributes:
        row: Generation, preset and originating change.
        deployment: Settings of the document.
    """

    row: _rows.CurrentRow
    deployment: settings.Deployment

    @property
    def preset(self) -> settings.Preset:
        """The preset in force."""
        return self.deployment.presets[self.row.preset]


class PeerSource(abc.ABC):
    """Fetches configurations from other entries."""

    @abc.abstractmethod
    async def fetch_current(
        self, peer_id: str
    ) -> _rows.CurrentRow | base.Refusal:
        """Returns the row of the configuration in force at a peer."""

    @abc.abstractmethod
    async def fetch_object(
        self, peer_id: str, digest: str
    ) -> bytes | base.Refusal:
        """Returns an object that a peer has cached."""


class ConfigurationStore:
    """Follows the configuration of the platform and peers.

    The generation in force never decreases.


    Args:
        platform: Client of the platform.
        recorder: Timeline of the process.
    """

    def __init__(
        self,
        platform: platform_lib.Platform,
        recorder: timeline.EventRecorder,
    ):
        self.platform = platform
        self.recorder = recorder
        self.peers: PeerSource | None = None
        self.current_: Configuration | None = None
        self.objects_: dict[str, bytes] = {}
        self.subscribers_: list[Callable[[Configuration], None]] = []
        self.has_read_platform_ = False

    @property
    def generation(self) -> int:
        """Generation in force; 0 before the first one."""
        return self.current_.row.generation if self.current_ else 0

    @property
    def deployment(self) -> settings.Deployment | None:
        """Settings in force; None before the first ones."""
        return self.current_.deployment if self.current_ else None

    @property
    def preset_name(self) -> str:
        """Name of the preset in force; empty before the first one."""
        return self.current_.row.preset if self.current_ else ""

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Calls `callback` after every change of the configuration."""
        self.subscribers_.append(callback)

    def ready(self) -> base.Refusal | None:
        """Returns a refusal until a configuration is known."""
        if self.current_ is None:
            return base.Refusal(
                base.Reason.NOT_READY,
                "configuration.ready",
                detail="no configuration from platform or peers yet",
            )
        return None

    def cached_object(self, digest: str) -> bytes | None:
        """Returns an object of the configuration in force; None if unknown."""
        return self.objects_.get(digest)

    async def poll(self) -> base.Refusal | None:
        """Reads the configuration in force from the platform's table."""
        rows = await self.platform.read([_rows.CURRENT_KEY])
        if isinstance(rows, base.Refusal):
            return rows
        self.has_read_platform_ = True
        value = rows[_rows.CURRENT_KEY].value
        if value is None:
            return None
        return await self._adopt(_rows.CurrentRow.from_json(value), "")

    async def observe_generation(
        self, peer_id: str, generation: int
    ) -> base.Refusal | None:
        """Adopts the configuration of a peer with a higher generation.

        The peer is asked before the platform, because it answers within
        milliseconds even if the platform is slow. Hashes verify the content.
        """
        if generation <= self.generation or self.peers is None:
            return None
        row = await self.peers.fetch_current(peer_id)
        if isinstance(row, base.Refusal):
            return row
        return await self._adopt(row, peer_id)

    async def _adopt(
        self, row: _rows.CurrentRow, peer_id: str
    ) -> base.Refusal | None:
        if row.generation <= self.generation:
            return self._refuse_outdated(row, peer_id)
        manifest = await self._fetch_manifest(row, peer_id)
        if isinstance(manifest, base.Refusal):
            return manifest
        objects = await self._fetch_sections(manifest, peer_id)
        if isinstance(objects, base.Refusal):
            return objects
        deployment = _documents.join_sections(manifest, objects)
        if isinstance(deployment, base.Refusal):
            return deployment
        if row.preset not in deployment.presets:
            detail = f"preset {row.preset!r} is not in the document"
            return base.Refusal(base.Reason.BAD_REQUEST, STEP, peer_id, detail)
        # Another adoption may have finished while this one was fetching.
        if row.generation <= self.generation:
            return None
        objects[row.manifest] = manifest.to_bytes()
        self._activate(Configuration(row, deployment), objects, peer_id)
        return None

    def _refuse_outdated(
        self, row: _rows.CurrentRow, peer_id: str
    ) -> base.Refusal | None:
        if row.generation == self.generation:
            return None
        detail = f"generation {row.generation} after {self.generation}"
        self.recorder.record(
            "configuration.outdated", peer_id, row.change_id, detail=detail
        )
        return base.Refusal(
            base.Reason.OUTDATED_GENERATION, STEP, peer_id, detail
        )

    async def _fetch_manifest(
        self, row: _rows.CurrentRow, peer_id: str
    ) -> _documents.Manifest | base.Refusal:
        content = await self._fetch(row.manifest, peer_id)
        if isinstance(content, base.Refusal):
            return content
        return _documents.Manifest.from_bytes(content)

    async def _fetch_sections(
        self, manifest: _documents.Manifest, peer_id: str
    ) -> dict[str, bytes] | base.Refusal:
        objects = {}
        for digest in manifest.sections.values():
            content = await self._fetch(digest, peer_id)
            if isinstance(content, base.Refusal):
                return content
            objects[digest] = content
        return objects

    async def _fetch(self, digest: str, peer_id: str) -> bytes | base.Refusal:
        """Returns an object from the cache, the peer or the platform."""
        cached = self.objects_.get(digest)
        if cached is not None:
            return cached
        if peer_id and self.peers is not None:
            content = await self.peers.fetch_object(peer_id, digest)
            if _has_digest(content, digest):
                return content
        content = await self.platform.get_object(digest)
        if isinstance(content, base.Refusal) or _has_digest(content, digest):
            return content
        detail = f"content does not match its hash {digest}"
        return base.Refusal(base.Reason.FORGED, STEP, "platform", detail)

    def _activate(
        self,
        configuration: Configuration,
        objects: dict[str, bytes],
        peer_id: str,
    ) -> None:
        self.current_ = configuration
        self.objects_ = objects
        row = configuration.row
        self.recorder.record(
            "configuration.in-force",
            peer_id or "platform",
            row.change_id,
            generation=row.generation,
            preset=row.preset,
        )
        for callback in self.subscribers_:
            callback(configuration)


def _has_digest(content: bytes | base.Refusal, digest: str) -> bool:
    return isinstance(content, bytes) and _documents.digest(content) == digest

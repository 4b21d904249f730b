"""Splits a deployment's settings into sections stored by content hash.

Most changes concern a single pool or preset. With one object per section, an
entry fetches only the changed ones: at 4,400 changes a day, fetching the whole
document of 241 pools would exceed the limit of 3 KB/s per daemon.
"""

from collections.abc import Mapping
import hashlib
import json
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import settings

# Parts of the document that are split into one section per key.
SPLIT_PARTS = ("pools", "presets")
FLEET_SECTION = "fleet"


@attrs.frozen
class Manifest:
    """The sections of a document and their content hashes.

    Attributes:
        sections: Hexadecimal SHA-256 by section name.
    """

    sections: dict[str, str]

    def to_bytes(self) -> bytes:
        """Returns the manifest as stored."""
        return _canonical(self.sections)

    @classmethod
    def from_bytes(cls, content: bytes) -> "Manifest":
        """Parses a stored manifest."""
        return cls(json.loads(content))


def digest(content: bytes) -> str:
    """Returns the hexadecimal SHA-256 of the content."""
    return hashlib.sha256(content).hexdigest()


def split_document(
    deployment: settings.Deployment,
) -> tuple[Manifest, dict[str, bytes]]:
    """Splits a deployment's settings into sections.

    Returns:
        The manifest, and the content of each section by its hash.
    """
    document = settings.unstructure(deployment)
    contents: dict[str, bytes] = {}
    for part in SPLIT_PARTS:
        for name, value in document.pop(part).items():
            contents[f"{part}/{name}"] = _canonical(value)
    contents[FLEET_SECTION] = _canonical(document)
    digests = {name: digest(content) for name, content in contents.items()}
    objects = {digests[name]: content for name, content in contents.items()}
    return Manifest(digests), objects


def join_sections(
    manifest: Manifest, objects: Mapping[str, bytes]
) -> settings.Deployment | base.Refusal:
    """Reassembles a document from its sections.

    Args:
        manifest: Manifest of the document.
        objects: Content of each section by its hash.

    Returns:
        The validated settings, or a refusal if they are invalid.
    """
    step = "configuration.join"
    document: dict[str, Any] = {part: {} for part in SPLIT_PARTS}
    try:
        for section, section_digest in manifest.sections.items():
            value = json.loads(objects[section_digest])
            part, _, name = section.partition("/")
            if name:
                document[part][name] = value
            else:
                document.update(value)
        return settings.structure_deployment(document, "stored configuration")
    except KeyError as error:
        detail = f"section {error} is missing"
        return base.Refusal(base.Reason.NOT_FOUND, step, detail=detail)
    except (ValueError, settings.SettingsError) as error:
        return base.Refusal(base.Reason.BAD_REQUEST, step, detail=str(error))


def _canonical(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()

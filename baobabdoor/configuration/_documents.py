"""Splits a deployment's settings into sections stored by content hash.

A change usually touches one pool or preset. With one object a section, an entry
fetches only what changed: at 4,400 changes a day the whole document of 241
pools would cost each daemon more than its 3 KB/s.
"""

from collections.abc import Mapping
import hashlib
import json
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import settings

# These parts of the document get one section for each key.
SPLIT_PARTS = ("pools", "presets")
FLEET_SECTION = "fleet"


@attrs.frozen
class Manifest:
    """Names the sections of a document and their hashes.

    Attributes:
        sections: SHA-256 in hexadecimal by section name.
    """

    sections: dict[str, str]

    def to_bytes(self) -> bytes:
        """Returns the form that is stored."""
        return _canonical(self.sections)

    @classmethod
    def from_bytes(cls, content: bytes) -> "Manifest":
        """Reads the stored form."""
        return cls(json.loads(content))


def digest(content: bytes) -> str:
    """Returns the SHA-256 of content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def split_document(
    deployment: settings.Deployment,
) -> tuple[Manifest, dict[str, bytes]]:
    """Splits a deployment's settings.

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
    """Puts a document together again.

    Args:
        manifest: The manifest.
        objects: Content of each section by its hash.

    Returns:
        The checked settings, or a refusal if they are not valid.
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

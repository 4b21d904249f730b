"""HTTP handlers of the operators' interface to the configuration."""

import re
from typing import Any

from baobabdoor import base
from baobabdoor import operator_api
from baobabdoor import settings
from baobabdoor.configuration import _changes
from baobabdoor.configuration import _committer
from baobabdoor.configuration import _store

CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")
MAX_OPERATOR_LENGTH = 64
HISTORY_LIMIT = 100


class ConfigHandler(operator_api.OperatorHandler):
    """Returns the configuration in force and applies new documents."""

    store: _store.ConfigurationStore
    committer: _committer.ChangeCommitter

    def get(self) -> None:
        """Sends the configuration in force in this entry."""
        current = self.store.current_
        if current is None:
            self.finish({"generation": 0})
            return
        document = settings.unstructure(current.deployment)
        self.finish({**current.row.to_json(), "document": document})

    async def post(self) -> None:
        """Applies a new document."""
        body = self.read_json()
        if body is None:
            return
        try:
            deployment = settings.structure_deployment(
                body.get("document"), body.get("source") or "document"
            )
        except settings.SettingsError as error:
            self.refuse(400, "operator.check", "; ".join(error.describe()))
            return
        await self.submit(body, _changes.ChangeKind.APPLY, deployment)

    async def submit(
        self,
        body: dict[str, Any],
        kind: _changes.ChangeKind,
        deployment: settings.Deployment | None = None,
    ) -> None:
        """Submits a change and sends its result."""
        problem = _check_change(body, kind)
        if problem:
            self.refuse(400, "operator.change", problem)
            return
        change = _changes.Change(
            change_id=body["change_id"],
            operator=body["operator"],
            kind=kind,
            deployment=deployment,
            preset=body.get("preset", ""),
            expected_generation=body.get("expected_generation"),
            repeated=bool(body.get("repeated")),
        )
        # The preset is validated against the newest document that can be read.
        await self.store.poll()
        result = await self.committer.submit(change, self.store.deployment)
        if isinstance(result, _changes.Applied):
            await self.store.poll()
        self.finish(_changes.result_to_json(result))


class PresetHandler(ConfigHandler):
    """Returns the presets and switches between them."""

    def get(self) -> None:
        """Sends the names of all presets and of the one in force."""
        deployment = self.store.deployment
        presets = sorted(deployment.presets) if deployment else []
        self.finish(
            {
                "generation": self.store.generation,
                "in_force": self.store.preset_name,
                "presets": presets,
            }
        )

    async def post(self) -> None:
        """Switches the preset."""
        body = self.read_json()
        if body is not None:
            await self.submit(body, _changes.ChangeKind.SWITCH)


class ChangeHandler(operator_api.OperatorHandler):
    """Returns the result of a change."""

    committer: _committer.ChangeCommitter

    async def get(self, change_id: str) -> None:
        """Sends whether the change was applied; abandons it otherwise."""
        result = await self.committer.resolve(change_id)
        self.finish(_changes.result_to_json(result))


class HistoryHandler(operator_api.OperatorHandler):
    """Returns the latest accepted changes."""

    committer: _committer.ChangeCommitter

    async def get(self) -> None:
        """Sends the latest changes, newest first."""
        rows = await self.committer.history(HISTORY_LIMIT)
        if isinstance(rows, base.Refusal):
            self.send_refusal(503, rows)
            return
        self.finish({"changes": [row.to_json() for row in rows]})


def _check_change(body: dict[str, Any], kind: _changes.ChangeKind) -> str:
    """Returns the problem of a malformed request; empty if it is valid."""
    change_id = body.get("change_id")
    if not isinstance(change_id, str) or not CHANGE_ID_PATTERN.fullmatch(
        change_id
    ):
        return "change_id: 8 to 64 letters, digits and hyphens"
    operator = body.get("operator")
    if not isinstance(operator, str) or not (
        0 < len(operator) <= MAX_OPERATOR_LENGTH
    ):
        return f"operator: a text of 1 to {MAX_OPERATOR_LENGTH} characters"
    generation = body.get("expected_generation")
    if generation is not None and type(generation) is not int:
        return "expected_generation: an integer or nothing"
    is_switch = kind is _changes.ChangeKind.SWITCH
    if is_switch and not isinstance(body.get("preset"), str):
        return "preset: the name of a preset"
    return ""


def make_routes(
    store: _store.ConfigurationStore,
    committer: _committer.ChangeCommitter,
    token: str,
) -> list[tuple]:
    """Returns the tornado routes of the operators' interface."""
    arguments = {"store": store, "committer": committer, "token": token}
    committer_arguments = {"committer": committer, "token": token}
    return [
        (r"/v1/config", ConfigHandler, arguments),
        (r"/v1/config/history", HistoryHandler, committer_arguments),
        (
            r"/v1/config/changes/([A-Za-z0-9-]{8,64})",
            ChangeHandler,
            committer_arguments,
        ),
        (r"/v1/preset", PresetHandler, arguments),
    ]

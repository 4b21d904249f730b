"""Commits configuration changes to the platform's table at most once."""

from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import settings
from baobabdoor.configuration import _changes
from baobabdoor.configuration import _documents
from baobabdoor.configuration import _rows

STEP = "configuration.commit"
# Attempts at a transaction whose answer is lost. Each one sends the identical
# conditional transaction, so it cannot be applied twice.
MAX_ATTEMPTS = 4


@attrs.frozen
class _Plan:
    """A validated change that is ready to commit.

    Attributes:
        row: Row of the new configuration.
        current: Row that it replaces, with its version.
        objects: Objects that must be stored before the commit.
    """

    row: _rows.CurrentRow
    current: platform_lib.Row
    objects: tuple[bytes, ...] = ()


class ChangeCommitter:
    """Commits configuration changes and looks up their results.

    Args:
        platform: Client of the platform.
        wall_ms: Returns the wall-clock time in milliseconds, for the history.
    """

    def __init__(
        self, platform: platform_lib.Platform, wall_ms: Callable[[], int]
    ):
        self.platform = platform
        self.wall_ms = wall_ms

    async def submit(
        self,
        change: _changes.Change,
        deployment: settings.Deployment | None,
    ) -> _changes.ChangeResult:
        """Commits a change unless it was already committed or abandoned.

        Args:
            change: The change.
            deployment: Settings in force; None before the first change.
        """
        earlier = await self._earlier_result(change.change_id)
        if earlier is not None:
            # If the lookup failed, an earlier submission may have been applied.
            return (
                _read_failure_as_unknown(earlier)
                if change.repeated
                else earlier
            )
        current = await self._read(_rows.CURRENT_KEY)
        if isinstance(current, base.Refusal):
            return _changes.NotApplied(current)
        plan = _plan_change(change, deployment, current)
        if isinstance(plan, _changes.NotApplied):
            return plan
        refusal = await self._store_objects(plan)
        if refusal is not None:
            return _changes.NotApplied(refusal)
        return await self._commit(change, plan)

    async def resolve(self, change_id: str) -> _changes.ChangeResult:
        """Determines whether a change was applied.

        A change that was not applied is abandoned first. Otherwise a delayed
        write could still apply it after the answer.
        """
        earlier = await self._earlier_result(change_id)
        if earlier is not None:
            return _read_failure_as_unknown(earlier)
        key = _rows.change_key(change_id)
        result = await self.platform.transact(
            [platform_lib.Condition(key, 0)],
            [platform_lib.Write(key, {"state": _rows.ABANDONED})],
        )
        if isinstance(result, platform_lib.Committed):
            return _abandoned(change_id)
        if isinstance(result, platform_lib.Conflict):
            later = await self._earlier_result(change_id)
            return _read_failure_as_unknown(later or _abandoned(change_id))
        return _changes.OutcomeUnknown(_refusal_of(result))

    async def history(
        self, limit: int
    ) -> list[_rows.HistoryRow] | base.Refusal:
        """Returns the latest accepted changes, newest first."""
        rows = await self.platform.scan("config/history/")
        if isinstance(rows, base.Refusal):
            return rows
        newest = sorted(rows, key=lambda row: row.key, reverse=True)[:limit]
        return [_rows.HistoryRow.from_json(row.value) for row in newest]

    async def _read(self, key: str) -> platform_lib.Row | base.Refusal:
        rows = await self.platform.read([key])
        return rows if isinstance(rows, base.Refusal) else rows[key]

    async def _earlier_result(
        self, change_id: str
    ) -> _changes.ChangeResult | None:
        """Returns the recorded result of a change; None if there is none."""
        key = _rows.change_key(change_id)
        rows = await self.platform.read([key, _rows.CURRENT_KEY])
        if isinstance(rows, base.Refusal):
            return _changes.NotApplied(rows)
        change_row = rows[key]
        if change_row.value is None:
            return None
        if change_row.value["state"] == _rows.ABANDONED:
            return _abandoned(change_id)
        generation = change_row.value["generation"]
        current = _rows.CurrentRow.from_json(rows[_rows.CURRENT_KEY].value)
        if current.generation > generation:
            return _changes.Superseded(generation, current)
        return _changes.Applied(generation)

    async def _store_objects(self, plan: _Plan) -> base.Refusal | None:
        for content in plan.objects:
            result = await self.platform.put_object(content)
            if not isinstance(result, str):
                return _refusal_of(result)
        return None

    async def _commit(
        self, change: _changes.Change, plan: _Plan
    ) -> _changes.ChangeResult:
        conditions = _conditions(change, plan)
        writes = self._writes(change, plan)
        may_have_applied = False
        result = None
        for _ in range(MAX_ATTEMPTS):
            result = await self.platform.transact(conditions, writes)
            if isinstance(result, platform_lib.Committed):
                return _changes.Applied(plan.row.generation)
            if isinstance(result, platform_lib.Conflict):
                return await self._resolve_conflict(change, result)
            may_have_applied = may_have_applied or isinstance(
                result, platform_lib.Unknown
            )
            if not may_have_applied:
                return _changes.NotApplied(_refusal_of(result))
        return _changes.OutcomeUnknown(_refusal_of(result))

    async def _resolve_conflict(
        self, change: _changes.Change, conflict: platform_lib.Conflict
    ) -> _changes.ChangeResult:
        """Distinguishes a concurrent change from an earlier applied attempt."""
        rows = await self.platform.read([_rows.CURRENT_KEY])
        earlier = await self._earlier_result(change.change_id)
        if isinstance(rows, base.Refusal) or _is_read_failure(earlier):
            refusal = rows if isinstance(rows, base.Refusal) else None
            return _changes.OutcomeUnknown(refusal or earlier.refusal)
        if earlier is not None:
            return earlier
        value = rows[_rows.CURRENT_KEY].value or conflict.row.value
        return _conflict_with(_rows.CurrentRow.from_json(value))

    def _writes(
        self, change: _changes.Change, plan: _Plan
    ) -> list[platform_lib.Write]:
        row = plan.row
        history = _rows.HistoryRow(
            row.generation,
            change.change_id,
            change.operator,
            change.kind.value,
            row.preset,
            row.manifest,
            self.wall_ms(),
        )
        change_value = {"state": "applied", "generation": row.generation}
        return [
            platform_lib.Write(_rows.CURRENT_KEY, row.to_json()),
            platform_lib.Write(
                _rows.change_key(change.change_id), change_value
            ),
            platform_lib.Write(
                _rows.history_key(row.generation), history.to_json()
            ),
        ]


def _conditions(
    change: _changes.Change, plan: _Plan
) -> list[platform_lib.Condition]:
    return [
        platform_lib.Condition(_rows.CURRENT_KEY, plan.current.version),
        platform_lib.Condition(_rows.change_key(change.change_id), 0),
    ]


def _plan_change(
    change: _changes.Change,
    deployment: settings.Deployment | None,
    current: platform_lib.Row,
) -> _Plan | _changes.NotApplied:
    old = _rows.CurrentRow.from_json(current.value) if current.value else None
    generation = old.generation if old else 0
    expected = change.expected_generation
    if expected is not None and expected != generation:
        return (
            _conflict_with(old)
            if old
            else _refuse("no configuration is in force")
        )
    if change.kind is _changes.ChangeKind.SWITCH:
        return _plan_switch(change, deployment, current, old)
    return _plan_apply(change, current, old)


def _plan_switch(
    change: _changes.Change,
    deployment: settings.Deployment | None,
    current: platform_lib.Row,
    old: _rows.CurrentRow | None,
) -> _Plan | _changes.NotApplied:
    if old is None or deployment is None:
        return _refuse("no configuration is in force; apply one first")
    if change.preset not in deployment.presets:
        known = ", ".join(sorted(deployment.presets))
        return _refuse(
            f"preset: expected one of {known}, found {change.preset!r}"
        )
    row = _rows.CurrentRow(
        old.generation + 1,
        old.manifest,
        change.preset,
        change.change_id,
        change.operator,
    )
    return _Plan(row, current)


def _plan_apply(
    change: _changes.Change,
    current: platform_lib.Row,
    old: _rows.CurrentRow | None,
) -> _Plan | _changes.NotApplied:
    deployment = change.deployment
    preset = old.preset if old else deployment.initial_preset
    if preset not in deployment.presets:
        return _refuse(
            f"presets: expected the preset in force, {preset!r}, found only"
            f" {', '.join(sorted(deployment.presets))}; switch first"
        )
    manifest, objects = _documents.split_document(deployment)
    content = manifest.to_bytes()
    row = _rows.CurrentRow(
        (old.generation if old else 0) + 1,
        _documents.digest(content),
        preset,
        change.change_id,
        change.operator,
    )
    return _Plan(row, current, (*objects.values(), content))


def _refuse(detail: str) -> _changes.NotApplied:
    refusal = base.Refusal(base.Reason.BAD_REQUEST, STEP, detail=detail)
    return _changes.NotApplied(refusal)


def _conflict_with(winner: _rows.CurrentRow) -> _changes.NotApplied:
    detail = (
        f"change {winner.change_id} of {winner.operator} made generation"
        f" {winner.generation} with preset {winner.preset}"
    )
    refusal = base.Refusal(base.Reason.CONFLICT, STEP, detail=detail)
    return _changes.NotApplied(refusal, winner)


def _abandoned(change_id: str) -> _changes.NotApplied:
    detail = f"change {change_id} was abandoned before it was applied"
    refusal = base.Refusal(base.Reason.CANCELLED, STEP, detail=detail)
    return _changes.NotApplied(refusal)


def _is_read_failure(result: _changes.ChangeResult | None) -> bool:
    """Returns whether a lookup failed rather than found an abandoned change."""
    return (
        isinstance(result, _changes.NotApplied)
        and result.refusal.reason is not base.Reason.CANCELLED
    )


def _read_failure_as_unknown(
    result: _changes.ChangeResult,
) -> _changes.ChangeResult:
    """Converts a failed lookup to an unknown outcome."""
    if _is_read_failure(result):
        return _changes.OutcomeUnknown(result.refusal)
    return result


def _refusal_of(
    result: platform_lib.Unknown | base.Refusal,
) -> base.Refusal:
    if isinstance(result, platform_lib.Unknown):
        return result.refusal
    return result

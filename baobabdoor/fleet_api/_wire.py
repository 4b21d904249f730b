"""JSON form of the calls of the platform's service and of their results.

A call is `POST /v1/<operation>` with its arguments as a JSON object. The answer
is an object with one member: `ok` with the result, or `refusal`, `conflict` or
`already_started`, which all mean that the call had no effect.
"""

import json
from typing import Any

import attrs
from cattrs import errors as cattrs_errors
from cattrs.preconf import json as json_preconf

from baobabdoor import base
from baobabdoor.fleet_api import _types

_CONVERTER = json_preconf.make_converter()


class MalformedMessageError(ValueError):
    """A call or an answer does not have the expected form."""


@attrs.frozen
class Operation:
    """One operation of the platform's service.

    Attributes:
        name: Name of the method of `Platform` and last part of the path.
        arguments: Type of each argument by name.
        result: Type of the result when the operation succeeds.
        changes: Whether it changes anything, so that a lost answer leaves its
            effect unknown. Default: True.
    """

    name: str
    arguments: dict[str, Any]
    result: Any
    changes: bool = True


_VM = {"vm_id": str, "boot_id": str}
_TASK = {"task_id": str}
_ALL = (
    Operation("read", {"keys": list[str]}, dict[str, _types.Row], False),
    Operation("scan", {"prefix": str}, list[_types.Row], False),
    Operation(
        "transact",
        {
            "conditions": list[_types.Condition],
            "writes": list[_types.Write],
        },
        _types.Committed,
    ),
    Operation("put_object", {"content": bytes}, str),
    Operation("get_object", {"digest": str}, bytes, False),
    Operation("list_vms", {"since": str}, _types.VmListChanges, False),
    Operation("drain_vm", _VM, _types.VmRecord),
    Operation("undrain_vm", _VM, _types.VmRecord),
    Operation("reboot_vm", _VM, _types.VmRecord),
    Operation(
        "start_task",
        {"worker_id": str, "task_id": str, "spec": _types.TaskSpec},
        _types.TaskRecord,
    ),
    Operation("task_state", _TASK, _types.TaskRecord, False),
    Operation("forbid_task", _TASK, _types.TaskRecord),
    Operation("renew_tasks", {"task_ids": list[str]}, list[_types.TaskRecord]),
    Operation(
        "throttle_task", {"task_id": str, "share": float}, _types.TaskRecord
    ),
    Operation("checkpoint_task", _TASK, _types.TaskRecord),
    Operation("stop_task", _TASK, _types.TaskRecord),
    Operation("task_usage", {"worker_id": str}, list[_types.TaskUsage], False),
)
OPERATIONS = {operation.name: operation for operation in _ALL}

# Results that mean "no effect", with the member that carries them.
_NEGATIVE = {
    "refusal": base.Refusal,
    "conflict": _types.Conflict,
    "already_started": _types.AlreadyStarted,
}
_NEGATIVE_MEMBERS = {kind: member for member, kind in _NEGATIVE.items()}


def encode_arguments(operation: Operation, arguments: dict[str, Any]) -> bytes:
    """Returns the body of a call."""
    plain = {
        name: _CONVERTER.unstructure(arguments[name], kind)
        for name, kind in operation.arguments.items()
    }
    return _dump(plain)


def decode_arguments(operation: Operation, body: bytes) -> dict[str, Any]:
    """Returns the arguments of a call.

    Raises:
        MalformedMessageError: The body is not a call of this operation.
    """
    plain = _load(body)
    if plain.keys() != operation.arguments.keys():
        raise MalformedMessageError(
            f"{operation.name}: expected the arguments"
            f" {sorted(operation.arguments)}, found {sorted(plain)}"
        )
    return {
        name: _structure(plain[name], kind, name)
        for name, kind in operation.arguments.items()
    }


def encode_result(operation: Operation, result: Any) -> bytes:
    """Returns the body of an answer."""
    member = _NEGATIVE_MEMBERS.get(type(result))
    if member is not None:
        return _dump({member: _CONVERTER.unstructure(result)})
    return _dump({"ok": _CONVERTER.unstructure(result, operation.result)})


def decode_result(operation: Operation, body: bytes) -> Any:
    """Returns the result that an answer carries.

    Raises:
        MalformedMessageError: The body is not an answer to this operation.
    """
    plain = _load(body)
    if len(plain) != 1:
        raise MalformedMessageError("expected an answer with one member")
    member, value = plain.popitem()
    kind = operation.result if member == "ok" else _NEGATIVE.get(member)
    if kind is None:
        raise MalformedMessageError(f"unknown answer {member!r}")
    return _structure(value, kind, member)


def _dump(plain: Any) -> bytes:
    return json.dumps(plain, separators=(",", ":")).encode()


def _load(body: bytes) -> dict[str, Any]:
    try:
        plain = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"expected JSON: {error}") from error
    if not isinstance(plain, dict):
        raise MalformedMessageError("expected a JSON object")
    return plain


def _structure(value: Any, kind: Any, name: str) -> Any:
    try:
        return _CONVERTER.structure(value, kind)
    except (
        cattrs_errors.BaseValidationError,
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
    ) as error:
        raise MalformedMessageError(f"{name}: {error!r}") from error

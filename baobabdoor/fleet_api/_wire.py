"""JSON encoding of the calls of the platform API and of their results.

A call is `POST /v1/<operation>` with its arguments as a JSON object. The
response is an object with one member: `ok` with the result, or `refusal`,
`conflict` or `already_started`, which mean that the call had no effect.
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
    """A request or response body is malformed."""


@attrs.frozen
class Operation:
    """One operation of the platform API.

    Attributes:
        name: Method name in `Platform` and last segment of the URL path.
        arguments: Type of each argument by name.
        result: Type of the result on success.
        changes: Whether the operation has an effect, which is unknown if the
            response is lost. Default: True.
    """

    name: str
    arguments: dict[str, Any]
    result: Any
    changes: bool = True


_VM_ARGUMENTS = {"vm_id": str, "boot_id": str}
_TASK_ARGUMENTS = {"task_id": str}
_ALL_OPERATIONS = (
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
    Operation("drain_vm", _VM_ARGUMENTS, _types.VmRecord),
    Operation("undrain_vm", _VM_ARGUMENTS, _types.VmRecord),
    Operation("reboot_vm", _VM_ARGUMENTS, _types.VmRecord),
    Operation(
        "start_task",
        {"worker_id": str, "task_id": str, "spec": _types.TaskSpec},
        _types.TaskRecord,
    ),
    Operation("task_state", _TASK_ARGUMENTS, _types.TaskRecord, False),
    Operation("forbid_task", _TASK_ARGUMENTS, _types.TaskRecord),
    Operation("renew_tasks", {"task_ids": list[str]}, list[_types.TaskRecord]),
    Operation(
        "throttle_task", {"task_id": str, "share": float}, _types.TaskRecord
    ),
    Operation("checkpoint_task", _TASK_ARGUMENTS, _types.TaskRecord),
    Operation("stop_task", _TASK_ARGUMENTS, _types.TaskRecord),
    Operation("task_usage", {"worker_id": str}, list[_types.TaskUsage], False),
)
OPERATIONS = {operation.name: operation for operation in _ALL_OPERATIONS}

# Result types of calls without effect, by their JSON member.
_NO_EFFECT_TYPES = {
    "refusal": base.Refusal,
    "conflict": _types.Conflict,
    "already_started": _types.AlreadyStarted,
}
_NO_EFFECT_MEMBERS = {
    result_type: member for member, result_type in _NO_EFFECT_TYPES.items()
}


def encode_arguments(operation: Operation, arguments: dict[str, Any]) -> bytes:
    """Returns the request body of a call."""
    message = {
        name: _CONVERTER.unstructure(arguments[name], argument_type)
        for name, argument_type in operation.arguments.items()
    }
    return _dump(message)


def decode_arguments(operation: Operation, body: bytes) -> dict[str, Any]:
    """Returns the arguments in a request body.

    Raises:
        MalformedMessageError: The body is not a call of this operation.
    """
    message = _load(body)
    if message.keys() != operation.arguments.keys():
        raise MalformedMessageError(
            f"{operation.name}: expected the arguments"
            f" {sorted(operation.arguments)}, found {sorted(message)}"
        )
    return {
        name: _structure(message[name], argument_type, name)
        for name, argument_type in operation.arguments.items()
    }


def encode_result(operation: Operation, result: Any) -> bytes:
    """Returns the response body for a result."""
    member = _NO_EFFECT_MEMBERS.get(type(result))
    if member is not None:
        return _dump({member: _CONVERTER.unstructure(result)})
    return _dump({"ok": _CONVERTER.unstructure(result, operation.result)})


def decode_result(operation: Operation, body: bytes) -> Any:
    """Returns the result in a response body.

    Raises:
        MalformedMessageError: The body is not a response of this operation.
    """
    message = _load(body)
    if len(message) != 1:
        raise MalformedMessageError("expected an answer with one member")
    member, value = message.popitem()
    result_type = (
        operation.result if member == "ok" else _NO_EFFECT_TYPES.get(member)
    )
    if result_type is None:
        raise MalformedMessageError(f"unknown answer {member!r}")
    return _structure(value, result_type, member)


def _dump(message: Any) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()


def _load(body: bytes) -> dict[str, Any]:
    try:
        message = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f"expected JSON: {error}") from error
    if not isinstance(message, dict):
        raise MalformedMessageError("expected a JSON object")
    return message


def _structure(value: Any, value_type: Any, name: str) -> Any:
    try:
        return _CONVERTER.structure(value, value_type)
    except (
        cattrs_errors.BaseValidationError,
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
    ) as error:
        raise MalformedMessageError(f"{name}: {error!r}") from error

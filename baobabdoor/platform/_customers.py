"""Wire format of customers and of the API keys of calls.

An error message here names the field and the type of its value, never the
value, because the value may be or contain an API key.
"""

from collections.abc import Mapping

from baobabdoor import customers
from baobabdoor.platform import _values

CUSTOMERS_FIELD = "tenants"
KEY_HEADER = "Authorization"
KEY_SCHEME = "token"
# Header line of an answer that asks for a key.
CHALLENGE_HEADER = "WWW-Authenticate: Token\r\n"
_CUSTOMER_FIELDS = frozenset(
    ("name", "api-keys", "priority", "weight", "maximum")
)
_LIMIT_FIELDS = frozenset(("cpu", "mem-mb", "gpus"))
# Maximum length of an ignored field's name in a log line, in characters.
MAX_NAME_CHARACTERS = 40


def digest_of_caller(headers: Mapping[str, str]) -> str | None:
    """Returns the digest of a caller's key; `None` if no key is readable."""
    scheme, _, key = headers.get(KEY_HEADER, "").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key:
        return None
    try:
        # A header arrives as Latin-1, whatever its encoding is.
        return customers.digest_key(key.encode("latin-1").decode("utf-8"))
    except UnicodeError:
        return None


def decode_customers(content: dict) -> customers.CustomerDirectory | None:
    """Decodes the customers of a configuration.

    Returns:
        The customers; `None` if the configuration has no such field.

    Raises:
        MessageError: If they do not conform to the published format.
    """
    if CUSTOMERS_FIELD not in content:
        return None
    entries = _value(content, CUSTOMERS_FIELD, CUSTOMERS_FIELD, list)
    ignored: list[str] = []
    decoded = [
        _decode_customer(f"{CUSTOMERS_FIELD}.{number}", entry, ignored)
        for number, entry in enumerate(entries)
    ]
    return customers.CustomerDirectory(decoded, ignored)


def decode_public(entry: dict, has_customers: bool) -> bool:
    """Decodes whether the callers of a queue need no key.

    The field has no meaning, so no wrong value, without customers.

    Raises:
        MessageError: If it has the wrong type.
    """
    if not has_customers:
        return False
    return _value(entry, "public", "routes.public", bool, False)


def _decode_customer(
    path: str, entry: object, ignored: list[str]
) -> customers.Customer:
    if not isinstance(entry, dict):
        raise _error(path, "object", entry)
    ignored += _unknown_fields(path, entry, _CUSTOMER_FIELDS)
    name = _value(entry, "name", f"{path}.name", str)
    # A lone surrogate is not printable and has no encoding in a log or a row.
    if not name or not name.isprintable():
        raise _values.MessageError(f"{path}.name: expected a printable name")
    keys = _value(entry, "api-keys", f"{path}.api-keys", list, [])
    for key in keys:
        if not isinstance(key, str):
            raise _error(f"{path}.api-keys", "texts", key)
    limit_path = f"{path}.maximum"
    limit = _value(entry, "maximum", limit_path, dict, {})
    ignored += _unknown_fields(limit_path, limit, _LIMIT_FIELDS)
    return customers.Customer(
        name=name,
        key_digests=frozenset(map(customers.digest_key, keys)),
        priority=_value(entry, "priority", f"{path}.priority", int, 0),
        weight=float(_amount(entry, "weight", path, float)),
        maximum=customers.ResourceLimit(
            cpu_milli=_amount(limit, "cpu", limit_path, int),
            memory_mb=_amount(limit, "mem-mb", limit_path, int),
            gpus=_amount(limit, "gpus", limit_path, int),
        ),
    )


def _unknown_fields(path: str, entry: dict, known: frozenset) -> list[str]:
    return [
        f"{path}.{name!r:.{MAX_NAME_CHARACTERS}}"
        for name in entry
        if name not in known
    ]


def _amount(entry: dict, name: str, path: str, kind: type):
    value = _value(entry, name, f"{path}.{name}", kind, 0)
    if value < 0:
        raise _values.MessageError(f"{path}.{name}: expected 0 or more")
    return value


def _value(
    entry: dict, name: str, path: str, kind: type, default: object = None
):
    value = entry.get(name)
    if value is None:
        value = default
    if not _values.has_type(value, kind):
        raise _error(path, kind.__name__, value)
    return value


def _error(path: str, expected: str, value: object) -> Exception:
    return _values.MessageError(
        f"{path}: expected {expected}, found {type(value).__name__}"
    )

"""Compact JSON encoding of `attrs` classes, for the journal and its snapshots.

Each field has a short JSON key and a validator for its value. Fields with their default value are
omitted. A record with an unknown key was written by a newer version and is rejected, since
applying only the known fields would lose the information in the others.
"""

import json
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any, TypeVar

import attrs

from .exceptions import InvalidMessageError

MAX_NUMBER = 2**62

_T = TypeVar("_T")


def text(key: str, limit: int, default: Any = attrs.NOTHING) -> Any:
    """Return a field for a string.

    :param key: JSON key.
    :param limit: maximum length in characters.
    """

    def is_valid(value: object) -> bool:
        return isinstance(value, str) and len(value) <= limit and is_unicode(value)

    return _field(key, is_valid, default)


def number(key: str, default: Any = attrs.NOTHING) -> Any:
    """Return a field for a non-negative integer of at most `MAX_NUMBER`."""
    return _field(key, is_number, default)


def flag(key: str, default: Any = attrs.NOTHING) -> Any:
    """Return a field for a Boolean."""
    return _field(key, lambda value: type(value) is bool, default)


def choice(key: str, values: tuple[str, ...], default: Any = attrs.NOTHING) -> Any:
    """Return a field for one of several strings."""
    return _field(key, lambda value: isinstance(value, str) and value in values, default)


def texts(key: str, limit: int, default: Any = attrs.NOTHING) -> Any:
    """Return a field for a tuple of strings.

    :param key: JSON key.
    :param limit: maximum length of each string in characters.
    """

    def is_valid(value: object) -> bool:
        return isinstance(value, list | tuple) and all(
            isinstance(item, str) and len(item) <= limit and is_unicode(item) for item in value
        )

    return _field(key, is_valid, default, tuple)


def numbers(key: str, default: Any = attrs.NOTHING) -> Any:
    """Return a field for a tuple of non-negative integers of at most `MAX_NUMBER`."""

    def is_valid(value: object) -> bool:
        return isinstance(value, list | tuple) and all(map(is_number, value))

    return _field(key, is_valid, default, tuple)


def encode(record: Any) -> dict[str, object]:
    """Encode a record as a JSON-serialisable object."""
    encoded = {}
    for field in _record_fields(type(record)).values():
        value = getattr(record, field.name)
        if field.default is attrs.NOTHING or value != field.default:
            encoded[field.metadata["key"]] = list(value) if isinstance(value, tuple) else value
    return encoded


def check(record: Any) -> None:
    """Check that a record can be decoded again.

    :raises InvalidMessageError: when a field is invalid.
    """
    for name, value in invalid_fields(record):
        raise InvalidMessageError(
            f"{type(record).__name__}.{name}: {_abbreviated(value)} is not allowed"
        )


def invalid_fields(record: Any) -> Iterator[tuple[str, object]]:
    """Return the names and values of the fields that `decode` would not accept."""
    for field in _record_fields(type(record)).values():
        value = getattr(record, field.name)
        if not field.metadata["is_valid"](value):
            yield field.name, value


def decode(kind: type[_T], raw: object) -> _T:
    """Decode a record from its JSON form.

    :param kind: class of the record.
    :param raw: parsed JSON.
    :raises InvalidMessageError: when a field is missing, unknown or invalid.
    """
    name = kind.__name__
    if not isinstance(raw, dict):
        raise InvalidMessageError(f"{name}: an object is expected, not {_abbreviated(raw)}")
    fields = _record_fields(kind)
    values = {}
    for key, value in raw.items():
        field = fields.get(key)
        if field is None:
            raise InvalidMessageError(f"{name}: unknown field {_abbreviated(key)}")
        if not field.metadata["is_valid"](value):
            raise InvalidMessageError(f"{name}.{field.name}: {_abbreviated(value)} is not allowed")
        values[field.name] = field.metadata["convert"](value)
    for field in fields.values():
        if field.default is attrs.NOTHING and field.name not in values:
            raise InvalidMessageError(f"{name}.{field.name} is missing")
    return kind(**values)


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object that another process wrote.

    :raises InvalidMessageError: the text is not a JSON object, nests too deeply or has a number
        with too many digits.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise InvalidMessageError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise InvalidMessageError(f"an object is expected, not a {type(raw).__name__}")
    return raw


def is_number(value: object) -> bool:
    """Return whether a value is a non-negative integer of at most `MAX_NUMBER`."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def is_unicode(value: str) -> bool:
    """Return whether a string can be encoded as UTF-8.

    JSON escapes can produce an unpaired surrogate, which cannot be encoded.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


@cache
def _record_fields(kind: type) -> dict[str, attrs.Attribute]:
    return {field.metadata["key"]: field for field in attrs.fields(kind) if "key" in field.metadata}


def _field(
    key: str,
    is_valid: Callable[[object], bool],
    default: Any,
    convert: Callable[[Any], Any] = lambda value: value,
) -> Any:
    metadata = {"key": key, "is_valid": is_valid, "convert": convert}
    return attrs.field(default=default, metadata=metadata)


def _abbreviated(value: object) -> str:
    text_form = repr(value)
    return text_form if len(text_form) <= 60 else text_form[:57] + "..."

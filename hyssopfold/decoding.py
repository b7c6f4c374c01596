"""Decodes JSON and MessagePack that others sent.

Whatever is wrong with the bytes, one type of error is raised: the callers'
handling of it keeps their tasks and connections running.
"""

from collections.abc import Callable
from typing import Any

import msgspec


def from_json(data: Any, kind: Any = Any) -> Any:
    """Return a value from JSON.

    Args:
        data: The encoded value.
        kind: Type of the value.

    Raises:
        msgspec.DecodeError: if the bytes don't encode a value of this type.
    """
    return _decode(msgspec.json.decode, data, kind)


def from_msgpack(data: Any, kind: Any = Any) -> Any:
    """Return a value from MessagePack.

    Args:
        data: The encoded value.
        kind: Type of the value.

    Raises:
        msgspec.DecodeError: if the bytes don't encode a value of this type.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode: Callable[..., Any], data: Any, kind: Any) -> Any:
    try:
        return decode(data, type=kind)
    except RecursionError as exc:
        raise msgspec.DecodeError("the value is nested too deeply") from exc
    except UnicodeDecodeError as exc:
        raise msgspec.DecodeError(f"text is no UTF-8: {exc.reason}") from exc

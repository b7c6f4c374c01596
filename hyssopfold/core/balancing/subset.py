"""Each entry's part of the connections that a server holds."""

from collections.abc import Collection
import hashlib

# Below this an entry could not serve a burst without opening connections.
MIN_CONNECTIONS_PER_ENTRY = 4


def connections_per_entry(connections: int, slots: int, entries: int) -> int:
    """Return how many connections one entry may keep to a server.

    All entries together stay within what the server holds, less one for each
    slot, which a grant may open at any entry.

    Args:
        connections: What the server holds in all.
        slots: Requests that it runs at once.
        entries: Entries that keep connections to it.
    """
    spare_connections = max(0, connections - slots)
    return max(1, spare_connections // max(1, entries))


def keeps_idle_connections(
    entry: str,
    server_id: str,
    entries: Collection[str],
    connections: int,
    slots: int,
) -> bool:
    """Return whether an entry keeps idle connections to a server.

    With few entries all do. With so many that each would have less than
    `MIN_SHARE`, only those do whose hash with the server's name is lowest:
    the same at every entry that knows of the same ones. The others open a
    connection for a request and close it after.
    """
    spare_connections = max(0, connections - slots)
    max_keeping = max(1, spare_connections // MIN_CONNECTIONS_PER_ENTRY)
    if len(entries) <= max_keeping:
        return True
    own_weight = _weight(server_id, entry)
    lower_count = sum(
        1 for name in entries if _weight(server_id, name) < own_weight
    )
    return lower_count < max_keeping


def _weight(server_id: str, entry: str) -> bytes:
    text = f"{server_id} {entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

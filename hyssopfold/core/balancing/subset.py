"""Division of a server's connections among the entries."""

from collections.abc import Collection
import hashlib

# With fewer connections an entry could not serve a burst without opening more.
MIN_CONNECTIONS_PER_ENTRY = 4


def connections_per_entry(
    connections: int, slots: int, entry_count: int
) -> int:
    """Return how many idle connections one entry may keep to a server.

    All entries together stay below the server's connection limit by one
    connection for each slot, because any entry may open a connection for a
    granted slot.

    Args:
        connections: Connection limit of the server.
        slots: Requests that the server runs at once.
        entry_count: Number of entries that keep connections to the server.

    Returns:
        The number of connections, at least 1.
    """
    spare_connections = max(0, connections - slots)
    return max(1, spare_connections // max(1, entry_count))


def keeps_idle_connections(
    entry: str,
    server_id: str,
    entries: Collection[str],
    connections: int,
    slots: int,
) -> bool:
    """Return whether an entry keeps idle connections to a server.

    With few entries all of them do. If there are too many for each to have
    `MIN_CONNECTIONS_PER_ENTRY`, only the entries with the lowest hash of
    server id and entry name do; entries with the same list of entries select
    the same ones. The other entries open a connection for each request and
    close it afterwards.

    Args:
        entry: Name of the entry in question.
        server_id: Id of the server.
        entries: Names of all entries.
        connections: Connection limit of the server.
        slots: Requests that the server runs at once.
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

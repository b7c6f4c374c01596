"""Each entry's part of the connections that a server holds."""

from collections.abc import Collection
import hashlib

# Below this an entry could not serve a burst without opening connections.
MIN_SHARE = 4


def share(connections: int, slots: int, entries: int) -> int:
    """Return how many connections one entry may keep to a server.

    All entries together stay within what the server holds, less one for each
    slot, which a grant may open at any entry.

    Args:
        connections: What the server holds in all.
        slots: Requests that it runs at once.
        entries: Entries that keep connections to it.
    """
    spare = max(0, connections - slots)
    return max(1, spare // max(1, entries))


def keeps(
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
    spare = max(0, connections - slots)
    limit = max(1, spare // MIN_SHARE)
    if len(entries) <= limit:
        return True
    mine = _weight(server_id, entry)
    lower = sum(1 for one in entries if _weight(server_id, one) < mine)
    return lower < limit


def _weight(server_id: str, entry: str) -> bytes:
    text = f"{server_id} {entry}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

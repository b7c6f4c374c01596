"""What the tables ask to be emptied."""

from hyssopfold import tables
from hyssopfold.core.membership import messages


def is_drained(pool: tables.Pool, server: messages.Server) -> bool:
    """Return whether the tables ask for this server to be emptied.

    Drains of regions and failure domains are shifts, see
    `hyssopfold.core.steering`: they reach a request by its `Region`s.
    """
    return server.server_id in pool.drains.servers

"""Which servers the tables drain."""

from hyssopfold import tables
from hyssopfold.core.membership import messages


def is_drained(pool: tables.Pool, server: messages.Server) -> bool:
    """Return whether the tables drain this server.

    Drains of regions and failure domains are shifts of traffic (see
    `hyssopfold.core.steering`): they take effect through the regions of a
    request (`hyssopfold.core.balancing.messages.Region`).
    """
    return server.server_id in pool.drains.servers

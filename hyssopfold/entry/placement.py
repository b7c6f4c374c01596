"""Slots for callers' requests: ask for one, hold it, give it back."""

from hyssopfold import tables
from hyssopfold.core.balancing import chooser
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory

RETRY_AFTER_S = 1.0


class Placement:
    """Grant slots of the servers in the directory.

    Args:
        known: Directory of the servers.
        choose: Choice among them.
    """

    def __init__(
        self, known: directory.Directory, choose: chooser.Chooser
    ) -> None:
        self._directory = known
        self._chooser = choose

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a slot, or why there is none, at once."""
        servers = self._directory.ready_servers(req.pool)
        for region in req.regions:
            near = [
                one
                for one in servers
                if one.region == region.name
                and one.failure_domain not in region.closed_domains
            ]
            choice = self._chooser.choose(pool, near, req.avoid)
            if choice is not None:
                self._chooser.begin(choice.server.server_id)
                reason = "moved" if region.moved else "home"
                return messages.Grant(choice.server, reason)
        return messages.Refused("no-free-slot", RETRY_AFTER_S)

    def release(self, grant: messages.Grant, done: messages.Done) -> None:
        """Give a slot back, with how the attempt ended."""
        self._chooser.end(grant.server.server_id)

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._chooser.in_flight()

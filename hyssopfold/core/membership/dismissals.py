"""Servers that asked to be removed before their record was known here."""

# An announcement may be delivered some seconds late. A server that starts again
# under its id takes longer than this, since it first finishes its requests.
DISMISSAL_S = 10.0


class Dismissals:
    """Dismissals that wait for the record of their server.

    A server that asks to be removed names only its id. An instance that has
    just started can't mark its record, which other instances still have. Used
    by the gossip protocol.
    """

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}

    def add(self, server_id: str, now: float) -> None:
        """Remember a dismissal for `DISMISSAL_S` seconds.

        Args:
            server_id: The server.
            now: Monotonic time in seconds.
        """
        self._expires_at = {
            key: expires_at
            for key, expires_at in self._expires_at.items()
            if expires_at > now
        }
        self._expires_at[server_id] = now + DISMISSAL_S

    def take(self, server_id: str, now: float) -> bool:
        """Return whether a server was dismissed, and forget the dismissal."""
        return self._expires_at.pop(server_id, 0.0) > now

"""The keys of a revision, and the routes that they open."""

from collections.abc import Sequence
import hashlib
import os

from hyssopfold import organisations
from hyssopfold import tables

_DIGEST_BYTES = 16


class Authenticator:
    """The keys of one revision, and the routes as each organisation sees them.

    Keys are looked up by a digest with a secret of this process, so that the
    time of a look-up depends neither on the number of keys nor on how much of
    a wrong key is right.

    Args:
        rows: The table of organisations.

    Attributes:
        is_required: Whether requests need a key, except on public routes.
    """

    def __init__(self, rows: Sequence[organisations.Organisation]) -> None:
        self.is_required = bool(rows)
        self._secret = os.urandom(_DIGEST_BYTES)
        self._by_digest = {
            self._digest(key.encode()): row for row in rows for key in row.keys
        }
        self._routes: dict[tuple[str, str], tables.Route | None] = {}

    def find(self, key: bytes) -> organisations.Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self._by_digest.get(self._digest(key))

    def route_for(
        self, route: tables.Route, organisation: organisations.Organisation
    ) -> tables.Route | None:
        """Return a route with the limits of an organisation applied.

        Returns:
            None if no region is allowed by both.
        """
        key = (route.name, organisation.name)
        if key not in self._routes:
            self._routes[key] = _restricted(route, organisation)
        return self._routes[key]

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=_DIGEST_BYTES, key=self._secret
        ).digest()


def _restricted(
    route: tables.Route, organisation: organisations.Organisation
) -> tables.Route | None:
    allowed = route.allowed_regions or organisation.allowed_regions
    if route.allowed_regions and organisation.allowed_regions:
        allowed = tuple(
            region
            for region in route.allowed_regions
            if region in organisation.allowed_regions
        )
        if not allowed:
            return None
    priority = organisation.priority
    return route._replace(
        allowed_regions=allowed,
        priority=route.priority if priority is None else priority,
    )

"""Which route a request takes."""

from collections import defaultdict

from hyssopfold import tables


class Router:
    """Match requests against the routes of one revision.

    Args:
        routes: The table of routes.
    """

    def __init__(self, routes: tuple[tables.Route, ...]) -> None:
        by_host: dict[str, list[tables.Route]] = defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        for rows in by_host.values():
            rows.sort(key=lambda route: (-len(route.path_prefix), route.name))
        self._by_host = dict(by_host)

    def match(
        self, host: str, path: str, method: str | None
    ) -> tables.Route | None:
        """Return the route with the longest prefix; exact hosts go first.

        Args:
            host: Host of the request, without a port.
            path: Path of the request, without a query.
            method: Method, or None when any will do.
        """
        for key in (host.lower(), "*"):
            for route in self._by_host.get(key, ()):
                if not path.startswith(route.path_prefix):
                    continue
                if method is None or method in route.methods:
                    return route
        return None

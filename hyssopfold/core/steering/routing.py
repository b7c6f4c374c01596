"""Matching of requests against the table of routes."""

from collections import defaultdict

from hyssopfold import tables


class Router:
    """Match requests against the routes of one revision of the tables.

    Args:
        routes: The table of routes.
    """

    def __init__(self, routes: tuple[tables.Route, ...]) -> None:
        by_host: dict[str, list[tables.Route]] = defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        for host_routes in by_host.values():
            host_routes.sort(
                key=lambda route: (-len(route.path_prefix), route.name)
            )
        self._by_host = dict(by_host)

    def match(
        self, host: str, path: str, method: str | None
    ) -> tables.Route | None:
        """Return the route with the longest prefix, or None if none matches.

        Routes of the exact host take precedence over those of any host.

        Args:
            host: Host of the request, without a port.
            path: Path of the request, without a query.
            method: Method, or None to match routes of any method.
        """
        for host_key in (host.lower(), "*"):
            for route in self._by_host.get(host_key, ()):
                if not path.startswith(route.path_prefix):
                    continue
                if method is None or method in route.methods:
                    return route
        return None

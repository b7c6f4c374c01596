"""Matching of requests against the table of routes."""

import bisect
from collections import defaultdict
from collections.abc import Iterable
import operator

from hyssopfold import tables

_NAME = operator.attrgetter("name")
_PREFIX = operator.attrgetter("path_prefix")


class Router:
    """Match requests against the routes of one revision of the tables.

    Args:
        routes: The table of routes.
    """

    def __init__(self, routes: tuple[tables.Route, ...]) -> None:
        by_host: dict[str, list[tables.Route]] = defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        self._by_host = {
            host: _HostRoutes(host_routes)
            for host, host_routes in by_host.items()
        }

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
            host_routes = self._by_host.get(host_key)
            if host_routes is not None:
                route = host_routes.match(path, method)
                if route is not None:
                    return route
        return None


class _HostRoutes:
    """The routes of one host, in two lists for a binary search by prefix.

    A search takes little longer with thousands of routes than with ten, and
    the lists little memory, of which each revision in use has its own.
    """

    def __init__(self, routes: Iterable[tables.Route]) -> None:
        # Two sorts by strings are faster than one by tuples.
        self._routes = sorted(sorted(routes, key=_NAME), key=_PREFIX)
        self._prefixes = [route.path_prefix for route in self._routes]
        self._lengths = sorted(set(map(len, self._prefixes)), reverse=True)

    def match(self, path: str, method: str | None) -> tables.Route | None:
        for length in self._lengths:
            prefix = path[:length]
            index = bisect.bisect_left(self._prefixes, prefix)
            while (
                index < len(self._prefixes) and self._prefixes[index] == prefix
            ):
                route = self._routes[index]
                if method is None or method in route.methods:
                    return route
                index += 1
        return None

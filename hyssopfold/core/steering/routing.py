"""Matching of requests against the table of routes."""

import bisect
from collections import defaultdict
from collections.abc import Iterable
import operator
import urllib.parse

from hyssopfold import tables

_PRINTABLE_ASCII = "".join(map(chr, range(0x21, 0x7F)))
_NAME = operator.attrgetter("name")
_PREFIX = operator.itemgetter(0)


def quote(path: str) -> str:
    """Return a path as it is written in a request line.

    Characters that a request line can't contain, such as spaces and letters
    outside ASCII, are escaped. All others are kept, existing escapes too.
    """
    return urllib.parse.quote(path, safe=_PRINTABLE_ASCII)


def _spellings(prefix: str) -> tuple[str, ...]:
    """Return the forms in which a path may begin with a prefix.

    Callers write the escapes of letters outside ASCII in upper or lower case.
    """
    quoted = quote(prefix)
    if quoted == prefix:
        return (prefix,)
    lowered = [
        char if char in _PRINTABLE_ASCII else quote(char).lower()
        for char in prefix
    ]
    return quoted, "".join(lowered)


class Router:
    """Match requests against the routes of one revision of the tables.

    Prefixes are compared with the path as sent. An escaped slash separates no
    segments, and the server decides what else an escape means, so `/a%2Fb`
    doesn't begin with `/a/`.

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
            path: Path of the request as sent, without a query.
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
        rows = [
            (prefix, route)
            for route in sorted(routes, key=_NAME)
            for prefix in _spellings(route.path_prefix)
        ]
        rows.sort(key=_PREFIX)
        self._prefixes = [prefix for prefix, _ in rows]
        self._routes = [route for _, route in rows]
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

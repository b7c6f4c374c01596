"""Matching of requests against the table of routes."""

from collections import defaultdict
from typing import NamedTuple
import urllib.parse

from hyssopfold import tables

_PRINTABLE_ASCII = "".join(map(chr, range(0x21, 0x7F)))


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


class _Row(NamedTuple):
    """A route, and the forms of its prefix in a request line."""

    prefixes: tuple[str, ...]
    route: tables.Route


class Router:
    """Match requests against the routes of one revision of the tables.

    Prefixes are compared with the path as sent. An escaped slash separates no
    segments, and the server decides what else an escape means, so `/a%2Fb`
    doesn't begin with `/a/`.

    Args:
        routes: The table of routes.
    """

    def __init__(self, routes: tuple[tables.Route, ...]) -> None:
        by_host: dict[str, list[_Row]] = defaultdict(list)
        for route in routes:
            row = _Row(_spellings(route.path_prefix), route)
            by_host[route.host].append(row)
        for rows in by_host.values():
            rows.sort(key=lambda row: (-len(row.prefixes[0]), row.route.name))
        self._by_host = dict(by_host)

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
            for prefixes, route in self._by_host.get(host_key, ()):
                if not path.startswith(prefixes):
                    continue
                if method is None or method in route.methods:
                    return route
        return None

"""Adapters of an entry to another protocol than its own HTTP interface.

A program that embeds the daemon passes adapters to
`application.run_entry`: the headers of the data path, and ASGI applications
that translate requests for the objects in `EntryParts`.
"""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.entry import app
from hyssopfold.entry import dialect
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy


class EntryParts(NamedTuple):
    """The objects of an entry that adapters may call.

    Attributes:
        app: The entry's own ASGI application.
        forward: Data path: serves the requests of callers.
        look_up: Answers look-ups.
    """

    app: app.App
    forward: proxy.Proxy
    look_up: lookups.Lookups


class EntryAdapters(NamedTuple):
    """The headers of the data path, and factories of ASGI applications.

    Attributes:
        headers: Headers of requests and answers.
        callers: Returns the application at `http_address`.
        lookups: Returns the application at `lookup_address`.
        probes: Returns the application at `probe_address`.
    """

    headers: dialect.Dialect = dialect.DEFAULT_DIALECT
    callers: Callable[[EntryParts], http.App] = lambda parts: parts.app
    lookups: Callable[[EntryParts], http.App] = lambda parts: parts.app
    probes: Callable[[EntryParts], http.App] = lambda parts: parts.app


OUR_ADAPTERS = EntryAdapters()

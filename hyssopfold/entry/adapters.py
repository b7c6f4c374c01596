"""Adapters of an entry to another protocol than its own HTTP interface.

A program that embeds the daemon passes adapters to
`application.run_entry`: the headers of the data path, and ASGI applications
that translate requests for the components in `EntryInterfaces`.
"""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.entry import app
from hyssopfold.entry import dialect
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy


class EntryInterfaces(NamedTuple):
    """The components of an entry that an adapter may call.

    Attributes:
        app: The entry's own ASGI application.
        data_path: Serves the requests of callers.
        lookup_service: Answers look-ups.
    """

    app: app.App
    data_path: proxy.Proxy
    lookup_service: lookups.Lookups


class EntryAdapters(NamedTuple):
    """The headers of the data path, and factories of ASGI applications.

    Attributes:
        headers: Headers of requests and answers.
        callers: Returns the application at `http_address`.
        lookups: Returns the application at `lookup_address`.
        probes: Returns the application at `probe_address`.
    """

    headers: dialect.Dialect = dialect.DEFAULT_DIALECT
    callers: Callable[[EntryInterfaces], http.App] = lambda interfaces: (
        interfaces.app
    )
    lookups: Callable[[EntryInterfaces], http.App] = lambda interfaces: (
        interfaces.app
    )
    probes: Callable[[EntryInterfaces], http.App] = lambda interfaces: (
        interfaces.app
    )


OUR_ADAPTERS = EntryAdapters()

"""How an entry is spoken to from outside; by its own interface by default.

Whoever embeds the daemon where another protocol is spoken gives adapters: the
headers of the data path, and applications that translate to those below.
"""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.entry import app
from hyssopfold.entry import dialect
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy


class EntryInterfaces(NamedTuple):
    """The components of an entry that an adapter may call."""

    app: app.App
    data_path: proxy.Proxy
    lookup_service: lookups.Lookups


class EntryAdapters(NamedTuple):
    """Applications on an entry's addresses, and the data path's headers."""

    headers: dialect.Dialect = dialect.OURS
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

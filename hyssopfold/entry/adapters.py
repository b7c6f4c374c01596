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


class EntryParts(NamedTuple):
    """What of an entry can be called from outside."""

    app: app.App
    forward: proxy.Proxy
    look_up: lookups.Lookups


class EntryAdapters(NamedTuple):
    """Applications on an entry's addresses, and the data path's headers."""

    headers: dialect.Dialect = dialect.DEFAULT_DIALECT
    callers: Callable[[EntryParts], http.App] = lambda parts: parts.app
    lookups: Callable[[EntryParts], http.App] = lambda parts: parts.app
    probes: Callable[[EntryParts], http.App] = lambda parts: parts.app


OUR_ADAPTERS = EntryAdapters()

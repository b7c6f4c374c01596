"""How a daemon is spoken to from outside; ours by default.

Whoever embeds the daemons where other words are spoken gives other faces: the
headers of the data path, and applications that translate calls to those below.
"""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.control import api
from hyssopfold.control import hearing
from hyssopfold.control import instance
from hyssopfold.control import orders
from hyssopfold.entry import app
from hyssopfold.entry import dialect
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy
from hyssopfold.transport import gossip


class EntryParts(NamedTuple):
    """What of an entry can be called from outside."""

    app: app.App
    forward: proxy.Proxy
    look_up: lookups.Lookups


class ControlParts(NamedTuple):
    """What of a control instance can be called from outside."""

    api: api.Api
    instance: instance.Instance
    orders: orders.Orders
    hearing: hearing.Hearing
    spread: gossip.Gossip


class EntryFaces(NamedTuple):
    """Applications on an entry's addresses, and the data path's headers."""

    headers: dialect.Dialect = dialect.OURS
    callers: Callable[[EntryParts], http.App] = lambda parts: parts.app
    lookups: Callable[[EntryParts], http.App] = lambda parts: parts.app
    probes: Callable[[EntryParts], http.App] = lambda parts: parts.app


class ControlFaces(NamedTuple):
    """The application on a control instance's address."""

    operators: Callable[[ControlParts], http.App] = lambda parts: parts.api


OUR_ENTRY_FACES = EntryFaces()
OUR_CONTROL_FACES = ControlFaces()

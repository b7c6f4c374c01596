"""How a control instance is spoken to; by its own interface by default."""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.control import api
from hyssopfold.control import hearing
from hyssopfold.control import instance
from hyssopfold.control import orders
from hyssopfold.transport import gossip


class ControlInterfaces(NamedTuple):
    """The components of a control instance that an adapter may call."""

    api: api.Api
    instance: instance.Instance
    orders: orders.Orders
    hearing: hearing.Hearing
    spread: gossip.Gossip


class ControlAdapters(NamedTuple):
    """The application on a control instance's address."""

    operators: Callable[[ControlInterfaces], http.App] = lambda interfaces: (
        interfaces.api
    )


OUR_ADAPTERS = ControlAdapters()

"""How a control instance is spoken to; by its own interface by default."""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.control import announcement_acks
from hyssopfold.control import api
from hyssopfold.control import instance
from hyssopfold.control import orders
from hyssopfold.transport import gossip


class ControlParts(NamedTuple):
    """What of a control instance can be called from outside."""

    api: api.Api
    instance: instance.Instance
    orders: orders.Orders
    announcement_acks: announcement_acks.AnnouncementAcks
    gossip_service: gossip.Gossip


class ControlAdapters(NamedTuple):
    """The application on a control instance's address."""

    operators: Callable[[ControlParts], http.App] = lambda parts: parts.api


OUR_ADAPTERS = ControlAdapters()

"""Adapters for the HTTP interface of a control instance."""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.control import announcement_acks
from hyssopfold.control import api
from hyssopfold.control import instance
from hyssopfold.control import orders
from hyssopfold.transport import gossip


class ControlParts(NamedTuple):
    """Parts of a control instance that an adapter's application may call."""

    api: api.Api
    instance: instance.Instance
    orders: orders.Orders
    announcement_acks: announcement_acks.AnnouncementAcks
    gossip_service: gossip.Gossip


class ControlAdapters(NamedTuple):
    """The applications served by a control instance.

    Attributes:
        operators: Builds the application on the HTTP address; by default the
            operators' API of hyssopfold.
    """

    operators: Callable[[ControlParts], http.App] = lambda parts: parts.api


OUR_ADAPTERS = ControlAdapters()

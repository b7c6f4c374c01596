"""Scenario files: request kinds, rate, callers and duration of a load run."""

import pathlib
from typing import NamedTuple

from hyssopfold import documents
from hyssopfold import tables

OPEN = "open"
CLOSED = "closed"


class RequestKind(NamedTuple):
    """One kind of request of a scenario's mix.

    `{n}` in the path stands for the request's number, `size` is the length of
    the body in bytes, and `key` adds an idempotency key.
    """

    name: str
    method: str
    path: str
    size: int
    weight: float
    key: bool


class Scenario(NamedTuple):
    """A load scenario, reproducible from its seed.

    With arrivals `open`, requests start at `rate` a second, however long the
    answers take. With `closed`, each caller sends its next request when the
    previous one is answered, and `rate` is ignored.
    """

    name: str
    seed: int
    host: str
    entries: tuple[str, ...]
    look_up: bool
    arrivals: str
    rate: float
    callers: int
    seconds: float
    warm_up_s: float
    timeout_s: float
    mix: tuple[RequestKind, ...]


_SECONDS = documents.number(float, 0.0, 86_400)

_KIND = (
    documents.Field("name", documents.string(), "", True, "a name"),
    documents.Field("method", documents.string(choices=tables.METHODS), "GET"),
    documents.Field("path", documents.string(), "", True, "a path"),
    documents.Field("size", documents.number(int, 0, 2**40), 0, unit="bytes"),
    documents.Field("weight", documents.number(float, 0, 1e6), 1.0),
    documents.Field("key", documents.boolean, False),
)

FIELDS = (
    documents.Field("name", documents.string(), "", True, "a name"),
    documents.Field("seed", documents.number(int, 0, 2**63), 1),
    documents.Field("host", documents.string(), "", True, "a host"),
    documents.Field(
        "entries",
        documents.list_of(documents.address),
        (),
        True,
        "addresses of entries, or of a server to load directly",
    ),
    documents.Field(
        "look_up",
        documents.boolean,
        True,
        help="look up the entry at the first address; else use all in turn",
    ),
    documents.Field("arrivals", documents.string(choices=(OPEN, CLOSED)), OPEN),
    documents.Field(
        "rate", documents.number(float, 0.01, 1e6), 100.0, unit="1/s"
    ),
    documents.Field("callers", documents.number(int, 1, 100_000), 64),
    documents.Field("seconds", _SECONDS, 10.0, unit="s"),
    documents.Field("warm_up_s", _SECONDS, 1.0, unit="s", help="not measured"),
    documents.Field("timeout_s", _SECONDS, 30.0, unit="s"),
    documents.Field(
        "mix",
        documents.list_of(
            documents.record(_KIND, lambda values: RequestKind(**values))
        ),
        (),
        True,
        "a list of request kinds",
    ),
)


def load(path: str) -> Scenario:
    """Read and validate a scenario file in YAML.

    Raises:
        InvalidDocumentError: with every fault and its line.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    reader, node = documents.compose(text, path)
    values = reader.mapping(node, FIELDS, "")
    if not values["mix"]:
        reader.add_fault_at(1, "mix", "an empty list", "one kind or more")
    if not values["entries"]:
        reader.add_fault_at(
            1, "entries", "an empty list", "one address or more"
        )
    reader.raise_faults()
    return Scenario(**values)

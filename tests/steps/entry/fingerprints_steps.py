"""Steps of entry/fingerprints.feature."""

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.entry import configuration
from hyssopfold.entry import exchange

_LONG_BODY_BYTES = 1 << 20
_SNAPSHOT = configuration.Snapshot(
    1, state.State(tables.parse("pools: []\nroutes: []"))
)
_HEADERS = {
    b"host": b"shop.example",
    b"cookie": b"session=1",
    b"authorization": b"Bearer a",
    b"hyssop-request-id": b"1",
    b"hyssop-deadline-ms": b"900",
}


def _fingerprint(method="POST", path=b"/x", query=b"", parts=(b"one", b"two"),
                 address="10.0.0.1", is_whole=True, **headers):  # fmt: skip
    changed = {name.replace("_", "-").encode(): value
             for name, value in headers.items()}  # fmt: skip
    length = str(sum(map(len, parts))).encode()
    fields = {**_HEADERS, b"content-length": length, **changed}
    if b"transfer-encoding" in fields:
        del fields[b"content-length"]
    scope = {
        "type": "http",
        "method": method,
        "path": path.decode(),
        "raw_path": path,
        "query_string": query,
        "headers": list(fields.items()),
        "client": (address, 1),
    }
    messages = [
        {"type": "http.request", "body": part, "more_body": True}
        for part in parts
    ]
    messages[-1]["more_body"] = False
    if not is_whole:
        messages.pop()

    async def receive():
        return messages.pop(0)

    new_exchange = exchange.Exchange(scope, receive, None, _SNAPSHOT, 0.0)

    async def read():
        remaining = len(messages)
        async for _ in new_exchange.body():
            remaining -= 1
            if not remaining:
                return

    trio.run(read)
    return new_exchange.fingerprint


_CHANGES = {
    "request id": {"hyssop_request_id": b"2"},
    "deadline": {"hyssop_deadline_ms": b"100"},
    "address": {"address": "10.0.0.2"},
    "chunking": {"parts": (b"onetw", b"o")},
    "method": {"method": "PUT"},
    "host": {"host": b"other.example"},
    "path": {"path": b"/y"},
    "query": {"query": b"page=2"},
    "cookie": {"cookie": b"session=2"},
    "authorization": {"authorization": b"Bearer b"},
    "body": {"parts": (b"one", b"owt")},
    "tail of 1 MB": {"parts": (b"a" * (_LONG_BODY_BYTES - 1), b"b")},
    "framing": {"transfer_encoding": b"chunked"},
    "length of 1 MB": {"parts": (b"a" * _LONG_BODY_BYTES, b"b")},
}


@given("a request of a caller")
def _(context):
    context.first = _fingerprint()


@when("it is sent again with another {part}")
def _(context, part):
    if part.endswith("1 MB"):
        context.first = _fingerprint(
            parts=(b"a" * (_LONG_BODY_BYTES - 1), b"a")
        )
    context.again = _fingerprint(**_CHANGES[part])


@when("a part of its body is missing")
def _(context):
    context.again = _fingerprint(is_whole=False)


@then("its fingerprint is that of {verdict} request")
def _(context, verdict):
    assert context.first
    assert context.again
    assert (context.first == context.again) == (verdict == "the same")


@then("it has no fingerprint")
def _(context):
    assert context.again == b""

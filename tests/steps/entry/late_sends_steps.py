"""Steps of entry/late_sends.feature."""

from behave import then
from behave import when
import trio

from tests.support import running_entries

_BODY = b"one coffee"
_HEAD = (
    b"POST /upload HTTP/1.1\r\nhost: shop.example\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n" % len(_BODY)
)
_CHOICE_TIMEOUT_S = 5.0


@when("a caller sends the head of an upload")
def _(context):
    context.change = None
    context.evacuates = False


@when("the failure domain of the server chosen for it is evacuated")
def _(context):
    context.evacuates = True


@when("the server chosen for it {change}")
def _(context, change):
    context.change = {
        "leaves": {"state": "leaving", "sequence": 2},
        "is gone": {"state": "gone"},
        "starts again as another": {"incarnation": 9, "address": "127.0.0.1:9"},
    }[change]


@when("the caller sends the body {delay_s:g} s later")
def _(context, delay_s):
    trio.run(_upload, context, delay_s)


async def _upload(context, delay_s):
    entries = running_entries.RunningEntries(1, context.server_count)
    async with entries.running():
        entry = entries.entries["entry-0"]
        host, port = entry.cfg.http_address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(_HEAD)
        chosen = await _wait_for_choice(entry)
        if context.change:
            entries.change_server(chosen, context.change)
        if context.evacuates:
            entries.evacuate_domain_of(chosen)
        await trio.sleep(delay_s)
        await stream.send_all(_BODY)
        context.answer = b"".join([part async for part in stream])
        context.requests = {
            f"s{number}-1": len(server.received_at)
            for number, server in entries.servers.items()
        }
    context.chosen = chosen


async def _wait_for_choice(entry):
    with trio.fail_after(_CHOICE_TIMEOUT_S):
        while True:
            for server_id, requests in entry.placement.in_flight().items():
                if requests:
                    return server_id
            await trio.sleep(0.01)


@then("the {which} server answers the upload")
def _(context, which):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    answered = {name for name, count in context.requests.items() if count}
    is_chosen = answered == {context.chosen}
    assert is_chosen == (which == "chosen"), context.requests


@then("the chosen server got no request")
def _(context):
    assert not context.requests[context.chosen], context.requests

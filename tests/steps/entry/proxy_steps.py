"""Steps of entry/proxy.feature."""

import collections

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from tests.support import datapath


@given("the data path over {count:d} stand-ins")
def _(context, count):
    context.count = count
    context.script = []


@given(
    "the data path over {count:d} stand-ins, with bodies of at most {size:d}"
    " bytes"
)
def _(context, count, size):
    context.count = count
    context.max_body = size
    context.script = []


def run_script(context):
    """Run the steps that the scenario has listed, once."""
    if context.script:
        context.path = trio.run(_run_steps, context, context.script)
        context.script = []


async def _run_steps(context, script):
    path = datapath.DataPath(
        context.count, max_body=getattr(context, "max_body", 1 << 40)
    )
    context.answers = []
    async with path.running():
        for step in script:
            answer = await step(path)
            if answer is not None:
                context.answers.append(answer)
    return path


@when('the data path gets {method} with the fault "{fault}"')
def _(context, method, fault):
    body = b"one coffee" if method in ("POST", "PUT") else None

    async def step(path):
        return await path.ask(method, "/x", fault, body)

    context.script.append(step)


@given('the data path\'s only route has the prefix "{prefix}"')
def _(context, prefix):
    async def step(path):
        path.config.set_routes({"only": prefix})

    context.script.append(step)


@when('the data path gets GET of "{target}"')
def _(context, target):
    async def step(path):
        return await path.ask("GET", target)

    context.script.append(step)


@given("the data path's entry {fetching} a newer revision")
def _(context, fetching):
    async def step(path):
        path.config.is_behind = fetching == "is fetching"
        path.config.keep_routes("upload")

    context.script.append(step)


@when("the data path gets GET of a path that no route matches")
def _(context):
    async def step(path):
        return await path.ask("GET", "/added-just-now")

    context.script.append(step)


@when('the data path gets {method} with the fault ""')
def _(context, method):
    context.execute_steps(
        f'When the data path gets {method} with the fault "none@nobody"'
    )


@when("the data path gets raw bytes")
def _(context):
    data = context.text.replace("\n", "\r\n").encode() + b"\r\n"

    async def step(path):
        return await path.exchange(data)

    context.script.append(step)


@when("the server closes its connections without the entry noticing")
def _(context):
    async def step(path):
        # As if the close arrives only after the entry has checked the
        # connection.
        for idle in path.pool._idle.values():
            for conn in idle:
                conn.is_clean = lambda: True
                conn.http._sock.shutdown(2)

    context.script.append(step)


@when("a caller disconnects while its request runs")
def _(context):
    async def step(path):
        stream = await path.connect()
        await stream.send_all(
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n"
            b"standin-fault: silent\r\n\r\n"
        )
        server = path.standins[0]
        while not server.ledger:
            await trio.sleep(0.01)
        await stream.aclose()
        while not server.cancelled:
            await trio.sleep(0.01)
        while path.placement.acquired:
            await trio.sleep(0.01)

    context.script.append(step)


@when("the data path gets {count:d} requests at once")
def _(context, count):
    async def step(path):
        async def send():
            context.answers.append(await path.ask("GET", "/x"))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(send)

    context.script.append(step)


def _pop_fingerprint(path):
    """Return the fingerprint of the only request, and clear the ledgers."""
    (fingerprint,) = path.quarantine.answered_fingerprints
    for standin in path.standins:
        standin.ledger.clear()
    return fingerprint


@when("the data path quarantines a POST of {size:d} bytes, sent {framing}")
def _(context, size, framing):
    context.posted = (size, framing)

    async def step(path):
        await path.ask(
            "POST", "/quarantined", body=_make_body(*context.posted, b"a")
        )
        path.quarantine.quarantined.add(_pop_fingerprint(path))

    context.script.append(step)


def _make_body(size, framing, byte):
    if framing == "with length":
        return byte * size

    async def parts():
        for _ in range(0, size, 1000):
            yield byte * min(1000, size)

    return parts()


@when("that POST is repeated with {size:d} bytes")
def _(context, size):
    async def step(path):
        body = _make_body(size, "in chunks", b"a")
        return await path.ask("POST", "/quarantined", body=body)

    context.script.append(step)


@when("that POST is repeated {how}")
def _(context, how):
    byte = b"b" if how == "with another body" else b"a"
    size, framing = context.posted
    if how == "in another framing":
        framing = "in chunks" if framing == "with length" else "with length"

    async def step(path):
        body = _make_body(size, framing, byte)
        return await path.ask("POST", "/quarantined", body=body)

    context.script.append(step)


@when("a GET is quarantined as it crashes the first of two servers")
def _(context):
    async def step(path):
        await path.ask("GET", "/quarantined")
        fingerprint = _pop_fingerprint(path)

        def quarantine(server):
            if server.ledger:
                path.quarantine.quarantined.add(fingerprint)

        for standin in path.standins:
            standin.ledger = _ObservedLedger(standin, quarantine)
        return await path.ask("GET", "/quarantined", "crash@s1")

    context.script.append(step)


@when("a GET is quarantined as it waits for a slot")
def _(context):
    async def step(path):
        await path.ask("GET", "/quarantined")
        fingerprint = _pop_fingerprint(path)
        path.placement.on_wait = lambda: path.quarantine.quarantined.add(
            fingerprint
        )
        return await path.ask("GET", "/quarantined")

    context.script.append(step)


class _ObservedLedger(collections.Counter):
    """A ledger that calls `on_run` with its server on each run."""

    def __init__(self, server, on_run):
        super().__init__()
        self._observer = (server, on_run)

    def __setitem__(self, key, value):
        super().__setitem__(key, value)
        server, on_run = self._observer
        on_run(server)


@when("the data path's checks are done")
def _(context):
    async def step(path):
        await trio.testing.wait_all_tasks_blocked(0.05)

    context.script.append(step)


@then("the data path counts {count:d} crashed requests")
def _(context, count):
    run_script(context)
    text = context.path.meter.render().body.decode()
    crash_counts = [
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith("hyssop_crashed_requests_total")
    ]
    assert sum(crash_counts) == count, text


@then('the data path answers {status:d} with outcome "{outcome}"')
def _(context, status, outcome):
    run_script(context)
    answer = context.answers[-1]
    assert not answer.cut, answer
    assert answer.status == status, answer
    assert answer.headers.get("hyssop-outcome", "") == outcome, answer
    assert b"another" not in answer.body, answer
    if outcome:
        assert int(answer.headers["retry-after"]) >= 1, answer


@then('the data path answers {status:d} with outcome ""')
def _(context, status):
    run_script(context)
    answer = context.answers[-1]
    assert answer.status == status, answer
    assert "hyssop-outcome" not in answer.headers, answer


@then("the data path ran it {runs:d} times")
def _(context, runs):
    assert context.path.runs == runs, context.path.runs


@then("no slot of the data path is in use")
def _(context):
    run_script(context)
    assert not context.path.placement.acquired, context.path.placement.acquired


@then("the answer of the data path is cut")
def _(context):
    run_script(context)
    assert context.answers[-1].cut, context.answers[-1]


@then("the connection of the caller is reset")
def _(context):
    run_script(context)
    data, end = context.answers[-1]
    assert end == "reset", (data, end)


@then("the answer is not that of another request")
def _(context):
    assert b"another" not in context.answers[-1].body, context.answers


@then("the request is cancelled at the server")
def _(context):
    run_script(context)
    assert sum(context.path.standins[0].cancelled.values()) == 1


@then("their retry-after times differ")
def _(context):
    run_script(context)
    waits = {answer.headers["retry-after"] for answer in context.answers}
    assert len(waits) > 1, waits


@then(
    'the data path counts {count:d} request as "{outcome}" and none as "{other}"'
)
def _(context, count, outcome, other):
    run_script(context)
    text = context.path.meter.render().body.decode()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith("hyssop_request_seconds_count")
    ]
    counted = [line for line in lines if f'outcome="{outcome}"' in line]
    assert [float(line.split()[-1]) for line in counted] == [count], lines
    assert not [line for line in lines if f'outcome="{other}"' in line], lines

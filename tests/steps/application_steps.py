"""Steps of application.feature."""

import pathlib
import shutil
import tempfile

from behave import given
from behave import then
from behave import when
import httpcore
import msgspec
import trio

from hyssopfold import errors
from hyssopfold.standin import caller as standin_caller
from tests.support import loopback

UPLOAD_BYTES = 3_000_000
_REQUESTS = (
    ("GET", "/catalogue/books", 0),
    ("POST", "/payments/1", 100),
    ("PUT", "/books/1", UPLOAD_BYTES),
)


@given('a system with a server for each of "{one}" and "{two}"')
def _(context, one, two):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.system = loopback.System(folder)
    context.pools = (one, two)


async def _apply(system, path):
    body = {
        "expect": 0,
        "change_id": "test-1",
        "tables": pathlib.Path(path).read_text(encoding="utf-8"),
    }
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                answer = await pool.request(
                    "PUT",
                    f"http://{system.control}/hyssop/v1/tables",
                    content=msgspec.json.encode(body),
                )
            except httpcore.ConnectError:
                await trio.sleep(0.05)
                continue
            assert answer.status == 200, answer.content
            return


async def _until_served(person, system, path):
    while True:
        try:
            found = await person.look_up(system.entry, path)
            outcome = await person.send(found.address, "GET", path)
        except errors.HyssopError:
            await trio.sleep(0.05)
            continue
        if outcome.status == 200:
            return
        await trio.sleep(0.05)


async def _drive(context, path):
    system = context.system
    async with system.running(context.pools):
        await _apply(system, path)
        person = standin_caller.Caller("mrema.example")
        for ready in ("/catalogue/", "/payments/0"):
            await _until_served(person, system, ready)
        for standin in system.standins:
            standin.ledger.clear()
        context.outcomes = [
            await person.send(system.entry, *req) for req in _REQUESTS
        ]
        await person.aclose()


@when('the tables of "{path}" are applied and requests sent')
def _(context, path):
    trio.run(_drive, context, path)


@then("every request was served with its own whole answer")
def _(context):
    for (method, path, size), outcome in zip(
        _REQUESTS, context.outcomes, strict=True
    ):
        assert outcome.status == 200, outcome
        body = msgspec.json.decode(outcome.body)
        assert body["method"] == method, body
        assert body["path"] == path, body
        assert body["received_bytes"] == size, body
        assert outcome.headers["hyssop-revision"] == "1", outcome


@then("each request ran once")
def _(context):
    ran = [
        count
        for standin in context.system.standins
        for count in standin.ledger.values()
    ]
    assert ran == [1] * len(_REQUESTS), ran

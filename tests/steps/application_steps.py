"""Steps of application.feature."""

import os
import pathlib
import shutil
import signal
import tempfile
from typing import NamedTuple

from behave import given
from behave import then
from behave import when
import httpcore
import msgspec
import trio
import trio.testing

from hyssopfold import application
from hyssopfold import errors
from hyssopfold import reloading
from hyssopfold import serving
from hyssopfold.standin import caller as standin_caller
from tests.support import loopback

UPLOAD_BYTES = 3_000_000
_REQUESTS = (
    ("GET", "/catalogue/books", 0),
    ("POST", "/payments/1", 100),
    ("PUT", "/books/1", UPLOAD_BYTES),
)


@given('a system with a server for each of "{first}" and "{second}"')
def _(context, first, second):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.system = loopback.System(folder)
    context.pools = (first, second)


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


async def _until_served(caller, system, path):
    while True:
        try:
            lookup = await caller.look_up(system.entry, path)
            answer = await caller.send(lookup.address, "GET", path)
        except errors.HyssopError:
            await trio.sleep(0.05)
            continue
        if answer.status == 200:
            return
        await trio.sleep(0.05)


async def _run_requests(context, path):
    system = context.system
    async with system.running(context.pools):
        await _apply(system, path)
        caller = standin_caller.Caller("mrema.example")
        for path_to_try in ("/catalogue/", "/payments/0"):
            await _until_served(caller, system, path_to_try)
        for standin in system.standins:
            standin.ledger.clear()
        context.answers = [
            await caller.send(system.entry, *req) for req in _REQUESTS
        ]
        await caller.aclose()


@when('the tables of "{path}" are applied and requests sent')
def _(context, path):
    trio.run(_run_requests, context, path)


@then("every request was served with its own whole answer")
def _(context):
    for (method, path, size), answer in zip(
        _REQUESTS, context.answers, strict=True
    ):
        assert answer.status == 200, answer
        body = msgspec.json.decode(answer.body)
        assert body["method"] == method, body
        assert body["path"] == path, body
        assert body["received_bytes"] == size, body
        assert answer.headers["hyssop-revision"] == "1", answer


@then("each request ran once")
def _(context):
    run_counts = [
        count
        for standin in context.system.standins
        for count in standin.ledger.values()
    ]
    assert run_counts == [1] * len(_REQUESTS), run_counts


class _StopSettings(NamedTuple):
    stop_second_signal: str = "wait"


async def _send_signal(signum, leave, reload):
    """Send a signal to a daemon; return whether it stops accepting."""
    stop = application._StopTimer(5.0)
    listener = serving.Listener(None, serving.Limits())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            application._wait_for_stop,
            _StopSettings(),
            leave,
            listener,
            stop,
            reload,
        )
        await trio.testing.wait_all_tasks_blocked()
        os.kill(os.getpid(), signum)
        with trio.move_on_after(0.5):
            await stop.event.wait()
        nursery.cancel_scope.cancel()
    return stop.event.is_set()


@when("leaving fails after SIGTERM")
def _(context):
    async def leave(stop_accepting):
        raise OSError("no buffer space available")

    context.is_stopping = trio.run(
        _send_signal, signal.SIGTERM, leave, lambda: None
    )


@then("the daemon stops accepting and finishes its requests")
def _(context):
    assert context.is_stopping


@when("reading the settings again fails after SIGHUP")
def _(context):
    path = pathlib.Path(tempfile.mkdtemp()) / "settings"
    context.add_cleanup(shutil.rmtree, path.parent)
    path.write_text("a")

    def read():
        raise ValueError("could not convert string to float: 'x'")

    async def leave(stop_accepting):
        stop_accepting()

    reloader = reloading.Reloader()
    reloader.watch((str(path),), read)
    path.write_text("longer")
    context.is_stopping = trio.run(
        _send_signal, signal.SIGHUP, leave, reloader.check
    )


@then("the daemon goes on")
def _(context):
    assert not context.is_stopping

"""Steps of entry/endless_answers.feature."""

import resource
import time

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.entry import connections
from hyssopfold.entry import dialect
from tests.support import datapath
from tests.support import endless_servers

# The time limit of the request, and what its answer may take beyond it.
_LIMIT_S = 1.0
_SLACK_S = 0.5
# The longest time for which the entry may work on while others wait.
_MAX_DELAY_S = 0.25
# The time in which an unused connection is found to be unusable.
_MAX_CLOSE_S = connections.MAX_IDLE_S / 4 + _SLACK_S
_MAX_GROWTH_BYTES = 32 << 20
_PERIOD_S = 0.02
# Answers may have no length, and the limit counts from the request's head.
_DIALECT = dialect.DEFAULT_DIALECT._replace(
    status_503_means_not_run=True, accepts_unframed_answers=True
)
_REQUEST_WITHOUT_LIMIT = b"GET /endless/x HTTP/1.1\r\nhost: a\r\n\r\n"
_REQUESTS = {
    "GET": b"GET /endless/x HTTP/1.1\r\nhost: a\r\n"
    b"hyssop-deadline-ms: %d\r\n\r\n",
    "POST": b"POST /endless/x HTTP/1.1\r\nhost: a\r\n"
    b"hyssop-deadline-ms: %d\r\ncontent-length: 200000\r\n\r\n"
    + b"b"
    * 200_000,
}


@given("an entry with a server that sends {what} without end")
def _(context, what):
    context.endless = endless_servers.EndlessServer(what)
    context.add_cleanup(context.endless.close)


@when("a caller sends {method} to it and others to a sound server")
def _(context, method):
    head = _REQUESTS[method] % (_LIMIT_S * 1000)
    trio.run(_play, context, head, endless_servers.GIVE_UP_S)


@when(
    "a caller without a time limit reads for {patience_s:g} s and others ask a"
    " sound server"
)
def _(context, patience_s):
    trio.run(_play, context, _REQUEST_WITHOUT_LIMIT, patience_s)


async def _play(context, head, patience_s):
    (sound, record), (_, other) = datapath.make_standins(2)
    endless = other._replace(address=context.endless.address)
    path = datapath.DataPath(
        standins=[(sound, record), (None, endless)],
        dialect=_DIALECT,
    )
    path.config.set_routes({"endless": "/endless/", "all": "/"})
    path.placement.by_route = {"endless": "s2", "all": "s1"}
    async with path.running(), trio.open_nursery() as nursery:
        nursery.start_soon(sound.serve, trio.Event())
        nursery.start_soon(path.pool.sweep)
        context.delays_s = []
        nursery.start_soon(_ask_often, path, context.delays_s)
        await trio.sleep(0.2)
        context.delays_s.clear()
        before_bytes = _peak_bytes()
        caller = endless_servers.BlockingCaller(path.address, head, patience_s)
        context.answer = await trio.to_thread.run_sync(caller.run)
        # The others' requests that began meanwhile end.
        await trio.sleep(_SLACK_S)
        with trio.move_on_after(_MAX_CLOSE_S):
            while context.endless.open_connections:
                await trio.sleep(_PERIOD_S)
        context.grown_bytes = _peak_bytes() - before_bytes
        context.left_open = context.endless.open_connections
        nursery.cancel_scope.cancel()
    began_s = time.process_time()
    time.sleep(_SLACK_S)
    context.busy_s = time.process_time() - began_s


async def _ask_often(path, delays_s):
    while True:
        # Counted from when it is due: a busy event loop delays this task too.
        # It is the processor time of this thread, so that other processes on
        # the machine don't count.
        began_s = time.thread_time()
        await trio.sleep(_PERIOD_S)
        answer = await path.ask("GET", "/x")
        delays_s.append(time.thread_time() - began_s)
        assert answer.status == 200, answer


def _peak_bytes():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


@then("the caller's answer is {answers} within its time limit")
def _(context, answers):
    status, end, _ = context.answer
    assert f"{status} {end}" in answers.split(" or "), context.answer
    assert context.answer[2] < _LIMIT_S + _SLACK_S, context.answer


@then("the caller has left with a part of an answer {status:d}")
def _(context, status):
    assert context.answer[:2] == (status, "left"), context.answer


@then("the other callers were served without delay")
def _(context):
    assert context.delays_s
    assert max(context.delays_s) < _MAX_DELAY_S, max(context.delays_s)


@then("the entry used little memory")
def _(context):
    assert context.grown_bytes < _MAX_GROWTH_BYTES, context.grown_bytes


@then("the connection is closed and the processor is free")
def _(context):
    assert context.left_open == 0, context.left_open
    assert context.busy_s < _SLACK_S / 2, context.busy_s


@when(
    "a caller with a limit of {limit:g} s takes {pause:g} s to read an answer"
    " of {size:d} MB"
)
def _(context, limit, pause, size):
    head = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
    head += b"hyssop-deadline-ms: %d\r\n\r\n" % (limit * 1000)
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (size << 20)

    async def serve(stream):
        await stream.receive_some(65_536)
        await stream.send_all(answer + bytes(size << 20))

    async def main():
        ((_, server),) = datapath.make_standins(1)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        server = server._replace(address=f"127.0.0.1:{port}")
        path = datapath.DataPath(standins=[(None, server)], dialect=_DIALECT)
        async with path.running(), trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            stream = await path.connect()
            datapath.shrink_buffers(stream)
            await stream.send_all(head)
            await trio.sleep(pause)
            result = await datapath.read_all(stream)
            nursery.cancel_scope.cancel()
            return result

    context.answer_bytes = size << 20
    context.answer = trio.run(main)


@then("the caller has the whole answer")
def _(context):
    data, end = context.answer
    assert end == "end", end
    body = data.partition(b"\r\n\r\n")[2]
    assert len(body) == context.answer_bytes, (len(body), data[:100])

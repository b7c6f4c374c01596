"""Steps of entry/connections.feature."""

import contextlib
import socket
import time

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.core.membership import messages
from hyssopfold.entry import connections


class _Steady(trio.abc.Clock):
    """The machine's clock, the same in each run of trio."""

    def start_clock(self):
        """Do nothing: it runs already."""

    def current_time(self):
        """Return the seconds."""
        return time.monotonic()

    def deadline_to_sleep_time(self, deadline):
        """Return the seconds until then."""
        return deadline - time.monotonic()


def _run(act):
    return trio.run(act, clock=_Steady())


def _server(port):
    return messages.Server(
        "s1", "ledger", f"127.0.0.1:{port}", "dar", "dar-1", 3, 30, "ready",
        1, 1, 0.0,
    )  # fmt: skip


def _listen(context, backlog):
    listener = socket.socket()
    context.add_cleanup(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.listen(backlog)
    return listener.getsockname()[1]


@given("a server that takes no more connections")
def _(context):
    port = _listen(context, 0)
    # The queue of connections that nobody accepts is filled.
    for _ in range(4):
        sock = socket.socket()
        context.add_cleanup(sock.close)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(("127.0.0.1", port))
    context.conn_server = _server(port)


@when("a connection to it is asked for with a limit of {limit:g} s")
def _(context, limit):
    pool = connections.Pool(lambda _: 10, connect_s=limit)

    async def take():
        try:
            await pool.take(context.conn_server, fresh=True)
        except connections.NotOpenedError as exc:
            return exc
        return None

    began = time.monotonic()
    context.conn_error = trio.run(take)
    context.conn_took_s = time.monotonic() - began


@then("it is given up within {most:g} s and nothing was sent")
def _(context, most):
    assert context.conn_error is not None
    assert context.conn_took_s < most, context.conn_took_s


@given("a server and a pool that trusts a connection for {trust:g} s")
def _(context, trust):
    context.conn_server = _server(_listen(context, 8))
    context.conn_pool = connections.Pool(lambda _: 10, trust)


@when(
    "a connection brings an answer and a fresh one is asked for {later:g} s later"
)
def _(context, later):
    pool = context.conn_pool

    async def take_twice():
        first = await _used(pool, context.conn_server)
        await trio.sleep(later)
        second = await pool.take(context.conn_server, fresh=True)
        await pool.drop(second)
        return first is second

    context.conn_same = _run(take_twice)


async def _used(pool, server):
    """Return a connection that has just brought a whole answer."""
    conn = await pool.take(server, fresh=True)
    # Idle, with nothing left on it.
    conn.is_clean = lambda: True
    await pool.give_back(conn)
    return conn


@when("a connection breaks at once after it rested for {rest:g} s")
def _(context, rest):
    _break(context, 0.0, rest)


@when("a connection breaks {after:g} s after it rested for {rest:g} s")
def _(context, after, rest):
    _break(context, after, rest)


def _break(context, after, rest):
    pool = context.conn_pool

    async def take_and_lose():
        first = await _used(pool, context.conn_server)
        await trio.sleep(rest)
        second = await pool.take(context.conn_server, fresh=True)
        assert first is second
        await trio.sleep(after)
        pool.note_broken(second)
        await pool.drop(second)

    _run(take_and_lose)


@then("it is the same connection")
def _(context):
    assert context.conn_same


@then("it is another connection")
def _(context):
    assert not context.conn_same

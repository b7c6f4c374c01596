"""Steps of control/large_states.feature."""

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.control import orders as control_orders
from hyssopfold.control import state_limits
from hyssopfold.core import compression
from hyssopfold.core.consensus import messages
from hyssopfold.core.orders import orders
from hyssopfold.transport import consensus_wire
from tests.support import local_members

_POOL = tables.DEFAULT_POOL._replace(name="ledger", slots=3)
# Bytes of a route's row in a document of the size that operators send.
_ROW_PADDING = "x" * 260
_START_S = 10
_CATCH_UP_S = 60


def _route(number):
    return tables.Route(
        name=f"r-{number:07x}",
        host="shop.example",
        path_prefix=f"/{number:06x}/",
        methods=tables.METHODS,
        pool="ledger",
        repeatable=True,
        deadline_ms=2000,
        priority=2,
        weights={},
        split={"ledger": 90.0, "catalogue": 10.0},
        attempts=2,
        latency_goal_ms=500,
        sticky=True,
    )


def _document(count):
    rows = tuple(
        state.Row("routes", f"r-{number:07x}", f"{number} {_ROW_PADDING}")
        for number in range(count)
    )
    routes = [_route(number) for number in range(count)]
    return orders.Document(rows, tables.ordered(routes, [_POOL]))


def _state(count):
    document = _document(count)
    return state.State(document.tables, (), count, document.rows)


def _run(context, main):
    """Run `main` in virtual time beside the instances."""

    async def run():
        async with context.large.running():
            await main()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


async def _read_counts(context):
    """Return the number of routes that each instance reads."""
    counts = []
    for instance in context.large.instances.values():
        result = await instance.read()
        assert isinstance(result, messages.ReadDone), result
        read = state.decode(result.register.value)
        counts.append(len(read.tables.routes))
    return counts


@given("{count:d} connected control instances")
def _(context, count):
    context.large = local_members.LocalMembers(count)


@given("{count:d} connected control instances, one with an older program")
def _(context, count):
    context.large = local_members.LocalMembers(count)
    context.large.older.add(context.large.addresses[2])


async def _grow(context, step, total):
    instances = list(context.large.instances.values())
    base = 0
    for turn, count in enumerate(range(step, total + 1, step)):
        executor = control_orders.Orders(instances[turn % len(instances)])
        document = _document(count)
        edit = orders.Edit(base, count, lambda _, made=document: made)
        result = await executor.execute(f"change-{count}", edit)
        context.large_results.append(result)
        if isinstance(result, control_orders.Accepted):
            base = count
            context.large_accepted = count


@when("the state grows by orders of {step:d} routes each to {total:d} routes")
def _(context, step, total):
    context.large_results = []
    context.large_accepted = 0
    context.large_restarts = False
    context.large_plan = (step, total)


@when("one of the instances starts again with an empty disk")
def _(context):
    context.large_restarts = True


def _execute(context):
    """Execute the plan once and read at each instance."""
    if context.large_results:
        return

    async def main():
        members = context.large
        assert await members.wait_until(members.all_vote, _START_S)
        await _grow(context, *context.large_plan)
        if context.large_restarts:
            members.stop(members.addresses[0])
            members.start(members.addresses[0])
            context.large_all_vote = await members.wait_until(
                members.all_vote, _CATCH_UP_S
            )
        context.large_counts = await _read_counts(context)
        executor = control_orders.Orders(members.instances["127.0.0.1:2"])
        context.large_evacuation = await executor.execute(
            "evacuation", orders.Evacuate("dar-1")
        )

    _run(context, main)


@then("each order is accepted")
def _(context):
    _execute(context)
    kinds = {type(result) for result in context.large_results}
    assert kinds == {control_orders.Accepted}, context.large_results


@then("each instance reads {count:d} routes")
def _(context, count):
    _execute(context)
    assert context.large_counts == [count] * 5, context.large_counts


@then("all instances vote")
def _(context):
    _execute(context)
    assert context.large_all_vote


@then("the last orders are refused with the size and the limit")
def _(context):
    _execute(context)
    last = context.large_results[-1]
    assert isinstance(last, control_orders.Rejected), last
    assert isinstance(last.error, errors.StateTooLargeError), last
    assert last.error.size > last.error.limit, last
    assert str(last.error.size) in last.error.summary, last
    assert str(last.error.limit) in last.error.summary, last


@then("each instance reads the routes of the accepted orders")
def _(context):
    assert context.large_accepted > 0
    expected = [context.large_accepted] * 5
    assert context.large_counts == expected, context.large_counts


@then("an evacuation is accepted")
def _(context):
    evacuation = context.large_evacuation
    assert isinstance(evacuation, control_orders.Accepted), evacuation


@given("{count:d} control instances that hold votes for different large states")
def _(context, count):
    context.large = local_members.LocalMembers(count)


@when("the instances have run for {seconds:d} s")
def _(context, seconds):
    context.large_values = []

    async def main():
        members = context.large
        assert await members.wait_until(members.all_vote, _START_S)
        value = state.encode(_state(20_000))
        votes = []
        for number, address in enumerate(members.addresses[:3]):
            node = members.instances[address].node
            ballot = messages.Ballot(100 + number, node.replica.id)
            register = node.learned._replace(
                revision=node.learned.revision + 1, value=value + b" " * number
            )
            votes.append((node, ballot, register))
        for node, ballot, register in votes:
            node.replica.vote(messages.Accept(ballot, register), [])
        await trio.sleep(seconds)
        for instance in members.instances.values():
            result = await instance.read()
            assert isinstance(result, messages.ReadDone), result
            context.large_values.append(result.register.value)

    _run(context, main)


@then("all instances read the same state")
def _(context):
    assert len(context.large_values) == 5
    assert len(set(context.large_values)) == 1


@given("a state of {count:d} routes in force")
def _(context, count):
    context.large_state = _state(count)
    context.large_value = state.encode(context.large_state)


def _is_allowed(context, count):
    try:
        state_limits.check(
            state.encode(_state(count)),
            context.large_value,
            consensus_wire.MAX_MESSAGE_BYTES,
        )
    except errors.StateTooLargeError:
        return False
    return True


@then("a state of {count:d} routes is allowed after it")
def _(context, count):
    assert _is_allowed(context, count)


@then("a state of {count:d} routes is not")
def _(context, count):
    assert not _is_allowed(context, count)


@when("its rows are removed for entries")
def _(context):
    context.large_result = state.without_rows(context.large_value)


@then("the result is the canonical encoding of the state without rows")
def _(context):
    expected = state.encode(context.large_state._replace(rows=()))
    assert context.large_result == expected
    assert state.without_rows(b"") == b""


@when("{count:d} of them hold {routes:d} routes under another ballot")
def _(context, count, routes):
    context.large_votes = (count, routes)
    context.large_link_s = 0.0


@when("each of them holds {routes:d} routes under another ballot")
def _(context, routes):
    context.large_votes = (len(context.large.addresses), routes)
    context.large_link_s = 0.0


@when("each link needs {seconds:g} s for that state")
def _(context, seconds):
    context.large_link_s = seconds


async def _read_within(instance, seconds):
    """Return what an instance reads within a time, or None."""
    with trio.move_on_after(seconds):
        while True:
            result = await instance.read()
            if isinstance(result, messages.ReadDone):
                return result.register.value
    return None


@then("each instance reads {routes:d} routes within {seconds:d} s")
def _(context, routes, seconds):
    read = []

    async def main():
        members = context.large
        assert await members.wait_until(members.all_vote, _START_S)
        value = state.encode(_state(context.large_votes[1]))
        if context.large_link_s:
            size = len(compression.compress(value))
            members.bytes_per_s = size / context.large_link_s
        for number in range(context.large_votes[0]):
            instance = members.instances[members.addresses[number]]
            learned = instance.node.learned
            ballot = messages.Ballot(100 + number, instance.node.replica.id)
            register = learned._replace(
                revision=learned.revision + 1, value=bytes(bytearray(value))
            )
            accept = messages.Accept(ballot, register)
            await instance.deliver(consensus_wire.wrap("control-0#i0", accept))
        await trio.sleep(0.1)

        async def read_at(instance):
            read.append(await _read_within(instance, seconds))

        async with trio.open_nursery() as nursery:
            for instance in members.instances.values():
                nursery.start_soon(read_at, instance)

    _run(context, main)
    assert all(value is not None for value in read), [bool(v) for v in read]
    counts = [len(state.decode(value).tables.routes) for value in read]
    assert counts == [routes] * len(context.large.addresses), counts


@when("each link needs {seconds:g} s for a state of {count:d} routes")
def _(context, seconds, count):
    size = len(compression.compress(state.encode(_state(count))))
    context.large.bytes_per_s = size / seconds


@when("an order puts {count:d} routes in force, and another {more:d}")
def _(context, count, more):
    context.large_results = []

    async def main():
        members = context.large
        assert await members.wait_until(members.all_vote, _START_S)
        base = 0
        for turn, version in enumerate((count, more)):
            instance = members.instances[members.addresses[turn]]
            document = _document(version)
            edit = orders.Edit(base, version, lambda _, made=document: made)
            began = trio.current_time()
            executor = control_orders.Orders(instance)
            result = await executor.execute(f"change-{version}", edit)
            took_s = trio.current_time() - began
            context.large_results.append((result, took_s))
            base = version
            learned = instance.register.revision
            await members.wait_until(
                lambda revision=learned: all(
                    other.register.revision == revision
                    for other in members.instances.values()
                ),
                _START_S,
            )

    _run(context, main)


@then("each of the two is accepted within {seconds:d} s")
def _(context, seconds):
    for result, took_s in context.large_results:
        assert isinstance(result, control_orders.Accepted), result
        assert took_s <= seconds, took_s

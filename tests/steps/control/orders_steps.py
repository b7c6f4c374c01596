"""Steps of control/orders.feature."""

import random

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.control import instance as control_instance
from hyssopfold.control import orders as control_orders
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership
from hyssopfold.core.orders import orders

_TEXT = "pools: [{name: ledger, slots: 3}]\nroutes: [{name: r, pool: ledger}]"


class _Records:
    """Records that are not stored, since the member does not restart."""

    def save_promise(self, promised):
        pass

    def save_register(self, accepted, register):
        pass

    def save_observed_starts(self, observed_starts):
        pass

    def save_all(self, durable):
        pass


class _SilentClient:
    """A client of a peer that never answers."""

    async def call(self, method, req, timeout_s):
        await trio.sleep(timeout_s)
        raise errors.PeerUnavailableError("127.0.0.1:1", "silent")


async def _run_directly(call, *values):
    await trio.lowlevel.checkpoint()
    call(*values)


def _endpoints(count):
    return [
        messages.Endpoint(f"control-{n}", f"127.0.0.1:{n}")
        for n in range(1, count + 1)
    ]


def _member(context, peers, durable=node.BLANK):
    endpoints = _endpoints(peers + 1)
    member = messages.Member(*endpoints[0], "i1")
    identity = messages.Identity(member, 1, "n1")
    consensus_node = node.Node(identity, endpoints, durable, random.Random(1))
    context.order_instance = control_instance.Instance(
        consensus_node,
        _Records(),
        lambda _: _SilentClient(),
        run_blocking=_run_directly,
    )
    context.order_calls = []
    context.order_results = []
    context.order_directory = None


@given("a single member that executes orders")
def _(context):
    _member(context, 0)


@given("an instance with an empty disk at the address of voter 1 of {count:d}")
def _(context, count):
    # It has fetched the register, which lists its former incarnation.
    voters = tuple(
        messages.Member(*endpoint, "i0") for endpoint in _endpoints(count)
    )
    ballot = messages.Ballot(1, voters[0].id)
    register = messages.Register(cluster="c1", members=voters)
    durable = messages.DurableState(ballot, ballot, register)
    _member(context, count - 1, durable)
    records = [
        membership.Instance(
            name=voter.name,
            role="control",
            address=f"http-{voter.name}",
            gossip_address=f"gossip-{voter.name}",
            region="dar",
            failure_domain="dar-1",
            state="ready",
            incarnation=1,
            sequence=1,
            revision=0,
            load=0.0,
            rpc_address=voter.address,
        )
        for voter in voters
    ]
    context.order_directory = directory.Directory(60.0)
    for record in records:
        context.order_directory.instances.update(record.name, record, 0.0)


@then("the order is redirected to voter {number:d}")
def _(context, number):
    _execute_orders(context)
    result = context.order_results[0]
    assert isinstance(result, control_orders.Elsewhere), result
    assert result.address == f"http-control-{number}", result


@given("a member that executes orders and whose peers are lost")
def _(context):
    _member(context, 2)


def _edit(version, base):
    document = orders.Document((), tables.parse(_TEXT))
    return orders.Edit(base, version, lambda _: document)


@when('order "{name}" puts version {version:d} on base {base:d}')
def _(context, name, version, base):
    context.order_calls.append([(name, _edit(version, base))])


@when(
    'orders "{name}" and "{other_name}" put versions {first:d} and {second:d}'
    " on base {base:d} at once"
)
def _(context, name, other_name, first, second, base):
    both = [
        (name, _edit(first, base)),
        (other_name, _edit(second, base)),
    ]
    context.order_calls.append(both)


@when('"{domain}" is evacuated by order, twice, ended and evacuated again')
def _(context, domain):
    for number, kind in enumerate(
        (
            orders.Evacuate,
            orders.Evacuate,
            orders.EndEvacuation,
            orders.Evacuate,
        )
    ):
        context.order_calls.append([(f"e{number}", kind(domain))])


def _execute_orders(context):
    """Execute the orders, one call after another, in virtual time."""
    if context.order_results:
        return

    async def main():
        executor = control_orders.Orders(
            context.order_instance, context.order_directory
        )

        async def execute(name, order):
            result = await executor.execute(name, order)
            context.order_results.append(result)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.order_instance.run)
            await trio.sleep(1)
            for call in context.order_calls:
                async with trio.open_nursery() as call_nursery:
                    for name, order in call:
                        call_nursery.start_soon(execute, name, order)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


@then("the orders' results are {names}")
def _(context, names):
    _execute_orders(context)
    kinds = [type(result).__name__ for result in context.order_results]
    assert kinds == names.split(", "), context.order_results


@then("one of the two is accepted and the other is a conflict")
def _(context):
    _execute_orders(context)
    kinds = {type(result).__name__: result for result in context.order_results}
    assert set(kinds) == {"Accepted", "Rejected"}, kinds
    error = kinds["Rejected"].error
    assert isinstance(error, errors.VersionConflictError), error


def _state(context):
    return state.decode(context.order_instance.register.value)


@then("version {version:d} is in force after the orders")
def _(context, version):
    assert _state(context).version == version


@then('the orders leave "{domain}" evacuated')
def _(context, domain):
    assert _state(context).evacuated == (domain,)

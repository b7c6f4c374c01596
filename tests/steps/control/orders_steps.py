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
from hyssopfold.core.orders import orders

_TEXT = "pools: [{name: ledger, slots: 3}]\nroutes: [{name: r, pool: ledger}]"


class _Records:
    """Records that are kept nowhere: the member does not restart."""

    def save_promise(self, promised):
        pass

    def save_register(self, accepted, register):
        pass

    def save_observed_starts(self, observed_starts):
        pass

    def save_all(self, durable):
        pass


class _Nobody:
    """A client to a peer that never answers."""

    async def call(self, method, req, timeout_s):
        await trio.sleep(timeout_s)
        raise errors.PeerUnavailableError("127.0.0.1:1", "silent")


async def _run_directly(call, *values):
    await trio.lowlevel.checkpoint()
    call(*values)


def _member(context, peers):
    listed = [
        messages.Endpoint(f"control-{n}", f"127.0.0.1:{n}")
        for n in range(1, peers + 2)
    ]
    member = messages.Member(*listed[0], "i1")
    identity = messages.Identity(member, 1, "n1")
    held = node.Node(identity, listed, node.BLANK, random.Random(1))
    context.ordering = control_instance.Instance(
        held, _Records(), lambda _: _Nobody(), run_blocking=_run_directly
    )
    context.order_calls = []
    context.order_results = []


@given("a lone member that takes orders")
def _(context):
    _member(context, 0)


@given("a member that takes orders and whose peers are lost")
def _(context):
    _member(context, 2)


def _edit(version, base):
    document = orders.Document((), tables.parse(_TEXT))
    return orders.Edit(base, version, lambda _: document)


@when('order "{name}" puts version {version:d} on base {base:d}')
def _(context, name, version, base):
    context.order_calls.append([(name, _edit(version, base))])


@when(
    'orders "{one}" and "{two}" put versions {first:d} and {second:d} on base {base:d} at once'
)
def _(context, one, two, first, second, base):
    both = [(one, _edit(first, base)), (two, _edit(second, base))]
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


def _play(context):
    """Carry the orders out, one call after another, in virtual time."""
    if context.order_results:
        return

    async def main():
        taker = control_orders.Orders(context.ordering)

        async def carry_out(name, order):
            result = await taker.carry_out(name, order)
            context.order_results.append(result)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.ordering.run)
            await trio.sleep(1)
            for call in context.order_calls:
                async with trio.open_nursery() as together:
                    for name, order in call:
                        together.start_soon(carry_out, name, order)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


@then("the orders' results are {names}")
def _(context, names):
    _play(context)
    found = [type(one).__name__ for one in context.order_results]
    assert found == names.split(", "), context.order_results


@then("one of the two was accepted and the other is a conflict")
def _(context):
    _play(context)
    kinds = {type(one).__name__: one for one in context.order_results}
    assert set(kinds) == {"Accepted", "Rejected"}, kinds
    error = kinds["Rejected"].error
    assert isinstance(error, errors.VersionConflictError), error


def _held(context):
    return state.decode(context.ordering.register.value)


@then("version {version:d} is in force by orders")
def _(context, version):
    assert _held(context).version == version


@then('the orders leave "{domain}" evacuated')
def _(context, domain):
    assert _held(context).evacuated == (domain,)

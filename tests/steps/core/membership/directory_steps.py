"""Steps of core/membership/directory.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages


def _server(server_id, state, incarnation, sequence):
    return messages.Server(
        server_id=server_id,
        pool="ledger",
        address="127.0.0.1:9",
        region="dar",
        failure_domain="dar-1",
        slots=3,
        connections=330,
        state=state,
        incarnation=incarnation,
        sequence=sequence,
        load=0.0,
    )


@given("a directory with leases of {lease:d} s")
def _(context, lease):
    context.directory = directory.Directory(lease)


@when(
    'server "{name}" announces {state} as {incarnation:d}.{sequence:d}'
    " at {at:d} s"
)
def _(context, name, state, incarnation, sequence, at):
    server = _server(name, state, incarnation, sequence)
    datagram = messages.Datagram("entry-1", 0, (), (server,))
    context.directory.merge(datagram, float(at))


@when("time is {at:d} s")
def _(context, at):
    context.directory.expire(float(at))


@then("no server is ready")
def _(context):
    assert not context.directory.ready_servers("ledger")


@then('server "{name}" is ready')
def _(context, name):
    ready = context.directory.ready_servers("ledger")
    assert [server.server_id for server in ready] == [name]

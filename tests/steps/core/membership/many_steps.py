"""Steps of core/membership/many*.feature."""

from behave import given
from behave import then
from behave import when
import msgspec

from tests.support import fake_gossip

SERVER_ID = "server-0001"
CONTROL_INSTANCES = 9


def _start(context, instances, regions, domains, servers):
    context.gossip = fake_gossip.FakeGossip(
        1,
        instances,
        regions,
        servers,
        domains,
        min(CONTROL_INSTANCES, instances // 4),
    )


@given(
    "{instances:d} instances that start at once in {regions:d} regions of"
    " {domains:d} domains with {servers:d} servers"
)
def _(context, instances, regions, domains, servers):
    _start(context, instances, regions, domains, servers)


@given(
    "{instances:d} instances that know each other in {regions:d} regions of"
    " {domains:d} domains with {servers:d} servers"
)
def _(context, instances, regions, domains, servers):
    _start(context, instances, regions, domains, servers)
    context.gossip.run(10)
    _check_complete(context.gossip)


def _check_complete(gossip):
    for name, protocol in gossip.live().items():
        ready = protocol.directory.ready_servers("ledger")
        assert len(ready) == len(gossip.servers), (name, len(ready))
        size = protocol.directory.instances.size
        assert size == len(gossip.protocols), (name, size)


@when("{seconds:d} s pass for the many instances")
def _(context, seconds):
    context.gossip.run(seconds)


@then("each of the many instances knows all servers and instances")
def _(context):
    _check_complete(context.gossip)


@then("none of them received more than {times:d} times the size of all records")
def _(context, times):
    gossip = context.gossip
    protocol = next(iter(gossip.protocols.values()))
    records = [
        *protocol.directory.instances.records(),
        *protocol.directory.servers.records(),
    ]
    size = len(msgspec.msgpack.encode(records))
    most = max(gossip.received_bytes.values())
    assert most < times * size, (most, size)


@then("less than {limit:d} KB were sent between regions for each of them")
def _(context, limit):
    gossip = context.gossip
    kilobytes = gossip.far_bytes / len(gossip.protocols) / 1000
    assert 0 < kilobytes < limit, kilobytes


@when("{loss:g} of the datagrams among the many instances are lost")
def _(context, loss):
    context.gossip.loss = loss


@when("one of their servers leaves")
def _(context):
    context.gossip.announce(SERVER_ID, "leaving")


@then("within {seconds:d} s none of the many instances has it as ready")
def _(context, seconds):
    context.gossip.run(seconds)
    assert not context.gossip.ready_at(SERVER_ID), context.gossip.ready_at(
        SERVER_ID
    )


@when("one of their servers becomes cold for {seconds:d} s")
def _(context, seconds):
    context.gossip.make_cold(SERVER_ID, seconds)


@then("within {seconds:d} s all of the many instances have it as cold")
def _(context, seconds):
    gossip = context.gossip
    gossip.run(seconds)
    assert gossip.cold_at(SERVER_ID) == list(gossip.live())


@when("half of the instances of one failure domain die")
def _(context):
    gossip = context.gossip
    entries = [
        name
        for name, protocol in gossip.protocols.items()
        if protocol.myself.failure_domain == "d4"
        and protocol.myself.role == "entry"
    ]
    gossip.dead |= set(entries[::2])


@when("one of the many instances dies")
def _(context):
    context.gossip.dead.add(list(context.gossip.protocols)[-1])


@then("within {seconds:d} s all of the many instances suspect it, and no other")
def _(context, seconds):
    context.gossip.run(seconds)
    _check_suspects(context.gossip, context.gossip.dead)


def _check_suspects(gossip, expected, ignored=""):
    for name, protocol in gossip.live().items():
        if name == ignored:
            continue
        suspects = {
            other
            for other in gossip.protocols
            if protocol.is_suspect(other, gossip.now)
        }
        assert suspects == expected, (name, suspects)


@when("one of the many instances is stopped for {seconds:d} s")
def _(context, seconds):
    gossip = context.gossip
    context.name = list(gossip.protocols)[-1]
    gossip.dead.add(context.name)
    gossip.run(seconds)
    gossip.dead.clear()
    gossip.run(3)


@then("the many instances suspect no other instance")
def _(context):
    _check_suspects(context.gossip, set(), ignored=context.name)


@when("one of their servers falls silent for good")
def _(context):
    context.gossip.silent.add(SERVER_ID)


@then("after {seconds:d} s none of the many instances has a record of it")
def _(context, seconds):
    context.gossip.run(seconds)
    for name, protocol in context.gossip.live().items():
        assert protocol.directory.servers.get(SERVER_ID) is None, name


@when("all servers of one of the many instances move to another")
def _(context):
    gossip = context.gossip
    old = gossip.announces_to[SERVER_ID]
    new = next(name for name in gossip.protocols if name != old)
    moved = [
        server_id
        for server_id, receiver in gossip.announces_to.items()
        if receiver == old
    ]
    gossip.announces_to |= dict.fromkeys(moved, new)


@then("the other servers are ready at all of the many instances")
def _(context):
    gossip = context.gossip
    for name, protocol in gossip.live().items():
        ready = protocol.directory.ready_servers("ledger")
        assert len(ready) == len(gossip.servers) - 1, (name, len(ready))

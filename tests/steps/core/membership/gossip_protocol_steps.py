"""Steps of core/membership/gossip_protocol.feature."""

from behave import given
from behave import then
from behave import when

from tests.support import fake_gossip

SERVER_ID = "server-0001"


@given(
    "{count:d} instances in {regions:d} regions with {servers:d} servers,"
    " loss {loss:g}"
)
def _(context, count, regions, servers, loss):
    context.gossip = fake_gossip.FakeGossip(1, count, regions, servers)
    context.gossip.loss = loss
    context.gossip.run(12)
    _check_complete(context.gossip, servers, count)


def _check_complete(gossip, servers, instances=None):
    for name, protocol in gossip.live().items():
        ready = protocol.directory.ready_servers("ledger")
        assert len(ready) == servers, (name, len(ready))
        if instances is not None:
            records = list(protocol.directory.instances.records())
            assert len(records) == instances, (name, len(records))


@when("a new instance starts")
def _(context):
    context.name = context.gossip.start()


@then("it knows {count:d} servers when it becomes ready, within {seconds:g} s")
def _(context, count, seconds):
    gossip = context.gossip
    protocol = gossip.protocols[context.name]
    until = gossip.now + seconds
    assert not protocol.ready(gossip.now)
    while not protocol.ready(gossip.now):
        gossip.run(0.05)
        assert gossip.now < until
    assert protocol.synced
    assert len(protocol.directory.ready_servers("ledger")) == count


@when("datagrams are lost at a rate of {loss:g}")
def _(context, loss):
    context.gossip.loss = loss


@when("a server announces to one instance that it leaves")
def _(context):
    context.gossip.announce(SERVER_ID, "leaving")


@when("a server falls silent")
def _(context):
    context.gossip.silent.add(SERVER_ID)


@then("within {seconds:d} s no instance has the server as ready")
def _(context, seconds):
    context.gossip.run(seconds)
    assert not context.gossip.ready_at(SERVER_ID), context.gossip.ready_at(
        SERVER_ID
    )


@when("the monitor of a server dies")
def _(context):
    context.gossip.dead.add(context.gossip.announces_to[SERVER_ID])


@when("the server announces itself to another instance")
def _(context):
    gossip = context.gossip
    old = gossip.announces_to[SERVER_ID]
    for server_id, name in gossip.announces_to.items():
        if name == old:
            region = gossip.servers[server_id].region
            gossip.announces_to[server_id] = next(
                live_name
                for live_name, protocol in gossip.live().items()
                if protocol.myself.region == region
            )


@then("for {seconds:d} s the server is ready at every live instance")
def _(context, seconds):
    for _ in range(seconds):
        context.gossip.run(1)
        ready = context.gossip.ready_at(SERVER_ID)
        assert len(ready) == len(context.gossip.live()), ready


def _of_region(gossip, region):
    return {
        name
        for name, protocol in gossip.protocols.items()
        if protocol.myself.region == region
    }


@when("the instances of one region are cut off from the others")
def _(context):
    gossip = context.gossip
    inside = _of_region(gossip, "r1")
    outside = gossip.protocols.keys() - inside
    for name in inside:
        for other in outside:
            gossip.cut |= {(name, other), (other, name)}
    context.outside = outside


def _servers_of(protocol, region):
    ready = protocol.directory.ready_servers("ledger")
    return [server for server in ready if server.region == region]


@then("after {seconds:d} s the others still have its servers as ready")
def _(context, seconds):
    context.gossip.run(seconds)
    for name in context.outside:
        protocol = context.gossip.protocols[name]
        assert not [
            entry
            for entry in protocol.directory.ready_entries()
            if entry.region == "r1"
        ], "entries of the region are still ready"
        assert len(_servers_of(protocol, "r1")) == 8, name


@then("after {seconds:d} s they do not")
def _(context, seconds):
    context.gossip.run(seconds)
    for name in context.outside:
        assert not _servers_of(context.gossip.protocols[name], "r1"), name


@when("the cut ends")
def _(context):
    context.gossip.cut.clear()


@then("after {seconds:d} s all instances know {count:d} servers")
def _(context, seconds, count):
    context.gossip.run(seconds)
    _check_complete(context.gossip, count)


@when("an instance dies")
def _(context):
    context.name = next(iter(context.gossip.protocols))
    context.gossip.dead.add(context.name)


@then("within {seconds:d} s no instance knows it")
def _(context, seconds):
    context.gossip.run(seconds)
    for protocol in context.gossip.live().values():
        assert protocol.directory.instances.get(context.name) is None


@when("datagrams are duplicated and delayed at random for {seconds:d} s")
def _(context, seconds):
    context.gossip.duplication = 0.5
    context.gossip.delay_s = 3.0
    context.gossip.run(seconds)


@then("all instances know {servers:d} servers and {instances:d} instances")
def _(context, servers, instances):
    _check_complete(context.gossip, servers, instances)


@then("an instance sends less than {limit:d} bytes a second")
def _(context, limit):
    gossip = context.gossip
    before = gossip.sent_bytes
    gossip.run(20)
    rate = (gossip.sent_bytes - before) / len(gossip.protocols) / 20
    assert 0 < rate < limit, rate


@when("the servers announce themselves for {seconds:d} s")
def _(context, seconds):
    context.gossip.run(seconds)


@when("a server asks {where} to be removed")
def _(context, where):
    gossip = context.gossip
    name = gossip.announces_to[SERVER_ID]
    if where == "another instance":
        name = next(other for other in gossip.protocols if other != name)
    gossip.execute(name, gossip.protocols[name].dismiss(SERVER_ID, gossip.now))


@then("it is not ready during {seconds:d} s of further announcements")
def _(context, seconds):
    for _ in range(seconds * 10):
        context.gossip.run(0.1)
        assert not context.gossip.ready_at(SERVER_ID), context.gossip.ready_at(
            SERVER_ID
        )


@then("within {seconds:d} s every other instance suspects it and no other")
def _(context, seconds):
    gossip = context.gossip
    gossip.run(seconds)
    for name, protocol in gossip.protocols.items():
        if name in gossip.dead:
            continue
        suspects = {
            other
            for other in gossip.protocols
            if protocol.is_suspect(other, gossip.now)
        }
        assert suspects == gossip.dead, (name, suspects)


@then("for {seconds:d} s no instance suspects another")
def _(context, seconds):
    gossip = context.gossip
    for _ in range(seconds * 4):
        gossip.run(0.25)
        for name, protocol in gossip.protocols.items():
            suspects = [
                other
                for other in gossip.protocols
                if protocol.is_suspect(other, gossip.now)
            ]
            assert not suspects, (gossip.now, name, suspects)


@when("a server becomes cold for {seconds:d} s, and all instances know")
def _(context, seconds):
    gossip = context.gossip
    context.previous_announcement = gossip.servers[SERVER_ID]
    gossip.make_cold(SERVER_ID, seconds)
    gossip.run(0.5)
    assert gossip.cold_at(SERVER_ID) == list(gossip.live())


@when("its previous announcement arrives late at another instance")
def _(context):
    gossip = context.gossip
    other = next(
        name for name in gossip.live() if name != gossip.announces_to[SERVER_ID]
    )
    effects = gossip.protocols[other].announce(
        context.previous_announcement, gossip.now
    )
    gossip.execute(other, effects)


@then("every instance has it as cold")
def _(context):
    gossip = context.gossip
    assert gossip.cold_at(SERVER_ID) == list(gossip.live())


@then("for {seconds:d} s no instance has it as cold")
def _(context, seconds):
    for _ in range(seconds * 10):
        context.gossip.run(0.1)
        assert not context.gossip.cold_at(SERVER_ID), context.gossip.cold_at(
            SERVER_ID
        )

"""Steps of core/membership/gossip_protocol.feature."""

from behave import given
from behave import then
from behave import when

from tests.support import fake_gossip

ONE = "server-0001"


@given(
    "{count:d} instances in {regions:d} regions with {servers:d} servers,"
    " loss {loss:g}"
)
def _(context, count, regions, servers, loss):
    context.gossip = fake_gossip.FakeGossip(1, count, regions, servers)
    context.gossip.loss = loss
    context.gossip.run(12)
    _check_all_known(context.gossip, servers, count)


def _check_all_known(gossip, servers, instances=None):
    for name, node in gossip.live().items():
        ready = node.directory.ready_servers("ledger")
        assert len(ready) == servers, (name, len(ready))
        if instances is not None:
            known = list(node.directory.instances.records())
            assert len(known) == instances, (name, len(known))


@when("a fresh instance starts")
def _(context):
    context.name = context.gossip.start()


@then(
    "it knows {count:d} servers when it says that it is ready,"
    " within {seconds:g} s"
)
def _(context, count, seconds):
    gossip = context.gossip
    node = gossip.nodes[context.name]
    until = gossip.now + seconds
    assert not node.ready(gossip.now)
    while not node.ready(gossip.now):
        gossip.run(0.05)
        assert gossip.now < until
    assert node.synced
    assert len(node.directory.ready_servers("ledger")) == count


@when("words get lost at a rate of {loss:g}")
def _(context, loss):
    context.gossip.loss = loss


@when("a server says to one instance that it leaves")
def _(context):
    context.gossip.announce(ONE, "leaving")


@when("a server falls silent")
def _(context):
    context.gossip.silent.add(ONE)


@then("within {seconds:d} s no instance takes the server for ready")
def _(context, seconds):
    context.gossip.run(seconds)
    assert not context.gossip.ready_at(ONE), context.gossip.ready_at(ONE)


@when("the instance that hears a server dies")
def _(context):
    context.gossip.dead.add(context.gossip.told[ONE])


@when("the server announces itself to another instance")
def _(context):
    gossip = context.gossip
    old = gossip.told[ONE]
    for server_id, name in gossip.told.items():
        if name == old:
            region = gossip.servers[server_id].region
            gossip.told[server_id] = next(
                one
                for one, node in gossip.live().items()
                if node.myself.region == region
            )


@then("for {seconds:d} s the server is ready at every live instance")
def _(context, seconds):
    for _ in range(seconds):
        context.gossip.run(1)
        ready = context.gossip.ready_at(ONE)
        assert len(ready) == len(context.gossip.live()), ready


def _of_region(gossip, region):
    return {
        name
        for name, node in gossip.nodes.items()
        if node.myself.region == region
    }


@when("the instances of one region are cut off from the others")
def _(context):
    gossip = context.gossip
    inside = _of_region(gossip, "r1")
    outside = gossip.nodes.keys() - inside
    for one in inside:
        for other in outside:
            gossip.cut |= {(one, other), (other, one)}
    context.outside = outside


def _servers_of(node, region):
    ready = node.directory.ready_servers("ledger")
    return [one for one in ready if one.region == region]


@then("after {seconds:d} s the others still take its servers for ready")
def _(context, seconds):
    context.gossip.run(seconds)
    for name in context.outside:
        node = context.gossip.nodes[name]
        assert not [
            one for one in node.directory.ready_entries() if one.region == "r1"
        ], "its entries are gone"
        assert len(_servers_of(node, "r1")) == 8, name


@then("after {seconds:d} s they do not")
def _(context, seconds):
    context.gossip.run(seconds)
    for name in context.outside:
        assert not _servers_of(context.gossip.nodes[name], "r1"), name


@when("the cut heals")
def _(context):
    context.gossip.cut.clear()


@then("after {seconds:d} s all instances know {count:d} servers")
def _(context, seconds, count):
    context.gossip.run(seconds)
    _check_all_known(context.gossip, count)


@when("an instance dies")
def _(context):
    context.name = next(iter(context.gossip.nodes))
    context.gossip.dead.add(context.name)


@then("within {seconds:d} s no instance knows it")
def _(context, seconds):
    context.gossip.run(seconds)
    for node in context.gossip.live().values():
        assert node.directory.instances.get(context.name) is None


@when("datagrams are doubled and delayed at random for {seconds:d} s")
def _(context, seconds):
    context.gossip.doubling = 0.5
    context.gossip.delay_s = 3.0
    context.gossip.run(seconds)


@then("all instances know {servers:d} servers and {instances:d} instances")
def _(context, servers, instances):
    _check_all_known(context.gossip, servers, instances)


@then("a node sends less than {limit:d} bytes a second")
def _(context, limit):
    gossip = context.gossip
    before = gossip.sent_bytes
    gossip.run(20)
    rate = (gossip.sent_bytes - before) / len(gossip.nodes) / 20
    assert 0 < rate < limit, rate


@when("the servers announce themselves for {seconds:d} s")
def _(context, seconds):
    context.gossip.run(seconds)


@when("a server asks {where} to be taken out")
def _(context, where):
    gossip = context.gossip
    name = gossip.told[ONE]
    if where == "another instance":
        name = next(one for one in gossip.nodes if one != name)
    gossip.carry(name, gossip.nodes[name].dismiss(ONE, gossip.now))


@then("for {seconds:d} s of further words it stays out")
def _(context, seconds):
    for _ in range(seconds * 10):
        context.gossip.run(0.1)
        assert not context.gossip.ready_at(ONE), context.gossip.ready_at(ONE)


@then("within {seconds:d} s every other instance suspects it and nobody else")
def _(context, seconds):
    gossip = context.gossip
    gossip.run(seconds)
    for name, one in gossip.nodes.items():
        if name in gossip.dead:
            continue
        suspects = {
            other for other in gossip.nodes if one.is_suspect(other, gossip.now)
        }
        assert suspects == gossip.dead, (name, suspects)


@then("for {seconds:d} s no instance suspects another")
def _(context, seconds):
    gossip = context.gossip
    for _ in range(seconds * 4):
        gossip.run(0.25)
        for name, one in gossip.nodes.items():
            suspects = [
                other
                for other in gossip.nodes
                if one.is_suspect(other, gossip.now)
            ]
            assert not suspects, (gossip.now, name, suspects)


@when("a server becomes cold for {seconds:d} s, and all know")
def _(context, seconds):
    gossip = context.gossip
    context.word_before = gossip.servers[ONE]
    gossip.chill(ONE, seconds)
    gossip.run(0.5)
    assert gossip.cold_at(ONE) == list(gossip.live())


@when("what it said before arrives late at another instance")
def _(context):
    gossip = context.gossip
    other = next(name for name in gossip.live() if name != gossip.told[ONE])
    effects = gossip.nodes[other].announce(context.word_before, gossip.now)
    gossip.carry(other, effects)


@then("every instance takes it for cold")
def _(context):
    gossip = context.gossip
    assert gossip.cold_at(ONE) == list(gossip.live())


@then("for {seconds:d} s no instance takes it for cold")
def _(context, seconds):
    for _ in range(seconds * 10):
        context.gossip.run(0.1)
        assert not context.gossip.cold_at(ONE), context.gossip.cold_at(ONE)

"""Steps of core/membership/many.feature and its parts."""

from behave import given
from behave import then
from behave import when
import msgspec

from tests.support import fake_gossip

ONE = "server-0001"
CONTROL = 9


def _start(context, instances, regions, domains, servers):
    context.gossip = fake_gossip.FakeGossip(
        1, instances, regions, servers, domains, min(CONTROL, instances // 4)
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
    _check_known(context.gossip)


def _check_known(gossip):
    for name, node in gossip.live().items():
        ready = node.directory.ready_servers("ledger")
        assert len(ready) == len(gossip.servers), (name, len(ready))
        known = node.directory.instances.size
        assert known == len(gossip.nodes), (name, known)


@when("{seconds:d} s pass among the many instances")
def _(context, seconds):
    context.gossip.run(seconds)


@then("each of the many instances knows all servers and instances")
def _(context):
    _check_known(context.gossip)


@then("none of them got more than {times:d} times what there is to know")
def _(context, times):
    gossip = context.gossip
    node = next(iter(gossip.nodes.values()))
    words = [
        *node.directory.instances.records(),
        *node.directory.servers.records(),
    ]
    size = len(msgspec.msgpack.encode(words))
    most = max(gossip.received_bytes.values())
    assert most < times * size, (most, size)


@then("less than {limit:d} KB went between regions for each of them")
def _(context, limit):
    gossip = context.gossip
    each = gossip.far_bytes / len(gossip.nodes) / 1000
    assert 0 < each < limit, each


@when("{loss:g} of the datagrams among the many instances are lost")
def _(context, loss):
    context.gossip.loss = loss


@when("one of their servers leaves")
def _(context):
    context.gossip.announce(ONE, "leaving")


@then("within {seconds:d} s none of the many instances takes it for ready")
def _(context, seconds):
    context.gossip.run(seconds)
    assert not context.gossip.ready_at(ONE), context.gossip.ready_at(ONE)


@when("one of their servers becomes cold for {seconds:d} s")
def _(context, seconds):
    context.gossip.chill(ONE, seconds)


@then("within {seconds:d} s all of the many instances take it for cold")
def _(context, seconds):
    gossip = context.gossip
    gossip.run(seconds)
    assert gossip.cold_at(ONE) == list(gossip.live())


@when("half of the instances of one failure domain die")
def _(context):
    gossip = context.gossip
    inside = [
        name
        for name, node in gossip.nodes.items()
        if node.myself.failure_domain == "d4" and node.myself.role == "entry"
    ]
    gossip.dead |= set(inside[::2])


@when("one of the many instances dies")
def _(context):
    context.gossip.dead.add(list(context.gossip.nodes)[-1])


@then("within {seconds:d} s all of the many instances suspect it, and no other")
def _(context, seconds):
    context.gossip.run(seconds)
    _check_suspects(context.gossip, context.gossip.dead)


def _check_suspects(gossip, wanted, but=""):
    for name, node in gossip.live().items():
        if name == but:
            continue
        suspects = {
            other
            for other in gossip.nodes
            if node.is_suspect(other, gossip.now)
        }
        assert suspects == wanted, (name, suspects)


@when("one of the many instances stands still for {seconds:d} s")
def _(context, seconds):
    gossip = context.gossip
    context.name = list(gossip.nodes)[-1]
    gossip.dead.add(context.name)
    gossip.run(seconds)
    gossip.dead.clear()
    gossip.run(3)


@then("nobody else is suspected by the many instances")
def _(context):
    _check_suspects(context.gossip, set(), but=context.name)


@when("one of their servers falls silent for good")
def _(context):
    context.gossip.silent.add(ONE)


@then("after {seconds:d} s none of the many instances holds a word of it")
def _(context, seconds):
    context.gossip.run(seconds)
    for name, node in context.gossip.live().items():
        assert node.directory.servers.get(ONE) is None, name


@when("all servers of one of the many instances move to another")
def _(context):
    gossip = context.gossip
    old = gossip.told[ONE]
    new = next(name for name in gossip.nodes if name != old)
    moved = [one for one, at in gossip.told.items() if at == old]
    gossip.told |= dict.fromkeys(moved, new)


@then("the other servers are ready at all of the many instances")
def _(context):
    gossip = context.gossip
    for name, node in gossip.live().items():
        ready = node.directory.ready_servers("ledger")
        assert len(ready) == len(gossip.servers) - 1, (name, len(ready))

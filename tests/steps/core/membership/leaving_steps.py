"""Steps of core/membership/leaving.feature."""

from behave import then
from behave import when

from hyssopfold.core.membership import effects
from hyssopfold.core.membership import messages

SERVER_ID = "server-0001"
_STEP_S = 0.1


def _control_names(gossip):
    return list(gossip.protocols)[: gossip.control]


@when("its monitor restarted")
def _(context):
    _restart(context, [context.gossip.announces_to[SERVER_ID]])


@when("all control instances restarted")
def _(context):
    _restart(context, _control_names(context.gossip))


def _restart(context, names):
    # Between two rounds of gossip: datagrams of a round that is under way would
    # tell the new process of the others at once.
    context.gossip.run(_STEP_S * 2)
    context.restarted = names
    for name in names:
        context.gossip.restart(name)


@when(
    "{delay:g} s later a server asks one of them to be removed and falls silent"
)
def _(context, delay):
    context.gossip.run(delay)
    context.gossip.dismiss(SERVER_ID, context.restarted[0])


@when("a server announces itself to another control instance for {delay:g} s")
def _(context, delay):
    gossip = context.gossip
    context.previous = gossip.announces_to[SERVER_ID]
    gossip.announces_to[SERVER_ID] = next(
        name for name in _control_names(gossip) if name != context.previous
    )
    gossip.run(delay)


@when("it asks its previous monitor to be removed and falls silent")
def _(context):
    context.gossip.dismiss(SERVER_ID, context.previous)


@when("a server asks its monitor to be removed and falls silent")
def _(context):
    gossip = context.gossip
    gossip.dismiss(SERVER_ID, gossip.announces_to[SERVER_ID])


@when(
    "{delay:g} s later all instances lose power, and control instances read"
    " their leaves"
)
def _(context, delay):
    gossip = context.gossip
    gossip.run(delay)
    names = _control_names(gossip)
    left = {
        name: gossip.protocols[name].directory.servers.left() for name in names
    }
    for name in list(gossip.protocols):
        gossip.restart(name)
    for name in names:
        gossip.protocols[name].restore_left(left[name], gossip.now)


@when("{delay:g} s later an announcement that it sent before arrives elsewhere")
def _(context, delay):
    gossip = context.gossip
    gossip.run(delay)
    server = gossip.servers[SERVER_ID]
    # Two announcements were under way when the server was dismissed.
    delayed = server._replace(sequence=server.sequence + 2)
    name = next(
        name
        for name in _control_names(gossip)
        if name != gossip.announces_to[SERVER_ID]
    )
    protocol = gossip.protocols[name]
    gossip.execute(name, protocol.announce(delayed, gossip.now))


@then(
    "within {bound:g} s and for {seconds:g} s more no instance has it as ready"
)
def _(context, bound, seconds):
    gossip = context.gossip
    gossip.run(bound)
    for _ in range(round(seconds / _STEP_S)):
        assert not gossip.ready_at(SERVER_ID), gossip.ready_at(SERVER_ID)
        gossip.run(_STEP_S)


@then(
    "for {seconds:g} s all servers are ready at all instances but those that"
    " restarted"
)
def _(context, seconds):
    gossip = context.gossip
    others = [
        protocol
        for name, protocol in gossip.protocols.items()
        if name not in context.restarted
    ]
    for _ in range(round(seconds / _STEP_S)):
        gossip.run(_STEP_S)
        for protocol in others:
            ready = protocol.directory.ready_servers("ledger")
            assert len(ready) == len(gossip.servers), len(ready)


@when("{delay:g} s later a ready record of it with a higher number arrives")
def _(context, delay):
    gossip = context.gossip
    gossip.run(delay)
    sender, receiver, *_ = gossip.protocols.values()
    server = gossip.servers[SERVER_ID]
    record = server._replace(sequence=server.sequence + 9)
    datagram = messages.Datagram(sender.myself.name, 0, (), (record,))
    context.effects = receiver.receive(datagram, gossip.now)


@then("a conflict is logged, in which leaving was kept")
def _(context):
    conflicts = [
        effect
        for effect in context.effects
        if isinstance(effect, effects.LeaveConflict)
    ]
    assert [conflict.kept for conflict in conflicts] == ["leaving"], conflicts

"""Steps of core/balancing/node.feature."""

import collections
import os

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import node
from tests.support import fake_entries

POOL_REGION = messages.PoolRegion("ledger", "dar")


@given("placement of {entries:d} entries over {servers:d} servers")
def _(context, entries, servers):
    context.world = fake_entries.FakeEntries(1, entries, servers)
    context.world.run(4)
    assert len(context.world.grantors()) == 1


def _live(world):
    return [
        name
        for name, entry in world.entries.items()
        if name not in world.dead and not entry.frozen
    ]


def _request_from_all(world, count):
    for name in _live(world) * count:
        world.request_slot(name)
    world.run(2)


@when("every entry requests {count:d} slots")
@when("every live entry requests {count:d} slots")
def _(context, count):
    _request_from_all(context.world, count)


@when("all slots are released and every live entry requests {count:d} slots")
def _(context, count):
    _release_all(context.world)
    context.world.run(1)
    _request_from_all(context.world, count)


def _release_all(world):
    for name in _live(world):
        for ticket in list(world.entries[name].grants):
            world.release(name, ticket)


@when("all slots are released while every message is lost")
def _(context):
    context.world.loss = 1.0
    _release_all(context.world)
    context.world.loss = 0.0


def _in_use(world):
    return sum(world.in_use().values())


@then(
    "{count:d} slots are in use, and the other requests were refused as not run"
)
def _(context, count):
    world = context.world
    assert _in_use(world) == count, world.in_use()
    answers = [
        answer
        for entry in world.entries.values()
        for answer in entry.answers.values()
    ]
    refused = [
        result for result in answers if isinstance(result, messages.Refused)
    ]
    assert len(refused) == len(answers) - count
    assert all(result.retry_after_s > 0 for result in refused)


@then("{count:d} slots are in use in all")
def _(context, count):
    assert _in_use(context.world) == count, context.world.in_use()


@when("{seconds:d} s pass in placement")
def _(context, seconds):
    context.world.run(seconds)


@when("slots were used for {seconds:g} s each, and then all stay in use")
def _(context, seconds):
    world = context.world
    for _ in range(20):
        ticket = world.request_slot("e0")
        world.run(seconds)
        world.release("e0", ticket)
    _request_from_all(world, 2)


@then("a new request is refused within {seconds:g} s with a retry-after")
def _(context, seconds):
    ticket = context.world.request_slot("e1")
    context.world.run(seconds)
    answer = context.world.entries["e1"].answers[ticket]
    assert isinstance(answer, messages.Refused), answer
    assert answer.reason == "pool-full", answer
    assert answer.retry_after_s > 0


@when("the grantor dies")
def _(context):
    (context.old_grantor,) = context.world.grantors()
    context.world.kill(context.old_grantor)


@when("control is cut off and the grantor dies")
def _(context):
    world = context.world
    world.separate(list(world.entries), list(world.control_names))
    (context.old_grantor,) = world.grantors()
    world.kill(context.old_grantor)


@when("control is reachable again and the dead entry restarts")
def _(context):
    context.world.heal()
    context.world.start(context.old_grantor)


def _grantor(world):
    (name,) = world.grantors()
    return world.entries[name].node.own_grantor(POOL_REGION)


@then("another entry grants, and the dead entry's slots are withheld")
def _(context):
    world = context.world
    assert world.grantors() != [context.old_grantor]
    used = world.in_use()
    withheld = sum(min(1, 3 - count) for count in used.values())
    assert 0 < _grantor(world).ledger.withheld() == withheld


@when("the dead entry restarts and {seconds:d} s pass in placement")
def _(context, seconds):
    context.world.start(context.old_grantor)
    context.world.run(seconds)


@then("nothing is withheld")
def _(context):
    assert _grantor(context.world).ledger.withheld() == 0


@when("the grantor is frozen for {seconds:d} s and replaced")
def _(context, seconds):
    world = context.world
    (context.old_grantor,) = world.grantors()
    world.freeze(context.old_grantor)
    world.run(seconds)
    assert len(world.grantors()) == 2, (
        "expected the frozen grantor and its successor"
    )


@when("the old grantor resumes, and requests and grants slots")
def _(context):
    world = context.world
    entry = world.entries[context.old_grantor]
    entry.frozen = False
    for name in world.entries:
        world.request_slot(name)
    for _ in range(5):
        world.request_slot(context.old_grantor)
    world.thaw(context.old_grantor)
    world.run(3)


@then("there is one grantor and no server exceeds its slots")
def _(context):
    assert len(context.world.grantors()) == 1
    context.world.check()


@when("the grantor leaves")
def _(context):
    (context.old_grantor,) = context.world.grantors()
    context.world.submit(context.old_grantor, node.Leave())


@then("another entry grants within {seconds:g} s")
def _(context, seconds):
    context.world.run(seconds)
    (name,) = context.world.grantors()
    assert name != context.old_grantor


def _non_grantor_name(world):
    (grantor,) = world.grantors()
    return next(name for name in world.entries if name != grantor)


@when("an entry that uses a slot promises a newer term")
def _(context):
    world = context.world
    name = _non_grantor_name(world)
    context.ticket = world.request_slot(name)
    world.run(1)
    context.entry = world.entries[name]
    holder = context.entry.node.holder
    context.term = holder.highest_term(POOL_REGION) + 1
    assert len(holder.promise(POOL_REGION, context.term)) == 1


@then("its release is not sent before the newer grantor's first heartbeat")
def _(context):
    entry, now = context.entry, context.world.now
    grant = entry.grants[context.ticket]
    result = messages.AttemptResult("answered", 0.05)
    assert entry.node.handle(node.Release(grant, result), now) == []
    newer = messages.Member("e9", 99)
    heartbeat = messages.GrantorHeartbeat(
        POOL_REGION, context.term, newer, False
    )
    effects = entry.node.handle(node.Received("e9", heartbeat), now)
    assert [(effect.to, effect.message.held_slots) for effect in effects] == [
        ("e9", ())
    ]


@when("a grant for an earlier incarnation reaches a requesting entry")
def _(context):
    world = context.world
    context.name = _non_grantor_name(world)
    entry = world.entries[context.name]
    context.ticket = world.request_slot(context.name)
    holder = entry.node.holder
    (number,) = holder.pending_numbers()
    earlier = messages.Member(entry.me.name, entry.me.incarnation - 1)
    granted = messages.SlotGranted(
        POOL_REGION, 99, earlier, number, fake_entries.server("s0")
    )
    world.submit(context.name, node.Received("e9", granted))


@then("the request is still pending")
def _(context):
    entry = context.world.entries[context.name]
    assert context.ticket not in entry.answers
    assert entry.node.holder.pending_numbers()


@when("an entry requests {count:d} slots for traffic moved into the region")
def _(context, count):
    for _ in range(count):
        context.world.request_slot("e0", moved=True)
    context.world.run(2)


def _announce_leaving(world, server_id):
    record = world.servers[server_id]._replace(state="leaving", sequence=10**9)
    world.servers[server_id] = record
    return record


@when(
    'server "{name}" announces its leaving and {seconds:d} s pass in placement'
)
def _(context, name, seconds):
    _announce_leaving(context.world, name)
    context.world.run(seconds)


@when('an entry learns that server "{name}" leaves before the grantor does')
def _(context, name):
    world = context.world
    (grantor,) = world.grantors()
    context.informed_entry = next(
        entry_name for entry_name in world.entries if entry_name != grantor
    )
    record = _announce_leaving(world, name)
    world.missing_records.add((grantor, name))
    world.entries[context.informed_entry].directory.servers.update(
        name, record, world.now
    )


@when('an entry requests a slot of any server but "{name}"')
def _(context, name):
    context.attempt = context.world.request_slot("e1", avoid=(name,))
    context.other = context.world.request_slot("e0")
    context.world.run(3)


@then('that request is refused, and another request still gets "{name}"')
def _(context, name):
    entries = context.world.entries
    answer = entries["e1"].answers[context.attempt]
    assert isinstance(answer, messages.Refused), answer
    grant = entries["e0"].grants[context.other]
    assert grant.server.server_id == name, grant


@when(
    'the grantor learns that server "{name}" leaves and requests a slot at once'
)
def _(context, name):
    world = context.world
    (grantor,) = world.grantors()
    record = _announce_leaving(world, name)
    world.entries[grantor].directory.servers.update(name, record, world.now)
    world.request_slot(grantor)


@then("the grantor's request is refused or waits")
def _(context):
    context.world.run(2)
    assert sum(context.world.in_use().values()) == 0, context.world.in_use()


@when("that entry requests {count:d} slots")
def _(context, count):
    for _ in range(count):
        context.world.request_slot(context.informed_entry)
    context.world.run(2)


@then('server "{name}" has no slot in use')
def _(context, name):
    used = context.world.in_use()
    assert used[name] == 0, used
    assert sum(used.values()) > 0, "the other server is not used"


_ENTRIES = ("e0", "e1", "e2", "f0")
_CONTROL = ("control-0", "control-1", "control-2")
# Requests and releases are more frequent than faults, so that requests are in
# progress when a fault occurs.
_STEPS = (
    *("ask",) * 6,
    *("give_back",) * 6,
    "kill",
    "start",
    "start",
    "freeze",
    "thaw",
    "thaw",
    "separate",
    "separate",
    "heal",
    "heal",
    "restart_server",
    "kill_control",
    "start_control",
    "start_control",
)


class PlacementRun(stateful.RuleBasedStateMachine):
    """Entries and control with random faults; the fake asserts the slots."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        servers=strategies.integers(1, 3),
        loss=strategies.sampled_from([0.0, 0.05, 0.3]),
        doubling=strategies.sampled_from([0.0, 0.2]),
        delays=strategies.sampled_from([(0.0005, 0.002), (0.001, 0.3)]),
    )
    def begin(self, seed, servers, loss, doubling, delays):
        self.world = fake_entries.FakeEntries(seed, 3, servers, far=1)
        self.world.delay_s = delays
        self.world.loss, self.world.duplication = loss, doubling
        self.world.run(3)

    @stateful.rule(
        step=strategies.sampled_from(_STEPS),
        name=strategies.sampled_from(_ENTRIES),
        count=strategies.integers(1, 5),
        pause=strategies.sampled_from([0.01, 0.1, 0.5, 2.0]),
        ones=strategies.sets(
            strategies.sampled_from(_ENTRIES + _CONTROL), min_size=1
        ),
    )
    def step(self, step, name, count, pause, ones):
        getattr(self, f"_{step}")(name, count, ones)
        self.world.run(pause)

    def _ask(self, name, count, ones):
        for live in _live(self.world):
            for _ in range(count if live == name else 1):
                self.world.request_slot(live)

    def _give_back(self, name, count, ones):
        for live in _live(self.world):
            for ticket in list(self.world.entries[live].grants)[:count]:
                self.world.release(live, ticket)

    def _kill(self, name, count, ones):
        self.world.kill(name)

    def _start(self, name, count, ones):
        for dead in _ENTRIES:
            if dead in self.world.dead:
                self.world.start(dead, self.world.entries[dead].region)
                return

    def _freeze(self, name, count, ones):
        self.world.freeze(name)

    def _thaw(self, name, count, ones):
        for entry_name, entry in self.world.entries.items():
            if entry.frozen and entry_name not in self.world.dead:
                self.world.thaw(entry_name)
                return

    def _separate(self, name, count, ones):
        names = [*self.world.entries, *self.world.control_names]
        self.world.separate(
            ones, [other for other in names if other not in ones]
        )

    def _heal(self, name, count, ones):
        self.world.heal()

    def _restart_server(self, name, count, ones):
        record = self.world.servers["s0"]
        self.world.servers["s0"] = record._replace(
            incarnation=record.incarnation + 1
        )

    def _kill_control(self, name, count, ones):
        self.world.kill(_CONTROL[count % len(_CONTROL)])

    def _start_control(self, name, count, ones):
        for dead in _CONTROL:
            if dead in self.world.dead:
                self.world.start_control(dead)

    @stateful.invariant()
    def no_slot_is_over_run(self):
        self.world.check()


@when("placement is run at random with faults")
def _(context):
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "80"))
    settings = hypothesis.settings(
        max_examples=40 if seed is None else 500,
        stateful_step_count=steps,
        derandomize=seed is None,
        suppress_health_check=list(hypothesis.HealthCheck),
        deadline=None,
        database=None,
    )
    machine = PlacementRun
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)


@then("no server exceeded its slots in any run")
def _(context):
    """The run itself asserts this after every event."""


def _use_all_slots(context, seconds, rates):
    """Request slots at all entries, and release each one after a tenth.

    Args:
        context: Context of the scenario.
        seconds: Duration in seconds.
        rates: Rate limits that servers name, by server id.
    """
    world = context.world
    context.granted_at = getattr(
        context, "granted_at", collections.defaultdict(list)
    )
    for _ in range(round(seconds * 10)):
        for name in _live(world):
            for _ in range(3):
                world.request_slot(name)
        world.run(0.1)
        for name in _live(world):
            for ticket, grant in list(world.entries[name].grants.items()):
                server_id = grant.server.server_id
                context.granted_at[server_id].append(world.now)
                rate = rates.get(server_id)
                world.release(name, ticket, seconds=0.1, rate_limit=rate)


@when(
    'server "{server_id}" limits its requests to {rate:g} a second while all'
    " slots are used for {seconds:g} s"
)
def _(context, server_id, rate, seconds):
    _use_all_slots(context, seconds, {server_id: rate})


@when(
    'the limit of server "{server_id}" ends while all slots are used for'
    " {seconds:g} s"
)
def _(context, server_id, seconds):
    _use_all_slots(context, seconds, {})


@then(
    'server "{server_id}" was granted at most {most:d} times in any 4 s, and'
    " at least {fewest:d} times"
)
def _(context, server_id, most, fewest):
    times = context.granted_at[server_id]
    counts = [sum(at <= other < at + 4 for other in times) for at in times]
    assert max(counts) <= most, counts
    assert len(times) >= fewest, times


@then('server "{server_id}" was granted more than {count:d} times')
def _(context, server_id, count):
    assert len(context.granted_at[server_id]) > count, context.granted_at


_LOCAL_REPORTS = {
    "silent servers": messages.SilentServers((7,)),
    "busy servers": messages.BusyServers(((7, 3),)),
    "limited servers": messages.LimitedServers(
        (messages.ReportedLimit(7, 2.0, 0.0),)
    ),
}


@when(
    "every entry gets a report of {servers} from an entry with local placement"
)
def _(context, servers):
    for name in _live(context.world):
        received = node.Received("entry-local", _LOCAL_REPORTS[servers])
        context.world.submit(name, received)

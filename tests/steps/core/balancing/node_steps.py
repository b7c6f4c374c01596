"""Steps of core/balancing/node.feature."""

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

KEY = messages.Key("ledger", "dar")


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


def _ask_all(world, count):
    for name in _live(world) * count:
        world.ask(name)
    world.run(2)


@when("every entry asks for {count:d} slots")
@when("every live entry asks for {count:d} slots")
def _(context, count):
    _ask_all(context.world, count)


@when("all slots are given back and every live entry asks for {count:d} slots")
def _(context, count):
    _give_back(context.world)
    context.world.run(1)
    _ask_all(context.world, count)


def _give_back(world):
    for name in _live(world):
        for ticket in list(world.entries[name].grants):
            world.release(name, ticket)


@when("all slots are given back while no message comes through")
def _(context):
    context.world.loss = 1.0
    _give_back(context.world)
    context.world.loss = 0.0


def _in_use(world):
    return sum(world.in_use().values())


@then("{count:d} slots are in use, and the other asks were refused as not run")
def _(context, count):
    world = context.world
    assert _in_use(world) == count, world.in_use()
    answers = [
        answer
        for entry in world.entries.values()
        for answer in entry.answers.values()
    ]
    refused = [one for one in answers if isinstance(one, messages.Refused)]
    assert len(refused) == len(answers) - count
    assert all(one.retry_after_s > 0 for one in refused)


@then("{count:d} slots are in use in all")
def _(context, count):
    assert _in_use(context.world) == count, context.world.in_use()


@when("{seconds:d} s pass in placement")
def _(context, seconds):
    context.world.run(seconds)


@when("slots were used for {seconds:g} s each, and then all are held")
def _(context, seconds):
    world = context.world
    for _ in range(20):
        ticket = world.ask("e0")
        world.run(seconds)
        world.release("e0", ticket)
    _ask_all(world, 2)


@then("a new ask is refused within {seconds:g} s with a retry-after")
def _(context, seconds):
    ticket = context.world.ask("e1")
    context.world.run(seconds)
    answer = context.world.entries["e1"].answers[ticket]
    assert isinstance(answer, messages.Refused), answer
    assert answer.reason == "pool-full", answer
    assert answer.retry_after_s > 0


@when("the grantor dies")
def _(context):
    (context.old,) = context.world.grantors()
    context.world.kill(context.old)


@when("control is cut off and the grantor dies")
def _(context):
    world = context.world
    world.separate(list(world.entries), list(world.control_names))
    (context.old,) = world.grantors()
    world.kill(context.old)


@when("control is heard again and the dead entry starts again")
def _(context):
    context.world.heal()
    context.world.start(context.old)


def _granting(world):
    (name,) = world.grantors()
    return world.entries[name].node.granting(KEY)


@then("another entry grants, with the dead one's slots withheld")
def _(context):
    world = context.world
    assert world.grantors() != [context.old]
    free = 36 - _in_use(world)
    assert _granting(world).ledger.withheld() == free


@when("the dead entry starts again and {seconds:d} s pass in placement")
def _(context, seconds):
    context.world.start(context.old)
    context.world.run(seconds)


@then("nothing is withheld")
def _(context):
    assert _granting(context.world).ledger.withheld() == 0


@when("the grantor is frozen for {seconds:d} s while others take its place")
def _(context, seconds):
    world = context.world
    (context.old,) = world.grantors()
    world.freeze(context.old)
    world.run(seconds)
    assert len(world.grantors()) == 2, "the frozen one cannot know"


@when("the old grantor asks and grants again")
def _(context):
    world = context.world
    entry = world.entries[context.old]
    entry.frozen = False
    for name in world.entries:
        world.ask(name)
    for _ in range(5):
        world.ask(context.old)
    world.thaw(context.old)
    world.run(3)


@then("there is one grantor and no slot was over-run")
def _(context):
    assert len(context.world.grantors()) == 1
    context.world.check()


@when("the grantor leaves")
def _(context):
    (context.old,) = context.world.grantors()
    context.world.submit(context.old, node.Leave())


@then("another entry grants within {seconds:g} s")
def _(context, seconds):
    context.world.run(seconds)
    (name,) = context.world.grantors()
    assert name != context.old


@when("an entry asks for {count:d} slots for traffic moved in")
def _(context, count):
    for _ in range(count):
        context.world.ask("e0", moved=True)
    context.world.run(2)


def _say_leaving(world, server_id):
    word = world.servers[server_id]._replace(state="leaving", sequence=10**9)
    world.servers[server_id] = word
    return word


@when('server "{name}" says that it leaves and {seconds:d} s pass in placement')
def _(context, name, seconds):
    _say_leaving(context.world, name)
    context.world.run(seconds)


@when('an entry hears that server "{name}" leaves before the grantor does')
def _(context, name):
    world = context.world
    (grantor,) = world.grantors()
    context.early = next(one for one in world.entries if one != grantor)
    word = _say_leaving(world, name)
    world.lost_words.add((grantor, name))
    world.entries[context.early].known.servers.update(name, word, world.now)


@when("that entry asks for {count:d} slots")
def _(context, count):
    for _ in range(count):
        context.world.ask(context.early)
    context.world.run(2)


@then('server "{name}" has no slot in use')
def _(context, name):
    used = context.world.in_use()
    assert used[name] == 0, used
    assert sum(used.values()) > 0, "the others go on"


class PlacementRun(stateful.RuleBasedStateMachine):
    """Entries and control under every fault; the fake asserts the slots."""

    names = strategies.sampled_from(["e0", "e1", "e2", "f0"])
    shares = strategies.sampled_from([0.0, 0.0, 0.1, 0.4])

    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        servers=strategies.integers(1, 3),
        delays=strategies.sampled_from([(0.0005, 0.002), (0.001, 0.4)]),
    )
    def begin(self, seed, servers, delays):
        self.world = fake_entries.FakeEntries(seed, 3, servers, far=1)
        self.world.delay_s = delays
        self.world.run(3)

    def _is_live(self, name):
        entry = self.world.entries[name]
        return name not in self.world.dead and not entry.frozen

    @stateful.rule(name=names, count=strategies.integers(1, 6))
    def ask(self, name, count):
        if self._is_live(name):
            for _ in range(count):
                self.world.ask(name)

    @stateful.rule(
        name=names, kind=strategies.sampled_from(["answered", "failed", "shed"])
    )
    def give_back(self, name, kind):
        if self._is_live(name):
            for ticket in list(self.world.entries[name].grants)[:3]:
                self.world.release(name, ticket, kind)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 2.0, 4.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(loss=shares, doubling=shares)
    def spoil(self, loss, doubling):
        self.world.loss, self.world.doubling = loss, doubling

    @stateful.rule(name=names)
    def kill_or_start(self, name):
        if name in self.world.dead:
            self.world.start(name, self.world.entries[name].region)
        else:
            self.world.kill(name)

    @stateful.rule(name=names)
    def freeze_or_thaw(self, name):
        if self.world.entries[name].frozen:
            self.world.thaw(name)
        else:
            self.world.freeze(name)

    @stateful.rule(
        ones=strategies.sets(
            strategies.sampled_from(
                ["e0", "e1", "e2", "f0", "control-0", "control-1"]
            ),
            min_size=1,
        )
    )
    def separate(self, ones):
        names = [*self.world.entries, *self.world.control_names]
        self.world.separate(ones, [one for one in names if one not in ones])

    @stateful.rule()
    def heal(self):
        self.world.heal()

    @stateful.rule(number=strategies.integers(0, 2))
    def restart_control(self, number):
        name = f"control-{number}"
        if name in self.world.dead:
            self.world.start_control(name)
        else:
            self.world.kill(name)

    @stateful.rule()
    def restart_server(self):
        word = self.world.servers["s0"]
        self.world.servers["s0"] = word._replace(
            incarnation=word.incarnation + 1
        )

    @stateful.invariant()
    def no_slot_is_over_run(self):
        self.world.check()


@when("placement is run at random with faults")
def _(context):
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "40"))
    settings = hypothesis.settings(
        max_examples=60 if seed is None else 500,
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


@then("no slot was over-run in any run")
def _(context):
    """The run itself asserts it after every event."""

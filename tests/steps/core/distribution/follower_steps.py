"""Steps of core/distribution/follower.feature."""

import os
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows
from tests.support import fake_distribution

SEED = 4
SETTLE_S = 20
MIN_RUNS = 20
STEPS_A_RUN = 25


@given("a distribution network of {entries:d} entries that loses {loss:d} %")
def _(context, entries, loss):
    context.entries, context.loss = entries, loss / 100


@given("distribution by {modes}")
def _(context, modes):
    chosen = [name in modes for name in messages.UpdateModes._fields]
    context.net = fake_distribution.FakeNetwork(
        SEED, entries=context.entries, modes=messages.UpdateModes(*chosen)
    )
    context.net.change()
    took = context.net.run_until(lambda: context.net.all_at(1), 60)
    assert took is not None
    context.net.run(SETTLE_S)
    context.net.loss = context.loss


@given("distribution for confirmations of at most {age:d} s")
def _(context, age):
    context.net = fake_distribution.FakeNetwork(
        SEED,
        entries=context.entries,
        timing=follower.USUAL_TIMING.within(age),
    )
    context.net.change()
    context.net.run(SETTLE_S)
    context.net.loss = context.loss


@when("nothing changes for {seconds:d} s")
def _(context, seconds):
    context.ages = []
    for _ in range(10 * seconds):
        context.net.run(0.1)
        context.ages += [
            entry.core.age_s(context.net.now)
            for entry in context.net.entries.values()
        ]


@then("no confirmation was older than {age:d} s")
def _(context, age):
    assert max(context.ages) <= age, max(context.ages)


@given("every push on the distribution network is lost")
def _(context):
    context.net.push_lost = True


@given("control instance 1 is cut off from the others but not from entries")
def _(context):
    context.net.cut_between(["control-1"], ["control-2", "control-3"])


@given("{count:d} changes are accepted on the distribution network")
def _(context, count):
    context.net.change(count)
    context.net.run(5)


@given("no control instance reaches another any more")
def _(context):
    names = list(context.net.control)
    context.net.run(5)
    for name in names:
        others = [other for other in names if other != name]
        context.net.cut_between([name], others)


@when("a change is accepted on the distribution network")
def _(context):
    context.net.change()


@then("the distribution network has it in force everywhere within {bound:d} s")
def _(context, bound):
    newest = context.net.newest()
    took = context.net.run_until(lambda: context.net.all_at(newest), bound)
    in_force = {
        name: context.net.in_force(name) for name in context.net.entries
    }
    assert took is not None, (newest, in_force)


@when("the distribution entry restarts and reaches only control instance 1")
def _(context):
    context.net.cut_between(["entry-1"], ["control-2", "control-3"])
    context.net.boot("entry-1")


@then("the distribution entry has nothing in force after {seconds:d} s")
def _(context, seconds):
    context.net.run(seconds)
    assert context.net.in_force("entry-1") == 0


@then(
    "the distribution entry starts at the newest revision when it reaches all"
)
def _(context):
    for other in ("control-2", "control-3"):
        context.net.cut -= {("entry-1", other), (other, "entry-1")}
    context.net.run(10)
    revisions = [rev for rev, _ in context.net.entries["entry-1"].installed]
    assert revisions == [context.net.newest()], revisions


@when("the distribution entry restarts")
def _(context):
    context.net.boot("entry-1")


@then(
    "the distribution entry installs revision {revision:d} within {bound:d} s"
)
def _(context, revision, bound):
    net = context.net
    took = net.run_until(lambda: net.all_at(revision), bound)
    assert took is not None, net.in_force("entry-1")


@when("a frozen distribution entry misses 500 changes, and another restarts")
def _(context):
    context.net.freeze("entry-1")
    for _ in range(50):
        context.net.change(10)
        context.net.run(1)
    context.net.boot("entry-2")
    context.net.thaw("entry-1")
    context.before = len(context.net.entries["entry-1"].installed)
    context.net.run(10)


@then("both distribution entries took one step to the newest revision")
def _(context):
    newest = context.net.newest()
    thawed = context.net.entries["entry-1"].installed
    # An answer that was sent before it was frozen may arrive first.
    steps = [revision for revision, _ in thawed[context.before :]]
    assert steps[-1] == newest, steps
    assert len(steps) <= 2, steps
    booted = [rev for rev, _ in context.net.entries["entry-2"].installed]
    assert booted == [newest], booted


@when("control is cut off from distribution entries 4 to 6 for {seconds:d} s")
def _(context, seconds):
    context.region = ["entry-4", "entry-5", "entry-6"]
    context.net.cut_between(context.net.control, context.region)
    context.net.run(seconds)


@then("the cut distribution entries report the age of their peers' revision")
def _(context):
    net = context.net
    ages = [net.entries[n].core.age_s(net.now) for n in context.region]
    assert all(0 <= age < 30 for age in ages), ages


@when(
    "distribution entry 1 is cut off from everyone for {seconds:d} s"
    " and {count:d} changes"
)
def _(context, seconds, count):
    context.net.isolate("entry-1")
    context.net.change(count)
    context.net.run(seconds)
    context.cut_s = seconds


@then("the cut distribution entry kept its old revision and reported its age")
def _(context):
    net = context.net
    core = net.entries["entry-1"].core
    assert core.revision == 1
    assert abs(core.age_s(net.now) - context.cut_s) < SETTLE_S
    net.cut.clear()


@when(
    "no message of control instance 1 and 2 reaches distribution entries 1 to 3"
)
def _(context):
    for control in ("control-1", "control-2"):
        for entry in ("entry-1", "entry-2", "entry-3"):
            context.net.cut.add((control, entry))
    context.net.run(30)


@when(
    "revision 1000000 is reported to a distribution entry each second"
    " for {seconds:d} s"
)
def _(context, seconds):
    net = context.net
    before = net.sent_count["ask"]
    for _ in range(seconds):
        report = messages.RevisionReported("entry-2", 1_000_000)
        net._feed("entry-1", net.entries["entry-1"].core, report)
        net.run(1)
    context.rate = (net.sent_count["ask"] - before) / seconds


@then("that distribution entry polled at most twice a second")
def _(context):
    assert context.rate < 2, context.rate
    context.net.change()


@then(
    "an entry to which only a peer reports a change has it within {bound:g} s"
)
def _(context, bound):
    for seed in range(1, 21):
        took = _seconds_from_peer_report(seed)
        assert took is not None and took <= bound, (seed, took)


def _seconds_from_peer_report(seed):
    """Return the seconds from a peer's report to the change in force."""
    net = fake_distribution.FakeNetwork(seed, entries=2)
    net.change()
    net.run(SETTLE_S)
    net.cut_between(net.control, ["entry-1"])
    net.change()
    peer, entry = net.entries["entry-2"].core, net.entries["entry-1"].core
    assert net.run_until(lambda: peer.revision == 2, 1) is not None, seed
    net._feed("entry-1", entry, messages.RevisionReported("entry-2", 2))
    return net.run_until(lambda: entry.revision == 2, 10)


def _update(revision, value=None):
    value = fake_distribution.value_of(revision) if value is None else value
    return messages.Update(revision, rows.digest(value), 0, value)


def _polls(effects):
    return [
        effect for effect in effects if isinstance(effect, messages.SendPoll)
    ]


def _answer(context, update, strong=False):
    """Answer the newest poll of the follower; collect its effects."""
    answer = messages.PollAnswered(
        context.poll.poll_id, update, strong, 0.0, 0.0
    )
    effects = context.core.handle(answer, context.now)
    while not _polls(effects):
        context.now = max(context.now, context.core.next_deadline())
        effects += context.core.handle(messages.Tick(), context.now)
    context.poll = _polls(effects)[-1]
    context.effects += effects


def _follower(context, unreadable_reason=follower.always_readable):
    context.core = follower.Follower(
        ["control-1"], random.Random(SEED), unreadable_reason=unreadable_reason
    )
    context.now = 0.0
    context.effects = []
    context.poll = _polls(context.core.handle(messages.Tick(), 0.0))[-1]


@given("a distribution follower that cannot read revision 2")
def _(context):
    unreadable = rows.split(fake_distribution.value_of(2))
    _follower(context, lambda value: "too new" if value == unreadable else "")


@when("it is answered with distribution revisions 1, 2 and 3")
def _(context):
    for revision in (1, 2, 3):
        _answer(context, _update(revision), strong=True)


@then("it put distribution revisions 1 and 3 in force and reported 2")
def _(context):
    installed = [
        effect.revision
        for effect in context.effects
        if isinstance(effect, messages.Install)
    ]
    reported = [
        (effect.event, effect.revision)
        for effect in context.effects
        if isinstance(effect, messages.Report)
    ]
    assert installed == [1, 3], installed
    assert reported == [("unreadable", 2)], reported


@given("a distribution follower at revision 1")
def _(context):
    _follower(context)
    _answer(context, _update(1), strong=True)


@when("it is answered with whole values that can't be split")
def _(context):
    context.values = (b"{}", b"[1", b"\xff", b"7")
    for revision, value in enumerate(context.values, 2):
        _answer(context, _update(revision, value))


@then("it reported each as unreadable and kept its value")
def _(context):
    reported = [
        effect.event
        for effect in context.effects
        if isinstance(effect, messages.Report)
    ]
    assert reported == ["unreadable"] * len(context.values), reported
    assert context.core.value == fake_distribution.value_of(1)


@when("it is answered with a wrong difference, then with another value")
def _(context):
    new, old = (
        rows.split(fake_distribution.value_of(revision)) for revision in (2, 1)
    )
    change = difference.between(old, new)
    _answer(context, messages.Update(2, b"another digest..", 1, change))
    context.poll_after = context.poll
    _answer(context, _update(1, b"[]"))


@then("it reported both, kept its value and asked for the whole one")
def _(context):
    reported = [
        effect.event
        for effect in context.effects
        if isinstance(effect, messages.Report)
    ]
    assert reported == ["mismatch", "diverged"], reported
    assert context.core.value == fake_distribution.value_of(1)
    assert context.poll_after.digest == b"", context.poll_after


@when("distribution entry 1 is stopped for 300 s and cut off when it continues")
def _(context):
    net = context.net
    net.freeze("entry-1")
    net.run(300)
    net.isolate("entry-1")
    net.thaw("entry-1")
    net.run(2)


@then("it does not treat the messages in its buffers as recent")
def _(context):
    age = context.net.entries["entry-1"].core.age_s(context.net.now)
    assert age > 290, age


@when("it is answered with distribution revisions 5 and 3")
def _(context):
    _answer(context, _update(5))
    _answer(context, _update(3))


@then("its distribution revision is still 5")
def _(context):
    assert context.core.revision == 5
    assert context.core.value == fake_distribution.value_of(5)


class Distribution(stateful.RuleBasedStateMachine):
    """Loss, cuts, restarts, freezes and changes in any order."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.net = fake_distribution.FakeNetwork(seed, entries=3)
        self.starts = dict.fromkeys(self.net.entries, 0)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0, 30.0]))
    def wait(self, seconds):
        self.net.run(seconds)

    @stateful.rule(count=strategies.sampled_from([1, 2, 700]))
    def change(self, count):
        self.net.change(count if self.net.newest() < 800 else 1)

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.3, 0.9]))
    def lose(self, loss):
        self.net.loss = loss

    @stateful.rule(data=strategies.data())
    def cut(self, data):
        names = [*self.net.control, *self.net.entries]
        self.net.cut.add(
            data.draw(
                strategies.permutations(names).map(lambda p: (p[0], p[1]))
            )
        )

    @stateful.rule(number=strategies.integers(1, 3))
    def isolate_control(self, number):
        # At most one, so that a majority still accepts changes.
        names = list(self.net.control)
        self.net.cut = {
            pair for pair in self.net.cut if not set(pair) <= set(names)
        }
        name = f"control-{number}"
        self.net.cut_between(
            [name], [other for other in names if other != name]
        )

    @stateful.rule()
    def heal(self):
        self.net.cut.clear()
        self.net.loss = 0.0

    @stateful.rule(number=strategies.integers(1, 3))
    def restart(self, number):
        name = f"entry-{number}"
        self.net.boot(name)
        # It must start at or above what a majority has accepted by now.
        self.starts[name] = self._majority_learned()

    @stateful.rule(number=strategies.integers(1, 3), stop=strategies.booleans())
    def stop_or_go_on(self, number, stop):
        if stop:
            self.net.freeze(f"entry-{number}")
        else:
            self.net.thaw(f"entry-{number}")

    def _majority_learned(self):
        revisions = sorted(c.recent.revision for c in self.net.control.values())
        return revisions[len(revisions) // 2]

    @stateful.invariant()
    def holds(self):
        if not hasattr(self, "net"):
            return
        for name, entry in self.net.entries.items():
            revisions = [revision for revision, _ in entry.installed]
            assert revisions == sorted(set(revisions)), "went back"
            assert not revisions or revisions[0] >= self.starts[name], (
                "started from a stale revision"
            )
            core = entry.core
            if core.revision:
                accepted = fake_distribution.value_of(core.revision)
                assert core.value == accepted, "other bytes"

    def teardown(self):
        if not hasattr(self, "net"):
            return
        self.heal()
        for number in (1, 2, 3):
            self.net.thaw(f"entry-{number}")
        newest = self.net.newest()
        took = self.net.run_until(lambda: self.net.all_at(newest), 13)
        assert took is not None, (
            "not in force everywhere after all failures ended"
        )


@when("distribution runs randomly with its invariants checked")
def _(context):
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "0"))
    settings = hypothesis.settings(
        max_examples=max(MIN_RUNS, steps // STEPS_A_RUN),
        stateful_step_count=STEPS_A_RUN,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    machine = Distribution
    if seed is not None:
        machine = hypothesis.seed(int(seed))(Distribution)
        settings = hypothesis.settings(settings, derandomize=False)
    stateful.run_state_machine_as_test(machine, settings=settings)


@then("no distribution invariant broke")
def _(context):
    """The run raises if an invariant breaks."""

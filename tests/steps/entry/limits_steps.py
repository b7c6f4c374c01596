"""Steps of entry/limits.feature."""

import collections
from unittest import mock

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import organisations
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.limits import messages
from hyssopfold.entry import configuration
from hyssopfold.entry import limits
from hyssopfold.transport import datagram_wire

_WINDOW_S = 5.0
_DELAY_S = 0.02


class _Instance(collections.namedtuple("_Instance", "name role state")):
    pass


class _Network:
    """Delivers the datagrams of all entries after a delay."""

    def __init__(self, names):
        self.live = [_Instance(name, "entry", "ready") for name in names]
        self.inboxes = {}
        self.receivers = collections.defaultdict(list)
        self.sent = 0

    async def run(self):
        self._queue_in, queue = trio.open_memory_channel(1000)
        async for due, name, received in queue:
            await trio.sleep_until(due)
            kind = type(received.message)
            if any(instance.name == name for instance in self.live):
                self.inboxes[name, kind].send_nowait(received)

    def post(self, sender, name, message):
        self.sent += 1
        if isinstance(message, messages.UsageReport):
            self.receivers[sender].append((trio.current_time(), name))
        received = datagram_wire.decode(
            datagram_wire.encode_message(sender, message)
        )
        due = trio.current_time() + _DELAY_S
        self._queue_in.send_nowait((due, name, received))


class _Gossip:
    """The gossip of one entry on the network."""

    def __init__(self, network, name):
        self._network = network
        self.myself = _Instance(name, "entry", "ready")
        self.directory = self

    def subscribe(self, kind):
        inbox, receiver = trio.open_memory_channel(1000)
        self._network.inboxes[self.myself.name, kind] = inbox
        return receiver

    def post(self, name, message):
        self._network.post(self.myself.name, name, message)

    def live_instances(self):
        return self._network.live

    def ready_entries(self):
        return self._network.live


class _Configuration:
    """A configuration with one organisation."""

    def __init__(self):
        self._changed = trio.Event()

    def install(self, revision, rate, burst):
        row = organisations.Organisation("press", ("k",), rate, burst)
        new_state = state.State(tables.Tables((), (), (row,)))
        self.snapshot = configuration.Snapshot(revision, new_state)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_revision(self, max_s):
        with trio.move_on_after(max_s):
            await self._changed.wait()


@given(
    "{count:d} entries that share a limit of {rate:d} requests a second and a"
    " burst of {burst:d}"
)
def _(context, count, rate, burst):
    context.names = [f"entry-{number}" for number in range(count)]
    context.first_limit = (float(rate), float(burst))
    context.slack = 0.0


@given("the limit may be exceeded by {slack:d} requests")
def _(context, slack):
    context.slack = float(slack)


@given("{count:d} entries without limits")
def _(context, count):
    context.names = [f"entry-{number}" for number in range(count)]
    context.first_limit = (0.0, 0.0)
    context.slack = 0.0


@when("each entry is asked for {rate:d} requests a second in {seconds:d} s")
def _(context, rate, seconds):
    _run(context, rate, seconds)


@when(
    "each entry is asked for {rate:d} requests a second in {seconds:d} s, and"
    " the coordinator is lost after {lost_s:d} s"
)
def _(context, rate, seconds, lost_s):
    async def lose_coordinator(config, network):
        await trio.sleep(lost_s)
        reports = next(iter(network.receivers.values()))
        context.lost = reports[-1][1]
        # The directory notices the loss later.
        network.inboxes[context.lost, messages.UsageReport] = _Discard()
        await trio.sleep(4.5)
        network.live = [
            instance
            for instance in network.live
            if instance.name != context.lost
        ]

    context.lost = ""
    _run(context, rate, seconds, lose_coordinator)


@when(
    "each entry is asked for {rate:d} requests a second in {seconds:d} s, and"
    " the limit is {limit:d} a second after {changed_s:d} s"
)
def _(context, rate, seconds, limit, changed_s):
    async def change(config, network):
        await trio.sleep(changed_s)
        config.install(2, float(limit), 1.0)

    _run(context, rate, seconds, change)


class _Discard:
    def send_nowait(self, received):
        pass


def _run(context, rate, seconds, disturb=None):
    context.lost = ""
    context.admitted = []
    context.asked = 0
    clock = trio.testing.MockClock(autojump_threshold=0)
    with mock.patch.object(limits, "_now", trio.current_time):
        trio.run(_serve, context, rate, seconds, disturb, clock=clock)


async def _serve(context, rate, seconds, disturb):
    network = context.network = _Network(context.names)
    config = _Configuration()
    config.install(1, *context.first_limit)
    # What an entry admitted before its start is not known.
    components = {
        name: limits.Limits(config, _Gossip(network, name), context.slack)
        for name in context.names
    }
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        await trio.testing.wait_all_tasks_blocked()
        for component in components.values():
            nursery.start_soon(component.run)
        await trio.sleep(2 * _WINDOW_S)
        begin = context.begin = trio.current_time()
        if disturb is not None:
            nursery.start_soon(disturb, config, network)
        for number in range(rate * seconds):
            await trio.sleep_until(begin + number / rate)
            for name, component in components.items():
                if name == context.lost:
                    continue
                context.asked += 1
                if component.admit("press", f"{name} {number}") is None:
                    context.admitted.append(trio.current_time() - begin)
        nursery.cancel_scope.cancel()


def _most_in_window(times):
    return max(
        (sum(at <= other < at + _WINDOW_S for other in times) for at in times),
        default=0,
    )


@then("at most {count:d} requests were admitted in any 5 s")
def _(context, count):
    assert _most_in_window(context.admitted) <= count, context.admitted


@then("at most {count:d} requests were admitted in any 5 s after {begin:d} s")
def _(context, count, begin):
    times = [at for at in context.admitted if at >= begin]
    assert 0 < _most_in_window(times) <= count, times


@then("at least {count:d} requests were admitted")
def _(context, count):
    assert len(context.admitted) >= count, context.admitted


@then("all entries reported to the same entry")
def _(context):
    names = {
        name
        for reports in context.network.receivers.values()
        for _, name in reports
    }
    assert len(names) == 1, names


@then("the others reported to another entry in the end")
def _(context):
    # The coordinator sends no reports, as it has its own.
    last = {
        name
        for sender, reports in context.network.receivers.items()
        for at, name in reports
        if sender != context.lost and at > context.begin + 9.0
    }
    assert len(last) == 1, last
    assert context.lost not in last, last


@then("all requests were admitted and no datagram was sent")
def _(context):
    assert len(context.admitted) == context.asked > 0
    assert not context.network.sent

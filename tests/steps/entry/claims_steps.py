"""Steps of entry/claims.feature."""

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold import http
from hyssopfold.core.attempts import claims as core_claims
from hyssopfold.entry import exchange as exchange_module
from tests.support import datapath

_KEY = (b"idempotency-key", b"order-1")


@when('the data path gets the key "{key}"')
def _(context, key):
    _ask(context, key)


@when('the data path meets "{fault}" under the key "{key}"')
def _(context, fault, key):
    _ask(context, key, fault=fault)


@when('the data path is asked for another path under the key "{key}"')
def _(context, key):
    _ask(context, key, path="/y")


def _ask(context, key, fault="", path="/x"):
    async def step(found):
        answer = await found.ask(
            "POST", path, fault, b"an order", [("idempotency-key", key)]
        )
        # Settling goes on behind the answer.
        await trio.sleep(0.05)
        return answer

    context.script.append(step)


def _exchange(number):
    scope = {
        "method": "POST",
        "path": "/orders",
        "raw_path": b"/orders",
        "query_string": b"",
        "headers": [(b"host", b"a"), _KEY, (b"content-length", b"3")],
    }
    snapshot = datapath.FakeConfiguration().snapshot
    exchange = exchange_module.Exchange(scope, None, None, snapshot, 0.0)
    exchange.request_id = f"request-{number}"
    return exchange


@given("entries {first:d} to {last:d} that hold claims")
def _(context, first, last):
    context.names = [f"entry-{number}" for number in range(first, last + 1)]
    context.claim_script = []


class _Scene:
    """Entries, with the holders of the key in their order."""

    def __init__(self, names):
        self.entries = datapath.FakeEntries(names)
        self.claims = self.entries.claims

    async def prepare(self):
        held = await self.grant("not-run")
        self.ranked = core_claims.rank_holders(held.claim_id, list(self.claims))

    async def grant(self, state):
        entry = self.claims["entry-1"]
        exchange = _exchange(1)
        held = await entry.claim(exchange)
        assert not isinstance(held, http.Refusal), held
        if state != "running":
            entry.settle(held, exchange.request_id, state, 200)
            with trio.move_on_after(0.05):
                await entry.run()
        return held

    def take_out(self, name):
        known = self.entries.directory.instances
        word = known.get(name)
        gone = word._replace(state="leaving", sequence=word.sequence + 1)
        known.update(name, gone, 0.0)

    async def leave(self, name):
        self.take_out(name)
        await self.claims[name].hand_over()
        self.entries.down.add(name)


def _then_do(context, step):
    context.claim_script.append(step)


@when("entry 1 was granted the key and it is {state}")
def _(context, state):
    async def step(scene):
        await scene.grant(state)

    _then_do(context, step)


@when("nothing else happens")
def _(context):
    pass


@when("the key's first holder dies")
def _(context):
    async def step(scene):
        scene.entries.down.add(scene.ranked[0])
        scene.take_out(scene.ranked[0])

    _then_do(context, step)


@when("the key's {which} holder is back")
def _(context, which):
    async def step(scene):
        index = ("first", "second").index(which)
        scene.entries.start(scene.ranked[index], 2)

    _then_do(context, step)


@when("the key's first holder is cut off")
def _(context):
    async def step(scene):
        scene.entries.down.add(scene.ranked[0])

    _then_do(context, step)


@when("both holders are cut off")
def _(context):
    async def step(scene):
        scene.entries.down.update(scene.ranked[:2])

    _then_do(context, step)


@when("the key's first holder leaves")
def _(context):
    async def step(scene):
        await scene.leave(scene.ranked[0])

    _then_do(context, step)


@when("both holders leave, one by one")
def _(context):
    async def step(scene):
        for name in scene.ranked[:2]:
            await scene.leave(name)

    _then_do(context, step)


@when("a new entry comes")
def _(context):
    async def step(scene):
        scene.entries.start("entry-6", 1)

    _then_do(context, step)


async def _ask_again(context):
    scene = _Scene(context.names)
    await scene.prepare()
    for step in context.claim_script:
        await step(scene)
    asking = next(
        name for name in context.names[1:] if name not in scene.entries.down
    )
    return await scene.claims[asking].claim(_exchange(2))


@then('another entry refuses the key as "{kind}"')
def _(context, kind):
    refusal = trio.run(_ask_again, context)
    assert isinstance(refusal, http.Refusal), refusal
    assert refusal.error == f"key-{kind}", refusal
    outcome = "not-run" if kind == "unreachable" else "unknown"
    assert refusal.outcome == outcome, refusal

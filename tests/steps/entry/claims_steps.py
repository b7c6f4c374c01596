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


@when('the data path gets a request with the key "{key}"')
def _(context, key):
    _ask(context, key)


@when('the data path gets a request that meets "{fault}" with the key "{key}"')
def _(context, fault, key):
    _ask(context, key, fault=fault)


@when('the data path gets a request for another path with the key "{key}"')
def _(context, key):
    _ask(context, key, path="/y")


def _ask(context, key, fault="", path="/x"):
    async def step(data_path):
        answer = await data_path.ask(
            "POST", path, fault, b"an order", [("idempotency-key", key)]
        )
        # Claims are settled after the answer was sent.
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


@given("entries {first:d} to {last:d} as holders of claims")
def _(context, first, last):
    context.names = [f"entry-{number}" for number in range(first, last + 1)]
    context.claim_steps = []


class _ClaimEntries:
    """Entries, and their ranking as holders of the key."""

    def __init__(self, names):
        self.holders = datapath.FakeClaimHolders(names)
        self.claims = self.holders.claims

    async def prepare(self):
        granted = await self.grant("not-run")
        self.ranked = core_claims.rank_holders(
            granted.claim_id, list(self.claims)
        )

    async def grant(self, state):
        entry = self.claims["entry-1"]
        exchange = _exchange(1)
        granted = await entry.claim(exchange)
        assert not isinstance(granted, http.Refusal), granted
        if state != "running":
            entry.settle(granted, exchange.request_id, state, 200)
            with trio.move_on_after(0.05):
                await entry.run()
        return granted

    def announce_leaving(self, name):
        instances = self.holders.directory.instances
        record = instances.get(name)
        leaving = record._replace(state="leaving", sequence=record.sequence + 1)
        instances.update(name, leaving, 0.0)

    async def leave(self, name):
        self.announce_leaving(name)
        await self.claims[name].hand_over()
        self.holders.down.add(name)


def _add_step(context, step):
    context.claim_steps.append(step)


@when("entry 1 is granted the key and its request is {state}")
def _(context, state):
    async def step(claim_entries):
        await claim_entries.grant(state)

    _add_step(context, step)


@when("nothing else happens")
def _(context):
    pass


@when("the key's first holder crashes")
def _(context):
    async def step(claim_entries):
        claim_entries.holders.down.add(claim_entries.ranked[0])
        # Like the end of its lease, this removes it from the possible holders.
        claim_entries.announce_leaving(claim_entries.ranked[0])

    _add_step(context, step)


@when("the key's {which} holder restarts")
def _(context, which):
    async def step(claim_entries):
        index = ("first", "second").index(which)
        claim_entries.holders.start(claim_entries.ranked[index], 2)

    _add_step(context, step)


@when("the key's first holder is unreachable")
def _(context):
    async def step(claim_entries):
        claim_entries.holders.down.add(claim_entries.ranked[0])

    _add_step(context, step)


@when("both holders are unreachable")
def _(context):
    async def step(claim_entries):
        claim_entries.holders.down.update(claim_entries.ranked[:2])

    _add_step(context, step)


@when("the key's first holder leaves")
def _(context):
    async def step(claim_entries):
        await claim_entries.leave(claim_entries.ranked[0])

    _add_step(context, step)


@when("both holders leave, one by one")
def _(context):
    async def step(claim_entries):
        for name in claim_entries.ranked[:2]:
            await claim_entries.leave(name)

    _add_step(context, step)


@when("a new entry joins")
def _(context):
    async def step(claim_entries):
        claim_entries.holders.start("entry-6", 1)

    _add_step(context, step)


async def _ask_again(context):
    claim_entries = _ClaimEntries(context.names)
    await claim_entries.prepare()
    for step in context.claim_steps:
        await step(claim_entries)
    asking = next(
        name
        for name in context.names[1:]
        if name not in claim_entries.holders.down
    )
    return await claim_entries.claims[asking].claim(_exchange(2))


@then('another entry refuses the key as "{kind}"')
def _(context, kind):
    refusal = trio.run(_ask_again, context)
    assert isinstance(refusal, http.Refusal), refusal
    assert refusal.error == f"key-{kind}", refusal
    outcome = "not-run" if kind == "unreachable" else "unknown"
    assert refusal.outcome == outcome, refusal

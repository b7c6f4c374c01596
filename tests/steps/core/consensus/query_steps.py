"""Steps of core/consensus/query.feature."""

import random

from behave import given
from behave import then
from behave import when

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import proposer
from hyssopfold.core.consensus import replica

_OLD = messages.Ballot(5, "i1")
_NEW = messages.Ballot(6, "i5")


class _PeerView:
    def is_majority_reachable(self, members):
        return True


def _member(number):
    return messages.Member(
        f"control-{number}", f"address {number}", f"i{number}"
    )


@given(
    "a read at one of {count:d} members that has accepted revision {revision:d}"
)
def _(context, count, revision):
    members = tuple(_member(number) for number in range(1, count + 1))
    context.register = messages.Register(
        cluster="c", revision=revision, value=b"old", members=members
    )
    durable = messages.DurableState(_OLD, _OLD, context.register)
    identity = messages.Identity(members[0], 1, "n1")
    context.replica = replica.Replica(identity, durable)
    context.proposer = proposer.Proposer(
        context.replica, random.Random(1), 1.0, 8.0, lambda now: _PeerView()
    )
    context.effects = []
    context.proposer.submit(messages.Read(1), 0.0, context.effects)
    context.proposer.advance(0.0, context.effects)
    context.others = [member.id for member in members[1:]]


def _answer(context, count, ballot):
    for _ in range(count):
        answer = messages.QueryAnswer(1, ballot)
        context.proposer.on_query_answer(
            context.others.pop(0), answer, 0.1, context.effects
        )


@when("{count:d} other member answers that it has accepted revision 4")
@when("{count:d} other members answer that they have accepted revision 4")
def _(context, count):
    _answer(context, count, _OLD)


@when("the member accepts a proposed revision {revision:d}")
def _(context, revision):
    proposed = context.register._replace(revision=revision, value=b"new")
    vote = messages.Accept(_NEW, proposed)
    assert context.replica.vote(vote, context.effects) is not None


@when(
    "{count:d} other member answers that it has accepted the proposed"
    " revision 5"
)
def _(context, count):
    _answer(context, count, _NEW)


def _results(context):
    return [
        effect.result
        for effect in context.effects
        if isinstance(effect, messages.Reply)
    ]


@then("the reading member does not treat revision 5 as chosen")
def _(context):
    assert context.replica.chosen_ballot < _NEW, context.replica.chosen
    assert not _results(context), _results(context)


@then("the read of the member returns revision {revision:d}")
def _(context, revision):
    (result,) = _results(context)
    assert result.register.revision == revision, result

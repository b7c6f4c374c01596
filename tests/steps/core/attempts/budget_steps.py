"""Steps of core/attempts/budget.feature."""

import random

from behave import given
from behave import then
from behave import when

from hyssopfold.core.attempts import budget

_RUN_S = 60
_WINDOW_S = 10


@given("a budget of a tenth, with a reserve of {reserve:g}")
def _(context, reserve):
    context.budget = budget.RetryBudget(0.1, reserve)
    context.now = 100.0


@when("{rate:d} requests a second come for {seconds:d} s without a retry")
def _(context, rate, seconds):
    for _ in range(rate * seconds):
        context.now += 1 / rate
        context.budget.earn(context.now)


@then("{count:d} retries in one second are allowed")
def _(context, count):
    for number in range(count):
        assert context.budget.spend(), number


@then("one more retry is not allowed")
def _(context):
    assert not context.budget.spend()


@then(
    "in {runs:d} random runs of {entries:d} entries no 10 s have more retries"
    " than a fifth of the requests and the reserves"
)
def _(context, runs, entries):
    for seed in range(runs):
        rng = random.Random(seed)
        reserve = 82 / entries
        budgets = [budget.RetryBudget(0.1, reserve) for _ in range(entries)]
        requests, retries = _simulate(rng, budgets)
        _check(requests, retries, reserve * entries, seed)


def _simulate(rng, budgets):
    """Return the requests and retries of each second."""
    requests, retries = [0] * _RUN_S, [0] * _RUN_S
    failing = 0.0
    for second in range(_RUN_S):
        if second % 5 == 0:
            failing = rng.choice((0.0, 0.0, 0.1, 1.0))
        for _ in range(rng.choice((20, 300, 900))):
            entry_budget = rng.choice(budgets)
            entry_budget.earn(second + 0.5)
            requests[second] += 1
            if rng.random() < failing:
                retries[second] += entry_budget.spend()
    return requests, retries


def _check(requests, retries, reserve, seed):
    for end in range(_WINDOW_S, _RUN_S):
        begin = end - _WINDOW_S
        retried = sum(retries[begin:end])
        requested = sum(requests[begin:end])
        before = sum(requests[max(0, begin - _WINDOW_S) : begin])
        allowed = 0.2 * max(requested, before) + reserve
        assert retried <= allowed, (seed, end, retried, allowed)

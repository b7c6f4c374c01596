"""Steps of core/attempts/attempt.feature."""

from behave import then
from behave import when

from hyssopfold.core.attempts import attempt


@when("an attempt that was {sent} fails, repeatable {repeatable}")
def _(context, sent, repeatable):
    context.verdict = attempt.after_failure(
        attempt.Sent(sent), repeatable == "yes", True, 2
    )


@then("retry is {retry} and the caller is told {outcome}")
def _(context, retry, outcome):
    assert context.verdict.retry == (retry == "yes"), context.verdict
    assert context.verdict.outcome == outcome, context.verdict

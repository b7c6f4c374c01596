"""Run members that break one rule, to show that the checks detect it."""

import contextlib
from unittest import mock

import hypothesis
from hypothesis import stateful

from hyssopfold import errors
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import quorums
from tests.support import register_machine

_EXAMPLES = 100
_STEPS = 50
# Which check fails first depends on the examples that Hypothesis draws, and
# these depend on the constants of all loaded modules.
_SEEDS = range(1, 9)


def _minority(members, ids):
    return any(member.id in ids for member in members)


def _id_without_incarnation(self):
    """Return the member's name as its id, without the incarnation."""
    return self.name


RULES = {
    "a majority decides": (quorums, "has_majority", _minority),
    "a blank disk is another member": (
        messages.Member,
        "id",
        property(_id_without_incarnation),
    ),
}


@contextlib.contextmanager
def broken(rule):
    """Patch a rule while the block runs."""
    target, name, replacement = RULES[rule]
    with mock.patch.object(target, name, replacement):
        yield


class _Unreplayed(register_machine.RegisterMachine):
    is_replayed = False


MACHINES = {
    "the history": _Unreplayed,
    "the specification": register_machine.RegisterMachine,
}


def catch(rule, checker, message):
    """Run random operations on members that break `rule`.

    Tries one seed after another until a check fails with `message`.

    Args:
        rule: A key of `RULES`.
        checker: A key of `MACHINES`.
        message: Part of the expected failure message.

    Returns:
        The failure message of the last run, or "nothing".
    """
    failure = "nothing"
    for seed in _SEEDS:
        failure = _catch(rule, checker, seed)
        if message in failure:
            break
    return failure


def _catch(rule, checker, seed):
    settings = hypothesis.settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        verbosity=hypothesis.Verbosity.quiet,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=(hypothesis.Phase.generate,),
    )
    machine = type(MACHINES[checker].__name__, (MACHINES[checker],), {})
    with broken(rule):
        try:
            stateful.run_state_machine_as_test(
                hypothesis.seed(seed)(machine), settings=settings
            )
        except (AssertionError, errors.InvariantError) as exc:
            return str(exc).splitlines()[0]
    return "nothing"

"""Members that each break one rule, to show that the checks can fail."""

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


def _minority(members, ids):
    return any(member.id in ids for member in members)


def _one_incarnation(self):
    """Name a member by its name alone, whatever its disk."""
    return self.name


RULES = {
    "a majority decides": (quorums, "has_majority", _minority),
    "a blank disk is another member": (
        messages.Member,
        "id",
        property(_one_incarnation),
    ),
}


@contextlib.contextmanager
def broken(rule):
    """Break a rule for as long as the block runs."""
    target, name, replacement = RULES[rule]
    with mock.patch.object(target, name, replacement):
        yield


class _Unreplayed(register_machine.RegisterMachine):
    is_replayed = False


MACHINES = {
    "the history": _Unreplayed,
    "the specification": register_machine.RegisterMachine,
}


def catch(rule, judge):
    """Run members that break `rule` at random; return what `judge` found."""
    settings = hypothesis.settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        verbosity=hypothesis.Verbosity.quiet,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=(hypothesis.Phase.generate,),
    )
    with broken(rule):
        try:
            stateful.run_state_machine_as_test(
                MACHINES[judge], settings=settings
            )
        except (AssertionError, errors.InvariantError) as exc:
            return str(exc).splitlines()[0]
    return "nothing"

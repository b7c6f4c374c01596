"""Random runs of the state machine of a request's attempts.

The model records what each fake server did, which the machine under test cannot
observe, and compares it with the outcomes that the machine reports.
"""

import os

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from hyssopfold.core.attempts import attempt
from hyssopfold.core.attempts import budget
from hyssopfold.core.attempts import messages

SERVERS = ("s1", "s2", "s3", "s4")
_CI_EXAMPLES = 150
_CI_STEPS = 60
_PHASE = attempt.Phase


class Machine(stateful.RuleBasedStateMachine):
    """One request, driven by random events that its phase allows."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.budget = budget.RetryBudget()
        self.attempts = None

    @stateful.precondition(lambda self: self.in_phase(None, _PHASE.DONE))
    @stateful.rule(
        repeatable=strategies.booleans(),
        has_body=strategies.booleans(),
        limit_s=strategies.floats(1, 30),
    )
    def begin(self, repeatable, has_body, limit_s):
        self.runs = 0
        self.bytes_sent = False
        self.outcomes = []
        self.relays = 0
        request = messages.Request("mine", repeatable, has_body, limit_s)
        self.attempts = attempt.Attempts(request, self.budget)
        self._handle(messages.Started())

    def _handle(self, event):
        for effect in self.attempts.handle(event, self.now):
            match effect:
                case messages.Send():
                    self.bytes_sent = False
                case messages.Refuse():
                    self.outcomes.append(effect.outcome)
                case messages.Relay():
                    self.relays += 1
                    assert self.echoed in ("mine", None), (
                        "relayed the answer of another request"
                    )
                case messages.Finish():
                    self._check_end(effect)

    def _check_end(self, finish):
        request = self.attempts.request
        if messages.Outcome.NOT_RUN in self.outcomes:
            assert self.runs == 0, "not-run reported but the request ran"
        if not request.repeatable:
            assert self.runs <= 1, "not repeatable but ran twice"
        if finish.outcome == "answered":
            assert self.relays == 1, "answered without a relayed answer"
        assert len(self.outcomes) + (finish.outcome == "answered") <= 1

    def in_phase(self, *phases):
        phase = self.attempts.phase if self.attempts else None
        return phase in phases

    @stateful.rule(seconds=strategies.floats(0, 5))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.precondition(lambda self: self.in_phase(_PHASE.ACQUIRING))
    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def grant(self, server):
        if server not in self.attempts.tried:
            self._handle(messages.Granted(server))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.ACQUIRING))
    @stateful.rule(draw=strategies.integers(0, 4))
    def no_slot(self, draw):
        if draw == 0:
            self._handle(messages.NoSlot("no-free-slot", 1.0))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.SENDING))
    @stateful.rule(
        runs=strategies.booleans(), then=strategies.sampled_from(range(9))
    )
    def send(self, runs, then):
        """Send bytes; the server may run the request. `then` is the result."""
        if not self.bytes_sent:
            self.bytes_sent = True
            self._handle(messages.BytesSent())
            if self.attempts.request.has_body:
                self._handle(messages.BodyBegan())
                self._handle(messages.BodySent())
        shed = then == 3
        if runs and not shed:
            self.runs += 1
        answers = {
            0: messages.AttemptFailed("reset"),
            1: messages.AnswerBegan(200, "mine", False, True),
            2: messages.AnswerBegan(200, "another", False, True),
            3: messages.AnswerBegan(503, "mine", True, True),
            4: messages.AnswerBegan(503, None, True, True),
            5: messages.AnswerBegan(200, None, False, False),
            6: messages.AnswerBegan(503, "another", True, True),
            7: messages.AnswerBegan(101, "mine", False, True),
        }
        answer = answers.get(then, messages.AttemptFailed("silent"))
        self.echoed = getattr(answer, "echoed", None)
        self._handle(answer)
        self.bytes_sent = False

    @stateful.precondition(lambda self: self.in_phase(_PHASE.SENDING))
    @stateful.rule(drop=strategies.booleans())
    def lose_before_sending(self, drop):
        if not self.bytes_sent:
            if drop:
                self._handle(messages.BodyDropped())
            self._handle(messages.AttemptFailed("refused"))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.RELAYING))
    @stateful.rule(whole=strategies.booleans())
    def end_answer(self, whole):
        self._handle(
            messages.AnswerEnded() if whole else messages.AttemptFailed("cut")
        )

    @stateful.precondition(lambda self: not self.in_phase(None, _PHASE.DONE))
    @stateful.rule(draw=strategies.integers(0, 9))
    def caller_leaves(self, draw):
        if draw == 0:
            self._handle(messages.CallerGone())

    @stateful.invariant()
    def answers_at_most_once(self):
        if self.attempts is not None:
            assert self.relays <= 1
            limit = messages.MAX_ATTEMPTS
            assert self.attempts.counted_attempts <= limit
            assert len(self.attempts.tried) <= limit + attempt.EXTRA_ATTEMPTS


def run():
    """Run the machine and return the number of examples.

    HYSSOP_SOAK_STEPS sets the number of examples of a long run, and
    HYSSOP_SOAK_SEED its seed.
    """
    soak = os.environ.get("HYSSOP_SOAK_STEPS")
    seed = int(os.environ.get("HYSSOP_SOAK_SEED", "0"))
    examples = int(soak) if soak else _CI_EXAMPLES
    machine = hypothesis.seed(seed)(Machine) if soak else Machine
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=_CI_STEPS,
            derandomize=not soak,
            deadline=None,
            database=None,
        ),
    )
    return examples

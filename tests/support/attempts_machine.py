"""Random runs over the attempts of a request, against servers that lie in wait.

The model keeps what each fake server really did, which the machine under test
cannot see, and holds the machine's words against it.
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
    """One request, driven by any events that its phase allows."""

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
        self.bytes_seen = False
        self.told = []
        self.relays = 0
        request = messages.Request("mine", repeatable, has_body, limit_s)
        self.attempts = attempt.Attempts(request, self.budget)
        self._tell(messages.Started())

    def _tell(self, event):
        for effect in self.attempts.handle(event, self.now):
            match effect:
                case messages.Send():
                    self.bytes_seen = False
                case messages.Refuse():
                    self.told.append(effect.outcome)
                case messages.Relay():
                    self.relays += 1
                    assert self.echoed in ("mine", None), "another's answer"
                case messages.Finish():
                    self._check_end(effect)

    def _check_end(self, finish):
        request = self.attempts.request
        if messages.Outcome.NOT_RUN in self.told:
            assert self.runs == 0, "not-run said of what ran"
        if not request.repeatable:
            assert self.runs <= 1, "ran twice"
        if finish.outcome == "answered":
            assert self.relays == 1, "an answer out of nothing"
        assert len(self.told) + (finish.outcome == "answered") <= 1

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
            self._tell(messages.Granted(server))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.ACQUIRING))
    @stateful.rule(draw=strategies.integers(0, 4))
    def no_slot(self, draw):
        if draw == 0:
            self._tell(messages.NoSlot("no-free-slot", 1.0))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.SENDING))
    @stateful.rule(
        runs=strategies.booleans(), then=strategies.sampled_from(range(9))
    )
    def send(self, runs, then):
        """Hand bytes over; the server may run them, and then does `then`."""
        if not self.bytes_seen:
            self.bytes_seen = True
            self._tell(messages.BytesSent())
            if self.attempts.request.has_body:
                self._tell(messages.BodyBegan())
                self._tell(messages.BodySent())
        shed = then == 3
        if runs and not shed:
            self.runs += 1
        answers = {
            0: messages.Lost("reset"),
            1: messages.AnswerBegan(200, "mine", False, True),
            2: messages.AnswerBegan(200, "another", False, True),
            3: messages.AnswerBegan(503, "mine", True, True),
            4: messages.AnswerBegan(503, None, True, True),
            5: messages.AnswerBegan(200, None, False, False),
            6: messages.AnswerBegan(503, "another", True, True),
            7: messages.AnswerBegan(101, "mine", False, True),
        }
        answer = answers.get(then, messages.Lost("silent"))
        self.echoed = getattr(answer, "echoed", None)
        self._tell(answer)
        self.bytes_seen = False

    @stateful.precondition(lambda self: self.in_phase(_PHASE.SENDING))
    @stateful.rule(drop=strategies.booleans())
    def lose_before_sending(self, drop):
        if not self.bytes_seen:
            if drop:
                self._tell(messages.BodyDropped())
            self._tell(messages.Lost("refused"))

    @stateful.precondition(lambda self: self.in_phase(_PHASE.RELAYING))
    @stateful.rule(whole=strategies.booleans())
    def end_answer(self, whole):
        self._tell(messages.AnswerEnded() if whole else messages.Lost("cut"))

    @stateful.precondition(lambda self: not self.in_phase(None, _PHASE.DONE))
    @stateful.rule(draw=strategies.integers(0, 9))
    def caller_leaves(self, draw):
        if draw == 0:
            self._tell(messages.CallerGone())

    @stateful.invariant()
    def answers_at_most_once(self):
        if self.attempts is not None:
            assert self.relays <= 1
            most = messages.MAX_ATTEMPTS
            assert self.attempts.counted_attempts <= most
            assert len(self.attempts.tried) <= most + attempt.EXTRA_ATTEMPTS


def run():
    """Run the machine; return the number of examples asked for.

    HYSSOP_SOAK_SEED and HYSSOP_SOAK_STEPS make it long.
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

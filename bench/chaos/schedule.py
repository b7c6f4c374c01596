"""The schedule of the faults of a chaos test, drawn from a seed."""

import random
from typing import NamedTuple

from bench.chaos import layout

# Kinds of fault. `BLANK` kills a control instance and deletes its data folder,
# `STOP` is a planned stop, `CUT` and `DELAY` affect the link to a control
# instance.
KILL = "kill"
FREEZE = "freeze"
BLANK = "blank"
STOP = "stop"
CUT = "cut"
DELAY = "delay"

# Shortest and longest duration of each kind of fault, in seconds.
_DURATION_RANGE_S = {
    KILL: (0.5, 3.0),
    FREEZE: (0.5, 6.0),
    BLANK: (0.5, 3.0),
    STOP: (0.0, 0.5),
    CUT: (1.0, 8.0),
    DELAY: (2.0, 8.0),
}
_KINDS = {
    layout.CONTROL: (KILL, FREEZE, BLANK, STOP, CUT, DELAY),
    layout.ENTRY: (KILL, FREEZE, STOP, STOP),
    layout.SERVER: (KILL, FREEZE, STOP, STOP),
}
_ROLE_WEIGHTS = {layout.CONTROL: 4, layout.ENTRY: 3, layout.SERVER: 3}
_MEAN_GAP_S = 2.0
# No faults occur in the first seconds, in which the system forms, nor in the
# last ones, which show whether it recovers.
QUIET_START_S = 3.0
QUIET_END_S = 8.0
_PAIR_PROBABILITY = 0.3
# Longest duration of a planned stop, and duration of a start.
STOP_MAX_S = 15.0
START_S = 2.0


class Fault(NamedTuple):
    """One fault; `begin_s` counts from the start of the run."""

    begin_s: float
    kind: str
    target: str
    duration_s: float


def plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run in the order of their begin.

    Only one control instance fails at a time. Otherwise an accepted edit could
    be lost for good, with all the disks that stored it. Faults of entries and
    servers may overlap with any fault of another process; some faults start in
    pairs.

    Args:
        seed: Seed of the random numbers.
        seconds: Length of the run.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    busy_until: dict[str, float] = {}
    begin_s = QUIET_START_S
    while begin_s < seconds - QUIET_END_S:
        for _ in range(2 if rng.random() < _PAIR_PROBABILITY else 1):
            fault = _draw(rng, begin_s)
            group = _exclusion_group(fault.target)
            if busy_until.get(group, 0.0) <= begin_s:
                faults.append(fault)
                busy_until[group] = (
                    begin_s + fault.duration_s + _recovery_s(fault)
                )
        begin_s += rng.expovariate(1 / _MEAN_GAP_S)
    return faults


def _draw(rng: random.Random, begin_s: float) -> Fault:
    roles = list(_ROLE_WEIGHTS)
    (role,) = rng.choices(roles, list(_ROLE_WEIGHTS.values()))
    kind = rng.choice(_KINDS[role])
    target = rng.choice(layout.names(role))
    shortest, longest = _DURATION_RANGE_S[kind]
    return Fault(
        round(begin_s, 3), kind, target, rng.uniform(shortest, longest)
    )


def _exclusion_group(target: str) -> str:
    """Return the name of the group that has at most one fault at a time."""
    role = layout.role_of(target)
    return layout.CONTROL if role == layout.CONTROL else target


def _recovery_s(fault: Fault) -> float:
    """Return the seconds after a fault until its target may fail again.

    A planned stop lasts until requests in flight have ended and cached look-ups
    have expired. A process that has just been started has no signal handlers
    yet.
    """
    if fault.kind == STOP:
        return STOP_MAX_S
    return 4.0 if layout.role_of(fault.target) == layout.CONTROL else START_S

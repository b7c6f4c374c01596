"""Specification of a shift: two entries, a plan replaced midway, clocks apart.

Shares are whole steps of the cap in a tick. An entry hears of a plan up to two
ticks late, restarts by asking the other, or is frozen. It holds: no entry
moves faster than the cap, a restarted one stands where a running one stands or
did, and both end at the newest plan's target. Run as a script: it checks
every state, then that each broken variant fails.
"""

import sys
from typing import NamedTuple

import minicheck

FULL = 3
HORIZON = 9
LATE = 2


class Variant(NamedTuple):
    """What an entry does wrong."""

    follows_clock: bool = False
    restarts_by_clock: bool = False
    replaces_from_start: bool = False
    catches_up: bool = False


FIELDS = (
    "tick",
    "replaced_at",
    "share_a",
    "share_b",
    "heard_a",
    "heard_b",
    "skew_a",
    "stopped_b",
    "moved_a",
    "moved_b",
    "jumped",
    "away",
)


def _target(heard):
    """Return the share that the newest plan heard of ends at."""
    return FULL if heard == 1 else 0


def _plan(heard, tick, replaced_at, skew, variant):
    """Return the share that the plan heard of wants at a clock."""
    now = tick + skew
    if heard == 1:
        return max(0, min(FULL, now))
    source = min(FULL, replaced_at)
    if variant.replaces_from_start:
        source = FULL
    return max(0, min(FULL, source - max(0, now - replaced_at)))


def _step(share, wanted, variant, passed=1):
    """Return the share after a tick: towards the plan, by a step at most."""
    if variant.follows_clock:
        return wanted
    most = passed if variant.catches_up else 1
    return share + max(-most, min(most, wanted - share))


def _wanted(heard, tick, replaced_at, skew, variant):
    """Return what an entry moves to: by clock, or by time since it heard."""
    by_clock = _plan(heard, tick, replaced_at, skew, variant)
    by_age = _plan(heard, tick - LATE, replaced_at, 0, variant)
    if variant.follows_clock:
        return by_clock
    target = _target(heard)
    return min((by_clock, by_age), key=lambda share: abs(target - share))


def transitions(variant):
    """Return the transition function of a variant."""

    def step(state):
        (tick, replaced_at, a, b, heard_a, heard_b, skew, stopped, *_) = state
        if tick >= HORIZON:
            return []
        following = []
        tick += 1
        choices = [replaced_at]
        if replaced_at < 0 and 1 <= tick <= FULL:
            choices.append(tick)
        for replaced in choices:
            newest = 2 if replaced >= 0 else 1
            must = replaced >= 0 and tick >= replaced + LATE
            hears_a = {newest} if must else {heard_a, newest}
            hears_b = {newest} if must else {heard_b, newest}
            for new_a in hears_a:
                wanted = _wanted(new_a, tick, replaced, skew, variant)
                after_a = _step(a, wanted, variant)
                # Beyond where the new plan began, and yet further from its end.
                away = int(new_a == 2 and after_a > a >= min(FULL, replaced))
                for new_b in hears_b:
                    for event in ("runs", "freezes", "restarts"):
                        after_b, still, jumped = _other(
                            event, b, a, stopped, new_b, tick, replaced,
                            skew, variant,
                        )  # fmt: skip
                        if still > 2:
                            continue
                        following.append(
                            (
                                event,
                                (
                                    tick, replaced, after_a, after_b, new_a,
                                    new_b, skew, still, abs(after_a - a),
                                    0 if event == "restarts"
                                    else abs(after_b - b),
                                    jumped,
                                    away,
                                ),
                            )
                        )  # fmt: skip
        return following

    return step


def _other(event, b, a, stopped, heard, tick, replaced, skew, variant):
    """Return the second entry's share, ticks frozen, and if it jumped."""
    if event == "freezes":
        return b, stopped + 1, 0
    if event == "restarts":
        if variant.restarts_by_clock:
            after = _plan(heard, tick, replaced, skew, variant)
            return after, 0, int(abs(after - a) > 1)
        return a, 0, 0
    wanted = _wanted(heard, tick, replaced, 0, variant)
    return _step(b, wanted, variant, 1 + stopped), 0, 0


def check(variant, skew):
    """Return the properties' results for a variant and a wrong clock."""
    protocol = minicheck.Protocol(
        name=f"shift {variant} skew {skew}",
        candidate=False,
        fields=FIELDS,
        initial=(0, -1, 0, 0, 1, 1, skew, 0, 0, 0, 0, 0),
        transitions=transitions(variant),
        invariants={
            "first_under_cap": lambda s: s["moved_a"] <= 1,
            "second_under_cap": lambda s: s["moved_b"] <= 1,
            "never_away": lambda s: not s["away"],
            "restart_no_jump": lambda s: not s["jumped"],
            "ends_at_target": lambda s: (
                s["tick"] < HORIZON or s["share_a"] == _target(s["heard_a"])
            ),
        },
    )
    found = minicheck.check_safety(protocol)
    return {
        name: one["holds"] for name, one in found["properties"].items()
    }, found


def main():
    """Check the specification and its broken variants."""
    good = True
    for skew in (-2, 0, 2):
        holds, _ = check(Variant(), skew)
        print(f"shift, clock of the first entry {skew:+d}: {holds}")
        good = good and all(holds.values())
    for field in Variant._fields:
        variant = Variant(**{field: True})
        results = [check(variant, skew)[0] for skew in (-2, 0, 2)]
        failed = {n for holds in results for n, ok in holds.items() if not ok}
        print(f"broken, {field}: fails {sorted(failed)}")
        good = good and bool(failed)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())

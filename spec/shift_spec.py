"""Specification of a shift of traffic between two regions.

Two entries follow a plan that may be replaced midway; the clock of the first
entry may be up to two ticks wrong. The share that an entry has moved is counted
in units of the cap per tick. Each entry receives a plan up to two ticks late.
The second entry may be frozen for up to two ticks in a row and may restart; it
then adopts the share of the first.

The checked properties: no entry moves faster than the cap, the first entry
doesn't move away from the target of the plan that replaced the first plan, the
second entry adopts the share of the first without a jump when it restarts, and
the first entry reaches the target of the newest plan. Run as a script, the
module checks all states and then that each broken variant violates a property.
"""

import sys
from typing import NamedTuple

import minicheck

FULL_SHARE = 3
HORIZON = 9
MAX_DELAY_TICKS = 2


class Variant(NamedTuple):
    """Faults of an entry's algorithm; all False is the correct algorithm."""

    follows_clock: bool = False
    restarts_by_clock: bool = False
    replaces_from_start: bool = False
    catches_up: bool = False


FIELDS = (
    "tick",
    "replaced_at",
    "share_a",
    "share_b",
    "plan_a",
    "plan_b",
    "skew_a",
    "frozen_ticks_b",
    "moved_a",
    "moved_b",
    "jumped",
    "reversed",
)


def _target(plan):
    """Return the share at the end of plan 1 or of its replacement, plan 2."""
    return FULL_SHARE if plan == 1 else 0


def _planned_share(plan, tick, replaced_at, skew, variant):
    """Return the share that a plan implies at a clock with an error `skew`."""
    local_tick = tick + skew
    if plan == 1:
        return max(0, min(FULL_SHARE, local_tick))
    source = min(FULL_SHARE, replaced_at)
    if variant.replaces_from_start:
        source = FULL_SHARE
    return max(0, min(FULL_SHARE, source - max(0, local_tick - replaced_at)))


def _next_share(share, desired, variant, elapsed_ticks=1):
    """Return the share after a tick: at most one step towards the plan."""
    if variant.follows_clock:
        return desired
    max_step = elapsed_ticks if variant.catches_up else 1
    return share + max(-max_step, min(max_step, desired - share))


def _desired_share(plan, tick, replaced_at, skew, variant):
    """Return the share to move to: by the clock or by the age of the plan.

    Of the two, it is the share closer to the plan's target. The age is the
    time since the plan was received, here with the largest delay. It doesn't
    depend on the clock, so a wrong clock can't delay the shift.
    """
    by_clock = _planned_share(plan, tick, replaced_at, skew, variant)
    by_age = _planned_share(
        plan, tick - MAX_DELAY_TICKS, replaced_at, 0, variant
    )
    if variant.follows_clock:
        return by_clock
    target = _target(plan)
    return min((by_clock, by_age), key=lambda share: abs(target - share))


def transitions(variant):
    """Return the transition function of a variant."""

    def step(state):
        (
            tick,
            replaced_at,
            share_a,
            share_b,
            plan_a,
            plan_b,
            skew,
            frozen_ticks,
            *_,
        ) = state
        if tick >= HORIZON:
            return []
        successors = []
        tick += 1
        choices = [replaced_at]
        if replaced_at < 0 and 1 <= tick <= FULL_SHARE:
            choices.append(tick)
        for new_replaced_at in choices:
            newest_plan = 2 if new_replaced_at >= 0 else 1
            is_overdue = (
                new_replaced_at >= 0
                and tick >= new_replaced_at + MAX_DELAY_TICKS
            )
            plans_a = {newest_plan} if is_overdue else {plan_a, newest_plan}
            plans_b = {newest_plan} if is_overdue else {plan_b, newest_plan}
            for new_plan_a in plans_a:
                desired = _desired_share(
                    new_plan_a, tick, new_replaced_at, skew, variant
                )
                new_share_a = _next_share(share_a, desired, variant)
                # The share grew although plan 2 has the target 0 and the entry
                # had already moved the share at which plan 2 starts.
                is_reversed = int(
                    new_plan_a == 2
                    and new_share_a
                    > share_a
                    >= min(FULL_SHARE, new_replaced_at)
                )
                for new_plan_b in plans_b:
                    for event in ("runs", "freezes", "restarts"):
                        new_share_b, new_frozen_ticks, jumped = _second_entry(
                            event, share_b, share_a, frozen_ticks, new_plan_b,
                            tick, new_replaced_at, skew, variant,
                        )  # fmt: skip
                        if new_frozen_ticks > 2:
                            continue
                        successors.append(
                            (
                                event,
                                (
                                    tick, new_replaced_at, new_share_a,
                                    new_share_b, new_plan_a, new_plan_b, skew,
                                    new_frozen_ticks,
                                    abs(new_share_a - share_a),
                                    0 if event == "restarts"
                                    else abs(new_share_b - share_b),
                                    jumped,
                                    is_reversed,
                                ),
                            )
                        )  # fmt: skip
        return successors

    return step


def _second_entry(
    event,
    share_b,
    share_a,
    frozen_ticks,
    plan,
    tick,
    replaced_at,
    skew,
    variant,
):
    """Return the second entry's share, frozen ticks, and whether it jumped."""
    if event == "freezes":
        return share_b, frozen_ticks + 1, 0
    if event == "restarts":
        if variant.restarts_by_clock:
            planned = _planned_share(plan, tick, replaced_at, skew, variant)
            return planned, 0, int(abs(planned - share_a) > 1)
        return share_a, 0, 0
    desired = _desired_share(plan, tick, replaced_at, 0, variant)
    return _next_share(share_b, desired, variant, 1 + frozen_ticks), 0, 0


def check(variant, skew):
    """Return the results of the properties for a variant and a clock error."""
    protocol = minicheck.Protocol(
        name=f"shift {variant} skew {skew}",
        candidate=False,
        fields=FIELDS,
        initial=(0, -1, 0, 0, 1, 1, skew, 0, 0, 0, 0, 0),
        transitions=transitions(variant),
        invariants={
            "first_under_cap": lambda s: s["moved_a"] <= 1,
            "second_under_cap": lambda s: s["moved_b"] <= 1,
            "never_away": lambda s: not s["reversed"],
            "restart_no_jump": lambda s: not s["jumped"],
            "ends_at_target": lambda s: (
                s["tick"] < HORIZON or s["share_a"] == _target(s["plan_a"])
            ),
        },
    )
    result = minicheck.check_safety(protocol)
    return {
        name: prop["holds"] for name, prop in result["properties"].items()
    }, result


def main():
    """Check the specification, then that the broken variants fail."""
    is_correct = True
    for skew in (-2, 0, 2):
        holds, _ = check(Variant(), skew)
        print(f"shift, clock of the first entry {skew:+d}: {holds}")
        is_correct = is_correct and all(holds.values())
    for field in Variant._fields:
        variant = Variant(**{field: True})
        results = [check(variant, skew)[0] for skew in (-2, 0, 2)]
        failed = {
            name for holds in results for name, ok in holds.items() if not ok
        }
        print(f"broken, {field}: fails {sorted(failed)}")
        is_correct = is_correct and bool(failed)
    return 0 if is_correct else 1


if __name__ == "__main__":
    sys.exit(main())

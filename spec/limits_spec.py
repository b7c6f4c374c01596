"""Specification of a limit that two entries share.

A tick is the time between two reports. A window has three ticks, in which both
entries together may admit `LIMIT` requests. A connected entry reports to the
coordinator, which answers at once with what the window has left; the entries
divide that in any way. An entry may be cut off and may restart. Cut off, it may
use its own part of the limit until the coordinator has excluded it, and nothing
after that; the coordinator reserves that part until then. Requests of an entry
that fell silent or restarted count for the rest of the window as far as they
are beyond its part. After a restart an entry doesn't know what it admitted
before, and the limit counts only as far as the entries' reports cover the
window.

The delay between a report and its answer, in which more may be admitted, is not
part of the specification; the simulation in bench/limit_simulation.py has it.

The checked properties: in any window the entries admit at most `LIMIT` requests
by answers of the coordinator; an entry that is cut off admits at most its part
beside that, and nothing once the coordinator has excluded it. So the limit is
exceeded by the parts of the entries that were cut off in the window at most.
Run as a script, the module checks all states and then that each broken variant
violates a property.
"""

import sys
from typing import NamedTuple

import minicheck

WINDOW = 3
LIMIT = 4
PART = LIMIT // 2
# Ticks after which the coordinator no longer counts an entry that is cut off.
# The entry stops using its part before that.
EXCLUDED_AFTER = 2
HORIZON = 6


class Variant(NamedTuple):
    """Faults of the algorithm; all False is the correct algorithm."""

    forgets_silent: bool = False
    forgets_restarted: bool = False
    ignores_coverage: bool = False
    uses_part_for_ever: bool = False
    reserves_no_part: bool = False


class Entry(NamedTuple):
    """One entry; the newest tick is last in the tuples.

    `admitted` is what it admitted in the window, `alone` what of that without
    an answer, `known` what it knows of all that,
    `covered` the ticks since its start, `cut` the ticks since it was cut off, 0
    while it is connected, and `before_restart` what the coordinator knows from
    before a restart.
    """

    admitted: tuple[int, ...] = (0,) * WINDOW
    alone: tuple[int, ...] = (0,) * WINDOW
    known: tuple[int, ...] = (0,) * WINDOW
    covered: int = WINDOW
    cut: int = 0
    before_restart: tuple[int, ...] = (0,) * WINDOW


FIELDS = ("tick", "first", "second")


def _shift(counts, admitted):
    return (*counts[1:], admitted)


def _left(entries, variant):
    """Return what the coordinator lets the connected entries admit now."""
    budget = 0.0
    for entry in entries:
        if not entry.cut:
            covered = WINDOW if variant.ignores_coverage else entry.covered
            budget += PART * covered / WINDOW
        elif entry.cut > EXCLUDED_AFTER or variant.reserves_no_part:
            budget += PART
    for entry in entries:
        # The oldest tick leaves the window as the new one begins.
        known = sum(entry.known[1:])
        earlier = sum(entry.before_restart[1:])
        if variant.forgets_restarted:
            earlier = 0
        if not entry.cut:
            budget -= known + max(0, earlier - PART * (earlier > 0))
        elif entry.cut > EXCLUDED_AFTER:
            budget -= known + earlier
        elif not variant.forgets_silent:
            budget -= max(0, known + earlier - PART)
    return max(0, int(budget))


def _alone(entry, variant):
    """Return what an entry that is cut off may admit now."""
    if entry.cut > EXCLUDED_AFTER and not variant.uses_part_for_ever:
        return 0
    covered = WINDOW if variant.ignores_coverage else entry.covered
    part = int(PART * covered / WINDOW)
    return max(0, part - sum(entry.known[1:]))


def _after_event(entry, event):
    """Return an entry after `cuts`, `heals` or `restarts`."""
    if event == "cuts" and not entry.cut:
        return entry._replace(cut=1)
    if event == "heals":
        return entry._replace(cut=0)
    if event == "restarts":
        earlier = tuple(
            known + before
            for known, before in zip(
                entry.known, entry.before_restart, strict=True
            )
        )
        return entry._replace(
            known=(0,) * WINDOW, covered=0, before_restart=earlier
        )
    return entry


def _admit(entry, count):
    return entry._replace(
        admitted=_shift(entry.admitted, count),
        alone=_shift(entry.alone, count if entry.cut else 0),
        known=_shift(entry.known, count),
        before_restart=_shift(entry.before_restart, 0),
        covered=min(WINDOW, entry.covered + 1),
        cut=entry.cut + 1 if entry.cut else 0,
    )


def transitions(variant):
    """Return the transition function of a variant."""

    def step(state):
        tick, first, second = state
        if tick >= HORIZON:
            return []
        successors = []
        for number, event in _events():
            entries = [first, second]
            entries[number] = _after_event(entries[number], event)
            for counts in _admissions(entries, variant):
                after = [
                    _admit(entry, count)
                    for entry, count in zip(entries, counts, strict=True)
                ]
                successors.append((event, (tick + 1, *after)))
        return successors

    return step


def _events():
    yield 0, "none"
    for number in (0, 1):
        for event in ("cuts", "heals", "restarts"):
            yield number, event


def _admissions(entries, variant):
    """Yield the numbers of requests that both entries may admit in a tick."""
    left = _left(entries, variant)
    first, second = (
        _alone(entry, variant) if entry.cut else left for entry in entries
    )
    both_connected = not (entries[0].cut or entries[1].cut)
    for first_count in {0, first // 2, first}:
        rest = left - first_count if both_connected else second
        for second_count in {0, rest}:
            yield first_count, second_count


def _is_coordinated(state):
    entries = (state["first"], state["second"])
    return (
        sum(sum(entry.admitted) - sum(entry.alone) for entry in entries)
        <= LIMIT
    )


def _is_within_part(state):
    entries = (state["first"], state["second"])
    return all(sum(entry.alone) <= PART for entry in entries)


def _is_idle_when_excluded(state):
    entries = (state["first"], state["second"])
    return all(
        entry.cut <= EXCLUDED_AFTER + 1 or not entry.alone[-1]
        for entry in entries
    )


def check(variant):
    """Return the results of the properties for a variant."""
    protocol = minicheck.Protocol(
        name=f"limits {variant}",
        candidate=False,
        fields=FIELDS,
        initial=(0, Entry(), Entry()),
        transitions=transitions(variant),
        invariants={
            "coordinated": _is_coordinated,
            "part": _is_within_part,
            "excluded": _is_idle_when_excluded,
        },
    )
    result = minicheck.check_safety(protocol)
    return {
        name: prop["holds"] for name, prop in result["properties"].items()
    }, result


def main():
    """Check the specification, then that the broken variants fail."""
    holds, _ = check(Variant())
    print(f"limits: {holds}")
    is_correct = all(holds.values())
    for field in Variant._fields:
        holds, _ = check(Variant(**{field: True}))
        failed = sorted(name for name, ok in holds.items() if not ok)
        print(f"broken, {field}: fails {failed}")
        is_correct = is_correct and bool(failed)
    return 0 if is_correct else 1


if __name__ == "__main__":
    sys.exit(main())

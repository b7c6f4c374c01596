"""Which faults come when in a soak, worked out from a seed alone."""

import random
from typing import NamedTuple

from bench.emulator import world

SLOW = "slow"
MUTE = "mute"
DEAD = "dead"
COLD = "cold"
LOST_ENTRIES = "lost-entries"
EVACUATED = "evacuated"
KINDS = (SLOW, MUTE, DEAD, COLD, LOST_ENTRIES)

# Nothing fails at first, when every server is new to every object, nor at the
# end, which shows whether all comes back.
BEGIN_S = 6.0
QUIET_END_S = 12.0
_GAP_S = 3.0
_LENGTHS_S = (3.0, 8.0)
_SHARES = (0.05, 0.3)
_FACTORS = (3.0, 12.0)


class Fault(NamedTuple):
    """One fault: what part of what is struck, from when until when, in s."""

    kind: str
    begin_s: float
    end_s: float
    share: float
    factor: float


def plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a day, in order; they overlap."""
    rng = random.Random(seed)
    faults = []
    last_s = seconds - QUIET_END_S
    at = BEGIN_S + rng.expovariate(1 / _GAP_S)
    while at < last_s - _LENGTHS_S[0]:
        end = min(last_s, at + rng.uniform(*_LENGTHS_S))
        share = rng.uniform(*_SHARES)
        factor = rng.uniform(*_FACTORS)
        faults.append(Fault(rng.choice(KINDS), at, end, share, factor))
        at += rng.expovariate(1 / _GAP_S)
    return faults


def plan_evacuations(seed: int, seconds: float) -> list[Fault]:
    """Return evacuations of failure domains, one after the other.

    The servers are cold at the end of each, and nobody is told.
    """
    rng = random.Random(f"evacuations {seed}")
    faults = []
    at = BEGIN_S + rng.uniform(0.0, _GAP_S)
    while at < seconds - QUIET_END_S:
        end = at + rng.uniform(*_LENGTHS_S)
        faults.append(Fault(EVACUATED, at, end, rng.random(), 1.0))
        at = end + rng.uniform(0.0, _GAP_S)
    return faults


def inflict(held: world.World, fault: Fault) -> None:
    """Let a fault come in a world, at its time."""
    if fault.kind == SLOW:
        span = (fault.begin_s, fault.end_s)
        held.slow_down(fault.share, fault.factor, span)
    elif fault.kind == LOST_ENTRIES:
        _lose_entries(held, fault)
    elif fault.kind == EVACUATED:
        _evacuate(held, fault)
    else:
        names = sorted(held.servers)
        count = max(1, round(fault.share * len(names)))
        for name in held.rng.sample(names, count):
            _strike(held, held.servers[name], fault)


def _strike(held: world.World, server: world.Server, fault: Fault) -> None:
    field = {MUTE: "is_mute", DEAD: "is_dead"}.get(fault.kind, "")
    if field:
        held.at(fault.begin_s, setattr, server, field, True)
        held.at(fault.end_s, setattr, server, field, False)
    if fault.kind == COLD:
        held.at(fault.begin_s, _chill, server, fault.end_s, True)


def _evacuate(held: world.World, fault: Fault) -> None:
    """Empty the failure domain at the fault's share of them all."""
    servers = list(held.servers.values())
    domains = sorted({one.word.failure_domain for one in servers})
    domain = domains[int(fault.share * len(domains))]
    held.evacuate(domain, (fault.begin_s, fault.end_s))
    cold_at = fault.end_s - held.rng.uniform(0.0, world.WARM_UP_S / 2)
    cold_until = cold_at + world.WARM_UP_S
    for one in servers:
        if one.word.failure_domain == domain:
            held.at(cold_at, _chill, one, cold_until, False)


def _chill(server: world.Server, until: float, tells: bool) -> None:
    server.tells_cold = tells
    server.cold_until = until


def _lose_entries(held: world.World, fault: Fault) -> None:
    """Take entries away; others of their region serve their callers."""
    for region, entries in held.entries.items():
        count = min(len(entries) - 1, round(fault.share * len(entries)))
        for entry in held.rng.sample(entries, count):
            held.at(fault.begin_s, _leave, held, region, entry)
            held.at(fault.end_s, _come_back, held, region, entry)


def _leave(held: world.World, region: str, entry: object) -> None:
    if len(held.entries[region]) > 1 and entry in held.entries[region]:
        held.entries[region].remove(entry)


def _come_back(held: world.World, region: str, entry: object) -> None:
    if entry not in held.entries[region]:
        held.entries[region].append(entry)

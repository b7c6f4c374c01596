"""Random faults of a soak run: drawn from a seed and injected."""

import random
from typing import NamedTuple

from bench.emulator import simulation

# Kinds of fault. A `MUTE` server accepts requests and doesn't answer, a `DEAD`
# one accepts no connection, a `COLD` one is cold and announces it.
SLOW = "slow"
MUTE = "mute"
DEAD = "dead"
COLD = "cold"
LOST_ENTRIES = "lost-entries"
EVACUATED = "evacuated"
LIMITED = "limited"
KINDS = (SLOW, MUTE, DEAD, COLD, LOST_ENTRIES)

# No faults occur at the start, when the servers' caches are empty, nor at the
# end, which shows whether the system recovers.
QUIET_START_S = 6.0
QUIET_END_S = 12.0
_MEAN_GAP_S = 3.0
_DURATION_RANGE_S = (3.0, 8.0)
_SHARE_RANGE = (0.05, 0.3)
_FACTOR_RANGE = (3.0, 12.0)
_LIMIT_RANGE = (0.0, 6.0)


class Fault(NamedTuple):
    """One fault.

    `begin_s` and `end_s` count from the start of the run. `share` is the share
    of the servers or entries that it affects; for an evacuation, it selects
    the failure domain. `factor` is the slowdown of slow servers, and the limit
    in requests a second of limited ones.
    """

    kind: str
    begin_s: float
    end_s: float
    share: float
    factor: float


def plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run in the order of their begin; they may overlap.

    Args:
        seed: Seed of the random numbers.
        seconds: Length of the run.
    """
    rng = random.Random(seed)
    faults = []
    last_s = seconds - QUIET_END_S
    begin_s = QUIET_START_S + rng.expovariate(1 / _MEAN_GAP_S)
    while begin_s < last_s - _DURATION_RANGE_S[0]:
        end_s = min(last_s, begin_s + rng.uniform(*_DURATION_RANGE_S))
        share = rng.uniform(*_SHARE_RANGE)
        factor = rng.uniform(*_FACTOR_RANGE)
        faults.append(Fault(rng.choice(KINDS), begin_s, end_s, share, factor))
        begin_s += rng.expovariate(1 / _MEAN_GAP_S)
    return faults


def plan_evacuations(seed: int, seconds: float) -> list[Fault]:
    """Return evacuations of failure domains, one after the other.

    The domain's servers are cold at the end of each evacuation, and their
    announcements don't say so.

    Args:
        seed: Seed of the random numbers.
        seconds: Length of the run.
    """
    rng = random.Random(f"evacuations {seed}")
    faults = []
    begin_s = QUIET_START_S + rng.uniform(0.0, _MEAN_GAP_S)
    while begin_s < seconds - QUIET_END_S:
        end_s = begin_s + rng.uniform(*_DURATION_RANGE_S)
        faults.append(Fault(EVACUATED, begin_s, end_s, rng.random(), 1.0))
        begin_s = end_s + rng.uniform(0.0, _MEAN_GAP_S)
    return faults


def plan_limits(seed: int, seconds: float) -> list[Fault]:
    """Return spans in which servers limit their requests, one after the other.

    Args:
        seed: Seed of the random numbers.
        seconds: Length of the run.
    """
    rng = random.Random(f"limits {seed}")
    faults = []
    begin_s = QUIET_START_S + rng.uniform(0.0, _MEAN_GAP_S)
    while begin_s < seconds - QUIET_END_S:
        end_s = begin_s + 2 * rng.uniform(*_DURATION_RANGE_S)
        share, rate = rng.uniform(*_SHARE_RANGE), rng.uniform(*_LIMIT_RANGE)
        faults.append(Fault(LIMITED, begin_s, end_s, share, rate))
        begin_s = end_s + rng.uniform(0.0, _MEAN_GAP_S)
    return faults


def schedule(sim: simulation.Simulation, fault: Fault) -> None:
    """Schedule a fault in a simulation."""
    if fault.kind == SLOW:
        span = (fault.begin_s, fault.end_s)
        sim.slow_down(fault.share, fault.factor, span)
    elif fault.kind == LOST_ENTRIES:
        _schedule_entry_losses(sim, fault)
    elif fault.kind == EVACUATED:
        _schedule_evacuation(sim, fault)
    else:
        server_ids = sorted(sim.servers)
        count = max(1, round(fault.share * len(server_ids)))
        drawn = sim.rng.sample(server_ids, count)
        if fault.kind == LIMITED:
            sim.limit_rates(drawn, fault.factor, (fault.begin_s, fault.end_s))
            return
        for server_id in drawn:
            _schedule_server_fault(sim, sim.servers[server_id], fault)


def _schedule_server_fault(
    sim: simulation.Simulation, server: simulation.Server, fault: Fault
) -> None:
    attribute = {MUTE: "is_unresponsive", DEAD: "is_down"}.get(fault.kind, "")
    if attribute:
        sim.schedule(fault.begin_s, setattr, server, attribute, True)
        sim.schedule(fault.end_s, setattr, server, attribute, False)
    if fault.kind == COLD:
        sim.schedule(fault.begin_s, _make_cold, server, fault.end_s, True)


def _schedule_evacuation(sim: simulation.Simulation, fault: Fault) -> None:
    """Schedule an evacuation; the domain's servers are cold at its end."""
    servers = list(sim.servers.values())
    domains = sorted({server.record.failure_domain for server in servers})
    domain = domains[int(fault.share * len(domains))]
    sim.evacuate(domain, (fault.begin_s, fault.end_s))
    cold_at = fault.end_s - sim.rng.uniform(0.0, simulation.WARM_UP_S / 2)
    cold_until = cold_at + simulation.WARM_UP_S
    for server in servers:
        if server.record.failure_domain == domain:
            sim.schedule(cold_at, _make_cold, server, cold_until, False)


def _make_cold(
    server: simulation.Server, cold_until: float, announces_cold: bool
) -> None:
    server.announces_cold = announces_cold
    server.cold_until = cold_until


def _schedule_entry_losses(sim: simulation.Simulation, fault: Fault) -> None:
    """Schedule the loss of entries; each region keeps at least one."""
    for region, entries in sim.entries.items():
        count = min(len(entries) - 1, round(fault.share * len(entries)))
        for entry in sim.rng.sample(entries, count):
            sim.schedule(fault.begin_s, _remove_entry, sim, region, entry)
            sim.schedule(fault.end_s, _restore_entry, sim, region, entry)


def _remove_entry(
    sim: simulation.Simulation, region: str, entry: object
) -> None:
    if len(sim.entries[region]) > 1 and entry in sim.entries[region]:
        sim.entries[region].remove(entry)


def _restore_entry(
    sim: simulation.Simulation, region: str, entry: object
) -> None:
    if entry not in sim.entries[region]:
        sim.entries[region].append(entry)

"""Checks of a soak run: overloaded cold servers, recovery after faults."""

import bisect

from bench.emulator import simulation
from bench.soak import faults

# A cold server crashes if it receives more than
# `cold_rate * COLD_OVERSHOOT + COLD_SLACK` requests in one second. These are
# the limits of the users' platform.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
# A server that named a limit must not get more than `LIMIT_OVERSHOOT` times that
# and `LIMIT_SLACK` requests in `LIMIT_WINDOW_S`, by the same platform.
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5.0
LIMIT_WINDOW_S = 4.0
# Least worth after the last fault, as a share of the worth of the same interval
# without faults. A smaller share shows a self-sustaining overload.
MIN_RECOVERED_SHARE = 0.9
# Time after the last fault in which requests delayed by it may still arrive.
SETTLE_S = 6.0
# Length of the windows of `Simulation.worth_by_window`.
WINDOW_S = 2


def find_cold_overloads(sim: simulation.Simulation) -> list[str]:
    """Return findings on cold servers that received too many requests."""
    findings = []
    for pool in sim.site.pools:
        max_rate = pool.cold_rate * COLD_OVERSHOOT + COLD_SLACK
        for record in sim.records_by_pool[pool.name]:
            arrivals = sim.servers[record.server_id].cold_arrivals
            peak = _peak(arrivals, 1.0)
            if peak > max_rate:
                findings.append(
                    f"{record.server_id}: {peak} requests in a second while"
                    f" cold, {max_rate:.1f} are allowed"
                )
    return findings


def find_exceeded_limits(sim: simulation.Simulation) -> list[str]:
    """Return findings on servers that got more than the limit they named."""
    findings = []
    for server_id, server in sim.servers.items():
        for span in server.limited_spans:
            most = LIMIT_OVERSHOOT * LIMIT_WINDOW_S * span.rate + LIMIT_SLACK
            peak = _peak(span.arrivals, LIMIT_WINDOW_S)
            if peak > most:
                findings.append(
                    f"{server_id}: {peak} requests in {LIMIT_WINDOW_S:g} s at a"
                    f" limit of {span.rate:.1f} a second, {most:.1f} are allowed"
                )
    return findings


def _peak(times: list[float], window_s: float) -> int:
    """Return the greatest number of `times` within a window.

    Args:
        times: Times in seconds, in ascending order.
        window_s: Length of the window in seconds.
    """
    return max(
        (
            bisect.bisect_left(times, at + window_s) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )


def find_lost_worth(
    sim: simulation.Simulation, baseline: simulation.Simulation, seconds: float
) -> list[str]:
    """Return a finding if too little worth is earned after the last fault.

    Args:
        sim: The simulation with faults.
        baseline: The same simulation without faults.
        seconds: Length of both.
    """
    first_window = int((seconds - faults.QUIET_END_S + SETTLE_S) / WINDOW_S)
    last_window = int(seconds / WINDOW_S)
    share, baseline_share = (
        _worth_share(run.worth_by_window, range(first_window, last_window))
        for run in (sim, baseline)
    )
    if share >= MIN_RECOVERED_SHARE * baseline_share:
        return []
    return [
        f"worth share after the faults {share:.3f},"
        f" without faults {baseline_share:.3f}"
    ]


def _worth_share(
    worth_by_window: dict[int, list[float]], windows: range
) -> float:
    sums = [
        worth_by_window[window]
        for window in windows
        if window in worth_by_window
    ]
    total = sum(window_sums[1] for window_sums in sums)
    return sum(window_sums[0] for window_sums in sums) / total if total else 0.0

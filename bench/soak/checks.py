"""What must hold in a day of faults, however they came."""

import bisect

from bench.emulator import world
from bench.soak import faults

# Requests a second beyond which a cold server crashes, as a multiple of what
# it bears and some beside: what the users' platform tolerates.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
# Part of a calm day's worth that is earned again once all faults are over. Less
# means that an overload keeps itself up.
RECOVERED = 0.9
# After the last fault requests held up by it may still come in.
SETTLE_S = 6.0
WINDOW_S = 2


def cold_floods(held: world.World) -> list[str]:
    """Return the cold servers that got more than they bear in a second."""
    found = []
    for pool in held.site.pools:
        most = pool.cold_rate * COLD_OVERSHOOT + COLD_SLACK
        for word in held.words[pool.name]:
            times = held.servers[word.server_id].cold_arrivals
            worst = _most_in_a_second(times)
            if worst > most:
                found.append(
                    f"{word.server_id}: {worst} requests in a second while"
                    f" cold, {most:.1f} are borne"
                )
    return found


def _most_in_a_second(times: list[float]) -> int:
    """Return the most of `times`, in order, that lie within one second."""
    return max(
        (
            bisect.bisect_left(times, at + 1.0) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )


def unrecovered(
    held: world.World, calm: world.World, seconds: float
) -> list[str]:
    """Return what is lost after the last fault, against a calm day."""
    first = int((seconds - faults.QUIET_END_S + SETTLE_S) / WINDOW_S)
    last = int(seconds / WINDOW_S)
    after, usual = (
        _earned(one.windows, range(first, last)) for one in (held, calm)
    )
    if after >= RECOVERED * usual:
        return []
    return [
        f"after the faults {after:.3f} is earned, on a calm day {usual:.3f}"
    ]


def _earned(windows: dict[int, list[float]], numbers: range) -> float:
    sums = [windows[one] for one in numbers if one in windows]
    owed = sum(one[1] for one in sums)
    return sum(one[0] for one in sums) / owed if owed else 0.0

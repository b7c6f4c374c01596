"""Send a request that crashes servers, and check that entries quarantine it."""

import random

import trio

from bench.chaos import callers
from bench.chaos import fleet as fleets
from bench.chaos import history
from bench.chaos import layout
from bench.chaos import schedule

CRASHING_PATH = "/catalogue/crash"
_INTERVAL_RANGE_S = (0.1, 0.8)
_RESTART_DELAY_RANGE_S = (0.5, 3.0)
_DETECTION_DELAY_S = 0.1
# Allowed number of crashes by one request before all entries have quarantined
# it, and again afterwards.
_MAX_CRASHES = 3
# Seconds within which all entries must know of the quarantine: after the last
# allowed crash, or after the end of a fault that affected the entry.
_PROPAGATION_S = 4.0


class CrashInjector:
    """Sends a crashing request until cancelled; restarts the crashed servers.

    Args:
        fleet: The processes.
        run_history: Records the crashes.
        rng: Source of random choices.
        start_time: Time at which the run began.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        run_history: history.History,
        rng: random.Random,
        start_time: float,
    ) -> None:
        self._fleet = fleet
        self._history = run_history
        self._rng = rng
        self._start_time = start_time

    async def run(self) -> None:
        """Send the crashing request repeatedly to random entries."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(*_INTERVAL_RANGE_S))
                entry = self._rng.choice(layout.names(layout.ENTRY))
                sent_s = trio.current_time() - self._start_time
                await self._send_crashing_request(entry)
                for name in self._fleet.take_crashed():
                    self._history.crashes.append(history.Crash(sent_s, entry))
                    nursery.start_soon(self._restart_later, name)

    async def _send_crashing_request(self, entry: str) -> None:
        headers = (("standin-fault", "crash"),)
        try:
            address = layout.http_address(entry)
            answer = await callers.send_request(
                address, "GET", CRASHING_PATH, 0, headers
            )
            outcome = answer.headers.get(b"hyssop-outcome", b"").decode()
            self._history.crash_request_outcomes[
                f"{answer.status} {outcome}"
            ] += 1
        except callers.FAILURES:
            self._history.crash_request_outcomes[history.LOST] += 1
        await trio.sleep(_DETECTION_DELAY_S)

    async def _restart_later(self, name: str) -> None:
        await trio.sleep(self._rng.uniform(*_RESTART_DELAY_RANGE_S))
        self._fleet.start(name)


def check_crashes(
    crashes: list[history.Crash], faults: list[schedule.Fault]
) -> list[str]:
    """Return a finding if the request crashes servers despite quarantine.

    Args:
        crashes: The crashes by the request, in order of time.
        faults: The faults injected in the run.
    """
    if len(crashes) <= _MAX_CRASHES:
        return []
    propagated_s = crashes[_MAX_CRASHES - 1].sent_s + _PROPAGATION_S
    late = [
        crash
        for crash in crashes
        if crash.sent_s > propagated_s and not _is_disturbed(crash, faults)
    ]
    if len(late) <= _MAX_CRASHES:
        return []
    return [f"{len(late)} servers crashed after all entries knew: {late}"]


def _is_disturbed(crash: history.Crash, faults: list[schedule.Fault]) -> bool:
    """Return whether a fault may have delayed quarantine at the entry."""
    return any(
        fault.target == crash.entry
        and fault.begin_s - 1 <= crash.sent_s
        and crash.sent_s <= fault.begin_s + _outage_s(fault) + _PROPAGATION_S
        for fault in faults
    )


def _outage_s(fault: schedule.Fault) -> float:
    """Return the longest time for which a fault's target doesn't serve."""
    if fault.kind == schedule.STOP:
        return fault.duration_s + schedule.STOP_MAX_S
    return fault.duration_s + schedule.START_S

"""A request that crashes servers, sent to one entry after another."""

import random

import trio

from bench.chaos import books
from bench.chaos import callers
from bench.chaos import fleet as fleets
from bench.chaos import layout
from bench.chaos import schedule

PATH = "/catalogue/crash"
_GAPS_S = (0.1, 0.8)
_BACK_AFTER_S = (0.5, 3.0)
_SEEN_AFTER_S = 0.1
# Crashes by one request that are allowed before and after all know of it, and
# the time after which an entry that was disturbed knows what the others do.
_LIMIT = 3
_CONTACT_S = 4.0


class Crasher:
    """Send the request until told to stop; start again what it crashed.

    Args:
        fleet: The processes.
        notes: Where crashes are noted.
        rng: Source of choices.
        began: Time at which the run began.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        notes: books.Books,
        rng: random.Random,
        began: float,
    ) -> None:
        self._fleet = fleet
        self._notes = notes
        self._rng = rng
        self._began = began

    async def run(self) -> None:
        """Send one request after the other."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(*_GAPS_S))
                entry = self._rng.choice(layout.names(layout.ENTRY))
                sent_s = trio.current_time() - self._began
                await self._send(entry)
                for name in self._fleet.take_crashed():
                    self._notes.crashes.append(books.Crash(sent_s, entry))
                    nursery.start_soon(self._start_again, name)

    async def _send(self, entry: str) -> None:
        headers = (("standin-fault", "crash"),)
        try:
            address = layout.http_address(entry)
            answer = await callers.ask(address, "GET", PATH, 0, headers)
            outcome = answer.headers.get(b"hyssop-outcome", b"").decode()
            self._notes.crashers[f"{answer.status} {outcome}"] += 1
        except callers.FAILURES:
            self._notes.crashers[books.LOST] += 1
        await trio.sleep(_SEEN_AFTER_S)

    async def _start_again(self, name: str) -> None:
        await trio.sleep(self._rng.uniform(*_BACK_AFTER_S))
        self._fleet.start(name)


def faults_of_crashes(
    crashes: list[books.Crash], faults: list[schedule.Fault]
) -> list[str]:
    """Return a finding when entries went on sending what crashes servers."""
    if len(crashes) <= _LIMIT:
        return []
    known_s = crashes[_LIMIT - 1].sent_s + _CONTACT_S
    late = [
        one
        for one in crashes
        if one.sent_s > known_s and not _is_disturbed(one, faults)
    ]
    if len(late) <= _LIMIT:
        return []
    return [f"{len(late)} servers crashed after all knew: {late}"]


def _is_disturbed(crash: books.Crash, faults: list[schedule.Fault]) -> bool:
    """Return whether the entry that sent it may not know what others do."""
    return any(
        fault.target == crash.entry
        and fault.at_s - 1 <= crash.sent_s
        and crash.sent_s <= fault.at_s + _away_s(fault) + _CONTACT_S
        for fault in faults
    )


def _away_s(fault: schedule.Fault) -> float:
    """Return for how long a fault takes its target away, at most."""
    if fault.kind == schedule.STOP:
        return fault.length_s + schedule.STOP_MAX_S
    return fault.length_s + schedule.START_S

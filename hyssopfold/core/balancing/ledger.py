"""Which slots are in use, as far as the grantor must assume."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership


class _Name(NamedTuple):
    holder: messages.Member
    number: int


class _Server(NamedTuple):
    incarnation: int
    withheld: int


class Ledger:
    """Count the slots of each server that may be in use.

    It never counts too few: a slot is taken out only when its holder said
    so, or when the holder's or the server's process has surely ended. Slots
    that no member reported at a takeover are withheld while a member is
    silent, because that one may use them.

    Args:
        reports: Slots that members reported when the term began.
        silent: Members that have not reported.
        last: The last grantor; alone silent, it uses no more than its limit.
        last_limit: Slots of each server that the last grantor may use.
    """

    def __init__(
        self,
        reports: Mapping[messages.Member, Iterable[messages.HeldSlot]],
        silent: Iterable[messages.Member],
        last: messages.Member | None = None,
        last_limit: int = 0,
    ) -> None:
        self.silent = set(silent)
        self._last = last
        self._last_limit = last_limit
        self._by_holder: Counter[tuple[messages.Member, str]] = Counter()
        self._holds: dict[_Name, messages.HeldSlot] = {}
        # By server and its life: what an earlier life ran has ended, and
        # gives no right to a slot of the present one.
        self._used: Counter[tuple[str, int]] = Counter()
        self._servers: dict[str, _Server] = {}
        for holder, holds in reports.items():
            for hold in holds:
                self._add(holder, hold)

    def _add(self, holder: messages.Member, hold: messages.HeldSlot) -> None:
        name = _Name(holder, hold.number)
        if name not in self._holds:
            self._holds[name] = hold
            self._used[hold.server_id, hold.server_incarnation] += 1
            self._by_holder[holder, hold.server_id] += 1

    def report(
        self, holder: messages.Member, holds: Iterable[messages.HeldSlot]
    ) -> None:
        """Take in the report of a member that was silent."""
        answered = {
            one
            for one in self.silent
            if one.name == holder.name and one.incarnation <= holder.incarnation
        }
        if not answered:
            return
        self.silent -= answered
        for hold in holds:
            self._add(holder, hold)
            held = self._servers.get(hold.server_id)
            if held is None or held.incarnation != hold.server_incarnation:
                continue
            if held.withheld:
                left = held._replace(withheld=held.withheld - 1)
                self._servers[hold.server_id] = left
        self._settle()

    def _settle(self) -> None:
        """Withhold no more than those who are still silent may use."""
        limit = 0
        if self.silent and self.silent != {self._last}:
            return
        if self.silent:
            limit = self._last_limit
        for server_id, held in self._servers.items():
            withheld = min(held.withheld, limit)
            self._servers[server_id] = held._replace(withheld=withheld)

    def see(self, server: membership.Server) -> None:
        """Note a server; one seen first in a takeover is withheld too."""
        held = self._servers.get(server.server_id)
        if held is not None and held.incarnation >= server.incarnation:
            return
        withheld = 0
        if self.silent:
            used = self._used[server.server_id, server.incarnation]
            withheld = max(0, server.slots - used)
        self._servers[server.server_id] = _Server(server.incarnation, withheld)
        self._settle()

    def used(self, server_id: str) -> int:
        """Return the slots of a server that may be in use."""
        held = self._servers.get(server_id)
        if held is None:
            return 0
        return self._used[server_id, held.incarnation] + held.withheld

    def used_by(self, holder: messages.Member, server_id: str) -> int:
        """Return the slots of a server that one holder uses."""
        return self._by_holder[holder, server_id]

    def most_used_by(self, holder: messages.Member) -> int:
        """Return the most slots of any one server that a holder uses."""
        counts = [
            count
            for (name, _), count in self._by_holder.items()
            if name == holder
        ]
        return max(counts, default=0)

    def held_in_all(self) -> int:
        """Return the slots that holders are known to use."""
        return len(self._holds)

    def withheld(self) -> int:
        """Return the slots kept back for silent members."""
        return sum(held.withheld for held in self._servers.values())

    def grant(
        self, holder: messages.Member, number: int, server: membership.Server
    ) -> None:
        """Count a slot that is granted now.

        Raises:
            AssertionError: when the server has no slot left.
        """
        assert self.used(server.server_id) < server.slots, server.server_id
        hold = messages.HeldSlot(number, server.server_id, server.incarnation)
        self._add(holder, hold)

    def find(
        self, holder: messages.Member, number: int
    ) -> messages.HeldSlot | None:
        """Return what a holder has under this number."""
        return self._holds.get(_Name(holder, number))

    def release(
        self, holder: messages.Member, number: int
    ) -> messages.HeldSlot | None:
        """Take a slot out; return it, or None when it was not counted."""
        hold = self._holds.pop(_Name(holder, number), None)
        if hold is not None:
            self._by_holder[holder, hold.server_id] -= 1
            if not self._by_holder[holder, hold.server_id]:
                del self._by_holder[holder, hold.server_id]
            life = (hold.server_id, hold.server_incarnation)
            self._used[life] -= 1
            if not self._used[life]:
                del self._used[life]
        return hold

    def numbers(self, holder: messages.Member) -> list[int]:
        """Return the numbers of the slots that a holder has."""
        return [name.number for name in self._holds if name.holder == holder]

    def holders(self) -> set[messages.Member]:
        """Return who has slots, or may have."""
        return {name.holder for name in self._holds} | self.silent

    def end(self, name: str, incarnation: int) -> None:
        """Free what earlier lives of an entry used: that process is gone."""
        for holder in self.holders():
            if holder.name != name or holder.incarnation >= incarnation:
                continue
            for number in self.numbers(holder):
                self.release(holder, number)
            self.silent.discard(holder)
        self._settle()

    def forget(self, holder: messages.Member) -> None:
        """Free what a member used that was silent for the longest hold."""
        for number in self.numbers(holder):
            self.release(holder, number)
        self.silent.discard(holder)
        self._settle()

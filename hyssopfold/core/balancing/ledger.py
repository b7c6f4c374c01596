"""Count of the slots that the grantor must assume to be in use."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership


class _SlotId(NamedTuple):
    holder: messages.Member
    number: int


class _ServerState(NamedTuple):
    incarnation: int
    withheld: int


class Ledger:
    """The slots of each server that may be in use, as a grantor counts them.

    The count is never too low: a slot is removed only when its holder
    released it, or when the process of the holder or of the server has ended
    for certain. Slots that no member reported at a takeover are withheld as
    long as a member's report is missing, because that member may use them.

    Args:
        reports: Slots that members reported when the term began.
        unreported: Members that have not reported.
        previous_grantor: The previous grantor. If only its report is missing,
            no more slots than `previous_own_limit` are withheld.
        previous_own_limit: Slots of each server that the previous grantor may
            use itself.
    """

    def __init__(
        self,
        reports: Mapping[messages.Member, Iterable[messages.HeldSlot]],
        unreported: Iterable[messages.Member],
        previous_grantor: messages.Member | None = None,
        previous_own_limit: int = 0,
    ) -> None:
        self.unreported = set(unreported)
        self._previous_grantor = previous_grantor
        self._previous_own_limit = previous_own_limit
        self._by_holder: Counter[tuple[messages.Member, str]] = Counter()
        self._held_slots: dict[_SlotId, messages.HeldSlot] = {}
        # By server id and incarnation: requests at an earlier incarnation of
        # a server have ended and use no slot of the current one.
        self._held_by_server: Counter[tuple[str, int]] = Counter()
        self._servers: dict[str, _ServerState] = {}
        for holder, held_slots in reports.items():
            for slot in held_slots:
                self._add(holder, slot)

    def _add(self, holder: messages.Member, slot: messages.HeldSlot) -> None:
        slot_id = _SlotId(holder, slot.number)
        if slot_id not in self._held_slots:
            self._held_slots[slot_id] = slot
            self._held_by_server[slot.server_id, slot.server_incarnation] += 1
            self._by_holder[holder, slot.server_id] += 1

    def add_report(
        self, holder: messages.Member, held_slots: Iterable[messages.HeldSlot]
    ) -> None:
        """Count the slots reported by a member whose report was missing."""
        reported_members = {
            member
            for member in self.unreported
            if member.name == holder.name
            and member.incarnation <= holder.incarnation
        }
        if not reported_members:
            return
        self.unreported -= reported_members
        for slot in held_slots:
            self._add(holder, slot)
            server = self._servers.get(slot.server_id)
            if server is None or server.incarnation != slot.server_incarnation:
                continue
            if server.withheld:
                updated = server._replace(withheld=server.withheld - 1)
                self._servers[slot.server_id] = updated
        self._limit_withheld()

    def _limit_withheld(self) -> None:
        """Withhold no more slots than members without a report may use."""
        limit = 0
        if self.unreported and self.unreported != {self._previous_grantor}:
            return
        if self.unreported:
            limit = self._previous_own_limit
        for server_id, server in self._servers.items():
            kept = min(server.withheld, limit)
            self._servers[server_id] = server._replace(withheld=kept)

    def update_server(self, server: membership.Server) -> None:
        """Add or update a server.

        While reports are missing, the unused slots of a new server are
        withheld too.
        """
        state = self._servers.get(server.server_id)
        if state is not None and state.incarnation >= server.incarnation:
            return
        withheld = 0
        if self.unreported:
            used = self._held_by_server[server.server_id, server.incarnation]
            withheld = max(0, server.slots - used)
        self._servers[server.server_id] = _ServerState(
            server.incarnation, withheld
        )
        self._limit_withheld()

    def used_slots(self, server_id: str) -> int:
        """Return the number of slots of a server that may be in use."""
        server = self._servers.get(server_id)
        if server is None:
            return 0
        return (
            self._held_by_server[server_id, server.incarnation]
            + server.withheld
        )

    def slots_used_by(self, holder: messages.Member, server_id: str) -> int:
        """Return the number of slots of a server that one holder uses."""
        return self._by_holder[holder, server_id]

    def max_slots_used_by(self, holder: messages.Member) -> int:
        """Return the most slots of any one server that a holder uses."""
        counts = [
            count
            for (member, _), count in self._by_holder.items()
            if member == holder
        ]
        return max(counts, default=0)

    def held_count(self) -> int:
        """Return the number of slots that holders are known to use."""
        return len(self._held_slots)

    def withheld(self) -> int:
        """Return the slots withheld for members whose report is missing."""
        return sum(server.withheld for server in self._servers.values())

    def grant(
        self, holder: messages.Member, number: int, server: membership.Server
    ) -> None:
        """Count a slot that is granted now.

        Args:
            holder: The member that gets the slot.
            number: Number of the holder's slot request.
            server: Server of the slot.

        Raises:
            AssertionError: when the server has no slot left.
        """
        assert self.used_slots(server.server_id) < server.slots, (
            server.server_id
        )
        slot = messages.HeldSlot(number, server.server_id, server.incarnation)
        self._add(holder, slot)

    def held_slot(
        self, holder: messages.Member, number: int
    ) -> messages.HeldSlot | None:
        """Return the slot granted to a request of a holder, or None."""
        return self._held_slots.get(_SlotId(holder, number))

    def release(
        self, holder: messages.Member, number: int
    ) -> messages.HeldSlot | None:
        """Remove a slot; return it, or None if it was not counted."""
        slot = self._held_slots.pop(_SlotId(holder, number), None)
        if slot is not None:
            self._by_holder[holder, slot.server_id] -= 1
            if not self._by_holder[holder, slot.server_id]:
                del self._by_holder[holder, slot.server_id]
            incarnation = (slot.server_id, slot.server_incarnation)
            self._held_by_server[incarnation] -= 1
            if not self._held_by_server[incarnation]:
                del self._held_by_server[incarnation]
        return slot

    def slot_numbers(self, holder: messages.Member) -> list[int]:
        """Return the request numbers of a holder's slots."""
        return [
            slot_id.number
            for slot_id in self._held_slots
            if slot_id.holder == holder
        ]

    def holders(self) -> set[messages.Member]:
        """Return the members that use slots, or may use some unreported."""
        return {
            slot_id.holder for slot_id in self._held_slots
        } | self.unreported

    def end_incarnations(self, name: str, incarnation: int) -> None:
        """Free the slots of earlier incarnations of an entry.

        Args:
            name: Name of the entry.
            incarnation: Its current incarnation; processes of earlier ones
                have ended.
        """
        for holder in self.holders():
            if holder.name != name or holder.incarnation >= incarnation:
                continue
            for number in self.slot_numbers(holder):
                self.release(holder, number)
            self.unreported.discard(holder)
        self._limit_withheld()

    def release_all(self, holder: messages.Member) -> None:
        """Free all slots of a holder and stop waiting for its report."""
        for number in self.slot_numbers(holder):
            self.release(holder, number)
        self.unreported.discard(holder)
        self._limit_withheld()

"""A distribution network whose entries have links of limited bandwidth."""

import random

import msgspec

from tests.support import fake_distribution

_BITS_PER_BYTE = 8
# Lengths of the names, host and paths that operators' tools generate.
_NAME_CHARS = 9
_PATH_CHARS = 12


def large_value(revision, route_count=1400):
    """Return a value with many routes and the document they came from."""
    rng = random.Random(7)
    routes, rows = [], []
    for number in range(route_count):
        name = _text(rng, _NAME_CHARS)
        path = f"/{_text(rng, _PATH_CHARS)}/"
        timeout_s = revision if number == revision % route_count else 2.5
        route = [name, "shop.example", path, ["GET"], "orders", True, timeout_s,
                 1000.0, 2, [], 500.0, True, [], 2, []]  # fmt: skip
        document = {
            "name": name, "host": "shop.example", "path_prefix": path,
            "kind": "safe", "timeout_s": timeout_s, "target_latency_s": 0.5,
            "priority": 2, "service": "orders", "attempts": 2, "sticky": True,
            "allowed_regions": [],
        }  # fmt: skip
        routes.append(route)
        text = msgspec.json.encode(document).decode()
        rows.append(["routes", name, text])
    return msgspec.json.encode([[routes, []], [], 0, rows])


def _text(rng, length):
    return "".join(
        rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length)
    )


class _Transfer:
    """An answer on its way over an entry's link."""

    def __init__(self, sender, size, deadline, call, arguments):
        self.sender = sender
        self.size = size
        self.left = float(size)
        self.deadline = deadline
        self.call = call
        self.arguments = arguments


class SmallLinks(fake_distribution.FakeNetwork):
    """A network on which the answers to an entry share its link.

    An answer whose poll has timed out is no longer sent, as with gRPC.

    Args:
        seed: Seed of all random choices.
        control: Number of control instances.
        entries: Number of entries.
        link_mbps: Bandwidth of an entry's link in Mbit/s.
        make_value: Returns the value of a revision.

    Attributes:
        most_held_bytes: The most bytes of answers that one control instance
            held at a time.
    """

    def __init__(self, seed, control, entries, link_mbps, make_value):
        self.set_link(link_mbps)
        self._transfers = {}
        self._updated_at = {}
        self._turns = {}
        self._deadlines = {}
        super().__init__(
            seed, control=control, entries=entries, make_value=make_value
        )

    def set_link(self, link_mbps):
        """Set the bandwidth of each entry's link and count from zero."""
        self._bytes_per_s = link_mbps * 1e6 / _BITS_PER_BYTE
        self.most_held_bytes = 0

    def _send_poll(self, entry, effect):
        key = (entry.name, entry.core, effect.poll_id)
        self._deadlines[key] = self.now + effect.timeout_s
        super()._send_poll(entry, effect)

    def _send(self, kind, sender, to, size, call, *arguments):
        if kind != "answer":
            super()._send(kind, sender, to, size, call, *arguments)
            return
        self.sent_bytes[kind] += size
        self.sent_count[kind] += 1
        deadline = self._deadlines[(to, arguments[1], arguments[2].poll_id)]
        self._advance(to)
        transfer = _Transfer(sender, size, deadline, call, arguments)
        self._transfers.setdefault(to, []).append(transfer)
        self._record_held(sender)
        self._plan(to)

    def _record_held(self, sender):
        held = sum(
            transfer.size
            for transfers in self._transfers.values()
            for transfer in transfers
            if transfer.sender == sender
        )
        self.most_held_bytes = max(self.most_held_bytes, held)

    def _advance(self, entry):
        """Count what the link has carried since the last event."""
        transfers = self._transfers.get(entry, [])
        elapsed_s = self.now - self._updated_at.get(entry, self.now)
        self._updated_at[entry] = self.now
        for transfer in transfers:
            transfer.left -= elapsed_s * self._bytes_per_s / len(transfers)
        for transfer in list(transfers):
            if transfer.left < 1.0:
                transfers.remove(transfer)
                delay = self.rng.uniform(*self.delay)
                self._schedule(delay, transfer.call, *transfer.arguments)
            elif transfer.deadline <= self.now:
                transfers.remove(transfer)

    def _plan(self, entry):
        """Schedule the next end of a transfer over an entry's link."""
        turn = self._turns[entry] = self._turns.get(entry, 0) + 1
        transfers = self._transfers.get(entry)
        if not transfers:
            return
        share = self._bytes_per_s / len(transfers)
        ends_s = min(transfer.left for transfer in transfers) / share
        overdue_s = min(transfer.deadline for transfer in transfers) - self.now
        delay = max(1e-6, min(ends_s, overdue_s))
        self._schedule(delay, self._end_transfer, entry, turn)

    def _end_transfer(self, entry, turn):
        if self._turns[entry] != turn:
            return
        self._advance(entry)
        self._plan(entry)

    def restart_all(self):
        """Start all entries again, without a revision."""
        for name in self.entries:
            self._transfers.pop(name, None)
            self.boot(name)
        assert all(entry.core.revision == 0 for entry in self.entries.values())

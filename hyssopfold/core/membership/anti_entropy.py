"""Repair of what was lost: instances compare hashes and tell what differs."""

import random

from hyssopfold.core.membership import datagram_builder
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects

# Datagrams of records in one answer to a comparison.
MAX_ANSWERS = 4
# Comparisons that an instance starts in one period when hashes differ.
MAX_COMPARISONS = 2


class AntiEntropy:
    """Compare what two instances know.

    Args:
        builder: Makes the datagrams.
        member_directory: What this instance knows.
        rng: Draws the parts that are told of first.
    """

    def __init__(
        self,
        builder: datagram_builder.DatagramBuilder,
        member_directory: directory.Directory,
        rng: random.Random,
    ) -> None:
        self._builder = builder
        self._directory = member_directory
        self._rng = rng
        self._left = MAX_COMPARISONS

    def renew(self) -> None:
        """Allow as many comparisons again; due each period."""
        self._left = MAX_COMPARISONS

    def ask(self, address: str) -> list[effects.Effect]:
        """Send the hashes of all parts to an instance that knows otherwise."""
        if not self._left:
            return []
        self._left -= 1
        mine = self._directory.digests.packed()
        question = self._builder.empty()._replace(buckets=mine, compare=True)
        return [effects.Send(address, question, "compare")]

    def answer(
        self, address: str, buckets: bytes, compare: bool, now: float
    ) -> list[effects.Effect]:
        """Tell what is known in the buckets that differ.

        The asker may be the one that knows more: the last datagram brings the
        hashes here, by which it answers once.

        Args:
            address: The asker's.
            buckets: Its hashes.
            compare: Whether it is to answer in turn.
            now: Monotonic time in seconds.
        """
        differing = self._directory.digests.differing(buckets)
        if not differing:
            return []
        self._rng.shuffle(differing)
        keys = [
            key
            for number in differing
            for key in self._directory.digests.keys(number)
        ]
        answers = self._builder.datagrams(
            keys[: datagram_builder.MAX_RECORDS * MAX_ANSWERS], now
        )
        if compare:
            last = answers.pop() if answers else self._builder.empty()
            mine = self._directory.digests.packed()
            answers.append(last._replace(buckets=mine))
        return [effects.Send(address, answer, "compare") for answer in answers]

"""Anti-entropy: two instances compare hashes and exchange what differs.

It repairs what was lost with earlier datagrams.
"""

import random

from hyssopfold.core.membership import datagram_builder
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects

# Datagrams of records in one answer to a comparison.
MAX_ANSWERS = 4
# Comparisons that an instance starts in one period when hashes differ.
MAX_COMPARISONS = 2


class AntiEntropy:
    """Compares two directories by their hashes, for the gossip protocol.

    Args:
        builder: Builds the datagrams.
        member_directory: Directory of this instance.
        rng: Draws the order in which differing buckets are sent.
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
        self._comparisons_left = MAX_COMPARISONS

    def renew(self) -> None:
        """Allow `MAX_COMPARISONS` comparisons again; due each period."""
        self._comparisons_left = MAX_COMPARISONS

    def ask(self, address: str) -> list[effects.Effect]:
        """Send the hashes of all buckets to an instance whose hash differs."""
        if not self._comparisons_left:
            return []
        self._comparisons_left -= 1
        hashes = self._directory.digests.packed()
        question = self._builder.empty()._replace(buckets=hashes, compare=True)
        return [effects.Send(address, question, "compare")]

    def answer(
        self, address: str, buckets: bytes, compare: bool, now: float
    ) -> list[effects.Effect]:
        """Send this instance's records in the buckets that differ.

        The asker may have newer records. With `compare` the last datagram
        contains the hashes of this instance, which the asker answers with its
        own records but without hashes: the exchange ends there.

        Args:
            address: Address of the asker.
            buckets: Its hashes.
            compare: Whether the asker is to answer with its records in turn.
            now: Monotonic time in seconds.
        """
        differing = self._directory.digests.differing(buckets)
        if not differing:
            return []
        self._rng.shuffle(differing)
        keys = [
            key
            for bucket in differing
            for key in self._directory.digests.keys(bucket)
        ]
        answers = self._builder.datagrams(
            keys[: datagram_builder.MAX_RECORDS * MAX_ANSWERS], now
        )
        if compare:
            last = answers.pop() if answers else self._builder.empty()
            hashes = self._directory.digests.packed()
            answers.append(last._replace(buckets=hashes))
        return [effects.Send(address, answer, "compare") for answer in answers]

"""Choice of the limit coordinator, by each entry for itself."""

from collections.abc import Iterable

from hyssopfold.core.balancing import affinity

# Key by which the entries rank each other.
_RANKING_KEY = "limits of organisations"
# Reports without an answer after which the entry that ranks next is asked. The
# directory notices the loss of an entry later than that.
_MAX_UNANSWERED = 3
# Reports after which an entry that skipped others asks the first one again: if
# that is lost, the directory has noticed by then, and the ranking has changed.
# Otherwise only this entry's messages were lost, and the others still ask it.
_MAX_SKIPPING = 10


class CoordinatorChoice:
    """Chooses the entry that ranks first and answers.

    Entries that choose differently for some time divide the limits between
    their coordinators, see `coordinator.Coordinator`.
    """

    def __init__(self) -> None:
        self._ranked: tuple[str, ...] = ()
        self._skipped = 0
        self._unanswered = 0
        # Reports since the first skipped one.
        self._skipping = 0

    def next(self, names: Iterable[str]) -> str:
        """Return the entry to which the next report is sent.

        Args:
            names: The live entries.
        """
        ranked = affinity.rank_unweighted(_RANKING_KEY, names)
        if ranked != self._ranked:
            self._ranked = ranked
            self._skipped = self._unanswered = self._skipping = 0
        if self._unanswered >= _MAX_UNANSWERED:
            self._skipped += 1
            self._unanswered = 0
        if self._skipped:
            self._skipping += 1
        if self._skipping > _MAX_SKIPPING:
            self._skipped = self._unanswered = self._skipping = 0
        self._unanswered += 1
        return ranked[self._skipped % len(ranked)]

    def record_answer(self) -> None:
        """Record that the chosen entry has answered."""
        self._unanswered = 0

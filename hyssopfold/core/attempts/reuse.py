"""How long a connection may have rested when a request is sent on it.

Servers, or what lies between, may forget a connection that rests, sooner
than they say and without a word. What is sent on it next is reset at once; a
request that may not run twice is then lost, as the reset does not tell
whether it ran.
"""

import math

# A reset that comes a round trip after the request says that the connection was
# gone; one that comes later, that the server broke off its work, for which a
# warm one needs 70 ms and more. The round trip is that of the opening, half as
# much again and some for a busy process.
SIGN_ROUND_TRIPS = 1.5
SIGN_SLACK_S = 0.02
# A server that crashes resets connections too, at any moment: one reset at the
# time of a round trip is chance, two are not. With one alone, and within 0.15 s,
# a day on which answers were lost saw three times as many new connections.
SIGNS = 2
# Connections are used only after half of the shortest rest that was too long,
# for this time: a spell of such losses passes, and new connections cost a round
# trip each.
SHARE = 0.5
CAREFUL_S = 10.0


class Reuse:
    """Decide which connections that rested may carry a request.

    Args:
        proven_s: Rest in seconds up to which a connection counts as new.
    """

    def __init__(self, proven_s: float) -> None:
        self._proven_s = proven_s
        self._limit_s = math.inf
        self._until = -math.inf
        # Rests that were too long, and when that showed.
        self._signs: list[tuple[float, float]] = []

    def limit_s(self, now: float) -> float:
        """Return the longest rest in seconds that was not too long lately."""
        return self._limit_s if now < self._until else math.inf

    def is_proven(self, rested_s: float, now: float) -> bool:
        """Return whether a connection counts as new."""
        return rested_s < min(self._proven_s, self.limit_s(now))

    def note_reset(
        self, rested_s: float, after_s: float, round_trip_s: float, now: float
    ) -> bool:
        """Take in that a connection broke; return whether rests are cut short.

        Args:
            rested_s: How long it had rested, 0 for a new one.
            after_s: Seconds from the request to the break.
            round_trip_s: Seconds that its opening took.
            now: Monotonic time in seconds.
        """
        if not rested_s:
            return False
        if after_s > round_trip_s * SIGN_ROUND_TRIPS + SIGN_SLACK_S:
            return False
        self._signs = [
            (at, rest) for at, rest in self._signs if now - at < CAREFUL_S
        ]
        self._signs.append((now, rested_s))
        if len(self._signs) < SIGNS:
            return False
        self._limit_s = SHARE * min(rest for _, rest in self._signs)
        self._until = now + CAREFUL_S
        return True

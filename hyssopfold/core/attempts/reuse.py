"""How long a connection may have rested when a request is sent on it.

Servers, or what lies between, may forget a connection that rests, sooner
than they say and without a word. What is sent on it next is reset at once; a
request that may not run twice is then lost, as the reset does not tell
whether it ran.
"""

import math

# A reset that comes within a round trip of the request says that the connection
# was gone; later than a request takes, that the server broke off its work. Round
# trips between regions take some 0.1 s.
SIGN_S = 0.15
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

    def limit_s(self, now: float) -> float:
        """Return the longest rest in seconds that was not too long lately."""
        return self._limit_s if now < self._until else math.inf

    def is_proven(self, rested_s: float, now: float) -> bool:
        """Return whether a connection counts as new."""
        return rested_s < min(self._proven_s, self.limit_s(now))

    def note_reset(self, rested_s: float, after_s: float, now: float) -> bool:
        """Take in that a connection broke; return whether rest was the cause.

        Args:
            rested_s: How long it had rested, 0 for a new one.
            after_s: Seconds from the request to the break.
            now: Monotonic time in seconds.
        """
        if not rested_s or after_s > SIGN_S:
            return False
        self._limit_s = min(self.limit_s(now), rested_s * SHARE)
        self._until = now + CAREFUL_S
        return True

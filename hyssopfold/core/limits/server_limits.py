"""Rate limits that backend servers name in their answers."""

from typing import NamedTuple


class Observation(NamedTuple):
    """What an answer of a server said about its rate limit, and when.

    `rate` is in requests a second from all entries together, None without a
    limit; `at` is monotonic time in seconds.
    """

    rate: float | None
    at: float


class ServerLimits:
    """The rate limits of servers, by incarnation key.

    A restarted server has another key, and no limit until it names one.
    """

    def __init__(self) -> None:
        self._observations: dict[int, Observation] = {}

    def rate(self, key: int) -> float | None:
        """Return a server's limit in requests a second, None without one.

        Args:
            key: The server's key, see `server_stats.incarnation_key`.
        """
        observation = self._observations.get(key)
        return observation.rate if observation is not None else None

    def record_answer(
        self, key: int, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Record whether an answer to this entry named a limit.

        An answer without one ends a limit only if its request was sent after
        the limit was last observed: it may have been written before the server
        named the limit.

        Args:
            key: Incarnation key of the server.
            rate: The limit that the answer named.
            sent_at: Time at which the request of the answer was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        last = self._observations.get(key)
        if rate is None and (last is None or sent_at <= last.at):
            return False
        self._observations[key] = Observation(rate, now)
        return rate != (last.rate if last is not None else None)

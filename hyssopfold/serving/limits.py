"""What one caller may take of a listener."""

from typing import NamedTuple


class Limits(NamedTuple):
    """What one caller may take; times are in seconds.

    `header_s` is the time for a whole request head, `idle_s` how long a
    connection may wait between requests, `stall_s` how long an upload or a
    download may make no progress, `linger_s` how long the rest of a request
    is read away after an early answer. Of the requests that a caller sends
    before the earlier ones are answered, `ahead` are served beside the first
    and `ahead_bytes` are read; what comes beyond waits in the network.
    """

    header_bytes: int = 16_384
    header_s: float = 10.0
    idle_s: float = 75.0
    stall_s: float = 60.0
    linger_s: float = 5.0
    connections: int = 10_000
    connections_per_caller: int = 1_000
    ahead: int = 8
    ahead_bytes: int = 65_536


class CutAnswerError(Exception):
    """An answer that has begun can't be made whole."""

"""Limits on the resources of a listener that callers may use."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits of a listener on its callers.

    Attributes:
        max_header_bytes: Size of a request head.
        header_timeout_s: Seconds until a request head must be complete.
        idle_timeout_s: Seconds that a connection may stay open without a
            request.
        stall_timeout_s: Seconds that an upload or a download may make no
            progress.
        linger_timeout_s: Seconds after the last answer in which input is read
            and discarded until the caller closes the connection. Extended
            while the caller takes more of that answer.
        max_connections: Open connections of all callers.
        max_connections_per_caller: Open connections of one caller.
        max_pipelined: Of the requests that a caller pipelines, how many run
            concurrently with the first one. Further ones are not started.
        max_buffered_bytes: Unparsed bytes of a connection at which reading
            pauses. Further bytes stay in the socket buffers of both ends.
    """

    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    stall_timeout_s: float = 60.0
    linger_timeout_s: float = 5.0
    max_connections: int = 10_000
    max_connections_per_caller: int = 1_000
    max_pipelined: int = 8
    max_buffered_bytes: int = 65_536


class CutAnswerError(Exception):
    """An answer that has begun can't be completed."""

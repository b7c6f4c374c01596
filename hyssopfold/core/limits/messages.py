"""Messages by which entries share the limits of organisations.

New fields are appended and have defaults, see `transport.codec`.
"""

from typing import NamedTuple
import zlib


class Limit(NamedTuple):
    """Limit of an organisation: `rate` requests a second, and a burst."""

    rate: float
    burst: float


class Usage(NamedTuple):
    """Requests of an organisation at one entry.

    Attributes:
        key: Key of the organisation, see `organisation_key`.
        admitted: Requests sent to servers within the last window.
        asked: Requests in the last period, admitted and refused.
    """

    key: int
    admitted: int
    asked: int


class UsageReport(NamedTuple):
    """An entry reports its usage to the coordinator, once a period.

    `covered_s` is the part of the last window that the report covers: an entry
    that has just started doesn't know what it admitted before.
    """

    number: int
    usages: tuple[Usage, ...] = ()
    covered_s: float = 0.0


class Allowance(NamedTuple):
    """What an entry may admit of an organisation until the next answer.

    Attributes:
        key: Key of the organisation, see `organisation_key`.
        requests: Most requests.
        share: Share of the requests that is admitted. A small organisation's
            next requests come to other entries than its last ones, so parts
            of its limit for single entries would be left unused.
        wait_s: Time in seconds after which refused callers may be admitted.
    """

    key: int
    requests: float
    share: float
    wait_s: float


class AllowanceUpdate(NamedTuple):
    """The coordinator's answer to the report `number`.

    Organisations that are not listed are far from their limits: the entry need
    not count their requests until the next answer.
    """

    number: int
    allowances: tuple[Allowance, ...] = ()


Message = UsageReport | AllowanceUpdate


def organisation_key(organisation: str) -> int:
    """Return the number that identifies an organisation in messages."""
    return zlib.crc32(organisation.encode())

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
        key: Key of the organisation, see `account_key`.
        admitted: Requests sent to servers within the last window.
        asked: Requests in the last period, admitted and refused.
    """

    key: int
    admitted: int
    asked: int


class UsageReport(NamedTuple):
    """An entry reports its usage to the accountant, once a period."""

    number: int
    usages: tuple[Usage, ...] = ()


class Allowance(NamedTuple):
    """Requests of an organisation that an entry may send until the next one.

    `wait_s` is the time in seconds after which refused callers may be admitted.
    """

    key: int
    requests: float
    wait_s: float


class AllowanceUpdate(NamedTuple):
    """The accountant's answer to the report `number`.

    Organisations that are not listed are far from their limits: the entry need
    not count their requests until the next answer.
    """

    number: int
    allowances: tuple[Allowance, ...] = ()


Message = UsageReport | AllowanceUpdate


def account_key(organisation: str) -> int:
    """Return the number that identifies an organisation in messages."""
    return zlib.crc32(organisation.encode())

"""The other instances by distance: whom to gossip with, who passes news on."""

from collections.abc import Callable
import random
from typing import NamedTuple

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Partners in the own failure domain in one period of gossip.
NEAR_PARTNERS = 2
# Instances of a failure domain that exchange with another domain of the
# region, and with another region, in one period.
EXCHANGES_PER_PERIOD = 4.0

Domain = tuple[str, str]


class Recipient(NamedTuple):
    """Where to send; `relays` when it is to pass on to its failure domain."""

    address: str
    relays: bool = False


class PeerSelector:
    """Choose other instances, near ones before far ones.

    Traffic between failure domains and regions is scarce: all of a failure
    domain is told by one or two of its instances, and most exchanges stay
    within it.

    Args:
        me: Name of this instance.
        home: Its region and failure domain.
        member_directory: Directory of the instances.
        rng: Source of the choice.
    """

    def __init__(
        self,
        me: str,
        home: Domain,
        member_directory: directory.Directory,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._home = home
        self._directory = member_directory
        self._rng = rng
        self._as_of = -1
        self._by_domain: dict[Domain, list[messages.Instance]] = {}

    def _domains(self) -> dict[Domain, list[messages.Instance]]:
        if self._as_of != self._directory.instances.changes:
            self._as_of = self._directory.instances.changes
            self._by_domain = {}
            for one in self._directory.instances.records():
                if one.name != self._me:
                    domain = (one.region, one.failure_domain)
                    self._by_domain.setdefault(domain, []).append(one)
        return self._by_domain

    def addresses(self) -> set[str]:
        """Return the gossip addresses of all other instances."""
        return {
            one.gossip_address
            for held in self._domains().values()
            for one in held
        }

    def partners(self) -> list[str]:
        """Return the addresses to gossip with in one period.

        Two in this failure domain; at times one elsewhere in the region, and
        one in another region, rarely enough that the whole failure domain
        makes a few such exchanges in a period.
        """
        domains = self._domains()
        own = domains.get(self._home, [])
        region = [
            one
            for domain, held in domains.items()
            if domain[0] == self._home[0] and domain != self._home
            for one in held
        ]
        far = [
            one
            for domain, held in domains.items()
            if domain[0] != self._home[0]
            for one in held
        ]
        chosen = self._rng.sample(own, min(NEAR_PARTNERS, len(own)))
        chance = EXCHANGES_PER_PERIOD / (len(own) + 1)
        for others in (region, far):
            if not own or self._rng.random() < chance:
                chosen += self._pick(others)
        return [one.gossip_address for one in chosen]

    def _pick(self, others: list[messages.Instance]) -> list[messages.Instance]:
        return [self._rng.choice(others)] if others else []

    def everyone(
        self, relays: int, is_live: Callable[[str], bool]
    ) -> list[Recipient]:
        """Return whom to send to so that all instances are told.

        Args:
            relays: Instances of another failure domain that pass on to it.
            is_live: Whether an instance, by name, is fit to be a relay.
        """
        found: list[Recipient] = []
        for domain, held in self._domains().items():
            if domain == self._home or len(held) <= relays:
                found += [Recipient(one.gossip_address) for one in held]
                continue
            live = [one for one in held if is_live(one.name)] or held
            chosen = self._rng.sample(live, min(relays, len(live)))
            found += [Recipient(one.gossip_address, True) for one in chosen]
        return found

    def own_domain(self) -> list[messages.Instance]:
        """Return the others of this failure domain."""
        return self._domains().get(self._home, [])

    def nearest(self, count: int, role: messages.Role) -> list[str]:
        """Return addresses of instances of a role, the nearest first."""
        held = [
            one
            for others in self._domains().values()
            for one in others
            if one.role == role and one.state != "leaving"
        ]
        self._rng.shuffle(held)
        held.sort(key=self._distance)
        return [one.gossip_address for one in held[:count]]

    def _distance(self, one: messages.Instance) -> int:
        if (one.region, one.failure_domain) == self._home:
            return 0
        return 1 if one.region == self._home[0] else 2

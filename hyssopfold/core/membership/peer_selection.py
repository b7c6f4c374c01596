"""Selection of peers by distance: for gossip, and as relays of broadcasts."""

from collections.abc import Callable
import random
from typing import NamedTuple

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Peers in the own failure domain in one period of gossip.
NEAR_PEERS = 2
# Exchanges that all instances of a failure domain together make in one period
# with other domains of the region, and with other regions.
EXCHANGES_PER_PERIOD = 4.0

Domain = tuple[str, str]


class Recipient(NamedTuple):
    """Recipient of a broadcast; `relays` if it forwards to its domain."""

    address: str
    relays: bool = False


class PeerSelector:
    """Selects other instances, near ones before far ones.

    Bandwidth between failure domains and regions is scarce: a broadcast goes
    to one or two instances of a failure domain, which relay it there, and
    most exchanges stay within the domain. Used by the gossip protocol, by
    broadcasts and by the failure detector.

    Args:
        me: Name of this instance.
        home: Its region and failure domain.
        member_directory: Directory of the instances.
        rng: Chooses among the instances.
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
        self._directory_changes = -1
        self._by_domain: dict[Domain, list[messages.Instance]] = {}

    def _domains(self) -> dict[Domain, list[messages.Instance]]:
        if self._directory_changes != self._directory.instances.changes:
            self._directory_changes = self._directory.instances.changes
            self._by_domain = {}
            for instance in self._directory.instances.records():
                if instance.name != self._me:
                    domain = (instance.region, instance.failure_domain)
                    self._by_domain.setdefault(domain, []).append(instance)
        return self._by_domain

    def addresses(self) -> set[str]:
        """Return the gossip addresses of all other instances."""
        return {
            instance.gossip_address
            for members in self._domains().values()
            for instance in members
        }

    def gossip_peers(self) -> list[str]:
        """Return the addresses to gossip with in one period.

        They are two instances of this failure domain, and with some
        probability one elsewhere in the region and one in another region.
        The probability is such that all instances of the failure domain
        together make `EXCHANGES_PER_PERIOD` exchanges of each kind.
        """
        domains = self._domains()
        own = domains.get(self._home, [])
        region = [
            instance
            for domain, members in domains.items()
            if domain[0] == self._home[0] and domain != self._home
            for instance in members
        ]
        far = [
            instance
            for domain, members in domains.items()
            if domain[0] != self._home[0]
            for instance in members
        ]
        chosen = self._rng.sample(own, min(NEAR_PEERS, len(own)))
        probability = EXCHANGES_PER_PERIOD / (len(own) + 1)
        for others in (region, far):
            if not own or self._rng.random() < probability:
                chosen += self._choose(others)
        return [instance.gossip_address for instance in chosen]

    def _choose(
        self, others: list[messages.Instance]
    ) -> list[messages.Instance]:
        return [self._rng.choice(others)] if others else []

    def broadcast_recipients(
        self, relays: int, is_live: Callable[[str], bool]
    ) -> list[Recipient]:
        """Return the recipients of a broadcast to all instances.

        Args:
            relays: Instances of another failure domain that relay to it.
            is_live: Whether an instance, by name, can be a relay.
        """
        recipients: list[Recipient] = []
        for domain, members in self._domains().items():
            if domain == self._home or len(members) <= relays:
                recipients += [
                    Recipient(instance.gossip_address) for instance in members
                ]
                continue
            live = [
                instance for instance in members if is_live(instance.name)
            ] or members
            chosen = self._rng.sample(live, min(relays, len(live)))
            recipients += [
                Recipient(instance.gossip_address, True) for instance in chosen
            ]
        return recipients

    def own_domain(self) -> list[messages.Instance]:
        """Return the other instances of this failure domain."""
        return self._domains().get(self._home, [])

    def nearest(self, count: int, role: messages.Role) -> list[str]:
        """Return addresses of instances of a role, the nearest first."""
        instances = [
            instance
            for others in self._domains().values()
            for instance in others
            if instance.role == role and instance.state != "leaving"
        ]
        self._rng.shuffle(instances)
        instances.sort(key=self._distance)
        return [instance.gossip_address for instance in instances[:count]]

    def _distance(self, instance: messages.Instance) -> int:
        if (instance.region, instance.failure_domain) == self._home:
            return 0
        return 1 if instance.region == self._home[0] else 2

"""Members of the register that find each other from a few seeds."""

from hyssopfold.core.consensus import node
from tests.support import fake_members

WANTED = 5


class FakeDiscovery(fake_members.FakeMembers):
    """Run members that know some addresses of others at first.

    Args:
        seeds: How many of the members all are told of.
        count: Number of members that start.
        seed: Seed of everything random.
    """

    def __init__(self, seeds, count, seed):
        self.first_start = True
        self._seeds = seeds
        super().__init__(count, seed, node_class=self._make)

    def _make(self, identity, configured, durable, rng):
        return node.Node(
            identity,
            configured[: self._seeds],
            durable,
            rng,
            first_start=self.first_start,
            wanted_members=WANTED,
            region=self.region_of(identity.member.name),
        )

    @staticmethod
    def region_of(name):
        """Return the region of a member: three, by turns."""
        return f"region-{int(name.partition('-')[2]) % 3}"

    def members(self):
        """Return the names of those that vote, as the newest one knows."""
        known = [one.learned for one in self.nodes.values()]
        newest = max(known, key=lambda register: register.epoch)
        return {member.name for member in newest.members}

    def all_vote(self):
        """Return whether all that run vote."""
        return all(map(self.voting, self.nodes))

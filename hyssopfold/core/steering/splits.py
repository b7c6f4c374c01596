"""Selection of the pool for a request of a split route."""

from collections.abc import Mapping

from hyssopfold.core.steering import regions


def pick(split: Mapping[str, float], request_id: str) -> str:
    """Return the pool of a request, chosen at random by weight.

    The random number is a hash of the request's id, so all entries choose the
    same pool, and the shares don't depend on the objects that requests concern.

    Args:
        split: Weight of each pool, at least one of them above 0.
        request_id: Id of the request.
    """
    draw = regions.to_fraction(regions.hash_draws(f"split {request_id}")[0])
    remaining = draw * sum(split.values())
    chosen = ""
    for pool, weight in sorted(split.items()):
        if weight <= 0:
            continue
        chosen = pool
        remaining -= weight
        if remaining < 0:
            break
    return chosen

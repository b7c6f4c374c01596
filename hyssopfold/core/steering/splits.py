"""Which of several pools a request of a split route goes to."""

from collections.abc import Mapping

from hyssopfold.core.steering import regions


def pick(split: Mapping[str, float], request_id: str) -> str:
    """Return a pool, each for its share of the requests.

    The draw comes from the request's id: every entry draws alike, and the
    shares hold whatever the objects are that the requests concern.

    Args:
        split: Weight of each pool, one of them above 0.
        request_id: Id of the request.
    """
    draw = regions.to_fraction(regions.hash_draws(f"split {request_id}")[0])
    left = draw * sum(split.values())
    chosen = ""
    for name, weight in sorted(split.items()):
        if weight <= 0:
            continue
        chosen = name
        left -= weight
        if left < 0:
            break
    return chosen

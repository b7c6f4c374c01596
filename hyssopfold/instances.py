"""What a daemon tells of the instances it knows, over HTTP."""

from hyssopfold import http
from hyssopfold.transport import gossip

PATH = "/hyssop/v1/instances"


def answer(spread: gossip.Gossip) -> http.Answer:
    """Return the instances whose lease holds, with their own words."""
    words = spread.directory.instances.records()
    listed = [word._asdict() for word in words]
    return http.json_answer({"instances": listed})

"""The list of known instances that each daemon serves over HTTP."""

from hyssopfold import http
from hyssopfold.transport import gossip

PATH = "/hyssop/v1/instances"


def answer(gossip_service: gossip.Gossip) -> http.Answer:
    """Return the records of the instances whose lease has not expired."""
    records = gossip_service.directory.instances.records()
    fields = [record._asdict() for record in records]
    return http.json_answer({"instances": fields})

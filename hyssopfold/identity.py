"""What a process says of itself to the others."""

import time

from hyssopfold import settings
from hyssopfold.core.balancing import messages as balancing
from hyssopfold.core.membership import messages


def incarnation() -> int:
    """Return a number that grows from one start of a process to the next."""
    return time.time_ns() // 1_000_000


def initial_record(
    cfg: settings.ControlSettings | settings.EntrySettings,
    role: messages.Role,
) -> messages.Instance:
    """Return what an instance says of itself at its start."""
    return messages.Instance(
        name=cfg.name,
        role=role,
        address=cfg.http_address,
        gossip_address=cfg.gossip_address,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        state="ready" if role == "control" else "starting",
        incarnation=incarnation(),
        sequence=0,
        revision=0,
        load=0.0,
        rpc_address=cfg.rpc_address,
    )


def member(word: messages.Instance) -> balancing.Member:
    """Return an instance as placement knows it: one life of it."""
    return balancing.Member(word.name, word.incarnation)

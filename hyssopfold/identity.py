"""Identity of a process in its messages to other instances."""

import time

from hyssopfold import settings
from hyssopfold.core.balancing import messages as balancing
from hyssopfold.core.membership import messages


def incarnation() -> int:
    """Return the time in ms, a number that grows with each process start."""
    return time.time_ns() // 1_000_000


def initial_record(
    cfg: settings.ControlSettings | settings.EntrySettings,
    role: messages.Role,
) -> messages.Instance:
    """Return the record that an instance announces of itself at its start.

    Args:
        cfg: Settings of the instance.
        role: Whether it is a control instance or an entry.
    """
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


def member(instance: messages.Instance) -> balancing.Member:
    """Return one incarnation of an instance, as placement identifies it."""
    return balancing.Member(instance.name, instance.incarnation)

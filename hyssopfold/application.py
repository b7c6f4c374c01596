"""Composition root: the parts of each daemon, wired, under supervision."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import random
import signal
import time
from typing import Any

import trio

from hyssopfold import certificates
from hyssopfold import http
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import security
from hyssopfold import serving
from hyssopfold import settings
from hyssopfold import supervisor
from hyssopfold.control import api
from hyssopfold.control import instance as control_instance
from hyssopfold.control import slot_votes
from hyssopfold.core.attempts import claims as core_claims
from hyssopfold.core.balancing import messages as balancing
from hyssopfold.core.balancing import node
from hyssopfold.core.balancing import subset
from hyssopfold.core.consensus import messages as consensus_messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import history
from hyssopfold.core.draining import stop as core_stop
from hyssopfold.core.membership import messages
from hyssopfold.entry import adoption
from hyssopfold.entry import app as entry_app
from hyssopfold.entry import blocks
from hyssopfold.entry import claims
from hyssopfold.entry import configuration
from hyssopfold.entry import connections
from hyssopfold.entry import leaving
from hyssopfold.entry import lookups
from hyssopfold.entry import pacing
from hyssopfold.entry import placement
from hyssopfold.entry import proxy
from hyssopfold.entry import status as entry_status
from hyssopfold.entry import steering
from hyssopfold.entry import upstream
from hyssopfold.storage import folder
from hyssopfold.storage import records
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import gossip
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

Child = tuple[str, Callable[[], Awaitable[None]]]


def incarnation() -> int:
    """Return a number that grows from one start of a process to the next."""
    return time.time_ns() // 1_000_000


def _myself(
    cfg: settings.ControlSettings | settings.EntrySettings,
    role: messages.Role,
) -> messages.Instance:
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


def _member(word: messages.Instance) -> balancing.Member:
    return balancing.Member(word.name, word.incarnation)


async def run_control(cfg: settings.ControlSettings) -> None:
    """Run a control instance until it is told to stop."""
    logs.configure(cfg.name, cfg.log_level, cfg.log_decision_sample)
    rng = random.Random()
    with folder.DataFolder(cfg.data_folder) as data:
        kept = records.MemberRecords(data, cfg.name, rng.getrandbits)
        identity, durable = kept.open(cfg.rpc_address)
        register = consensus_node.Node(
            identity,
            [consensus_messages.Endpoint(*member) for member in cfg.control],
            durable,
            rng,
            cfg.round_timeout_s,
            cfg.edit_timeout_s,
        )
        shared = security.load(cfg, rng)
        links = shared.links
        member = control_instance.Instance(
            register,
            kept,
            functools.partial(rpc.Client, links=links),
            cfg.edit_timeout_s,
        )
        confirmations = publisher.Confirmations(member.confirm)
        publish = publisher.Publisher(
            history.History(), confirmations.age_s, confirmations.confirm
        )
        publish.publish(member.register.revision, member.register.value)
        member.listeners.append(publish.publish)
        spread = gossip.Gossip(
            _myself(cfg, "control"),
            cfg.gossip_seeds,
            cfg.lease_s,
            links.keyring,
            rng,
        )
        votes = slot_votes.SlotVotes(_member(spread.myself), data, spread)
        member.listeners.append(
            lambda revision, _: spread.update_self(revision=revision)
        )
        meter = metrics.Metrics(cfg.name)
        operators = api.Api(
            member, spread, meter, shared.operators, shared.announcers
        )
        handlers: dict[rpc.Method, rpc.Handler] = {
            consensus_wire.DELIVER: member.deliver,
            poll_wire.POLL: publish.poll,
        }
        children: list[Child] = [
            ("member", member.run),
            ("gossip", spread.run),
            ("slot-votes", votes.run),
            ("confirmations", confirmations.run),
            ("reloading", shared.reloader.run),
            (
                "rpc",
                functools.partial(rpc.serve, cfg.rpc_address, handlers, links),
            ),
        ]
        await _run_daemon(
            cfg, operators, children, rng, _stop_at_once, shared.tls
        )


async def run_entry(cfg: settings.EntrySettings) -> None:
    """Run an entry until it is told to stop and its requests are done."""
    logs.configure(cfg.name, cfg.log_level, cfg.log_decision_sample)
    rng = random.Random()
    shared = security.load(cfg, rng)
    links = shared.links
    config = configuration.Configuration(
        cfg.name,
        [rpc.Client(member.rpc_address, links) for member in cfg.control],
        rpc.Clients(links),
        rng,
        timing=follower.Timing(hold_s=cfg.poll_s),
    )
    spread = gossip.Gossip(
        _myself(cfg, "entry"),
        cfg.gossip_seeds,
        cfg.lease_s,
        links.keyring,
        rng,
    )
    spread.on_revision = config.hear
    place = placement.Placement(
        node.Node(
            node.Config(
                _member(spread.myself),
                cfg.region,
                cfg.failure_domain,
                tuple(member.name for member in cfg.control),
            ),
            spread.directory,
            rng,
            trio.current_time(),
        ),
        spread,
    )

    def bound(server: messages.Server) -> int:
        entries = len(spread.directory.ready_entries())
        return subset.share(server.connections, server.slots, entries)

    connected = connections.Pool(bound)
    servers = upstream.Upstream(connected)
    meter = metrics.Metrics(cfg.name)
    clients = blocks.Blocks(cfg.client_blocks)
    steer = steering.Steering(
        cfg.region, cfg.region_delays_ms, config, spread.directory, clients
    )
    catch_up = functools.partial(adoption.adopt, spread)
    look_up = lookups.Lookups(
        cfg.region,
        cfg.region_delays_ms,
        cfg.lookup_ttl_s,
        config,
        spread,
        steer,
    )
    claimed = claims.Claims(
        lambda: spread.myself,
        spread.directory,
        rpc.Clients(links),
        core_claims.Table(),
    )
    forward = proxy.Proxy(
        config,
        steer,
        place,
        pacing.Pacer(cfg.region, config, spread.directory),
        servers,
        meter,
        claimed=claimed,
        here=proxy.Here(cfg.region, spread.directory),
        rng=rng,
        max_body_bytes=cfg.max_body_bytes,
    )
    app = entry_app.App(
        look_up,
        entry_status.Status(config, spread, steer, place),
        config,
        spread,
        forward,
        place,
        meter,
        shared.announcers,
    )

    async def become_ready() -> None:
        while config.snapshot.revision == 0 or not spread.ready:
            await trio.sleep(0.05)
        steer.step(trio.current_time(), time.time())
        await catch_up(steer.shares)
        spread.update_self(state="ready")
        while True:
            revision = config.snapshot.revision
            place.set_pools(config.snapshot.tables.pools)
            spread.update_self(revision=revision, load=float(forward.in_flight))
            await trio.sleep(0.1)

    listener = serving.Listener(app, cfg.limits)
    leave = leaving.Leave(
        core_stop.Stop(
            cfg.lookup_ttl_s,
            gossip.SPREAD_S + lookups.MAX_AGE_S,
            cfg.stop_max_s,
        ),
        listener,
        spread,
        place.leave,
        claimed.hand_over,
    )
    children: list[Child] = [
        ("configuration", config.run),
        ("gossip", spread.run),
        ("steering", functools.partial(steer.run, catch_up)),
        ("placement", place.run),
        ("client-blocks", clients.run),
        ("state", become_ready),
        ("reloading", shared.reloader.run),
        ("connections", connected.sweep),
        ("claims", claimed.run),
    ]
    if cfg.rpc_address:
        handlers: dict[rpc.Method, rpc.Handler] = {
            poll_wire.POLL: config.publisher.poll,
            **claimed.handlers(),
        }
        serve = functools.partial(rpc.serve, cfg.rpc_address, handlers, links)
        children.append(("rpc", serve))
    await _run_daemon(cfg, app, children, rng, leave.run, shared.tls, listener)
    await servers.aclose()


async def _stop_at_once() -> None:
    """Leave without waiting: no caller's request is under way here."""


async def _run_daemon(
    cfg: settings.ControlSettings | settings.EntrySettings,
    app: http.App,
    children: list[Child],
    rng: random.Random,
    leave: Callable[[], Awaitable[None]],
    tls: certificates.Server | None,
    listener: serving.Listener | None = None,
) -> None:
    """Supervise the children and the HTTP server until told to stop."""
    stop = trio.Event()
    async with rpc.open_loop(), trio.open_nursery() as nursery:
        for name, child in children:
            nursery.start_soon(supervisor.supervise, name, child, rng)
        listener = listener or serving.Listener(app, serving.Limits())
        nursery.start_soon(_wait_for_stop, cfg, leave, listener, stop)
        serve = functools.partial(
            http.serve,
            app,
            cfg.http_address,
            stop,
            cfg.stop_max_s,
            listener,
            tls=tls,
        )
        logger.info(logs.Event("started", http=cfg.http_address))
        await supervisor.supervise("http", serve, rng)
        logger.info(logs.Event("stopped"))
        nursery.cancel_scope.cancel()


async def _wait_for_stop(
    cfg: settings.ControlSettings | settings.EntrySettings,
    leave: Callable[[], Awaitable[None]],
    listener: serving.Listener,
    stop: trio.Event,
) -> None:
    async def leave_and_stop() -> None:
        await leave()
        stop.set()

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            asked = False
            async for number in signals:
                name = signal.Signals(number).name
                if not asked:
                    logger.info(logs.Event("stop-asked", signal=name))
                    nursery.start_soon(leave_and_stop)
                elif cfg.stop_second_signal == "cut":
                    leaving.cut(listener, f"second {name}")
                    stop.set()
                else:
                    logger.info(logs.Event("second-signal-ignored"))
                asked = True


def run(main: Callable[[Any], Awaitable[None]], cfg: Any) -> None:
    """Run a daemon's main task under trio."""
    trio.run(main, cfg)

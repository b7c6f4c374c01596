"""Composition root: the parts of each daemon, wired, under supervision."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import random
import signal
from typing import Any

import trio

from hyssopfold import entry_parts
from hyssopfold import faces as faces_module
from hyssopfold import http
from hyssopfold import identity
from hyssopfold import log_output
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import reloading
from hyssopfold import security
from hyssopfold import serving
from hyssopfold import settings
from hyssopfold import settings_source
from hyssopfold import supervisor
from hyssopfold.control import api
from hyssopfold.control import hearing
from hyssopfold.control import instance as control_instance
from hyssopfold.control import slot_votes
from hyssopfold.core.consensus import messages as consensus_messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.core.distribution import history
from hyssopfold.entry import leaving
from hyssopfold.storage import folder
from hyssopfold.storage import records
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import gossip
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

Child = entry_parts.Child


def _configure_logs(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> log_output.BoundedHandler:
    return logs.configure(
        cfg.name,
        cfg.log_level,
        cfg.log_decision_sample,
        cfg.log_lines_per_s,
    )


def _listed(cfg: settings.ControlSettings) -> list[consensus_messages.Endpoint]:
    """Return the control instances to form with, or to find others through.

    Where they find each other, an instance is named by its address: that is
    all that others know of it, and one that comes back there blank takes the
    place of the one that was.
    """
    if cfg.control:
        return [consensus_messages.Endpoint(*one) for one in cfg.control]
    return [
        consensus_messages.Endpoint(address, address)
        for address in cfg.control_seeds
    ]


def _register(
    cfg: settings.ControlSettings,
    kept: records.MemberRecords,
    rng: random.Random,
) -> consensus_node.Node:
    who, durable = kept.open(cfg.rpc_address)
    return consensus_node.Node(
        who,
        _listed(cfg),
        durable,
        rng,
        cfg.round_timeout_s,
        cfg.edit_timeout_s,
        cfg.first_start,
        0 if cfg.control else cfg.voters,
        cfg.region,
    )


async def run_control(
    cfg: settings.ControlSettings,
    faces: faces_module.ControlFaces = faces_module.OUR_CONTROL_FACES,
    source: settings_source.Source | None = None,
) -> None:
    """Run a control instance until it is told to stop."""
    _configure_logs(cfg)
    rng = random.Random()
    with folder.DataFolder(cfg.data_folder) as data:
        voter = cfg.name if cfg.control else cfg.rpc_address
        kept = records.MemberRecords(data, voter, rng.getrandbits)
        shared = security.load(cfg, rng)
        links = shared.links
        member = control_instance.Instance(
            _register(cfg, kept, rng),
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
            identity.myself(cfg, "control"),
            cfg.gossip_seeds,
            cfg.lease_s,
            links.keyring,
            rng,
        )
        votes = slot_votes.SlotVotes(
            identity.member(spread.myself), data, spread
        )
        member.listeners.append(
            lambda revision, _: spread.update_self(revision=revision)
        )
        meter = metrics.Metrics(cfg.name)
        operators = api.Api(
            member, spread, meter, shared.operators, shared.announcers
        )
        parts = faces_module.ControlParts(
            operators,
            member,
            operators.orders,
            hearing.Hearing(member, spread, confirmations),
            spread,
        )
        _follow_settings(cfg, source, shared.reloader, spread.set_seeds)
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
            cfg,
            _with_metrics(
                cfg, {cfg.http_address: faces.operators(parts)}, operators
            ),
            children,
            rng,
            _stop_at_once,
            shared,
        )


def _with_metrics(
    cfg: settings.ControlSettings | settings.EntrySettings,
    apps: dict[str, http.App],
    own: http.App,
) -> dict[str, http.App]:
    """Add the address of the metrics, if there is one of their own."""
    if cfg.metrics_address:
        apps[cfg.metrics_address] = own
    return apps


def _follow_settings(
    cfg: settings.ControlSettings | settings.EntrySettings,
    source: settings_source.Source | None,
    reloader: reloading.Reloader,
    set_seeds: Callable[[tuple[str, ...]], None],
) -> None:
    """Put what may change while running in force when the file changes."""
    if source is None:
        return
    uses: dict[str, Callable[[Any], None]] = {
        "gossip_seeds": set_seeds,
        "log_level": logs.set_level,
    }
    live = settings_source.Live(cfg, source, uses)
    reloader.watch((source.path,), live.reload)


async def run_entry(
    cfg: settings.EntrySettings,
    faces: faces_module.EntryFaces = faces_module.OUR_ENTRY_FACES,
    source: settings_source.Source | None = None,
) -> None:
    """Run an entry until it is told to stop and its requests are done."""
    output = _configure_logs(cfg)
    entry = entry_parts.Entry(cfg, faces, output)
    _follow_settings(cfg, source, entry.shared.reloader, entry.spread.set_seeds)
    apps = {cfg.http_address: faces.callers(entry.parts)}
    if cfg.lookup_address:
        apps[cfg.lookup_address] = faces.lookups(entry.parts)
    if cfg.probe_address:
        apps[cfg.probe_address] = faces.probes(entry.parts)
    _with_metrics(cfg, apps, entry.parts.app)
    listener = serving.Listener(
        apps[cfg.http_address], cfg.limits, entry.parts.forward.runs_beside
    )
    leave = entry.leave(listener)
    await _run_daemon(
        cfg,
        apps,
        entry.children(),
        entry.rng,
        leave.run,
        entry.shared,
        listener,
    )
    await entry.servers.aclose()


class _Stop:
    """A planned stop: its end, and the time that is left for it.

    Args:
        max_s: Longest it may take, from when it is asked for.
    """

    def __init__(self, max_s: float) -> None:
        self.event = trio.Event()
        self._max_s = max_s
        self._asked_at = trio.current_time()

    def ask(self) -> None:
        """Count the time from now on."""
        self._asked_at = trio.current_time()

    def left_s(self) -> float:
        """Return the seconds that are left."""
        return max(0.0, self._asked_at + self._max_s - trio.current_time())


async def _stop_at_once() -> None:
    """Leave without waiting: no caller's request is under way here."""


async def _run_daemon(
    cfg: settings.ControlSettings | settings.EntrySettings,
    apps: dict[str, http.App],
    children: list[Child],
    rng: random.Random,
    leave: Callable[[], Awaitable[None]],
    shared: security.Security,
    listener: serving.Listener | None = None,
) -> None:
    """Supervise the children and the HTTP servers until told to stop.

    Args:
        cfg: Settings of the process.
        apps: What is served, by address; that on `http_address` last to end.
        children: Tasks to supervise.
        rng: Source of the jitter between restarts.
        leave: Returns when new requests are no longer to be taken.
        shared: Who may talk to the process.
        listener: Connections on `http_address`; made here when left out.
    """
    stop = _Stop(cfg.stop_max_s)
    app = apps[cfg.http_address]
    async with rpc.open_loop(), trio.open_nursery() as nursery:
        for name, child in children:
            nursery.start_soon(supervisor.supervise, name, child, rng)
        listener = listener or serving.Listener(app, serving.Limits())
        nursery.start_soon(
            _wait_for_stop, cfg, leave, listener, stop, shared.reloader.look
        )
        for address, other in apps.items():
            if address != cfg.http_address:
                beside = functools.partial(
                    http.serve, other, address, trio.Event(), 0.0
                )
                nursery.start_soon(
                    supervisor.supervise, f"http {address}", beside, rng
                )
        serve = functools.partial(
            http.serve,
            app,
            cfg.http_address,
            stop.event,
            stop.left_s,
            listener,
            tls=shared.tls,
        )
        logger.info(logs.Event("started", http=cfg.http_address))
        await supervisor.supervise("http", serve, rng)
        logger.info(logs.Event("stopped"))
        nursery.cancel_scope.cancel()


async def _wait_for_stop(
    cfg: settings.ControlSettings | settings.EntrySettings,
    leave: Callable[[], Awaitable[None]],
    listener: serving.Listener,
    stop: _Stop,
    reload: Callable[[], None],
) -> None:
    async def leave_and_stop() -> None:
        stop.ask()
        await leave()
        stop.event.set()

    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*numbers) as signals:
        async with trio.open_nursery() as nursery:
            asked = False
            async for number in signals:
                name = signal.Signals(number).name
                if number == signal.SIGHUP:
                    logger.info(logs.Event("reload-asked", signal=name))
                    reload()
                    continue
                if not asked:
                    logger.info(logs.Event("stop-asked", signal=name))
                    nursery.start_soon(leave_and_stop)
                elif cfg.stop_second_signal == "cut":
                    leaving.cut(listener, f"second {name}")
                    stop.event.set()
                else:
                    logger.info(logs.Event("second-signal-ignored"))
                asked = True


def run(main: Callable[[Any], Awaitable[None]], cfg: Any) -> None:
    """Run a daemon's main task under trio."""
    trio.run(main, cfg)

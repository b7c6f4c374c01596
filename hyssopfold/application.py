"""Composition root: the parts of each daemon, wired, under supervision."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
import random
import signal
from typing import Any
from typing import TYPE_CHECKING

import trio

from hyssopfold import http
from hyssopfold import log_output
from hyssopfold import logs
from hyssopfold import reloading
from hyssopfold import security
from hyssopfold import serving
from hyssopfold import settings
from hyssopfold import settings_source
from hyssopfold import supervisor
from hyssopfold.transport import rpc

if TYPE_CHECKING:
    from hyssopfold.control import adapters as control_adapters
    from hyssopfold.entry import adapters as entry_adapters

logger = logging.getLogger(__name__)

Child = tuple[str, Callable[[], Awaitable[None]]]


def _configure_logs(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> log_output.BoundedHandler:
    return logs.configure(
        cfg.name,
        cfg.log_level,
        cfg.log_decision_sample,
        cfg.log_lines_per_s,
    )


async def run_control(
    cfg: settings.ControlSettings,
    adapters: "control_adapters.ControlAdapters | None" = None,
    source: settings_source.Source | None = None,
) -> None:
    """Run a control instance until it is told to stop."""
    # Each daemon loads its own parts only: loading is most of a start.
    from hyssopfold import control_parts
    from hyssopfold.control import adapters as control_adapters
    from hyssopfold.storage import folder

    _configure_logs(cfg)
    adapters = adapters or control_adapters.OUR_ADAPTERS
    with folder.DataFolder(cfg.data_folder) as data:
        control = control_parts.Control(cfg, adapters, data)
        reloader = control.shared.reloader
        _follow_settings(
            cfg, source, reloader, control.gossip_service.set_seeds
        )
        await _run_daemon(
            cfg,
            control.apps,
            control.children(),
            control.rng,
            _stop_at_once,
            control.shared,
        )


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
    adapters: "entry_adapters.EntryAdapters | None" = None,
    source: settings_source.Source | None = None,
) -> None:
    """Run an entry until it is told to stop and its requests are done."""
    # Each daemon loads its own parts only: loading is most of a start.
    from hyssopfold import entry_parts
    from hyssopfold.entry import adapters as entry_adapters

    output = _configure_logs(cfg)
    adapters = adapters or entry_adapters.OUR_ADAPTERS
    entry = entry_parts.Entry(cfg, adapters, output)
    _follow_settings(cfg, source, entry.shared.reloader, entry.spread.set_seeds)
    listener = serving.Listener(
        entry.apps[cfg.http_address],
        cfg.limits,
        entry.parts.forward.runs_beside,
    )
    leave = entry.leave(listener)
    await _run_daemon(
        cfg,
        entry.apps,
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
                    listener.cut(f"second {name}")
                    stop.event.set()
                else:
                    logger.info(logs.Event("second-signal-ignored"))
                asked = True


def run(main: Callable[[Any], Awaitable[None]], cfg: Any) -> None:
    """Run a daemon's main task under trio."""
    trio.run(main, cfg)

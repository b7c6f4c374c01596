"""Composition root: creates the components of a daemon and supervises them."""

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
from hyssopfold import loop_watch
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
Leave = Callable[[Callable[[], None]], Awaitable[None]]


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
    """Run a control instance until a signal stops it.

    Args:
        cfg: Settings of the instance.
        adapters: Builds the application to serve; by default the operators'
            API of hyssopfold.
        source: Settings file to watch for changes, if any.
    """
    # Imported here so that each daemon loads its own modules only: loading
    # modules takes most of the time of a start.
    from hyssopfold import control_components
    from hyssopfold.control import adapters as control_adapters
    from hyssopfold.storage import folder

    _configure_logs(cfg)
    adapters = adapters or control_adapters.OUR_ADAPTERS
    with folder.DataFolder(cfg.data_folder) as data:
        control = control_components.ControlComponents(cfg, adapters, data)
        reloader = control.security.reloader
        _watch_settings(cfg, source, reloader, control.gossip_service.set_seeds)
        await _run_daemon(
            cfg,
            control.apps,
            control.children(),
            control.rng,
            _leave_at_once,
            control.security,
        )


def _watch_settings(
    cfg: settings.ControlSettings | settings.EntrySettings,
    source: settings_source.Source | None,
    reloader: reloading.Reloader,
    set_seeds: Callable[[tuple[str, ...]], None],
) -> None:
    """Watch the settings file; apply changes that need no restart."""
    if source is None:
        return
    setters: dict[str, Callable[[Any], None]] = {
        "gossip_seeds": set_seeds,
        "log_level": logs.set_level,
    }
    settings_reloader = settings_source.SettingsReloader(cfg, source, setters)
    reloader.watch((source.path,), settings_reloader.reload)


async def run_entry(
    cfg: settings.EntrySettings,
    adapters: "entry_adapters.EntryAdapters | None" = None,
    source: settings_source.Source | None = None,
) -> None:
    """Run an entry until a signal stops it and its requests have ended.

    Args:
        cfg: Settings of the entry.
        adapters: Builds the applications to serve and names the headers of
            the data path; by default those of hyssopfold.
        source: Settings file to watch for changes, if any.
    """
    # Imported here so that each daemon loads its own modules only: loading
    # modules takes most of the time of a start.
    from hyssopfold import entry_components
    from hyssopfold.entry import adapters as entry_adapters

    output = _configure_logs(cfg)
    adapters = adapters or entry_adapters.OUR_ADAPTERS
    entry = entry_components.EntryComponents(cfg, adapters, output)
    trio.lowlevel.add_instrument(
        loop_watch.LoopWatch(
            lambda took_s: entry.metrics.loop_turns.observe({}, took_s)
        )
    )
    _watch_settings(
        cfg, source, entry.security.reloader, entry.gossip_service.set_seeds
    )
    listener = serving.Listener(
        entry.apps[cfg.http_address],
        cfg.limits,
        entry.interfaces.data_path.may_run_concurrently,
    )
    planned_stop = entry.create_planned_stop(listener)
    await _run_daemon(
        cfg,
        entry.apps,
        entry.children(),
        entry.rng,
        planned_stop.run,
        entry.security,
        listener,
    )
    entry.upstream.close()


class _StopTimer:
    """Time limit of a planned stop, and its events.

    Args:
        max_s: Longest duration of the stop in seconds, from the first signal.

    Attributes:
        event: Set when `http_address` stops accepting requests.
        has_left: Set when nothing is left to do but to finish requests.
    """

    def __init__(self, max_s: float) -> None:
        self.event = trio.Event()
        self.has_left = trio.Event()
        self._max_s = max_s
        self._started_at = trio.current_time()

    def start(self) -> None:
        """Start the stop's time limit now."""
        self._started_at = trio.current_time()

    def expire(self) -> None:
        """Stop serving at once."""
        self._max_s = 0.0
        self.event.set()

    def left_s(self) -> float:
        """Return the seconds that are left; 0 after the time limit."""
        return max(0.0, self._started_at + self._max_s - trio.current_time())


async def _leave_at_once(stop_accepting: Callable[[], None]) -> None:
    """Leave without waiting: a control instance serves no callers' requests."""
    stop_accepting()


async def _run_daemon(
    cfg: settings.ControlSettings | settings.EntrySettings,
    apps: dict[str, http.App],
    children: list[Child],
    rng: random.Random,
    leave: Leave,
    process_security: security.Security,
    listener: serving.Listener | None = None,
) -> None:
    """Supervise the children and the HTTP servers until a signal stops them.

    Args:
        cfg: Settings of the process.
        apps: ASGI applications by address; the one on `http_address` ends last.
        children: Names and tasks to supervise.
        rng: Source of the jitter between restarts.
        leave: Called on the first signal, with a function that makes
            `http_address` stop accepting requests.
        process_security: Keys, tokens and certificates of the process.
        listener: Serves the connections on `http_address`; created here when
            left out.
    """
    stop = _StopTimer(cfg.stop_max_s)
    app = apps[cfg.http_address]
    async with rpc.open_loop(), trio.open_nursery() as nursery:
        for name, child in children:
            nursery.start_soon(supervisor.supervise, name, child, rng)
        listener = listener or serving.Listener(app, serving.Limits())
        nursery.start_soon(
            _wait_for_stop,
            cfg,
            leave,
            listener,
            stop,
            process_security.reloader.check,
        )
        for address, other_app in apps.items():
            if address != cfg.http_address:
                serve_other = functools.partial(
                    http.serve, other_app, address, trio.Event(), 0.0
                )
                nursery.start_soon(
                    supervisor.supervise, f"http {address}", serve_other, rng
                )
        serve = functools.partial(
            http.serve,
            app,
            cfg.http_address,
            stop.event,
            stop.left_s,
            listener,
            tls=process_security.tls,
        )
        logger.info(logs.Event("started", http=cfg.http_address))
        await supervisor.supervise("http", serve, rng)
        with trio.move_on_after(stop.left_s()):
            await stop.has_left.wait()
        logger.info(logs.Event("stopped"))
        nursery.cancel_scope.cancel()


async def _wait_for_stop(
    cfg: settings.ControlSettings | settings.EntrySettings,
    leave: Leave,
    listener: serving.Listener,
    stop: _StopTimer,
    reload: Callable[[], None],
) -> None:
    async def leave_and_stop() -> None:
        stop.start()
        try:
            await leave(stop.event.set)
        except Exception:
            # An error raised here would end the process and all its requests.
            logger.exception(logs.Event("leave-failed"))
        stop.event.set()
        stop.has_left.set()

    signal_numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signal_numbers) as signals:
        async with trio.open_nursery() as nursery:
            stop_requested = False
            async for number in signals:
                name = signal.Signals(number).name
                if number == signal.SIGHUP:
                    logger.info(logs.Event("reload-asked", signal=name))
                    reload()
                    continue
                if not stop_requested:
                    logger.info(logs.Event("stop-asked", signal=name))
                    nursery.start_soon(leave_and_stop)
                elif cfg.stop_second_signal == "cut":
                    listener.cut(f"second {name}")
                    stop.expire()
                else:
                    logger.info(logs.Event("second-signal-ignored"))
                stop_requested = True


def run(main: Callable[[Any], Awaitable[None]], cfg: Any) -> None:
    """Run a daemon's main task under trio."""
    trio.run(main, cfg)

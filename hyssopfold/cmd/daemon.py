"""Startup and error reports shared by the daemons' commands."""

from collections.abc import Awaitable
from collections.abc import Callable
import faulthandler
import gc
import signal
import sys
from typing import Any

import click
import trio

from hyssopfold import errors
from hyssopfold import security

# Allocations between two collections of the youngest generation, and
# collections of each generation between two of the next. A request allocates
# several thousand objects and few cycles, so the default of 700 would collect
# ten times a request and find nothing.
_GC_THRESHOLDS = (20_000, 10, 10)


def start(
    load: Callable[[str], Any],
    main: Callable[[Any], Awaitable[None]],
    path: str,
    check: bool,
) -> None:
    """Check the settings, then run the daemon.

    Exits the process with the status of an error.

    Args:
        load: Loads the settings file.
        main: Main task of the daemon.
        path: Settings file.
        check: Return after the check of the settings.
    """
    try:
        cfg = load(path)
        faults = security.faults(cfg)
        if faults:
            raise errors.InvalidDocumentError(faults)
    except errors.InvalidDocumentError as exc:
        for fault in exc.faults:
            click.echo(str(fault), err=True)
        sys.exit(exc.exit_status)
    for warning in security.unprotected(cfg):
        click.echo(f"unprotected: {warning}", err=True)
    if check:
        click.echo(f"{path}: settings are good")
        return
    # `kill -USR1` prints the stack of a process that no longer responds.
    faulthandler.register(signal.SIGUSR1)
    _configure_garbage_collection()
    try:
        trio.run(main, cfg)
    except BaseExceptionGroup as group:
        sys.exit(report(group))
    except errors.HyssopError as exc:
        sys.exit(report(exc))


def _configure_garbage_collection() -> None:
    """Exclude the objects of loaded modules; set the thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()


def report(exc: BaseException) -> int:
    """Print one line for each error in `exc`; return the exit status."""
    if isinstance(exc, BaseExceptionGroup):
        return max(report(inner) for inner in exc.exceptions)
    if isinstance(exc, errors.HyssopError):
        click.echo(f"{exc.kind}: {exc}", err=True)
        return exc.exit_status
    if isinstance(exc, KeyboardInterrupt):
        return 0
    click.echo(f"internal-error: {exc!r}; report it with the log", err=True)
    return 1

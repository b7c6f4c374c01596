"""What the daemons' commands have in common."""

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

# Objects made between two searches for garbage, and searches of each age
# between two of the next. A request makes some thousand objects and few cycles,
# so that the usual 700 search ten times a request and find nothing.
_GC_THRESHOLDS = (20_000, 10, 10)


def start(
    load: Callable[[str], Any],
    main: Callable[[Any], Awaitable[None]],
    path: str,
    check: bool,
) -> None:
    """Check the settings, then run the daemon; exit with what it came to."""
    try:
        cfg = load(path)
        faults = security.faults(cfg)
        if faults:
            raise errors.InvalidDocumentError(faults)
    except errors.InvalidDocumentError as exc:
        for fault in exc.faults:
            click.echo(str(fault), err=True)
        sys.exit(exc.exit_status)
    for danger in security.unprotected(cfg):
        click.echo(f"unprotected: {danger}", err=True)
    if check:
        click.echo(f"{path}: settings are good")
        return
    # Where a process stands that answers no more: `kill -USR1` prints it.
    faulthandler.register(signal.SIGUSR1)
    _settle_memory()
    try:
        trio.run(main, cfg)
    except BaseExceptionGroup as group:
        sys.exit(report(group))
    except errors.HyssopError as exc:
        sys.exit(report(exc))


def _settle_memory() -> None:
    """Leave what the modules made out of the search for garbage."""
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

"""Command `hyssopctl`: the operators' tool."""

import pathlib
import sys
from typing import Any
import uuid

import click
import yaml

import hyssopfold
from hyssopfold import errors
from hyssopfold import tables as tables_module
from hyssopfold.cmd import daemon
from hyssopfold.cmd import status as status_module
from hyssopfold.control import client as control_client
from hyssopfold.entry import blocks as blocks_module

DEFAULT_CONTROL = tuple(
    f"http://127.0.0.1:{port}" for port in (7101, 7102, 7103)
)
_TABLES = "/hyssop/v1/tables"


@click.group()
@click.option(
    "--control",
    "urls",
    multiple=True,
    envvar="HYSSOP_CONTROL",
    help="URL of a control instance; may be given several times.",
)
@click.option(
    "--token-file",
    type=click.Path(dir_okay=False),
    envvar="HYSSOP_TOKEN_FILE",
    help="File that holds the operators' token.",
)
@click.version_option(hyssopfold.__version__)
@click.pass_context
def cli(
    context: click.Context, urls: tuple[str, ...], token_file: str | None
) -> None:
    """Edit the two tables and see what the system makes of them."""
    token = ""
    if token_file:
        token = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    context.obj = control_client.Client(urls or DEFAULT_CONTROL, token)


@cli.group()
def tables() -> None:
    """Get, check and apply the tables of routes and pools."""


@tables.command("get")
@click.pass_obj
def get_tables(client: control_client.Client) -> None:
    """Print the tables in force as YAML."""
    reply = client.get(_TABLES)
    click.echo(yaml.safe_dump(reply.body, sort_keys=False), nl=False)


@tables.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check_tables(file: str) -> None:
    """Print every fault of a tables file, without sending it."""
    _parse(file)
    click.echo(f"{file}: tables are good")


@tables.command("apply")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--expect", type=int, required=True, help="Revision edited.")
@click.option("--change-id", help="Name of this edit; made up when left out.")
@click.pass_obj
def apply_tables(
    client: control_client.Client, file: str, expect: int, change_id: str | None
) -> None:
    """Put a tables file in force if the revision is still the one edited."""
    text = _parse(file)
    change_id = change_id or uuid.uuid4().hex
    body = {"expect": expect, "change_id": change_id, "tables": text}
    reply = client.put(_TABLES, body)
    _raise_refusal(reply, file)
    revision = reply.body["revision"]
    click.echo(f"accepted: revision {revision}, change {change_id}")


@cli.command()
@click.pass_obj
def status(client: control_client.Client) -> None:
    """Show shares in force and planned, and headroom by pool and region."""
    reply = client.get("/hyssop/v1/readyz")
    click.echo(f"revision {reply.body['revision']}")
    for line in status_module.status_lines(status_module.gather(client)):
        click.echo(line)


@cli.command()
@click.pass_obj
def drains(client: control_client.Client) -> None:
    """Show who is being emptied, what is left, and whether it is empty."""
    for line in status_module.drain_lines(status_module.gather(client)):
        click.echo(line)


@cli.group()
def blocks() -> None:
    """Build the table of client blocks that entries load."""


@blocks.command("build")
@click.argument("source", type=click.Path(exists=True, dir_okay=False))
@click.argument("target", type=click.Path(dir_okay=False))
def build_blocks(source: str, target: str) -> None:
    """Build the file TARGET, for the setting client_blocks, from SOURCE."""
    size = blocks_module.build(source, target)
    click.echo(f"{target}: {size} bytes")


def _parse(file: str) -> str:
    text = pathlib.Path(file).read_text(encoding="utf-8")
    tables_module.parse(text, file)
    return text


def _raise_refusal(reply: control_client.Reply, file: str) -> None:
    body: dict[str, Any] = reply.body
    if reply.status == 409:
        raise errors.ConflictError(body["revision"], body["winner"])
    if reply.status >= 400:
        detail = str(body.get("summary", body.get("error", reply.status)))
        fault = errors.Fault(file, 1, "tables", detail, "what is allowed")
        raise errors.InvalidDocumentError([fault])


def main() -> None:
    """Run the command; exit with the status its errors name."""
    try:
        cli()
    except errors.InvalidDocumentError as exc:
        for fault in exc.faults:
            click.echo(str(fault), err=True)
        sys.exit(exc.exit_status)
    except errors.HyssopError as exc:
        sys.exit(daemon.report(exc))

"""Command `hyssopctl`: the operators' tool."""

import getpass
import itertools
import json
import pathlib
import sys
from typing import Any
from typing import TextIO
import urllib.parse
import uuid

import click
import msgspec

import hyssopfold
from hyssopfold import errors
from hyssopfold import tables as tables_module
from hyssopfold.cmd import daemon
from hyssopfold.cmd import explain as explain_module
from hyssopfold.cmd import losses as losses_module
from hyssopfold.cmd import status as status_module
from hyssopfold.cmd import tables_diff
from hyssopfold.cmd import tables_format
from hyssopfold.control import client as control_client
from hyssopfold.control import state_answers
from hyssopfold.entry import blocks as blocks_module

DEFAULT_CONTROL = tuple(
    f"http://127.0.0.1:{port}" for port in (7101, 7102, 7103)
)
_TABLES = "/hyssop/v1/tables"
_STATUS = "/hyssop/v1/status"
_BACKUP = "/hyssop/v1/backup"
_MEMBERS = "/hyssop/v1/members/"
_EVACUATIONS = "/hyssop/v1/evacuations/"


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
    """Edit the tables of routes and pools and show their effect."""
    token = ""
    if token_file:
        token = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    context.obj = control_client.Client(urls or DEFAULT_CONTROL, token)


@cli.group()
def tables() -> None:
    """Edit the tables of routes, pools and organisations."""


@tables.command("get")
@click.option("--keys", is_flag=True, help="Show the keys of organisations.")
@click.pass_obj
def get_tables(client: control_client.Client, keys: bool) -> None:
    """Print the tables in force as YAML.

    Tables with organisations can be edited and applied again only with --keys.
    """
    body = client.get(_TABLES).body
    if not keys:
        tables_format.mask_keys(body)
    click.echo(tables_format.to_yaml(body), nl=False)


@tables.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check_tables(file: str) -> None:
    """Print every fault of a tables file, without sending it."""
    _parse(file)
    click.echo(f"{file}: tables are good")


@tables.command("diff")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def diff_tables(client: control_client.Client, file: str) -> None:
    """Print what a tables file would change; keys are only counted."""
    edited = tables_module.to_plain(tables_module.parse(_read(file), file))
    body = client.get(_TABLES).body
    changes = tables_diff.lines(body, msgspec.to_builtins(edited))
    for line in changes or ["no difference"]:
        click.echo(line)
    click.echo(f"compared with revision {body['revision']}")


@tables.command("apply")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--expect",
    type=int,
    required=True,
    help="Revision that the file was made from.",
)
@click.option("--change-id", help="ID of this edit; generated when left out.")
@click.pass_obj
def apply_tables(
    client: control_client.Client, file: str, expect: int, change_id: str | None
) -> None:
    """Put a tables file in force if --expect is still the current revision."""
    text = _parse(file)
    change_id = change_id or _new_change_id()
    body = {"expect": expect, "change_id": change_id, "tables": text}
    reply = client.put(_TABLES, body)
    _raise_refusal(reply, file)
    revision = reply.body["revision"]
    click.echo(f"accepted: revision {revision}, change {change_id}")


@cli.command()
@click.pass_obj
def status(client: control_client.Client) -> None:
    """Show the revision, the voters, shares in force and planned, headroom."""
    body = client.get_confirmed(_STATUS).body
    if body["confirmed"]:
        click.echo(f"revision {body['revision']}")
    else:
        click.echo(
            f"not confirmed: {body['answered_by']} knows revision"
            f" {body['revision']} and reaches no majority"
        )
    if body["changing_members"]:
        click.echo("a change of members is under way")
    for instance in body["instances"]:
        click.echo(_describe(instance))
    for line in status_module.status_lines(status_module.gather(client)):
        click.echo(line)
    if not body["confirmed"]:
        sys.exit(1)


def _describe(instance: dict[str, Any]) -> str:
    votes = "votes" if instance["votes"] else "does not vote"
    line = (
        f"{instance['name']} {instance['address']} {votes}"
        f" revision {instance['revision']}"
    )
    if instance["behind"]:
        line += f", {instance['behind']} behind"
    if instance["fault"]:
        line += f": {instance['fault']}"
    return line


@cli.group()
def members() -> None:
    """Add and remove the control instances that vote."""


@members.command("add")
@click.argument("name")
@click.pass_obj
def add_member(client: control_client.Client, name: str) -> None:
    """Make a running control instance a voter; its state must be current."""
    reply = client.put(_MEMBERS + urllib.parse.quote(name, safe=""), {})
    _show_members(reply, name)


@members.command("remove")
@click.argument("name")
@click.pass_obj
def remove_member(client: control_client.Client, name: str) -> None:
    """Remove a control instance from the voters."""
    path = _MEMBERS + urllib.parse.quote(name, safe="")
    _show_members(client.delete(path, name), name)


@members.command("replace")
@click.argument("old")
@click.argument("new")
@click.pass_obj
def replace_member(client: control_client.Client, old: str, new: str) -> None:
    """Make NEW a voter in place of OLD: add NEW, then remove OLD.

    An instance that restarts without state under its old name needs no command.
    """
    path = _MEMBERS + urllib.parse.quote(new, safe="")
    _show_members(client.put(path, {}), new)
    path = _MEMBERS + urllib.parse.quote(old, safe="")
    _show_members(client.delete(path, old), old)


def _show_members(reply: control_client.Reply, name: str) -> None:
    _raise_refusal(reply, name)
    names = ", ".join(reply.body["members"])
    click.echo(f"members, epoch {reply.body['epoch']}: {names}")


@cli.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.pass_obj
def backup(client: control_client.Client, file: str) -> None:
    """Write the durable state into a file."""
    body = client.get_confirmed(_BACKUP).body
    path = pathlib.Path(file)
    path.write_text(json.dumps(body, indent=1) + "\n", encoding="utf-8")
    confirmation = (
        "confirmed by a majority" if body["confirmed"] else "NOT confirmed"
    )
    click.echo(f"{file}: revision {body['revision']}, {confirmation}")


@cli.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--expect", type=int, default=0, help="Revision to replace.")
@click.option(
    "--above",
    type=int,
    required=True,
    help="Highest revision that any entry has in force.",
)
@click.option("--change-id", help="ID of this edit; generated when left out.")
@click.pass_obj
def restore(
    client: control_client.Client,
    file: str,
    expect: int,
    above: int,
    change_id: str | None,
) -> None:
    """Put a backup in force, under a revision that all entries accept."""
    backup_fields = _read_backup(file)
    change_id = change_id or _new_change_id()
    body = {
        "expect": expect,
        "change_id": change_id,
        "floor": max(above, backup_fields["revision"]) + 1,
        "state": backup_fields["state"],
    }
    reply = client.put(_BACKUP, body)
    _raise_refusal(reply, file)
    revision = reply.body["revision"]
    click.echo(f"restored: revision {revision}, change {change_id}")


def _read_backup(file: str) -> dict[str, Any]:
    try:
        fields = json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
        if fields["format"] == state_answers.BACKUP_FORMAT:
            int(fields["revision"])
            return dict(fields, state=str(fields["state"]))
    except (ValueError, KeyError, TypeError):
        pass
    fault = errors.Fault(
        file, 1, "backup", "its content", "a file made by `hyssopctl backup`"
    )
    raise errors.InvalidDocumentError([fault])


def _new_change_id() -> str:
    # The loser of a conflict sees the winner's change ID, so it names the user.
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "operator"
    return f"{name}-{uuid.uuid4().hex[:12]}"


@cli.command("organisations")
@click.pass_obj
def show_organisations(client: control_client.Client) -> None:
    """Show the requests of organisations in the last 5 s, of their limits."""
    for line in status_module.limit_lines(status_module.gather(client)):
        click.echo(line)


@cli.command()
@click.pass_obj
def drains(client: control_client.Client) -> None:
    """Show the servers being drained, their requests left and whether empty."""
    for line in status_module.drain_lines(status_module.gather(client)):
        click.echo(line)


@cli.group()
def blocks() -> None:
    """Build the table of client address blocks that entries load."""


@blocks.command("build")
@click.argument("source", type=click.Path(exists=True, dir_okay=False))
@click.argument("target", type=click.Path(dir_okay=False))
def build_blocks(source: str, target: str) -> None:
    """Build the file TARGET, for the setting client_blocks, from SOURCE."""
    size = blocks_module.build(source, target)
    click.echo(f"{target}: {size} bytes")


@cli.command("evacuate")
@click.argument("failure_domain")
@click.option("--end", is_flag=True, help="End the evacuation.")
@click.pass_obj
def evacuate(
    client: control_client.Client, failure_domain: str, end: bool
) -> None:
    """Stop sending requests to the servers of a failure domain, at once."""
    path = _EVACUATIONS + urllib.parse.quote(failure_domain, safe="")
    if end:
        reply = client.delete(path, failure_domain)
    else:
        reply = client.put(path, {"change_id": failure_domain})
    if reply.status != 200:
        _raise_refusal(reply, failure_domain)
    state = "receives requests again" if end else "is evacuated"
    click.echo(f"{failure_domain} {state}: revision {reply.body['revision']}")


@cli.command("explain")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File(encoding="utf-8"))
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print a request's lines from logs and why it ended as it did."""
    texts = itertools.chain.from_iterable(files)
    lines = explain_module.gather(request_id, texts)
    for line in lines:
        click.echo(line.text)
    click.echo(explain_module.cause(lines))


@cli.command("losses")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON objects.")
def losses(files: tuple[TextIO, ...], as_json: bool) -> None:
    """Summarize from logs which requests missed their goal, and why.

    Reads standard input when no files are named.
    """
    texts = itertools.chain.from_iterable(files or (sys.stdin,))
    summary = losses_module.gather(texts)
    for line in losses_module.lines(summary, as_json):
        click.echo(line)


def _parse(file: str) -> str:
    text = _read(file)
    tables_module.parse(text, file)
    return text


def _read(file: str) -> str:
    return pathlib.Path(file).read_text(encoding="utf-8")


def _raise_refusal(reply: control_client.Reply, source: str) -> None:
    body: dict[str, Any] = reply.body
    if reply.status == 409:
        raise errors.ConflictError(body["revision"], body["winner"])
    if reply.status >= 400:
        detail = str(body.get("summary", body.get("error", reply.status)))
        fault = errors.Fault(
            source, 1, "tables", detail, "a request that control accepts"
        )
        raise errors.InvalidDocumentError([fault])


def main() -> None:
    """Run the command; exit with the status of its error, if any."""
    try:
        cli()
    except errors.InvalidDocumentError as exc:
        for fault in exc.faults:
            click.echo(str(fault), err=True)
        sys.exit(exc.exit_status)
    except errors.HyssopError as exc:
        sys.exit(daemon.report(exc))

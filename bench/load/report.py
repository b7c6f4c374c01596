"""Results of load runs: percentiles, JSON files, tables and comparisons."""

from collections.abc import Iterable
import pathlib
from typing import NamedTuple

import msgspec

from bench.load import runner
from bench.load import scenario as scenarios

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Row(NamedTuple):
    """Figures of one request kind; latencies are in milliseconds."""

    kind: str
    count: int
    per_second: float
    percentiles_ms: dict[str, float]
    outcomes: dict[str, int]


class Result(NamedTuple):
    """Results of one run; `seconds` is the measured duration."""

    scenario: str
    seed: int
    seconds: float
    rows: tuple[Row, ...]


def summarize(
    scenario: scenarios.Scenario, tally: runner.Tally, seconds: float
) -> Result:
    """Return the result of a run whose measured part took `seconds`."""
    rows = []
    for kind, latencies in sorted(tally.latencies.items()):
        count = latencies.get_total_count()
        percentiles = {
            f"{percentile:g}": latencies.get_value_at_percentile(percentile)
            / 1000
            for percentile in PERCENTILES
        }
        outcomes = {
            outcome: number
            for (outcome_kind, outcome), number in sorted(
                tally.outcomes.items()
            )
            if outcome_kind == kind
        }
        rate = round(count / seconds, 1)
        rows.append(Row(kind, count, rate, percentiles, outcomes))
    seed = scenario.seed
    return Result(scenario.name, seed, round(seconds, 3), tuple(rows))


def save(result: Result, path: str) -> None:
    """Write a result to a JSON file."""
    fields = {
        "scenario": result.scenario,
        "seed": result.seed,
        "seconds": result.seconds,
        "rows": [row._asdict() for row in result.rows],
    }
    text = msgspec.json.format(msgspec.json.encode(fields), indent=2)
    pathlib.Path(path).write_bytes(text + b"\n")


def load(path: str) -> Result:
    """Read a result that `save` wrote."""
    fields = msgspec.json.decode(pathlib.Path(path).read_bytes())
    rows = tuple(Row(**row) for row in fields.pop("rows"))
    return Result(rows=rows, **fields)


def table(result: Result) -> str:
    """Return a result as a text table."""
    names = [f"p{percentile:g}" for percentile in PERCENTILES]
    lines = [
        f"{result.scenario}, seed {result.seed}, {result.seconds:g} s",
        _format_line("kind", "count", "1/s", *names, "outcomes"),
    ]
    for row in result.rows:
        latencies = [f"{value:.2f}" for value in row.percentiles_ms.values()]
        outcomes = ", ".join(
            f"{n} x {outcome}" for outcome, n in row.outcomes.items()
        )
        rate = f"{row.per_second:g}"
        lines.append(
            _format_line(row.kind, str(row.count), rate, *latencies, outcomes)
        )
    return "\n".join(lines)


def compare(before: Result, after: Result) -> str:
    """Return a text table of the figures of `after` divided by `before`."""
    rows_before = {row.kind: row for row in before.rows}
    names = [f"p{percentile:g}" for percentile in PERCENTILES]
    lines = [
        f"{after.scenario} against {before.scenario}: after / before",
        _format_line("kind", "count", "1/s", *names, ""),
    ]
    for row in after.rows:
        row_before = rows_before.get(row.kind)
        if row_before is None:
            continue
        latencies = [
            _ratio(row.percentiles_ms[name], row_before.percentiles_ms[name])
            for name in row.percentiles_ms
        ]
        rate = _ratio(row.per_second, row_before.per_second)
        lines.append(
            _format_line(row.kind, str(row.count), rate, *latencies, "")
        )
    return "\n".join(lines)


def _ratio(after: float, before: float) -> str:
    return f"{after / before:.2f}" if before else "-"


def _format_line(kind: str, *cells: str) -> str:
    return f"{kind:<14}" + "  ".join(_pad(cells))


def _pad(cells: Iterable[str]) -> Iterable[str]:
    return (f"{cell:>9}" for cell in cells)

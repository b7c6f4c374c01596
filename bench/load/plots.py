"""Plots of results; needs matplotlib, which the `plots` extra installs."""

from collections.abc import Sequence

from bench.load import report


def latency_plot(results: Sequence[report.Result], path: str) -> None:
    """Write a plot of latency by percentile, one line for each request kind."""
    # Imported here, so that the other commands work without matplotlib.
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for result in results:
        for row in result.rows:
            percentiles = list(row.percentiles_ms)
            latencies_ms = list(row.percentiles_ms.values())
            axes.plot(
                percentiles,
                latencies_ms,
                label=f"{result.scenario}: {row.kind}",
            )
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency, ms")
    axes.grid(visible=True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)

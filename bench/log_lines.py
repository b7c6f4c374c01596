"""Measures the CPU cost of a log line that is written or sampled out.

`python -m bench.log_lines` prints CPU microseconds for each line.
"""

import logging
import os
import time

import click

from hyssopfold import logs

SAMPLE_INTERVALS = (1, 10, 100)


def line_cost_us(count: int, sample_interval: int) -> float:
    """Return the mean CPU microseconds of a decision line.

    Args:
        count: Number of lines.
        sample_interval: One line in so many is written.
    """
    with open(os.devnull, "w", encoding="utf-8") as sink:
        handler = logging.StreamHandler(sink)
        handler.setFormatter(logs.KeyValueFormatter("entry-1"))
        handler.addFilter(logs.SamplingFilter(sample_interval))
        logger = logging.getLogger("bench.log_lines")
        logger.handlers[:] = [handler]
        logger.propagate = False
        logger.setLevel(logging.INFO)
        started_at = time.process_time()
        for number in range(count):
            logger.info(
                logs.Event(
                    "place-decision",
                    request="0123456789abcdef",
                    pool="catalogue",
                    server="catalogue-7",
                    free=2,
                    load=0.66,
                    sequence=number,
                )
            )
        return (time.process_time() - started_at) / count * 1e6


@click.command()
@click.option("--count", default=50_000, show_default=True)
def main(count: int) -> None:
    """Print the cost of a decision line of six fields by sample interval."""
    click.echo("one in | us a line")
    for sample_interval in SAMPLE_INTERVALS:
        click.echo(
            f"{sample_interval} | {line_cost_us(count, sample_interval):.1f}"
        )


if __name__ == "__main__":
    main()

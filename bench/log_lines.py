"""Measure what a log line costs, written and sampled away.

`python -m bench.log_lines` prints microseconds a line.
"""

import logging
import os
import time

import click

from hyssopfold import logs

SAMPLES = (1, 10, 100)


def cost_us(count: int, sample: int) -> float:
    """Return the microseconds of a decision line, one in `sample` written."""
    with open(os.devnull, "w", encoding="utf-8") as sink:
        handler = logging.StreamHandler(sink)
        handler.setFormatter(logs.KeyValueFormatter("entry-1"))
        handler.addFilter(logs.SamplingFilter(sample))
        logger = logging.getLogger("bench.log_lines")
        logger.handlers[:] = [handler]
        logger.propagate = False
        logger.setLevel(logging.INFO)
        began = time.process_time()
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
        return (time.process_time() - began) / count * 1e6


@click.command()
@click.option("--count", default=50_000, show_default=True)
def main(count: int) -> None:
    """Print what a decision line of six fields costs."""
    click.echo("one in | us a line")
    for sample in SAMPLES:
        click.echo(f"{sample} | {cost_us(count, sample):.1f}")


if __name__ == "__main__":
    main()

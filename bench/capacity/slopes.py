"""Measured costs: lines fitted to cost by quantity, and single figures."""

from collections.abc import Sequence
import statistics
from typing import NamedTuple


class Point(NamedTuple):
    """A measured cost `y` at the quantity `x`."""

    x: float
    y: float


class Slope(NamedTuple):
    """A straight line fitted to measured points.

    `part` names the part of the system, `cost` its cost with the unit, and
    `per` the quantity on the x axis. `slope` is the cost of one more of `per`,
    `intercept` the cost at zero, and `max_relative_error` the largest distance
    of a point from the line, as a share of the point. `command` measures it.
    """

    part: str
    cost: str
    per: str
    slope: float
    intercept: float
    max_relative_error: float
    points: tuple[Point, ...]
    command: str

    def predict(self, x: float) -> float:
        """Return the cost at `x` by the fitted line."""
        return self.intercept + self.slope * x


def fit(
    part: str, cost: str, per: str, points: Sequence[Point], command: str
) -> Slope:
    """Fit a line to two or more points by least squares."""
    xs = [point.x for point in points]
    ys = [point.y for point in points]
    regression = statistics.linear_regression(xs, ys)
    max_relative_error = max(
        abs(regression.slope * point.x + regression.intercept - point.y)
        / max(abs(point.y), 1e-12)
        for point in points
    )
    return Slope(
        part,
        cost,
        per,
        regression.slope,
        regression.intercept,
        max_relative_error,
        tuple(points),
        command,
    )


class Figure(NamedTuple):
    """A measured cost that depends on no quantity; `cost` has its unit."""

    part: str
    cost: str
    value: float
    command: str

"""A measured slope: how a cost grows with a quantity."""

from collections.abc import Sequence
import statistics
from typing import NamedTuple


class Point(NamedTuple):
    """One measured point."""

    x: float
    y: float


class Slope(NamedTuple):
    """A straight line fitted to measured points.

    `part` names the part that pays, `cost` what it pays and in which unit,
    `per` the quantity on the x axis; `slope` is cost for one more of `per` and
    `intercept` the cost at none; `worst` is the largest distance of a point
    from the line, as a share of the point.
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
        """Return the cost that the line gives at `x`."""
        return self.intercept + self.slope * x


def fit(
    part: str, cost: str, per: str, points: Sequence[Point], command: str
) -> Slope:
    """Return the line of least squares through two or more points."""
    xs = [point.x for point in points]
    ys = [point.y for point in points]
    line = statistics.linear_regression(xs, ys)
    max_relative_error = max(
        abs(line.slope * point.x + line.intercept - point.y)
        / max(abs(point.y), 1e-12)
        for point in points
    )
    return Slope(
        part,
        cost,
        per,
        line.slope,
        line.intercept,
        max_relative_error,
        tuple(points),
        command,
    )


class Figure(NamedTuple):
    """A measured figure that grows with nothing; the unit is in `cost`."""

    part: str
    cost: str
    value: float
    command: str

"""Measured slopes and figures, stored in one JSON file."""

import pathlib
from typing import NamedTuple

import msgspec

from bench.capacity import slopes

PATH = pathlib.Path(__file__).resolve().parent / "measured.json"


class Measured(NamedTuple):
    """Slopes and figures of the last run of each part, by part."""

    slopes: dict[str, list[slopes.Slope]]
    figures: dict[str, list[slopes.Figure]]

    def slope(self, part: str, cost: str) -> slopes.Slope:
        """Return the slope of `part` whose cost begins with `cost`.

        Raises:
            LookupError: when it has not been measured.
        """
        for slope in self.slopes.get(part, ()):
            if slope.cost.startswith(cost):
                return slope
        raise LookupError(f"no slope of {cost!r} in part {part!r}")

    def figure(self, part: str, cost: str) -> float:
        """Return the figure of `part` whose cost begins with `cost`.

        Raises:
            LookupError: when it has not been measured.
        """
        for figure in self.figures.get(part, ()):
            if figure.cost.startswith(cost):
                return figure.value
        raise LookupError(f"no figure of {cost!r} in part {part!r}")


def load() -> Measured:
    """Read the results of earlier runs."""
    if not PATH.exists():
        return Measured({}, {})
    return msgspec.json.decode(PATH.read_bytes(), type=Measured)


def save(measured: Measured) -> None:
    """Write the results to the file."""
    data = msgspec.json.encode(measured, order="sorted")
    PATH.write_bytes(msgspec.json.format(data, indent=1) + b"\n")

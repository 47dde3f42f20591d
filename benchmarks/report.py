"""Measurements of a benchmark and their output as a table."""

import dataclasses


@dataclasses.dataclass
class Measurement:
    """One measured quantity.

    :param name: what was measured.
    :param value: measured value.
    :param unit: its unit.
    :param upper_bound: largest value within the bound; None for no bound.
    :param lower_bound: smallest value within the bound; None for no bound.
    :param note: further measured values.
    """

    name: str
    value: float
    unit: str
    upper_bound: float | None = None
    lower_bound: float | None = None
    note: str = ""

    def is_within_bounds(self):
        """Return whether the value is within its bounds.

        :returns: bool.
        """
        if self.upper_bound is not None and self.value > self.upper_bound:
            return False
        return self.lower_bound is None or self.value >= self.lower_bound


def print_table(measurements):
    """Print measurements as a Markdown table.

    :param measurements: list of :class:`Measurement`.
    :returns: whether every bound is kept.
    """
    print("| measured | value | unit | bound | verdict | note |")
    print("|---|---|---|---|---|---|")
    for measurement in measurements:
        bound = ""
        if measurement.upper_bound is not None:
            bound = f"<= {measurement.upper_bound:g}"
        if measurement.lower_bound is not None:
            bound = f">= {measurement.lower_bound:g}"
        verdict = (
            ("kept" if measurement.is_within_bounds() else "MISSED")
            if bound
            else ""
        )
        print(
            f"| {measurement.name} | {measurement.value:.4g} "
            f"| {measurement.unit} | {bound} "
            f"| {verdict} | {measurement.note} |"
        )
    return all(measurement.is_within_bounds() for measurement in measurements)

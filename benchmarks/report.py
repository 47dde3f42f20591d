"""Rows of a benchmark and how they are shown."""

import dataclasses


@dataclasses.dataclass
class Row:
    """One measured quantity.

    :param name: what was measured.
    :param value: the figure.
    :param unit: its unit.
    :param most: largest value within the bound; None for no bound.
    :param least: smallest value within the bound; None for no bound.
    :param note: further figures.
    """

    name: str
    value: float
    unit: str
    most: float | None = None
    least: float | None = None
    note: str = ""

    def holds(self):
        """Say whether the bound is kept.

        :returns: bool.
        """
        if self.most is not None and self.value > self.most:
            return False
        return self.least is None or self.value >= self.least


def show(rows):
    """Print rows as a Markdown table.

    :param rows: list of :class:`Row`.
    :returns: whether every bound is kept.
    """
    print("| measured | value | unit | bound | verdict | note |")
    print("|---|---|---|---|---|---|")
    for row in rows:
        bound = ""
        if row.most is not None:
            bound = f"<= {row.most:g}"
        if row.least is not None:
            bound = f">= {row.least:g}"
        verdict = ("kept" if row.holds() else "MISSED") if bound else ""
        print(
            f"| {row.name} | {row.value:.3g} | {row.unit} | {bound} "
            f"| {verdict} | {row.note} |"
        )
    return all(row.holds() for row in rows)

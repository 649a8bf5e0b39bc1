"""Human-readable output."""

from collections.abc import Sequence
from typing import Any

from tabulate import tabulate


def table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as an aligned table.

    :param rows: one mapping for each row; missing values are shown as `-`.
    :param columns: keys to show, in order; underscores become spaces in the heading.
    """
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    headings = [column.replace("_", " ").upper() for column in columns]
    return tabulate(cells, headings, tablefmt="plain", disable_numparse=True)


def _cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in sorted(value.items()))
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)

"""Table formatting for human-readable output."""

from collections.abc import Sequence
from typing import Any

from tabulate import tabulate


def format_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Format rows as an aligned table.

    :param rows: one mapping per row; missing and empty values are shown as `-`.
    :param columns: keys to show, in order; in headings, underscores become spaces.
    """
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    headings = [column.replace("_", " ").upper() for column in columns]
    return tabulate(cells, headings, tablefmt="plain", disable_numparse=True)


def _format_cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in sorted(value.items()))
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)

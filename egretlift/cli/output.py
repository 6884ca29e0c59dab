"""Printing of rows as a table or as JSON, and of notes on stderr."""

import enum
import json
import sys

import typer


class Output(enum.StrEnum):
    """Output format of a listing."""

    TABLE = "table"
    JSON = "json"


OUTPUT_OPTION = typer.Option(None, "--output", help="Format of the listing.")


def format_cell(value):
    """Return a value as the text of one table cell.

    Text with unprintable characters is JSON-encoded, so that a value cannot break
    the table or send control codes to the terminal.

    Examples
    --------
    >>> format_cell(None), format_cell(True), format_cell(0.25), format_cell([1])
    ('-', 'yes', '0.25', '[1]')
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    text = str(value)
    return text if text.isprintable() else json.dumps(text)


def format_table(rows):
    """Return rows as aligned lines below a line of column names.

    The columns are the keys of all rows, in the order in which they first occur; a
    row without a key has ``-`` in its column.

    Examples
    --------
    >>> print(format_table([{"name": "harbour", "rate": 5}, {"name": "b"}]))
    NAME     RATE
    harbour  5
    b        -
    """
    columns = list(dict.fromkeys(key for row in rows for key in row))
    lines = [[column.upper().replace("_", "-") for column in columns]]
    lines += [[format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def print_rows(rows, output):
    """Print rows in the chosen format; an empty table prints nothing."""
    if output == Output.JSON:
        print(json.dumps(rows, indent=2))
    elif rows:
        print(format_table(rows))


def print_note(text):
    """Print one line for the operator on stderr, prefixed with ``egretlift:``."""
    print(f"egretlift: {text}", file=sys.stderr)

"""Readers of the fields of a spec that report every invalid value at once."""

import math


class FieldInvalid(ValueError):
    """A value does not fit its field; the text says what to give instead."""


def read_boolean(value):
    """Return a boolean."""
    if not isinstance(value, bool):
        raise FieldInvalid("give true or false")
    return value


def read_integer(minimum, maximum):
    """Return a reader of whole numbers within bounds."""

    def read(value):
        if type(value) is not int or not minimum <= value <= maximum:
            raise FieldInvalid(f"give a whole number from {minimum} to {maximum}")
        return value

    return read


def to_float(value):
    """Return a finite number as float, anything else as NaN."""
    try:
        number = float(value) if type(value) in (int, float) else math.nan
    except OverflowError:
        return math.nan
    return number if math.isfinite(number) else math.nan


def read_number(minimum, exclusive=True):
    """Return a reader of finite numbers above, or from, a minimum."""

    def read(value):
        number = to_float(value)
        if number > minimum or (number == minimum and not exclusive):
            return number
        words = "greater than" if exclusive else "of at least"
        raise FieldInvalid(f"give a number {words} {minimum}")

    return read


def read_optional(read):
    """Return a reader that also accepts null."""
    return lambda value: None if value is None else read(value)


def read_choice(choices):
    """Return a reader of the keys of a dict that returns the value."""

    def read(value):
        if not isinstance(value, str) or value not in choices:
            raise FieldInvalid(f"give one of {', '.join(choices)}")
        return choices[value]

    return read


def parse_fields(label, spec, rows, make_error):
    """Return the values of a spec and the errors found in it.

    Parameters
    ----------
    label : str
        Kind and name of the object, for messages.
    spec : object
        The spec as received.
    rows : dict of str to (reader, default)
        Fields of the spec. The default ``...`` marks a required field.
    make_error : callable
        Error class, called with message and remedy.

    Returns
    -------
    values : dict of str to object
    errors : list of Exception
    """
    if not isinstance(spec, dict):
        return {}, [make_error(f"{label} has no spec", "give a JSON object")]
    values, errors = {}, []
    # An unknown field is an error, since a misspelt "at_most_once" that is
    # silently ignored would let bookings run twice.
    for field in sorted(set(spec) - set(rows) - {"withdrawn"}, key=str):
        known = ", ".join(rows)
        errors.append(make_error(f"{label} has a field {field!r}", f"use {known}"))
    for field, (read, default) in rows.items():
        if field not in spec and default is not ...:
            values[field] = default
            continue
        try:
            values[field] = read(spec.get(field))
        except FieldInvalid as error:
            shown = f"{field} {spec[field]!r}" if field in spec else f"no {field}"
            errors.append(make_error(f"{label} has {shown}", str(error)))
    return values, errors

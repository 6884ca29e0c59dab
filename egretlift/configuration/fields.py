"""Validation of the fields of a spec, reporting every invalid value at once.

A reader is a function that takes the value of a field as decoded from JSON, and
returns the value to use or raises `FieldInvalid`.
"""

import math


class FieldInvalid(ValueError):
    """A field has an invalid value; the message says what to give instead."""


def read_boolean(value):
    """Return the value if it is a boolean; 0 and 1 are rejected."""
    if not isinstance(value, bool):
        raise FieldInvalid("give true or false")
    return value


def make_integer_reader(minimum, maximum):
    """Return a reader of whole numbers from ``minimum`` to ``maximum``, inclusive."""

    def read(value):
        if type(value) is not int or not minimum <= value <= maximum:
            raise FieldInvalid(f"give a whole number from {minimum} to {maximum}")
        return value

    return read


def to_float(value):
    """Return a finite number as float and anything else, booleans included, as NaN."""
    try:
        number = float(value) if type(value) in (int, float) else math.nan
    except OverflowError:
        return math.nan
    return number if math.isfinite(number) else math.nan


def make_number_reader(minimum, exclusive=True):
    """Return a reader of finite numbers above ``minimum``.

    The minimum itself is accepted if ``exclusive`` is false.
    """

    def read(value):
        number = to_float(value)
        if number > minimum or (number == minimum and not exclusive):
            return number
        relation = "greater than" if exclusive else "of at least"
        raise FieldInvalid(f"give a number {relation} {minimum}")

    return read


def make_optional_reader(read):
    """Return a reader that also accepts null, which it returns as None."""
    return lambda value: None if value is None else read(value)


def make_choice_reader(choices):
    """Return a reader that accepts a key of ``choices`` and returns its value."""

    def read(value):
        if not isinstance(value, str) or value not in choices:
            raise FieldInvalid(f"give one of {', '.join(choices)}")
        return choices[value]

    return read


def parse_fields(label, spec, fields, error_class):
    """Return the values of a spec and the errors found in it.

    Parameters
    ----------
    label : str
        Kind and name of the object, for error messages.
    spec : object
        The spec as received.
    fields : dict of str to (reader, default)
        Reader and default of each field. The default ``...`` marks a required
        field; other defaults are used as they are, without the reader.
    error_class : type
        Class of the errors, called with message and remedy.

    Returns
    -------
    values : dict of str to object
        Values of the valid fields and the defaults of missing ones.
    errors : list of Exception
        One error for each invalid, missing or unknown field.
    """
    if not isinstance(spec, dict):
        return {}, [error_class(f"{label} has no spec", "give a JSON object")]
    values, errors = {}, []
    # An unknown field is an error: if a misspelt "at_most_once" were ignored,
    # bookings could run twice.
    for field in sorted(set(spec) - set(fields) - {"withdrawn"}, key=str):
        allowed = ", ".join(fields)
        errors.append(
            error_class(f"{label} has an unknown field {field!r}", f"use {allowed}")
        )
    for field, (read, default) in fields.items():
        if field not in spec and default is not ...:
            values[field] = default
            continue
        try:
            values[field] = read(spec.get(field))
        except FieldInvalid as error:
            shown = f"{field} {spec[field]!r}" if field in spec else f"no {field}"
            errors.append(error_class(f"{label} has {shown}", str(error)))
    return values, errors

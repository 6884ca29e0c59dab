"""JSON documents that other processes wrote, and checks of the values in them.

A list may contain entries of several writers. A number that is too long, a value that
is nested too deeply or a damaged string must cost the entry that it is in, not the
list. `parse_document` therefore replaces such values by invalid ones, which the decoder
of the entry then rejects.
"""

import ipaddress
import json
import re

from egretlift.errors import ObjectInvalid

# Lists and objects inside each other; documents of the platform have less than ten.
DEPTH_MAXIMUM = 32
# Numbers beyond this could not be converted between int, float and 64 bits.
NUMBER_MAXIMUM = 10**18
DIGITS_MAXIMUM = 18
PORT_MAXIMUM = 65535
# Headers are written in Latin-1.
LATIN_1_LAST = "\xff"
OTHER_BYTES = bytes(set(range(256)) - set(b"[]{}"))
# A string or a bracket. A string without an end extends to the end of the text.
TOKENS = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', re.DOTALL)
INVALID_VALUE = "NaN"
REMEDY = "send JSON in UTF-8"


def parse_document(data, is_shared=False):
    """Return the JSON value in bytes.

    Whole numbers of more than ``DIGITS_MAXIMUM`` digits are returned as float, and
    values that are nested too deeply as NaN; neither satisfies `is_number`.

    Parameters
    ----------
    data : bytes
    is_shared : bool
        Whether the document contains entries of several writers. Bytes that are not
        UTF-8 and control characters in strings are then accepted too; such strings
        do not satisfy `is_text`.

    Raises
    ------
    ObjectInvalid

    Examples
    --------
    >>> parse_document(b"[1, 1e999, " + b"[" * 99 + b"]" * 99 + b', "a"]')[1:]
    [inf, [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[nan]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]], 'a']
    """
    try:
        text = data.decode("utf-8-sig", "surrogateescape" if is_shared else "strict")
        if may_be_deep(data):
            text = replace_deep_values(text)
        try:
            return load_text(text, is_shared)
        except RecursionError:
            return load_text(replace_deep_values(text), is_shared)
    except ValueError as error:
        raise ObjectInvalid(f"no JSON document: {error}", REMEDY) from error


def load_text(text, is_shared):
    """Return the JSON value in a text; see `parse_document`."""
    return json.loads(text, parse_int=read_integer, strict=not is_shared)


def may_be_deep(data):
    """Return whether values in bytes of JSON may be nested too deeply.

    This is much faster than `replace_deep_values`, but brackets in strings can mislead
    it both ways.
    """
    brackets = data.translate(None, OTHER_BYTES)
    for _ in range(DEPTH_MAXIMUM // 2):
        # Each pair that is removed is one or two levels.
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
        if not brackets:
            return False
    return True


def read_integer(text):
    """Return the number in a JSON integer, as float if it is too long."""
    return int(text) if len(text) <= DIGITS_MAXIMUM else float(text)


def replace_deep_values(text):
    """Return a JSON text with the lists and objects replaced that are too deep.

    The parser recurses with each level, so that one deep value would end it with a
    ``RecursionError``.
    """
    parts, depth, kept_from = [], 0, 0
    for token in TOKENS.finditer(text):
        bracket = token[0]
        if bracket in "[{":
            depth += 1
            if depth == DEPTH_MAXIMUM + 1:
                parts += [text[kept_from : token.start()], INVALID_VALUE]
                kept_from = len(text)
        elif bracket in "]}":
            if depth == DEPTH_MAXIMUM + 1:
                kept_from = token.end()
            depth -= 1
    parts.append(text[kept_from:])
    return "".join(parts)


def is_number(value, minimum=-NUMBER_MAXIMUM, maximum=NUMBER_MAXIMUM):
    """Return whether a JSON value is a number in a range; booleans and NaN are not.

    Examples
    --------
    >>> [is_number(value) for value in (5, 0.5, True, "5", 1e999, float("nan"))]
    [True, True, False, False, False, False]
    """
    is_numeric = isinstance(value, int | float) and not isinstance(value, bool)
    return is_numeric and minimum <= value <= maximum


def is_integer(value, minimum=-NUMBER_MAXIMUM, maximum=NUMBER_MAXIMUM):
    """Return whether a JSON value is a whole number in a range."""
    return isinstance(value, int) and is_number(value, minimum, maximum)


def is_port(value):
    """Return whether a JSON value is a port that a socket can be connected to."""
    return is_integer(value, 1, PORT_MAXIMUM)


def is_address(value):
    """Return whether a JSON value is an IP address; a name would have to be resolved.

    Examples
    --------
    >>> is_address("10.0.0.2"), is_address("localhost"), is_address(7)
    (True, False, False)
    """
    try:
        return isinstance(value, str) and bool(ipaddress.ip_address(value))
    except ValueError:
        return False


def is_text(value):
    r"""Return whether a JSON value is a text of printable characters.

    Control characters and lone surrogates could be written into no message.

    Examples
    --------
    >>> is_text("northlight"), is_text(""), is_text(["a"]), is_text("\ud800")
    (True, False, False, False)
    """
    return isinstance(value, str) and value != "" and value.isprintable()


def is_header_text(value):
    """Return whether a JSON value is a text that fits into the value of a header.

    Examples
    --------
    >>> is_header_text("host-1"), is_header_text("\u6f22")
    (True, False)
    """
    return is_text(value) and max(value) <= LATIN_1_LAST


def parse_integer(text):
    """Return the whole number in a text of ASCII digits, None if there is none.

    ``int`` raises an error for some characters that ``str.isdigit`` accepts, and for
    thousands of digits.

    Examples
    --------
    >>> parse_integer("250"), parse_integer("-1"), parse_integer("9" * 5000)
    (250, None, None)
    """
    is_valid = text.isascii() and text.isdigit() and len(text) <= DIGITS_MAXIMUM
    return int(text) if is_valid else None

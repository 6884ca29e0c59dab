"""Response bodies of the simulated upstream, generated and checked in chunks.

A body is one line of JSON, followed by filler that repeats the request id if a large
body was requested. Neither side holds a whole body in memory.
"""

import json

CHUNK_BYTES = 65536


def make_first_line(fields):
    r"""Return the first line of a response body: the fields as JSON.

    Examples
    --------
    >>> make_first_line({"request_id": "r1"})
    b'{"request_id": "r1"}\n'
    """
    return json.dumps(fields).encode() + b"\n"


def parse_first_line(line):
    """Return the fields of the first line, or an empty dict if it is no JSON object."""
    try:
        fields = json.loads(line)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def make_filler(request_id, offset, size):
    r"""Return ``size`` bytes of the filler, starting at ``offset``.

    The filler repeats the request id and a newline.

    Examples
    --------
    >>> make_filler("ab", 1, 4)
    b'b\nab'
    """
    pattern = f"{request_id}\n".encode()
    start = offset % len(pattern)
    return (pattern * ((start + size) // len(pattern) + 1))[start : start + size]


class BodyCheck:
    """State of the incremental check of one response body.

    Attributes
    ----------
    first_line : bytearray
        Bytes received, up to the chunk with the first newline.
    fields : dict or None
        Fields of the first line; None until the line is complete, empty if it is
        invalid.
    filler_bytes : int
        Size of the filler that has been compared.
    received_bytes : int
        Size of everything received.
    intact : bool
        Whether all that has been received is as expected.
    """

    __slots__ = ("fields", "filler_bytes", "first_line", "intact", "received_bytes")

    def __init__(self):
        self.first_line = bytearray()
        self.fields = None
        self.filler_bytes = 0
        self.received_bytes = 0
        self.intact = True


def check_chunk(check, chunk):
    """Compare the next chunk of a body with the expected content."""
    check.received_bytes += len(chunk)
    if check.fields is None:
        check.first_line += chunk
        line, newline, chunk = bytes(check.first_line).partition(b"\n")
        if not newline:
            return
        check.fields = parse_first_line(line)
        check.intact = bool(check.fields)
    if chunk and check.intact:
        request_id = check.fields.get("request_id", "")
        expected = make_filler(request_id, check.filler_bytes, len(chunk))
        check.intact = chunk == expected
        check.filler_bytes += len(chunk)


def finish_check(check):
    """Return the fields of the first line, or None if the body is damaged.

    In the answer to a request with ``?bytes=``, the first line contains the size of
    the whole body, which reveals a body that was truncated without an error.
    """
    fields = check.fields
    if fields is None or not check.intact:
        return None
    if fields.get("size", check.received_bytes) != check.received_bytes:
        return None
    return fields

"""Bodies of the upstream's answers, made and checked without being held whole."""

import json

CHUNK_BYTES = 65536


def make_head(fields):
    r"""Return the first line of an answer.

    Examples
    --------
    >>> make_head({"request_id": "r1"})
    b'{"request_id": "r1"}\n'
    """
    return json.dumps(fields).encode() + b"\n"


def read_head(line):
    """Return the fields of the first line, or an empty dict if it is not one."""
    try:
        fields = json.loads(line)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def make_filler(request_id, offset, size):
    r"""Return a part of the text that repeats the request id.

    Examples
    --------
    >>> make_filler("ab", 1, 4)
    b'b\nab'
    """
    pattern = f"{request_id}\n".encode()
    start = offset % len(pattern)
    return (pattern * ((start + size) // len(pattern) + 1))[start : start + size]


class BodyCheck:
    """Progress of the check of one answer's body."""

    __slots__ = ("fields", "filler_bytes", "head", "intact", "received_bytes")

    def __init__(self):
        self.head = bytearray()
        self.fields = None
        self.filler_bytes = 0
        self.received_bytes = 0
        self.intact = True


def check_chunk(check, chunk):
    """Compare the next part of a body with what the upstream should have sent."""
    check.received_bytes += len(chunk)
    if check.fields is None:
        check.head += chunk
        line, newline, chunk = bytes(check.head).partition(b"\n")
        if not newline:
            return
        check.fields = read_head(line)
        check.intact = bool(check.fields)
    if chunk and check.intact:
        request_id = check.fields.get("request_id", "")
        expected = make_filler(request_id, check.filler_bytes, len(chunk))
        check.intact = chunk == expected
        check.filler_bytes += len(chunk)


def finish_check(check):
    """Return the fields of the first line, or None if the body is damaged.

    The first line of an answer with ``?bytes=`` names the size of the whole body,
    which detects an answer that ends early without an error.
    """
    fields = check.fields
    if fields is None or not check.intact:
        return None
    if fields.get("size", check.received_bytes) != check.received_bytes:
        return None
    return fields

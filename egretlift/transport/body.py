"""Bodies of requests in the parts in which they were received.

A large body is neither copied into one piece nor kept in pieces as small as its sender
chose: each copy, and each small piece, would take as much memory as the body again.
"""

PART_BYTES = 64 * 1024
# Memory of a part beyond its bytes.
PART_OVERHEAD_BYTES = 128


class LargeBody:
    """A whole body of more than ``PART_BYTES``, in parts.

    Attributes
    ----------
    parts : list of bytes or bytearray
    size : int
        Bytes of all parts.
    """

    __slots__ = ("parts", "size")

    def __init__(self, parts, size):
        self.parts = parts
        self.size = size

    def __len__(self):
        return self.size


class PartialBody:
    """A body that is being received.

    Attributes
    ----------
    parts : list of bytes or bytearray
        Only parts that are bytearrays grow.
    size : int
        Bytes of all parts.
    """

    __slots__ = ("parts", "size")

    def __init__(self):
        self.parts = []
        self.size = 0


def append_data(body, data):
    """Add received bytes to a partial body; small ones are merged into one part.

    Examples
    --------
    >>> body = PartialBody()
    >>> for data in (b"ab", b"c", b"d"):
    ...     append_data(body, data)
    >>> body.parts, body.size
    ([b'ab', bytearray(b'cd')], 4)
    """
    parts = body.parts
    body.size += len(data)
    if not parts or len(data) >= PART_BYTES:
        parts.append(data)
        return
    last = parts[-1]
    if isinstance(last, bytearray) and len(last) + len(data) <= PART_BYTES:
        last += data
    else:
        parts.append(bytearray(data))


def measure_body(body):
    """Return the memory of a partial body in bytes.

    A growing part has up to an eighth of its bytes in reserve.
    """
    return body.size + body.size // 8 + PART_OVERHEAD_BYTES * len(body.parts)


def finish_body(body):
    """Return a received body: bytes, or a `LargeBody` above ``PART_BYTES``."""
    if body.size <= PART_BYTES:
        return b"".join(body.parts)
    return LargeBody(body.parts, body.size)


def join_body(body):
    """Return a body in one piece of bytes; it may be a `LargeBody`."""
    return b"".join(body.parts) if isinstance(body, LargeBody) else body


def join_small_parts(head, body):
    """Return the parts of a message, which has one part if its body is small.

    Parameters
    ----------
    head : bytes
    body : bytes or LargeBody

    Examples
    --------
    >>> join_small_parts(b"h", b"b")
    [b'hb']
    >>> join_small_parts(b"h", LargeBody([b"a", b"b"], 2))
    [b'h', b'a', b'b']
    """
    if isinstance(body, LargeBody):
        return [head, *body.parts]
    return [head + body] if len(body) <= PART_BYTES else [head, body]


def read_start(body, count):
    """Return at least the first ``count`` bytes of a body, or all if it is shorter.

    Parameters
    ----------
    body : bytes or LargeBody
    count : int
        At most ``PART_BYTES``.

    Examples
    --------
    >>> read_start(LargeBody([b"a", b"bc", b"d"], 4), 2), read_start(b"a", 2)
    (b'abc', b'a')
    """
    if not isinstance(body, LargeBody):
        return body
    start = b""
    for part in body.parts:
        if len(start) >= count:
            break
        start += part
    return start

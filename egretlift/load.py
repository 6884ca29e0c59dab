"""Load of an upstream, and the text in which daemons report it to each other."""


class Load:
    """Load of an upstream as measured by its daemon.

    Parameters
    ----------
    running : int
        Number of calls that the upstream is executing.
    limit : int
        Largest number of calls that may run at once.
    queued : int
        Number of calls that wait for a slot.
    duration_s : float
        Mean duration of a call in seconds.
    """

    __slots__ = ("duration_s", "limit", "queued", "running")

    def __init__(self, running, limit, queued, duration_s):
        self.running = running
        self.limit = limit
        self.queued = queued
        self.duration_s = duration_s


def encode_load(load):
    """Return a load as text: its numbers in order, with the duration in milliseconds.

    See Also
    --------
    decode_load : The inverse.

    Examples
    --------
    >>> encode_load(Load(3, 16, 0, 0.04))
    '3 16 0 40'
    """
    duration_ms = round(1000 * load.duration_s)
    return f"{load.running} {load.limit} {load.queued} {duration_ms}"


def decode_load(text):
    """Return the load in a text, None if the text is not a valid load."""
    try:
        running, limit, queued, duration_ms = map(int, text.split())
    except (AttributeError, ValueError):
        return None
    if limit < 1 or min(running, queued, duration_ms) < 0:
        return None
    return Load(running, limit, queued, duration_ms / 1000)

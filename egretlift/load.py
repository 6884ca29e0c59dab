"""Load of an upstream, and the text in which daemons report it to each other."""

from egretlift.documents import parse_integer

# A higher rate of an upstream is no limit; the text of a load could not hold it.
RATE_MAXIMUM_PER_S = 10**9


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
    rate_per_s : float or None
        Rate limit of the upstream in calls a second, None if there is none.
    start_delay_s : float
        Seconds until the rate limit lets one more call start, after all that wait.
    """

    __slots__ = (
        "duration_s",
        "limit",
        "queued",
        "rate_per_s",
        "running",
        "start_delay_s",
    )

    def __init__(
        self, running, limit, queued, duration_s, rate_per_s=None, start_delay_s=0.0
    ):
        self.running = running
        self.limit = limit
        self.queued = queued
        self.duration_s = duration_s
        self.rate_per_s = rate_per_s
        self.start_delay_s = start_delay_s


def encode_load(load):
    """Return a load as text: its numbers in order, with times in milliseconds.

    A rate limit, in calls in 1,000 seconds, and the time until the next start are added
    only if there is a limit.

    See Also
    --------
    decode_load : The inverse.

    Examples
    --------
    >>> encode_load(Load(3, 16, 0, 0.04))
    '3 16 0 40'
    >>> encode_load(Load(3, 16, 2, 0.04, 10.4, 0.25))
    '3 16 2 40 10400 250'
    """
    duration_ms = round(1000 * load.duration_s)
    text = f"{load.running} {load.limit} {load.queued} {duration_ms}"
    if load.rate_per_s is None:
        return text
    rate = max(1, round(1000 * load.rate_per_s))
    return f"{text} {rate} {round(1000 * load.start_delay_s)}"


def decode_load(text):
    """Return the load in a value, None if it is no text with a valid load."""
    if not isinstance(text, str):
        return None
    numbers = [parse_integer(part) for part in text.split()]
    if None in numbers or len(numbers) not in (4, 6):
        return None
    running, limit, queued, duration_ms, *rest = numbers
    if limit < 1:
        return None
    if not rest:
        return Load(running, limit, queued, duration_ms / 1000)
    rate, start_delay_ms = rest
    if rate < 1:
        return None
    return Load(
        running, limit, queued, duration_ms / 1000, rate / 1000, start_delay_ms / 1000
    )

"""Ring buffer of the recent events of one host, ordered among those of all hosts.

The field ``order`` of an event is a timestamp of a hybrid logical clock: wall time in
milliseconds in the upper bits and a counter in the lower 16. The timestamp of a new
event exceeds all that were received from other hosts, so an effect sorts after its
cause even if the clocks of the hosts differ.
"""

import enum
import itertools
import time
from collections import deque

RING_CAPACITY = 2000
COUNTER_BITS = 16
# In characters; longer texts are truncated, which limits the ring to about 2 MB.
MAX_TEXT_LENGTH = 300
# Fields set by the ring or by eliot. Other fields of these names get a prefix.
RESERVED_FIELDS = frozenset(
    ("event", "host", "sequence", "wall_s", "monotonic_s", "order")
    + ("message_type", "task_level", "task_uuid", "timestamp")
)
JSON_SCALAR_TYPES = frozenset((int, float, bool, type(None)))


class EventRing:
    """Ring buffer of the last events of one host.

    Parameters
    ----------
    host : str
        Name of the host.
    size : int
        Number of events kept; the oldest one is dropped for a new one.
    wall, monotonic : callable
        Functions that return the wall time and the monotonic time in seconds.

    Attributes
    ----------
    events : deque of dict
        Events, oldest first.
    sequence : int
        Number of events ever added; the sequence number of the last one.
    order : int
        Current timestamp of the hybrid logical clock.
    """

    __slots__ = ("events", "host", "monotonic", "order", "sequence", "wall")

    def __init__(
        self, host, size=RING_CAPACITY, wall=time.time, monotonic=time.monotonic
    ):
        self.host = host
        self.events = deque(maxlen=size)
        self.sequence = 0
        self.order = 0
        self.wall = wall
        self.monotonic = monotonic


def simplify_value(value):
    """Return a value as a JSON scalar, with long texts truncated.

    An enum member becomes its name in lower case, and an object of another type its
    ``str``.

    Examples
    --------
    >>> from egretlift.outcome import Outcome
    >>> simplify_value(Outcome.UNKNOWN), simplify_value(3), simplify_value({"b"})
    ('unknown', 3, "{'b'}")
    """
    if type(value) in JSON_SCALAR_TYPES:
        return value
    if isinstance(value, enum.Enum):
        return value.name.lower()
    text = value if type(value) is str else str(value)
    return text if len(text) <= MAX_TEXT_LENGTH else text[:MAX_TEXT_LENGTH] + "..."


def append_event(ring, name, fields):
    """Add an event to the ring and return it as a dict.

    A field with the name of a reserved one is renamed to ``field_NAME``.
    """
    wall_s = ring.wall()
    ring.order = max(ring.order + 1, int(wall_s * 1000) << COUNTER_BITS)
    ring.sequence += 1
    event = {
        "event": name,
        "host": ring.host,
        "sequence": ring.sequence,
        "wall_s": wall_s,
        "monotonic_s": ring.monotonic(),
        "order": ring.order,
    }
    for key, value in fields.items():
        key = f"field_{key}" if key in RESERVED_FIELDS else key
        event[key] = simplify_value(value)
    ring.events.append(event)
    return event


def advance_clock(ring, order):
    """Advance the ring's clock to a timestamp received from another daemon.

    An earlier timestamp has no effect.

    Examples
    --------
    >>> ring = EventRing("h1", wall=lambda: 5.0)
    >>> advance_clock(ring, 7 << 40)
    >>> append_event(ring, "share-granted", {})["order"] > 7 << 40
    True
    """
    ring.order = max(ring.order, order)


def list_events_after(ring, sequence):
    """Return the events of the ring with a higher sequence number, oldest first."""
    if not ring.events:
        return []
    skipped = max(0, sequence + 1 - ring.events[0]["sequence"])
    return list(itertools.islice(ring.events, skipped, None))


def merge_timelines(timelines):
    """Return the events of several hosts as one list in causal order.

    Concurrent events with equal timestamps are sorted by host.

    Examples
    --------
    >>> first = [{"order": 1, "host": "a", "sequence": 1}]
    >>> second = [{"order": 0, "host": "b", "sequence": 9}]
    >>> [event["host"] for event in merge_timelines([first, second])]
    ['b', 'a']
    """
    return sorted(
        itertools.chain.from_iterable(timelines),
        key=lambda event: (event["order"], event["host"], event["sequence"]),
    )

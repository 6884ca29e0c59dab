"""Recent events of one host and their order among the events of all hosts.

The order value is a hybrid logical clock: wall time in milliseconds in the upper
bits and a counter in the lower 16. It never falls below a value received from
another host, so an effect sorts after its cause even if the clocks differ.
"""

import enum
import itertools
import time
from collections import deque

RING_EVENTS = 2000
COUNTER_BITS = 16
# Longer texts are cut, so that the ring stays near 2 MB at most.
TEXT_LIMIT = 300
# Set by the ring or used by eliot. A field of one of these names gets a prefix.
RESERVED = frozenset(
    ("event", "host", "sequence", "wall_s", "monotonic_s", "order")
    + ("message_type", "task_level", "task_uuid", "timestamp")
)
PLAIN_TYPES = frozenset((int, float, bool, type(None)))


class EventRing:
    """The last events of one host.

    Parameters
    ----------
    host : str
        Name of the host.
    size : int
        Number of events kept.
    wall, monotonic : callable
        Clocks in seconds.
    """

    __slots__ = ("events", "host", "monotonic", "order", "sequence", "wall")

    def __init__(
        self, host, size=RING_EVENTS, wall=time.time, monotonic=time.monotonic
    ):
        self.host = host
        self.events = deque(maxlen=size)
        self.sequence = 0
        self.order = 0
        self.wall = wall
        self.monotonic = monotonic


def simplify_value(value):
    """Return a value that JSON can carry, with long texts cut.

    Examples
    --------
    >>> from egretlift.outcome import Outcome
    >>> simplify_value(Outcome.UNKNOWN), simplify_value(3), simplify_value({"b"})
    ('unknown', 3, "{'b'}")
    """
    if type(value) in PLAIN_TYPES:
        return value
    if isinstance(value, enum.Enum):
        return value.name.lower()
    text = value if type(value) is str else str(value)
    return text if len(text) <= TEXT_LIMIT else text[:TEXT_LIMIT] + "..."


def append_event(ring, name, fields):
    """Add an event to the ring and return it as a dict.

    A field that has the name of a built-in one is kept as ``field_NAME``.
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
        key = f"field_{key}" if key in RESERVED else key
        event[key] = simplify_value(value)
    ring.events.append(event)
    return event


def observe_order(ring, order):
    """Raise the ring's clock to the order value received from another daemon.

    Examples
    --------
    >>> ring = EventRing("h1", wall=lambda: 5.0)
    >>> observe_order(ring, 7 << 40)
    >>> append_event(ring, "share-granted", {})["order"] > 7 << 40
    True
    """
    ring.order = max(ring.order, order)


def events_after(ring, sequence):
    """Return the kept events with a higher sequence number, oldest first."""
    if not ring.events:
        return []
    skipped = max(0, sequence + 1 - ring.events[0]["sequence"])
    return list(itertools.islice(ring.events, skipped, None))


def merge_timelines(lists):
    """Return the events of several hosts as one list in causal order.

    Examples
    --------
    >>> first = [{"order": 1, "host": "a", "sequence": 1}]
    >>> second = [{"order": 0, "host": "b", "sequence": 9}]
    >>> [event["host"] for event in merge_timelines([first, second])]
    ['b', 'a']
    """
    return sorted(
        itertools.chain.from_iterable(lists),
        key=lambda event: (event["order"], event["host"], event["sequence"]),
    )

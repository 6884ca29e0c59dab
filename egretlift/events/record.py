"""Event log: one key=value line per event on stderr, through eliot."""

import json
import re
import sys
import time

import eliot

from egretlift.events.ring import EventRing, append_event

UNQUOTED = re.compile(r"[\w.:/@+,*%()-]+", re.ASCII)
# Eliot adds these; egretlift correlates events by order value and call id.
HIDDEN = frozenset(("message_type", "task_level", "task_uuid", "timestamp"))
# Only for the ring.
RING_ONLY = frozenset(("wall_s", "monotonic_s", "host", "event"))


class Log:
    """The ring and the eliot destination of this process."""

    __slots__ = ("destination", "ring")

    def __init__(self):
        self.ring = EventRing("unnamed")
        self.destination = None


LOG = Log()


def quote_value(value):
    """Return a value as log text, quoted unless it is one plain word.

    Examples
    --------
    >>> quote_value("key-unknown"), quote_value("no host"), quote_value(True)
    ('key-unknown', '"no host"', 'true')
    """
    if value is True or value is False or value is None:
        return str(value).lower()
    text = value if type(value) is str else str(value)
    return text if UNQUOTED.fullmatch(text) else json.dumps(text)


def format_time(wall_s):
    """Return UTC time in ISO format with milliseconds.

    Examples
    --------
    >>> format_time(1.0625)
    '1970-01-01T00:00:01.062Z'
    """
    whole = int(wall_s)
    text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole))
    return f"{text}.{int((wall_s - whole) * 1000):03d}Z"


def format_line(message):
    """Return the key=value line of an eliot message."""
    wall_s = message.get("wall_s", message["timestamp"])
    name = message.get("event", message.get("message_type", ""))
    parts = [
        f"time={format_time(wall_s)}",
        f"host={quote_value(message.get('host', LOG.ring.host))}",
        f"event={quote_value(name)}",
    ]
    for key, value in message.items():
        if key not in HIDDEN and key not in RING_ONLY:
            parts.append(f"{key}={quote_value(value)}")
    return " ".join(parts)


def make_destination(stream):
    """Return an eliot destination that writes lines on a stream."""

    def write_line(message):
        stream.write(format_line(message) + "\n")
        stream.flush()

    return write_line


def start_logging(host, stream=None):
    """Write the events of this process as lines and return the new event ring.

    Parameters
    ----------
    host : str
        Name of this host.
    stream : text file, optional
        Where lines go; stderr if None.
    """
    if LOG.destination is not None:
        eliot.remove_destination(LOG.destination)
    LOG.ring = EventRing(host)
    LOG.destination = make_destination(sys.stderr if stream is None else stream)
    eliot.add_destinations(LOG.destination)
    return LOG.ring


def current_ring():
    """Return the event ring of this process."""
    return LOG.ring


def record_event(name, /, **fields):
    """Record an event in the ring and as one log line, and return it.

    Parameters
    ----------
    name : str
        Kind of event, in words joined by hyphens.
    **fields
        Details. Calls are named by ``call_id``.
    """
    event = append_event(LOG.ring, name, fields)
    eliot.log_message(name, **event)
    return event

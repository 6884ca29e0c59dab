"""Event log: eliot writes each event as one line of key=value pairs, to stderr."""

import json
import re
import sys
import time

import eliot

from egretlift.events.ring import EventRing, append_event

UNQUOTED = re.compile(r"[\w.:/@+,*%()-]+", re.ASCII)
# Fields added by eliot, left out of log lines: egretlift correlates events by `order`
# and `call_id` instead.
ELIOT_FIELDS = frozenset(("message_type", "task_level", "task_uuid", "timestamp"))
# Fields not written as further pairs: log lines start with them (`wall_s` as `time`),
# or they are kept only in the ring (`monotonic_s`).
OMITTED_FIELDS = frozenset(("wall_s", "monotonic_s", "host", "event"))


class LoggingState:
    """Logging state of this process: the event ring and the eliot destination."""

    __slots__ = ("destination", "ring")

    def __init__(self):
        self.ring = EventRing("unnamed")
        self.destination = None


LOGGING = LoggingState()


def quote_value(value):
    """Return a value as log text, as a JSON string unless it is one plain word.

    Booleans and None are written as ``true``, ``false`` and ``none``.

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
    """Return a Unix time as UTC in ISO 8601 format, truncated to milliseconds.

    Examples
    --------
    >>> format_time(1.0625)
    '1970-01-01T00:00:01.062Z'
    """
    whole = int(wall_s)
    text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole))
    return f"{text}.{int((wall_s - whole) * 1000):03d}Z"


def format_line(message):
    """Return the line of key=value pairs for an eliot message."""
    wall_s = message.get("wall_s", message["timestamp"])
    name = message.get("event", message.get("message_type", ""))
    parts = [
        f"time={format_time(wall_s)}",
        f"host={quote_value(message.get('host', LOGGING.ring.host))}",
        f"event={quote_value(name)}",
    ]
    for key, value in message.items():
        if key not in ELIOT_FIELDS and key not in OMITTED_FIELDS:
            parts.append(f"{key}={quote_value(value)}")
    return " ".join(parts)


def make_destination(stream):
    """Return an eliot destination that writes each message as a line to a stream."""

    def write_line(message):
        stream.write(format_line(message) + "\n")
        stream.flush()

    return write_line


def start_logging(host, stream=None):
    """Start logging to a stream and return the new event ring of this process.

    The stream and the ring of an earlier call are replaced.

    Parameters
    ----------
    host : str
        Name of this host.
    stream : text file, optional
        Stream for log lines; stderr if None.

    Returns
    -------
    EventRing
    """
    if LOGGING.destination is not None:
        eliot.remove_destination(LOGGING.destination)
    LOGGING.ring = EventRing(host)
    LOGGING.destination = make_destination(sys.stderr if stream is None else stream)
    eliot.add_destinations(LOGGING.destination)
    return LOGGING.ring


def get_event_ring():
    """Return the event ring of this process.

    Before `start_logging` it is a ring of the host ``unnamed``.
    """
    return LOGGING.ring


def record_event(name, /, **fields):
    """Add an event to the ring, log it as one line and return it.

    Parameters
    ----------
    name : str
        Kind of event, as words joined by hyphens.
    **fields
        Details of the event. The identifier of a call is given as ``call_id``.

    Returns
    -------
    dict of str to object
    """
    event = append_event(LOGGING.ring, name, fields)
    eliot.log_message(name, **event)
    return event

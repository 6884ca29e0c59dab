"""Parser of log files that hold one event of key=value pairs per line."""

import json
import re

# First pair of an event. A log collector may have put a prefix before it.
FIRST_PAIR = re.compile(r"\btime=")
PAIR = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line):
    """Return the event in a log line as a dict of str, None if it holds no event.

    An event has at least the fields ``time``, ``event`` and ``host``.

    Examples
    --------
    >>> parse_line('pod-7 time=2026-01-01T00:00:00.000Z host=h event=x cause="a b"')
    {'time': '2026-01-01T00:00:00.000Z', 'host': 'h', 'event': 'x', 'cause': 'a b'}
    >>> parse_line("Traceback") is None
    True
    """
    start = FIRST_PAIR.search(line)
    if start is None:
        return None
    event = {}
    for name, value in PAIR.findall(line, start.start()):
        try:
            event[name] = json.loads(value) if value.startswith('"') else value
        except ValueError:
            event[name] = value
    return event if "event" in event and "host" in event else None


def read_events(paths):
    """Return the events of log files, sorted by time.

    Lines that hold no event are skipped.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Log files of any number of hosts.

    Returns
    -------
    list of dict of str to str

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    events = []
    for path in paths:
        with path.open(errors="replace") as lines:
            events.extend(event for line in lines if (event := parse_line(line)))
    events.sort(key=lambda event: event.get("time", ""))
    return events

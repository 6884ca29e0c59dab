"""Reading log lines back: one event of key=value pairs a line."""

import json
import re

# A collector may put its own words before the first pair of a line.
START = re.compile(r"\btime=")
PAIR = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line):
    """Return the event of a log line as a dict of texts, None if it is no event.

    Examples
    --------
    >>> parse_line('pod-7 time=2026-01-01T00:00:00.000Z host=h event=x cause="a b"')
    {'time': '2026-01-01T00:00:00.000Z', 'host': 'h', 'event': 'x', 'cause': 'a b'}
    >>> parse_line("Traceback") is None
    True
    """
    start = START.search(line)
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
    """Return the events of log files, in the order of their time.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Logs of any number of hosts.

    Raises
    ------
    OSError
        A file cannot be read.
    """
    events = []
    for path in paths:
        with path.open(errors="replace") as lines:
            events.extend(event for line in lines if (event := parse_line(line)))
    events.sort(key=lambda event: event.get("time", ""))
    return events

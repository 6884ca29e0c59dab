"""Measures of a run that need each request, from the load generator's records."""

import json
import math

from standins.totals import mark_in_rate

# Requests of one window are compared with the requests before the trigger. A
# shorter window holds too few requests for a 99th percentile.
WINDOW_S = 1.0
STEP_S = 0.1
# Windows in a row that must be as before; one alone may be chance.
STEADY_WINDOWS = 10
TOLERANCE = 0.05


def read_attempts(path):
    """Return the attempts in the record file of a load generator."""
    with open(path) as file:
        return [json.loads(line) for line in file]


def join_requests(attempts):
    """Return (scheduled s, latency s or None if not whole) of each request."""
    requests = {}
    for attempt in attempts:
        scheduled = attempt["scheduled"]
        latency = attempt["end"] - scheduled if attempt["whole"] else None
        known = requests.get(attempt["request"])
        if known is None or known[1] is None:
            requests[attempt["request"]] = (scheduled, latency)
    return sorted(requests.values(), key=lambda request: request[0])


def measure_window(requests, began, ended):
    """Return (whole share, p99 s) of the requests scheduled in a window.

    Examples
    --------
    >>> measure_window([(0.1, 0.2), (0.2, None), (1.5, 0.1)], 0.0, 1.0)
    (0.5, 0.2)
    """
    rows = [latency for scheduled, latency in requests if began <= scheduled < ended]
    whole = sorted(latency for latency in rows if latency is not None)
    if not whole:
        return (0.0 if rows else 1.0), math.inf if rows else 0.0
    return len(whole) / len(rows), whole[math.ceil(0.99 * len(whole)) - 1]


def list_windows(requests, began, ended):
    """Return (start s, whole share, p99 s) of overlapping windows."""
    count = max(0, int((ended - began - WINDOW_S) / STEP_S + 1e-9) + 1)
    starts = [began + STEP_S * number for number in range(count)]
    return [(at, *measure_window(requests, at, at + WINDOW_S)) for at in starts]


def find_recovery(requests, before, trigger_end, ended):
    """Return the seconds after the trigger until requests are served as before.

    Goodput counts as restored when the whole share of a window is within 5% of
    the whole share before, and latency when its p99 is within 5% of the highest
    p99 of a window before: the p99 of single windows scatters by far more than 5%.

    Parameters
    ----------
    requests : list of (float, float or None)
        See `join_requests`.
    before : tuple of (float, float)
        Period before the trigger in monotonic seconds.
    trigger_end, ended : float
        End of the trigger and of the load, in monotonic seconds.

    Returns
    -------
    float or None
        None if they are not served as before until the end, or were not served
        before.
    """
    share, _ = measure_window(requests, *before)
    if not share:
        return None
    highest = max((row[2] for row in list_windows(requests, *before)), default=0.0)
    good = 0
    for start, whole, p99 in list_windows(requests, trigger_end, ended):
        if whole >= share * (1 - TOLERANCE) and p99 <= highest * (1 + TOLERANCE):
            good += 1
            if good == STEADY_WINDOWS:
                return max(0.0, start - STEP_S * (good - 1) - trigger_end)
        else:
            good = 0
    return None


def count_within_rate(organisations, attempts):
    """Return (worst served share, largest refused share) of what is within rates.

    An ideal bucket at the callers tells how many sends of an organisation are within
    its rate and burst, but not which ones the daemons should accept. An organisation
    that sends more than its rate is therefore fully served when as many of its
    requests are whole as were within the rate, and only refusals beyond the number of
    sends outside the rate count.

    Parameters
    ----------
    organisations : list of dict
        Of the load's plan, with ``name``, ``rate`` and ``burst``.
    attempts : list of dict
        See `read_attempts`.
    """
    inside = mark_in_rate({"organisations": organisations}, attempts)
    served, refused = [], []
    for row in organisations:
        own = [item for item in attempts if item["organisation"] == row["name"]]
        allowed = sum(item["request_id"] in inside for item in own)
        first = sum(
            item["attempt"] == 0 and item["request_id"] in inside for item in own
        )
        if not first:
            continue
        whole = {item["request"] for item in own if item["whole"]}
        served.append(min(1.0, len(whole) / first))
        refusals = sum(item["reason"] is not None for item in own)
        refused.append(max(0, refusals - (len(own) - allowed)) / allowed)
    return min(served, default=None), max(refused, default=None)

"""Measures of a run, computed from the load generator's record of each attempt.

A request is whole if one of its attempts got a correct and complete response. The
trigger is the fault or overload that a run applies for a while.
"""

import json
import math

from standins.totals import mark_in_rate

# Length of the windows in which requests are compared with those before the trigger.
# A shorter window holds too few requests for a 99th percentile.
WINDOW_S = 1.0
STEP_S = 0.1
# Successive windows that must be as good as before the trigger; a single one may be
# so by chance.
RECOVERY_WINDOWS = 10
TOLERANCE = 0.05


def read_attempts(path):
    """Return the attempts in the record file (JSON lines) of a load generator."""
    with open(path) as file:
        return [json.loads(line) for line in file]


def merge_attempts(attempts):
    """Return (scheduled s, latency s) of each request, by scheduled time.

    The latency runs from the scheduled time to the end of the first whole attempt,
    and is None if no attempt was whole.
    """
    requests = {}
    for attempt in attempts:
        scheduled = attempt["scheduled"]
        latency = attempt["end"] - scheduled if attempt["whole"] else None
        previous = requests.get(attempt["request"])
        if previous is None or previous[1] is None:
            requests[attempt["request"]] = (scheduled, latency)
    return sorted(requests.values(), key=lambda request: request[0])


def measure_window(requests, began, ended):
    """Return (share of whole requests, p99 s) of the requests scheduled in a window.

    The 99th percentile is that of the whole requests. It is infinite if there are
    requests but none is whole. A window without requests gives ``(1.0, 0.0)``.

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
    """Return (start s, share of whole requests, p99 s) of overlapping windows.

    A window starts every ``STEP_S``; the last one ends at ``ended`` or before.
    """
    count = max(0, int((ended - began - WINDOW_S) / STEP_S + 1e-9) + 1)
    starts = [began + STEP_S * number for number in range(count)]
    return [(at, *measure_window(requests, at, at + WINDOW_S)) for at in starts]


def find_recovery(requests, before, trigger_end, ended):
    """Return the seconds from the end of the trigger to the recovery.

    A window is as good as before the trigger if its share of whole requests is at
    most 5% below the share before, and its p99 at most 5% above the highest p99 of a
    window before. The highest is used because the p99 of single windows scatters by
    far more than 5%. The recovery is the start of the first ``RECOVERY_WINDOWS``
    successive windows that are as good as before.

    Parameters
    ----------
    requests : list of (float, float or None)
        See `merge_attempts`.
    before : tuple of (float, float)
        Start and end of the period before the trigger, in monotonic seconds.
    trigger_end, ended : float
        End of the trigger and of the load, in monotonic seconds.

    Returns
    -------
    float or None
        None if there is no recovery before the end of the load, or if no request was
        whole before the trigger.
    """
    share, _ = measure_window(requests, *before)
    if not share:
        return None
    highest_p99 = max((row[2] for row in list_windows(requests, *before)), default=0.0)
    windows_recovered = 0
    for start, whole, p99 in list_windows(requests, trigger_end, ended):
        if whole >= share * (1 - TOLERANCE) and p99 <= highest_p99 * (1 + TOLERANCE):
            windows_recovered += 1
            if windows_recovered == RECOVERY_WINDOWS:
                return max(0.0, start - STEP_S * (windows_recovered - 1) - trigger_end)
        else:
            windows_recovered = 0
    return None


def count_within_rate(organisations, attempts):
    """Return how badly the organisation worst off was treated within its rate.

    A token bucket at the callers tells how many attempts of an organisation are
    within its rate and burst, but not which ones the daemons should accept. An
    organisation that sends more than its rate is therefore fully served when as many
    of its requests are whole as were within the rate, and only refusals beyond the
    number of attempts outside the rate count.

    Parameters
    ----------
    organisations : list of dict
        Of the load's plan, with ``name``, ``rate`` and ``burst``.
    attempts : list of dict
        See `read_attempts`.

    Returns
    -------
    served : float or None
        Smallest ratio of an organisation's whole requests to its requests within the
        rate, at most 1. None if no organisation sent a request within its rate.
    refused : float or None
        Largest ratio of an organisation's refusals that count to its attempts within
        the rate. None if ``served`` is.
    """
    in_rate = mark_in_rate({"organisations": organisations}, attempts)
    served, refused = [], []
    for row in organisations:
        own_attempts = [
            item for item in attempts if item["organisation"] == row["name"]
        ]
        attempts_in_rate = sum(item["request_id"] in in_rate for item in own_attempts)
        first_attempts_in_rate = sum(
            item["attempt"] == 0 and item["request_id"] in in_rate
            for item in own_attempts
        )
        if not first_attempts_in_rate:
            continue
        whole = {item["request"] for item in own_attempts if item["whole"]}
        served.append(min(1.0, len(whole) / first_attempts_in_rate))
        refusals = sum(item["outcome"] == "refused-not-run" for item in own_attempts)
        refused.append(
            max(0, refusals - (len(own_attempts) - attempts_in_rate)) / attempts_in_rate
        )
    return min(served, default=None), max(refused, default=None)

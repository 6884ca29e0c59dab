"""Measures of a run of the load generator."""

import collections
import math

QUANTILES = (0.5, 0.9, 0.99, 0.999)


def find_quantiles(values):
    """Return quantiles by nearest rank, and the maximum.

    Examples
    --------
    >>> find_quantiles([3.0, 1.0, 2.0])["p50"]
    2.0
    """
    values = sorted(values)
    if not values:
        return {}
    found = {
        f"p{quantile * 100:g}": values[math.ceil(quantile * len(values)) - 1]
        for quantile in QUANTILES
    }
    return {**found, "max": values[-1], "count": len(values)}


def mark_in_rate(plan, attempts):
    """Return the request ids of the attempts within their organisation's rate.

    Attempts draw from a full bucket in the order of their start, resends included.
    The attempts of an organisation without a rate are all within it.
    """
    limits = {row["name"]: row for row in plan["organisations"]}
    buckets, inside = {}, set()
    for attempt in sorted(attempts, key=lambda attempt: attempt["start"]):
        name, now = attempt["organisation"], attempt["start"]
        rate = limits[name]["rate"]
        if rate is None:
            inside.add(attempt["request_id"])
            continue
        burst = limits[name]["burst"] or rate
        tokens, refilled = buckets.get(name, (burst, now))
        tokens = min(burst, tokens + (now - refilled) * rate)
        if tokens >= 1.0:
            tokens -= 1.0
            inside.add(attempt["request_id"])
        buckets[name] = tokens, now
    return inside


def divide(part, whole):
    """Return a share, or None if there is nothing to share."""
    return part / whole if whole else None


def count_organisations(plan, requests, attempts, whole, inside):
    """Return the served and refused shares of each organisation.

    A request is in rate if its first attempt is, and then served if any attempt
    ended whole.
    """
    found = {}
    for row in plan["organisations"]:
        name = row["name"]
        own = [r["request"] for r in requests if r["organisation"] == name]
        in_rate = [request for request in own if f"{request}.0" in inside]
        tried = [
            attempt
            for attempt in attempts
            if attempt["organisation"] == name and attempt["request_id"] in inside
        ]
        refused = sum(attempt["reason"] is not None for attempt in tried)
        found[name] = {
            "requests": len(own),
            "whole": sum(request in whole for request in own),
            "served_share": divide(sum(r in whole for r in own), len(own)),
            "in_rate_served_share": divide(
                sum(r in whole for r in in_rate), len(in_rate)
            ),
            "in_rate_refused_share": divide(refused, len(tried)),
        }
    return found


def count_seconds(requests, whole, started):
    """Return, per second of arrival, [arrived, whole, whole by end, weight by end]."""
    rows = collections.defaultdict(lambda: [0, 0, 0, 0.0])
    for request in requests:
        row = rows[int(request["scheduled"] - started)]
        row[0] += 1
        attempt = whole.get(request["request"])
        if attempt is not None:
            row[1] += 1
            ended = rows[int(attempt["end"] - started)]
            ended[2] += 1
            ended[3] += request["weight"]
    return [list(rows[second]) for second in range(max(rows, default=-1) + 1)]


def group_latencies(whole, name):
    """Return the latency quantiles of whole requests by a field."""
    groups = collections.defaultdict(list)
    for attempt in whole.values():
        groups[attempt[name]].append(attempt["end"] - attempt["scheduled"])
    return {group: find_quantiles(values) for group, values in groups.items()}


def is_contradictory(attempt):
    """Return whether the outcome header disagrees with the rest of the answer.

    An answer that breaks off has an error and its header is not judged.
    """
    if attempt["outcome"] is None or attempt["error"] is not None:
        return False
    if attempt["outcome"] == "whole":
        return attempt["status"] >= 500 or attempt["matches"] is False
    return attempt["status"] < 400


def compute_totals(plan, requests, attempts, started):
    """Return the measures of a run.

    Parameters
    ----------
    plan : dict
        Complete plan of the run.
    requests, attempts : list of dict
        Records of the load generator.
    started : float
        Monotonic time of the start in seconds.

    Returns
    -------
    dict
        ``goodput`` and ``weighted_goodput`` are whole requests, and their weight, a
        second of the planned duration. Latency in seconds counts from the scheduled
        arrival of a request to the end of its whole answer, resends included.
        ``mismatched`` counts answers with a success status that are damaged or
        belong to another request; it must be 0. ``contradictions`` counts answers
        whose outcome header disagrees with what was received.
    """
    duration = sum(phase["duration_s"] for phase in plan["phases"])
    whole = {}
    for attempt in attempts:
        if attempt["whole"]:
            whole.setdefault(attempt["request"], attempt)
    inside = mark_in_rate(plan, attempts)
    organisations = count_organisations(plan, requests, attempts, whole, inside)
    shares = [row["in_rate_served_share"] for row in organisations.values()]
    return {
        "duration_s": duration,
        "requests": len(requests),
        "attempts": len(attempts),
        "whole": len(whole),
        "goodput": len(whole) / duration,
        "weighted_goodput": sum(row["weight"] for row in whole.values()) / duration,
        "offered_weight": sum(row["weight"] for row in requests) / duration,
        "latency_s": find_quantiles(
            row["end"] - row["scheduled"] for row in whole.values()
        ),
        "latency_by_route_s": group_latencies(whole, "route"),
        "latency_by_priority_s": group_latencies(whole, "priority"),
        "refusals": count_values(attempts, "reason"),
        "errors": count_values(attempts, "error"),
        "statuses": count_values(attempts, "status"),
        "outcomes": count_values(attempts, "outcome"),
        "whole_by_priority": count_values(whole.values(), "priority"),
        "requests_by_priority": count_values(requests, "priority"),
        "mismatched": sum(attempt["matches"] is False for attempt in attempts),
        "contradictions": sum(map(is_contradictory, attempts)),
        "organisations": organisations,
        "worst_served_share": min((s for s in shares if s is not None), default=None),
        "seconds": count_seconds(requests, whole, started),
    }


def count_values(rows, name):
    """Return how often each value of a field occurs, without None."""
    values = (row[name] for row in rows)
    return dict(collections.Counter(str(v) for v in values if v is not None))

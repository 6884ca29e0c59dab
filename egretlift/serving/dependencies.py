"""Dependencies of routes, as this daemon learns them from the calls of its upstream."""

from egretlift.admission.dependencies import find_limited, record_calls
from egretlift.clock import read_clock
from egretlift.membership.peers import may_call
from egretlift.outcome import Outcome


def find_limited_dependency(board, route_admission):
    """Return a service whose rate limits do not allow the calls of a route, or None."""
    if not route_admission.dependencies:
        return None
    now = read_clock()
    return find_limited(
        route_admission.dependencies,
        lambda service: estimate_start_delay_s(board, service, now),
        board.random,
    )


def estimate_start_delay_s(board, service, now):
    """Return the seconds until rate limits let a call to a service start.

    It is 0 if any host of the service has no limit that this daemon knows of, and if no
    host may be called, as a limit is not the cause then.
    """
    if board.may_execute(service) and board.slots.rate_limit.rate_per_s is None:
        return 0.0
    hosts = board.ensure_directory().services.get(service)
    if hosts is None:
        return 0.0
    zone, interval_s = board.settings.zone, board.report_interval_s()
    earliest_s = None
    for peers in (hosts.near, hosts.far):
        for peer in peers:
            if not may_call(peer, zone, now, interval_s):
                continue
            load = peer.load
            if load is None or load.rate_per_s is None:
                return 0.0
            delay_s = load.start_delay_s + peer.sent / load.rate_per_s
            delay_s = max(0.0, delay_s - (now - peer.load_at))
            earliest_s = delay_s if earliest_s is None else min(earliest_s, delay_s)
    return earliest_s or 0.0


def record_route_calls(route_admission, running, answer):
    """Record the services that a request of a caller has called, if it succeeded."""
    if answer.outcome is Outcome.WHOLE and (
        running.called or route_admission.dependencies
    ):
        record_calls(route_admission.dependencies, running.called)

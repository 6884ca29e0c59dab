"""Load balancing between the hosts of a service by the power of two choices.

Hosts are compared by the load that they reported with their last answer plus the calls
that this daemon has sent them since. The better of two random candidates is chosen,
which avoids loaded hosts without all daemons choosing the same one. A host in another
zone is chosen only if its load is clearly lower than that of the best candidate in the
same zone.
"""

import math

from egretlift.outcome import Outcome

ALIVE = "alive"
SUSPECT = "suspect"
# The weight of a reported load falls linearly to zero within this time.
LOAD_AGE_S = 2.0
# Limit assumed for a host that has not reported one.
DEFAULT_LIMIT = 20
# Other zones are considered only if the candidate in the same zone has at least this
# load, as a fraction of its limit.
SPILLOVER_LOAD = 0.8
# A host in another zone is chosen only if its load and cost are below this fraction of
# those of the candidate in the same zone.
SPILLOVER_RATIO = 0.6
# Slowness and failures scale the load of a host. Their influence decays with this time
# constant, so that a host that was avoided gets calls again.
DECAY_S = 3.0
# A smaller remaining influence counts as none; between idle hosts it would decide.
DECAY_CUTOFF = 0.05
SMOOTHING = 0.2
SLOWNESS_MAXIMUM = 4.0
FAILURE_WEIGHT = 4.0
# Added to each load, since scaling has no effect on the zero load of idle hosts.
LOAD_OFFSET = 0.1


class HostRecord:
    """Load, latency and failures of one host as seen by this daemon.

    ``failed`` is the exponentially weighted fraction of answers that failed and
    ``latency_s`` the exponentially weighted mean latency. ``outstanding`` counts the
    calls of this daemon in progress and ``sent`` those that it started since the last
    reported load. ``load`` is a fraction of ``limit``.
    """

    __slots__ = (
        "answered_at",
        "ejected_until",
        "failed",
        "latency_s",
        "limit",
        "load",
        "load_at",
        "outstanding",
        "sent",
    )

    def __init__(self):
        self.outstanding = 0
        self.sent = 0
        self.ejected_until = -math.inf
        self.failed = 0.0
        self.latency_s = None
        self.answered_at = -math.inf
        self.limit = DEFAULT_LIMIT
        self.load = 0.0
        self.load_at = -math.inf


class HostRecords:
    """Records by host, and the mean latency over all of them in seconds."""

    __slots__ = ("hosts", "latency_s")

    def __init__(self):
        self.hosts = {}
        self.latency_s = None


def ensure_record(records, host):
    """Return the record of a host, adding one if there is none."""
    record = records.hosts.get(host)
    if record is None:
        record = records.hosts[host] = HostRecord()
    return record


def retain_hosts(records, hosts):
    """Remove the records of all but the given hosts, unless calls are outstanding."""
    hosts = set(hosts)
    records.hosts = {
        host: record
        for host, record in records.hosts.items()
        if host in hosts or record.outstanding
    }


def start_call(records, host):
    """Count a call that this daemon sends to a host."""
    record = ensure_record(records, host)
    record.outstanding += 1
    record.sent += 1


def finish_call(records, host):
    """Count a call to a host as finished, whatever its outcome."""
    record = ensure_record(records, host)
    record.outstanding = max(0, record.outstanding - 1)


def record_refused_connection(records, host, settings, now):
    """Eject a host that refused a connection for ``settings.ejection_s``."""
    record = ensure_record(records, host)
    record.ejected_until = now + settings.ejection_s


def is_ejected(records, host, now):
    """Return whether a host is ejected after a refused connection."""
    record = records.hosts.get(host)
    return record is not None and now < record.ejected_until


def record_answer(records, host, settings, now, outcome, duration_s, load):
    """Record an answer, received from a host or made up by this daemon for it.

    Parameters
    ----------
    records : HostRecords
    host : str
    settings : Settings
    now : float
        Monotonic time in seconds.
    outcome : Outcome
        A refusal changes only the load, not the latency or the failures.
    duration_s : float
        Time from the call to the end of the answer, in seconds.
    load : Load or None
        Load that the host reported with the answer, if any. Only its slots
        ``in_flight``, ``limit`` and ``queued`` are used.
    """
    record = ensure_record(records, host)
    if load is not None:
        # A host that reports its load is reachable. An answer without a load may have
        # been made up by this daemon, for instance after a lost connection.
        record.ejected_until = -math.inf
        record.limit = load.limit
        record.load = (load.in_flight + load.queued) / load.limit
        record.load_at = now
        record.sent = 0
    if outcome is Outcome.REFUSED_NOT_RUN:
        return
    failed = outcome is not Outcome.WHOLE
    record.failed = compute_decay(record, now) * record.failed
    record.failed += SMOOTHING * (failed - record.failed)
    if not failed:
        record.latency_s = smooth(record.latency_s, duration_s)
        records.latency_s = smooth(records.latency_s, duration_s)
    record.answered_at = now


def smooth(mean, value):
    """Return an exponentially weighted mean after a further value."""
    return value if mean is None else mean + SMOOTHING * (value - mean)


def compute_decay(record, now):
    """Return the remaining weight of a host's slowness and failures, from 0 to 1."""
    part = math.exp(min(0.0, record.answered_at - now) / DECAY_S)
    return part if part > DECAY_CUTOFF else 0.0


def measure_load(record, now):
    """Return the estimated load of a host as a fraction of its limit.

    As the reported load ages, the estimate falls back linearly to the outstanding calls
    of this daemon alone.
    """
    own = record.outstanding / record.limit
    fresh = 1 - (now - record.load_at) / LOAD_AGE_S
    if fresh <= 0:
        return own
    reported = max(own, record.load + record.sent / record.limit)
    return own + min(1.0, fresh) * (reported - own)


def weigh_host(records, host, now):
    """Return (cost, load) of a host; the cost is the load scaled for faults.

    Failures, and latency above the mean of all hosts, raise the cost.
    """
    record = records.hosts.get(host)
    if record is None:
        return LOAD_OFFSET, 0.0
    load = measure_load(record, now)
    part = compute_decay(record, now)
    slowness = 1.0
    if record.latency_s and records.latency_s:
        slowness = record.latency_s / records.latency_s
        slowness = min(max(slowness, 1.0), SLOWNESS_MAXIMUM)
    factor = 1 + part * (slowness - 1 + FAILURE_WEIGHT * record.failed)
    return (load + LOAD_OFFSET) * factor, load


def choose_of_two(records, members, now, random):
    """Return (cost, load, member) of the cheaper of two random members.

    None if there are no members.
    """
    if not members:
        return None
    pair = random.sample(members, 2) if len(members) > 1 else members
    weighed = [(*weigh_host(records, member.host, now), member) for member in pair]
    return min(weighed, key=lambda item: item[0])


def select_usable_members(records, members, now, excluded):
    """Return the members that may get a call.

    Suspect or ejected members are returned only if there are no others. Trying them
    costs little, since a refused connection proves that the call was not run, and it
    shows at once when a host is reachable again.
    """
    candidates = [m for m in members if m.host not in excluded]
    alive = [m for m in candidates if m.status == ALIVE]
    reachable = [m for m in alive if not is_ejected(records, m.host, now)]
    if reachable:
        return reachable
    return [m for m in candidates if m.status == SUSPECT] or alive


def choose_host(records, members, settings, now, random, zone, excluded=()):
    """Return the member that a call is sent to.

    Parameters
    ----------
    records : HostRecords
    members : list of Member
        Hosts of the service.
    settings : Settings
    now : float
        Monotonic time in seconds.
    random : random.Random
    zone : str
        Availability zone of this daemon.
    excluded : collection of str
        Names of hosts to leave out, since they were tried already.

    Returns
    -------
    Member or None
        None if no usable member is left.

    See Also
    --------
    rank_hosts : Several hosts for a call that may be retried.
    """
    usable = select_usable_members(records, members, now, excluded)
    near = choose_of_two(records, [m for m in usable if m.zone == zone], now, random)
    if near and near[1] < SPILLOVER_LOAD:
        return near[2]
    far = choose_of_two(records, [m for m in usable if m.zone != zone], now, random)
    if not near or not far:
        chosen = near or far
        return chosen and chosen[2]
    is_clearly_better = (
        far[0] < SPILLOVER_RATIO * near[0] and far[1] < SPILLOVER_RATIO * near[1]
    )
    return far[2] if is_clearly_better else near[2]


def rank_hosts(records, members, settings, now, random, zone, count, excluded=()):
    """Return up to ``count`` different members in the order in which to try them.

    A refused call is retried on the next one; see ``settings.refused_tries`` and
    ``settings.critical_refused_tries``.
    """
    excluded, ranked = set(excluded), []
    while len(ranked) < count:
        chosen = choose_host(records, members, settings, now, random, zone, excluded)
        if chosen is None:
            break
        ranked.append(chosen)
        excluded.add(chosen.host)
    return ranked

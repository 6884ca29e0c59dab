"""Choice between the hosts of a service.

Hosts are compared by load: the load they reported with their last answer, plus
what this daemon has sent them since. Two random candidates are enough to avoid
loaded hosts without all daemons choosing the same one. A candidate in another
zone is taken only if the best one in the same zone is clearly more loaded.
"""

import math

from egretlift.outcome import Outcome

ALIVE = "alive"
SUSPECT = "suspect"
# A reported load counts fully when new and not at all after this time.
LOAD_AGE_S = 2.0
# Limit assumed for a host that has not reported one.
LIMIT_UNKNOWN = 20
# Load of the same zone, in parts of a host's limit, up to which other zones are
# not considered, and how much smaller the load elsewhere must be.
LOAD_FULL = 0.8
CLEARLY_LESS = 0.6
# Slowness and failures only weigh the load; they fade with this time constant and
# are then forgotten, so that a host that is avoided gets a new chance.
MEMORY_S = 3.0
# Between idle hosts even the smallest remainder would decide.
FORGOTTEN = 0.05
SMOOTHING = 0.2
SLOWNESS_MAXIMUM = 4.0
FAILURE_WEIGHT = 4.0
# Added to each load so that slowness and failures matter between idle hosts.
LOAD_OFFSET = 0.1


class HostRecord:
    """What this daemon knows of one host.

    ``failed`` is a decaying fraction of answers, ``latency_s`` a decaying mean.
    ``sent`` counts the calls that this daemon started after the last report.
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
        self.limit = LIMIT_UNKNOWN
        self.load = 0.0
        self.load_at = -math.inf


class HostRecords:
    """Records by host, and the mean latency over all of them in seconds."""

    __slots__ = ("hosts", "latency_s")

    def __init__(self):
        self.hosts = {}
        self.latency_s = None


def find_record(records, host):
    """Return the record of a host, a new one if there is none."""
    record = records.hosts.get(host)
    if record is None:
        record = records.hosts[host] = HostRecord()
    return record


def retain_hosts(records, hosts):
    """Forget all hosts but the given ones that have no calls outstanding."""
    hosts = set(hosts)
    records.hosts = {
        host: record
        for host, record in records.hosts.items()
        if host in hosts or record.outstanding
    }


def start_call(records, host):
    """Count a call that is sent to a host."""
    record = find_record(records, host)
    record.outstanding += 1
    record.sent += 1


def finish_call(records, host):
    """Count a call to a host as finished, whatever its outcome."""
    record = find_record(records, host)
    record.outstanding = max(0, record.outstanding - 1)


def record_refused_connection(records, host, settings, now):
    """Eject a host that refused a connection for ``settings.ejection_s``."""
    record = find_record(records, host)
    record.ejected_until = now + settings.ejection_s


def is_ejected(records, host, now):
    """Return whether a host is ejected."""
    record = records.hosts.get(host)
    return record is not None and now < record.ejected_until


def record_answer(records, host, settings, now, outcome, duration_s, load):
    """Note an answer of a host.

    Parameters
    ----------
    records : HostRecords
    host : str
    settings : Settings
    now : float
        Monotonic time in seconds.
    outcome : Outcome
        A refusal says nothing about latency or failures; its load says why.
    duration_s : float
        Time until the end of the answer, in seconds.
    load : Load or None
        Load that the host reported with the answer, if any. Only its slots
        ``in_flight``, ``limit`` and ``queued`` are used.
    """
    record = find_record(records, host)
    if load is not None:
        # A host that answers is reachable. Without a load the answer may be made
        # up here, for instance after a lost connection.
        record.ejected_until = -math.inf
        record.limit = load.limit
        record.load = (load.in_flight + load.queued) / load.limit
        record.load_at = now
        record.sent = 0
    if outcome is Outcome.REFUSED_NOT_RUN:
        return
    failed = outcome is not Outcome.WHOLE
    record.failed = fade(record, now) * record.failed
    record.failed += SMOOTHING * (failed - record.failed)
    if not failed:
        record.latency_s = smooth(record.latency_s, duration_s)
        records.latency_s = smooth(records.latency_s, duration_s)
    record.answered_at = now


def smooth(mean, value):
    """Return a running mean after a further value."""
    return value if mean is None else mean + SMOOTHING * (value - mean)


def fade(record, now):
    """Return the part of a host's slowness and failures that still counts."""
    part = math.exp(min(0.0, record.answered_at - now) / MEMORY_S)
    return part if part > FORGOTTEN else 0.0


def measure_load(record, now):
    """Return the load of a host in parts of its limit.

    The reported load fades into this daemon's own outstanding calls as it ages.
    """
    own = record.outstanding / record.limit
    fresh = 1 - (now - record.load_at) / LOAD_AGE_S
    if fresh <= 0:
        return own
    reported = max(own, record.load + record.sent / record.limit)
    return own + min(1.0, fresh) * (reported - own)


def weigh_host(records, host, now):
    """Return (cost, load) of a host; the cost includes slowness and failures."""
    record = records.hosts.get(host)
    if record is None:
        return LOAD_OFFSET, 0.0
    load = measure_load(record, now)
    part = fade(record, now)
    slowness = 1.0
    if record.latency_s and records.latency_s:
        slowness = record.latency_s / records.latency_s
        slowness = min(max(slowness, 1.0), SLOWNESS_MAXIMUM)
    factor = 1 + part * (slowness - 1 + FAILURE_WEIGHT * record.failed)
    return (load + LOAD_OFFSET) * factor, load


def choose_of_two(records, members, now, random):
    """Return (cost, load, member), the better of two random members, or None."""
    if not members:
        return None
    pair = random.sample(members, 2) if len(members) > 1 else members
    weighed = [(*weigh_host(records, member.host, now), member) for member in pair]
    return min(weighed, key=lambda item: item[0])


def usable_members(records, members, now, excluded):
    """Return the members that calls may go to.

    Suspect and ejected members are used only if there are no others: a refused
    connection proves that the call was not run, so trying costs little, and it
    notices at once that a host is back.
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
        Hosts that were tried already.

    Returns
    -------
    Member or None
        None if no host is left.

    See Also
    --------
    rank_hosts : Several hosts for a call that may be tried again.
    """
    usable = usable_members(records, members, now, excluded)
    near = choose_of_two(records, [m for m in usable if m.zone == zone], now, random)
    if near and near[1] < LOAD_FULL:
        return near[2]
    far = choose_of_two(records, [m for m in usable if m.zone != zone], now, random)
    if not near or not far:
        chosen = near or far
        return chosen and chosen[2]
    clearly = far[0] < CLEARLY_LESS * near[0] and far[1] < CLEARLY_LESS * near[1]
    return far[2] if clearly else near[2]


def rank_hosts(records, members, settings, now, random, zone, count, excluded=()):
    """Return up to ``count`` different members in the order to try them.

    A refused call is tried on the next one; see ``settings.refused_tries`` and
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

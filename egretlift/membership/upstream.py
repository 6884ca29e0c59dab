"""State of the upstream on the daemon's own host.

The upstream gets work only after this process has received a heartbeat from it. If it
started to drain or left before a restart of the daemon, the daemon learns this from the
stored entry, from other daemons or from the next heartbeat.
"""

ABSENT = "absent"
READY = "ready"
DRAINING = "draining"
GONE = "gone"
# Statuses that an upstream keeps until it starts again, the final one last.
DEPARTED_STATUSES = (DRAINING, GONE)
# Start time of an upstream that left before any of its heartbeats arrived.
BORN_UNKNOWN = 0
# Number of departed upstreams whose identifiers are kept, so that late heartbeats do
# not make them current again.
DEPARTED_MAXIMUM = 64
# If an upstream leaves before any of its heartbeats arrived, its start time is unknown.
# All heartbeats with its identifier are then treated as late for this long.
LATE_HEARTBEATS_S = 20.0


class Announcement:
    """Heartbeat of an upstream.

    Heartbeats are ordered by ``born``, the start time of the upstream, and then by
    ``sequence``, which increases with each heartbeat.
    """

    __slots__ = (
        "address",
        "born",
        "sequence",
        "service",
        "slots",
        "state",
        "upstream_id",
    )

    def __init__(self, upstream_id, service, address, slots, state, born, sequence):
        self.upstream_id = upstream_id
        self.service = service
        self.address = address
        self.slots = slots
        self.state = state
        self.born = born
        self.sequence = sequence


class UpstreamState:
    """State of the upstream on this host.

    Attributes
    ----------
    current : Announcement or None
        Latest accepted heartbeat, or one restored from an entry of an earlier process,
        which has an empty address. Heartbeats of earlier upstreams are ignored.
    status : str
        ``absent``, ``ready``, ``draining`` or ``gone``.
    last_heartbeat_at : float
        Monotonic time of the last accepted heartbeat in seconds.
    silent : bool
        Whether the upstream refused a connection after its last heartbeat.
    left : dict of str to int
        Start time of each upstream that left, by identifier, earliest departure first.
    left_unheard_until : dict of str to float
        Monotonic time until which heartbeats are treated as late, by identifier, for
        upstreams that left before a heartbeat arrived.
    """

    __slots__ = (
        "current",
        "last_heartbeat_at",
        "left",
        "left_unheard_until",
        "silent",
        "status",
    )

    def __init__(self):
        self.current = None
        self.status = ABSENT
        self.last_heartbeat_at = float("-inf")
        self.silent = False
        self.left = {}
        self.left_unheard_until = {}


def accept_announcement(state, announcement, service, now):
    """Apply a heartbeat; return whether the upstream, its start or status changed.

    Heartbeats of other services, of upstreams that have left, of earlier upstreams and
    those that arrive out of order are ignored.

    Examples
    --------
    >>> state = UpstreamState()
    >>> heartbeat = Announcement("i-1", "checkout", "10.0.0.1:80", 8, "ready", 100, 1)
    >>> accept_announcement(state, heartbeat, "checkout", 0.0)
    True
    >>> record_departure(state, "i-1", 0.5)
    True
    >>> accept_announcement(state, heartbeat, "checkout", 1.0)
    False
    """
    if announcement.service != service:
        return False
    left_born = state.left.get(announcement.upstream_id)
    if left_born is not None and announcement.born <= left_born:
        return False
    if now < state.left_unheard_until.get(announcement.upstream_id, now):
        return False
    current = state.current
    if current is not None and rank_announcement(announcement) <= rank_announcement(
        current
    ):
        return False
    state.current = announcement
    state.last_heartbeat_at = now
    state.silent = False
    status = READY if announcement.state == READY else DRAINING
    is_same_upstream = (
        current is not None and current.upstream_id == announcement.upstream_id
    )
    if (
        is_same_upstream
        and state.status == DRAINING
        and current.born == announcement.born
    ):
        # An upstream that has started to drain gets work again only after its restart.
        status = DRAINING
    changed = (
        not is_same_upstream
        or status != state.status
        or current.born != announcement.born
    )
    state.status = status
    return changed


def rank_announcement(announcement):
    """Return the sort key of a heartbeat: start time, then sequence number."""
    return (announcement.born, announcement.sequence)


def record_leaving(state, upstream_id, born):
    """Record that an upstream has stated in an answer that it leaves.

    It gets work again only after its restart, as after a heartbeat that states it.
    Returns whether this changes the state of the current upstream.
    """
    current = state.current
    if current is None or (current.upstream_id, current.born) != (upstream_id, born):
        return False
    if state.status != READY:
        return False
    state.status = DRAINING
    return True


def record_departure(state, upstream_id, now):
    """Record that an upstream has left; return whether it was the current one.

    If no upstream is known, it becomes the current one with an unknown start time, so
    that the entry of this host tells a restarted daemon of it.
    """
    current = state.current
    was_current = current is not None and current.upstream_id == upstream_id
    if was_current:
        state.left[upstream_id] = current.born
        state.status = GONE
    elif upstream_id not in state.left:
        ignore_heartbeats(state, upstream_id, now)
    if current is None:
        state.current = Announcement(upstream_id, "", "", 0, GONE, BORN_UNKNOWN, 0)
        state.status = GONE
    for departures in (state.left, state.left_unheard_until):
        while len(departures) > DEPARTED_MAXIMUM:
            del departures[next(iter(departures))]
    return was_current


def ignore_heartbeats(state, upstream_id, now):
    """Treat all heartbeats of an upstream as late for `LATE_HEARTBEATS_S`."""
    state.left_unheard_until[upstream_id] = now + LATE_HEARTBEATS_S


def restore_upstream(state, entry, now):
    """Restore the state from an entry of this host that an earlier process published.

    An upstream that was draining or gone stays so. One that was ready has to send a new
    heartbeat, but heartbeats of upstreams that started before it are ignored. Older
    heartbeats that arrived in the meantime do not prevent this.

    Parameters
    ----------
    state : UpstreamState
    entry : HostEntry or None
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the entry changed the state.
    """
    if entry is None or not entry.upstream_id:
        return False
    if is_outdated(state.current, entry):
        return False
    status = entry.state if entry.state in DEPARTED_STATUSES else ABSENT
    if entry.upstream_id in state.left_unheard_until:
        status = GONE
    is_known = name_start(state.current) == name_start(entry)
    if is_known and rank_status(state.status) >= rank_status(status):
        return False
    if status == GONE and entry.born == BORN_UNKNOWN:
        ignore_heartbeats(state, entry.upstream_id, now)
    elif status == GONE:
        state.left[entry.upstream_id] = entry.born
    sequence = max(entry.sequence, state.current.sequence if is_known else 0)
    state.current = Announcement(
        entry.upstream_id, entry.service, "", entry.slots, status, entry.born, sequence
    )
    state.status = status
    return True


def is_outdated(current, entry):
    """Return whether the current upstream started after the one in an entry.

    Of two with the same start time, the later heartbeat decides.
    """
    if current is None or name_start(current) == name_start(entry):
        return False
    return rank_announcement(current) > rank_announcement(entry)


def name_start(described):
    """Return identifier and start time in a heartbeat or an entry, None for None."""
    return described and (described.upstream_id, described.born)


def rank_status(status):
    """Return how final a status is: a greater number replaces a lower one.

    Examples
    --------
    >>> rank_status(ABSENT) == rank_status(READY) < rank_status(DRAINING)
    True
    """
    return 1 + DEPARTED_STATUSES.index(status) if status in DEPARTED_STATUSES else 0


def refusal_reason(state):
    """Return the reason why the upstream gets no work.

    To be called only if `may_serve` returns False.

    Examples
    --------
    >>> refusal_reason(UpstreamState())
    'absent'
    """
    return "unreachable" if state.silent else state.status


def may_serve(state):
    """Return whether the upstream is ready and reachable, so that it may get work."""
    return state.status == READY and not state.silent

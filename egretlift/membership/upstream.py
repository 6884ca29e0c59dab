"""State of the upstream on the daemon's own host.

The upstream gets work only after this process has received a heartbeat from it. If it
started to drain before a restart of the daemon, the daemon learns this from the stored
entry or from the next heartbeat, and sends it nothing until then.
"""

ABSENT = "absent"
READY = "ready"
DRAINING = "draining"
GONE = "gone"
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
        Latest accepted heartbeat, or one restored from the stored entry, which has an
        empty address.
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
    """Record that an upstream has left; return whether it was the current one."""
    current = state.current
    was_current = current is not None and current.upstream_id == upstream_id
    if was_current:
        state.left[upstream_id] = current.born
        state.status = GONE
    elif upstream_id not in state.left:
        state.left_unheard_until[upstream_id] = now + LATE_HEARTBEATS_S
    for departures in (state.left, state.left_unheard_until):
        while len(departures) > DEPARTED_MAXIMUM:
            del departures[next(iter(departures))]
    return was_current


def restore_upstream(state, entry):
    """Restore the state from this host's stored entry, written before a restart.

    Only an entry in state ``draining`` or ``gone`` is used; an upstream that was
    ready has to send a new heartbeat. Heartbeats older than the entry that arrived in
    the meantime do not prevent this.

    Returns
    -------
    bool
        Whether the current upstream no longer gets work because of the entry.
    """
    if entry is None or not entry.upstream_id or entry.state not in (DRAINING, GONE):
        return False
    current = state.current
    is_same_upstream = current is not None and current.upstream_id == entry.upstream_id
    if entry.state == GONE:
        state.left[entry.upstream_id] = entry.born
        if not is_same_upstream or current.born > entry.born:
            return False
        state.status = GONE
        return True
    is_later = current is not None and rank_announcement(current) > (
        entry.born,
        entry.sequence,
    )
    # An upstream that has started to drain gets work again only after its restart.
    if is_later and not (is_same_upstream and current.born == entry.born):
        return False
    state.current = Announcement(
        entry.upstream_id,
        entry.service,
        "",
        entry.slots,
        DRAINING,
        entry.born,
        max(entry.sequence, current.sequence) if is_same_upstream else entry.sequence,
    )
    changed = current is not None and state.status != DRAINING
    state.status = DRAINING
    return changed


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

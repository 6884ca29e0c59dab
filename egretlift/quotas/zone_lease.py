"""The zone lease, a platform object held by the host that allocates a zone's rates.

``ZoneLease`` is the content of the object, ``LeaseState`` one host's view of it. The
daemon reads and writes the platform, and reports what happened by calling

* ``observe_lease`` for every object that was read, watched or returned by a conflict,
* ``record_written`` for a successful write,
* ``record_reachability`` for every answer or failure of the platform.

A planned write is pending until a higher version is seen. A lost answer needs no
report: ``plan_write`` returns the same write with the same expected version again, so
that at most one of the two is applied. This is needed because reading the old version
does not tell a lost write from one that is still on its way.

These rules keep two hosts from holding the lease at once:

* The holder counts the lease from the time at which it sent a renewal, less the clock
  drift; others count from when they saw the version change, plus the drift.
* A holder whose lease has expired needs a new epoch, even if its renewal succeeds
  later.
* A standby confirms the lease only while it has no pending write and is named with
  its current incarnation. The version that names it makes a delayed write of an
  earlier incarnation fail.
"""

import math


class ZoneLease:
    """Content of a ``zone-lease`` object.

    ``renewed`` counts renewals. ``standbys`` holds (host, incarnation) pairs: the hosts
    that may take the lease over. A ``released`` lease has no active holder;
    ``drained`` tells whether all grants had expired when it was released.
    """

    __slots__ = (
        "drained",
        "epoch",
        "holder",
        "incarnation",
        "released",
        "renewed",
        "standbys",
        "zone",
    )

    def __init__(
        self,
        zone,
        holder="",
        incarnation=0,
        epoch=0,
        standbys=(),
        renewed=0,
        released=False,
        drained=False,
    ):
        self.zone = zone
        self.holder = holder
        self.incarnation = incarnation
        self.epoch = epoch
        self.standbys = tuple(tuple(standby) for standby in standbys)
        self.renewed = renewed
        self.released = released
        self.drained = drained


def lease_spec(lease):
    """Return the platform spec of a zone lease.

    Examples
    --------
    >>> lease = ZoneLease("a", "h1", 7, 1, [("h2", 5)])
    >>> parse_lease("a", lease_spec(lease)).standbys
    (('h2', 5),)
    """
    spec = {
        name: getattr(lease, name) for name in ZoneLease.__slots__ if name != "zone"
    }
    spec["standbys"] = [list(standby) for standby in lease.standbys]
    return spec


def parse_lease(zone, spec):
    """Return the ``ZoneLease`` of a platform spec."""
    return ZoneLease(zone, **{name: spec[name] for name in spec if name != "zone"})


class PendingWrite:
    """A write of which it is not known yet whether it took effect.

    ``expected`` is the version that the platform must have for the write to succeed.
    """

    __slots__ = ("expected", "sent_at", "spec")

    def __init__(self, spec, expected, sent_at):
        self.spec = spec
        self.expected = expected
        self.sent_at = sent_at


class LeaseState:
    """One host's view of a zone lease, on this host's monotonic clock.

    Attributes
    ----------
    version : int
        Platform version of ``lease``; 0 if no object has been seen.
    first_seen_at : float
        When this version was first seen.
    last_read_at : float
        When the last read that returned this version was sent.
    held_epoch : int
        Epoch in which this process is the holder, 0 if it is not.
    renewed_at : float
        When the last successful renewal was sent.
    requested_at : dict of (host, incarnation) to float
        For each standby, when its last confirmation was requested.
    quarantine_until : float
        When the quarantine of this holder ends, see ``quarantine_s``.
    promised_until : float
        Until when this host has promised not to take the lease over.
    attempted_at : float
        When the last write was planned or repeated.
    pending_write : PendingWrite or None
    """

    __slots__ = (
        "requested_at",
        "attempted_at",
        "last_read_at",
        "held_epoch",
        "host",
        "incarnation",
        "lease",
        "quarantine_until",
        "promised_until",
        "reachable",
        "renewed_at",
        "first_seen_at",
        "skip_quarantine",
        "stopping",
        "pending_write",
        "version",
        "zone",
    )

    def __init__(self, zone, host, incarnation, now):
        self.zone = zone
        self.host = host
        self.incarnation = incarnation
        self.lease = ZoneLease(zone)
        self.version = 0
        self.first_seen_at = now
        self.last_read_at = now
        self.held_epoch = 0
        self.renewed_at = -math.inf
        self.requested_at = {}
        self.promised_until = -math.inf
        self.pending_write = None
        self.attempted_at = -math.inf
        self.reachable = True
        self.stopping = False
        self.quarantine_until = now
        self.skip_quarantine = False


def list_required_standbys(state):
    """Return every standby that may take over, now or after the pending write.

    Returns None if the lease has no standbys, or may have none after the pending
    write: any host may then take it over, and confirmations are of no use.
    """
    candidates = set(state.lease.standbys)
    if state.pending_write:
        pending_standbys = {
            tuple(standby) for standby in state.pending_write.spec["standbys"]
        }
        candidates = candidates | pending_standbys if pending_standbys else set()
    return candidates if candidates and state.lease.standbys else None


def find_hold_expiry(state, settings):
    """Return the time on this process's clock until which it may hold the lease.

    The lease is extended by renewals, or by confirmations of all standbys, but never
    beyond ``zone_autonomy_s`` after the last renewal.
    """
    early_factor = 1 - settings.clock_drift
    until = state.renewed_at + settings.zone_lease_s * early_factor
    standbys = list_required_standbys(state)
    if standbys is not None:
        requested_at = min(
            state.requested_at.get(standby, -math.inf) for standby in standbys
        )
        until = max(until, requested_at + settings.zone_lease_s * early_factor)
    return min(until, state.renewed_at + settings.zone_autonomy_s * early_factor)


def holds_lease(state, settings, now):
    """Return whether this process holds the lease and may allocate at ``now``.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
        Uses ``zone_lease_s``, ``zone_autonomy_s`` and ``clock_drift``.
    now : float
        Monotonic seconds, read immediately before the allocation.
    """
    return (
        state.held_epoch > 0
        and not state.stopping
        and now < find_hold_expiry(state, settings)
    )


def expire_hold(state, settings, now):
    """Give up a lease that has expired; a later renewal does not restore it."""
    if (
        state.held_epoch
        and not state.stopping
        and not holds_lease(state, settings, now)
    ):
        state.held_epoch = 0


def observe_lease(state, settings, now, sent_at, version, spec):
    """Record a version of the object that was read, watched or in a conflict.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the object arrived.
    sent_at : float
        When it was asked for.
    version : int
        0 if there is no object.
    spec : dict or None
        None if there is no object.
    """
    expire_hold(state, settings, now)
    if version == state.version:
        state.last_read_at = max(state.last_read_at, sent_at)
    if version <= state.version:
        return
    write = state.pending_write
    if write and version > write.expected:
        state.pending_write = None
    previous = state.lease
    state.version = version
    state.lease = parse_lease(state.zone, spec)
    state.first_seen_at = now
    state.last_read_at = sent_at
    if write and spec == write.spec and version > write.expected:
        apply_own_write(state, settings, now, write.sent_at, previous)
    elif state.lease.epoch != state.held_epoch:
        state.held_epoch = 0


def record_written(state, settings, now, sent_at, version, spec):
    """Record the success of the last planned write.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the answer arrived.
    sent_at : float
        When the write that got the answer was sent.
    version : int
        The version it created.
    spec : dict
        The spec in the answer. If it is not that of the pending write, the answer is
        recorded like any other version.
    """
    if (
        state.pending_write
        and spec == state.pending_write.spec
        and version > state.version
    ):
        state.pending_write.sent_at = sent_at
    observe_lease(state, settings, now, sent_at, version, spec)


def apply_own_write(state, settings, now, sent_at, previous):
    """Start, extend or end this host's lease after its own write took effect."""
    lease = state.lease
    if lease.released or (lease.holder, lease.incarnation) != (
        state.host,
        state.incarnation,
    ):
        state.held_epoch = 0
    elif lease.epoch != previous.epoch:
        state.held_epoch = lease.epoch
        state.renewed_at = sent_at
        state.requested_at = {}
        state.skip_quarantine = previous.drained or previous.epoch == 0
        state.quarantine_until = now + quarantine_s(state, settings)
    elif state.held_epoch == lease.epoch:
        state.renewed_at = sent_at
    expire_hold(state, settings, now)


def quarantine_s(state, settings):
    """Return how long a new holder waits before it allocates, in seconds.

    After that time every grant of an earlier epoch has expired. It is 0 if the lease
    was released after all grants had expired, or is the first of its zone.
    """
    if state.skip_quarantine:
        return 0.0
    return settings.share_lease_s * (1 + settings.clock_drift)


def record_reachability(state, reachable):
    """Record whether the last attempt to reach the platform got an answer."""
    state.reachable = reachable


def confirm_lease(state, settings, now, holder, incarnation, epoch):
    """Return whether this standby confirms the lease of a holder.

    A holder that cannot reach the platform asks its standbys to confirm. A standby
    confirms if it cannot reach the platform either and knows no higher epoch. By doing
    so it promises not to take the lease over for the duration of one lease.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
        Uses ``zone_lease_s`` and ``clock_drift``.
    now : float
    holder : str
        Host that asks.
    incarnation, epoch : int
        Of the holder and its lease.

    Returns
    -------
    bool
    """
    lease = state.lease
    known = (lease.holder, lease.incarnation, lease.epoch, lease.released)
    confirmed = (
        not state.reachable
        and state.pending_write is None
        and known == (holder, incarnation, epoch, False)
        and (state.host, state.incarnation) in lease.standbys
    )
    if confirmed:
        until = now + settings.zone_lease_s * (1 + settings.clock_drift)
        state.promised_until = max(state.promised_until, until)
    return confirmed


def record_confirmation(state, settings, now, requested_at, standby, epoch):
    """Record a standby's confirmation, which counts from when the holder asked.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the confirmation arrived.
    requested_at : float
        When the confirmation was requested.
    standby : tuple of (str, int)
        Host and incarnation.
    epoch : int
        The epoch that was confirmed.
    """
    expire_hold(state, settings, now)
    if epoch and epoch == state.held_epoch:
        state.requested_at[standby] = max(
            requested_at, state.requested_at.get(standby, -math.inf)
        )


def may_take_over(state, settings, now, host=None):
    """Return whether a host may try to take the lease over at ``now``.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
    host : str, optional
        Name of the host; this state's own by default.
    """
    host = state.host if host is None else host
    lease = state.lease
    late_factor = 1 + settings.clock_drift
    unchanged_s = now - state.first_seen_at
    standby = any(host == name for name, _ in lease.standbys)
    if state.stopping or (state.held_epoch and holds_lease(state, settings, now)):
        return False
    if state.version == 0 or (lease.released and (standby or not lease.standbys)):
        return True
    if now < state.promised_until and not lease.released:
        return False
    if lease.holder == host and not lease.released:
        return True
    if unchanged_s > settings.zone_autonomy_s * late_factor:
        return True
    is_eligible = standby or lease.released or not lease.standbys
    return is_eligible and unchanged_s > settings.zone_lease_s * late_factor


def begin_release(state):
    """Stop holding the lease for a planned stop; ``plan_write`` then releases it."""
    state.stopping = True


def plan_write(state, settings, now, standbys=(), drained=False):
    """Return the platform write to attempt now, or None.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
        Uses ``zone_lease_renewal_s`` and ``zone_standbys``.
    now : float
    standbys : sequence of (str, int)
        Hosts of the zone, with their incarnations, that can be standbys: preferred
        ones first and without this host.
    drained : bool
        For a release: whether all grants of this holder have expired.

    Returns
    -------
    tuple of (dict, int) or None
        New spec and expected version. The write counts as sent at ``now``.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> state, settings = LeaseState("a", "h1", 7, 0.0), Settings()
    >>> spec, expected = plan_write(state, settings, 0.0)
    >>> expected, spec["holder"], spec["epoch"]
    (0, 'h1', 1)
    >>> record_written(state, settings, 0.1, 0.0, 3, spec)
    >>> holds_lease(state, settings, 0.1), holds_lease(state, settings, 9.95)
    (True, False)
    """
    expire_hold(state, settings, now)
    write = state.pending_write
    if write:
        if now - state.attempted_at < settings.zone_lease_renewal_s / 3:
            return None
        state.attempted_at = now
        return write.spec, write.expected
    lease = make_next_lease(state, settings, now, standbys, drained)
    if lease is None:
        return None
    state.attempted_at = now
    state.pending_write = PendingWrite(lease_spec(lease), state.version, now)
    return state.pending_write.spec, state.version


def make_next_lease(state, settings, now, standbys, drained):
    """Return the lease to write for a release, renewal or takeover, or None."""
    old = state.lease
    candidates = tuple(standbys)[: settings.zone_standbys]
    if state.stopping:
        if not state.held_epoch:
            return None
        return ZoneLease(
            state.zone,
            old.holder,
            old.incarnation,
            old.epoch,
            old.standbys,
            old.renewed + 1,
            released=True,
            # In quarantine, grants of the previous holder may still be valid.
            drained=drained and now >= state.quarantine_until,
        )
    if state.held_epoch:
        if now - state.attempted_at < settings.zone_lease_renewal_s:
            return None
        epoch = old.epoch
    elif may_take_over(state, settings, now):
        epoch = old.epoch + 1
    else:
        return None
    return ZoneLease(
        state.zone, state.host, state.incarnation, epoch, candidates, old.renewed + 1
    )


def is_abandoned(state, settings):
    """Return whether a zone was without a holder long enough to reclaim its share.

    That is so if reads have found the object unchanged for longer than the autonomy
    time and a lease of a host's share, plus the clock drift: the holder has then
    stopped, and the last grants of its hosts have expired.
    """
    limit = settings.zone_autonomy_s + settings.share_lease_s
    unchanged_s = state.last_read_at - state.first_seen_at
    return state.version > 0 and unchanged_s > limit * (1 + settings.clock_drift)
